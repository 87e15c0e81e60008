package streamversion

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// movingAssignment returns an assignment of which all buckets of a service move.
func movingAssignment() *Assignment {
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	leaving := capacity(map[string]int{"v2": 400})
	leaving["llm"].Capacity["v1"] = Capacity{Leaving: true}
	a, _ = a.Plan(leaving, AdoptedByAll, start)
	return a
}

func TestStreamsAreReportedOnlyWhileTheirBucketsMove(t *testing.T) {
	c := qt.New(t)
	settledAssignment, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	b := NewBegun()
	b.Record("llm", "one", "v1", start)
	c.Check(b.Report(settledAssignment.UndeterminedBuckets(start), 1, start), qt.HasLen, 0)
	moving := movingAssignment().UndeterminedBuckets(start)
	want := []Report{{Service: "llm", Version: "v1", Streams: []Key{KeyOf("one")}}}
	c.Check(b.Report(moving, 7, start), qt.DeepEquals, want, qt.Commentf("a stream that began before its bucket moved is reported too"))
	c.Check(b.Report(moving, 7, start), qt.DeepEquals, want, qt.Commentf("the same report to another peer"))
	c.Check(b.Report(moving, 8, start), qt.DeepEquals, want)
	c.Check(b.Report(moving, 9, start), qt.HasLen, 0)
}

func TestStreamsReportedToNobodyAreReportedAgain(t *testing.T) {
	c := qt.New(t)
	assignment, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	b := NewBegun()
	b.Record("llm", "one", "v1", start)
	for sequence := range uint64(5) {
		b.Report(assignment.AllBuckets(), sequence+1, start)
	}
	moving := movingAssignment().UndeterminedBuckets(start)
	c.Check(b.Report(moving, 6, start), qt.HasLen, 0)
	b.ReportAgain()
	c.Check(b.Report(moving, 7, start), qt.HasLen, 1)
}

func TestReportedStreamsArePassedOnByRelaysOnly(t *testing.T) {
	c := qt.New(t)
	moving := movingAssignment().UndeterminedBuckets(start)
	reported := []Report{{Service: "llm", Version: "v1", Streams: []Key{KeyOf("one")}}}
	relay, other := NewBegun(), NewBegun()
	relay.Merge(reported, true, start)
	other.Merge(reported, false, start)
	c.Check(relay.Report(moving, 1, start), qt.HasLen, 1)
	c.Check(other.Report(moving, 1, start), qt.HasLen, 0)
	version, found := other.Version("llm", "one", start)
	c.Check(found, qt.IsTrue)
	c.Check(version, qt.Equals, "v1")
	_, found = other.Version("another", "one", start)
	c.Check(found, qt.IsFalse)
	_, found = other.Version("llm", "one", start.Add(begunRetention))
	c.Check(found, qt.IsFalse)
}

func TestReportsAndMemoryOfStreamsAreBounded(t *testing.T) {
	c := qt.New(t)
	b := NewBegun()
	for i := range maxBegun + 10 {
		b.Record("llm", fmt.Sprint(i), "v1", start.Add(time.Duration(i)*time.Microsecond))
	}
	c.Check(len(b.streams) <= maxBegun, qt.IsTrue)
	_, found := b.Version("llm", fmt.Sprint(maxBegun+9), start)
	c.Check(found, qt.IsTrue, qt.Commentf("the newest stream is kept"))
	c.Check(b.Report(movingAssignment().UndeterminedBuckets(start), 1, start)[0].Streams, qt.HasLen, maxReported)
}
