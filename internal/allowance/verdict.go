package allowance

import "time"

// describe returns a verdict with what it is made on.
func (l *Limiter) describe(a *account, free float64, now time.Time) Verdict {
	return Verdict{
		Limit: a.limit, Used: a.used.sum(), Free: free, Unheard: l.unheard(a, now), Asked: l.asked(a, now),
		HeardAgo: a.others.heardAgo(now), Share: l.share, Opened: a.opened,
	}
}

// Verdict is a decision on a request, and what decided it. All but Admitted is zero where there is no
// allowance.
type Verdict struct {
	Admitted bool
	// Drawn is set for a request that was admitted by chance, since what is free does not suffice for
	// all that others may ask for.
	Drawn bool
	// At is when the request was admitted.
	At time.Time
	// RetryAfter is when a caller that is refused had better come back.
	RetryAfter time.Duration
	// Limit is what the workspace may use in a window, Used what it has, Free what this
	// daemon may count on and Unheard what others may have admitted since they were
	// heard, in tokens.
	Limit, Used, Free, Unheard float64
	// Asked is how fast others are taken to be asked, in tokens a second.
	Asked float64
	// HeardAgo is the age of what others told last, or zero before they did.
	HeardAgo time.Duration
	// Share is the part of the daemons that is heard.
	Share float64
	// Opened is set once what was used before the start is known.
	Opened bool
}
