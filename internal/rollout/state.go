package rollout

import "time"

// rolloutState is one order with what became of it.
type rolloutState struct {
	order     Order
	startedAt time.Time
	// halted is set once the version was found to be bad; why says by what.
	halted         bool
	haltReason     string
	step           Step
	stepReceivedAt time.Time
	detector       *detector
	requests       RequestCounts
	// initialRequests is the number of requests in the sums at countingSince, from which on they grew.
	initialRequests int64
	countingSince   time.Time
	// baselines is how long the stable version takes, by route.
	baselines map[string]latencyBaseline
	// shareChangedAt is when the holder, this daemon, last moved on to a larger share.
	shareChangedAt time.Time
	// routeShares are what the routes give the candidate, as of routeSharesAt.
	routeShares   map[string]float64
	routeSharesAt time.Time
}

// servesCandidate reports whether the candidate may get requests.
func (t *rolloutState) servesCandidate(stable string) bool {
	return t.order.Revision > 0 && !t.halted && !t.order.State.Ended() && t.order.Version != stable
}

// doubtful reports whether the version may be bad.
func (t *rolloutState) doubtful() bool {
	_, reached := t.detector.exceeded(doubtThreshold)
	return reached
}

// stepTTL is how long a step of the holder holds without being heard again: a daemon that
// hears nothing falls back to the share that it keeps by itself.
const stepTTL = 2 * time.Second

// requestedShare returns the share of all requests that the holder asks for, or zero.
func (t *rolloutState) requestedShare(now time.Time) float64 {
	if now.Sub(t.stepReceivedAt) >= stepTTL {
		return 0
	}
	return t.step.Share
}

// requestsPerSecond returns how often the service is asked for at all daemons, zero while that is not
// known.
func (t *rolloutState) requestsPerSecond(now time.Time) float64 {
	counted := now.Sub(t.countingSince)
	if t.countingSince.IsZero() || counted < minRateWindow {
		return 0
	}
	return float64(t.requests.Requests-t.initialRequests) / counted.Seconds()
}
