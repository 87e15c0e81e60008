package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/plankridge/plankridge/internal/allowance"
	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

var testBounds = Bounds{RetryRatio: 0.2, ExtraRetries: 52, Window: 10 * time.Second}

// newKnown returns a budget that knows that nothing was spent before, with some daemons of which some
// are reachable.
func newKnown(bounds Bounds, reachable, daemons int, now time.Time, random func() float64) *Budget {
	b := New(bounds, now, random)
	b.Restore(allowance.Snapshot{}, now)
	b.SetReachable(reachable, daemons, now)
	b.SetReachable(reachable, daemons, now.Add(settledAfter))
	return b
}

// never is a source of randomness that admits nothing by chance.
func never() float64 { return 1 - 1e-9 }

// settledAfter is the time after which unreachable daemons count as partitioned.
const settledAfter = 3 * time.Second

// spendAll takes retries until none is left, and returns how many it got.
func spendAll(b *Budget, now time.Time) int {
	taken := 0
	for b.TryRetry("s", now).Admitted {
		taken++
	}
	return taken
}

func TestExtraRetriesAreSharedByDaemonsThatReachNoOther(t *testing.T) {
	for _, daemons := range []int{6, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			total := 0
			for i := range daemons {
				b := newKnown(testBounds, 1, daemons, now, rand.New(rand.NewPCG(1, uint64(i))).Float64)
				for second := range 10 {
					total += spendAll(b, now.Add(settledAfter+time.Duration(second)*time.Second))
				}
			}
			c.Check(total >= int(testBounds.ExtraRetries/2), qt.IsTrue, qt.Commentf("%d", total))
			c.Check(total <= int(testBounds.ExtraRetries), qt.IsTrue, qt.Commentf("%d", total))
		})
	}
}

func TestBudgetRefillsAfterWindow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newKnown(testBounds, 1, 1, now, never)
	now = now.Add(settledAfter)
	c.Check(spendAll(b, now) > 0, qt.IsTrue)
	c.Check(b.TryRetry("s", now.Add(9*time.Second)).Admitted, qt.IsFalse)
	c.Check(b.TryRetry("s", now.Add(11*time.Second)).Admitted, qt.IsTrue)
}

func TestStartedProcessKnowsWhatWasSpent(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	before := newKnown(testBounds, 1, 1, now, never)
	before.AddService("s", now)
	now = now.Add(settledAfter)
	spent := spendAll(before, now)
	usage, known := before.Usage(now)
	c.Assert(known, qt.IsTrue)

	now = now.Add(500 * time.Millisecond)
	restored := New(testBounds, now, never)
	restored.Restore(allowance.Snapshot{Usage: usage, Age: 500 * time.Millisecond}, now)
	restored.SetReachable(1, 1, now)
	c.Check(spent+spendAll(restored, now) <= int(testBounds.ExtraRetries), qt.IsTrue)

	adopting := New(testBounds, now, never)
	adopting.SetReachable(2, 2, now)
	c.Check(adopting.AdoptFromPeer(usage, nil, time.Minute, now), qt.IsTrue)
	c.Check(spent+spendAll(adopting, now) <= int(testBounds.ExtraRetries), qt.IsTrue)
}

func TestUnknownPastAllowsHardlyAnyRetry(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := New(testBounds, now, never)
	b.SetReachable(1, 1, now)
	c.Check(spendAll(b, now) <= int(testBounds.ExtraRetries/10), qt.IsTrue)
	c.Check(spendAll(b, now.Add(testBounds.Window)) > int(testBounds.ExtraRetries/2), qt.IsTrue)
}

func TestRetryThatWasNotSentIsReturned(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newKnown(testBounds, 1, 1, now, never)
	now = now.Add(settledAfter)
	spent := spendAll(b, now)
	b.Refund("s", now)
	c.Check(spendAll(b, now), qt.Equals, 1)
	c.Check(spent > 1, qt.IsTrue)
}

func TestNoRetriesAreAllowed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newKnown(Bounds{}, 1, 1, now, never)
	b.CountRequest("s", now)
	c.Check(b.TryRetry("s", now.Add(settledAfter)).Admitted, qt.IsFalse)
}

func TestStates(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newKnown(testBounds, 1, 1, now, never)
	now = now.Add(settledAfter)
	for range 10 {
		b.CountRequest("s", now)
	}
	c.Assert(b.TryRetry("s", now).Admitted, qt.IsTrue)
	c.Check(b.States(now), qt.DeepEquals, map[string]State{"s": {Allowed: usableShare * (0.2*10 + 52), Spent: 1}})
}

// TestNoWindowHoldsMore checks that no window contains more retries than the bounds allow, for
// random sequences of requests and retries.
func TestNoWindowHoldsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := newKnown(testBounds, 1, 1, now, never)
		var requests, retries []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest("s", now)
				requests = append(requests, now)
			} else if b.TryRetry("s", now).Admitted {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			allowed := testBounds.RetryRatio*float64(countWithin(requests, end)) + testBounds.ExtraRetries
			if n := float64(countWithin(retries, end)); n > allowed {
				t.Fatalf("%v retries, %v allowed", n, allowed)
			}
		}
	})
}

func countWithin(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-testBounds.Window)) {
			n++
		}
	}
	return n
}

func TestDefaultWindow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newKnown(Bounds{ExtraRetries: 10}, 1, 1, now, never)
	now = now.Add(settledAfter)
	c.Check(spendAll(b, now) > 0, qt.IsTrue)
	c.Check(b.TryRetry("s", now.Add(defaultWindow-time.Second)).Admitted, qt.IsFalse)
	c.Check(b.TryRetry("s", now.Add(defaultWindow+time.Second)).Admitted, qt.IsTrue)
}
