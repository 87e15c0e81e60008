package backend

import "time"

const (
	// longPrefillShare is the prefill time, as a share of the request's target, above which other
	// daemons are notified of the prompt at once. Otherwise a request with the same target queues
	// behind it and loses much of its time. With a share of 0.05, callers were served worse than
	// without any notices.
	longPrefillShare = 0.3
	// noticeTTL is how long a notice counts. By then the load sums that include it have been
	// received.
	noticeTTL = 400 * time.Millisecond
)

// isLongPrefill reports whether the prefill of a prompt takes long compared with the request's
// target.
func isLongPrefill(prefill, target time.Duration) bool {
	return target > 0 && prefill > time.Duration(longPrefillShare*float64(target))
}

// peerNotices is the load that other daemons have announced for a server since the last load sums.
type peerNotices struct {
	// pending holds the prompt tokens that peers have pending on the server, including the announced
	// ones.
	pending   Load
	expiresAt time.Time
}

// RecordNotice records a prompt that another daemon has just sent to a server.
func (v *View) RecordNotice(key uint32, prompt Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.key == key {
			s.peerNotices = peerNotices{pending: s.peerPending(now).withPending(prompt), expiresAt: now.Add(noticeTTL)}
		}
	}
}

// peerPending returns the prompt tokens that other daemons have pending on the server. It is the
// larger of the load sums and the notices, because sums that include the announced prompts must not
// count them twice.
func (s *server) peerPending(now time.Time) Load {
	var pending Load
	if now.Sub(s.peerLoadAt) < peerLoadTTL {
		pending = pending.withPending(s.peerLoad)
	}
	if now.Before(s.peerNotices.expiresAt) && s.peerNotices.pending.PendingTokens > pending.PendingTokens {
		pending = s.peerNotices.pending
	}
	return pending
}
