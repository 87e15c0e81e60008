package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAttemptsLearnThatTheirServerLeaves guards against streams that are not moved because their attempt
// began after the notice, and against a time that a repeated notice puts off.
func TestAttemptsLearnThatTheirServerLeaves(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	v := NewView()
	entry := Entry{ID: "i-1", Service: "llm", Address: "10.0.0.1:80", Slots: 4}
	v.Put(entry, now)
	early, ok := v.BeginMoved(Need{Service: "llm"}, "i-1", now)
	c.Assert(ok, qt.IsTrue)
	told := 0
	early.OnLeaving(func() { told++ })
	c.Check(told, qt.Equals, 0)
	c.Check(early.GoneAt().IsZero(), qt.IsTrue)

	leaving := entry
	leaving.Draining, leaving.LeavesIn = true, 2*time.Second
	v.Update([]Entry{leaving}, nil, Observation{ReceivedAt: now, NotBefore: now.Add(-100 * time.Millisecond)})
	c.Check(told, qt.Equals, 1)
	c.Check(early.GoneAt(), qt.Equals, now.Add(1900*time.Millisecond))
	v.Put(leaving, now.Add(time.Second))
	c.Check(early.GoneAt(), qt.Equals, now.Add(1900*time.Millisecond), qt.Commentf("a repeated notice"))

	late, ok := v.BeginMoved(Need{Service: "llm"}, "i-1", now.Add(time.Second))
	c.Assert(ok, qt.IsTrue)
	late.OnLeaving(func() { told += 10 })
	c.Check(told, qt.Equals, 11)
	c.Check(v.MoveTargets(map[string]int{"llm": 0}, now), qt.HasLen, 0)

	v.Put(entry, now.Add(1500*time.Millisecond))
	c.Check(early.GoneAt().IsZero(), qt.IsTrue, qt.Commentf("the server stays"))
	c.Check(v.MoveTargets(map[string]int{"llm": 0}, now), qt.HasLen, 1)
}
