package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/store"
)

// TestServerThatLeavesIsNotTakenBackFromACopy guards against requests to servers that are known to
// leave, after the store went back to a copy in which they are ready.
func TestServerThatLeavesIsNotTakenBackFromACopy(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := NewView()
	entry := func(id string, sequence, revision int64, draining bool) Entry {
		return Entry{ID: id, Service: "desk", Sequence: sequence, Revision: revision, Draining: draining}
	}
	v.Put(entry("draining", 4, 90, true), now)
	v.Put(entry("gone", 4, 91, false), now)
	v.Remove("gone", now)
	inCopy := store.QualifiedRevision(1, 60)
	now = now.Add(2 * defaultDrainBound)
	seen := Observed(now)
	v.Replace([]Entry{entry("draining", 3, inCopy, false), entry("gone", 4, inCopy, false), entry("other", 1, inCopy, false)}, seen)
	choice, ok := v.Begin(Need{Service: "desk"}, now)
	c.Assert(ok, qt.IsTrue)
	c.Check(choice.ID, qt.Equals, "other")
	_, ok = v.Begin(Need{Service: "desk", ServerID: "gone"}, now)
	c.Check(ok, qt.IsFalse)
	v.Put(entry("gone", 5, store.QualifiedRevision(1, 61), false), now)
	_, ok = v.Begin(Need{Service: "desk", ServerID: "gone"}, now)
	c.Check(ok, qt.IsTrue, qt.Commentf("a server that has written again is not used"))
}
