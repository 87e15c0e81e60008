package firsttry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const usual = 12 * time.Second

// TestAgeOfCallersThatComeAgain checks that retries among first tries are recognized by their
// shorter timeouts.
func TestAgeOfCallersThatComeAgain(t *testing.T) {
	c := qt.New(t)
	timeouts := NewCallerTimeouts()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 500 {
		timeout, age := usual, time.Duration(0)
		if random.Float64() < 0.3 {
			age = time.Duration(50+random.IntN(3000)) * time.Millisecond
			timeout -= age
		}
		got := timeouts.Age("r", timeout)
		if i > 50 {
			c.Check((got-age).Abs() <= timeoutResolution, qt.IsTrue, qt.Commentf("%v for %v", got, age))
		}
	}
	c.Check(timeouts.Usual(), qt.DeepEquals, map[string]time.Duration{"r": usual})
}

// TestNothingIsConcludedWhereLimitsDiffer guards against callers with individual timeouts that are
// mistaken for callers that retry.
func TestNothingIsConcludedWhereLimitsDiffer(t *testing.T) {
	c := qt.New(t)
	timeouts := NewCallerTimeouts()
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		c.Check(timeouts.Age("r", time.Duration(1+random.IntN(10_000))*time.Millisecond), qt.Equals, time.Duration(0))
	}
	c.Check(len(timeouts.routes["r"].weights) <= maxTrackedTimeouts, qt.IsTrue)
}

func TestLongerTimeoutHasNoAge(t *testing.T) {
	c := qt.New(t)
	timeouts := NewCallerTimeouts()
	for range 100 {
		timeouts.Age("r", usual)
	}
	c.Check(timeouts.Age("r", 2*usual), qt.Equals, time.Duration(0))
	c.Check(timeouts.Age("r", 0), qt.Equals, time.Duration(0))
	c.Check(timeouts.Age("other", usual), qt.Equals, time.Duration(0))
}

// TestRestoredTimeoutsAreUsed guards against wrong ages after all daemons have died, when most
// requests are retries.
func TestRestoredTimeoutsAreUsed(t *testing.T) {
	c := qt.New(t)
	timeouts := NewCallerTimeouts()
	timeouts.Restore(map[string]time.Duration{"r": usual})
	for i := range 40 {
		age := time.Duration(400+i*30) * time.Millisecond
		c.Check(timeouts.Age("r", usual-age), qt.Equals, age)
	}
	// A new usual timeout is detected.
	for range 300 {
		timeouts.Age("r", usual/2)
	}
	c.Check(timeouts.Age("r", usual/2-time.Second), qt.Equals, time.Second)
}

// TestFirstTriesWithAShorterLimitHaveNoAge guards against callers with a limit of their own that are
// served last, as if they had tried before.
func TestFirstTriesWithAShorterLimitHaveNoAge(t *testing.T) {
	c := qt.New(t)
	timeouts := NewCallerTimeouts()
	for i := range 100 {
		timeouts.Age("route", 8*time.Second)
		if i%10 == 0 {
			timeouts.Age("route", 5*time.Second)
		}
	}
	c.Check(timeouts.Age("route", 7300*time.Millisecond), qt.Equals, 700*time.Millisecond)
	for _, timeout := range []time.Duration{0, 8 * time.Second, 9 * time.Second, 5 * time.Second} {
		c.Check(timeouts.Age("route", timeout), qt.Equals, time.Duration(0), qt.Commentf("%v", timeout))
	}
	c.Check(timeouts.Age("another", 5*time.Second), qt.Equals, time.Duration(0))
}
