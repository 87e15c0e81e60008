// Package firsttry infers from the timeouts of requests how long ago their callers first tried.
// Callers send the same timeout with each first try. A caller that retries has less time left and
// sends a shorter one. The package does no I/O and has no clock.
package firsttry

import (
	"maps"
	"sync"
	"time"
)

const (
	// timeoutResolution is the resolution to which timeouts are rounded, so that those of first
	// tries are equal.
	timeoutResolution = 10 * time.Millisecond
	// maxTrackedTimeouts limits the number of distinct timeouts tracked for one route. The timeouts
	// of retries spread over the whole range below the usual one.
	maxTrackedTimeouts = 32
	// decayFactor is the factor by which each request reduces the weight of the earlier ones. The
	// weights cover a few hundred requests, so that a new usual timeout is detected within seconds.
	decayFactor = 0.995
	// minUsualShare is the least share of the requests that must have the most frequent timeout for
	// it to count as the usual one. Most callers do not retry.
	minUsualShare = 0.3
	// minTotalWeight is the total weight of requests below which no usual timeout is inferred.
	minTotalWeight = 10.0
	// restoredWeight is the weight of a usual timeout that was restored after a start.
	restoredWeight = 50.0
)

// CallerTimeouts learns the usual caller timeout of each route. It is safe for concurrent use.
type CallerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeouts
}

// routeTimeouts holds the weights of the timeouts of one route.
type routeTimeouts struct {
	weights     map[time.Duration]float64
	totalWeight float64
}

// NewCallerTimeouts returns CallerTimeouts without observations.
func NewCallerTimeouts() *CallerTimeouts { return &CallerTimeouts{routes: map[string]*routeTimeouts{}} }

// maxRetryShare is the share of a route's requests from which on a timeout counts as that of first
// tries of some callers. The timeouts of retries differ from each other.
const maxRetryShare = 0.05

// Age records the timeout of a request and returns how long ago its caller probably first tried. It
// returns zero if the timeout may be that of a first try. Callers with several timeouts on one route
// make it wrong, so it may decide who goes first, but not what is true.
func (c *CallerTimeouts) Age(routeName string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[routeName]
	if r == nil {
		r = &routeTimeouts{weights: map[time.Duration]float64{}}
		c.routes[routeName] = r
	}
	rounded := timeout.Round(timeoutResolution)
	r.add(rounded, 1)
	usual, known := r.usual()
	if !known || rounded+timeoutResolution >= usual || r.weights[rounded] > maxRetryShare*r.totalWeight {
		return 0
	}
	return usual - rounded
}

func (r *routeTimeouts) add(timeout time.Duration, weight float64) {
	for tracked := range r.weights {
		r.weights[tracked] *= decayFactor
	}
	r.totalWeight = decayFactor*r.totalWeight + weight
	r.weights[timeout] += weight
	if len(r.weights) > maxTrackedTimeouts {
		r.evictLightest(timeout)
	}
}

// evictLightest removes the timeout with the least weight, except for the one just added.
func (r *routeTimeouts) evictLightest(keep time.Duration) {
	least, found := time.Duration(0), false
	for timeout, weight := range r.weights {
		if timeout != keep && (!found || weight < r.weights[least]) {
			least, found = timeout, true
		}
	}
	delete(r.weights, least)
}

// usual returns the timeout with the highest weight, and whether it counts as the usual one.
func (r *routeTimeouts) usual() (time.Duration, bool) {
	usual, weight := time.Duration(0), 0.0
	for timeout, w := range r.weights {
		if w > weight || (w == weight && timeout > usual) {
			usual, weight = timeout, w
		}
	}
	return usual, r.totalWeight >= minTotalWeight && weight >= minUsualShare*r.totalWeight
}

// Usual returns the usual timeouts that are known, by route.
func (c *CallerTimeouts) Usual() map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[string]time.Duration{}
	for name, r := range c.routes {
		if usual, ok := r.usual(); ok {
			known[name] = usual
		}
	}
	return known
}

// Restore adds usual timeouts saved before a restart, for routes without observations.
func (c *CallerTimeouts) Restore(usual map[string]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, timeout := range maps.All(usual) {
		if c.routes[name] == nil && timeout > 0 {
			c.routes[name] = &routeTimeouts{weights: map[time.Duration]float64{}}
			c.routes[name].add(timeout.Round(timeoutResolution), restoredWeight)
		}
	}
}
