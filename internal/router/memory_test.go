package router

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/usage"
)

// firstConfig is an empty configuration.
const firstConfig = `{"version":1}`

// TestCallerWaitsForTheFirstConfiguration checks that a request at a daemon that has just started
// waits until both the configuration and the list of servers are known.
func TestCallerWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestRouter(t).state
		start := time.Now()
		got := make(chan *catalog.Catalog)
		go func() { got <- s.awaitCatalog(context.Background()) }()
		time.Sleep(20 * time.Millisecond)
		s.applyConfig([]byte(firstConfig), "test")
		time.Sleep(20 * time.Millisecond)
		s.replaceServers(nil, 1, sourceStore, time.Now())
		c.Check((<-got).Version, qt.Equals, int64(1))
		c.Check(time.Since(start), qt.Equals, 40*time.Millisecond)
		c.Check(s.awaitCatalog(context.Background()).Version, qt.Equals, int64(1))
	})
}

func TestCallerWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestRouter(t).state
		start := time.Now()
		c.Check(s.awaitCatalog(context.Background()), qt.IsNil)
		c.Check(time.Since(start), qt.Equals, startupWait)
		s.applyConfig([]byte(firstConfig), "test")
		c.Check(s.awaitCatalog(context.Background()), qt.IsNotNil, qt.Commentf("the servers are not known yet"))
		c.Check(time.Since(start), qt.Equals, 2*startupWait)
	})
}

// TestHolderThatKnowsNoUsesKeepsThoseRemembered guards against a new lease holder that overwrites
// the recorded usage before it knows any: daemons that start later would assume unused allowances.
func TestHolderThatKnowsNoUsesKeepsThoseRemembered(t *testing.T) {
	c := qt.New(t)
	s := newTestRouter(t).state
	current := lease.Snapshot{WrittenAtMs: 7, RecentUses: map[string]allowance.Usage{"w": {1, 2, 3, 4}}}
	next := s.buildSnapshot(current)
	c.Check(next.RecentUses, qt.DeepEquals, current.RecentUses)
	c.Check(next.WrittenAtMs, qt.Equals, int64(7))
}

// TestSnapshotIsRestoredAfterRestart checks that a daemon that starts after all have stopped
// restores the request counts of open windows and the learned engine estimates.
func TestSnapshotIsRestoredAfterRestart(t *testing.T) {
	c := qt.New(t)
	before, after := newTestRouter(t).state, newTestRouter(t).state
	now := time.Now()
	window := before.ledger.WindowAt(now)
	for range 3 {
		before.ledger.RequestStarted("w", now)
	}
	before.view.SetTraits(map[string]backend.Traits{"s": {CacheTokens: 1000}})
	before.view.MergeEngineEstimates(map[string]pace.EngineEstimates{"s": {First: pace.Estimate{Coefficients: []float64{0.5}, Samples: 100}}})
	raw, err := json.Marshal(lease.Record{Snapshot: before.buildSnapshot(lease.Snapshot{})})
	c.Assert(err, qt.IsNil)
	var record lease.Record
	c.Assert(json.Unmarshal(raw, &record), qt.IsNil)
	after.restoreSnapshot(record.Snapshot, 1, now)
	c.Check(after.ledger.Sum(window), qt.DeepEquals, usage.Counts{"w": 3})
	after.view.SetTraits(map[string]backend.Traits{"s": {CacheTokens: 1000}})
	after.view.Put(backend.Entry{ID: "a", Service: "s", Slots: 1}, now)
	choice, ok := after.view.Begin(backend.Need{Service: "s", PromptTokens: 1}, now)
	c.Assert(ok, qt.IsTrue)
	c.Check(choice.Calibrated, qt.IsTrue)
	// The snapshot and newer counts are merged by maximum, not added.
	after.ledger.RequestStarted("w", now)
	c.Check(after.ledger.Sum(window), qt.DeepEquals, usage.Counts{"w": 3})
}
