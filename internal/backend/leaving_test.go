package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/advice"
)

// viewOfTwo returns a view of two servers, and an answer of the first that says that it leaves.
func viewOfTwo(c *qt.C) (v *View, answer func(at time.Time) AdviceChange) {
	v = NewView()
	v.Put(entryAt("a", 1000, 1), start)
	v.Put(entryAt("b", 1000, 1), start)
	choice, ok := v.Begin(Need{Service: "s", Zone: "z-a", ServerID: "a"}, start)
	c.Assert(ok, qt.IsTrue)
	return v, func(at time.Time) AdviceChange { return choice.ApplyAdvice(advice.Advice{Leaving: true}, at) }
}

// drainSecond lets the second server drain, not as a last resort either.
func drainSecond(v *View, at time.Time) {
	drains := entryAt("b", 1000, 9)
	drains.Draining = true
	v.Update([]Entry{drains}, nil, Observation{ReceivedAt: at})
}

// TestAnswerThatSaysLeavingStands guards against entries that bring a server back which has said in
// an answer that it leaves.
func TestAnswerThatSaysLeavingStands(t *testing.T) {
	for name, happen := range map[string]func(v *View, at time.Time){
		"nothing":        func(*View, time.Time) {},
		"an older entry": func(v *View, at time.Time) { v.Put(entryAt("a", 1000, 0), at) },
		"a newer entry":  func(v *View, at time.Time) { v.Put(entryAt("a", 1000, 2), at) },
		"a whole list": func(v *View, at time.Time) {
			v.Replace([]Entry{entryAt("a", 1000, 3), entryAt("b", 1000, 1)}, Observed(at))
		},
		"back after an outage": func(v *View, at time.Time) { v.Remove("a", at); v.StoreReturned(at); v.Put(entryAt("a", 1000, 4), at) },
		"lapsed in an outage":  func(v *View, at time.Time) { v.StoreReturned(at); v.Remove("a", at) },
		"an answer without it": func(v *View, at time.Time) { _ = pick(v, at) },
		"a report that is late": func(v *View, at time.Time) {
			v.MergeLeavingNotices([]advice.LeavingNotice{{Server: KeyOf(entryAt("a", 1000, 1)), ReceivedAt: at}}, at)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v, answer := viewOfTwo(c)
			c.Check(answer(start).LeavingAnnounced, qt.IsTrue)
			c.Check(answer(start.Add(time.Second)).LeavingAnnounced, qt.IsFalse)
			at := start.Add(time.Second)
			happen(v, at)
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
	v, answer := viewOfTwo(c)
	answer(start)
	drainSecond(v, start)
	v.Put(entryAt("a", 2000, 1), start.Add(time.Second))
	c.Check(pick(v, start.Add(10*time.Second)), qt.Equals, "a")
	c.Check(answer(start.Add(11*time.Second)).LeavingAnnounced, qt.IsFalse, qt.Commentf("an answer of the earlier incarnation"))
	c.Check(pick(v, start.Add(12*time.Second)), qt.Equals, "a")
}

// TestReportsOfLeavingLapse guards against a wrong report that takes a sound server out for good.
func TestReportsOfLeavingLapse(t *testing.T) {
	c := qt.New(t)
	v, _ := viewOfTwo(c)
	told := []advice.LeavingNotice{{Server: KeyOf(entryAt("a", 1000, 1)), ReceivedAt: start}, {Server: 99, ReceivedAt: start}}
	c.Check(v.MergeLeavingNotices(told, start), qt.HasLen, 1)
	c.Check(v.MergeLeavingNotices(told, start), qt.HasLen, 0)
	c.Check(v.LeavingNotices(0, start), qt.HasLen, 1, qt.Commentf("reported on"))
	drainSecond(v, start)
	c.Check(pick(v, start.Add(defaultDrainBound)), qt.Equals, "")
	later := start.Add(leavingNoticeTTL)
	v.Sweep(later)
	c.Check(pick(v, later), qt.Equals, "a")
	c.Check(v.MergeLeavingNotices(told, later), qt.HasLen, 0)
	c.Check(v.LeavingNotices(0, later), qt.HasLen, 0)
}
