package route

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

func TestPickPrefersOwnZoneThenWaitThenPrice(t *testing.T) {
	c := qt.New(t)
	need := Need{Zone: "a", Target: time.Second}
	const idleWait = 100 * time.Millisecond
	ownZone := Server{ID: "1", Zone: "a", IdleWait: idleWait, MaxBatch: 8}
	otherZone := Server{ID: "2", Zone: "b", IdleWait: idleWait, MaxBatch: 8}
	pick := func(servers ...Server) string {
		choice, ok := Pick(servers, need)
		c.Assert(ok, qt.IsTrue)
		return choice.Server.ID
	}
	c.Check(pick(otherZone, ownZone), qt.Equals, "1")
	ownZone.Queue = 300 * time.Millisecond // 0.4 s in total, within half of the target
	c.Check(pick(otherZone, ownZone), qt.Equals, "1")
	ownZone.Queue = 900 * time.Millisecond
	c.Check(pick(otherZone, ownZone), qt.Equals, "2")
	otherZone.Suspect = true
	c.Check(pick(otherZone, ownZone), qt.Equals, "1")
	ownZone.Leaving = true
	c.Check(pick(otherZone, ownZone), qt.Equals, "2")
	otherZone.Leaving = true
	_, ok := Pick([]Server{ownZone, otherZone}, need)
	c.Check(ok, qt.IsFalse)
	cheap := Server{ID: "9", Zone: "a", IdleWait: idleWait, MaxBatch: 8, PricePerHour: 1}
	expensive := Server{ID: "3", Zone: "a", IdleWait: idleWait, MaxBatch: 8, PricePerHour: 3}
	c.Check(pick(expensive, cheap), qt.Equals, "9")
}

func TestPickNeverTakesLeavingServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Server {
			return Server{
				ID:       fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")),
				Zone:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Leaving:  rapid.Bool().Draw(t, "leaving"),
				Suspect:  rapid.Bool().Draw(t, "suspect"),
				Queue:    time.Duration(rapid.IntRange(0, 1e6).Draw(t, "queue")) * time.Microsecond,
				Running:  rapid.IntRange(0, 64).Draw(t, "running"),
				MaxBatch: 16,
				IdleWait: 12 * time.Millisecond,
			}
		})).Draw(t, "servers")
		choice, ok := Pick(servers, Need{Zone: "a", Target: time.Second})
		live := 0
		for _, s := range servers {
			if !s.Leaving {
				live++
			}
		}
		if ok != (live > 0) || (ok && choice.Server.Leaving) {
			t.Fatalf("%d live servers, choice %+v %t", live, choice, ok)
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		servers := make([]Server, count)
		for i := range servers {
			servers[i] = Server{ID: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Queue: time.Duration(i*37%5000) * time.Millisecond / 8, MaxBatch: 16}
		}
		need := Need{Zone: "1", Target: time.Second}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Pick(servers, need)
			}
		})
	}
}

// TestLateBySizeIsNoOverload checks that a prompt that takes longer than its target on any engine
// is served if there is no queue and refused behind one, and that a prompt of usual size is refused
// only because of a queue.
func TestLateBySizeIsNoOverload(t *testing.T) {
	c := qt.New(t)
	const target, long, usual = 500 * time.Millisecond, 700 * time.Millisecond, 50 * time.Millisecond
	c.Check(TooLate(long, long, target), qt.IsFalse)
	c.Check(TooLate(long+90*time.Millisecond, long, target), qt.IsFalse)
	c.Check(TooLate(long+200*time.Millisecond, long, target), qt.IsTrue)
	c.Check(TooLate(usual+240*time.Millisecond, usual, target), qt.IsFalse)
	c.Check(TooLate(usual+300*time.Millisecond, usual, target), qt.IsTrue)
}

// TestOverdueRequestsWaitAndOthersAreRefused checks that behind a queue an overdue request is
// served while its caller has time left for the whole answer, and that a first try that would be
// late is refused at once.
func TestOverdueRequestsWaitAndOthersAreRefused(t *testing.T) {
	c := qt.New(t)
	fresh := Timing{Wait: 400 * time.Millisecond, IdleWait: 50 * time.Millisecond, Target: 500 * time.Millisecond, Remaining: 10 * time.Second}
	c.Check(fresh.ShouldRefuse(), qt.IsTrue)
	retried := fresh
	retried.Age = time.Second
	c.Check(retried.ShouldRefuse(), qt.IsFalse)
	retried.Remaining = 700 * time.Millisecond
	c.Check(retried.ShouldRefuse(), qt.IsTrue)
	recent := fresh
	recent.Wait, recent.Age = 100*time.Millisecond, 300*time.Millisecond
	c.Check(recent.ShouldRefuse(), qt.IsFalse, qt.Commentf("the time since the first try does not count as queueing"))
}
