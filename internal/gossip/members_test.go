package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func report(vm string, incarnation uint64) Peer {
	return Peer{VM: vm, Address: vm + ":1", Incarnation: incarnation}
}

func TestOldAndRepeatedReportsAreDropped(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(nil)
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
	m := NewMembers(nil)
	m.hear(report("b", 1), 1, start)
	m.Learn("c", "z", "c:1", start)
	c.Check(m.Heard(start), qt.HasLen, 1)
	c.Check(m.Known(start), qt.HasLen, 2)
	c.Check(m.Heard(start.Add(silentAfter)), qt.HasLen, 0)
	c.Check(m.Known(start.Add(forgetAfter-1)), qt.HasLen, 2)
	c.Check(m.Sweep(start.Add(forgetAfter)), qt.HasLen, 2)
	c.Check(m.Known(start), qt.HasLen, 0)
}

func TestHintsAreAskedUntilTheirDaemonIsKnown(t *testing.T) {
	c := qt.New(t)
	m := NewMembers([]string{"b:1", "gone:1"})
	c.Check(m.addresses(start), qt.HasLen, 2)
	m.hear(report("b", 1), 1, start)
	c.Check(m.addresses(start), qt.HasLen, 2)
	c.Check(m.hints, qt.DeepEquals, map[string]bool{"gone:1": true})
}
