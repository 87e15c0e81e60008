package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/rollup"
)

// TestLoadsAreBounded: what a lead tells of 3,000 busy servers has a tenth of the bytes
// that it would have with each of them, and servers without load are told as such.
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
	whole := proto.Size(encodeCounts(sums))
	told := s.encodeSums(sums)
	t.Logf("%d bytes with all servers, %d told", whole, proto.Size(told))
	c.Check(proto.Size(told) < whole/8, qt.IsTrue, qt.Commentf("%d of %d bytes", proto.Size(told), whole))
	heard := s.decodeSums(told)
	c.Check(heard.Loads, qt.HasLen, 3000)
	for key := range idle {
		c.Check(heard.Loads[key], qt.Equals, backend.Load{})
	}
}

// newFollowerState returns the state of a daemon that has been running for an hour and has vm-0 for its lead.
func newFollowerState(t *testing.T, now time.Time) *state {
	s := newTestRouter(t).state
	s.started = now.Add(-time.Hour)
	s.router.members.Learn("vm-0", "zone-1", "10.1.0.9:82", now)
	return s
}

// deliverLeaderTotals lets a daemon hear empty sums of vm-0, which holds its report of a sequence and hears some of nine daemons.
func deliverLeaderTotals(s *state, uptime time.Duration, taken uint64, heard int, now time.Time) {
	s.applyLeaderTotals(&gossippb.Status{
		Vm: "vm-0", Incarnation: 2, UptimeMs: uptime.Milliseconds(), Taken: taken,
		Reach: encodeReach(rollup.Reach{Reachable: heard, Known: 9}),
	}, encodeCounts(rollup.NewCounts()), now)
}

// TestLeadThatHasJustStartedEndsNoTrust guards against daemons that take themselves for cut off, and forget what
// others are asked, since their lead has started again and heard few.
func TestLeadThatHasJustStartedEndsNoTrust(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := newFollowerState(t, now)
	s.leader = leaderTotals{vm: "vm-0", incarnation: 1, receivedAt: now, includedSequence: 3, reach: rollup.Reach{Reachable: 9, Known: 9}}
	s.sentCounts[4] = rollup.NewCounts()
	for _, step := range []struct {
		uptime time.Duration
		taken  uint64
		heard  int
		want   int
	}{
		{50 * time.Millisecond, 0, 1, 9},
		{100 * time.Millisecond, 4, 5, 9},
		{rollup.FreshFor, 4, 5, 5},
	} {
		deliverLeaderTotals(s, step.uptime, step.taken, step.heard, now)
		reach, _ := s.reach(now)
		c.Check(reach.Reachable, qt.Equals, step.want, qt.Commentf("%v after the lead's start", step.uptime))
	}
}

// TestUsesIncludeDemand: what a daemon that starts is told of the workspaces' uses bears how fast all are asked, also
// for those that used nothing.
func TestUsesIncludeDemand(t *testing.T) {
	c := qt.New(t)
	uses, asked := decodeUses(encodeUses(map[string]allowance.Usage{"a": {0, 300}}, map[string]float64{"a": 5, "b": 7}))
	c.Check(uses["a"], qt.Equals, allowance.Usage{0, 300})
	c.Check(asked, qt.DeepEquals, map[string]float64{"a": 5, "b": 7})
}

// TestLeadThatDoesNotHearThisDaemonIsNotHeard guards against a daemon whose reports are lost and that goes on as if it
// heard what others use, while none of it counts.
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
