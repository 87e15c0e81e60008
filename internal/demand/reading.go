package demand

import (
	"maps"
	"sync"
)

// minWarmShare is the share of the known daemons whose measurements make a sum complete. Callers of a
// daemon that restarts use the others meanwhile, so that a few missing daemons hardly change the sum.
const minWarmShare = 0.8

// Coverage describes which daemons' measurements are in a sum.
type Coverage struct {
	// Known is the number of daemons of the deployment, Reachable the number of those in the sum, and
	// Warm the number of those that have measured the demand for long enough.
	Known, Reachable, Warm int
}

// Complete reports whether the sum covers so many daemons that a low sum means a low demand.
func (c Coverage) Complete() bool {
	return c.Warm > 0 && float64(c.Warm) >= minWarmShare*float64(c.Known)
}

// scale is the factor from a complete sum to the demand of all reachable daemons.
func (c Coverage) scale() float64 {
	return max(1, float64(c.Reachable)/float64(c.Warm))
}

// Reading is the demand for one service over all daemons.
type Reading struct {
	Load Load
	// Incomplete is set if too few daemons have measured the demand. Load is then at least the last
	// complete demand, and servers must not be removed because of it.
	Incomplete bool
}

// History retains the last complete demand for each service. Daemons that have just started or cannot
// be reached measure nothing, and without it their silence would look like callers that have left. It
// is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	complete map[string]Load
}

// NewHistory returns a History without readings.
func NewHistory() *History { return &History{complete: map[string]Load{}} }

// Read evaluates the summed demand for a service, and retains it if it is complete.
func (h *History) Read(service string, sum Load, coverage Coverage) Reading {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !coverage.Complete() {
		return Reading{Load: sum.Max(h.complete[service]), Incomplete: true}
	}
	h.complete[service] = sum.Scaled(coverage.scale())
	return Reading{Load: h.complete[service]}
}

// Restore sets the last complete demands as known to a peer or recorded before the start of this
// process. Those that are known already take precedence.
func (h *History) Restore(demands map[string]Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, load := range demands {
		if _, known := h.complete[service]; !known && load.valid() {
			h.complete[service] = load
		}
	}
}

// Complete returns the last complete demand by service.
func (h *History) Complete() map[string]Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.complete)
}
