package router

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/standin/memnet"
)

// newTestRouter returns a router that is not running.
func newTestRouter(t testing.TB) *Router {
	const ip = "10.1.0.1"
	r, err := New(Options{
		Settings: config.RouterSettings{
			Kind:   config.RouterKind,
			VM:     config.RouterVM{ID: "vm-1", Zone: "zone-1"},
			Listen: config.RouterListen{Callers: ip + ":80", Readiness: ip + ":81", Peers: ip + ":82"},
			Bounds: config.RouterBounds{UsageWindow: config.Duration(5 * time.Second)},
		},
		Network: memnet.New().Host(ip), Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.closeListeners)
	return r
}

// FuzzDatagram checks that any datagram from another daemon is merged or dropped without a panic,
// and that this daemon's next report can still be encoded.
func FuzzDatagram(f *testing.F) {
	counts := &gossippb.Counts{
		Spent:   []*gossippb.Spent{{Workspace: "w", Tokens: 10, Refused: 5}},
		Windows: []*gossippb.Window{{Id: 353445120, Counts: map[string]int64{"w": 3}}},
		Loads:   []*gossippb.Load{{Key: 7, Running: 1, PendingTokens: 100}},
		Demands: []*gossippb.Demand{{Service: "s", Reading: 9, Places: 2}},
		Paces:   []*gossippb.Pace{{Service: "s", First: &gossippb.Figures{Coefficients: []float64{0.1, math.Inf(1), math.NaN()}, Seen: 9}}},
	}
	for _, status := range []*gossippb.Status{
		{Vm: "vm-0", Zone: "zone-1", Incarnation: 1, Sequence: 1, All: counts, Reach: &gossippb.Reach{Heard: 2, Known: 3}, Taken: 1},
		{Vm: "vm-2", Zone: "zone-1", Incarnation: 1, Sequence: 1, Own: counts},
		{Vm: "vm-3", Zone: "zone-2", Incarnation: 1, Sequence: 1, ZoneSum: counts, ZoneReach: &gossippb.Reach{Heard: 1, Known: 1}},
	} {
		raw, err := proto.Marshal(status)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var status gossippb.Status
		if proto.Unmarshal(raw, &status) != nil {
			return
		}
		r := newTestRouter(t)
		r.state.OwnCounts(1)
		for range 2 {
			r.state.HandleReport(&status, time.Now())
			r.state.NeedsPull(&status)
		}
		now := time.Now()
		reach, all := r.state.DeploymentTotals(now)
		answer := &gossippb.Status{Reach: reach, All: all, Own: r.state.OwnCounts(2)}
		answer.ZoneReach, answer.ZoneSum = r.state.ZoneTotals(now)
		if _, err := proto.Marshal(answer); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzPulled checks that any reply to a Pull call is handled without a panic.
func FuzzPulled(f *testing.F) {
	for _, reply := range []*gossippb.PullReply{
		{ConfigVersion: 3, Config: pack([]byte(`{"version":3,"routes":[]}`))},
		{ServersRevision: 9, PackedServers: packedFullList(f)},
		{ServersRevision: 12, Partial: true, PackedServers: packedChanges(f), StoreBackMs: 10},
	} {
		raw, err := proto.Marshal(reply)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var reply gossippb.PullReply
		if proto.Unmarshal(raw, &reply) != nil {
			return
		}
		r := newTestRouter(t)
		r.state.HandlePullReply(&reply)
		r.state.HandlePullReply(&reply)
		r.state.AnswerPull(&gossippb.PullRequest{})
	})
}

// packedChanges returns a packed list of changes with one removal.
func packedChanges(f *testing.F) []byte {
	raw, err := proto.Marshal(&gossippb.ServerList{Removed: []*gossippb.Removal{{Id: "i-1", Revision: 11}}})
	if err != nil {
		f.Fatal(err)
	}
	return pack(raw)
}

// packedFullList returns a packed list of one server.
func packedFullList(f *testing.F) []byte {
	raw, err := proto.Marshal(&gossippb.ServerList{Servers: []*gossippb.Server{{Id: "i-1", Spec: []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":1,"born":1764720000000}`), Revision: 8}}})
	if err != nil {
		f.Fatal(err)
	}
	return pack(raw)
}
