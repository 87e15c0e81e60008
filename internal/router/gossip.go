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
	// reportedWindows is the number of usage windows in a report: the current one and two that are
	// being settled.
	reportedWindows = 3
	// maxSentCounts is the number of own reports whose counts are kept, to subtract them from the
	// sums of a leader.
	maxSentCounts = 16
	// justStartedFor is how long after its start a process counts as just started. Everything that
	// it has spent was spent after others could receive its reports.
	justStartedFor = 3 * time.Second
	// ownSumsInterval is the minimum time between two applications of this daemon's own sums while
	// reports arrive.
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
	status.StreamAssignment, status.StreamAssignmentAgeMs = s.streamVersions.adoptedWithAge()
	status.Begun = s.streamVersions.report(status.GetSequence(), time.Now())
	now := time.Now()
	status.Limits = encodeLimits(s.view.Limits(status.GetSequence(), now), now)
	status.Leaving = encodeLeavingNotices(s.view.LeavingNotices(status.GetSequence(), now), now)
	status.Draining, status.Follows = s.router.draining.Load(), s.followsStore()
	status.ServersUnreachable = s.router.links.AllCutOff(now)
	status.Fence = s.ownFence()
	status.UptimeMs = time.Since(s.started).Milliseconds()
	status.CountingMs = max(1, s.limiter.countedFor().Milliseconds())
}

func (s *state) ownFence() int64 {
	if s.router.elector == nil {
		return 0
	}
	token, _ := s.router.elector.Token()
	return token.Fence
}

// followsStore reports whether this daemon follows the store and the store has answered since it
// does. Only then may the other daemons of the zone rely on it.
func (s *state) followsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.following.Load() && s.storeAnswered && !s.storeUnavailableLocked()
}

// LocalState implements gossip.Source.
func (s *state) LocalState() gossip.LocalState {
	return gossip.LocalState{StoreFailing: s.storeUnavailable(), Draining: s.router.draining.Load(), FollowsStore: s.followsStore(), ServersUnreachable: s.router.links.AllCutOff(time.Now())}
}

// OwnCounts implements gossip.Source.
func (s *state) OwnCounts(sequence uint64) *gossippb.Counts {
	now := time.Now()
	used := s.limiter.ownCounters()
	own := rollup.Counts{
		Spent: used.Spent, Refused: used.Refused, Asked: used.Asked, Loads: s.view.OwnLoads(), Demand: s.demand.Rates(now), DemandParts: s.ownDemandParts(now),
		EngineEstimates: s.view.EngineEstimates(), Versions: s.router.rollOuts.LocalTallies(), Warm: s.warmMeters(now),
	}
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

// encodeSums encodes sums over many daemons, with the loads compressed.
func (s *state) encodeSums(sums rollup.Counts) *gossippb.Counts {
	s.dropUnlimitedAccounts(sums, time.Now())
	listed, restMean := rollup.CompressLoads(sums.Loads, s.view.Keys)
	sums.Loads = listed
	counts := encodeCounts(sums)
	if restMean != (backend.Load{}) {
		counts.Rest = encodeLoad(0, restMean)
		for key, load := range listed {
			if load == (backend.Load{}) {
				// The zero load is listed because it differs from the mean of the rest.
				counts.Loads = append(counts.Loads, &gossippb.Load{Key: key})
			}
		}
	}
	return counts
}

// decodeSums reverses encodeSums.
func (s *state) decodeSums(counts *gossippb.Counts) rollup.Counts {
	sums := decodeCounts(counts)
	if encodedMean := counts.GetRest(); encodedMean != nil {
		rollup.ExpandLoads(sums.Loads, decodeLoad(encodedMean), s.view.Keys())
	}
	return sums
}

// RecentUses implements gossip.Source.
func (s *state) RecentUses() *gossippb.Uses {
	uses, known := s.limiter.usage()
	if !known {
		return nil
	}
	encoded := encodeUses(uses, s.limiter.demand())
	encoded.KnownMs = s.limiter.countedFor().Milliseconds()
	encoded.Demands = encodeDemand(s.demandHistory.Complete())
	return encoded
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
func (s *state) HandleReport(status *gossippb.Status, notBefore time.Time) {
	now := time.Now()
	s.mu.Lock()
	s.confirmList(status.GetServersDigest(), status.GetServersAgeMs(), now)
	s.mu.Unlock()
	s.router.handlePeerCompaction(status, now)
	s.router.mergeRollOuts(status, now)
	s.quarantine.Merge(decodeHeld(status.GetHeld()), 0, now)
	s.mergeLimits(status, now)
	s.mergeLeavingNotices(status, now)
	s.mergeSpeeds(status, now)
	s.streamVersions.mergeReport(status, now)
	s.streamVersions.confirm(status, notBefore)
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
	s.view.RecordNotice(load.GetKey(), decodeLoad(load), time.Now())
}

// sendNotice notifies other daemons of a large prompt that this daemon sends to a server.
func (s *state) sendNotice(server backend.Entry, prompt backend.Load) {
	s.router.node.SendNotice(encodeLoad(backend.KeyOf(server), prompt))
}

// addMemberReport adds the report of a daemon of the zone.
func (s *state) addMemberReport(status *gossippb.Status, own *gossippb.Counts, now time.Time) {
	uptime := time.Duration(status.GetUptimeMs()) * time.Millisecond
	s.ledger.MergePeer(status.GetVm(), status.GetIncarnation(), s.ledger.Plausible(decodeWindows(own.GetWindows()), now))
	s.aggregator.AddReport(rollup.Report{
		VM: status.GetVm(), Incarnation: status.GetIncarnation(), Sequence: status.GetSequence(),
		JustStarted: uptime < justStartedFor, Counts: decodeCounts(own),
	}, now)
}

// addZoneSummary adds the sums of another zone.
func (s *state) addZoneSummary(status *gossippb.Status, sum *gossippb.Counts, now time.Time) {
	s.ledger.MergeZone(status.GetZone(), s.ledger.Plausible(decodeWindows(sum.GetWindows()), now))
	s.aggregator.AddSummary(rollup.Summary{
		Zone: status.GetZone(), VM: status.GetVm(), Incarnation: status.GetIncarnation(),
		JustStarted: time.Duration(status.GetUptimeMs())*time.Millisecond < justStartedFor,
		Counts:      s.decodeSums(sum), Reach: decodeReach(status.GetZoneReach()),
	}, now)
}

// applyLeaderTotals applies the sums over all zones, unless this daemon aggregates them itself or
// accepts those of another leader.
func (s *state) applyLeaderTotals(status *gossippb.Status, all *gossippb.Counts, now time.Time) {
	if len(all.GetWindows()) > 0 {
		s.ledger.MergeAll(s.ledger.Plausible(decodeWindows(all.GetWindows()), now))
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
		reach: reach, demand: counts.Demand, ownDemand: own.Demand, warm: counts.Warm,
		demandParts: counts.DemandParts, ownDemandParts: own.DemandParts,
	}
	s.leader.versions = counts.Versions
	totals := s.leader
	s.view.MergeEngineEstimates(counts.EngineEstimates)
	s.reportedDaemons, s.reportedDaemonsAt = s.leader.reach.Known, now
	s.mu.Unlock()
	s.logLeaderChange(before)
	s.applyReach(now)
	s.view.SetPeerLoads(subtractLoads(counts.Loads, own.Loads), now)
	s.updateLevels(totals.othersDemand, now)
	rollup.Subtract(counts.Spent, own.Spent)
	rollup.Subtract(counts.Refused, own.Refused)
	// Only sums from the same process that include this daemon's counts can be compared.
	baseline := before.vm != status.GetVm() || before.incarnation != status.GetIncarnation() || before.includedSequence == 0 || status.GetTaken() == 0
	if baseline && s.bothJustStarted(status) {
		// Everything in the leader's sums was used since all daemons started.
		baseline = false
	}
	s.applyOthersUsage(allowance.Report{
		VM: status.GetVm(), Incarnation: status.GetIncarnation(), Counters: allowance.Counters{Spent: counts.Spent, Refused: counts.Refused, Asked: rollup.SubtractAsked(counts.Asked, own.Asked)},
		Baseline: baseline, JustStarted: warmup,
	}, now)
}

// logLeaderChange logs that the sums come from another leader than before.
func (s *state) logLeaderChange(before leaderTotals) {
	s.mu.Lock()
	leader := s.leader
	s.mu.Unlock()
	if leader.vm == before.vm && leader.incarnation == before.incarnation {
		return
	}
	s.router.logger.Info("using sums of another leader", "lead", leader.vm, "incarnation", leader.incarnation, "lead_before", before.vm,
		"own_report", leader.includedSequence, "heard", leader.reach.Reachable, "known", leader.reach.Known)
}

// recordStaleTotals records that the sums of a leader include a report of this daemon whose counts
// are not in sentCounts any more. Such sums cannot be compared and are ignored, so that after a
// while this daemon uses its own sums.
func (s *state) recordStaleTotals(status *gossippb.Status) {
	s.mu.Lock()
	first := !s.leader.stale
	s.leader.stale = true
	s.mu.Unlock()
	if first {
		s.router.logger.Info("leader has not received recent reports of this daemon", "lead", status.GetVm(), "own_report", status.GetTaken(), "sequence", status.GetSequence())
	}
}

// bothJustStarted reports whether this daemon and the sender have both just started.
func (s *state) bothJustStarted(status *gossippb.Status) bool {
	return time.Since(s.started) < justStartedFor && time.Duration(status.GetUptimeMs())*time.Millisecond < justStartedFor
}

// leaderWarmsUp reports whether a leader has started so recently that it may not have received the
// reports of all others yet, while this daemon has been running for longer.
func (s *state) leaderWarmsUp(status *gossippb.Status) bool {
	return time.Duration(status.GetUptimeMs())*time.Millisecond < rollup.FreshFor && !s.bothJustStarted(status)
}

// applyOthersUsage applies a report of what other daemons have used to the limiters.
func (s *state) applyOthersUsage(report allowance.Report, now time.Time) {
	interval := s.router.node.ReportInterval(now)
	reach, _ := s.reach(now)
	report.Age, report.Interval = max(interval, reach.MaxAge)+gossip.ReportLeadTime, interval
	s.limiter.applyReport(report)
}

// adoptUses adopts the usage of the workspaces from a daemon that has counted it for longer than
// this one, which has just started or has stalled.
func (s *state) adoptUses(status *gossippb.Status, now time.Time) {
	if status.GetUses() == nil {
		return
	}
	s.demandHistory.Restore(decodeDemand(status.GetUses().GetDemands()))
	if s.currentLeader(now) == "" {
		// The counts that the same report added to the sums are included in its uses.
		s.applyOwnSums(now)
	}
	uses, demandRates := decodeUses(status.GetUses())
	s.limiter.adoptFromPeer(uses, demandRates, time.Duration(status.GetUses().GetKnownMs())*time.Millisecond)
}

// applyOwnSums applies this daemon's own sums while it accepts those of no leader.
func (s *state) applyOwnSums(now time.Time) {
	s.mu.Lock()
	changed := s.leader.vm != s.router.settings.VM.ID
	before := s.leader.vm
	s.leader = leaderTotals{vm: s.router.settings.VM.ID}
	s.mu.Unlock()
	if changed {
		s.router.logger.Info("using own sums", "lead_before", before)
	}
	s.applyReach(now)
	others := s.aggregator.Others(now)
	s.view.SetPeerLoads(others.Loads, now)
	s.updateLevels(func(service string) (demand.Load, demand.Parts) {
		return others.Demand[service], others.DemandParts[service]
	}, now)
	s.view.MergeEngineEstimates(others.EngineEstimates)
	spent, refused := s.aggregator.SpentByOthers()
	s.applyOthersUsage(allowance.Report{
		VM: s.router.settings.VM.ID, Incarnation: s.router.incarnation, Counters: allowance.Counters{Spent: spent, Refused: refused, Asked: s.aggregator.AskedByOthers()},
		Baseline: changed && before != "", JustStarted: time.Since(s.started) < rollup.FreshFor,
	}, now)
}

// leaderTotals is the last totals from the leader that this daemon accepts. Without a leader, vm is
// this daemon itself.
type leaderTotals struct {
	vm          string
	incarnation uint64
	receivedAt  time.Time
	// includedSequence is the sequence number of this daemon's last report that the totals include,
	// or zero.
	includedSequence uint64
	// stale is set once the leader has sent totals that include only reports older than those in
	// sentCounts.
	stale bool
	reach rollup.Reach
	// demand is the total demand by service. It includes this daemon's own demand, which is
	// ownDemand.
	demand, ownDemand map[string]demand.Load
	// warm is the number of daemons in demand that have measured it for long enough.
	warm int
	// demandParts and ownDemandParts are the parts of them whose origin is known.
	demandParts, ownDemandParts map[string]demand.Parts
	// versions holds the results of service versions at all daemons.
	versions rollout.Tallies
}

// currentLeader returns the leader whose totals this daemon uses, or "" if it uses its own sums.
func (s *state) currentLeader(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader.vm == s.router.settings.VM.ID || now.Sub(s.leader.receivedAt) >= rollup.FreshFor {
		return ""
	}
	return s.leader.vm
}

// mayAcceptLeader reports whether totals may be accepted from a daemon that this daemon does not
// consider the leader of the zone: the previous leader, or any daemon once that is silent.
func (s *state) mayAcceptLeader(vm string, now time.Time) bool {
	current := s.currentLeader(now)
	return current == "" || current == vm
}

func subtractLoads(all, own map[uint32]backend.Load) map[uint32]backend.Load {
	for key, load := range own {
		all[key] = all[key].Minus(load)
	}
	return all
}
