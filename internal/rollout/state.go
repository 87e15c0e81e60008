package rollout

import "time"

// rolloutState is the state of one order at this daemon.
type rolloutState struct {
	order     Order
	startedAt time.Time
	// halted is set once the version was found to be bad, with the reason.
	halted         bool
	haltReason     string
	step           Step
	stepReceivedAt time.Time
	detector       *detector
	requests       RequestCounts
	// initialRequests is the number of requests in the sums at countingSince. The request rate
	// is computed from the increase since then.
	initialRequests int64
	countingSince   time.Time
	// baselines holds the latency baseline of each route.
	baselines map[string]latencyBaseline
	// shareChangedAt is when this daemon, as the lease holder, last raised the share.
	shareChangedAt time.Time
	// routeShares are the candidate's shares by route, computed at routeSharesAt.
	routeShares   map[string]float64
	routeSharesAt time.Time
}

// servesCandidate reports whether the candidate may get requests.
func (s *rolloutState) servesCandidate(stable string) bool {
	return s.order.Revision > 0 && !s.halted && !s.order.State.Ended() && s.order.Version != stable
}

// doubtful reports whether the evidence that the version is bad reaches doubtThreshold.
func (s *rolloutState) doubtful() bool {
	_, reached := s.detector.exceeded(doubtThreshold)
	return reached
}

// stepTTL is how long a step received from the lease holder stays valid. A daemon that receives
// no newer step within this time returns to its own trial share.
const stepTTL = 2 * time.Second

// requestedShare returns the share of all requests set by the lease holder, or zero.
func (s *rolloutState) requestedShare(now time.Time) float64 {
	if now.Sub(s.stepReceivedAt) >= stepTTL {
		return 0
	}
	return s.step.Share
}

// requestsPerSecond returns the request rate of the service over all daemons, or zero while it
// is not known.
func (s *rolloutState) requestsPerSecond(now time.Time) float64 {
	window := now.Sub(s.countingSince)
	if s.countingSince.IsZero() || window < minRateWindow {
		return 0
	}
	return float64(s.requests.Requests-s.initialRequests) / window.Seconds()
}
