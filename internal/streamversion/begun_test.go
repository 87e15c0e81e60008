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

// reportOf returns a peer's report of streams that began at a version.
func reportOf(service, version string, streamIDs ...string) []Report {
	r := Report{Service: service, Version: version}
	for _, id := range streamIDs {
		r.Streams = append(r.Streams, KeyOf(id))
	}
	return []Report{r}
}

// TestContradictingReportsOfAStreamAreNotTakenForEither guards against a stream that is resumed at the
// version that was said first, or last, although another one was said too.
func TestContradictingReportsOfAStreamAreNotTakenForEither(t *testing.T) {
	for name, say := range map[string]func(b *Begun){
		"own twice": func(b *Begun) { b.Record("llm", "one", "v1", start); b.Record("llm", "one", "v2", start) },
		"own and reported": func(b *Begun) {
			b.Record("llm", "one", "v1", start)
			b.Merge(reportOf("llm", "v2", "one"), false, start)
		},
		"reported and own": func(b *Begun) {
			b.Merge(reportOf("llm", "v1", "one"), false, start)
			b.Record("llm", "one", "v2", start)
		},
		"reported twice": func(b *Begun) {
			b.Merge(reportOf("llm", "v1", "one"), true, start)
			b.Merge(reportOf("llm", "v2", "one"), true, start)
			b.Merge(reportOf("llm", "v2", "one"), true, start)
		},
		"one reported, later contradicted": func(b *Begun) {
			b.Record("llm", "one", "v1", start)
			for sequence := range uint64(3) {
				b.Report(movingAssignment().UndeterminedBuckets(start), sequence+1, start)
			}
			b.Merge(reportOf("llm", "v2", "one"), false, start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b, receiver := NewBegun(), NewBegun()
			say(b)
			receiver.Merge(reportOf("llm", "v1", "one"), false, start)
			receiver.Merge(b.Report(movingAssignment().UndeterminedBuckets(start), 9, start), false, start)
			for who, of := range map[string]*Begun{"the daemon": b, "one that receives its report": receiver} {
				_, found := of.Version("llm", "one", start)
				c.Check(found, qt.IsFalse, qt.Commentf(who))
				c.Check(of.Contradicts("llm", "one", "v1", start), qt.IsTrue, qt.Commentf(who))
				c.Check(of.Contradicts("llm", "one", "v2", start), qt.IsTrue, qt.Commentf(who))
				c.Check(of.Contradicts("llm", "other", "v1", start), qt.IsFalse, qt.Commentf(who))
			}
		})
	}
}

// TestRecordOfAnotherServiceKeepsTheVersionOfAStream guards against a caller that names a request of another
// service and takes the record of its version away.
func TestRecordOfAnotherServiceKeepsTheVersionOfAStream(t *testing.T) {
	c := qt.New(t)
	b := NewBegun()
	b.Record("llm", "one", "v1", start)
	b.Record("chat", "one", "v7", start)
	b.Merge(reportOf("desk", "v8", "one"), false, start)
	for service, want := range map[string]string{"llm": "v1", "chat": "v7", "desk": "v8"} {
		version, found := b.Version(service, "one", start)
		c.Check(found, qt.IsTrue, qt.Commentf(service))
		c.Check(version, qt.Equals, want)
	}
}

// TestEvictedAndExpiredStreamsCountAsUnknown guards against a version that is answered for streams beyond
// the bounds of the memory.
func TestEvictedAndExpiredStreamsCountAsUnknown(t *testing.T) {
	c := qt.New(t)
	b := NewBegun()
	versionOf := func(i int) string { return fmt.Sprint("v", i%3) }
	at := func(i int) time.Time { return start.Add(time.Duration(i) * 100 * time.Microsecond) }
	known := 0
	for i := range 2 * maxBegun {
		b.Record("llm", fmt.Sprint(i), versionOf(i), at(i))
	}
	for i := range 2 * maxBegun {
		if version, found := b.Version("llm", fmt.Sprint(i), at(2*maxBegun)); found {
			known++
			c.Assert(version, qt.Equals, versionOf(i))
		}
	}
	c.Check(known >= maxBegun/2 && known <= maxBegun, qt.IsTrue, qt.Commentf("%d", known))
	_, found := b.Version("llm", fmt.Sprint(2*maxBegun-1), at(2*maxBegun).Add(begunRetention))
	c.Check(found, qt.IsFalse)
}
