package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// historyGoneFor is how long a daemon reports that the store has dropped its history: several
	// reports.
	historyGoneFor = 2 * time.Second
	// sameCompaction is how far apart daemons may date the same loss of history.
	sameCompaction = 300 * time.Millisecond
)

// findHistoryGone lists anew and lets the others that follow the store do so: their watches may wait
// for changes that the store has dropped, and notice nothing.
func (r *Router) findHistoryGone() {
	r.state.foundHistoryGone(time.Now())
	r.relist()
	r.node.TriggerReport()
}

// followHistoryGone lists anew where a peer has found the history gone and this daemon's watches may
// not have noticed.
func (r *Router) followHistoryGone(status *gossippb.Status, now time.Time) {
	if !r.state.hearHistoryGone(status, now) || !r.following.Load() {
		return
	}
	r.logger.Info("history of the store is gone, as a peer has found, listing anew", "peer", status.GetVm())
	r.relist()
}

// foundHistoryGone notes that the store has told this daemon that its history is gone.
func (s *state) foundHistoryGone(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.historyGoneAt) > sameCompaction {
		s.historyGoneAt, s.historyGoneFoundAt = now, now
	}
}

// tellHistoryGone returns how long ago this daemon found the history gone, in milliseconds, or zero
// where that is not lately. The caller holds the lock.
func (s *state) tellHistoryGone(now time.Time) int64 {
	ago := now.Sub(s.historyGoneFoundAt)
	if ago >= historyGoneFor {
		return 0
	}
	return max(1, ago.Milliseconds())
}

// hearHistoryGone reports whether a peer reports a loss of history that this daemon does not know of.
func (s *state) hearHistoryGone(status *gossippb.Status, now time.Time) bool {
	ms := status.GetHistoryGoneMs()
	if ms <= 0 || ms > historyGoneFor.Milliseconds() {
		return false
	}
	at := now.Add(-time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Sub(s.historyGoneAt) <= sameCompaction {
		return false
	}
	s.historyGoneAt = at
	return true
}
