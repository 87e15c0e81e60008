package allowance

import "time"

const (
	// StallThreshold is the shortest time without a step of this process after which it does not
	// know any more what was used: others are reckoned to go on for as long without being heard.
	StallThreshold = maxExtrapolation
	// catchUpIntervals is the number of rounds of reports in which a process that stood still is told
	// what it missed: its own, that of the lead of another zone, and that of its own zone's lead.
	// catchUpMargin is added for their ways and one that is lost.
	catchUpIntervals = 3
	catchUpMargin    = 300 * time.Millisecond
	// minCountedAdvantage is how much longer another daemon has to have counted what the workspaces use for
	// that to be taken over: those that start together are some 0.3 s apart. When only a lead that
	// had been running for 3 s longer was believed, daemons that started 2.5 s after the only one
	// that was left went by a record of before: a workspace that had become hot used up to 1.09 of
	// what the rule allows on a played day, 1.9 in TestOnlyDaemonLeftHasJustStarted.
	minCountedAdvantage = time.Second
)

// ResumeAfterStall notes that this process has done nothing for StallThreshold or longer, since it was
// paused or its VM suspended. What others used meanwhile nobody tells it: who told it before may
// have stood still too, and another one tells what is new. So it is as after a start: until
// somebody tells what was used, it admits little. Four of eight daemons that went by what they
// knew, and by the rate of before over 1.5 s, let a workspace that had become hot use 1.14 of what
// the rule allows (TestPausedDaemonsStayWithin).
func (l *Limiter) ResumeAfterStall(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countingSince, l.resumedAt = now, now
	for _, a := range l.accounts {
		a.adopted, a.spentAtResume = false, a.spent
	}
}

// catchingUp reports whether this process stood still and may yet be told what it missed. Where
// all stood still nobody tells, and nothing was used.
func (l *Limiter) catchingUp(now time.Time) bool {
	return !l.resumedAt.IsZero() && now.Sub(l.resumedAt) < catchUpIntervals*l.reportInterval+catchUpMargin
}

// CountedFor returns for how long this process, or those that it took that over from, have counted
// what the workspaces use.
func (l *Limiter) CountedFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.countingSince)
}

// AdoptFromPeer takes over what a daemon tells that has counted what the workspaces use for a time,
// if this process lacks it and that one has counted for longer.
func (l *Limiter) AdoptFromPeer(uses map[string]Usage, asked map[string]float64, counted time.Duration, now time.Time) bool {
	own := l.CountedFor(now)
	if own >= settleTimeout || counted < own+minCountedAdvantage {
		return false
	}
	l.AdoptUsage(uses, asked, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countingSince, l.resumedAt = now.Add(-counted), time.Time{}
	return true
}
