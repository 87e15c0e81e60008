package allowance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// starting returns a limiter of one of 77 daemons that has just started, with nothing used before.
func starting(asked map[string]float64, draw func() float64) *Limiter {
	l := NewLimiter(contract, start, draw)
	l.Open(Opening{Asked: asked}, start)
	l.ApplyCatalog(limited(100_000, 100_000), start)
	l.SetReach(1, 77, start)
	return l
}

// TestStartGoesByTheDemandOfBefore guards against starts that take all to be asked for a few times an allowance that
// was lowered to a part of what callers ask for.
func TestStartGoesByTheDemandOfBefore(t *testing.T) {
	c := qt.New(t)
	never := func() float64 { return 1 }
	c.Check(starting(map[string]float64{}, never).Admit("w", 20_000, start).Admitted, qt.IsTrue)
	busy := starting(map[string]float64{"w": 6_000_000}, never)
	verdict := busy.Admit("w", 20_000, start)
	c.Check(verdict.Admitted, qt.IsFalse)
	c.Check(verdict.Asked, qt.Equals, 6_000_000.0)
	adopting := starting(map[string]float64{}, never)
	adopting.Adopt(nil, map[string]float64{"w": 6_000_000}, start)
	c.Check(adopting.Admit("w", 20_000, start).Asked, qt.Equals, 6_000_000.0)
}

// TestStartTakesOthersForAskedLikeItself guards against 77 daemons that each take what is free for their own before
// they hear of each other.
func TestStartTakesOthersForAskedLikeItself(t *testing.T) {
	c := qt.New(t)
	draw := 0.0
	next := func() float64 { draw += 0.6180339887; draw -= float64(int(draw)); return draw }
	admitted := 0.0
	for range 77 {
		l := starting(nil, next)
		for tick := range 8 {
			if l.Admit("w", 20_000, start.Add(time.Duration(tick)*50*time.Millisecond)).Admitted {
				admitted += 20_000
			}
		}
	}
	c.Check(admitted <= 900_000, qt.IsTrue, qt.Commentf("%.0f admitted in 0.4 s, 900,000 allowed in 8 s", admitted))
	c.Check(admitted > 0, qt.IsTrue)
}

// TestDaemonThatKnowsOfNoOtherIsOneOfMany guards against starts that take themselves for the only one until they are
// told of others.
func TestDaemonThatKnowsOfNoOtherIsOneOfMany(t *testing.T) {
	c := qt.New(t)
	l := NewLimiter(contract, start, func() float64 { return 1 })
	l.ApplyCatalog(limited(100_000, 100_000), start)
	c.Check(l.Admit("w", 20_000, start).Admitted, qt.IsFalse)
}

// TestRoomThatComesFreeIsHandedOutOverTime guards against all callers that wait for room getting it in the moment in
// which it is there.
func TestRoomThatComesFreeIsHandedOutOverTime(t *testing.T) {
	for times, admitted := range map[float64]bool{1.5: true, 20: false} {
		c := qt.New(t)
		l := starting(map[string]float64{}, func() float64 { return 0.9 })
		now := start.Add(time.Minute)
		for report := range 40 {
			now = now.Add(150 * time.Millisecond)
			refused := times * 100_000 * 0.15 * float64(report)
			l.SetReach(77, 77, now)
			l.Heard(Report{VM: "lead", Counters: Counters{Refused: map[string]float64{"w": refused}}, Round: 150 * time.Millisecond}, now)
		}
		verdict := l.Admit("w", 5_000, now)
		c.Check(verdict.Admitted, qt.Equals, admitted, qt.Commentf("%v times the rate asked, %.0f free", times, verdict.Free))
	}
}
