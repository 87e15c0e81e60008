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
	const own = 100 * time.Millisecond
	home := Server{ID: "1", Zone: "a", IdleWait: own, MaxBatch: 8}
	away := Server{ID: "2", Zone: "b", IdleWait: own, MaxBatch: 8}
	pick := func(servers ...Server) string {
		choice, ok := Pick(servers, need)
		c.Assert(ok, qt.IsTrue)
		return choice.Server.ID
	}
	c.Check(pick(away, home), qt.Equals, "1")
	home.Queue = 300 * time.Millisecond // 0.4 s: still within half of the target
	c.Check(pick(away, home), qt.Equals, "1")
	home.Queue = 900 * time.Millisecond
	c.Check(pick(away, home), qt.Equals, "2")
	away.Suspect = true
	c.Check(pick(away, home), qt.Equals, "1")
	home.Leaving = true
	c.Check(pick(away, home), qt.Equals, "2")
	away.Leaving = true
	_, ok := Pick([]Server{home, away}, need)
	c.Check(ok, qt.IsFalse)
	cheap := Server{ID: "9", Zone: "a", IdleWait: own, MaxBatch: 8, PricePerHour: 1}
	dear := Server{ID: "3", Zone: "a", IdleWait: own, MaxBatch: 8, PricePerHour: 3}
	c.Check(pick(dear, cheap), qt.Equals, "9")
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

// TestLateBySizeIsNoOverload: a prompt that takes longer than its target on any engine
// is served where nothing waits, and refused behind a queue; one of a usual size is
// refused for a queue alone.
func TestLateBySizeIsNoOverload(t *testing.T) {
	c := qt.New(t)
	const target, long, usual = 500 * time.Millisecond, 700 * time.Millisecond, 50 * time.Millisecond
	c.Check(TooLate(long, long, target), qt.IsFalse)
	c.Check(TooLate(long+90*time.Millisecond, long, target), qt.IsFalse)
	c.Check(TooLate(long+200*time.Millisecond, long, target), qt.IsTrue)
	c.Check(TooLate(usual+240*time.Millisecond, usual, target), qt.IsFalse)
	c.Check(TooLate(usual+300*time.Millisecond, usual, target), qt.IsTrue)
}

// TestOverdueRequestsWaitAndOthersAreRefused: behind a queue a caller whose answer is late
// already is served while it waits for the rest, and one that came for the first time is
// told at once that it would be late.
func TestOverdueRequestsWaitAndOthersAreRefused(t *testing.T) {
	c := qt.New(t)
	fresh := Timing{Wait: 400 * time.Millisecond, IdleWait: 50 * time.Millisecond, Target: 500 * time.Millisecond, Remaining: 10 * time.Second}
	c.Check(fresh.ShouldRefuse(), qt.IsTrue)
	again := fresh
	again.Age = time.Second
	c.Check(again.ShouldRefuse(), qt.IsFalse)
	again.Remaining = 700 * time.Millisecond
	c.Check(again.ShouldRefuse(), qt.IsTrue)
	young := fresh
	young.Wait, young.Age = 100*time.Millisecond, 300*time.Millisecond
	c.Check(young.ShouldRefuse(), qt.IsFalse, qt.Commentf("its own time since the first try is no queue"))
}
