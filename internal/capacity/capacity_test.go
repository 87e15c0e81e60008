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

// prefillLoad is a load that keeps engines busy with reading prompts alone.
func prefillLoad(engines float64) demand.Load { return demand.Load{Prefill: engines} }

func testZones(dry ...string) []Zone {
	all := []Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	for i := range all {
		for _, name := range dry {
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

// TestLowDemandNeedsOneServerPerZone: each zone has a server, on demand in the cheapest zone
// alone. During a wave of reclaims each zone has one that stays.
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
	calm, _ := countTargets(Plan(State{Scaling: testScaling, Zones: testZones(), Load: prefillLoad(2.5)}))
	targets := Plan(State{Scaling: testScaling, Zones: testZones("a", "b", "c"), Load: prefillLoad(2.5), ReclaimWave: true})
	onDemand, _ := countTargets(targets)
	c.Check(calm, qt.Equals, 1)
	c.Check(float64(onDemand) >= 2.5/maxPrefillUtilization*1.5+spareEngines, qt.IsTrue, qt.Commentf("%d", onDemand))
	c.Check(targets[0].Zone, qt.Equals, "b", qt.Commentf("the cheapest zone comes first"))
}

// TestPlanStaysWithinBounds: whatever the demand, a zone has at least the
// minimum and at most the maximum, counting those that will be there.
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
				if there := target.OnDemand + expectedReclaimable(z, target); there > s.Scaling.MaxPerZone {
					t.Fatalf("%d servers in %s", there, z.Name)
				}
				if target.OnDemand+expectedReclaimable(z, target) < max(1, s.Scaling.MinPerZone) || target.Reclaimable < 0 {
					t.Fatalf("too few: %+v", target)
				}
			}
		}
	})
}

// TestResourceThatBindsDecides: engines with narrow batches, long streams or little
// memory are as many as that resource asks for.
func TestResourceThatBindsDecides(t *testing.T) {
	c := qt.New(t)
	needs := func(load demand.Load) int { return requiredEngines(load, 4) }
	reads := needs(demand.Load{Prefill: 3})
	c.Check(reads, qt.Equals, 8, qt.Commentf("3 / 0.6 * 4/3, rounded up, and one to spare"))
	c.Check(needs(demand.Load{Prefill: 3, Batch: 2, Memory: 1}), qt.Equals, reads)
	c.Check(needs(demand.Load{Prefill: 3, Batch: 6}) > reads, qt.IsTrue)
	c.Check(needs(demand.Load{Prefill: 3, Memory: 6}) > reads, qt.IsTrue)
	c.Check(requiredEngines(demand.Load{Prefill: 3}, 1) < requiredEngines(demand.Load{Prefill: 3}, 7), qt.IsTrue)
	c.Check(requiredEngines(demand.Load{Prefill: 3}, 7) < reads, qt.IsTrue, qt.Commentf("a seventh of the fleet is less to lose"))
}

// TestSingleZoneKeepsHalfOnDemand: when its reclaimable servers go, nothing else is left.
func TestSingleZoneKeepsHalfOnDemand(t *testing.T) {
	c := qt.New(t)
	s := State{Scaling: testScaling, Zones: []Zone{{Name: "a"}}, Load: prefillLoad(3)}
	s.Scaling.MaxPerZone = 20
	onDemand, reclaimable := countTargets(Plan(s))
	c.Check(onDemand, qt.Equals, 3)
	c.Check(reclaimable, qt.Equals, 3)
}
