package experiment

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/config"
)

// shares returns what was earned by span on a day without its reclaims.
func shares(c *qt.C, change func(day *Day)) []float64 {
	day := sample(c, "ndiaye.yaml")
	day.Reclaims, day.Length = nil, config.Duration(20*time.Second)
	change(day)
	return Play(day, policy(c, "product"), sizing(c, "2+1"), 1).Shares()
}

// TestDeathOfAllCostsItsSeconds: what comes while no daemon runs is lost, and the days
// are alike before and soon after.
func TestDeathOfAllCostsItsSeconds(t *testing.T) {
	c := qt.New(t)
	calm := shares(c, func(*Day) {})
	dead := shares(c, func(day *Day) {
		day.Deaths = []Death{{At: config.Duration(10 * time.Second), Down: config.Duration(1500 * time.Millisecond)}}
	})
	c.Check(dead[5] < calm[5]-0.3, qt.IsTrue, qt.Commentf("%v %v", dead, calm))
	c.Check(dead[2] > calm[2]-0.02, qt.IsTrue, qt.Commentf("streams that go on for long are broken off: %v %v", dead, calm))
	c.Check(dead[8] > 0.8, qt.IsTrue, qt.Commentf("%v", dead))
}

// TestCallersInTimeGoFirstAfterTheDeathOfAll: callers that could not reach any daemon come
// back together with new ones, and few servers are there. More is earned of those two
// seconds than where all go in any order.
func TestCallersInTimeGoFirstAfterTheDeathOfAll(t *testing.T) {
	c := qt.New(t)
	day := sample(c, "suite/01-fast-readers.yaml")
	day.Reclaims, day.Bursts, day.Cuts = nil, nil, nil
	day.Deaths = []Death{{At: config.Duration(20 * time.Second), Down: config.Duration(2 * time.Second)}}
	day.Length = config.Duration(30 * time.Second)
	const span, seeds = 11, 12
	earned := func(p Policy) (sum float64) {
		for seed := range uint64(seeds) {
			sum += Play(day, p, sizing(c, "1+1"), seed).Shares()[span]
		}
		return sum / seeds
	}
	anyOrder := policy(c, "product")
	anyOrder.anyOrder = true
	inOrder, without := earned(policy(c, "product")), earned(anyOrder)
	c.Check(inOrder > without+0.05, qt.IsTrue, qt.Commentf("%.3f, %.3f in any order", inOrder, without))
}

// TestCutZoneServesItself: a zone that is cut off goes on with its own servers.
func TestCutZoneServesItself(t *testing.T) {
	c := qt.New(t)
	cut := shares(c, func(day *Day) {
		day.Cuts = []Cut{{At: config.Duration(8 * time.Second), For: config.Duration(6 * time.Second), Zone: "hall-nord"}}
	})
	c.Check(cut[5] > 0.3, qt.IsTrue, qt.Commentf("%v", cut))
	c.Check(cut[9] > 0.8, qt.IsTrue, qt.Commentf("%v", cut))
}

// TestSlowBootsAndSoleZonesAreBridged: what the plan keeps while servers boot for long,
// and where one zone is all there is, carries most of the load.
func TestSlowBootsAndSoleZonesAreBridged(t *testing.T) {
	c := qt.New(t)
	earned := func(name string) float64 {
		return Play(sample(c, "suite/"+name), policy(c, "product"), sizing(c, "demand"), 1).Share()
	}
	c.Check(earned("11-slow-boot.yaml") > 0.9, qt.IsTrue, qt.Commentf("0.58 while servers on demand went before others had booted"))
	c.Check(earned("07-one-zone.yaml") > 0.83, qt.IsTrue, qt.Commentf("0.78 with one server on demand"))
}
