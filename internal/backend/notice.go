package backend

import "time"

const (
	// largeShare times a request's target is the reading time above which other daemons
	// are told of its prompt at once: behind it a request with the same target has lost
	// much of its time. Trials on the newest users' days, 4 seeds: 0.05 0.515, 0.15 0.533,
	// 0.3 0.538, none 0.532.
	largeShare = 0.3
	// noticeFor is how long a notice counts: until the sums that hold it have come.
	noticeFor = 400 * time.Millisecond
)

// isLarge reports whether a prompt keeps an engine reading for long, for its target.
func isLarge(reading, target time.Duration) bool {
	return target > 0 && reading > time.Duration(largeShare*float64(target))
}

// notices are what other daemons have sent to a server since the last sums.
type notices struct {
	// pending is what others have pending there, in prompt tokens, with what they have
	// told of at once.
	pending int
	until   time.Time
}

// Noticed takes over what another daemon has just sent to a server.
func (v *View) Noticed(key uint32, tokens int, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.key == key {
			s.notices = notices{pending: s.othersPending(now) + max(0, tokens), until: now.Add(noticeFor)}
		}
	}
}

// othersPending returns the prompt tokens that others have pending at the server. Sums
// that hold what was told at once are higher than it.
func (s *server) othersPending(now time.Time) int {
	pending := 0
	if now.Sub(s.remoteAt) < remoteFor {
		pending = max(0, s.remote.PendingTokens)
	}
	if now.Before(s.notices.until) {
		pending = max(pending, s.notices.pending)
	}
	return pending
}
