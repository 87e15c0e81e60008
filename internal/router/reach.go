package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/rollup"
)

// zoneReach returns which daemons of this zone are heard, this one included.
func (s *state) zoneReach(now time.Time) rollup.Reach {
	reach := rollup.Reach{Reachable: 1, Known: 1, Fence: s.ownFence()}
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
		}
	}
	return reach
}

// reach returns which daemons are heard, directly or through leads, and whether
// all that are known are.
func (s *state) reach(now time.Time) (rollup.Reach, bool) {
	if s.currentLeader(now) != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.leader.reach, s.leader.reach.Reachable >= s.leader.reach.Known
	}
	sum := s.zoneReach(now)
	far, complete := s.aggregator.Reach(now)
	sum.Reachable += far.Reachable
	sum.Known = max(sum.Known+s.knownInOtherZones(now, far.Known), s.recentReportedDaemons(now))
	sum.Fence = max(sum.Fence, far.Fence)
	sum.MaxAge = far.MaxAge
	return sum, complete && sum.Reachable >= sum.Known
}

// applyReach takes over which daemons are heard where limits are shared by all. A daemon
// that has just started and knows of no other says nothing: others may have started
// with it.
func (s *state) applyReach(now time.Time) {
	reach, _ := s.reach(now)
	if reach.Known <= 1 && !s.router.registered.Load() {
		return
	}
	s.limiter.setReachable(reach.Reachable, reach.Known)
	s.router.retryBudget.SetDaemons(reach.Known)
}

// reportedDaemonsFor is how long the number of daemons that a lead told is remembered: as long
// as a silent daemon counts as one of the deployment.
const reportedDaemonsFor = 30 * time.Second

// recentReportedDaemons returns the number of daemons that the last lead told of. A daemon that
// is cut off from its zone knows few of the others by name.
func (s *state) recentReportedDaemons(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.reportedDaemonsAt) >= reportedDaemonsFor {
		return 0
	}
	return s.reportedDaemons
}

// knownInOtherZones returns the number of daemons of other zones: as their leads tell, or
// as this daemon has learned, whichever is more.
func (s *state) knownInOtherZones(now time.Time, told int) int {
	known := 0
	for _, p := range s.router.members.Known(now) {
		if p.Zone != s.router.settings.VM.Zone {
			known++
		}
	}
	return max(known, told)
}
