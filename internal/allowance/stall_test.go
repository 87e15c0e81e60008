package allowance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newStalledLimiter returns the limiter of one of eight daemons that has admitted own tokens and
// then stalled for four seconds.
func newStalledLimiter(c *qt.C, own float64) (l *Limiter, now time.Time) {
	l = NewLimiter(testTolerance, start, func() float64 { return 0.5 })
	l.Restore(Snapshot{}, start)
	l.ApplyCatalog(testCatalog(100_000, 100_000), start)
	now = start.Add(time.Minute)
	l.SetReachable(8, 8, now)
	l.ApplyReport(Report{VM: "lead", Interval: 150 * time.Millisecond}, now)
	l.ApplyReport(Report{VM: "lead", Interval: 150 * time.Millisecond}, now.Add(150*time.Millisecond))
	now = now.Add(200 * time.Millisecond)
	c.Assert(l.Admit("w", own, now).Admitted, qt.IsTrue)
	now = now.Add(4 * time.Second)
	l.ResumeAfterStall(now)
	return l, now
}

// TestStoodStillAdmitsLittleUntilTold guards against a stalled daemon that admits requests although
// peers may have used the whole allowance meanwhile. The usage from a peer that did not stall
// replaces its own data.
func TestStoodStillAdmitsLittleUntilTold(t *testing.T) {
	c := qt.New(t)
	l, now := newStalledLimiter(c, 50_000)
	c.Check(l.Admit("w", 100_000, now).Admitted, qt.IsFalse)
	_, known := l.Usage(now)
	c.Check(known, qt.IsFalse)
	c.Check(l.CountedFor(now), qt.Equals, time.Duration(0))

	full := Usage{0, 0, 0, 200_000, 200_000, 200_000, 200_000, 90_000}
	c.Check(l.AdoptFromPeer(map[string]Usage{"w": full}, nil, time.Minute, now.Add(200*time.Millisecond)), qt.IsTrue)
	now = now.Add(200 * time.Millisecond)
	c.Check(l.accounts["w"].used.sum(), qt.Equals, 890_000.0)
	c.Check(l.Admit("w", 100_000, now).Admitted, qt.IsFalse)
	c.Check(l.CountedFor(now), qt.Equals, time.Minute)
	_, known = l.Usage(now)
	c.Check(known, qt.IsTrue)
	c.Check(l.AdoptFromPeer(map[string]Usage{}, nil, time.Hour, now), qt.IsFalse)
}

// TestStoodStillTakesNothingFromThoseThatDid guards against daemons that stalled together adopting
// each other's usage. If no report arrives for some intervals, nothing was used.
func TestStoodStillTakesNothingFromThoseThatDid(t *testing.T) {
	c := qt.New(t)
	l, now := newStalledLimiter(c, 50_000)
	now = now.Add(300 * time.Millisecond)
	c.Check(l.AdoptFromPeer(map[string]Usage{"w": {900_000}}, nil, 350*time.Millisecond, now), qt.IsFalse)
	c.Check(l.Admit("w", 6_000, now).Admitted, qt.IsFalse)
	now = now.Add(catchUpIntervals*150*time.Millisecond + catchUpMargin)
	c.Check(l.Admit("w", 6_000, now).Admitted, qt.IsTrue)
}

// TestStoodStillKeepsWhatItAdmittedSince guards against losing what a daemon admitted after a
// stall, which the usage of its peers does not contain yet.
func TestStoodStillKeepsWhatItAdmittedSince(t *testing.T) {
	c := qt.New(t)
	l, now := newStalledLimiter(c, 50_000)
	c.Check(l.Admit("w", 500, now).Admitted, qt.IsTrue)
	l.AdoptFromPeer(map[string]Usage{"w": {0, 0, 0, 0, 0, 0, 0, 60_000}}, nil, time.Minute, now)
	c.Check(l.accounts["w"].used.sum(), qt.Equals, 60_500.0)
}
