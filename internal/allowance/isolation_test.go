package allowance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDemandIsKnownAfterIsolation guards against a daemon that loses the measured demand of all
// daemons while it can reach only a few of them or none.
func TestDemandIsKnownAfterIsolation(t *testing.T) {
	for _, reachable := range []int{1, 3} {
		c := qt.New(t)
		l := NewLimiter(testTolerance, start, func() float64 { return 1 })
		l.Restore(Snapshot{}, start)
		l.ApplyCatalog(testCatalog(1000, 1000), start)
		now := start.Add(time.Minute)
		report := func(count int, refused float64) {
			l.SetReachable(count, 9, now)
			l.ApplyReport(Report{VM: "lead", Counters: Counters{Refused: map[string]float64{"w": refused}}, Interval: 150 * time.Millisecond}, now)
			now = now.Add(150 * time.Millisecond)
		}
		refused := 0.0
		for range 40 {
			refused += 80_000 * 0.15
			report(9, refused)
		}
		before := l.othersDemand(l.accounts["w"], now)
		c.Assert(before > 60_000, qt.IsTrue, qt.Commentf("%.0f per second", before))
		for range 20 {
			refused += 80_000 * 0.15 * float64(reachable-1) / 8
			report(reachable, refused)
		}
		l.SetReachable(9, 9, now)
		after := l.othersDemand(l.accounts["w"], now)
		c.Check(after > 0.8*before, qt.IsTrue, qt.Commentf("%d reachable: %.0f per second, %.0f before", reachable, after, before))
	}
}
