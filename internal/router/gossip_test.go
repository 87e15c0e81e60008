package router

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/gossip"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/rollup"
)

// TestLoadsAreBounded checks that the encoded sums of 3,000 busy servers take less than an eighth
// of the bytes that listing each server would take, and that servers without load are decoded as
// such.
func TestLoadsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := newTestRouter(t).state
	sums := rollup.NewCounts()
	idle := map[uint32]bool{}
	var entries []backend.Entry
	for i := range 3000 {
		entry := backend.Entry{ID: fmt.Sprintf("i-%05d", i), Service: "s", Slots: 48}
		entries = append(entries, entry)
		key := backend.KeyOf(entry)
		if i%100 == 0 {
			idle[key] = true
			continue
		}
		sums.Loads[key] = backend.Load{Running: 12 + i%3, PendingTokens: 2000 + i%500}
	}
	s.view.Replace(entries, backend.Observed(time.Now()))
	uncompressed := proto.Size(encodeCounts(sums))
	encoded := s.encodeSums(sums)
	t.Logf("%d bytes with all servers, %d encoded", uncompressed, proto.Size(encoded))
	c.Check(proto.Size(encoded) < uncompressed/8, qt.IsTrue, qt.Commentf("%d of %d bytes", proto.Size(encoded), uncompressed))
	decoded := s.decodeSums(encoded)
	c.Check(decoded.Loads, qt.HasLen, 3000)
	for key := range idle {
		c.Check(decoded.Loads[key], qt.Equals, backend.Load{})
	}
}

// newFollowerState returns the state of a daemon that has been running for an hour and whose leader
// is vm-0.
func newFollowerState(t *testing.T, now time.Time) *state {
	s := newTestRouter(t).state
	s.started = now.Add(-time.Hour)
	s.router.members.Learn(gossip.Listed{VM: "vm-0", Zone: "zone-1", Address: "10.1.0.9:82"}, now)
	return s
}

// deliverLeaderTotals delivers empty totals from vm-0. They include this daemon's report of
// sequence number included, and reachable of nine daemons.
func deliverLeaderTotals(s *state, uptime time.Duration, included uint64, reachable int, now time.Time) {
	s.applyLeaderTotals(&gossippb.Status{
		Vm: "vm-0", Incarnation: 2, UptimeMs: uptime.Milliseconds(), Taken: included,
		Reach: encodeReach(rollup.Reach{Reachable: reachable, Known: 9}),
	}, encodeCounts(rollup.NewCounts()), now)
}

// TestLeadThatHasJustStartedEndsNoTrust guards against daemons that assume a partition and discard
// the demand of others, because their leader has restarted and has received few reports.
func TestLeadThatHasJustStartedEndsNoTrust(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := newFollowerState(t, now)
	s.leader = leaderTotals{vm: "vm-0", incarnation: 1, receivedAt: now, includedSequence: 3, reach: rollup.Reach{Reachable: 9, Known: 9}}
	s.sentCounts[4] = rollup.NewCounts()
	for _, step := range []struct {
		uptime    time.Duration
		included  uint64
		reachable int
		want      int
	}{
		{50 * time.Millisecond, 0, 1, 9},
		{100 * time.Millisecond, 4, 5, 9},
		{rollup.FreshFor, 4, 5, 5},
	} {
		deliverLeaderTotals(s, step.uptime, step.included, step.reachable, now)
		reach, _ := s.reach(now)
		c.Check(reach.Reachable, qt.Equals, step.want, qt.Commentf("%v after the leader's start", step.uptime))
	}
}

// TestUsesIncludeDemand checks that the uses sent to a daemon that starts include the demand rates,
// also of workspaces that used nothing.
func TestUsesIncludeDemand(t *testing.T) {
	c := qt.New(t)
	uses, demandRates := decodeUses(encodeUses(map[string]allowance.Usage{"a": {0, 300}}, map[string]float64{"a": 5, "b": 7}))
	c.Check(uses["a"], qt.Equals, allowance.Usage{0, 300})
	c.Check(demandRates, qt.DeepEquals, map[string]float64{"a": 5, "b": 7})
}

// TestLeadThatDoesNotHearThisDaemonIsNotHeard guards against a daemon whose reports are lost but
// that goes on using its leader's totals, although these do not include its latest counts.
func TestLeadThatDoesNotHearThisDaemonIsNotHeard(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := newFollowerState(t, now)
	s.sentCounts[20] = rollup.NewCounts()
	deliverLeaderTotals(s, time.Hour, 20, 9, now)
	c.Assert(s.currentLeader(now), qt.Equals, "vm-0")
	for tick := range 20 {
		now = now.Add(100 * time.Millisecond)
		deliverLeaderTotals(s, time.Hour, 3, 9, now)
		c.Check(s.currentLeader(now) == "vm-0", qt.Equals, tick < 14, qt.Commentf("%d ms", tick*100+100))
	}
}

// TestRanksOfLoadsReachOtherDaemons guards against loads whose ranks are lost on the way through a
// leader of a large deployment, which sends a mean for most servers.
func TestRanksOfLoadsReachOtherDaemons(t *testing.T) {
	c := qt.New(t)
	s := newTestRouter(t).state
	sums := rollup.NewCounts()
	var entries []backend.Entry
	for i := range 1000 {
		entry := backend.Entry{ID: fmt.Sprint("i-", i), Service: "s", Slots: 48}
		entries = append(entries, entry)
		sums.Loads[backend.KeyOf(entry)] = backend.Load{
			Running: 14, PendingTokens: 1400 + i%500, Pending: backend.LessUrgent{0, 700}, Started: backend.LessUrgent{0, 7},
		}
	}
	s.view.Replace(entries, backend.Observed(time.Now()))
	decoded := s.decodeSums(s.encodeSums(sums))
	for key, load := range decoded.Loads {
		c.Assert(load.Started, qt.Equals, backend.LessUrgent{0, 7}, qt.Commentf("%d", key))
		c.Assert(load.Pending[1] >= 500 && load.Pending[1] <= 900, qt.IsTrue, qt.Commentf("%+v", load))
	}
}

// TestServicesWithOneRankAreUnranked guards against changed routing at a service whose routes have
// one rank, and against ranks that only workspaces have.
func TestServicesWithOneRankAreUnranked(t *testing.T) {
	c := qt.New(t)
	to := func(service string) []catalog.Split { return []catalog.Split{{Service: service, Weight: 1}} }
	deploy := &catalog.Catalog{Routes: []catalog.Route{
		{Name: "a", Rank: 0, Splits: to("two")}, {Name: "b", Rank: 2, Splits: to("two")},
		{Name: "c", Rank: 2, Splits: to("one")}, {Name: "d", Rank: 7, Splits: to("one")},
	}}
	c.Check(rankedServices(deploy), qt.DeepEquals, map[string]bool{"one": false, "two": true})
	first := 0
	deploy.Workspaces = []catalog.Workspace{{Name: "w", Rank: &first}}
	c.Check(rankedServices(deploy), qt.DeepEquals, map[string]bool{"one": true, "two": true})
}

// TestOriginsOfDemandReachOtherDaemons guards against demand whose ranks and workspaces are lost in
// reports, and against values of an earlier version or another writer that are taken for known.
func TestOriginsOfDemandReachOtherDaemons(t *testing.T) {
	c := qt.New(t)
	counts := rollup.NewCounts()
	counts.Demand["s"] = demand.Load{Prefill: 3}
	counts.DemandParts["s"] = demand.Parts{
		ByClass:     demand.ByClass{{Prefill: 1, Batch: 0.5}, {}, {Prefill: 2, Memory: 0.25}},
		ByWorkspace: map[string]float64{"a": 1.5, "": 1.5},
	}
	decoded := decodeCounts(encodeCounts(counts))
	c.Check(decoded.DemandParts, qt.DeepEquals, counts.DemandParts)

	counts.DemandParts = map[string]demand.Parts{}
	c.Check(decodeCounts(encodeCounts(counts)).DemandParts, qt.HasLen, 0, qt.Commentf("an earlier version reports no origins"))
	invalid := float32(math.NaN())
	parts, known := decodeDemandParts(&gossippb.Demand{ByRank: []float32{invalid, -1, 1}, ByWorkspace: []*gossippb.WorkspaceDemand{{Workspace: "a", Engines: invalid}}})
	c.Check(known, qt.IsTrue)
	c.Check(parts, qt.DeepEquals, demand.Parts{ByWorkspace: map[string]float64{"a": 0}})
}
