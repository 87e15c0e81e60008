package allowance

import "time"

const (
	// StallThreshold is the shortest stall of this process after which its usage data is out of
	// date. Without reports, peers are extrapolated for the same time.
	StallThreshold = maxExtrapolation
	// catchUpIntervals is the number of report intervals after which a stalled process has received
	// what it missed: one each for its own report, for that of another zone's leader, and for that of
	// its own zone's leader. catchUpMargin covers transmission times and one lost report.
	catchUpIntervals = 3
	catchUpMargin    = 300 * time.Millisecond
	// minCountedAdvantage is how much longer than this process another daemon must have counted for
	// its usage to be adopted. Daemons that start together are about 0.3 s apart. When only a leader
	// that had been running for 3 s longer was accepted, daemons that started 2.5 s after the only
	// survivor used an outdated snapshot. A workspace whose demand had jumped then used up to 1.09
	// of the bound in a simulated day, and 1.9 in TestOnlyDaemonLeftHasJustStarted.
	minCountedAdvantage = time.Second
)

// ResumeAfterStall marks the usage data as out of date. It must be called when this process has not
// run for StallThreshold or longer, because it was paused or its VM suspended. No report covers the
// usage in between: the previous source may have stalled as well, and another source reports only
// increases. As after a start, the process therefore admits little until it receives the usage.
// When daemons went on with their own data and extrapolated peers for 1.5 s, a stall of four of
// eight let a workspace whose demand had jumped use 1.14 of the bound
// (TestPausedDaemonsStayWithin).
func (l *Limiter) ResumeAfterStall(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countingSince, l.resumedAt = now, now
	for _, a := range l.accounts {
		a.adopted, a.spentAtResume = false, a.spent
	}
}

// catchingUp reports whether this process has stalled and may still receive what it missed. If all
// daemons stalled, nothing was used and no such report arrives.
func (l *Limiter) catchingUp(now time.Time) bool {
	return !l.resumedAt.IsZero() && now.Sub(l.resumedAt) < catchUpIntervals*l.reportInterval+catchUpMargin
}

// CountedFor returns how long the usage has been counted without a gap, by this process or by the
// daemon that it adopted the usage from.
func (l *Limiter) CountedFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.countingSince)
}

// AdoptFromPeer adopts the usage and demand of a peer that has counted for the given time. It does
// so, and returns true, only if this process has not counted long enough itself and the peer has
// counted for longer.
func (l *Limiter) AdoptFromPeer(usage map[string]Usage, demand map[string]float64, counted time.Duration, now time.Time) bool {
	own := l.CountedFor(now)
	if own >= settleTimeout || counted < own+minCountedAdvantage {
		return false
	}
	l.AdoptUsage(usage, demand, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countingSince, l.resumedAt = now.Add(-counted), time.Time{}
	return true
}
