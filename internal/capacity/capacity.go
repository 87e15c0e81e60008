// Package capacity decides how many backend servers of a service there should
// be in each zone, on demand and reclaimable. It does no I/O; the time is
// passed in.
package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/plankridge/plankridge/internal/catalog"
)

const (
	// utilisation is the share of the time that engines should spend on reading
	// prompts. The rest generates tokens, and takes up a burst until more
	// servers have booted.
	utilisation = 0.45
	// spare is the number of servers beyond that.
	spare = 1.0
)

// Zone is what is known of a service in one zone.
type Zone struct {
	Name string
	// OnDemand and Reclaimable are the servers that take new work.
	OnDemand    int
	Reclaimable int
	// Dry is set while the cloud has no reclaimable servers to give here.
	Dry bool
}

// State is what a plan is made from.
type State struct {
	Scaling catalog.Scaling
	Zones   []Zone
	// Load is the number of servers that the present demand keeps busy.
	Load float64
}

// Target is the number of servers that a zone should have.
type Target struct {
	Zone        string
	OnDemand    int
	Reclaimable int
}

// Plan returns a target for every zone. Each zone has one server on demand, so
// that it can serve when it is cut off or its reclaimable servers are taken
// away. The rest is reclaimable, spread over the zones; where there are none to
// be had, servers on demand in the cheapest zones stand in.
func Plan(s State) []Target {
	zones := slices.Clone(s.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(s.Scaling.ZonePrices[a.Name], s.Scaling.ZonePrices[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	needed := int(math.Ceil(s.Load/utilisation + spare))
	targets := make([]Target, 0, len(zones))
	for _, z := range zones {
		targets = append(targets, Target{Zone: z.Name, OnDemand: max(1, s.Scaling.Min)})
	}
	short := spreadReclaimable(s, zones, targets, needed-total(targets))
	addOnDemand(s.Scaling.Max, zones, targets, short)
	return targets
}

func total(targets []Target) int {
	sum := 0
	for _, t := range targets {
		sum += t.OnDemand + t.Reclaimable
	}
	return sum
}

// spreadReclaimable asks for reclaimable servers in every zone, at least one
// each, and returns how many of the wanted servers cannot be counted on: those
// that dry zones lack.
func spreadReclaimable(s State, zones []Zone, targets []Target, wanted int) int {
	if s.Scaling.SpotPrice <= 0 {
		return max(0, wanted)
	}
	each := max(1, int(math.Ceil(float64(wanted)/float64(len(zones)))))
	expected := 0
	for i := range targets {
		targets[i].Reclaimable = max(0, min(each, s.Scaling.Max-targets[i].OnDemand))
		expected += expectable(zones[i], targets[i])
	}
	return max(0, wanted-expected)
}

// expectable is the number of reclaimable servers that a zone will have.
func expectable(z Zone, t Target) int {
	if z.Dry {
		return min(z.Reclaimable, t.Reclaimable)
	}
	return t.Reclaimable
}

// addOnDemand spreads further servers on demand, the cheapest zone first.
func addOnDemand(most int, zones []Zone, targets []Target, count int) {
	for count > 0 {
		added := false
		for i := range targets {
			if count > 0 && targets[i].OnDemand+expectable(zones[i], targets[i]) < most {
				targets[i].OnDemand++
				count--
				added = true
			}
		}
		if !added {
			return
		}
	}
}
