package allowance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// smallTolerance is a tolerance of a few requests, as used for the limits of servers.
var smallTolerance = Tolerance{Window: 4 * time.Second, Fraction: 0.5, Tokens: 3}

func TestNewRateStartsUsedUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := NewLimiter(smallTolerance, now, nil)
	now = now.Add(time.Minute)
	l.SetReachable(1, 1, now)
	l.SetRate("s", 10, now)
	sent := 0
	for range 80 {
		for l.Admit("s", 1, now).Admitted {
			sent++
		}
		now = now.Add(50 * time.Millisecond)
	}
	c.Check(sent >= 40 && sent <= 50, qt.IsTrue, qt.Commentf("%d in the first 4 s at 10 per second", sent))
}

func TestRateIsLiftedAndSetAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := NewLimiter(smallTolerance, now, nil)
	l.SetReachable(1, 1, now)
	l.SetRate("s", 1, now)
	c.Check(l.Admit("s", 100, now).Admitted, qt.IsFalse)
	l.SetRate("s", 0, now)
	c.Check(l.Admit("s", 100, now).Admitted, qt.IsTrue)
	c.Check(l.OwnCounters().Spent, qt.HasLen, 0, qt.Commentf("usage without a limit is not counted"))
	now = now.Add(time.Minute)
	l.SetRate("s", 1, now)
	verdict := l.Admit("s", 4, now)
	c.Check(verdict.Admitted, qt.IsFalse)
	c.Check(verdict.RetryAfter > 0, qt.IsTrue)
	l.Remove("s")
	c.Check(l.OwnCounters().Refused, qt.HasLen, 0)
}

func TestRateBinds(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := NewLimiter(smallTolerance, now, nil)
	l.SetReachable(1, 1, now)
	l.SetRate("s", 4, now)
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		l.Admit("s", 1, now)
	}
	c.Check(l.Binds("s", now), qt.IsFalse)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		l.Admit("s", 1, now)
	}
	c.Check(l.Binds("s", now), qt.IsTrue)
	c.Check(l.Binds("other", now), qt.IsFalse)
}

// TestDaemonsWithoutNewsShareARate guards against each daemon taking itself for the only one with
// demand once it receives no more reports.
func TestDaemonsWithoutNewsShareARate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	const daemons = 60
	draw := 0.0
	next := func() float64 { draw += 0.6180339887; draw -= float64(int(draw)); return draw }
	var all []*Limiter
	for range daemons {
		l := NewLimiter(smallTolerance, now, next)
		l.SetReachable(daemons, daemons, now)
		l.SetRate("s", 4, now)
		all = append(all, l)
	}
	sent := 0
	for tick := range 80 {
		now = now.Add(50 * time.Millisecond)
		for i, l := range all {
			if tick == 40 {
				l.SetReachable(2, daemons, now)
			}
			if (tick+i)%6 == 0 && l.Admit("s", 1, now).Admitted {
				sent++
			}
		}
	}
	c.Check(sent <= 29, qt.IsTrue, qt.Commentf("%d in 4 s from %d daemons", sent, daemons))
}
