package capacity

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

var testScaling = catalog.Scaling{MinPerZone: 1, MaxPerZone: 6, SpotPriceRatio: 0.22, ZonePrices: map[string]float64{"a": 1.2, "b": 0.85, "c": 1}}

// prefillLoad returns a load that consists of prefill only.
func prefillLoad(engines float64) demand.Load { return demand.Load{Prefill: engines} }

func testZones(exhausted ...string) []Zone {
	all := []Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	for i := range all {
		for _, name := range exhausted {
			all[i].ReclaimableExhausted = all[i].ReclaimableExhausted || all[i].Name == name
		}
	}
	return all
}

func countTargets(targets []Target) (onDemand, reclaimable int) {
	for _, t := range targets {
		onDemand += t.OnDemand
		reclaimable += t.Reclaimable
	}
	return onDemand, reclaimable
}

// TestLowDemandNeedsOneServerPerZone checks that every zone has a reclaimable server at low demand
// and that only the cheapest zone has an on-demand server. During a reclaim wave, every zone has an
// on-demand server as well.
func TestLowDemandNeedsOneServerPerZone(t *testing.T) {
	c := qt.New(t)
	onDemand, reclaimable := countTargets(Plan(State{Scaling: testScaling, Zones: testZones(), Load: prefillLoad(0.5), ReclaimWave: true}))
	c.Check(onDemand, qt.Equals, 3)
	c.Check(reclaimable, qt.Equals, 3)
	targets := Plan(State{Scaling: testScaling, Zones: testZones(), Load: prefillLoad(0.5)})
	onDemand, reclaimable = countTargets(targets)
	c.Check(onDemand, qt.Equals, 1)
	c.Check(reclaimable, qt.Equals, 3)
	c.Check(targets[0], qt.Equals, Target{Zone: "b", OnDemand: 1, Reclaimable: 1}, qt.Commentf("the cheapest zone comes first"))
}

func TestDemandIsMetByReclaimableServers(t *testing.T) {
	c := qt.New(t)
	onDemand, reclaimable := countTargets(Plan(State{Scaling: testScaling, Zones: testZones(), Load: prefillLoad(4)}))
	c.Check(onDemand, qt.Equals, 1)
	c.Check(float64(onDemand+reclaimable) >= 4/maxPrefillUtilization*1.5, qt.IsTrue)
}

func TestOnDemandServersReplaceExhaustedReclaimable(t *testing.T) {
	c := qt.New(t)
	lowLoad, _ := countTargets(Plan(State{Scaling: testScaling, Zones: testZones(), Load: prefillLoad(2.5)}))
	targets := Plan(State{Scaling: testScaling, Zones: testZones("a", "b", "c"), Load: prefillLoad(2.5), ReclaimWave: true})
	onDemand, _ := countTargets(targets)
	c.Check(lowLoad, qt.Equals, 1)
	c.Check(float64(onDemand) >= 2.5/maxPrefillUtilization*1.5+spareEngines, qt.IsTrue, qt.Commentf("%d", onDemand))
	c.Check(targets[0].Zone, qt.Equals, "b", qt.Commentf("the cheapest zone comes first"))
}

// TestPlanStaysWithinBounds checks that the expected servers of a zone stay between its minimum and
// maximum at any demand.
func TestPlanStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Scaling: testScaling, Load: prefillLoad(rapid.Float64Range(0, 100).Draw(t, "load"))}
		s.Scaling.MaxPerZone = rapid.IntRange(1, 8).Draw(t, "max")
		s.Scaling.MinPerZone = rapid.IntRange(0, s.Scaling.MaxPerZone).Draw(t, "min")
		for _, z := range testZones() {
			z.ReclaimableExhausted = rapid.Bool().Draw(t, "dry")
			z.Reclaimable = rapid.IntRange(0, s.Scaling.MaxPerZone).Draw(t, "present")
			s.Zones = append(s.Zones, z)
			s.ReclaimWave = s.ReclaimWave || z.ReclaimableExhausted
		}
		for _, target := range Plan(s) {
			for _, z := range s.Zones {
				if z.Name != target.Zone {
					continue
				}
				if expected := target.OnDemand + expectedReclaimable(z, target); expected > s.Scaling.MaxPerZone {
					t.Fatalf("%d servers in %s", expected, z.Name)
				}
				if target.OnDemand+expectedReclaimable(z, target) < max(1, s.Scaling.MinPerZone) || target.Reclaimable < 0 {
					t.Fatalf("too few servers: %+v", target)
				}
			}
		}
	})
}

// TestResourceThatBindsDecides guards against fleets that are too small for engines with small
// batches, long streams or little memory. The resource with the highest utilization must determine
// the number of engines.
func TestResourceThatBindsDecides(t *testing.T) {
	c := qt.New(t)
	required := func(load demand.Load) int { return requiredEngines(load, 4) }
	prefillOnly := required(demand.Load{Prefill: 3})
	c.Check(prefillOnly, qt.Equals, 8, qt.Commentf("3 / 0.6 * 4/3, rounded up, plus one spare"))
	c.Check(required(demand.Load{Prefill: 3, Batch: 2, Memory: 1}), qt.Equals, prefillOnly)
	c.Check(required(demand.Load{Prefill: 3, Batch: 6}) > prefillOnly, qt.IsTrue)
	c.Check(required(demand.Load{Prefill: 3, Memory: 6}) > prefillOnly, qt.IsTrue)
	c.Check(requiredEngines(demand.Load{Prefill: 3}, 1) < requiredEngines(demand.Load{Prefill: 3}, 7), qt.IsTrue)
	c.Check(requiredEngines(demand.Load{Prefill: 3}, 7) < prefillOnly, qt.IsTrue, qt.Commentf("the loss of one zone in seven takes a smaller share of the fleet"))
}

// TestSingleZoneKeepsHalfOnDemand guards against a single zone without servers after its
// reclaimable servers are reclaimed.
func TestSingleZoneKeepsHalfOnDemand(t *testing.T) {
	c := qt.New(t)
	s := State{Scaling: testScaling, Zones: []Zone{{Name: "a"}}, Load: prefillLoad(3)}
	s.Scaling.MaxPerZone = 20
	onDemand, reclaimable := countTargets(Plan(s))
	c.Check(onDemand, qt.Equals, 3)
	c.Check(reclaimable, qt.Equals, 3)
}
