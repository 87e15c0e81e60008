package usage

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSumOverProcesses(t *testing.T) {
	c := qt.New(t)
	l := NewLedger(5 * time.Second)
	at := time.Unix(1002, 0)
	id := l.WindowAt(at)
	c.Check(l.End(id), qt.Equals, time.Unix(1005, 0))
	l.RequestStarted("w", at)
	l.MergePeer("vm-2", 1, map[int64]Counts{id: {"w": 3}})
	// A late report of the same process must not lower its count. A report of the peer's next
	// process adds to it.
	l.MergePeer("vm-2", 1, map[int64]Counts{id: {"w": 2}})
	l.MergePeer("vm-2", 2, map[int64]Counts{id: {"w": 4}})
	c.Check(l.Sum(id), qt.DeepEquals, Counts{"w": 8})
}

func TestOldWindowsAreDropped(t *testing.T) {
	c := qt.New(t)
	l := NewLedger(5 * time.Second)
	first := time.Unix(1002, 0)
	l.RequestStarted("w", first)
	l.MergePeer("vm-2", 1, map[int64]Counts{l.WindowAt(first): {"w": 3}})
	l.RequestStarted("w", first.Add(retainedWindows*5*time.Second+5*time.Second))
	c.Check(l.Sum(l.WindowAt(first)), qt.DeepEquals, Counts{})
	c.Check(l.remote, qt.HasLen, 0)
}

func TestOwnReturnsLatestWindows(t *testing.T) {
	c := qt.New(t)
	l := NewLedger(5 * time.Second)
	for i := range 4 {
		l.RequestStarted("w", time.Unix(1002+int64(5*i), 0))
	}
	c.Check(l.Own(2), qt.HasLen, 2)
}
