package allowance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newStartingLimiter returns the limiter of one of 77 daemons that has just started. Nothing was
// used before.
func newStartingLimiter(demand map[string]float64, random func() float64) *Limiter {
	l := NewLimiter(testTolerance, start, random)
	l.Restore(Snapshot{Demand: demand}, start)
	l.ApplyCatalog(testCatalog(100_000, 100_000), start)
	l.SetReachable(1, 77, start)
	return l
}

// TestStartUsesRestoredDemand guards against a starting daemon that assumes a demand of a few times
// the allowance, when the allowance was lowered to a small part of the demand.
func TestStartUsesRestoredDemand(t *testing.T) {
	c := qt.New(t)
	never := func() float64 { return 1 }
	c.Check(newStartingLimiter(map[string]float64{}, never).Admit("w", 20_000, start).Admitted, qt.IsTrue)
	busy := newStartingLimiter(map[string]float64{"w": 6_000_000}, never)
	verdict := busy.Admit("w", 20_000, start)
	c.Check(verdict.Admitted, qt.IsFalse)
	c.Check(verdict.OthersDemand, qt.Equals, 6_000_000.0)
	adopting := newStartingLimiter(map[string]float64{}, never)
	adopting.AdoptUsage(nil, map[string]float64{"w": 6_000_000}, start)
	c.Check(adopting.Admit("w", 20_000, start).OthersDemand, qt.Equals, 6_000_000.0)
}

// TestStartAssumesPeersHaveOwnDemand guards against 77 starting daemons that each use the free
// tokens for themselves before they receive each other's reports.
func TestStartAssumesPeersHaveOwnDemand(t *testing.T) {
	c := qt.New(t)
	draw := 0.0
	next := func() float64 { draw += 0.6180339887; draw -= float64(int(draw)); return draw }
	admitted := 0.0
	for range 77 {
		l := newStartingLimiter(nil, next)
		for tick := range 8 {
			if l.Admit("w", 20_000, start.Add(time.Duration(tick)*50*time.Millisecond)).Admitted {
				admitted += 20_000
			}
		}
	}
	c.Check(admitted <= 900_000, qt.IsTrue, qt.Commentf("%.0f admitted in 0.4 s, 900,000 allowed in 8 s", admitted))
	c.Check(admitted > 0, qt.IsTrue)
}

// TestStartAssumesManyPeers guards against a starting daemon that takes itself for the only one
// until it learns of others.
func TestStartAssumesManyPeers(t *testing.T) {
	c := qt.New(t)
	l := NewLimiter(testTolerance, start, func() float64 { return 1 })
	l.ApplyCatalog(testCatalog(100_000, 100_000), start)
	c.Check(l.Admit("w", 20_000, start).Admitted, qt.IsFalse)
}

// TestFreedTokensAreDistributedOverTime guards against waiting callers getting all freed tokens the
// moment they become free.
func TestFreedTokensAreDistributedOverTime(t *testing.T) {
	for times, admitted := range map[float64]bool{1.5: true, 20: false} {
		c := qt.New(t)
		l := newStartingLimiter(map[string]float64{}, func() float64 { return 0.9 })
		now := start.Add(time.Minute)
		for report := range 40 {
			now = now.Add(150 * time.Millisecond)
			refused := times * 100_000 * 0.15 * float64(report)
			l.SetReachable(77, 77, now)
			l.ApplyReport(Report{VM: "lead", Counters: Counters{Refused: map[string]float64{"w": refused}}, Interval: 150 * time.Millisecond}, now)
		}
		verdict := l.Admit("w", 5_000, now)
		c.Check(verdict.Admitted, qt.Equals, admitted, qt.Commentf("demand of %v times the rate, %.0f free", times, verdict.Free))
	}
}
