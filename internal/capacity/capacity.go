// Package capacity decides how many backend servers of a service there should
// be in each zone, on demand and reclaimable. It does no I/O; the time is
// passed in.
package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
)

const (
	// maxPrefillUtilization is the share of the time that engines should spend on reading prompts:
	// above, prompts wait longer than they take to be read.
	maxPrefillUtilization = 0.6
	// maxBatchUtilization is the share of the places in their batches that should be taken.
	// Answers differ in length, and daemons know of each other's with a delay.
	maxBatchUtilization = 0.5
	// maxMemoryUtilization is the share of the memory that running requests should take. The rest
	// caches parts of prompts.
	maxMemoryUtilization = 0.6
	// maxZoneLossFactor bounds by how much a zone's loss is prepared for. With two zones half of
	// the servers go at once, and twice as many would idle all the time.
	maxZoneLossFactor = 1.5
	// largeFleetFactor times what is needed beyond few engines is ordered: requests then look
	// at a few of them only, and what daemons know of them is older. On a grown quiet day
	// until second 34, a factor of 1 left 17.6% of the streams late and 1.33 8.9%.
	largeFleetFactor = 1.43
	// maxFullScan is the number of engines up to which all are looked at.
	maxFullScan = 16
	// spareEngines is the number of servers beyond that.
	spareEngines = 1.0
)

// requiredEngines returns the number of engines for a load in a deployment with so many zones.
// The resource that binds decides, so that the rest of the engines carries the load
// when a zone is lost, until others have booted.
func requiredEngines(load demand.Load, zones int) int {
	busy := max(load.Prefill/maxPrefillUtilization, load.Batch/maxBatchUtilization, load.Memory/maxMemoryUtilization)
	needed := busy * zoneLossFactor(zones)
	if needed > maxFullScan {
		needed = maxFullScan + (needed-maxFullScan)*largeFleetFactor
	}
	return int(math.Ceil(needed + spareEngines))
}

// zoneLossFactor is by how much a fleet spread over so many zones is larger than what is
// left of it when one is lost.
func zoneLossFactor(zones int) float64 {
	if zones < 2 {
		return 1
	}
	return min(maxZoneLossFactor, float64(zones)/float64(zones-1))
}

// Zone is what is known of a service in one zone.
type Zone struct {
	Name string
	// OnDemand and Reclaimable are the servers that take new work.
	OnDemand    int
	Reclaimable int
	// OnDemandAtLimit and ReclaimableAtLimit are those among them that take fewer requests than
	// callers ask of them.
	OnDemandAtLimit    int
	ReclaimableAtLimit int
	// ReclaimableExhausted is set while the cloud has no reclaimable servers to give here.
	ReclaimableExhausted bool
}

// State is what a plan is made from.
type State struct {
	Scaling catalog.Scaling
	Zones   []Zone
	// Load is the number of servers that the present demand keeps busy.
	Load demand.Load
	// MinServers is the number of servers to have whatever the load.
	MinServers int
	// ReclaimWave is set while reclaimable servers are being taken away in some zone, or were
	// lately: reclaims come in waves, one zone after the other.
	ReclaimWave bool
}

// Target is the number of servers that a zone should have.
type Target struct {
	Zone        string
	OnDemand    int
	Reclaimable int
}

// Plan returns a target for every zone. Few servers are on demand (see base). The
// rest is reclaimable, spread over the zones; where a zone has none to give,
// servers on demand in the cheapest zones stand in.
func Plan(s State) []Target {
	zones := slices.Clone(s.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(s.Scaling.ZonePrices[a.Name], s.Scaling.ZonePrices[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	needed := max(s.MinServers, requiredEngines(s.Load, len(s.Zones)))
	targets := make([]Target, len(zones))
	for i, z := range zones {
		targets[i] = Target{Zone: z.Name, OnDemand: baseOnDemand(s, i, needed)}
	}
	spreadReclaimable(s, targets, needed-totalServers(targets))
	expected := 0
	for i, z := range zones {
		expected += targets[i].OnDemand + expectedReclaimable(z, targets[i])
	}
	addOnDemand(s.Scaling.MaxPerZone, zones, targets, substitutionTarget(s, needed)-expected)
	return targets
}

// substitutionTarget is the number of servers up to which some on demand stand in for
// reclaimable ones that are not to be had. What was found, before the demand is known, is
// kept at the price of reclaimable servers, where there are such.
func substitutionTarget(s State, needed int) int {
	if s.Scaling.SpotPriceRatio > 0 {
		return requiredEngines(s.Load, len(s.Zones))
	}
	return needed
}

// onDemandZones is the number of zones with a server on demand while nothing is reclaimed:
// what is left if all reclaimable servers go at once.
const onDemandZones = 1

// singleZoneOnDemandShare is the part of the servers needed that is on demand where there is one zone
// alone: when its reclaimable servers go, nothing else is left.
const singleZoneOnDemandShare = 0.5

// baseOnDemand returns the number of servers on demand of the zone in a place by price. During
// a wave of reclaims each zone has one, so that it can serve when its reclaimable
// servers go too; before, they would cost several times as much and do nothing that
// the reclaimable ones of other zones do not.
func baseOnDemand(s State, place, needed int) int {
	if len(s.Zones) == 1 && s.Scaling.SpotPriceRatio > 0 {
		return min(s.Scaling.MaxPerZone, max(1, s.Scaling.MinPerZone, int(math.Ceil(singleZoneOnDemandShare*float64(needed)))))
	}
	if s.ReclaimWave || s.Scaling.SpotPriceRatio <= 0 || place < onDemandZones {
		return max(1, s.Scaling.MinPerZone)
	}
	return 0
}

// totalServers counts the servers of all targets.
func totalServers(targets []Target) int {
	sum := 0
	for _, t := range targets {
		sum += t.OnDemand + t.Reclaimable
	}
	return sum
}

// spreadReclaimable asks for the same number of reclaimable servers in every
// zone, at least one each.
func spreadReclaimable(s State, targets []Target, wanted int) {
	if s.Scaling.SpotPriceRatio <= 0 {
		return
	}
	each := max(1, int(math.Ceil(float64(wanted)/float64(len(targets)))))
	for i := range targets {
		most, least := s.Scaling.MaxPerZone-targets[i].OnDemand, s.Scaling.MinPerZone-targets[i].OnDemand
		targets[i].Reclaimable = max(0, min(max(each, least), most))
	}
}

// expectedReclaimable is the number of reclaimable servers that a zone will have.
func expectedReclaimable(z Zone, t Target) int {
	if z.ReclaimableExhausted {
		return min(z.Reclaimable, t.Reclaimable)
	}
	return t.Reclaimable
}

// addOnDemand spreads further servers on demand, the cheapest zone first.
func addOnDemand(most int, zones []Zone, targets []Target, count int) {
	for count > 0 {
		added := false
		for i := range targets {
			if count > 0 && targets[i].OnDemand+expectedReclaimable(zones[i], targets[i]) < most {
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
