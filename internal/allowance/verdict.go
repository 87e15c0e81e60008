package allowance

import "time"

// newVerdict returns a Verdict with the values that the decision is based on.
func (l *Limiter) newVerdict(a *account, free float64, now time.Time) Verdict {
	return Verdict{
		Limit: a.limit, Used: a.used.sum(), Free: free, Unreported: l.unreported(a, now), OthersDemand: l.othersDemand(a, now),
		ReportAge: a.peers.reportAge(now), ReachableShare: l.reachableShare, Restored: a.restored, Class: noClass,
	}
}

// Verdict is the decision on a request, with the values it is based on. Without an allowance, only
// Admitted is set.
type Verdict struct {
	Admitted bool
	// ByChance is set if the request was admitted at random because the free tokens do not cover
	// everything that peers may have admitted.
	ByChance bool
	// At is when the request was admitted.
	At time.Time
	// RetryAfter is how long the caller of a refused request should wait before retrying. Zero means that a retry
	// within a window would hardly be admitted.
	RetryAfter time.Duration
	// Limit is what the workspace may use in a window, Used what it has used, Free what this daemon
	// may use, and Unreported what peers may have admitted since their last report, in tokens.
	Limit, Used, Free, Unreported float64
	// OthersDemand is the assumed demand at the other daemons, in tokens per second.
	OthersDemand float64
	// ReportAge is the time since the last report of peers, or zero before the first.
	ReportAge time.Duration
	// ReachableShare is the share of the known daemons that are reachable.
	ReachableShare float64
	// Class is the class of the request, and ByClass is set if the classes of all requests decide. Probability is that
	// of its admission, and EvenProbability what it would be without classes.
	Class                        Class
	ByClass                      bool
	Probability, EvenProbability float64
	// Restored is set once the usage before the start of this process is known.
	Restored bool
}
