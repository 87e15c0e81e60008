// Package capacity decides how many backend servers of a service there should
// be in each zone, on demand and reclaimable. It does no I/O; the time is
// passed in.
package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
)

// Zone is what is known of a service in one zone.
type Zone struct {
	Name string
	// OnDemand and Reclaimable are the servers that take new work.
	OnDemand    int
	Reclaimable int
	// DryUntil is when reclaimable servers may be asked for again.
	DryUntil time.Time
}

// State is what a plan is made from.
type State struct {
	Scaling catalog.Scaling
	Zones   []Zone
	// Load is the number of servers that the present demand keeps busy.
	Load float64
	Now  time.Time
}

// Target is the number of servers that a zone should have.
type Target struct {
	Zone        string
	OnDemand    int
	Reclaimable int
}

// Plan returns a target for every zone.
func Plan(s State) []Target {
	zones := slices.Clone(s.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(s.Scaling.ZonePrices[a.Name], s.Scaling.ZonePrices[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	targets := make([]Target, 0, len(zones))
	for _, z := range zones {
		t := Target{Zone: z.Name, OnDemand: 1}
		if s.Scaling.SpotPrice > 0 {
			t.Reclaimable = 1
		}
		targets = append(targets, t)
	}
	return targets
}
