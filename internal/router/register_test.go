package router

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/store"
)

// TestRestartLearnsOfAllOthers checks that daemons listed after this daemon's own entry are learned
// too. A restarted leader used to learn only those before it, and the usage of the others of its
// zone was missing for 20 s.
func TestRestartLearnsOfAllOthers(t *testing.T) {
	c := qt.New(t)
	r := newTestRouter(t)
	own := daemonEntry{Zone: r.settings.VM.Zone, Address: r.settings.Listen.Peers}
	var page store.Page
	add := func(name string, entry daemonEntry) {
		spec, err := json.Marshal(entry)
		c.Assert(err, qt.IsNil)
		page.Objects = append(page.Objects, store.Object{Name: name, Spec: spec, Revision: int64(len(page.Objects) + 1)})
	}
	add("a-first", daemonEntry{Zone: "z", Address: "10.2.0.1:1"})
	add(r.settings.VM.ID, own)
	for i := range 5 {
		add(fmt.Sprintf("z-%d", i), daemonEntry{Zone: "z", Address: fmt.Sprintf("10.2.1.%d:1", i)})
	}
	c.Assert(r.writeEntry(t.Context(), page), qt.IsNil)
	c.Check(r.members.Known(time.Now()), qt.HasLen, 6)
}

// TestRolesAreCheckedOnceMembersAreKnown checks that roles are evaluated as soon as the members are
// known, before the next regular evaluation.
func TestRolesAreCheckedOnceMembersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newTestRouter(t)
		r.createFollowers()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.watchRole(ctx)
		time.Sleep(15 * time.Millisecond)
		c.Check(r.following.Load(), qt.IsFalse)
		r.registered.Store(true)
		r.peersLearned <- struct{}{}
		synctest.Wait()
		c.Check(r.following.Load(), qt.IsTrue)
		cancel()
		synctest.Wait()
	})
}

// TestEarliestStartNeedsAllEntries guards against treating daemons of an older version, whose
// entries have no start time, as new.
func TestEarliestStartNeedsAllEntries(t *testing.T) {
	c := qt.New(t)
	page := func(specs ...string) (page store.Page) {
		for i, spec := range specs {
			page.Objects = append(page.Objects, store.Object{Name: fmt.Sprintf("vm-%d", i), Spec: json.RawMessage(spec)})
		}
		return page
	}
	for _, test := range []struct {
		page  store.Page
		first int64
		known bool
	}{
		{page(`{"zone":"z","since_ms":7}`, `{"zone":"z","since_ms":5}`, `{"zone":"z","since_ms":6}`), 5, true},
		{page(`{"zone":"z","since_ms":7}`, `{"zone":"z"}`), 0, false},
		{page(`{"zone":"z","since_ms":7}`, `unreadable`), 0, false},
		{page(), 0, false},
	} {
		first, known := earliestStart(test.page)
		c.Check(known, qt.Equals, test.known)
		if known {
			c.Check(first.UnixMilli(), qt.Equals, test.first)
		}
	}
}
