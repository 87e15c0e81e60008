package allowance

import "time"

// newVerdict returns a verdict with what it is made on.
func (l *Limiter) newVerdict(a *account, free float64, now time.Time) Verdict {
	return Verdict{
		Limit: a.limit, Used: a.used.sum(), Free: free, Unreported: l.unreported(a, now), OthersDemand: l.othersDemand(a, now),
		ReportAge: a.peers.reportAge(now), ReachableShare: l.reachableShare, Restored: a.restored,
	}
}

// Verdict is a decision on a request, and what decided it. All but Admitted is zero where there is no
// allowance.
type Verdict struct {
	Admitted bool
	// ByChance is set for a request that was admitted by chance, since what is free does not suffice for
	// all that others may ask for.
	ByChance bool
	// At is when the request was admitted.
	At time.Time
	// RetryAfter is when a caller that is refused had better come back.
	RetryAfter time.Duration
	// Limit is what the workspace may use in a window, Used what it has, Free what this
	// daemon may count on and Unheard what others may have admitted since they were
	// heard, in tokens.
	Limit, Used, Free, Unreported float64
	// OthersDemand is how fast others are taken to be asked, in tokens a second.
	OthersDemand float64
	// ReportAge is the age of what others told last, or zero before they did.
	ReportAge time.Duration
	// ReachableShare is the part of the daemons that is heard.
	ReachableShare float64
	// Restored is set once what was used before the start is known.
	Restored bool
}
