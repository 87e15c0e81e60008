package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// compactionReportedFor is how long a daemon reports that the store has dropped its history: several
	// reports.
	compactionReportedFor = 2 * time.Second
	// sameCompactionWithin is how far apart daemons may date the same loss of history.
	sameCompactionWithin = 300 * time.Millisecond
)

// handleCompaction lists anew and lets the others that follow the store do so: their watches may wait
// for changes that the store has dropped, and notice nothing.
func (r *Router) handleCompaction() {
	r.state.recordCompaction(time.Now())
	r.relist()
	r.node.TriggerReport()
}

// handlePeerCompaction lists anew where a peer has found the history gone and this daemon's watches may
// not have noticed.
func (r *Router) handlePeerCompaction(status *gossippb.Status, now time.Time) {
	if !r.state.recordPeerCompaction(status, now) || !r.following.Load() {
		return
	}
	r.logger.Info("history of the store is gone, as a peer has found, listing anew", "peer", status.GetVm())
	r.relist()
}

// recordCompaction notes that the store has told this daemon that its history is gone.
func (s *state) recordCompaction(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.compactedAt) > sameCompactionWithin {
		s.compactedAt, s.compactionDetectedAt = now, now
	}
}

// compactionAgeMs returns how long ago this daemon found the history gone, in milliseconds, or zero
// where that is not lately. The caller holds the lock.
func (s *state) compactionAgeMs(now time.Time) int64 {
	ago := now.Sub(s.compactionDetectedAt)
	if ago >= compactionReportedFor {
		return 0
	}
	return max(1, ago.Milliseconds())
}

// recordPeerCompaction reports whether a peer reports a loss of history that this daemon does not know of.
func (s *state) recordPeerCompaction(status *gossippb.Status, now time.Time) bool {
	ms := status.GetHistoryGoneMs()
	if ms <= 0 || ms > compactionReportedFor.Milliseconds() {
		return false
	}
	at := now.Add(-time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Sub(s.compactedAt) <= sameCompactionWithin {
		return false
	}
	s.compactedAt = at
	return true
}
