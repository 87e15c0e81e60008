package rollout

import (
	"math"
	"time"
)

const (
	// trialFraction is the fraction of the bound for bad versions that a candidate gets before
	// it is known to be sound. The rest is reserved for the shift to all requests, in which a
	// version that is bad only under load is detected.
	trialFraction = 0.4
	// maxSlackShare bounds the share that Bounds.Slack adds for a service with little traffic.
	maxSlackShare = 0.3
	// minRateWindow is how long requests are counted before their rate is used.
	minRateWindow = time.Second
	// maxRouteShare bounds the candidate's share of one route. A rare route sends the candidate
	// more than its part, so that a version that is bad only there is detected, but not most of
	// its requests.
	maxRouteShare = 0.3
	// rateHalfLife is the half-life of the weight of requests in a route's rate.
	rateHalfLife = 3 * time.Second
	// nonIdempotentAfter is the fraction of the trial before which the candidate gets no
	// requests that may run at most once. Requests that can be retried show first whether the
	// version is sound.
	nonIdempotentAfter = 0.25
)

// requestRate is an exponentially decaying count of the requests on a route.
type requestRate struct {
	count     float64
	updatedAt time.Time
	// nonIdempotent is set for a route whose requests may run at most once.
	nonIdempotent bool
}

func (r *requestRate) decayedCount(now time.Time) float64 {
	return r.count * math.Exp2(-now.Sub(r.updatedAt).Seconds()/rateHalfLife.Seconds())
}

func (r *requestRate) add(now time.Time) {
	r.count, r.updatedAt = r.decayedCount(now)+1, now
}

// splitShare divides a share of all requests among routes so that each route sends the
// candidate the same number of requests, up to maxRouteShare. What a rare route cannot use goes
// to the others.
func splitShare(rates map[string]float64, share float64) map[string]float64 {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	shares := map[string]float64{}
	remaining, unassigned := share*total, map[string]float64{}
	for route, r := range rates {
		if r > 0 {
			unassigned[route] = r
		}
	}
	for len(unassigned) > 0 {
		perRoute, capped := remaining/float64(len(unassigned)), ""
		for route, r := range unassigned {
			if perRoute > maxRouteShare*r && (capped == "" || route < capped) {
				capped = route
			}
		}
		if capped == "" {
			for route, r := range unassigned {
				shares[route] = perRoute / r
			}
			return shares
		}
		shares[capped] = maxRouteShare
		remaining -= maxRouteShare * unassigned[capped]
		delete(unassigned, capped)
	}
	return shares
}

func (t *Tracker) routeRate(service, route string, nonIdempotent bool) *requestRate {
	if t.rates[service] == nil {
		t.rates[service] = map[string]*requestRate{}
	}
	r := t.rates[service][route]
	if r == nil {
		r = &requestRate{nonIdempotent: nonIdempotent}
		t.rates[service][route] = r
	}
	r.nonIdempotent = nonIdempotent
	return r
}

// shareUpdateInterval is the time between two computations of the route shares.
const shareUpdateInterval = 200 * time.Millisecond

// routeShare returns the share of a route's requests that this daemon sends to the candidate
// while the lease holder requests no share.
func (t *Tracker) routeShare(s *rolloutState, service, route string, now time.Time) float64 {
	if s.routeShares == nil || now.Sub(s.routeSharesAt) >= shareUpdateInterval {
		s.routeSharesAt = now
		allowNonIdempotent := now.Sub(s.startedAt) >= time.Duration(nonIdempotentAfter*shiftFraction*float64(s.order.Duration)) && !s.doubtful()
		rates, total, eligible := map[string]float64{}, 0.0, 0.0
		for name, r := range t.rates[service] {
			perSecond := r.decayedCount(now)
			total += perSecond
			if !r.nonIdempotent || allowNonIdempotent {
				rates[name] = perSecond
				eligible += perSecond
			}
		}
		s.routeShares = map[string]float64{}
		if eligible > 0 {
			s.routeShares = splitShare(rates, t.trialShare(s, now)*total/eligible)
		}
	}
	return s.routeShares[route]
}

// trialShare returns the share of all requests that the candidate gets during the trial. For a
// service with little traffic, Bounds.Slack raises it: a tenth of 144 requests would not be
// enough to detect anything.
func (t *Tracker) trialShare(s *rolloutState, now time.Time) float64 {
	share := t.bounds.Share
	if perSecond := s.requestsPerSecond(now); perSecond > 0 {
		share += min(maxSlackShare, float64(t.bounds.Slack)/(perSecond*s.order.Duration.Seconds()))
	}
	return trialFraction * share
}

// StreamTrial returns the candidate of a service, or empty. Streams that may be resumed run at it as
// the other requests do, but only those that all daemons know may: moved is the share of all streams
// that go there, and shared the share of those that may, which is the most that daemons send there
// before the share rises the next time.
func (t *Tracker) StreamTrial(service string, now time.Time) (version string, moved, shared float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.rollouts[service]
	if s == nil || !s.servesCandidate(t.stable[service]) {
		return "", 0, 0
	}
	moved = s.requestedShare(now)
	if moved == 0 {
		return s.order.Version, 0, maxRouteShare
	}
	return s.order.Version, moved, max(maxRouteShare, nextShare(moved))
}
