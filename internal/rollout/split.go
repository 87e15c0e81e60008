package rollout

import (
	"math"
	"time"
)

const (
	// trialFraction is the part of what a bad version may get that a candidate gets before it is
	// known to be sound. The rest is for the steps on the way to all requests, on which a
	// version shows that is bad only under load.
	trialFraction = 0.4
	// maxSlackShare bounds the share that the number of requests besides adds where a service is
	// asked for seldom.
	maxSlackShare = 0.3
	// minRateWindow is how long requests are counted until it is known how often the service is
	// asked for.
	minRateWindow = time.Second
	// maxRouteShare bounds the share of one route: a rare route gets more than its part, so that
	// a version that is bad there alone shows, but not most of it.
	maxRouteShare = 0.3
	// rateHalfLife halves the weight of older requests in a route's rate.
	rateHalfLife = 3 * time.Second
	// nonIdempotentAfter is the part of the trial for which requests that run once at most are kept
	// from the candidate: those that may be sent again show first whether it is sound.
	nonIdempotentAfter = 0.25
)

// requestRate is how often a route is asked for, as a decaying count.
type requestRate struct {
	count     float64
	updatedAt time.Time
	// nonIdempotent is set for a route whose requests run once at most.
	nonIdempotent bool
}

func (r *requestRate) decayedCount(now time.Time) float64 {
	return r.count * math.Exp2(-now.Sub(r.updatedAt).Seconds()/rateHalfLife.Seconds())
}

func (r *requestRate) add(now time.Time) {
	r.count, r.updatedAt = r.decayedCount(now)+1, now
}

// splitShare divides a share of all requests among routes so that each sends the candidate as
// many, up to a bound: what a rare route cannot use goes to the others.
func splitShare(rates map[string]float64, share float64) map[string]float64 {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	shares := map[string]float64{}
	left, open := share*total, map[string]float64{}
	for route, r := range rates {
		if r > 0 {
			open[route] = r
		}
	}
	for len(open) > 0 {
		each, full := left/float64(len(open)), ""
		for route, r := range open {
			if each > maxRouteShare*r && (full == "" || route < full) {
				full = route
			}
		}
		if full == "" {
			for route, r := range open {
				shares[route] = each / r
			}
			return shares
		}
		shares[full] = maxRouteShare
		left -= maxRouteShare * open[full]
		delete(open, full)
	}
	return shares
}

func (b *Tracker) routeRate(service, route string, once bool) *requestRate {
	if b.rates[service] == nil {
		b.rates[service] = map[string]*requestRate{}
	}
	r := b.rates[service][route]
	if r == nil {
		r = &requestRate{nonIdempotent: once}
		b.rates[service][route] = r
	}
	r.nonIdempotent = once
	return r
}

// shareUpdateInterval is how often the shares of routes are worked out anew.
const shareUpdateInterval = 200 * time.Millisecond

// routeShare returns the share of a route's requests that this daemon sends the candidate by
// itself.
func (b *Tracker) routeShare(t *rolloutState, service, route string, now time.Time) float64 {
	if t.routeShares == nil || now.Sub(t.routeSharesAt) >= shareUpdateInterval {
		t.routeSharesAt = now
		trusted := now.Sub(t.startedAt) >= time.Duration(nonIdempotentAfter*shiftFraction*float64(t.order.Duration)) && !t.doubtful()
		rates, total, open := map[string]float64{}, 0.0, 0.0
		for name, r := range b.rates[service] {
			perSecond := r.decayedCount(now)
			total += perSecond
			if !r.nonIdempotent || trusted {
				rates[name] = perSecond
				open += perSecond
			}
		}
		t.routeShares = map[string]float64{}
		if open > 0 {
			t.routeShares = splitShare(rates, b.trialShare(t, now)*total/open)
		}
	}
	return t.routeShares[route]
}

// trialShare returns the share of all requests that the candidate gets while it is tried. A
// service that is asked for seldom gives it more, by the number of requests besides: of 144
// requests a tenth would tell nothing.
func (b *Tracker) trialShare(t *rolloutState, now time.Time) float64 {
	share := b.bounds.Share
	if perSecond := t.requestsPerSecond(now); perSecond > 0 {
		share += min(maxSlackShare, float64(b.bounds.Slack)/(perSecond*t.order.Duration.Seconds()))
	}
	return trialFraction * share
}
