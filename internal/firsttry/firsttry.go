// Package firsttry tells from the time limits that callers state how long ago a caller
// first tried. A caller that comes again has less time left than those that come for
// the first time, and these all state the same. It does no I/O and has no clock.
package firsttry

import (
	"maps"
	"sync"
	"time"
)

const (
	// timeoutResolution rounds limits, so that those of first tries are alike.
	timeoutResolution = 10 * time.Millisecond
	// maxTrackedTimeouts bounds the limits that are told apart on one route: those of callers that
	// come again are spread over all that is below the usual one.
	maxTrackedTimeouts = 32
	// decayFactor is the weight that is left of a request with the next one: some hundred
	// requests are remembered, so that a new usual limit is found within seconds.
	decayFactor = 0.995
	// minUsualShare is the share of the requests that state the usual limit, below which none
	// is taken for usual: most callers do not come again.
	minUsualShare = 0.3
	// minTotalWeight is the weight of requests before which nothing is concluded.
	minTotalWeight = 10.0
	// restoredWeight is the weight of what was known before a start.
	restoredWeight = 50.0
)

// CallerTimeouts learns the usual time limit of each route. It may be used by several
// goroutines.
type CallerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeouts
}

// routeTimeouts holds how often each limit was stated, by weight.
type routeTimeouts struct {
	weights     map[time.Duration]float64
	totalWeight float64
}

// NewCallerTimeouts returns limits that have seen nothing.
func NewCallerTimeouts() *CallerTimeouts { return &CallerTimeouts{routes: map[string]*routeTimeouts{}} }

// Age takes over the time limit of a request and returns how long ago its caller first
// tried, zero where that is not known.
func (l *CallerTimeouts) Age(name string, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[name]
	if r == nil {
		r = &routeTimeouts{weights: map[time.Duration]float64{}}
		l.routes[name] = r
	}
	r.add(limit.Round(timeoutResolution), 1)
	usual, known := r.usual()
	if !known {
		return 0
	}
	return max(0, usual-limit.Round(timeoutResolution))
}

func (r *routeTimeouts) add(limit time.Duration, weight float64) {
	for known := range r.weights {
		r.weights[known] *= decayFactor
	}
	r.totalWeight = decayFactor*r.totalWeight + weight
	r.weights[limit] += weight
	if len(r.weights) > maxTrackedTimeouts {
		r.evictLightest(limit)
	}
}

// evictLightest forgets the limit with the least weight, but not the one just seen.
func (r *routeTimeouts) evictLightest(but time.Duration) {
	least, found := time.Duration(0), false
	for limit, weight := range r.weights {
		if limit != but && (!found || weight < r.weights[least]) {
			least, found = limit, true
		}
	}
	delete(r.weights, least)
}

// usual returns the limit that is stated most often.
func (r *routeTimeouts) usual() (time.Duration, bool) {
	usual, weight := time.Duration(0), 0.0
	for limit, w := range r.weights {
		if w > weight || (w == weight && limit > usual) {
			usual, weight = limit, w
		}
	}
	return usual, r.totalWeight >= minTotalWeight && weight >= minUsualShare*r.totalWeight
}

// Usual returns the usual limits as far as they are known, by route.
func (l *CallerTimeouts) Usual() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[string]time.Duration{}
	for name, r := range l.routes {
		if usual, ok := r.usual(); ok {
			known[name] = usual
		}
	}
	return known
}

// Restore takes over what was known before a start, for routes that nothing is known of.
func (l *CallerTimeouts) Restore(usual map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, limit := range maps.All(usual) {
		if l.routes[name] == nil && limit > 0 {
			l.routes[name] = &routeTimeouts{weights: map[time.Duration]float64{}}
			l.routes[name].add(limit.Round(timeoutResolution), restoredWeight)
		}
	}
}
