package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/rollup"
)

// zoneReach returns which daemons of this zone are reachable, including this one.
func (s *state) zoneReach(now time.Time) rollup.Reach {
	reach := rollup.Reach{Reachable: 1, Known: 1, Fence: s.ownFence(), StreamAssignment: s.streamVersions.adopted()}
	zone := s.router.settings.VM.Zone
	for _, p := range s.router.members.Known(now) {
		if p.Zone == zone {
			reach.Known++
		}
	}
	for _, p := range s.router.members.Reachable(now) {
		if p.Zone == zone {
			reach.Reachable++
			reach.Fence = max(reach.Fence, p.Fence)
			reach.StreamAssignment = min(reach.StreamAssignment, p.StreamAssignment)
		}
	}
	if !s.router.registered.Load() && now.Sub(s.started) < reportedDaemonsFor {
		// Other daemons of the zone may not be known yet, and may have adopted an earlier assignment.
		reach.StreamAssignment = 0
	}
	return reach
}

// reach returns which daemons are reachable, directly or through zone leaders, and whether all
// known daemons are.
func (s *state) reach(now time.Time) (rollup.Reach, bool) {
	if s.currentLeader(now) != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.leader.reach, s.leader.reach.Reachable >= s.leader.reach.Known
	}
	sum := s.zoneReach(now)
	remote, complete := s.aggregator.Reach(now)
	known := max(sum.Known+s.knownInOtherZones(now, remote.Known), s.recentReportedDaemons(now))
	sum.Add(remote)
	sum.Known = known
	return sum, complete && sum.Reachable >= sum.Known
}

// applyReach applies the number of reachable daemons to the shared limits. A daemon that has just
// started and knows no other skips this, because others may have started at the same time.
func (s *state) applyReach(now time.Time) {
	reach, _ := s.reach(now)
	if reach.Known <= 1 && !s.router.registered.Load() {
		return
	}
	s.limiter.setReachable(reach.Reachable, reach.Known)
}

// reportedDaemonsFor is how long the number of daemons that a leader reported is used: as long as a
// silent daemon counts as one of the deployment.
const reportedDaemonsFor = 30 * time.Second

// recentReportedDaemons returns the number of daemons that the last leader reported, or zero if
// that is too long ago. A daemon that is partitioned from its zone knows few of the others by name.
func (s *state) recentReportedDaemons(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.reportedDaemonsAt) >= reportedDaemonsFor {
		return 0
	}
	return s.reportedDaemons
}

// knownInOtherZones returns the number of daemons in other zones: the number reported by their
// leaders or the number of members known here, whichever is larger.
func (s *state) knownInOtherZones(now time.Time, reported int) int {
	known := 0
	for _, p := range s.router.members.Known(now) {
		if p.Zone != s.router.settings.VM.Zone {
			known++
		}
	}
	return max(known, reported)
}
