package rollout

import "time"

// Fleet is what the holder sees of a service's servers.
type Fleet struct {
	// CandidateServers is the number of servers of the candidate that take work.
	CandidateServers int
	// StableInFlight is the number of requests in flight at servers of the stable version, of all
	// daemons that are heard.
	StableInFlight int
}

// StateChange is a state that the holder of the lease has to write.
type StateChange struct {
	Order  Order
	State  State
	Reason string
}

// FleetFunc returns what the holder sees of a service's servers of both versions. It must not
// call the board.
type FleetFunc func(service, stable, candidate string) Fleet

// Advance decides what is next in each roll-out, for the holder of the lease: how much goes to
// the candidate, and what is to be written.
func (b *Tracker) Advance(fence int64, servers FleetFunc, now time.Time) []StateChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var outcomes []StateChange
	for service, t := range b.rollouts {
		if t.order.State.Ended() || t.order.Revision == 0 {
			continue
		}
		if state, why := b.nextState(service, t, fence, servers(service, b.stable[service], t.order.Version), now); state != t.order.State {
			outcomes = append(outcomes, StateChange{Order: t.order, State: state, Reason: why})
		}
	}
	return outcomes
}

// nextState returns the state that a roll-out has to have now, and moves the share on.
func (b *Tracker) nextState(service string, t *rolloutState, fence int64, fleet Fleet, now time.Time) (State, string) {
	stable := b.stable[service]
	switch {
	case !b.bounds.Enabled():
		return StateRolledBack, "the settings allow no roll-out"
	case t.halted:
		return StateRolledBack, t.haltReason
	case stable == "":
		return StateRunning, "the version that the service has is not known yet"
	case stable == t.order.Version:
		return StateCompleted, "the service has this version already"
	}
	age := now.Sub(t.startedAt)
	times := newSchedule(t.order.Duration)
	if age < times.shiftAt {
		t.setStep(fence, 0, now)
		return StateRunning, ""
	}
	if t.requestedShare(now) == 0 && !b.readyToShift(t, fleet, age, now) {
		if age >= times.finishAt {
			return StateRolledBack, "too little is known of the version, or it is doubtful"
		}
		t.setStep(fence, 0, now)
		return StateRunning, ""
	}
	return t.advanceShift(fence, fleet, times, age, now)
}

// advanceShift moves on to all requests, each step for as long as it takes to show how the version
// bears it, whoever holds the lease meanwhile and however late it is: an old holder's step is
// gone on from. All requests go to the candidate until nothing runs on old servers, or no
// longer than the time left allows.
func (t *rolloutState) advanceShift(fence int64, fleet Fleet, times schedule, age time.Duration, now time.Time) (State, string) {
	share := t.requestedShare(now)
	if t.shareChangedAt.IsZero() {
		t.shareChangedAt = now
	}
	waited := now.Sub(t.shareChangedAt)
	switch {
	case share == 0:
		share, t.shareChangedAt = shiftSteps[0], now
	case share < 1 && waited >= times.stepDuration:
		share, t.shareChangedAt = nextShare(share), now
	case share < 1 || waited < times.stepDuration:
	case fleet.StableInFlight == 0 || age >= times.finishAt:
		return StateCompleted, "all requests go to the version"
	}
	t.setStep(fence, share, now)
	return StateRunning, ""
}

// readyToShift reports whether enough is known of the candidate to send it more. Of a service that
// is asked for so seldom that a bad version may get all requests that are left, little is
// enough.
func (b *Tracker) readyToShift(t *rolloutState, fleet Fleet, age time.Duration, now time.Time) bool {
	if fleet.CandidateServers == 0 || t.doubtful() {
		return false
	}
	if t.detector.answers() >= minCandidateAnswers {
		return true
	}
	perSecond := t.requestsPerSecond(now)
	left := perSecond * max(0, t.order.Duration-age).Seconds()
	allowed := b.bounds.Share*perSecond*t.order.Duration.Seconds() + float64(b.bounds.Slack)
	return t.detector.answers() >= minCandidateAnswersLowTraffic && perSecond > 0 && float64(t.requests.Exposed)+left <= allowed
}

// setStep sets the share that all daemons are asked for. Each word is a new one, so that daemons
// hear that it still holds.
func (t *rolloutState) setStep(fence int64, share float64, now time.Time) {
	t.step = Step{Share: share, Fence: fence, Serial: max(t.step.Serial+1, now.UnixMilli())}
	t.stepReceivedAt = now
}
