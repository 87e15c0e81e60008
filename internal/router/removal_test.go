package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/store"
)

// removed is the event of a removal. It bears the last revision that the entry had.
func removed(i int, last int64) store.Event {
	return store.Event{Object: listedServer(i, last), Deleted: true}
}

// TestRemovalIsToldToWhoIsPastTheEarlierList: callers' requests reached servers seconds after
// their entries had been removed, at single daemons; all others had heard of it.
//
// Two relays follow the store and hear of the same changes in steps that differ. A daemon has the
// list up to a revision from one of them when the other one takes a removal over.
func TestRemovalIsToldToWhoIsPastTheEarlierList(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	list := store.Page{Objects: []store.Object{listedServer(1, 1), listedServer(2, 2)}, Revision: 10}
	relay, otherRelay, member := testRouter(t).state, testRouter(t).state, testRouter(t).state
	for _, s := range []*state{relay, otherRelay, member} {
		serverConsumer{s}.Replace(list, false)
	}
	// The other relay hears of a new server at 15, before the removal at 18.
	apply(otherRelay, 15, store.Event{Object: listedServer(3, 15)})
	member.Pulled(otherRelay.Pull(member.Request()))
	c.Assert(member.listing.revision, qt.Equals, int64(15))
	// The relay hears of both at once.
	apply(relay, 20, store.Event{Object: listedServer(3, 15)}, removed(1, 1))
	member.Pulled(relay.Pull(member.Request()))
	c.Check(member.listing.revision, qt.Equals, int64(20))
	c.Check(readyServers(member, now), qt.DeepEquals, []string{"i-2", "i-3"})
	c.Check(member.listing.digest, qt.Equals, relay.listing.digest)
}

// apply takes over what one call of the watch has brought, as the follower does.
func apply(s *state, revision int64, events ...store.Event) {
	serverConsumer{s}.Apply(events)
	serverConsumer{s}.Advance(revision, false)
}

func readyServers(s *state, now time.Time) []string {
	var ids []string
	for _, one := range s.view.Servers(now) {
		if one.Ready {
			ids = append(ids, one.ID)
		}
	}
	return ids
}
