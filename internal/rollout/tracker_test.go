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

// trackerWithStable returns a tracker of a service whose stable version is v1.
func trackerWithStable() *Tracker {
	tracker := newTestTracker()
	tracker.SetInitialStable("s", map[string]int{"v1": 3})
	return tracker
}

// TestStableVersionIsNamedOnce checks that the stable version is the one of most servers, never
// that of an order that has not ended, and that only a completed order changes it.
func TestStableVersionIsNamedOnce(t *testing.T) {
	c := qt.New(t)
	tracker := newTestTracker()
	c.Check(tracker.StableKnown("s"), qt.IsFalse)
	c.Check(tracker.VersionUnsettled("s"), qt.IsTrue, qt.Commentf("no servers are ordered before the stable version is known"))
	tracker.ApplyOrder(testOrder("v2", 6), startTime)
	tracker.SetInitialStable("s", map[string]int{"v2": 9, "v1": 2})
	c.Check(tracker.Versions(startTime)["s"], qt.DeepEquals, Versions{Stable: "v1", Candidate: "v2"})
	tracker.SetInitialStable("s", map[string]int{"v2": 9})
	c.Check(tracker.Versions(startTime)["s"].Stable, qt.Equals, "v1")
	completed := testOrder("v2", 7)
	completed.State = StateCompleted
	tracker.ApplyOrder(completed, startTime)
	c.Check(tracker.Versions(startTime)["s"], qt.DeepEquals, Versions{Stable: "v2"})
	c.Check(tracker.VersionUnsettled("s"), qt.IsFalse)
}

// TestOlderOrdersChangeNothing checks that an order of an older revision is ignored, and that
// an order for another version starts a new roll-out.
func TestOlderOrdersChangeNothing(t *testing.T) {
	c := qt.New(t)
	tracker := trackerWithStable()
	tracker.ApplyOrder(testOrder("v2", 8), startTime)
	c.Check(tracker.ApplyOrder(testOrder("v3", 7), startTime), qt.IsFalse)
	c.Check(tracker.Versions(startTime)["s"].Candidate, qt.Equals, "v2")
	tracker.Merge([]OrderStatus{{Order: testOrder("v2", 8), Halted: true}}, 0, startTime)
	c.Check(tracker.Versions(startTime)["s"].Candidate, qt.Equals, "")
	tracker.ApplyOrder(testOrder("v3", 9), startTime)
	c.Check(tracker.Versions(startTime)["s"].Candidate, qt.Equals, "v3")
	tracker.Withdraw("s", 10, startTime)
	c.Check(tracker.Versions(startTime)["s"].Candidate, qt.Equals, "")
}

// TestMemoryOutlivesAllDaemons checks that a halt survives in the snapshot, and that an order
// known from the snapshot alone gets no requests before it is read from the store.
func TestMemoryOutlivesAllDaemons(t *testing.T) {
	c := qt.New(t)
	tracker := trackerWithStable()
	tracker.ApplyOrder(testOrder("v2", 8), startTime)
	tracker.Merge([]OrderStatus{{Order: testOrder("v2", 8), Halted: true}}, 0, startTime)
	restarted := newTestTracker()
	later := startTime.Add(4 * time.Second)
	restarted.Restore(tracker.Snapshot(startTime.Add(3*time.Second)), time.Second, later)
	c.Check(restarted.Versions(later)["s"], qt.DeepEquals, Versions{Stable: "v1"})
	restarted.ApplyOrder(testOrder("v2", 8), later)
	c.Check(restarted.Versions(later)["s"], qt.DeepEquals, Versions{Stable: "v1"})
	statuses := restarted.Statuses(later)
	c.Assert(statuses, qt.HasLen, 1)
	c.Check(statuses[0].Age, qt.Equals, 4*time.Second)
}

// TestStepsExpire checks that a daemon that receives no further step from the lease holder
// returns to its trial share.
func TestStepsExpire(t *testing.T) {
	c := qt.New(t)
	tracker := trackerWithStable()
	tracker.Merge([]OrderStatus{{Order: testOrder("v2", 8), Step: Step{Share: 1, Fence: 3, Serial: 9}}}, 0, startTime)
	c.Check(tracker.FullyShifted("s", startTime), qt.IsTrue)
	tracker.Merge([]OrderStatus{{Order: testOrder("v2", 8), Step: Step{Share: 0.25, Fence: 2, Serial: 99}}}, 0, startTime)
	c.Check(tracker.FullyShifted("s", startTime), qt.IsTrue, qt.Commentf("step of an earlier lease holder"))
	c.Check(tracker.FullyShifted("s", startTime.Add(stepTTL)), qt.IsFalse)
	c.Check(tracker.Versions(startTime.Add(stepTTL))["s"].AllServers, qt.IsFalse)
}

// TestLowTrafficRaisesTrialShare checks that Bounds.Slack raises the trial share where it is
// large against the number of requests.
func TestLowTrafficRaisesTrialShare(t *testing.T) {
	for _, test := range []struct {
		perSecond, minShare, maxShare float64
	}{{12, 0.15, 0.17}, {113, 0.05, 0.06}, {268, 0.045, 0.048}, {9000, 0.04, 0.0402}} {
		c := qt.New(t)
		tracker := trackerWithStable()
		tracker.ApplyOrder(testOrder("v2", 8), startTime)
		now := startTime
		for range 20 {
			sums := NewTallies()
			sums.Requests["s"] = RequestCounts{Requests: int64(test.perSecond * now.Sub(startTime).Seconds())}
			tracker.Observe(sums, now)
			now = now.Add(200 * time.Millisecond)
		}
		share := tracker.trialShare(tracker.rollouts["s"], now)
		c.Check(share >= test.minShare && share <= test.maxShare, qt.IsTrue, qt.Commentf("share %v at %v requests a second", share, test.perSecond))
	}
}

// TestSplitShareBalancesRoutes checks that all routes send the candidate the same number of
// requests, within maxRouteShare.
func TestSplitShareBalancesRoutes(t *testing.T) {
	c := qt.New(t)
	shares := splitShare(map[string]float64{"often": 92, "seldom": 21, "rare": 1}, 0.05)
	c.Check(shares["rare"], qt.Equals, maxRouteShare)
	sum := shares["often"]*92 + shares["seldom"]*21 + shares["rare"]
	c.Check(sum > 0.0499*114 && sum < 0.0501*114, qt.IsTrue, qt.Commentf("%v", sum))
	c.Check(shares["seldom"]*21-shares["often"]*92 < 1e-9, qt.IsTrue)
}

func TestVersionIsAdmittedOnlyWithoutAnOrder(t *testing.T) {
	c := qt.New(t)
	tracker := New(Bounds{Share: 0.1, Slack: 50, Stop: 5 * time.Second})
	c.Check(tracker.Admit("s", "v2", 0), qt.IsFalse, qt.Commentf("no stable version is known"))
	tracker.SetInitialStable("s", map[string]int{"v1": 3})
	tracker.AdvanceRevision(10)
	c.Check(tracker.Admit("s", "v2", 11), qt.IsFalse, qt.Commentf("an order may be unknown"))
	c.Check(tracker.Admit("s", "v1.1", 9), qt.IsTrue)
	c.Check(tracker.Admit("s", "v1.1", 9), qt.IsFalse, qt.Commentf("it is admitted already"))
	c.Check(tracker.Versions(startTime)["s"].Unordered, qt.DeepEquals, []string{"v1.1"})
	order := Order{Service: "s", Version: "v2", Created: 12, Revision: 12, Duration: 10 * time.Second}
	tracker.ApplyOrder(order, startTime)
	tracker.AdvanceRevision(20)
	c.Check(tracker.Admit("s", "v2", 13), qt.IsFalse, qt.Commentf("an order has named it"))
	order.State, order.Revision = StateRolledBack, 21
	tracker.ApplyOrder(order, startTime)
	tracker.AdvanceRevision(30)
	c.Check(tracker.Admit("s", "v2", 25), qt.IsFalse, qt.Commentf("it was rolled back"))
	order = Order{Service: "s", Version: "v3", Created: 31, Revision: 32, Duration: 10 * time.Second, State: StateCompleted}
	tracker.ApplyOrder(order, startTime)
	tracker.AdvanceRevision(40)
	c.Check(tracker.Versions(startTime)["s"], qt.DeepEquals, Versions{Stable: "v3"})
	c.Check(tracker.Admit("s", "v1", 9), qt.IsFalse, qt.Commentf("servers from before are stopped"))
	c.Check(tracker.Admit("s", "v1.1", 32), qt.IsFalse)
	c.Check(tracker.Admit("s", "v1", 35), qt.IsTrue, qt.Commentf("servers that came later serve"))
}
