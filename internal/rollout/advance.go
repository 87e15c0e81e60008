package rollout

import "time"

// Fleet is the lease holder's view of a service's servers.
type Fleet struct {
	// CandidateServers is the number of servers of the candidate that accept requests.
	CandidateServers int
	// StableInFlight is the number of requests in flight at servers of the stable version, over
	// all reachable daemons.
	StableInFlight int
}

// StateChange is a state that the lease holder has to write to the store.
type StateChange struct {
	Order  Order
	State  State
	Reason string
}

// FleetFunc returns the lease holder's view of the servers of both versions. It must not call
// the Tracker, which is locked.
type FleetFunc func(service, stable, candidate string) Fleet

// Advance moves each roll-out forward at the lease holder: it sets the candidate's share and
// returns the states to write.
func (t *Tracker) Advance(fence int64, fleetOf FleetFunc, now time.Time) []StateChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []StateChange
	for service, s := range t.rollouts {
		if s.order.State.Ended() || s.order.Revision == 0 {
			continue
		}
		if state, reason := t.nextState(service, s, fence, fleetOf(service, t.stable[service], s.order.Version), now); state != s.order.State {
			changes = append(changes, StateChange{Order: s.order, State: state, Reason: reason})
		}
	}
	return changes
}

// nextState returns the state due for a roll-out and the reason, and sets the candidate's
// share.
func (t *Tracker) nextState(service string, s *rolloutState, fence int64, fleet Fleet, now time.Time) (State, string) {
	stable := t.stable[service]
	switch {
	case !t.bounds.Enabled():
		return StateRolledBack, "roll-outs are not allowed by the settings"
	case s.halted:
		return StateRolledBack, s.haltReason
	case stable == "":
		return StateRunning, "stable version is not known yet"
	case stable == s.order.Version:
		return StateCompleted, "service already runs this version"
	}
	age := now.Sub(s.startedAt)
	times := newSchedule(s.order.Duration)
	if age < times.shiftAt {
		s.setStep(fence, 0, now)
		return StateRunning, ""
	}
	if s.requestedShare(now) == 0 && !t.readyToShift(s, fleet, age, now) {
		if age >= times.finishAt {
			return StateRolledBack, "too few answers of the candidate, or its answers may be bad"
		}
		s.setStep(fence, 0, now)
		return StateRunning, ""
	}
	return s.advanceShift(fence, fleet, times, age, now)
}

// advanceShift raises the candidate's share step by step. Each step lasts long enough for its
// effect on the candidate to show, also after a change of the lease holder and however late it
// is: a new holder continues from the step of the old one. At the last step all requests go to
// the candidate until nothing is in flight at old servers or the remaining time runs out.
func (s *rolloutState) advanceShift(fence int64, fleet Fleet, times schedule, age time.Duration, now time.Time) (State, string) {
	share := s.requestedShare(now)
	if s.shareChangedAt.IsZero() {
		s.shareChangedAt = now
	}
	elapsed := now.Sub(s.shareChangedAt)
	switch {
	case share == 0:
		share, s.shareChangedAt = shiftSteps[0], now
	case share < 1 && elapsed >= times.stepDuration:
		share, s.shareChangedAt = nextShare(share), now
	case share < 1 || elapsed < times.stepDuration:
	case fleet.StableInFlight == 0 || age >= times.finishAt:
		return StateCompleted, "all requests go to the candidate"
	}
	s.setStep(fence, share, now)
	return StateRunning, ""
}

// readyToShift reports whether enough is known of the candidate to raise its share. Fewer
// answers are enough for a service with so little traffic that the bounds allow a bad version
// all remaining requests.
func (t *Tracker) readyToShift(s *rolloutState, fleet Fleet, age time.Duration, now time.Time) bool {
	if fleet.CandidateServers == 0 || s.doubtful() {
		return false
	}
	if s.detector.answers() >= minCandidateAnswers {
		return true
	}
	perSecond := s.requestsPerSecond(now)
	remaining := perSecond * max(0, s.order.Duration-age).Seconds()
	allowed := t.bounds.Share*perSecond*s.order.Duration.Seconds() + float64(t.bounds.Slack)
	return s.detector.answers() >= minCandidateAnswersLowTraffic && perSecond > 0 && float64(s.requests.Exposed)+remaining <= allowed
}

// setStep sets the share requested from all daemons. Each call makes a new step, which renews
// its TTL at the daemons.
func (s *rolloutState) setStep(fence int64, share float64, now time.Time) {
	s.step = Step{Share: share, Fence: fence, Serial: max(s.step.Serial+1, now.UnixMilli())}
	s.stepReceivedAt = now
}
