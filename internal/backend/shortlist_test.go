package backend

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestManyDaemonsDoNotAllPickTheSameServer checks that daemons with the same outdated loads spread
// their requests over many servers.
func TestManyDaemonsDoNotAllPickTheSameServer(t *testing.T) {
	c := qt.New(t)
	var ids []string
	for i := range 60 {
		ids = append(ids, fmt.Sprintf("s%02d", i))
	}
	picks := map[string]int{}
	for daemon := range 200 {
		v := engineView(124_000, ids...)
		// All servers but one have some load.
		for _, id := range ids[1:] {
			v.servers[id].ownLoad.PendingTokens = 4000
		}
		choice, ok := v.Begin(Need{
			Service: "s", Zone: "z", PromptTokens: 8500, Parts: promptParts(fmt.Sprintf("session-%d", daemon), "own"), SampleSeed: uint64(daemon),
		}, start)
		c.Assert(ok, qt.IsTrue)
		picks[choice.ID]++
	}
	most := 0
	for _, n := range picks {
		most = max(most, n)
	}
	c.Check(most <= 30, qt.IsTrue, qt.Commentf("one server got %d of 200", most))
	c.Check(len(picks) >= 30, qt.IsTrue, qt.Commentf("%d servers were used", len(picks)))
}

func TestShortlistContainsHomes(t *testing.T) {
	c := qt.New(t)
	var ids []string
	for i := range 60 {
		ids = append(ids, fmt.Sprintf("s%02d", i))
	}
	v := engineView(124_000, ids...)
	first, _ := v.Begin(Need{Service: "s", PromptTokens: 8500, Parts: promptParts("session", "A"), SampleSeed: 1}, start)
	for seed := range uint64(20) {
		list := shortlist(v.eligibleServers(track{service: "s"}, start), Need{Parts: promptParts("session", "B"), SampleSeed: seed})
		c.Assert(list, qt.HasLen, homeCount+sampleCount)
		c.Check(list[0].ID == first.ID || list[1].ID == first.ID, qt.IsTrue)
	}
}
