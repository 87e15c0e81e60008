package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/admission"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/rollup"
)

// rankedCatalog is a configuration with routes of two ranks to engines.
func rankedCatalog() *catalog.Catalog {
	to := []catalog.Split{{Service: "s", Weight: 1}}
	return &catalog.Catalog{
		Version:  1,
		Services: map[string]catalog.Service{"s": {Name: "s", Engine: &catalog.Engine{Slots: 48, CacheTokens: 700_000}}},
		Routes: []catalog.Route{
			{Name: "short", Rank: 0, LatencyTarget: 500 * time.Millisecond, Splits: to},
			{Name: "long", Rank: 2, LatencyTarget: 2 * time.Second, Splits: to},
		},
		Workspaces: []catalog.Workspace{{Name: "a", ByTokens: true, RatePerSecond: 100}, {Name: "b", RatePerSecond: 5}},
	}
}

// newRankedState returns the state of a daemon under rankedCatalog with ten servers and the leader vm-0.
func newRankedState(t *testing.T, now time.Time) *state {
	s := newFollowerState(t, now)
	c := rankedCatalog()
	s.catalog.Store(c)
	ranked := rankedServices(c)
	s.view.SetTraits(map[string]backend.Traits{"s": traitsOf(*c.Services["s"].Engine, ranked["s"])})
	s.admission.SetServices(rankedEngines(c, ranked))
	for i := range 10 {
		s.view.Put(backend.Entry{ID: string(rune('a' + i)), Service: "s", Slots: 48}, now)
	}
	return s
}

// overloadTotals are totals with a demand of twice what ten servers can do, of which half is the least
// urgent, and with the prompts that then wait.
func overloadTotals(s *state) rollup.Counts {
	counts := rollup.NewCounts()
	counts.Demand["s"] = demand.Load{Prefill: 20}
	counts.DemandParts["s"] = demand.Parts{ByClass: demand.ByClass{{Prefill: 10}, {}, {Prefill: 10}}, ByWorkspace: map[string]float64{"a": 10, "b": 10}}
	for _, key := range s.view.Keys() {
		counts.Loads[key] = backend.Load{Running: 40, PendingTokens: 200_000, Pending: backend.LessUrgent{0, 150_000}}
	}
	return counts
}

// TestLeadersTotalsSetTheLevel guards against totals that reach a daemon without an effect on what it
// refuses, and against workspaces that are reported while there is no overload.
func TestLeadersTotalsSetTheLevel(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := newRankedState(t, now)
	s.demand.RecordRequest("s", demand.Origin{Class: 2, Workspace: "a"}, demand.Load{Prefill: 0.1}, now)
	c.Check(s.ownDemandParts(now)["s"].ByWorkspace, qt.HasLen, 0)
	c.Check(s.ownDemandParts(now)["s"].ByClass[2].Prefill > 0, qt.IsTrue)
	for sequence := range uint64(8) {
		now = now.Add(400 * time.Millisecond)
		s.sentCounts[sequence+1] = rollup.NewCounts()
		s.applyLeaderTotals(&gossippb.Status{
			Vm: "vm-0", Incarnation: 2, UptimeMs: time.Hour.Milliseconds(), Taken: sequence + 1, Reach: encodeReach(rollup.Reach{Reachable: 9, Known: 9}),
		}, s.encodeSums(overloadTotals(s)), now)
	}
	refused, ok := s.admission.Decide("s", admission.Request{Class: 2, Workspace: "a", Draw: 0.9})
	c.Assert(ok, qt.IsTrue)
	c.Check(refused.Admitted, qt.IsFalse, qt.Commentf("%+v", refused))
	c.Check(refused.Utilization > 1.5, qt.IsTrue, qt.Commentf("%+v", refused))
	c.Check(s.ownDemandParts(now)["s"].ByWorkspace["a"] > 0, qt.IsTrue)
	c.Check(s.leastUrgentTargets()["s"], qt.Equals, 2*time.Second)
	c.Check(s.workspaceWeights(), qt.DeepEquals, map[string]float64{"a": 100}, qt.Commentf("requests cannot be compared with tokens"))
}

// TestDaemonWithoutLeaderScalesItsOwnDemand guards against a daemon that loses the sums in an overload,
// takes its own demand for that of all, and admits everything at once.
func TestDaemonWithoutLeaderScalesItsOwnDemand(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := newRankedState(t, now)
	s.reportedDaemons, s.reportedDaemonsAt = 9, now
	coverage, _ := s.sumsCoverage(now)
	c.Check(coverage, qt.Equals, 1.0/9)
}
