package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var startTime = time.Unix(1000, 0)

func testOrder(version string, revision int64) Order {
	return Order{Service: "s", Version: version, Duration: 12 * time.Second, Created: 5, Revision: revision}
}

// trackerWithStable is a board of a service whose stable version is v1.
func trackerWithStable() *Tracker {
	b := newTestTracker()
	b.SetInitialStable("s", map[string]int{"v1": 3})
	return b
}

// TestStableVersionIsNamedOnce: by most servers, and never by an order that has not ended.
func TestStableVersionIsNamedOnce(t *testing.T) {
	c := qt.New(t)
	b := newTestTracker()
	c.Check(b.StableKnown("s"), qt.IsFalse)
	c.Check(b.VersionUnsettled("s"), qt.IsTrue, qt.Commentf("nothing is ordered before it is known"))
	b.ApplyOrder(testOrder("v2", 6), startTime)
	b.SetInitialStable("s", map[string]int{"v2": 9, "v1": 2})
	c.Check(b.Versions(startTime)["s"], qt.Equals, Versions{Stable: "v1", Candidate: "v2"})
	b.SetInitialStable("s", map[string]int{"v2": 9})
	c.Check(b.Versions(startTime)["s"].Stable, qt.Equals, "v1")
	done := testOrder("v2", 7)
	done.State = StateCompleted
	b.ApplyOrder(done, startTime)
	c.Check(b.Versions(startTime)["s"], qt.Equals, Versions{Stable: "v2"})
	c.Check(b.VersionUnsettled("s"), qt.IsFalse)
}

// TestOlderOrdersChangeNothing, and those for another version begin anew.
func TestOlderOrdersChangeNothing(t *testing.T) {
	c := qt.New(t)
	b := trackerWithStable()
	b.ApplyOrder(testOrder("v2", 8), startTime)
	c.Check(b.ApplyOrder(testOrder("v3", 7), startTime), qt.IsFalse)
	c.Check(b.Versions(startTime)["s"].Candidate, qt.Equals, "v2")
	b.Merge([]OrderStatus{{Order: testOrder("v2", 8), Halted: true}}, 0, startTime)
	c.Check(b.Versions(startTime)["s"].Candidate, qt.Equals, "")
	b.ApplyOrder(testOrder("v3", 9), startTime)
	c.Check(b.Versions(startTime)["s"].Candidate, qt.Equals, "v3")
	b.Withdraw("s", 10, startTime)
	c.Check(b.Versions(startTime)["s"].Candidate, qt.Equals, "")
}

// TestMemoryOutlivesAllDaemons: what was found bad stays so, and what is remembered alone
// gets nothing before the store tells it.
func TestMemoryOutlivesAllDaemons(t *testing.T) {
	c := qt.New(t)
	b := trackerWithStable()
	b.ApplyOrder(testOrder("v2", 8), startTime)
	b.Merge([]OrderStatus{{Order: testOrder("v2", 8), Halted: true}}, 0, startTime)
	again := newTestTracker()
	later := startTime.Add(4 * time.Second)
	again.Restore(b.Snapshot(startTime.Add(3*time.Second)), time.Second, later)
	c.Check(again.Versions(later)["s"], qt.Equals, Versions{Stable: "v1"})
	again.ApplyOrder(testOrder("v2", 8), later)
	c.Check(again.Versions(later)["s"], qt.Equals, Versions{Stable: "v1"})
	words := again.Statuses(later)
	c.Assert(words, qt.HasLen, 1)
	c.Check(words[0].Age, qt.Equals, 4*time.Second)
}

// TestStepsExpire: a daemon that does not hear the holder any more falls back to its own share.
func TestStepsExpire(t *testing.T) {
	c := qt.New(t)
	b := trackerWithStable()
	b.Merge([]OrderStatus{{Order: testOrder("v2", 8), Step: Step{Share: 1, Fence: 3, Serial: 9}}}, 0, startTime)
	c.Check(b.FullyShifted("s", startTime), qt.IsTrue)
	b.Merge([]OrderStatus{{Order: testOrder("v2", 8), Step: Step{Share: 0.25, Fence: 2, Serial: 99}}}, 0, startTime)
	c.Check(b.FullyShifted("s", startTime), qt.IsTrue, qt.Commentf("an earlier holder's word"))
	c.Check(b.FullyShifted("s", startTime.Add(stepTTL)), qt.IsFalse)
	c.Check(b.Versions(startTime.Add(stepTTL))["s"].AllServers, qt.IsFalse)
}

// TestLowTrafficRaisesTrialShare: the requests that a bad version may get besides its share
// count where they are many against all.
func TestLowTrafficRaisesTrialShare(t *testing.T) {
	for _, play := range []struct {
		perSecond, least, most float64
	}{{12, 0.15, 0.17}, {113, 0.05, 0.06}, {268, 0.045, 0.048}, {9000, 0.04, 0.0402}} {
		c := qt.New(t)
		b := trackerWithStable()
		b.ApplyOrder(testOrder("v2", 8), startTime)
		now := startTime
		for range 20 {
			sums := NewTallies()
			sums.Requests["s"] = RequestCounts{Requests: int64(play.perSecond * now.Sub(startTime).Seconds())}
			b.Observe(sums, now)
			now = now.Add(200 * time.Millisecond)
		}
		share := b.trialShare(b.rollouts["s"], now)
		c.Check(share >= play.least && share <= play.most, qt.IsTrue, qt.Commentf("%v of %v a second", share, play.perSecond))
	}
}

// TestSplitShareBalancesRoutes: routes give the candidate as many requests each, within their bound.
func TestSplitShareBalancesRoutes(t *testing.T) {
	c := qt.New(t)
	shares := splitShare(map[string]float64{"often": 92, "seldom": 21, "rare": 1}, 0.05)
	c.Check(shares["rare"], qt.Equals, maxRouteShare)
	sum := shares["often"]*92 + shares["seldom"]*21 + shares["rare"]
	c.Check(sum > 0.0499*114 && sum < 0.0501*114, qt.IsTrue, qt.Commentf("%v", sum))
	c.Check(shares["seldom"]*21-shares["often"]*92 < 1e-9, qt.IsTrue)
}
