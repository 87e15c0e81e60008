package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start = time.Unix(1000, 0)
	self  = Self{VM: "e", Zone: "z", Address: "e:1"}
)

func report(vm string, incarnation uint64) Peer {
	return Peer{VM: vm, Zone: "z", Address: vm + ":1", Incarnation: incarnation}
}

func TestOldAndRepeatedReportsAreDropped(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	fresh, unknown := m.hear(report("b", 1), 5, start)
	c.Check(fresh && unknown, qt.IsTrue)
	fresh, _ = m.hear(report("b", 1), 5, start)
	c.Check(fresh, qt.IsFalse)
	fresh, _ = m.hear(report("b", 1), 4, start)
	c.Check(fresh, qt.IsFalse)
	fresh, unknown = m.hear(report("b", 2), 1, start)
	c.Check(fresh && unknown, qt.IsTrue, qt.Commentf("a restarted process counts anew"))
}

func TestSilentPeersStayKnownForAWhile(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	m.hear(report("b", 1), 1, start)
	m.Learn("c", "z", "c:1", start)
	c.Check(m.Heard(start), qt.HasLen, 1)
	c.Check(m.Known(start), qt.HasLen, 2)
	c.Check(m.Heard(start.Add(silentAfter)), qt.HasLen, 0)
	c.Check(m.Known(start.Add(forgetAfter-1)), qt.HasLen, 2)
	m.Learn("c", "z", "c:1", start.Add(time.Second))
	c.Check(m.Sweep(start.Add(forgetAfter)), qt.HasLen, 1, qt.Commentf("c was named again"))
	c.Check(m.Known(start), qt.HasLen, 1)
}

func TestHintsAreAskedUntilTheirDaemonIsKnown(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, []string{"b:1", "gone:1", self.Address})
	c.Check(m.hintAddresses(), qt.DeepEquals, []string{"b:1", "gone:1"})
	m.hear(report("b", 1), 1, start)
	c.Check(m.hintAddresses(), qt.DeepEquals, []string{"gone:1"})
}

// hearAll lets a daemon hear others of its zone.
func hearAll(m *Members, now time.Time, vms ...string) {
	for _, vm := range vms {
		m.hear(report(vm, 1), uint64(now.UnixNano()), now)
	}
}

func names(peers []Peer) []string {
	var all []string
	for _, p := range peers {
		all = append(all, p.VM)
	}
	return all
}

func TestFirstDaemonsOfAZoneRelay(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	c.Check(m.Plan(Condition{}, start).Lead, qt.IsTrue, qt.Commentf("alone"))
	hearAll(m, start, "a", "b", "f")
	plan := m.Plan(Condition{}, start)
	c.Check(plan.Relay || plan.Lead, qt.IsFalse)
	c.Check(names(plan.ReportTo), qt.DeepEquals, []string{"a", "b"})
	c.Check(plan.Zone, qt.HasLen, 0)
}

func TestSuspectedRelaysAreReplaced(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	hearAll(m, start, "a", "b", "c")
	m.asked("a", start.Add(time.Second))
	m.asked("b", start.Add(time.Second))
	later := start.Add(time.Second + silentAfter)
	plan := m.Plan(Condition{}, later)
	c.Check(names(plan.ReportTo), qt.DeepEquals, []string{"c"})
	c.Check(plan.Relay, qt.IsTrue)
	hearAll(m, later, "a")
	c.Check(names(m.Plan(Condition{}, later).ReportTo), qt.DeepEquals, []string{"a", "c"})
}

func TestRelayThatTheStoreRefusesLeavesItToAnother(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Self{VM: "b", Zone: "z"}, nil)
	hearAll(m, start, "a", "c", "d")
	c.Check(m.Plan(Condition{}, start).Follows, qt.IsFalse)
	refused := report("a", 1)
	refused.StoreFailing = true
	m.hear(refused, uint64(start.UnixNano())+1, start)
	plan := m.Plan(Condition{}, start)
	c.Check(plan.Follows, qt.IsTrue)
	c.Check(plan.LeadVM, qt.Equals, "a", qt.Commentf("who tells the sums does not depend on the store"))
	c.Check(names(plan.ReportTo), qt.DeepEquals, []string{"a", "c"}, qt.Commentf("one more relay stands in"))
	plan = m.Plan(Condition{StoreFailing: true}, start)
	c.Check(plan.Follows, qt.IsFalse)
	c.Check(plan.Relay, qt.IsTrue)
}

func TestAllRelaysTryWhileTheStoreAnswersNone(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Self{VM: "b", Zone: "z"}, nil)
	refused := report("a", 1)
	refused.StoreFailing = true
	m.hear(refused, 1, start)
	c.Check(m.Plan(Condition{StoreFailing: true}, start).Follows, qt.IsTrue)
}

func TestLeadTellsOtherZones(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Self{VM: "a", Zone: "z"}, nil)
	for _, vm := range []string{"p", "q", "r"} {
		m.Learn(vm, "y", vm+":1", start)
	}
	hearAll(m, start, "b", "c", "d")
	plan := m.Plan(Condition{}, start)
	c.Check(plan.Lead, qt.IsTrue)
	c.Check(names(plan.Far), qt.DeepEquals, []string{"p", "q"})
	c.Check(names(plan.Zone), qt.DeepEquals, []string{"b", "c", "d"})
	c.Check(m.Plan(Condition{Draining: true}, start).Relay, qt.IsFalse)
}

func TestLastDaemonOfAZoneLeadsWhileItDrains(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Self{VM: "a", Zone: "z"}, nil)
	m.Learn("p", "y", "p:1", start)
	plan := m.Plan(Condition{Draining: true}, start)
	c.Check(plan.Lead, qt.IsTrue, qt.Commentf("what it has counted must reach the others"))
	c.Check(names(plan.Far), qt.DeepEquals, []string{"p"})
}

// TestPartsDoNotGrowWithTheZone: all daemons of a zone agree on two relays, and
// the messages of a round grow with the number of daemons, not with its square.
func TestPartsDoNotGrowWithTheZone(t *testing.T) {
	c := qt.New(t)
	const daemons = 60
	messages, leads := 0, 0
	for i := range daemons {
		vm := vmName(i)
		m := NewMembers(Self{VM: vm, Zone: "z", Address: vm}, nil)
		for other := range daemons {
			m.Learn(vmName(other), "z", vmName(other), start)
		}
		plan := m.Plan(Condition{}, start)
		if plan.Lead {
			leads++
		}
		messages += len(plan.Zone)
		if !plan.Relay {
			messages += len(plan.ReportTo)
		}
	}
	c.Check(leads, qt.Equals, 1)
	c.Check(messages <= 4*daemons, qt.IsTrue, qt.Commentf("%d messages", messages))
}

func vmName(i int) string { return string(rune('a'+i/26)) + string(rune('a'+i%26)) }

// TestSilentZoneIsStillTold: a lead tells daemons of a zone of which it hears none, in
// turns, and of a zone that is heard its relays alone.
func TestSilentZoneIsStillTold(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Self{VM: "a", Zone: "z", Address: "a:1"}, nil)
	for _, vm := range []string{"p", "q", "r", "s"} {
		m.hear(Peer{VM: vm, Zone: "far", Address: vm + ":1"}, 1, start)
	}
	c.Check(m.Plan(Condition{}, start).Far, qt.HasLen, relaysPerZone)
	later := start
	for _, vm := range []string{"p", "q", "r", "s"} {
		m.asked(vm, later)
	}
	told := map[string]bool{}
	for range 8 {
		later = later.Add(2 * silentAfter)
		far := m.Plan(Condition{}, later).Far
		c.Check(len(far) > 0, qt.IsTrue, qt.Commentf("at %v", later.Sub(start)))
		for _, p := range far {
			told[p.VM] = true
		}
	}
	c.Check(len(told) >= 3, qt.IsTrue, qt.Commentf("%v", told))
}

// TestForgottenPeersStayAsHints: a cut that lasts longer than peers are remembered may end.
func TestForgottenPeersStayAsHints(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(self, nil)
	m.hear(report("b", 1), 1, start)
	m.Sweep(start.Add(forgetAfter))
	c.Check(m.hintAddresses(), qt.DeepEquals, []string{"b:1"})
	m.hear(report("b", 1), 2, start.Add(time.Hour))
	c.Check(m.hintAddresses(), qt.HasLen, 0)
}
