package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// shares simulates daemons that know of each other only how many they are.
type shares struct {
	bounds  Bounds
	random  *rand.Rand
	now     time.Time
	budgets []*Share
	// weights are the parts of the requests that the daemons get.
	weights       []float64
	sent, retried []time.Time
}

func newShares(daemons int, rate float64, random *rand.Rand) *shares {
	s := &shares{bounds: Bounds{RetryRatio: 0.2, ExtraRetries: 50, Window: 10 * time.Second}, random: random, now: time.Unix(1_000_000, 0)}
	for range daemons {
		s.budgets = append(s.budgets, nil)
		s.weights = append(s.weights, rate/float64(daemons))
	}
	for i := range s.budgets {
		s.start(i)
	}
	return s
}

// start replaces the process of a daemon.
func (s *shares) start(i int) {
	s.budgets[i] = NewShare(s.bounds, s.now, s.random.Float64)
	s.budgets[i].SetDaemons(len(s.budgets), s.now)
}

// resize changes the number of daemons. Those that stay learn of it one after the other.
func (s *shares) resize(daemons int, rate float64) {
	for len(s.budgets) < daemons {
		s.budgets, s.weights = append(s.budgets, nil), append(s.weights, 0)
		s.start(len(s.budgets) - 1)
	}
	s.budgets, s.weights = s.budgets[:daemons], s.weights[:daemons]
	for i := range s.weights {
		s.weights[i] = rate / float64(daemons)
	}
}

// step lets requests arrive for a while. If servers fail, each daemon retries as often as it may.
func (s *shares) step(lasts time.Duration, failing bool) {
	for i, b := range s.budgets {
		b.SetDaemons(len(s.budgets), s.now)
		for expected := s.weights[i] * lasts.Seconds(); s.random.Float64() < expected; expected-- {
			b.CountRequest("s", s.now)
			s.sent = append(s.sent, s.now)
		}
		for failing {
			if _, allowed := b.TryRetry("s", s.now); !allowed {
				break
			}
			s.retried = append(s.retried, s.now)
		}
	}
	s.now = s.now.Add(lasts)
}

// worst returns the largest share of the budget that a window uses.
func (s *shares) worst() (worst float64) {
	f := fleet{bounds: s.bounds, sent: s.sent}
	for _, from := range slices.Compact(slices.Clone(s.retried)) {
		worst = max(worst, f.share(s.retried, from))
	}
	return worst
}

// lastShare returns how much of the budget the last window uses.
func (s *shares) lastShare() float64 {
	f := fleet{bounds: s.bounds, sent: s.sent}
	return f.share(s.retried, s.now.Add(-s.bounds.Window))
}

const shareStep = 100 * time.Millisecond

// TestSharesTogetherStayWithinTheBudget guards against shares that add up to more than the budget when
// processes start again, join or leave.
func TestSharesTogetherStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(t, "daemons")
		rate := rapid.Float64Range(0, 60).Draw(t, "rate")
		s := newShares(daemons, rate, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			switch rapid.SampledFrom([]string{"calm", "all start again", "one starts again", "join", "leave", "skew"}).Draw(t, "event") {
			case "all start again":
				for i := range s.budgets {
					s.start(i)
				}
			case "one starts again":
				s.start(rapid.IntRange(0, len(s.budgets)-1).Draw(t, "which"))
			case "join":
				s.resize(len(s.budgets)+rapid.IntRange(1, 4).Draw(t, "more"), rate)
			case "leave":
				s.resize(max(1, len(s.budgets)-rapid.IntRange(1, 4).Draw(t, "fewer")), rate)
			case "skew":
				clear(s.weights)
				s.weights[0] = rate
			}
			failing := rapid.Bool().Draw(t, "failing")
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				s.step(shareStep, failing)
			}
		}
		if worst := s.worst(); worst > 1 {
			t.Fatalf("%.3f of the budget", worst)
		}
	})
}

// TestSharesAreUsable guards against shares of less than one retry that nobody can use.
func TestSharesAreUsable(t *testing.T) {
	for _, daemons := range []int{1, 8, 60, 300} {
		for _, rate := range []float64{16, 50, 1000} {
			t.Run(fmt.Sprintf("%d daemons %.0f a second", daemons, rate), func(t *testing.T) {
				c := qt.New(t)
				s := newShares(daemons, rate, rand.New(rand.NewPCG(1, 1)))
				for range 60 * time.Second / shareStep {
					s.step(shareStep, true)
				}
				c.Logf("%.2f of the budget, %.2f in the worst window", s.lastShare(), s.worst())
				c.Check(s.lastShare() >= 2.0/3, qt.IsTrue, qt.Commentf("%.3f", s.lastShare()))
				c.Check(s.worst() <= 1, qt.IsTrue, qt.Commentf("%.3f", s.worst()))
			})
		}
	}
}

// TestAShareIsNotUsedAgainAfterAStart guards against processes that each get a whole share.
func TestAShareIsNotUsedAgainAfterAStart(t *testing.T) {
	for _, daemons := range []int{1, 8, 300} {
		c := qt.New(t)
		s := newShares(daemons, 50, rand.New(rand.NewPCG(2, 2)))
		for range 30 * time.Second / shareStep {
			s.step(shareStep, false)
		}
		for range 5 {
			for range 2 * time.Second / shareStep {
				s.step(shareStep, true)
			}
			for i := range s.budgets {
				s.start(i)
			}
		}
		c.Check(s.worst() <= 1, qt.IsTrue, qt.Commentf("%d daemons: %.3f", daemons, s.worst()))
	}
}

// TestShareWithoutDaemonsIsTheRatioAlone guards against a daemon that uses all extra retries before it
// knows of the others.
func TestShareWithoutDaemonsIsTheRatioAlone(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	s := NewShare(Bounds{RetryRatio: 0.2, ExtraRetries: 50}, now, func() float64 { return 0 })
	now = now.Add(time.Minute)
	_, allowed := s.TryRetry("s", now)
	c.Check(allowed, qt.IsFalse)
	for range 6 {
		s.CountRequest("s", now)
	}
	_, allowed = s.TryRetry("s", now)
	c.Check(allowed, qt.IsTrue)
	_, allowed = s.TryRetry("s", now)
	c.Check(allowed, qt.IsFalse)
	s.SetDaemons(10, now)
	_, allowed = s.TryRetry("s", now)
	c.Check(allowed, qt.IsTrue)
	c.Check(s.ExtraState("s", now), qt.Equals, State{Allowed: 3, Spent: 1})
}

// TestSharedRetryThatWasNotSentIsReturned guards against unreachable servers that use up the budget.
func TestSharedRetryThatWasNotSentIsReturned(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	s := NewShare(Bounds{RetryRatio: 0.2, ExtraRetries: 50}, now, func() float64 { return 0 })
	s.SetDaemons(30, now)
	now = now.Add(time.Minute)
	for range 6 {
		s.CountRequest("s", now)
	}
	for range 20 {
		byRatio, allowed := s.TryRetry("s", now)
		c.Assert(allowed, qt.IsTrue)
		extra, allowed := s.TryRetry("s", now)
		c.Assert(allowed, qt.IsTrue)
		_, allowed = s.TryRetry("s", now)
		c.Assert(allowed, qt.IsFalse)
		s.Refund("s", extra)
		s.Refund("s", byRatio)
	}
	c.Check(s.ExtraState("s", now).Spent, qt.Equals, 0.0)
}

// TestShareGrowsOneWindowAfterDaemonsHaveLeft guards against shares of the daemons that are gone which are
// used twice in a window.
func TestShareGrowsOneWindowAfterDaemonsHaveLeft(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	s := NewShare(Bounds{ExtraRetries: 50}, now, func() float64 { return 0 })
	s.SetDaemons(10, now)
	now = now.Add(time.Minute)
	s.SetDaemons(5, now)
	c.Check(s.ExtraState("s", now).Allowed, qt.Equals, 3.0)
	now = now.Add(defaultWindow)
	c.Check(s.ExtraState("s", now).Allowed, qt.Equals, 6.0)
	s.SetDaemons(10, now)
	c.Check(s.ExtraState("s", now).Allowed, qt.Equals, 3.0)
}
