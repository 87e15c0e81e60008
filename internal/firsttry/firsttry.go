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
	// grain rounds limits, so that those of first tries are alike.
	grain = 10 * time.Millisecond
	// mostKept bounds the limits that are told apart on one route: those of callers that
	// come again are spread over all that is below the usual one.
	mostKept = 32
	// keep is the weight that is left of a request with the next one: some hundred
	// requests are remembered, so that a new usual limit is found within seconds.
	keep = 0.995
	// leastShare is the share of the requests that state the usual limit, below which none
	// is taken for usual: most callers do not come again.
	leastShare = 0.3
	// leastSeen is the weight of requests before which nothing is concluded.
	leastSeen = 10.0
	// recalled is the weight of what was known before a start.
	recalled = 50.0
)

// Limits learns the usual time limit of each route. It may be used by several
// goroutines.
type Limits struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route holds how often each limit was stated, by weight.
type route struct {
	weights map[time.Duration]float64
	sum     float64
}

// NewLimits returns limits that have seen nothing.
func NewLimits() *Limits { return &Limits{routes: map[string]*route{}} }

// Age takes over the time limit of a request and returns how long ago its caller first
// tried, zero where that is not known.
func (l *Limits) Age(name string, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[name]
	if r == nil {
		r = &route{weights: map[time.Duration]float64{}}
		l.routes[name] = r
	}
	r.saw(limit.Round(grain), 1)
	usual, known := r.usual()
	if !known {
		return 0
	}
	return max(0, usual-limit.Round(grain))
}

func (r *route) saw(limit time.Duration, weight float64) {
	for known := range r.weights {
		r.weights[known] *= keep
	}
	r.sum = keep*r.sum + weight
	r.weights[limit] += weight
	if len(r.weights) > mostKept {
		r.dropLeast(limit)
	}
}

// dropLeast forgets the limit with the least weight, but not the one just seen.
func (r *route) dropLeast(but time.Duration) {
	least, found := time.Duration(0), false
	for limit, weight := range r.weights {
		if limit != but && (!found || weight < r.weights[least]) {
			least, found = limit, true
		}
	}
	delete(r.weights, least)
}

// usual returns the limit that is stated most often.
func (r *route) usual() (time.Duration, bool) {
	usual, weight := time.Duration(0), 0.0
	for limit, w := range r.weights {
		if w > weight || (w == weight && limit > usual) {
			usual, weight = limit, w
		}
	}
	return usual, r.sum >= leastSeen && weight >= leastShare*r.sum
}

// Usual returns the usual limits as far as they are known, by route.
func (l *Limits) Usual() map[string]time.Duration {
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

// Recall takes over what was known before a start, for routes that nothing is known of.
func (l *Limits) Recall(usual map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, limit := range maps.All(usual) {
		if l.routes[name] == nil && limit > 0 {
			l.routes[name] = &route{weights: map[time.Duration]float64{}}
			l.routes[name].saw(limit.Round(grain), recalled)
		}
	}
}
