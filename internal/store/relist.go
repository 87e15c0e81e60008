package store

import "time"

// minRelistInterval is the minimum time between two lists because of events that cannot be decoded. A
// list costs a call for each page.
const minRelistInterval = 5 * time.Second

// relistSchedule decides when events that cannot be decoded cause a list. The first ones do at once,
// the next ones after minRelistInterval.
type relistSchedule struct {
	// due is when the next list is due, or zero.
	due time.Time
	// last is when such a list was last made.
	last time.Time
}

// request requests a list because of events that cannot be decoded.
func (r *relistSchedule) request(now time.Time) {
	if r.due.IsZero() {
		r.due = now
		if next := r.last.Add(minRelistInterval); !r.last.IsZero() && next.After(now) {
			r.due = next
		}
	}
}

// isDue reports whether a requested list is due.
func (r *relistSchedule) isDue(now time.Time) bool { return !r.due.IsZero() && !now.Before(r.due) }

// listed records a list, which includes what a requested one would.
func (r *relistSchedule) listed(now time.Time) {
	if !r.due.IsZero() {
		r.due, r.last = time.Time{}, now
	}
}

// limit shortens the wait of a watch so that it ends when a list is due.
func (r *relistSchedule) limit(wait time.Duration, now time.Time) time.Duration {
	if r.due.IsZero() {
		return wait
	}
	return max(0, min(wait, r.due.Sub(now)))
}
