package router

import (
	"context"
	"maps"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/lease"
)

// buildSnapshot returns the data from which daemons start after all of them have stopped. The
// holder of the lease writes it with each renewal, without a further call. Fields that a newly
// started holder does not know yet are copied from the current snapshot.
func (s *state) buildSnapshot(current lease.Snapshot) lease.Snapshot {
	now := time.Now()
	reach, _ := s.reach(now)
	snapshot := lease.Snapshot{
		Daemons: reach.Known, WrittenAtMs: current.WrittenAtMs, RecentUses: current.RecentUses, DemandRates: current.DemandRates, Warmup: current.Warmup,
		EngineEstimates: s.view.EngineEstimates(), ServerSpeeds: packSpeeds(s.view.RecordSpeeds()), FirstTryLimits: s.firstTryLimits.Usual(), RequestWindows: s.ledger.All(reportedWindows),
		Demand: s.demandHistory.Complete(), DemandWrittenMs: now.UnixMilli(),
	}
	if uses, known := s.limiter.usage(); known {
		snapshot.WrittenAtMs, snapshot.RecentUses, snapshot.DemandRates, snapshot.Warmup = now.UnixMilli(), uses, s.limiter.demand(), s.limiter.warmup()
	}
	snapshot.HeldRequests, snapshot.HeldAtMs = s.quarantine.Snapshot(now), now.UnixMilli()
	snapshot.BegunStreams = s.streamVersions.snapshot(now)
	if s.router.rollOuts.Enabled() {
		versions := s.router.rollOuts.Snapshot(now)
		snapshot.RollOuts = &versions
	}
	return snapshot
}

// restoreSnapshot applies the data of a snapshot that was written before this process started. It
// reports whether the usage of the workspaces was restored. listed is the number of daemons in the
// store's list, which may be incomplete.
func (s *state) restoreSnapshot(snapshot lease.Snapshot, listed int, now time.Time) bool {
	daemons := listed
	if snapshot.Daemons <= maxRecordedDaemons {
		daemons = max(listed, snapshot.Daemons)
	}
	s.view.MergeEngineEstimates(snapshot.EngineEstimates)
	s.view.RestoreSpeeds(unpackSpeeds(snapshot.ServerSpeeds))
	s.firstTryLimits.Restore(snapshot.FirstTryLimits)
	// Counts never decrease, so larger counts from daemons that are still running take precedence.
	s.ledger.MergeAll(s.ledger.Plausible(snapshot.RequestWindows, now))
	s.restoreDemand(snapshot.Demand, snapshot.DemandWrittenMs)
	s.streamVersions.restore(snapshot.BegunStreams, now)
	restored := s.restoreAllowances(snapshot)
	if snapshot.RollOuts != nil {
		s.router.rollOuts.Restore(*snapshot.RollOuts, max(0, s.started.Sub(time.UnixMilli(snapshot.WrittenAtMs))), now)
		s.router.applyVersions(now)
	}
	s.mu.Lock()
	if daemons > s.reportedDaemons {
		s.reportedDaemons, s.reportedDaemonsAt = daemons, now
	}
	s.mu.Unlock()
	s.router.logger.Info("state from before the start restored", "daemons", daemons, "listed", listed, "accounts", len(snapshot.RecentUses), "services", len(snapshot.EngineEstimates))
	return restored
}

const (
	// maxRecordedDaemons and maxRecordedRate bound what a holder of the lease can have written: 30 times
	// the daemons and 500 times the tokens a second of the largest deployment.
	maxRecordedDaemons = 10_000
	maxRecordedRate    = 1e9
)

// plausibleRates returns the recorded rates without those that no holder of the lease can have written,
// or nil if none are recorded.
func plausibleRates(recorded map[string]float64) map[string]float64 {
	rates := maps.Clone(recorded)
	maps.DeleteFunc(rates, func(_ string, rate float64) bool { return !(rate >= 0 && rate <= maxRecordedRate) })
	return rates
}

// restoreAllowances restores the usage of the workspaces from a snapshot, or starts with none at
// the first start of the deployment. It returns false if neither applies.
func (s *state) restoreAllowances(recorded lease.Snapshot) bool {
	snapshot := allowance.Snapshot{Usage: recorded.RecentUses, Demand: plausibleRates(recorded.DemandRates), Warmup: recorded.Warmup, Age: max(0, s.started.Sub(time.UnixMilli(recorded.WrittenAtMs)))}
	if recorded.WrittenAtMs == 0 {
		if !s.router.settings.Peers.Bootstrap {
			return false
		}
		snapshot = allowance.Snapshot{}
	}
	s.limiter.restore(snapshot)
	return true
}

// logEngineEstimates logs the learned performance estimates of the engines and the demand for them, on
// which predictions and orders of servers are based.
func (s *state) logEngineEstimates() {
	for service, figures := range s.view.EngineEstimates() {
		reading := s.Demand(service)
		s.router.logger.Info("learned engine figures", "service", service,
			"first_seconds", figures.First.Coefficients, "first_seen", figures.First.Samples,
			"step_seconds", figures.Step.Coefficients, "step_seen", figures.Step.Samples, "made", figures.OutputRatio.Coefficients, "hinted", figures.HintRatio.Coefficients,
			"reading", reading.Load.Prefill, "places", reading.Load.Batch, "memory", reading.Load.Memory, "demand_complete", !reading.Incomplete,
			"mean_capacity", s.view.MeanCapacity(service, time.Now()))
	}
}

// startupWait is how long a request waits at a daemon that has just started for the configuration, the
// list of servers and the assignment of streams. The store or a peer provided them 10 to 60 ms after the
// start. A caller with a target of 100 ms, the shortest in use, would miss it after a longer wait and
// had better be sent elsewhere.
const startupWait = 100 * time.Millisecond

// awaitCatalog returns the configuration in force. At a daemon that has just started it waits up to
// startupWait until the daemon can serve.
func (s *state) awaitCatalog(ctx context.Context) *catalog.Catalog {
	if s.canServe() {
		return s.Catalog()
	}
	ctx, cancel := context.WithTimeout(ctx, startupWait)
	defer cancel()
	configured, loaded := s.configured, s.streamVersions.loaded
	for {
		changed := s.view.Changed()
		if s.canServe() {
			return s.Catalog()
		}
		// A closed channel is waited for once.
		select {
		case <-configured:
			configured = nil
		case <-loaded:
			loaded = nil
		case <-changed:
		case <-ctx.Done():
			return s.Catalog()
		}
	}
}

// canServe reports whether the daemon has the configuration, the list of servers and, if routes have
// resumable streams, their assignment to versions.
func (s *state) canServe() bool {
	c := s.Catalog()
	if c == nil || !s.view.ListReceived() {
		return false
	}
	return s.streamVersions.get() != nil || len(c.ResumableServices()) == 0
}
