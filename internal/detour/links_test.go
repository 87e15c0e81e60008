package detour

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestUnreachableServerAloneCutsOffNothing(t *testing.T) {
	c := qt.New(t)
	l := NewLinks()
	c.Check(l.Plan("a", start).DetourFirst, qt.IsFalse)
	l.RecordCutOff("a", start)
	c.Check(l.Plan("a", start).DetourFirst, qt.IsTrue)
	c.Check(l.Plan("b", start).DetourFirst, qt.IsFalse)
}

func TestServersCutOffStandForAllUntilOneIsReached(t *testing.T) {
	c := qt.New(t)
	l := NewLinks()
	for _, address := range []string{"a", "b", "c"} {
		c.Check(l.AllCutOff(start), qt.IsFalse)
		l.RecordCutOff(address, start)
	}
	c.Check(l.AllCutOff(start), qt.IsTrue)
	c.Check(l.Plan("never tried", start).DetourFirst, qt.IsTrue)
	l.RecordReached("b", time.Millisecond, start.Add(time.Second))
	c.Check(l.AllCutOff(start.Add(time.Second)), qt.IsFalse)
	c.Check(l.Plan("never tried", start.Add(time.Second)).DetourFirst, qt.IsFalse)
	c.Check(l.Plan("a", start.Add(time.Second)).DetourFirst, qt.IsTrue)
	c.Check(l.Plan("a", start.Add(evidenceTTL)).DetourFirst, qt.IsFalse)
}

// TestProbesAreFew guards against a direct attempt beside each detour while links are down, and
// against links that are never tried again.
func TestProbesAreFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLinks()
		addresses := []string{"a", "b", "c", "d"}
		for _, address := range addresses {
			l.RecordCutOff(address, start)
		}
		now, last := start, start.Add(-probeInterval)
		for range rapid.IntRange(1, 60).Draw(t, "dials") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			address := rapid.SampledFrom(addresses).Draw(t, "address")
			plan := l.Plan(address, now)
			if now.Sub(start) < evidenceTTL {
				if !plan.DetourFirst || plan.ProbeDirect != (now.Sub(last) >= probeInterval) {
					t.Fatalf("%+v, %v after the last probe", plan, now.Sub(last))
				}
			}
			if plan.ProbeDirect {
				last = now
			}
		}
	})
}

func TestHedgeDelayFollowsConnectTimesWithinBounds(t *testing.T) {
	c := qt.New(t)
	l := NewLinks()
	for range 100 {
		l.RecordReached("a", time.Millisecond, start)
	}
	c.Check(l.Plan("a", start).HedgeDelay, qt.Equals, minHedgeDelay)
	for range 100 {
		l.RecordReached("a", 40*time.Millisecond, start)
	}
	delay := l.Plan("a", start).HedgeDelay
	c.Check(delay >= 40*time.Millisecond && delay < 60*time.Millisecond, qt.IsTrue, qt.Commentf("%v", delay))
	for range 100 {
		l.RecordReached("a", 5*time.Second, start)
	}
	c.Check(l.Plan("a", start).HedgeDelay, qt.Equals, maxHedgeDelay)
}

func TestHelpersOfOtherZonesAreAskedInTurn(t *testing.T) {
	c := qt.New(t)
	r := newRanking("vm-0", "north")
	var helpers []Helper
	for _, vm := range []string{"n1", "n2", "n3", "n4"} {
		helpers = append(helpers, Helper{VM: vm, Zone: "north"})
	}
	helpers = append(helpers, Helper{VM: "s1", Zone: "south"}, Helper{VM: "s2", Zone: "south"})
	order := r.order(helpers, "10.0.0.1:80", start)
	c.Assert(order, qt.HasLen, 6)
	c.Check([]string{order[0].Zone, order[1].Zone, order[2].Zone, order[3].Zone}, qt.DeepEquals, []string{"north", "south", "north", "south"})
	failing := order[0].VM
	r.recordFailure(failing, start)
	c.Check(r.order(helpers, "10.0.0.1:80", start)[5].VM, qt.Equals, failing)
	c.Check(r.order(helpers, "10.0.0.1:80", start.Add(minAvoidTime))[0].VM, qt.Equals, failing)
	r.recordFailure(failing, start)
	c.Check(r.order(helpers, "10.0.0.1:80", start.Add(minAvoidTime))[5].VM, qt.Equals, failing)
	r.recordSuccess(failing)
	c.Check(r.order(helpers, "10.0.0.1:80", start)[0].VM, qt.Equals, failing)
}

// TestHelpersShareTheLoad guards against daemons that all ask the same helper.
func TestHelpersShareTheLoad(t *testing.T) {
	c := qt.New(t)
	var helpers []Helper
	for i := range 20 {
		helpers = append(helpers, Helper{VM: string(rune('a' + i)), Zone: "north"})
	}
	asked := map[string]int{}
	for i := range 20 {
		for j := range 10 {
			order := newRanking("vm-"+string(rune('a'+i)), "north").order(helpers, "server-"+string(rune('a'+j)), start)
			asked[order[0].VM]++
		}
	}
	for vm, n := range asked {
		c.Check(n <= 40, qt.IsTrue, qt.Commentf("%s is asked for %d of 200 connections", vm, n))
	}
}
