package backend

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// versionedEntry returns an entry of a server of the service s at a version.
func versionedEntry(id, version string) Entry {
	e := entry(id, "z")
	e.Version = version
	return e
}

// TestAttemptIsNotSentToAServerWhoseVersionHasChanged guards against an attempt for one version that reaches a
// server whose entry has another one by the time at which a connection is available.
func TestAttemptIsNotSentToAServerWhoseVersionHasChanged(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Put(versionedEntry("a", "v1"), start)
	choice, ok := v.Begin(Need{Service: "s", Version: "v1"}, start)
	c.Assert(ok, qt.IsTrue)
	c.Check(choice.MaySend(start), qt.IsTrue)
	c.Check(choice.ListedVersion(), qt.Equals, "v1")
	v.Put(versionedEntry("a", "v2"), start)
	c.Check(choice.MaySend(start), qt.IsFalse)
	c.Check(choice.ListedVersion(), qt.Equals, "v2")
	_, ok = v.Begin(Need{Service: "s", Version: "v1"}, start)
	c.Check(ok, qt.IsFalse)
}

// TestRunIsNotMovedToAServerWhoseVersionHasChanged guards against a run that goes on at a server that has got
// another version since the move was planned.
func TestRunIsNotMovedToAServerWhoseVersionHasChanged(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Put(versionedEntry("a", "v2"), start)
	_, ok := v.BeginMoved(Need{Service: "s", Version: "v1"}, "a", start)
	c.Check(ok, qt.IsFalse)
	_, ok = v.BeginMoved(Need{Service: "s", Version: "v2"}, "a", start)
	c.Check(ok, qt.IsTrue)
	_, ok = v.BeginMoved(Need{Service: "s"}, "a", start)
	c.Check(ok, qt.IsTrue)
}

func TestExcludedServersAreNeverPicked(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Put(versionedEntry("a", "v1"), start)
	_, ok := v.Begin(Need{Service: "s", Tried: map[string]bool{"a": true}}, start)
	c.Check(ok, qt.IsTrue)
	_, ok = v.Begin(Need{Service: "s", Excluded: map[string]bool{"a": true}}, start)
	c.Check(ok, qt.IsFalse)
}

func TestServersMayChangeTheirVersion(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Put(versionedEntry("a", "v1"), start)
	v.Put(versionedEntry("b", "v1"), start)
	c.Check(v.MayChangeVersion("s"), qt.IsFalse)
	v.Put(versionedEntry("c", "v2"), start)
	c.Check(v.MayChangeVersion("s"), qt.IsTrue)
	c.Check(v.MayChangeVersion("other"), qt.IsFalse)
	again := entryAt("d", 1000, 1)
	again.Service = "other"
	v.Put(again, start)
	c.Check(v.MayChangeVersion("other"), qt.IsTrue)
}
