package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/store"
)

// removalEvent is the event of a removal. It bears the last revision that the entry had.
func removalEvent(i int, last int64) store.Event {
	return store.Event{Object: serverObject(i, last), Deleted: true}
}

// TestRemovalIsToldToWhoIsPastTheEarlierList: callers' requests reached servers seconds after
// their entries had been removed, at single daemons; all others had heard of it.
//
// Two relays follow the store and hear of the same changes in steps that differ. A daemon has the
// list up to a revision from one of them when the other one takes a removal over. The relay noted
// it as of its own revision before, plus one, and so as if that daemon knew it. Asked for what
// came after its revision, no relay told it any more; that two lists of one revision differ was
// only looked at once nothing had changed for 0.6 s.
//
// The evidence: in a play of that day two daemons at revision 1272 were not told of two removals
// that relays had noted as of 1263 and 1269, heard of six later ones, and of these two 3.2 s later
// by chance.
func TestRemovalIsToldToWhoIsPastTheEarlierList(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	list := store.Page{Objects: []store.Object{serverObject(1, 1), serverObject(2, 2)}, Revision: 10}
	relay, otherRelay, member := newTestRouter(t).state, newTestRouter(t).state, newTestRouter(t).state
	for _, s := range []*state{relay, otherRelay, member} {
		serverConsumer{s}.Replace(list, false)
	}
	// The other relay hears of a new server at 15, before the removal at 18.
	applyEvents(otherRelay, 15, store.Event{Object: serverObject(3, 15)})
	member.HandlePullReply(otherRelay.AnswerPull(member.PullRequest()))
	c.Assert(member.serverList.revision, qt.Equals, int64(15))
	// The relay hears of both at once.
	applyEvents(relay, 20, store.Event{Object: serverObject(3, 15)}, removalEvent(1, 1))
	member.HandlePullReply(relay.AnswerPull(member.PullRequest()))
	c.Check(member.serverList.revision, qt.Equals, int64(20))
	c.Check(readyServers(member, now), qt.DeepEquals, []string{"i-2", "i-3"})
	c.Check(member.serverList.digest, qt.Equals, relay.serverList.digest)
}

// applyEvents takes over what one call of the watch has brought, as the follower does.
func applyEvents(s *state, revision int64, events ...store.Event) {
	serverConsumer{s}.Apply(events, revision)
	serverConsumer{s}.Advance(revision, time.Now(), false)
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

// TestLaterWordsStand: the store's words come by more than one way and in any order; the one of
// the highest revision stands, whether it says that the server is there or that it is not.
func TestLaterWordsStand(t *testing.T) {
	entry := func(revision int64) serverChanges {
		return serverChanges{put: []store.Object{serverObject(1, revision)}, from: "peer"}
	}
	removal := func(revision int64) serverChanges {
		return serverChanges{removed: []removedServer{{id: "i-1", revision: revision}}, from: "peer"}
	}
	for name, play := range map[string]struct {
		words []serverChanges
		ready []string
	}{
		"removal, then an older entry":       {[]serverChanges{entry(3), removal(7), entry(5)}, nil},
		"removal of a server not heard of":   {[]serverChanges{removal(7), entry(5)}, nil},
		"back again, then an older removal":  {[]serverChanges{entry(3), entry(9), removal(7)}, []string{"i-1"}},
		"removal, then back again":           {[]serverChanges{entry(3), removal(7), entry(9)}, []string{"i-1"}},
		"removal twice, back between by now": {[]serverChanges{removal(7), entry(9), removal(7)}, []string{"i-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, now := newTestRouter(t).state, time.Now()
			for _, word := range play.words {
				s.updateServers(word, now)
			}
			c.Check(readyServers(s, now), qt.DeepEquals, play.ready)
		})
	}
}

// TestListThatIsBehindChangesNothing: a call to the store may return after a peer has told what
// came later.
func TestListThatIsBehindChangesNothing(t *testing.T) {
	c := qt.New(t)
	s, now := newTestRouter(t).state, time.Now()
	s.replaceServers([]store.Object{serverObject(1, 1), serverObject(2, 2)}, 10, sourceStore, now)
	s.updateServers(serverChanges{removed: []removedServer{{id: "i-1", revision: 14}}, put: []store.Object{serverObject(3, 13)}, from: "peer", upTo: 15}, now)
	s.replaceServers([]store.Object{serverObject(1, 1), serverObject(2, 2)}, 12, sourceStore, now)
	c.Check(readyServers(s, now), qt.DeepEquals, []string{"i-2", "i-3"})
	// One of the same revision is the store's word on all of them.
	s.replaceServers([]store.Object{serverObject(2, 2)}, 15, sourceStore, now)
	c.Check(readyServers(s, now), qt.DeepEquals, []string{"i-2"})
}

// TestListThatDiffersIsAskedForWhole: where the changes that a peer tells do not make the lists
// alike, the whole list is fetched at once, however fast the revision goes on.
func TestListThatDiffersIsAskedForWhole(t *testing.T) {
	c := qt.New(t)
	lead, member, now := newTestRouter(t).state, newTestRouter(t).state, time.Now()
	serverConsumer{lead}.Replace(store.Page{Objects: []store.Object{serverObject(1, 1), serverObject(2, 2)}, Revision: 10}, false)
	c.Assert(member.HandlePullReply(lead.AnswerPull(member.PullRequest())), qt.IsFalse)
	// A change is lost on the way to the member, whose revision says that it has it.
	applyEvents(lead, 15, store.Event{Object: serverObject(3, 12)})
	member.serverList.revision = 15
	applyEvents(lead, 20, store.Event{Object: serverObject(4, 18)})
	c.Assert(member.HandlePullReply(lead.AnswerPull(member.PullRequest())), qt.IsTrue)
	c.Check(member.PullRequest().GetServersRevision(), qt.Equals, int64(0))
	c.Check(member.HandlePullReply(lead.AnswerPull(member.PullRequest())), qt.IsFalse)
	c.Check(member.serverList.digest, qt.Equals, lead.serverList.digest)
	c.Check(readyServers(member, now), qt.HasLen, 4)
	c.Check(member.PullRequest().GetServersRevision(), qt.Equals, int64(20))
}
