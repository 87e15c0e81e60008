package evacuation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// stream returns a stream of 12,000 tokens at a server that is gone in two seconds.
func stream(id string, change func(*Stream)) Stream {
	s := Stream{
		ID: id, Source: "old", Service: "llm", Version: "v1", Zone: "a", Rank: 1, Begun: true, Remaining: 5 * time.Second,
		GoneAt: now.Add(2 * time.Second), Tokens: 12_000, CopyTime: 13 * time.Millisecond, ReadTime: 60 * time.Millisecond,
	}
	if change != nil {
		change(&s)
	}
	return s
}

// targets returns servers in another zone with the given numbers of running requests of 20.
func targets(running ...int) []Server {
	var servers []Server
	for i, n := range running {
		servers = append(servers, Server{ID: fmt.Sprint("new-", i), Service: "llm", Version: "v1", Zone: "b", Slots: 20, Running: n, FreeTokens: 1_000_000})
	}
	return servers
}

// TestOutcomes guards against streams that are moved in vain, and against streams that are left to be
// cut although they could be moved or resumed.
func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*Stream)
		servers []Server
		outcome Outcome
		reason  string
	}{
		"moved":                             {nil, targets(0), Moves, ""},
		"ends in time":                      {func(s *Stream) { s.Remaining = 1200 * time.Millisecond }, targets(0), Ends, ""},
		"may not end in time":               {func(s *Stream) { s.Remaining = 1300 * time.Millisecond }, targets(0), Moves, ""},
		"no event yet":                      {func(s *Stream) { s.Begun = false }, targets(0), Stays, ReasonNotBegun},
		"too late":                          {func(s *Stream) { s.GoneAt = now.Add(70 * time.Millisecond) }, targets(0), Stays, ReasonTooLate},
		"no server":                         {nil, nil, Stays, ReasonNoTarget},
		"only the share of new work":        {nil, targets(18), Stays, ReasonNoTarget},
		"the share of new work, if urgent":  {func(s *Stream) { s.Rank = 0 }, targets(18), Moves, ""},
		"full":                              {func(s *Stream) { s.Rank = 0 }, targets(20), Stays, ReasonNoTarget},
		"no memory":                         {func(s *Stream) { s.Tokens = 2_000_000 }, targets(0), Stays, ReasonNoTarget},
		"another version":                   {func(s *Stream) { s.Version = "v2" }, targets(0), Stays, ReasonNoTarget},
		"another service":                   {func(s *Stream) { s.Service = "other" }, targets(0), Stays, ReasonNoTarget},
		"declined by all":                   {func(s *Stream) { s.Declined = []string{"new-0"} }, targets(0), Stays, ReasonNoTarget},
		"declined by one":                   {func(s *Stream) { s.Declined = []string{"new-0"} }, targets(0, 0), Moves, ""},
		"slow links":                        {func(s *Stream) { s.CopyTime = 1200 * time.Millisecond }, targets(0), Stays, ReasonLinks},
		"resumable, dearer to read":         {func(s *Stream) { s.Resumable = true }, targets(0), Moves, ""},
		"resumable, cheaper to read":        {func(s *Stream) { s.Resumable, s.ReadTime = true, 5*time.Millisecond }, targets(0), Waits, ""},
		"resumable without target":          {func(s *Stream) { s.Resumable = true }, nil, Waits, ReasonNoTarget},
		"resumable without target, at last": {func(s *Stream) { s.Resumable, s.GoneAt = true, now.Add(300*time.Millisecond) }, nil, Resumes, ReasonNoTarget},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := Plan([]Stream{stream("one", test.change)}, test.servers, now)
			c.Assert(got, qt.HasLen, 1)
			c.Check(got[0].Outcome, qt.Equals, test.outcome)
			c.Check(got[0].Reason, qt.Equals, test.reason)
		})
	}
}

// TestOrderIsByLossAndCost guards against streams that lose little, or whose moves take long, being
// moved before others.
func TestOrderIsByLossAndCost(t *testing.T) {
	c := qt.New(t)
	var order []string
	for _, move := range Plan([]Stream{
		stream("resumable", func(s *Stream) { s.Resumable = true }),
		stream("large", func(s *Stream) { s.CopyTime *= 10 }),
		stream("plain", nil),
		stream("later", func(s *Stream) { s.GoneAt = now.Add(3 * time.Second) }),
		stream("urgent", func(s *Stream) { s.Rank = 0 }),
	}, targets(0, 0), now) {
		order = append(order, move.Stream.ID)
	}
	c.Check(order, qt.DeepEquals, []string{"urgent", "plain", "later", "large", "resumable"})
}

// TestTargetsAreSpread guards against one target for everyone: daemons that plan separately with the
// same loads have to spread their streams by the targets' room, and faster ones get more.
func TestTargetsAreSpread(t *testing.T) {
	c := qt.New(t)
	servers := targets(0, 0, 9, 0)
	servers[3].Speed = 2
	got := map[string]int{}
	for i := range 4000 {
		got[Plan([]Stream{stream(fmt.Sprint("r", i), nil)}, servers, now)[0].Target]++
	}
	share := func(id string, want float64) {
		c.Check(float64(got[id])/4000 > 0.85*want && float64(got[id])/4000 < 1.15*want, qt.IsTrue, qt.Commentf("%s: %v, expected %v", id, got, want))
	}
	share("new-0", 0.222)
	share("new-1", 0.222)
	share("new-2", 0.111)
	share("new-3", 0.444)
}

// TestPlanFillsTargetsUp guards against more streams being planned for a target than it has room for.
func TestPlanFillsTargetsUp(t *testing.T) {
	c := qt.New(t)
	var streams []Stream
	for i := range 50 {
		streams = append(streams, stream(fmt.Sprint(i), func(s *Stream) { s.CopyTime = time.Millisecond }))
	}
	taken := map[string]int{}
	for _, move := range Plan(streams, targets(10, 15), now) {
		taken[move.Target]++
	}
	c.Check(taken, qt.DeepEquals, map[string]int{"new-0": 8, "new-1": 3, "": 39})
}
