package rollup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/demand"
)

var start = time.Unix(1000, 0)

func testCounts(tokens float64) Counts {
	return Counts{
		Spent: map[string]float64{"w": tokens}, Loads: map[uint32]backend.Load{7: {Running: 1, PendingTokens: 100}},
		Demand: map[string]demand.Load{"s": {Prefill: 1, Batch: 2, Memory: 3}},
	}
}

func TestSumsOverZones(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.SetOwn(testCounts(5))
	s.AddReport(Report{VM: "a", Incarnation: 1, Sequence: 3, JustStarted: true, Counts: testCounts(20)}, start)
	s.AddSummary(Summary{Zone: "y", VM: "p", Counts: testCounts(1000), Reach: Reach{Reachable: 4, Known: 5, Fence: 9}}, start)
	s.AddSummary(Summary{Zone: "y", VM: "p", Counts: testCounts(1300), Reach: Reach{Reachable: 4, Known: 5, Fence: 9}}, start)
	all := s.All(start)
	c.Check(all.Spent["w"], qt.Equals, 325.0, qt.Commentf("the first summary of a zone adds no tokens"))
	c.Check(all.Loads[7], qt.Equals, backend.Load{Running: 3, PendingTokens: 300})
	c.Check(all.Demand["s"], qt.Equals, demand.Load{Prefill: 3, Batch: 6, Memory: 9})
	c.Check(s.Zone(start).Spent["w"], qt.Equals, 25.0)
	spentByOthers, _ := s.SpentByOthers()
	c.Check(spentByOthers["w"], qt.Equals, 320.0)
	c.Check(s.LastSequence("a"), qt.Equals, uint64(3))
	c.Check(s.LastSequence("b"), qt.Equals, uint64(0))
	reach, complete := s.Reach(start)
	c.Check(reach, qt.Equals, Reach{Reachable: 4, Known: 5, Fence: 9})
	c.Check(complete, qt.IsTrue)
}

func TestSilentReportersKeepSpentTokens(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.AddReport(Report{VM: "a", Incarnation: 1, JustStarted: true, Counts: testCounts(20)}, start)
	s.AddSummary(Summary{Zone: "y", VM: "p", Counts: testCounts(0)}, start)
	later := start.Add(FreshFor)
	c.Check(s.All(later).Loads, qt.HasLen, 0)
	c.Check(s.All(later).Spent["w"], qt.Equals, 20.0)
	_, complete := s.Reach(later)
	c.Check(complete, qt.IsFalse)
	s.Sweep(start.Add(forgetAfter))
	_, complete = s.Reach(start.Add(forgetAfter))
	c.Check(complete, qt.IsTrue, qt.Commentf("the silent zone has been removed"))
}

func TestRestartedMemberAddsToTotal(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.AddReport(Report{VM: "a", Incarnation: 1, JustStarted: true, Counts: testCounts(20)}, start)
	s.AddReport(Report{VM: "a", Incarnation: 2, JustStarted: true, Counts: testCounts(3)}, start)
	c.Check(s.All(start).Spent["w"], qt.Equals, 23.0)
	s.AddReport(Report{VM: "b", Incarnation: 1, Counts: testCounts(500)}, start)
	s.AddReport(Report{VM: "b", Incarnation: 1, Counts: testCounts(501)}, start)
	c.Check(s.All(start).Spent["w"], qt.Equals, 24.0, qt.Commentf("the first report of a running process adds no tokens"))
}

func TestSecondLeadOfZoneIsIgnored(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.AddSummary(Summary{Zone: "y", VM: "p", Counts: testCounts(0)}, start)
	s.AddSummary(Summary{Zone: "y", VM: "q", Counts: testCounts(900)}, start)
	c.Check(s.All(start).Spent["w"], qt.Equals, 0.0)
	later := start.Add(FreshFor)
	s.AddSummary(Summary{Zone: "y", VM: "q", Counts: testCounts(900)}, later)
	s.AddSummary(Summary{Zone: "y", VM: "q", Counts: testCounts(950)}, later)
	c.Check(s.All(later).Spent["w"], qt.Equals, 50.0)
}

// TestLeadChangeFillsGap guards against losing tokens when a zone's leader changes: the spending
// between the two leaders must be estimated, and a process that has just started must be counted in
// full.
func TestLeadChangeFillsGap(t *testing.T) {
	c := qt.New(t)
	s := New()
	tokens, now := 0.0, start
	for range 20 {
		s.AddSummary(Summary{Zone: "y", VM: "p", Counts: testCounts(tokens)}, now)
		tokens, now = tokens+100, now.Add(100*time.Millisecond)
	}
	before := s.All(now).Spent["w"]
	now = now.Add(FreshFor)
	s.AddSummary(Summary{Zone: "y", VM: "q", Counts: testCounts(7)}, now)
	filled := s.All(now).Spent["w"] - before
	c.Check(filled > 1200 && filled < 1800, qt.IsTrue, qt.Commentf("%v of 1,600", filled))
	s.AddSummary(Summary{Zone: "y", VM: "q", Incarnation: 1, JustStarted: true, Counts: testCounts(30)}, now)
	c.Check(s.All(now).Spent["w"]-before-filled, qt.Equals, 30.0)
}

func TestRefusedTokensAddUp(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.SetOwn(Counts{Refused: map[string]float64{"w": 1}})
	s.AddReport(Report{VM: "a", Incarnation: 1, JustStarted: true, Counts: Counts{Refused: map[string]float64{"w": 10}}}, start)
	for _, tokens := range []float64{1000, 1100} {
		s.AddSummary(Summary{Zone: "y", VM: "p", Counts: Counts{Refused: map[string]float64{"w": tokens}}}, start)
	}
	c.Check(s.Zone(start).Refused["w"], qt.Equals, 11.0)
	c.Check(s.All(start).Refused["w"], qt.Equals, 111.0)
	_, refused := s.SpentByOthers()
	c.Check(refused["w"], qt.Equals, 110.0)
}

// TestAskedByClassIsSummed guards against losing what was requested in a class when reports differ in the number of
// classes, and against changing the counts that a report holds.
func TestAskedByClassIsSummed(t *testing.T) {
	c := qt.New(t)
	asked := func(tokens ...float64) Counts { return Counts{Asked: map[string][]float64{"w": tokens}} }
	s := New()
	own := asked(1, 2)
	s.SetOwn(own)
	s.AddReport(Report{VM: "a", Incarnation: 1, JustStarted: true, Counts: asked(10, 20, 30)}, start)
	s.AddReport(Report{VM: "a", Incarnation: 1, Counts: asked(11, 20, 30, 4)}, start)
	s.AddSummary(Summary{Zone: "y", VM: "p", Counts: asked(1000)}, start)
	s.AddSummary(Summary{Zone: "y", VM: "p", Counts: asked(1100)}, start)
	c.Check(s.All(start).Asked["w"], qt.DeepEquals, []float64{112, 22, 30, 4})
	c.Check(s.Zone(start).Asked["w"], qt.DeepEquals, []float64{12, 22, 30, 4})
	c.Check(s.AskedByOthers()["w"], qt.DeepEquals, []float64{111, 20, 30, 4})
	c.Check(own.Asked["w"], qt.DeepEquals, []float64{1, 2})
	s.AddSummary(Summary{Zone: "y", VM: "p", Counts: testCounts(5)}, start)
	c.Check(s.All(start).Asked["w"], qt.DeepEquals, []float64{112, 22, 30, 4}, qt.Commentf("an earlier version reports no classes"))
	c.Check(SubtractAsked(map[string][]float64{}, own.Asked), qt.HasLen, 0)
}
