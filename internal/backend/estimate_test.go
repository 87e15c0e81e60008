package backend

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEstimatedLoadFollowsAttempts guards against demand that jumps when calls begin to be refused
// before a server is picked for them: prompts that are cached count with what engines have to process.
func TestEstimatedLoadFollowsAttempts(t *testing.T) {
	c := qt.New(t)
	v := rankedView("a", "b")
	need := prompt(1)
	c.Check(NewView().EstimateLoad(need).Prefill, qt.Equals, 0.0, qt.Commentf("no configured engine, no estimate"))
	var picked float64
	for i := range 300 {
		need.Parts = []PromptPart{{"shared", 2500}, {fmt.Sprint("own-", i), 500}}
		choice, _ := v.Begin(need, start)
		choice.RecordEvent(start)
		choice.End(OutcomeNeutral, start)
		picked = choice.Load.Prefill
	}
	estimate := v.EstimateLoad(need).Prefill
	c.Check(math.Abs(estimate-picked) < 0.1*picked, qt.IsTrue, qt.Commentf("%.4f s of prefill estimated, %.4f s picked", estimate, picked))
}

// TestBacklogIsOfServersInUse guards against an overload that is hidden by servers that cannot be used.
func TestBacklogIsOfServersInUse(t *testing.T) {
	c := qt.New(t)
	v := rankedView("a", "b", "c", "d")
	v.Put(draining("c"), start)
	v.servers["d"].recordOutcome(OutcomeFailed, start)
	v.SetPeerLoads(map[uint32]Load{KeyOf(Entry{ID: "a"}): {PendingTokens: 20_000}, KeyOf(Entry{ID: "b"}): {PendingTokens: 40_000}}, start)
	backlog := v.Backlog("s", start)
	c.Check(backlog.Servers, qt.Equals, 2)
	c.Check(backlog.Mean, qt.Equals, v.engines["s"].QueueTime(30_000))
	c.Check(v.Backlog("none", start), qt.Equals, Backlog{})
}
