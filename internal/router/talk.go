package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/gossip"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/rollout"
	"github.com/plankridge/plankridge/internal/rollup"
)

const (
	// windowsTold is the number of windows of usage in a report: one that runs and
	// two that are being settled.
	windowsTold = 3
	// sentKept is the number of own reports that are remembered, to tell a lead's
	// sums without what this daemon itself had used by then.
	sentKept = 16
	// settling is how long after its start a process counts as just started: what
	// it has spent was spent since others could hear of it.
	settling = 3 * time.Second
	// sumEvery is how often a lead takes over its own sums while reports come in.
	sumEvery = 100 * time.Millisecond
)

// FillStatus implements gossip.Source.
func (s *state) FillStatus(status *gossippb.Status) {
	if c := s.Catalog(); c != nil {
		status.ConfigVersion = c.Version
	}
	s.mu.Lock()
	status.ServersRevision, status.StoreFailing = s.listing.revision, s.unreached()
	status.ServersDigest, status.ServersAgeMs = s.listing.digest, s.tellAge(time.Now())
	status.HistoryGoneMs = s.tellHistoryGone(time.Now())
	s.mu.Unlock()
	if s.router.board.Enabled() {
		status.RollOuts, status.RollOutsRead = encodeRollOuts(s.router.board.Statuses(time.Now())), s.router.board.Revision()
	}
	status.Held = encodeHeld(s.quarantine.Reports(time.Now()))
	now := time.Now()
	status.Limits = encodeLimits(s.view.Limits(status.GetSequence(), now), now)
	status.Leaving = encodeLeavingNotices(s.view.LeavingNotices(status.GetSequence(), now), now)
	status.Draining, status.Follows = s.router.draining.Load(), s.followsStore()
	status.Fence = s.ownFence()
	status.UptimeMs = time.Since(s.started).Milliseconds()
	status.CountingMs = max(1, s.limiter.counted().Milliseconds())
}

func (s *state) ownFence() int64 {
	if s.router.holder == nil {
		return 0
	}
	right, _ := s.router.holder.Token()
	return right.Fence
}

// followsStore reports whether this daemon follows the store, and the store has answered it since
// it does: others of the zone rely on it then.
func (s *state) followsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.following.Load() && s.answered && !s.unreached()
}

// LocalState implements gossip.Source.
func (s *state) LocalState() gossip.LocalState {
	return gossip.LocalState{StoreFailing: s.failing(), Draining: s.router.draining.Load(), FollowsStore: s.followsStore()}
}

// OwnCounts implements gossip.Source.
func (s *state) OwnCounts(sequence uint64) *gossippb.Counts {
	now := time.Now()
	used := s.limiter.own()
	own := rollup.Counts{Spent: used.Spent, Refused: used.Refused, Loads: s.view.OwnLoads(), Demand: s.demand.Rates(now), Paces: s.view.EngineFigures(), Versions: s.router.board.LocalTallies()}
	s.sums.SetOwn(own)
	s.mu.Lock()
	s.sent[sequence] = own
	delete(s.sent, sequence-sentKept)
	s.mu.Unlock()
	counts := encodeCounts(own)
	counts.Windows = encodeWindows(s.ledger.Own(windowsTold))
	return counts
}

// DeploymentTotals implements gossip.Source.
func (s *state) DeploymentTotals(now time.Time) (*gossippb.Reach, *gossippb.Counts) {
	reach, _ := s.reach(now)
	return encodeReach(reach), s.encodeSums(s.sums.All(now))
}

// encodeSums encodes sums over many daemons, with the loads in few words.
func (s *state) encodeSums(sums rollup.Counts) *gossippb.Counts {
	s.withoutOldLimits(sums, time.Now())
	told, rest := rollup.CompressLoads(sums.Loads, s.view.Keys)
	sums.Loads = told
	counts := encodeCounts(sums)
	if rest != (backend.Load{}) {
		counts.Rest = &gossippb.Load{Running: int32(rest.Running), PendingTokens: int32(rest.PendingTokens)}
		for key, load := range told {
			if load == (backend.Load{}) {
				// It is told apart from the rest.
				counts.Loads = append(counts.Loads, &gossippb.Load{Key: key})
			}
		}
	}
	return counts
}

// decodeSums decodes what encodeSums made.
func (s *state) decodeSums(counts *gossippb.Counts) rollup.Counts {
	sums := decodeCounts(counts)
	if told := counts.GetRest(); told != nil {
		rest := backend.Load{Running: int(told.GetRunning()), PendingTokens: int(told.GetPendingTokens())}
		rollup.ExpandLoads(sums.Loads, rest, s.view.Keys())
	}
	return sums
}

// RecentUses implements gossip.Source.
func (s *state) RecentUses() *gossippb.Uses {
	uses, known := s.limiter.uses()
	if !known {
		return nil
	}
	told := encodeUses(uses, s.limiter.asked())
	told.KnownMs = s.limiter.counted().Milliseconds()
	return told
}

// Windows implements gossip.Source.
func (s *state) Windows() []*gossippb.Window { return encodeWindows(s.ledger.All(windowsTold)) }

// IncludedSequence implements gossip.Source.
func (s *state) IncludedSequence(vm string) uint64 { return s.sums.LastSequence(vm) }

// ZoneTotals implements gossip.Source.
func (s *state) ZoneTotals(now time.Time) (*gossippb.Reach, *gossippb.Counts) {
	counts := s.encodeSums(s.sums.Zone(now))
	counts.Windows = encodeWindows(s.ledger.Zone(windowsTold))
	return encodeReach(s.zoneReach(now)), counts
}

// HandleReport implements gossip.Sink.
func (s *state) HandleReport(status *gossippb.Status, _ bool) {
	now := time.Now()
	s.mu.Lock()
	s.agree(status.GetServersDigest(), status.GetServersAgeMs(), now)
	s.mu.Unlock()
	s.router.followHistoryGone(status, now)
	s.router.hearRollOuts(status, now)
	s.quarantine.Merge(decodeHeld(status.GetHeld()), 0, now)
	s.mergeLimits(status, now)
	s.mergeLeavingNotices(status, now)
	if own := status.GetOwn(); own != nil && status.GetZone() == s.router.settings.VM.Zone {
		s.heardMember(status, own, now)
	}
	if sum := status.GetZoneSum(); sum != nil && status.GetZone() != s.router.settings.VM.Zone {
		s.heardZone(status, sum, now)
	}
	if all := status.GetAll(); all != nil {
		s.heardLead(status, all, now)
	}
	s.takeUses(status, now)
	if s.listens(now) == "" && now.Sub(s.summedAt) >= sumEvery {
		s.summedAt = now
		s.useOwnSums(now)
	}
}

// HandleNotice implements gossip.Sink.
func (s *state) HandleNotice(load *gossippb.Load) {
	s.view.RecordNotice(load.GetKey(), int(load.GetPendingTokens()), time.Now())
}

// notice tells others of a large prompt that this daemon sends.
func (s *state) notice(server backend.Entry, tokens int) {
	s.router.node.SendNotice(&gossippb.Load{Key: backend.KeyOf(server), PendingTokens: int32(tokens)})
}

// heardMember takes over the report of a daemon of the zone.
func (s *state) heardMember(status *gossippb.Status, own *gossippb.Counts, now time.Time) {
	uptime := time.Duration(status.GetUptimeMs()) * time.Millisecond
	s.ledger.MergePeer(status.GetVm(), status.GetIncarnation(), decodeWindows(own.GetWindows()))
	s.sums.AddReport(rollup.Report{
		VM: status.GetVm(), Incarnation: status.GetIncarnation(), Sequence: status.GetSequence(),
		JustStarted: uptime < settling, Counts: decodeCounts(own),
	}, now)
}

// heardZone takes over the sums of another zone.
func (s *state) heardZone(status *gossippb.Status, sum *gossippb.Counts, now time.Time) {
	s.ledger.MergeZone(status.GetZone(), decodeWindows(sum.GetWindows()))
	s.sums.AddSummary(rollup.Summary{
		Zone: status.GetZone(), VM: status.GetVm(), Incarnation: status.GetIncarnation(),
		JustStarted: time.Duration(status.GetUptimeMs())*time.Millisecond < settling,
		Counts:      s.decodeSums(sum), Reach: decodeReach(status.GetZoneReach()),
	}, now)
}

// heardLead takes over the sums over everything, unless this daemon makes its own
// or listens to another lead.
func (s *state) heardLead(status *gossippb.Status, all *gossippb.Counts, now time.Time) {
	if len(all.GetWindows()) > 0 {
		s.ledger.MergeAll(decodeWindows(all.GetWindows()))
	}
	plan := s.router.plan(now)
	if plan.Leader || (status.GetVm() != plan.LeaderVM && !s.mayListen(status.GetVm(), now)) {
		return
	}
	warmup := s.leadWarmsUp(status)
	if warmup && status.GetTaken() == 0 {
		return
	}
	reach := decodeReach(status.GetReach())
	if before, _ := s.reach(now); warmup && before.Reachable > reach.Reachable {
		reach = before
	}
	counts := s.decodeSums(all)
	s.mu.Lock()
	own, known := s.sent[status.GetTaken()]
	before := s.lead
	if !known && status.GetTaken() != 0 {
		s.mu.Unlock()
		s.noteStaleReport(status)
		return
	}
	s.lead = leadAccount{
		vm: status.GetVm(), incarnation: status.GetIncarnation(), at: now, taken: status.GetTaken(),
		reach: reach, demand: counts.Demand, without: own.Demand,
	}
	s.lead.versions = counts.Versions
	s.view.MergeEngineFigures(counts.Paces)
	s.told, s.toldAt = s.lead.reach.Known, now
	s.mu.Unlock()
	s.logLead(before)
	s.useReach(now)
	s.view.SetPeerLoads(without(counts.Loads, own.Loads), now)
	rollup.Subtract(counts.Spent, own.Spent)
	rollup.Subtract(counts.Refused, own.Refused)
	// Only sums of the same process that hold this daemon's counts can be compared.
	first := before.vm != status.GetVm() || before.incarnation != status.GetIncarnation() || before.taken == 0 || status.GetTaken() == 0
	if first && s.startedWith(status) {
		// Whatever the lead has heard of was used since all started.
		first = false
	}
	s.hearUsed(status.GetVm(), status.GetIncarnation(), allowance.Counters{Spent: counts.Spent, Refused: counts.Refused}, first, now)
}

// logLead writes a line when the sums come from another lead than before.
func (s *state) logLead(before leadAccount) {
	s.mu.Lock()
	lead := s.lead
	s.mu.Unlock()
	if lead.vm == before.vm && lead.incarnation == before.incarnation {
		return
	}
	s.router.logger.Info("sums come from another lead", "lead", lead.vm, "incarnation", lead.incarnation, "lead_before", before.vm,
		"own_report", lead.taken, "heard", lead.reach.Reachable, "known", lead.reach.Known)
}

// noteStaleReport notes that a lead's sums hold a report of this daemon that it does not remember. They cannot be
// compared, and that lead is not heard: after a while this daemon makes its own sums.
func (s *state) noteStaleReport(status *gossippb.Status) {
	s.mu.Lock()
	begins := !s.lead.stale
	s.lead.stale = true
	s.mu.Unlock()
	if begins {
		s.router.logger.Info("lead does not hear this daemon", "lead", status.GetVm(), "own_report", status.GetTaken(), "sequence", status.GetSequence())
	}
}

// startedWith reports whether this daemon and the one that tells have both just
// started.
func (s *state) startedWith(status *gossippb.Status) bool {
	return time.Since(s.started) < settling && time.Duration(status.GetUptimeMs())*time.Millisecond < settling
}

// leadWarmsUp reports whether a lead has started so lately that it may not have heard all others yet, while
// this daemon has been running for longer.
func (s *state) leadWarmsUp(status *gossippb.Status) bool {
	return time.Duration(status.GetUptimeMs())*time.Millisecond < rollup.FreshFor && !s.startedWith(status)
}

// hearUsed tells the limiter what others have used.
func (s *state) hearUsed(vm string, incarnation uint64, used allowance.Counters, first bool, now time.Time) {
	round := s.router.node.ReportInterval(now)
	reach, _ := s.reach(now)
	s.limiter.hear(allowance.Report{
		VM: vm, Incarnation: incarnation, Counters: used, Baseline: first, Age: max(round, reach.MaxAge) + gossip.ReportLeadTime, Interval: round,
	})
}

// takeUses takes over what the workspaces have used from a daemon that has counted it for
// longer than this one, which has just started or stood still.
func (s *state) takeUses(status *gossippb.Status, now time.Time) {
	if status.GetUses() == nil {
		return
	}
	if s.listens(now) == "" {
		// What the same report added to the sums is part of what it tells.
		s.useOwnSums(now)
	}
	uses, asked := decodeUses(status.GetUses())
	s.limiter.take(uses, asked, time.Duration(status.GetUses().GetKnownMs())*time.Millisecond)
}

// useOwnSums takes over this daemon's own sums, where it listens to no lead.
func (s *state) useOwnSums(now time.Time) {
	s.mu.Lock()
	changed := s.lead.vm != s.router.settings.VM.ID
	before := s.lead.vm
	s.lead = leadAccount{vm: s.router.settings.VM.ID}
	s.mu.Unlock()
	if changed {
		s.router.logger.Info("sums are this daemon's own", "lead_before", before)
	}
	s.useReach(now)
	others := s.sums.Others(now)
	s.view.SetPeerLoads(others.Loads, now)
	s.view.MergeEngineFigures(others.Paces)
	spent, refused := s.sums.SpentByOthers()
	s.hearUsed(s.router.settings.VM.ID, s.router.incarnation, allowance.Counters{Spent: spent, Refused: refused}, changed && before != "", now)
}

// leadAccount is what the lead has told last that this daemon listens to. Without
// one it is this daemon itself.
type leadAccount struct {
	vm          string
	incarnation uint64
	at          time.Time
	// taken is the sequence of this daemon's report that the sums hold, or zero.
	taken uint64
	// stale is set once the lead has told sums that hold an older report than this daemon remembers.
	stale bool
	reach rollup.Reach
	// demand is what is asked of each service, without what was asked of this daemon,
	// which the sums also hold.
	demand, without map[string]demand.Load
	// versions are how the versions of services answered, at all daemons.
	versions rollout.Tallies
}

// listens returns the lead that this daemon listens to, or nothing when it makes
// its own sums.
func (s *state) listens(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead.vm == s.router.settings.VM.ID || now.Sub(s.lead.at) >= rollup.FreshFor {
		return ""
	}
	return s.lead.vm
}

// mayListen reports whether one that is not the zone's lead, as this daemon sees
// it, may be listened to: who was listened to before, or anyone after its silence.
func (s *state) mayListen(vm string, now time.Time) bool {
	current := s.listens(now)
	return current == "" || current == vm
}

func without(all, own map[uint32]backend.Load) map[uint32]backend.Load {
	for key, load := range own {
		rest := all[key]
		rest.Running -= load.Running
		rest.PendingTokens -= load.PendingTokens
		all[key] = rest
	}
	return all
}
