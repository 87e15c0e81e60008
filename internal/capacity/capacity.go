// Package capacity plans how many on-demand and reclaimable backend servers of a service each
// availability zone should have. It does no I/O; the time is passed in.
package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
)

const (
	// maxPrefillUtilization is the planned share of the time that engines spend on prefill. Above
	// it, prompts wait longer than their own prefill takes.
	maxPrefillUtilization = 0.6
	// maxBatchUtilization is the planned share of occupied batch slots. Some slots stay free
	// because answers differ in length and daemons learn of each other's requests with a delay.
	maxBatchUtilization = 0.5
	// maxMemoryUtilization is the planned share of KV cache memory that running requests occupy.
	// The rest caches prompt parts.
	maxMemoryUtilization = 0.6
	// maxZoneLossFactor limits the overprovisioning for the loss of a zone. With two zones, half of
	// the servers are lost at once, and covering that would leave twice the needed servers idle all
	// the time.
	maxZoneLossFactor = 1.5
	// largeFleetFactor scales the engines needed beyond maxFullScan. In a larger fleet, each
	// request considers only a few engines, and the daemons' data about them is older. A factor of
	// 1 left 17.6% of the streams late, a factor of 1.33 left 8.9%.
	largeFleetFactor = 1.43
	// maxFullScan is the number of engines up to which every request considers all of them.
	maxFullScan = 16
	// spareEngines is added to the number of engines needed.
	spareEngines = 1.0
)

// requiredEngines returns the number of engines needed for a load in a deployment with the given
// number of zones. The resource with the highest utilization determines it. If a zone is lost, the
// remaining engines carry the load until replacements have booted.
func requiredEngines(load demand.Load, zones int) int {
	engines := max(load.Prefill/maxPrefillUtilization, load.Batch/maxBatchUtilization, load.Memory/maxMemoryUtilization)
	needed := engines * zoneLossFactor(zones)
	if needed > maxFullScan {
		needed = maxFullScan + (needed-maxFullScan)*largeFleetFactor
	}
	return int(math.Ceil(needed + spareEngines))
}

// zoneLossFactor returns the ratio of a fleet spread over the given number of zones to what remains
// of it after the loss of one zone.
func zoneLossFactor(zones int) float64 {
	if zones < 2 {
		return 1
	}
	return min(maxZoneLossFactor, float64(zones)/float64(zones-1))
}

// Zone is the state of a service in one availability zone.
type Zone struct {
	Name string
	// OnDemand and Reclaimable are the numbers of servers that accept new requests.
	OnDemand    int
	Reclaimable int
	// OnDemandAtLimit and ReclaimableAtLimit are the numbers of those servers whose request limit
	// is below the demand for them.
	OnDemandAtLimit    int
	ReclaimableAtLimit int
	// ReclaimableDraining is the number of reclaimable servers that no longer accept new requests.
	ReclaimableDraining int
	// ReclaimableExhausted is set while the cloud has no reclaimable servers available in the zone.
	ReclaimableExhausted bool
}

// State is the input of a plan.
type State struct {
	Scaling catalog.Scaling
	Zones   []Zone
	// Load is the number of servers that the current demand keeps busy, by resource.
	Load demand.Load
	// DemandIncomplete is set while Load may be too low, because some daemons have not measured it.
	DemandIncomplete bool
	// MinServers is the least number of servers, regardless of the load.
	MinServers int
	// ReclaimWave is set while reclaimable servers of any zone are being reclaimed, or recently
	// were. Reclaims come in waves that hit one zone after the other.
	ReclaimWave bool
}

// Target is the number of servers that a zone should have.
type Target struct {
	Zone        string
	OnDemand    int
	Reclaimable int
}

// Plan returns a target for every zone. Few servers are on demand (see baseOnDemand). The rest is
// reclaimable and spread over the zones. Where the cloud has no reclaimable servers, on-demand
// servers are added instead, in the cheapest zones first.
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

// substitutionTarget returns the total number of servers up to which on-demand servers substitute
// for missing reclaimable ones. If the service uses reclaimable servers, MinServers doesn't count
// toward it: the initial fleet is kept, while the demand is unknown, only at the price of
// reclaimable servers.
func substitutionTarget(s State, needed int) int {
	if s.Scaling.SpotPriceRatio > 0 {
		return requiredEngines(s.Load, len(s.Zones))
	}
	return needed
}

// onDemandZones is the number of zones that have an on-demand server outside of reclaim waves. It
// remains if all reclaimable servers are reclaimed at once.
const onDemandZones = 1

// singleZoneOnDemandShare is the share of on-demand servers in a deployment with a single zone. If
// its reclaimable servers are reclaimed, no other servers remain.
const singleZoneOnDemandShare = 0.5

// baseOnDemand returns the number of on-demand servers of the zone at an index by price. During a
// reclaim wave every zone has one, so that it can serve requests if its reclaimable servers are
// reclaimed too. At other times such servers would cost several times as much as the reclaimable
// servers of other zones without any benefit over them.
func baseOnDemand(s State, priceIndex, needed int) int {
	if len(s.Zones) == 1 && s.Scaling.SpotPriceRatio > 0 {
		return min(s.Scaling.MaxPerZone, max(1, s.Scaling.MinPerZone, int(math.Ceil(singleZoneOnDemandShare*float64(needed)))))
	}
	if s.ReclaimWave || s.Scaling.SpotPriceRatio <= 0 || priceIndex < onDemandZones {
		return max(1, s.Scaling.MinPerZone)
	}
	return 0
}

// totalServers returns the number of servers of all targets.
func totalServers(targets []Target) int {
	sum := 0
	for _, t := range targets {
		sum += t.OnDemand + t.Reclaimable
	}
	return sum
}

// spreadReclaimable sets the same number of reclaimable servers in every zone, at least one each.
func spreadReclaimable(s State, targets []Target, wanted int) {
	if s.Scaling.SpotPriceRatio <= 0 {
		return
	}
	each := max(1, int(math.Ceil(float64(wanted)/float64(len(targets)))))
	for i := range targets {
		maxCount, minCount := s.Scaling.MaxPerZone-targets[i].OnDemand, s.Scaling.MinPerZone-targets[i].OnDemand
		targets[i].Reclaimable = max(0, min(max(each, minCount), maxCount))
	}
}

// expectedReclaimable returns the number of reclaimable servers that a zone is expected to get.
func expectedReclaimable(z Zone, t Target) int {
	if z.ReclaimableExhausted {
		return min(z.Reclaimable, t.Reclaimable)
	}
	return t.Reclaimable
}

// addOnDemand adds on-demand servers in turn over the zones, the cheapest zone first.
func addOnDemand(maxPerZone int, zones []Zone, targets []Target, count int) {
	for count > 0 {
		added := false
		for i := range targets {
			if count > 0 && targets[i].OnDemand+expectedReclaimable(zones[i], targets[i]) < maxPerZone {
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
