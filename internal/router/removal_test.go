package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/store"
)

// removalEvent returns the event of a removal. It carries the last revision that the entry had.
func removalEvent(i int, last int64) store.Event {
	return store.Event{Object: serverObject(i, last), Deleted: true}
}

// TestRemovalIsToldToWhoIsPastTheEarlierList guards against removals that never reach some daemons,
// whose requests then went to servers seconds after their entries had been removed.
//
// Two relays follow the store and receive the same changes in different batches. A member fetches
// the list up to a revision from one of them before the other one applies a removal. The second
// relay recorded the removal as of its own previous revision plus one, which the member already
// had. When the member asked for changes after its revision, no relay sent the removal. That lists
// of one revision differed was only checked once nothing had changed for 0.6 s. In one run two
// daemons at revision 1272 missed two removals that relays had recorded as of 1263 and 1269. They
// received six later ones, and these two only 3.2 s later by chance.
func TestRemovalIsToldToWhoIsPastTheEarlierList(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	list := store.Page{Objects: []store.Object{serverObject(1, 1), serverObject(2, 2)}, Revision: 10}
	relay, otherRelay, member := newTestRouter(t).state, newTestRouter(t).state, newTestRouter(t).state
	for _, s := range []*state{relay, otherRelay, member} {
		serverConsumer{s}.Replace(list, false)
	}
	// The other relay receives a new server at revision 15, before the removal at 18.
	applyEvents(otherRelay, 15, store.Event{Object: serverObject(3, 15)})
	member.HandlePullReply(otherRelay.AnswerPull(member.PullRequest()))
	c.Assert(member.serverList.revision, qt.Equals, int64(15))
	// The relay receives both changes at once.
	applyEvents(relay, 20, store.Event{Object: serverObject(3, 15)}, removalEvent(1, 1))
	member.HandlePullReply(relay.AnswerPull(member.PullRequest()))
	c.Check(member.serverList.revision, qt.Equals, int64(20))
	c.Check(readyServers(member, now), qt.DeepEquals, []string{"i-2", "i-3"})
	c.Check(member.serverList.digest, qt.Equals, relay.serverList.digest)
}

// applyEvents applies the result of one watch call, as the follower does.
func applyEvents(s *state, revision int64, events ...store.Event) {
	serverConsumer{s}.Apply(events, revision)
	serverConsumer{s}.Advance(revision, time.Now(), false)
}

func readyServers(s *state, now time.Time) []string {
	var ids []string
	for _, server := range s.view.Servers(now) {
		if server.Ready {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// TestLaterWordsStand checks that the change with the highest revision wins, be it an entry or a
// removal. Changes arrive from the store and from peers, in any order.
func TestLaterWordsStand(t *testing.T) {
	entry := func(revision int64) serverChanges {
		return serverChanges{put: []store.Object{serverObject(1, revision)}, from: "peer"}
	}
	removal := func(revision int64) serverChanges {
		return serverChanges{removed: []removedServer{{id: "i-1", revision: revision}}, from: "peer"}
	}
	for name, test := range map[string]struct {
		changes []serverChanges
		ready   []string
	}{
		"removal, then an older entry":      {[]serverChanges{entry(3), removal(7), entry(5)}, nil},
		"removal of an unknown server":      {[]serverChanges{removal(7), entry(5)}, nil},
		"back again, then an older removal": {[]serverChanges{entry(3), entry(9), removal(7)}, []string{"i-1"}},
		"removal, then back again":          {[]serverChanges{entry(3), removal(7), entry(9)}, []string{"i-1"}},
		"removal twice, back in between":    {[]serverChanges{removal(7), entry(9), removal(7)}, []string{"i-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, now := newTestRouter(t).state, time.Now()
			for _, change := range test.changes {
				s.updateServers(change, now)
			}
			c.Check(readyServers(s, now), qt.DeepEquals, test.ready)
		})
	}
}

// TestListThatIsBehindChangesNothing checks that an outdated list is ignored. A call to the store
// may return after a peer has sent later changes.
func TestListThatIsBehindChangesNothing(t *testing.T) {
	c := qt.New(t)
	s, now := newTestRouter(t).state, time.Now()
	s.replaceServers([]store.Object{serverObject(1, 1), serverObject(2, 2)}, 10, sourceStore, now)
	s.updateServers(serverChanges{removed: []removedServer{{id: "i-1", revision: 14}}, put: []store.Object{serverObject(3, 13)}, from: "peer", upTo: 15}, now)
	s.replaceServers([]store.Object{serverObject(1, 1), serverObject(2, 2)}, 12, sourceStore, now)
	c.Check(readyServers(s, now), qt.DeepEquals, []string{"i-2", "i-3"})
	// A list of the same revision is complete and replaces what is known.
	s.replaceServers([]store.Object{serverObject(2, 2)}, 15, sourceStore, now)
	c.Check(readyServers(s, now), qt.DeepEquals, []string{"i-2"})
}

// TestListThatDiffersIsAskedForWhole checks that the whole list is fetched at once if the changes
// of a peer do not make the lists equal, no matter how fast the revision advances.
func TestListThatDiffersIsAskedForWhole(t *testing.T) {
	c := qt.New(t)
	leader, member, now := newTestRouter(t).state, newTestRouter(t).state, time.Now()
	serverConsumer{leader}.Replace(store.Page{Objects: []store.Object{serverObject(1, 1), serverObject(2, 2)}, Revision: 10}, false)
	c.Assert(member.HandlePullReply(leader.AnswerPull(member.PullRequest())), qt.IsFalse)
	// A change to the member is lost, although the member's revision includes it.
	applyEvents(leader, 15, store.Event{Object: serverObject(3, 12)})
	member.serverList.revision = 15
	applyEvents(leader, 20, store.Event{Object: serverObject(4, 18)})
	c.Assert(member.HandlePullReply(leader.AnswerPull(member.PullRequest())), qt.IsTrue)
	c.Check(member.PullRequest().GetServersRevision(), qt.Equals, int64(0))
	c.Check(member.HandlePullReply(leader.AnswerPull(member.PullRequest())), qt.IsFalse)
	c.Check(member.serverList.digest, qt.Equals, leader.serverList.digest)
	c.Check(readyServers(member, now), qt.HasLen, 4)
	c.Check(member.PullRequest().GetServersRevision(), qt.Equals, int64(20))
}
