package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/store"
)

// TestLargeConfigurationIsCompressed checks that a configuration shrinks to less than a fifth, so
// that a link of 10 Mbit/s carries it to a whole zone within the bound.
func TestLargeConfigurationIsCompressed(t *testing.T) {
	c := qt.New(t)
	var routes []string
	for i := range 1900 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","host":"h%d.example","pathPrefix":"/p%d/","kind":"idempotent","timeoutMs":800,"service":"s"}`, i, i, i))
	}
	raw := `{"version":3,"routes":[` + strings.Join(routes, ",") + `]}`
	from, to := newTestRouter(t), newTestRouter(t)
	from.state.applyConfig([]byte(raw), "test")
	reply := from.state.AnswerPull(&gossippb.PullRequest{})
	c.Check(len(reply.GetConfig()) < len(raw)/5, qt.IsTrue, qt.Commentf("%d of %d bytes", len(reply.GetConfig()), len(raw)))
	to.state.HandlePullReply(reply)
	c.Assert(to.state.Catalog(), qt.IsNotNil)
	c.Check(to.state.Catalog().Routes, qt.HasLen, 1900)
	c.Check(string(to.state.Catalog().Raw), qt.Equals, raw)
}

// TestServerListIsCompressed checks that a list of 3,000 servers reaches the 60 daemons of a zone
// over the 20 Mbit/s links of two relays within a second. Uncompressed it takes eight.
func TestServerListIsCompressed(t *testing.T) {
	c := qt.New(t)
	var objects []store.Object
	uncompressed := 0
	for i := range 3000 {
		name := fmt.Sprintf("i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24)
		spec := fmt.Sprintf(`{"service":"nora11a","address":"10.%d.%d.%d:8309","zone":"hall-nord","version":"v%d","slots":48,"state":"ready","coldLeftMs":0,"seq":%d,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}]}`, i%5, i/250, i%250, i%3, i*17%97)
		objects = append(objects, store.Object{Name: name, Spec: []byte(spec), Revision: int64(1000 + i)})
		uncompressed += len(name) + len(spec)
	}
	from, to := newTestRouter(t), newTestRouter(t)
	from.state.replaceServers(objects, 9000, sourceStore, time.Now())
	reply := from.state.AnswerPull(&gossippb.PullRequest{})
	size := proto.Size(reply)
	t.Logf("%d bytes, %d packed", uncompressed, size)
	const link, daemons, relays = 20e6 / 8, 60, 2
	c.Check(float64(daemons/relays*size)/link < 1, qt.IsTrue, qt.Commentf("%d bytes", size))
	to.state.HandlePullReply(reply)
	c.Check(to.state.serverList.digest, qt.Equals, from.state.serverList.digest)
	c.Check(to.state.serverList.entries, qt.HasLen, 3000)
}

// TestServerChangesAreCompressed checks that the changes reach the 33 daemons of a zone over the 10
// Mbit/s links of two relays within half a second when 900 of 1,000 servers leave at once.
// Uncompressed they take 2.6 s.
func TestServerChangesAreCompressed(t *testing.T) {
	c := qt.New(t)
	object := func(i int, state string, revision int64) store.Object {
		spec := fmt.Sprintf(`{"service":"nora11a","address":"10.%d.%d.%d:8309","zone":"hall-nord","version":"v1","slots":48,"state":"%s","coldLeftMs":0,"seq":%d,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}]}`, i%5, i/250, i%250, state, i*17%97)
		return store.Object{Name: fmt.Sprintf("i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24), Spec: []byte(spec), Revision: revision}
	}
	var objects []store.Object
	for i := range 1000 {
		objects = append(objects, object(i, "ready", 1000))
	}
	from, to := newTestRouter(t).state, newTestRouter(t).state
	now := time.Now()
	from.replaceServers(objects, 2000, sourceStore, now)
	to.HandlePullReply(from.AnswerPull(&gossippb.PullRequest{}))
	uncompressed := 0
	for i := range 900 {
		draining := object(i, "draining", int64(3000+i))
		uncompressed += len(draining.Name) + len(draining.Spec)
		from.updateServers(serverChanges{put: []store.Object{draining}}, now)
	}
	from.serverList.revision = 4000
	reply := from.AnswerPull(to.PullRequest())
	c.Assert(reply.GetPartial(), qt.IsTrue)
	size := proto.Size(reply)
	t.Logf("%d bytes, %d packed", uncompressed, size)
	const link, daemons, relays = 10e6 / 8, 33, 2
	c.Check(float64(daemons*size)/relays/link < 0.5, qt.IsTrue, qt.Commentf("%d bytes", size))
	c.Check(&from.AnswerPull(to.PullRequest()).GetPackedServers()[0], qt.Equals, &reply.GetPackedServers()[0], qt.Commentf("not compressed once for all peers"))
	to.HandlePullReply(reply)
	c.Check(to.serverList.digest, qt.Equals, from.serverList.digest)
	ready := 0
	for _, s := range to.view.Servers(now) {
		if s.Ready {
			ready++
		}
	}
	c.Check(ready, qt.Equals, 100)
}

func TestInvalidPeerServerListIsIgnored(t *testing.T) {
	c := qt.New(t)
	r := newTestRouter(t)
	r.state.HandlePullReply(&gossippb.PullReply{ServersRevision: 9, PackedServers: []byte("not packed")})
	c.Check(r.state.view.ListReceived(), qt.IsFalse)
}

func TestInvalidPeerConfigurationIsIgnored(t *testing.T) {
	c := qt.New(t)
	r := newTestRouter(t)
	r.state.HandlePullReply(&gossippb.PullReply{ConfigVersion: 9, Config: []byte("not packed")})
	c.Check(r.state.Catalog(), qt.IsNil)
}
