package backend

import "time"

const (
	// longPrefillShare times a request's target is the reading time above which other daemons
	// are told of its prompt at once: behind it a request with the same target has lost
	// much of its time. Trials on the newest users' days, 4 seeds: 0.05 0.515, 0.15 0.533,
	// 0.3 0.538, none 0.532.
	longPrefillShare = 0.3
	// noticeTTL is how long a notice counts: until the sums that hold it have come.
	noticeTTL = 400 * time.Millisecond
)

// isLongPrefill reports whether a prompt keeps an engine reading for long, for its target.
func isLongPrefill(reading, target time.Duration) bool {
	return target > 0 && reading > time.Duration(longPrefillShare*float64(target))
}

// peerNotices are what other daemons have sent to a server since the last sums.
type peerNotices struct {
	// pendingTokens is what others have pending there, in prompt tokens, with what they have
	// told of at once.
	pendingTokens int
	expiresAt     time.Time
}

// RecordNotice takes over what another daemon has just sent to a server.
func (v *View) RecordNotice(key uint32, tokens int, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.key == key {
			s.peerNotices = peerNotices{pendingTokens: s.peerPendingTokens(now) + max(0, tokens), expiresAt: now.Add(noticeTTL)}
		}
	}
}

// peerPendingTokens returns the prompt tokens that others have pending at the server. Sums
// that hold what was told at once are higher than it.
func (s *server) peerPendingTokens(now time.Time) int {
	pending := 0
	if now.Sub(s.peerLoadAt) < peerLoadTTL {
		pending = max(0, s.peerLoad.PendingTokens)
	}
	if now.Before(s.peerNotices.expiresAt) {
		pending = max(pending, s.peerNotices.pendingTokens)
	}
	return pending
}
