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
	// reportedWindows is the number of windows of usage in a report: one that runs and
	// two that are being settled.
	reportedWindows = 3
	// maxSentCounts is the number of own reports that are remembered, to tell a lead's
	// sums without what this daemon itself had used by then.
	maxSentCounts = 16
	// justStartedFor is how long after its start a process counts as just started: what
	// it has spent was spent since others could hear of it.
	justStartedFor = 3 * time.Second
	// ownSumsInterval is how often a lead takes over its own sums while reports come in.
	ownSumsInterval = 100 * time.Millisecond
)

// FillStatus implements gossip.Source.
func (s *state) FillStatus(status *gossippb.Status) {
	if c := s.Catalog(); c != nil {
		status.ConfigVersion = c.Version
	}
	s.mu.Lock()
	status.ServersRevision, status.StoreFailing = s.serverList.revision, s.storeUnavailableLocked()
	status.ServersDigest, status.ServersAgeMs = s.serverList.digest, s.listAgeMs(time.Now())
	status.HistoryGoneMs = s.compactionAgeMs(time.Now())
	s.mu.Unlock()
	if s.router.rollOuts.Enabled() {
		status.RollOuts, status.RollOutsRead = encodeRollOuts(s.router.rollOuts.Statuses(time.Now())), s.router.rollOuts.Revision()
	}
	status.Held = encodeHeld(s.quarantine.Reports(time.Now()))
	now := time.Now()
	status.Limits = encodeLimits(s.view.Limits(status.GetSequence(), now), now)
	status.Leaving = encodeLeavingNotices(s.view.LeavingNotices(status.GetSequence(), now), now)
	status.Draining, status.Follows = s.router.draining.Load(), s.followsStore()
	status.Fence = s.ownFence()
	status.UptimeMs = time.Since(s.started).Milliseconds()
	status.CountingMs = max(1, s.limiter.countedFor().Milliseconds())
}

func (s *state) ownFence() int64 {
	if s.router.elector == nil {
		return 0
	}
	right, _ := s.router.elector.Token()
	return right.Fence
}

// followsStore reports whether this daemon follows the store, and the store has answered it since
// it does: others of the zone rely on it then.
func (s *state) followsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.following.Load() && s.storeAnswered && !s.storeUnavailableLocked()
}

// LocalState implements gossip.Source.
func (s *state) LocalState() gossip.LocalState {
	return gossip.LocalState{StoreFailing: s.storeUnavailable(), Draining: s.router.draining.Load(), FollowsStore: s.followsStore()}
}

// OwnCounts implements gossip.Source.
func (s *state) OwnCounts(sequence uint64) *gossippb.Counts {
	now := time.Now()
	used := s.limiter.ownCounters()
	own := rollup.Counts{Spent: used.Spent, Refused: used.Refused, Loads: s.view.OwnLoads(), Demand: s.demand.Rates(now), Paces: s.view.EngineFigures(), Versions: s.router.rollOuts.LocalTallies()}
	s.aggregator.SetOwn(own)
	s.mu.Lock()
	s.sentCounts[sequence] = own
	delete(s.sentCounts, sequence-maxSentCounts)
	s.mu.Unlock()
	counts := encodeCounts(own)
	counts.Windows = encodeWindows(s.ledger.Own(reportedWindows))
	return counts
}

// DeploymentTotals implements gossip.Source.
func (s *state) DeploymentTotals(now time.Time) (*gossippb.Reach, *gossippb.Counts) {
	reach, _ := s.reach(now)
	return encodeReach(reach), s.encodeSums(s.aggregator.All(now))
}

// encodeSums encodes sums over many daemons, with the loads in few words.
func (s *state) encodeSums(sums rollup.Counts) *gossippb.Counts {
	s.dropUnlimitedAccounts(sums, time.Now())
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
	uses, known := s.limiter.usage()
	if !known {
		return nil
	}
	told := encodeUses(uses, s.limiter.demand())
	told.KnownMs = s.limiter.countedFor().Milliseconds()
	return told
}

// Windows implements gossip.Source.
func (s *state) Windows() []*gossippb.Window { return encodeWindows(s.ledger.All(reportedWindows)) }

// IncludedSequence implements gossip.Source.
func (s *state) IncludedSequence(vm string) uint64 { return s.aggregator.LastSequence(vm) }

// ZoneTotals implements gossip.Source.
func (s *state) ZoneTotals(now time.Time) (*gossippb.Reach, *gossippb.Counts) {
	counts := s.encodeSums(s.aggregator.Zone(now))
	counts.Windows = encodeWindows(s.ledger.Zone(reportedWindows))
	return encodeReach(s.zoneReach(now)), counts
}

// HandleReport implements gossip.Sink.
func (s *state) HandleReport(status *gossippb.Status, _ bool) {
	now := time.Now()
	s.mu.Lock()
	s.confirmList(status.GetServersDigest(), status.GetServersAgeMs(), now)
	s.mu.Unlock()
	s.router.handlePeerCompaction(status, now)
	s.router.mergeRollOuts(status, now)
	s.quarantine.Merge(decodeHeld(status.GetHeld()), 0, now)
	s.mergeLimits(status, now)
	s.mergeLeavingNotices(status, now)
	if own := status.GetOwn(); own != nil && status.GetZone() == s.router.settings.VM.Zone {
		s.addMemberReport(status, own, now)
	}
	if sum := status.GetZoneSum(); sum != nil && status.GetZone() != s.router.settings.VM.Zone {
		s.addZoneSummary(status, sum, now)
	}
	if all := status.GetAll(); all != nil {
		s.applyLeaderTotals(status, all, now)
	}
	s.adoptUses(status, now)
	if s.currentLeader(now) == "" && now.Sub(s.ownSumsAt) >= ownSumsInterval {
		s.ownSumsAt = now
		s.applyOwnSums(now)
	}
}

// HandleNotice implements gossip.Sink.
func (s *state) HandleNotice(load *gossippb.Load) {
	s.view.RecordNotice(load.GetKey(), int(load.GetPendingTokens()), time.Now())
}

// sendNotice tells others of a large prompt that this daemon sends.
func (s *state) sendNotice(server backend.Entry, tokens int) {
	s.router.node.SendNotice(&gossippb.Load{Key: backend.KeyOf(server), PendingTokens: int32(tokens)})
}

// addMemberReport takes over the report of a daemon of the zone.
func (s *state) addMemberReport(status *gossippb.Status, own *gossippb.Counts, now time.Time) {
	uptime := time.Duration(status.GetUptimeMs()) * time.Millisecond
	s.ledger.MergePeer(status.GetVm(), status.GetIncarnation(), decodeWindows(own.GetWindows()))
	s.aggregator.AddReport(rollup.Report{
		VM: status.GetVm(), Incarnation: status.GetIncarnation(), Sequence: status.GetSequence(),
		JustStarted: uptime < justStartedFor, Counts: decodeCounts(own),
	}, now)
}

// addZoneSummary takes over the sums of another zone.
func (s *state) addZoneSummary(status *gossippb.Status, sum *gossippb.Counts, now time.Time) {
	s.ledger.MergeZone(status.GetZone(), decodeWindows(sum.GetWindows()))
	s.aggregator.AddSummary(rollup.Summary{
		Zone: status.GetZone(), VM: status.GetVm(), Incarnation: status.GetIncarnation(),
		JustStarted: time.Duration(status.GetUptimeMs())*time.Millisecond < justStartedFor,
		Counts:      s.decodeSums(sum), Reach: decodeReach(status.GetZoneReach()),
	}, now)
}

// applyLeaderTotals takes over the sums over everything, unless this daemon makes its own
// or listens to another lead.
func (s *state) applyLeaderTotals(status *gossippb.Status, all *gossippb.Counts, now time.Time) {
	if len(all.GetWindows()) > 0 {
		s.ledger.MergeAll(decodeWindows(all.GetWindows()))
	}
	plan := s.router.plan(now)
	if plan.Leader || (status.GetVm() != plan.LeaderVM && !s.mayAcceptLeader(status.GetVm(), now)) {
		return
	}
	warmup := s.leaderWarmsUp(status)
	if warmup && status.GetTaken() == 0 {
		return
	}
	reach := decodeReach(status.GetReach())
	if before, _ := s.reach(now); warmup && before.Reachable > reach.Reachable {
		reach = before
	}
	counts := s.decodeSums(all)
	s.mu.Lock()
	own, known := s.sentCounts[status.GetTaken()]
	before := s.leader
	if !known && status.GetTaken() != 0 {
		s.mu.Unlock()
		s.recordStaleTotals(status)
		return
	}
	s.leader = leaderTotals{
		vm: status.GetVm(), incarnation: status.GetIncarnation(), receivedAt: now, includedSequence: status.GetTaken(),
		reach: reach, demand: counts.Demand, ownDemand: own.Demand,
	}
	s.leader.versions = counts.Versions
	s.view.MergeEngineFigures(counts.Paces)
	s.reportedDaemons, s.reportedDaemonsAt = s.leader.reach.Known, now
	s.mu.Unlock()
	s.logLeaderChange(before)
	s.applyReach(now)
	s.view.SetPeerLoads(subtractLoads(counts.Loads, own.Loads), now)
	rollup.Subtract(counts.Spent, own.Spent)
	rollup.Subtract(counts.Refused, own.Refused)
	// Only sums of the same process that hold this daemon's counts can be compared.
	first := before.vm != status.GetVm() || before.incarnation != status.GetIncarnation() || before.includedSequence == 0 || status.GetTaken() == 0
	if first && s.bothJustStarted(status) {
		// Whatever the lead has heard of was used since all started.
		first = false
	}
	s.applyOthersUsage(status.GetVm(), status.GetIncarnation(), allowance.Counters{Spent: counts.Spent, Refused: counts.Refused}, first, now)
}

// logLeaderChange writes a line when the sums come from another lead than before.
func (s *state) logLeaderChange(before leaderTotals) {
	s.mu.Lock()
	lead := s.leader
	s.mu.Unlock()
	if lead.vm == before.vm && lead.incarnation == before.incarnation {
		return
	}
	s.router.logger.Info("sums come from another lead", "lead", lead.vm, "incarnation", lead.incarnation, "lead_before", before.vm,
		"own_report", lead.includedSequence, "heard", lead.reach.Reachable, "known", lead.reach.Known)
}

// recordStaleTotals notes that a lead's sums hold a report of this daemon that it does not remember. They cannot be
// compared, and that lead is not heard: after a while this daemon makes its own sums.
func (s *state) recordStaleTotals(status *gossippb.Status) {
	s.mu.Lock()
	begins := !s.leader.stale
	s.leader.stale = true
	s.mu.Unlock()
	if begins {
		s.router.logger.Info("lead does not hear this daemon", "lead", status.GetVm(), "own_report", status.GetTaken(), "sequence", status.GetSequence())
	}
}

// bothJustStarted reports whether this daemon and the one that tells have both just
// started.
func (s *state) bothJustStarted(status *gossippb.Status) bool {
	return time.Since(s.started) < justStartedFor && time.Duration(status.GetUptimeMs())*time.Millisecond < justStartedFor
}

// leaderWarmsUp reports whether a lead has started so lately that it may not have heard all others yet, while
// this daemon has been running for longer.
func (s *state) leaderWarmsUp(status *gossippb.Status) bool {
	return time.Duration(status.GetUptimeMs())*time.Millisecond < rollup.FreshFor && !s.bothJustStarted(status)
}

// applyOthersUsage tells the limiter what others have used.
func (s *state) applyOthersUsage(vm string, incarnation uint64, used allowance.Counters, first bool, now time.Time) {
	round := s.router.node.ReportInterval(now)
	reach, _ := s.reach(now)
	s.limiter.applyReport(allowance.Report{
		VM: vm, Incarnation: incarnation, Counters: used, Baseline: first, Age: max(round, reach.MaxAge) + gossip.ReportLeadTime, Interval: round,
	})
}

// adoptUses takes over what the workspaces have used from a daemon that has counted it for
// longer than this one, which has just started or stood still.
func (s *state) adoptUses(status *gossippb.Status, now time.Time) {
	if status.GetUses() == nil {
		return
	}
	if s.currentLeader(now) == "" {
		// What the same report added to the sums is part of what it tells.
		s.applyOwnSums(now)
	}
	uses, asked := decodeUses(status.GetUses())
	s.limiter.adoptFromPeer(uses, asked, time.Duration(status.GetUses().GetKnownMs())*time.Millisecond)
}

// applyOwnSums takes over this daemon's own sums, where it listens to no lead.
func (s *state) applyOwnSums(now time.Time) {
	s.mu.Lock()
	changed := s.leader.vm != s.router.settings.VM.ID
	before := s.leader.vm
	s.leader = leaderTotals{vm: s.router.settings.VM.ID}
	s.mu.Unlock()
	if changed {
		s.router.logger.Info("sums are this daemon's own", "lead_before", before)
	}
	s.applyReach(now)
	others := s.aggregator.Others(now)
	s.view.SetPeerLoads(others.Loads, now)
	s.view.MergeEngineFigures(others.Paces)
	spent, refused := s.aggregator.SpentByOthers()
	s.applyOthersUsage(s.router.settings.VM.ID, s.router.incarnation, allowance.Counters{Spent: spent, Refused: refused}, changed && before != "", now)
}

// leaderTotals is what the lead has told last that this daemon listens to. Without
// one it is this daemon itself.
type leaderTotals struct {
	vm          string
	incarnation uint64
	receivedAt  time.Time
	// includedSequence is the sequence of this daemon's report that the sums hold, or zero.
	includedSequence uint64
	// stale is set once the lead has told sums that hold an older report than this daemon remembers.
	stale bool
	reach rollup.Reach
	// demand is what is asked of each service, without what was asked of this daemon,
	// which the sums also hold.
	demand, ownDemand map[string]demand.Load
	// versions are how the versions of services answered, at all daemons.
	versions rollout.Tallies
}

// currentLeader returns the lead that this daemon listens to, or nothing when it makes
// its own sums.
func (s *state) currentLeader(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader.vm == s.router.settings.VM.ID || now.Sub(s.leader.receivedAt) >= rollup.FreshFor {
		return ""
	}
	return s.leader.vm
}

// mayAcceptLeader reports whether one that is not the zone's lead, as this daemon sees
// it, may be listened to: who was listened to before, or anyone after its silence.
func (s *state) mayAcceptLeader(vm string, now time.Time) bool {
	current := s.currentLeader(now)
	return current == "" || current == vm
}

func subtractLoads(all, own map[uint32]backend.Load) map[uint32]backend.Load {
	for key, load := range own {
		rest := all[key]
		rest.Running -= load.Running
		rest.PendingTokens -= load.PendingTokens
		all[key] = rest
	}
	return all
}
