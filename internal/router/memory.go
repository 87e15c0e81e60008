package router

import (
	"context"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/lease"
)

// buildSnapshot returns what daemons that start after the death of all should know. The
// holder of the lease writes it beside each renewal, at no further call.
// What is not known yet by a holder that has just started stays as it stands.
func (s *state) buildSnapshot(standing lease.Snapshot) lease.Snapshot {
	now := time.Now()
	reach, _ := s.reach(now)
	memory := lease.Snapshot{
		Daemons: reach.Known, WrittenAtMs: standing.WrittenAtMs, RecentUses: standing.RecentUses, DemandRates: standing.DemandRates, Warmup: standing.Warmup,
		EngineFigures: s.view.EngineFigures(), FirstTryLimits: s.firstTryLimits.Usual(), RequestWindows: s.ledger.All(reportedWindows),
	}
	if uses, known := s.limiter.usage(); known {
		memory.WrittenAtMs, memory.RecentUses, memory.DemandRates, memory.Warmup = now.UnixMilli(), uses, s.limiter.demand(), s.limiter.warmup()
	}
	memory.HeldRequests, memory.HeldAtMs = s.quarantine.Snapshot(now), now.UnixMilli()
	if s.router.rollOuts.Enabled() {
		versions := s.router.rollOuts.Snapshot(now)
		memory.RollOuts = &versions
	}
	return memory
}

// restoreSnapshot applies what was known before this process started, and returns whether that tells what the
// workspaces have used. listed is the number of daemons in the store's list, which may be short.
func (s *state) restoreSnapshot(memory lease.Snapshot, listed int, now time.Time) bool {
	daemons := max(listed, memory.Daemons)
	s.view.MergeEngineFigures(memory.EngineFigures)
	s.firstTryLimits.Restore(memory.FirstTryLimits)
	// Counts only grow: where daemons that are still there know more, theirs stand.
	s.ledger.MergeAll(memory.RequestWindows)
	opened := s.restoreAllowances(memory)
	if memory.RollOuts != nil {
		s.router.rollOuts.Restore(*memory.RollOuts, max(0, s.started.Sub(time.UnixMilli(memory.WrittenAtMs))), now)
		s.router.applyVersions(now)
	}
	s.mu.Lock()
	if daemons > s.reportedDaemons {
		s.reportedDaemons, s.reportedDaemonsAt = daemons, now
	}
	s.mu.Unlock()
	s.router.logger.Info("known before the start", "daemons", daemons, "listed", listed, "workspaces", len(memory.RecentUses), "services", len(memory.EngineFigures))
	return opened
}

// restoreAllowances applies what the workspaces have used: what the record tells, or nothing at the first
// start of all daemons. It returns false if neither is the case.
func (s *state) restoreAllowances(memory lease.Snapshot) bool {
	opening := allowance.Snapshot{Usage: memory.RecentUses, Demand: memory.DemandRates, Warmup: memory.Warmup, Age: max(0, s.started.Sub(time.UnixMilli(memory.WrittenAtMs)))}
	if memory.WrittenAtMs == 0 {
		if !s.router.settings.Peers.Bootstrap {
			return false
		}
		opening = allowance.Snapshot{}
	}
	s.limiter.restore(opening)
	return true
}

// logEngineFigures writes down what was learned of the engines and what is asked of them, from
// which predictions and orders are made.
func (s *state) logEngineFigures() {
	for service, learned := range s.view.EngineFigures() {
		load := s.Demand(service)
		s.router.logger.Info("pace of engines", "service", service,
			"first_seconds", learned.First.Coefficients, "first_seen", learned.First.Samples,
			"step_seconds", learned.Step.Coefficients, "step_seen", learned.Step.Samples, "made", learned.OutputRatio.Coefficients, "hinted", learned.HintRatio.Coefficients,
			"reading", load.Prefill, "places", load.Batch, "memory", load.Memory)
	}
}

// startupWait is how long a caller waits at a daemon that has just started for the
// configuration and the servers to be known: the store or a peer told them 10 to 60 ms
// after the start on the days that were looked at. Longer, a caller with a target of
// 100 ms, the shortest of today's users, is late anyway and is better sent elsewhere.
const startupWait = 100 * time.Millisecond

// awaitCatalog returns the configuration in force. A daemon that has just started waits
// a moment for it and for the list of servers.
func (s *state) awaitCatalog(ctx context.Context) *catalog.Catalog {
	if c := s.Catalog(); c != nil && s.view.ListReceived() {
		return c
	}
	ctx, cancel := context.WithTimeout(ctx, startupWait)
	defer cancel()
	select {
	case <-s.configured:
	case <-ctx.Done():
		return s.Catalog()
	}
	for {
		changed := s.view.Changed()
		if s.view.ListReceived() {
			return s.Catalog()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s.Catalog()
		}
	}
}
