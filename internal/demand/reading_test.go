package demand

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSilentDaemonsDoNotLowerTheDemand guards against a sum that lacks the measurements of many daemons
// being taken for callers that have left.
func TestSilentDaemonsDoNotLowerTheDemand(t *testing.T) {
	c := qt.New(t)
	h := NewHistory()
	all := Coverage{Known: 60, Reachable: 60, Warm: 60}
	c.Check(h.Read("s", Load{Prefill: 30, Batch: 10}, all), qt.Equals, Reading{Load: Load{Prefill: 30, Batch: 10}})
	restarted := Coverage{Known: 60, Reachable: 60, Warm: 40}
	c.Check(h.Read("s", Load{Prefill: 4, Batch: 12}, restarted), qt.Equals, Reading{Load: Load{Prefill: 30, Batch: 12}, Incomplete: true})
	partitioned := Coverage{Known: 60, Reachable: 40, Warm: 40}
	c.Check(h.Read("s", Load{Prefill: 20}, partitioned).Load.Prefill, qt.Equals, 30.0)
	c.Check(h.Read("s", Load{Prefill: 4}, all), qt.Equals, Reading{Load: Load{Prefill: 4}}, qt.Commentf("callers have left"))
}

// TestRestartingDaemonsAreScaledFor checks that a few daemons that have just started count like the others.
func TestRestartingDaemonsAreScaledFor(t *testing.T) {
	c := qt.New(t)
	reading := NewHistory().Read("s", Load{Prefill: 27}, Coverage{Known: 60, Reachable: 60, Warm: 54})
	c.Check(math.Abs(reading.Load.Prefill-30) < 1e-9, qt.IsTrue)
	c.Check(reading.Incomplete, qt.IsFalse)
}

// TestReportsWithoutWarmDaemonsAreIncomplete guards against daemons of an earlier version, which do not
// report whether they have measured for long enough.
func TestReportsWithoutWarmDaemonsAreIncomplete(t *testing.T) {
	c := qt.New(t)
	c.Check(NewHistory().Read("s", Load{Prefill: 1}, Coverage{Known: 3, Reachable: 3}).Incomplete, qt.IsTrue)
}

func TestRestoredDemandYieldsToAMeasuredOne(t *testing.T) {
	c := qt.New(t)
	h := NewHistory()
	h.Read("known", Load{Prefill: 3}, Coverage{Known: 1, Reachable: 1, Warm: 1})
	h.Restore(map[string]Load{"known": {Prefill: 9}, "new": {Prefill: 7}, "invalid": {Prefill: math.NaN()}, "negative": {Batch: -1}})
	c.Check(h.Complete(), qt.DeepEquals, map[string]Load{"known": {Prefill: 3}, "new": {Prefill: 7}})
}
