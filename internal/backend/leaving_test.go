package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/advice"
)

// viewOfTwo returns a view of two servers, and a function that applies a response in which the
// first one announces that it leaves.
func viewOfTwo(c *qt.C) (v *View, respond func(at time.Time) AdviceChange) {
	v = NewView()
	v.Put(entryAt("a", 1000, 1), start)
	v.Put(entryAt("b", 1000, 1), start)
	choice, ok := v.Begin(Need{Service: "s", Zone: "z-a", ServerID: "a"}, start)
	c.Assert(ok, qt.IsTrue)
	return v, func(at time.Time) AdviceChange { return choice.ApplyAdvice(advice.Advice{Leaving: true}, at) }
}

// drainSecond makes the second server drain so that it is not usable as a last resort either.
func drainSecond(v *View, at time.Time) {
	drains := entryAt("b", 1000, 9)
	drains.Draining = true
	v.Update([]Entry{drains}, nil, Observation{ReceivedAt: at})
}

// TestAnswerThatSaysLeavingStands guards against entries and reports that make a server ready again
// after it has announced in a response that it leaves.
func TestAnswerThatSaysLeavingStands(t *testing.T) {
	for name, event := range map[string]func(v *View, at time.Time){
		"nothing":        func(*View, time.Time) {},
		"an older entry": func(v *View, at time.Time) { v.Put(entryAt("a", 1000, 0), at) },
		"a newer entry":  func(v *View, at time.Time) { v.Put(entryAt("a", 1000, 2), at) },
		"a whole list": func(v *View, at time.Time) {
			v.Replace([]Entry{entryAt("a", 1000, 3), entryAt("b", 1000, 1)}, Observed(at))
		},
		"back after an outage":            func(v *View, at time.Time) { v.Remove("a", at); v.StoreReturned(at); v.Put(entryAt("a", 1000, 4), at) },
		"expired in an outage":            func(v *View, at time.Time) { v.StoreReturned(at); v.Remove("a", at) },
		"a response without announcement": func(v *View, at time.Time) { _ = pick(v, at) },
		"a late report": func(v *View, at time.Time) {
			v.MergeLeavingNotices([]advice.LeavingNotice{{Server: KeyOf(entryAt("a", 1000, 1)), ReceivedAt: at}}, at)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v, respond := viewOfTwo(c)
			c.Check(respond(start).LeavingAnnounced, qt.IsTrue)
			c.Check(respond(start.Add(time.Second)).LeavingAnnounced, qt.IsFalse)
			at := start.Add(time.Second)
			event(v, at)
			c.Check(pick(v, at), qt.Equals, "b")
			drainSecond(v, at)
			c.Check(pick(v, start.Add(defaultDrainBound-maxTransit-time.Millisecond)), qt.Equals, "a", qt.Commentf("as a last resort"))
			c.Check(pick(v, start.Add(defaultDrainBound-maxTransit)), qt.Equals, "")
			v.Sweep(start.Add(time.Hour))
			c.Check(pick(v, start.Add(time.Hour)), qt.Equals, "")
		})
	}
}

func TestNextIncarnationDoesNotLeave(t *testing.T) {
	c := qt.New(t)
	v, respond := viewOfTwo(c)
	respond(start)
	drainSecond(v, start)
	v.Put(entryAt("a", 2000, 1), start.Add(time.Second))
	c.Check(pick(v, start.Add(10*time.Second)), qt.Equals, "a")
	c.Check(respond(start.Add(11*time.Second)).LeavingAnnounced, qt.IsFalse, qt.Commentf("a response of the earlier incarnation"))
	c.Check(pick(v, start.Add(12*time.Second)), qt.Equals, "a")
}

// TestReportsOfLeavingLapse guards against a wrong report that excludes a healthy server
// permanently.
func TestReportsOfLeavingLapse(t *testing.T) {
	c := qt.New(t)
	v, _ := viewOfTwo(c)
	reported := []advice.LeavingNotice{{Server: KeyOf(entryAt("a", 1000, 1)), ReceivedAt: start}, {Server: 99, ReceivedAt: start}}
	c.Check(v.MergeLeavingNotices(reported, start), qt.HasLen, 1)
	c.Check(v.MergeLeavingNotices(reported, start), qt.HasLen, 0)
	c.Check(v.LeavingNotices(0, start), qt.HasLen, 1, qt.Commentf("forwarded to other daemons"))
	drainSecond(v, start)
	c.Check(pick(v, start.Add(defaultDrainBound)), qt.Equals, "")
	later := start.Add(leavingNoticeTTL)
	v.Sweep(later)
	c.Check(pick(v, later), qt.Equals, "a")
	c.Check(v.MergeLeavingNotices(reported, later), qt.HasLen, 0)
	c.Check(v.LeavingNotices(0, later), qt.HasLen, 0)
}
