package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start = time.Unix(1000, 0)
	self  = Identity{VM: "e", Zone: "z", Address: "e:1"}
)

func report(vm string, incarnation uint64) Peer {
	return Peer{VM: vm, Zone: "z", Address: vm + ":1", Incarnation: incarnation}
}

func TestOldAndRepeatedReportsAreDropped(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	fresh, newProcess := m.recordReport(report("b", 1), 5, start)
	c.Check(fresh && newProcess, qt.IsTrue)
	fresh, _ = m.recordReport(report("b", 1), 5, start)
	c.Check(fresh, qt.IsFalse)
	fresh, _ = m.recordReport(report("b", 1), 4, start)
	c.Check(fresh, qt.IsFalse)
	fresh, newProcess = m.recordReport(report("b", 2), 1, start)
	c.Check(fresh && newProcess, qt.IsTrue, qt.Commentf("the sequence of a restarted process starts again"))
}

func TestSilentPeersStayKnownForAWhile(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	m.recordReport(report("b", 1), 1, start)
	m.Learn(Listed{VM: "c", Zone: "z", Address: "c:1"}, start)
	c.Check(m.Reachable(start), qt.HasLen, 1)
	c.Check(m.Known(start), qt.HasLen, 2)
	c.Check(m.Reachable(start.Add(unreachableAfter)), qt.HasLen, 0)
	c.Check(m.Known(start.Add(forgetAfter-1)), qt.HasLen, 2)
	m.Learn(Listed{VM: "c", Zone: "z", Address: "c:1"}, start.Add(time.Second))
	c.Check(m.Sweep(start.Add(forgetAfter)), qt.HasLen, 1, qt.Commentf("c was learned again"))
	c.Check(m.Known(start), qt.HasLen, 1)
}

func TestHintsAreUsedUntilTheirDaemonIsKnown(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, []string{"b:1", "gone:1", self.Address})
	c.Check(m.hintAddresses(), qt.DeepEquals, []string{"b:1", "gone:1"})
	m.recordReport(report("b", 1), 1, start)
	c.Check(m.hintAddresses(), qt.DeepEquals, []string{"gone:1"})
}

// reportAll records a report of each daemon, in the local daemon's zone.
func reportAll(m *Members, now time.Time, vms ...string) {
	for _, vm := range vms {
		m.recordReport(report(vm, 1), uint64(now.UnixNano()), now)
	}
}

func vmsOf(peers []Peer) []string {
	var all []string
	for _, p := range peers {
		all = append(all, p.VM)
	}
	return all
}

func TestFirstDaemonsOfAZoneAreRelays(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	c.Check(m.Plan(LocalState{}, start).Leader, qt.IsTrue, qt.Commentf("alone"))
	reportAll(m, start, "a", "b", "f")
	plan := m.Plan(LocalState{}, start)
	c.Check(plan.Relay || plan.Leader, qt.IsFalse)
	c.Check(vmsOf(plan.ReportTo), qt.DeepEquals, []string{"a", "b"})
	c.Check(plan.ZonePeers, qt.HasLen, 0)
}

func TestSuspectedRelaysAreReplaced(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	reportAll(m, start, "a", "b", "c")
	m.recordSent("a", start.Add(time.Second))
	m.recordSent("b", start.Add(time.Second))
	later := start.Add(time.Second + unreachableAfter)
	plan := m.Plan(LocalState{}, later)
	c.Check(vmsOf(plan.ReportTo), qt.DeepEquals, []string{"c"})
	c.Check(plan.Relay, qt.IsTrue)
	reportAll(m, later, "a")
	c.Check(vmsOf(m.Plan(LocalState{}, later).ReportTo), qt.DeepEquals, []string{"a", "c"})
}

func TestRelayWithoutStoreDoesNotFollowIt(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Identity{VM: "b", Zone: "z"}, nil)
	reportAll(m, start, "a", "c", "d")
	c.Check(m.Plan(LocalState{}, start).FollowsStore, qt.IsFalse)
	withoutStore := report("a", 1)
	withoutStore.StoreFailing = true
	m.recordReport(withoutStore, uint64(start.UnixNano())+1, start)
	plan := m.Plan(LocalState{}, start)
	c.Check(plan.FollowsStore, qt.IsTrue)
	c.Check(plan.LeaderVM, qt.Equals, "a", qt.Commentf("the leader does not depend on the store"))
	c.Check(vmsOf(plan.ReportTo), qt.DeepEquals, []string{"a", "c"}, qt.Commentf("one more relay is added"))
	plan = m.Plan(LocalState{StoreFailing: true}, start)
	c.Check(plan.FollowsStore, qt.IsFalse)
	c.Check(plan.Relay, qt.IsTrue)
}

func TestAllRelaysFollowWhileNoneReachesTheStore(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Identity{VM: "b", Zone: "z"}, nil)
	withoutStore := report("a", 1)
	withoutStore.StoreFailing = true
	m.recordReport(withoutStore, 1, start)
	c.Check(m.Plan(LocalState{StoreFailing: true}, start).FollowsStore, qt.IsTrue)
}

func TestLeaderSendsToOtherZones(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Identity{VM: "a", Zone: "z"}, nil)
	for _, vm := range []string{"p", "q", "r"} {
		m.Learn(Listed{VM: vm, Zone: "y", Address: vm + ":1"}, start)
	}
	reportAll(m, start, "b", "c", "d")
	plan := m.Plan(LocalState{}, start)
	c.Check(plan.Leader, qt.IsTrue)
	c.Check(vmsOf(plan.RemoteRelays), qt.DeepEquals, []string{"p", "q"})
	c.Check(vmsOf(plan.ZonePeers), qt.DeepEquals, []string{"b", "c", "d"})
	c.Check(m.Plan(LocalState{Draining: true}, start).Relay, qt.IsFalse)
}

func TestLastDaemonOfAZoneLeadsWhileItDrains(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Identity{VM: "a", Zone: "z"}, nil)
	m.Learn(Listed{VM: "p", Zone: "y", Address: "p:1"}, start)
	plan := m.Plan(LocalState{Draining: true}, start)
	c.Check(plan.Leader, qt.IsTrue, qt.Commentf("its counts must reach the other zones"))
	c.Check(vmsOf(plan.RemoteRelays), qt.DeepEquals, []string{"p"})
}

// TestMessagesGrowLinearlyWithTheZone checks that all daemons of a zone choose the same
// two relays, and that the number of messages per round grows linearly with the number of
// daemons and not with its square.
func TestMessagesGrowLinearlyWithTheZone(t *testing.T) {
	c := qt.New(t)
	const daemons = 60
	messages, leaders := 0, 0
	for i := range daemons {
		vm := vmName(i)
		m := NewMembers(Identity{VM: vm, Zone: "z", Address: vm}, nil)
		for other := range daemons {
			m.Learn(Listed{VM: vmName(other), Zone: "z", Address: vmName(other)}, start)
		}
		plan := m.Plan(LocalState{}, start)
		if plan.Leader {
			leaders++
		}
		messages += len(plan.ZonePeers)
		if !plan.Relay {
			messages += len(plan.ReportTo)
		}
	}
	c.Check(leaders, qt.Equals, 1)
	c.Check(messages <= 4*daemons, qt.IsTrue, qt.Commentf("%d messages", messages))
}

func vmName(i int) string { return string(rune('a'+i/26)) + string(rune('a'+i%26)) }

// TestSilentZoneIsStillTold checks that a leader sends to daemons of an unreachable zone,
// in rotation, and only to the relays of a reachable zone.
func TestSilentZoneIsStillTold(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Identity{VM: "a", Zone: "z", Address: "a:1"}, nil)
	for _, vm := range []string{"p", "q", "r", "s"} {
		m.recordReport(Peer{VM: vm, Zone: "far", Address: vm + ":1"}, 1, start)
	}
	c.Check(m.Plan(LocalState{}, start).RemoteRelays, qt.HasLen, relaysPerZone)
	later := start
	for _, vm := range []string{"p", "q", "r", "s"} {
		m.recordSent(vm, later)
	}
	contacted := map[string]bool{}
	for range 8 {
		later = later.Add(2 * unreachableAfter)
		remote := m.Plan(LocalState{}, later).RemoteRelays
		c.Check(len(remote) > 0, qt.IsTrue, qt.Commentf("at %v", later.Sub(start)))
		for _, p := range remote {
			contacted[p.VM] = true
		}
	}
	c.Check(len(contacted) >= 3, qt.IsTrue, qt.Commentf("%v", contacted))
}

// TestForgottenPeersStayAsHints checks that peers can be found again after a partition
// that outlasts forgetAfter.
func TestForgottenPeersStayAsHints(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	m.recordReport(report("b", 1), 1, start)
	m.Sweep(start.Add(forgetAfter))
	c.Check(m.hintAddresses(), qt.DeepEquals, []string{"b:1"})
	m.recordReport(report("b", 1), 2, start.Add(time.Hour))
	c.Check(m.hintAddresses(), qt.HasLen, 0)
}

// TestLargeVMsAreRelays guards against relays on small VMs, whose links drop what a large zone reports to
// them, so that the zone's sums lack most of its daemons and other zones do not hear it.
func TestLargeVMsAreRelays(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Identity{VM: "e", Zone: "z", Address: "e:1", Capacity: 10}, nil)
	for vm, capacity := range map[string]uint32{"a": 10, "b": 10, "f": 200, "g": 25, "h": 200} {
		large := report(vm, 1)
		large.Capacity = capacity
		m.recordReport(large, 1, start)
	}
	c.Check(vmsOf(m.Plan(LocalState{}, start).ReportTo), qt.DeepEquals, []string{"f", "h"})
	c.Check(vmsOf(m.relayCandidates("z", start)), qt.DeepEquals, []string{"f", "h", "g", "a"})
	c.Check(vmsOf(m.inRelayOrder(start)), qt.DeepEquals, []string{"f", "h", "g", "a", "b"})
	m.recordReport(report("c", 1), 1, start)
	c.Check(vmsOf(m.Plan(LocalState{}, start).ReportTo), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("a daemon of an earlier version orders by VM"))
}

// TestListedCapacityIsLearned checks that daemons which only know each other from lists agree on the relays.
func TestListedCapacityIsLearned(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Identity{VM: "e", Zone: "z", Address: "e:1", Capacity: 10}, nil)
	m.Learn(Listed{VM: "a", Zone: "z", Address: "a:1"}, start)
	m.Learn(Listed{VM: "f", Zone: "z", Address: "f:1", Capacity: 200}, start)
	c.Check(m.Plan(LocalState{}, start).LeaderVM, qt.Equals, "a")
	m.Learn(Listed{VM: "a", Zone: "z", Address: "a:1", Capacity: 10}, start)
	c.Check(m.Plan(LocalState{}, start).LeaderVM, qt.Equals, "f")
}
