package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/store"
)

func serverObject(i int, revision int64) store.Object {
	spec := fmt.Sprintf(`{"service":"s","address":"10.0.0.%d:80","zone":"z","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":1}`, i)
	return store.Object{Name: fmt.Sprintf("i-%d", i), Spec: []byte(spec), Revision: revision}
}

// TestChangesSinceSurviveRelist checks that a relay that has listed the servers again can still
// send a peer only the changes since an earlier revision, including removals.
func TestChangesSinceSurviveRelist(t *testing.T) {
	c := qt.New(t)
	l := newServerList()
	now := time.Unix(1000, 0)
	_, invalid, _ := l.replace([]store.Object{serverObject(1, 1), serverObject(2, 2)}, 10, now)
	c.Assert(invalid, qt.HasLen, 0)
	_, invalid, _ = l.replace([]store.Object{serverObject(2, 2), serverObject(3, 12)}, 14, now)
	c.Assert(invalid, qt.HasLen, 0)
	changed, removed, ok := l.changesSince(10)
	c.Check(ok, qt.IsTrue)
	c.Check(changed, qt.HasLen, 1)
	c.Check(changed[0].Name, qt.Equals, "i-3")
	c.Check(removed, qt.HasLen, 1)
	c.Check(removed[0], qt.Equals, removedServer{id: "i-1", revision: 14})
	_, _, ok = l.changesSince(9)
	c.Check(ok, qt.IsFalse, qt.Commentf("removals before the first list are not known"))
}

// TestLaggingDaemonFetchesOnlyChanges checks that a daemon whose list lags keeps fetching only the
// changes while the servers change all the time.
func TestLaggingDaemonFetchesOnlyChanges(t *testing.T) {
	c := qt.New(t)
	leader, member := newTestRouter(t).state, newTestRouter(t).state
	now := time.Now()
	leader.replaceServers([]store.Object{serverObject(1, 1)}, 1, sourceStore, now)
	member.HandlePullReply(leader.AnswerPull(member.PullRequest()))
	var late *gossippb.PullReply
	for i := 2; i < 40; i++ {
		leader.updateServers(serverChanges{put: []store.Object{serverObject(i, int64(i))}}, now)
		leader.serverList.revision = int64(i)
		if late != nil {
			c.Assert(member.HandlePullReply(late), qt.IsFalse)
			late = nil
		}
		status := &gossippb.Status{Vm: "lead", ServersRevision: int64(i), ServersDigest: leader.serverList.digest}
		c.Assert(member.lacksServers(status, now), qt.IsTrue)
		c.Assert(member.PullRequest().GetServersRevision(), qt.Equals, int64(i-1), qt.Commentf("whole list requested"))
		reply := leader.AnswerPull(member.PullRequest())
		c.Assert(reply.GetPartial(), qt.IsTrue)
		if i%2 == 0 {
			c.Assert(member.HandlePullReply(reply), qt.IsFalse)
		} else {
			// Every other reply is late: a newer revision exists by the time it arrives.
			late = reply
		}
		now = now.Add(200 * time.Millisecond)
	}
}

// TestEntryAtOwnAddressIsNotUsed guards against requests that a daemon sends to itself, and against lists that differ between daemons because of it.
func TestEntryAtOwnAddressIsNotUsed(t *testing.T) {
	c := qt.New(t)
	l, other := newServerList("10.0.0.1:80"), newServerList("10.0.0.9:80")
	objects := []store.Object{serverObject(1, 1), serverObject(2, 2)}
	entries, invalid, _ := l.replace(objects, 10, time.Unix(1000, 0))
	c.Assert(entries, qt.HasLen, 1)
	c.Check(entries[0].ID, qt.Equals, "i-2")
	c.Check(invalid, qt.HasLen, 1)
	other.replace(objects, 10, time.Unix(1000, 0))
	c.Check(l.digest, qt.Equals, other.digest)
}
