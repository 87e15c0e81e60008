package firsttry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const usual = 12 * time.Second

// TestAgeOfCallersThatComeAgain: among first tries, those that come again are told by the
// time that they have left.
func TestAgeOfCallersThatComeAgain(t *testing.T) {
	c := qt.New(t)
	l := NewCallerTimeouts()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 500 {
		limit, age := usual, time.Duration(0)
		if random.Float64() < 0.3 {
			age = time.Duration(50+random.IntN(3000)) * time.Millisecond
			limit -= age
		}
		got := l.Age("r", limit)
		if i > 50 {
			c.Check((got-age).Abs() <= timeoutResolution, qt.IsTrue, qt.Commentf("%v for %v", got, age))
		}
	}
	c.Check(l.Usual(), qt.DeepEquals, map[string]time.Duration{"r": usual})
}

// TestNothingIsConcludedWhereLimitsDiffer: callers that each state their own limit are not
// taken for such that come again.
func TestNothingIsConcludedWhereLimitsDiffer(t *testing.T) {
	c := qt.New(t)
	l := NewCallerTimeouts()
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		c.Check(l.Age("r", time.Duration(1+random.IntN(10_000))*time.Millisecond), qt.Equals, time.Duration(0))
	}
	c.Check(len(l.routes["r"].weights) <= maxTrackedTimeouts, qt.IsTrue)
}

func TestLongerTimeoutHasNoAge(t *testing.T) {
	c := qt.New(t)
	l := NewCallerTimeouts()
	for range 100 {
		l.Age("r", usual)
	}
	c.Check(l.Age("r", 2*usual), qt.Equals, time.Duration(0))
	c.Check(l.Age("r", 0), qt.Equals, time.Duration(0))
	c.Check(l.Age("other", usual), qt.Equals, time.Duration(0))
}

// TestRestoredTimeoutsAreUsed: right after the death of all, most requests are of
// callers that come again.
func TestRestoredTimeoutsAreUsed(t *testing.T) {
	c := qt.New(t)
	l := NewCallerTimeouts()
	l.Restore(map[string]time.Duration{"r": usual})
	for i := range 40 {
		age := time.Duration(400+i*30) * time.Millisecond
		c.Check(l.Age("r", usual-age), qt.Equals, age)
	}
	// A new usual limit is found.
	for range 300 {
		l.Age("r", usual/2)
	}
	c.Check(l.Age("r", usual/2-time.Second), qt.Equals, time.Second)
}
