package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// compactionReportedFor is how long a daemon reports that the store has dropped its history. It
	// covers several reports.
	compactionReportedFor = 2 * time.Second
	// sameCompactionWithin is the maximum difference between the times at which daemons date the
	// same compaction.
	sameCompactionWithin = 300 * time.Millisecond
)

// handleCompaction lists all objects again and reports the compaction, so that the other daemons
// that follow the store do the same. Their watches may wait for changes that the store has dropped,
// without an error.
func (r *Router) handleCompaction() {
	r.state.recordCompaction(time.Now())
	r.relist()
	r.node.TriggerReport()
}

// handlePeerCompaction lists all objects again if a peer has detected a compaction that the watches
// of this daemon may have missed.
func (r *Router) handlePeerCompaction(status *gossippb.Status, now time.Time) {
	if !r.state.recordPeerCompaction(status, now) || !r.following.Load() {
		return
	}
	r.logger.Info("peer reports that the store was compacted, listing all objects again", "peer", status.GetVm())
	r.relist()
}

// recordCompaction records that the store has reported a compaction to this daemon.
func (s *state) recordCompaction(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.compactedAt) > sameCompactionWithin {
		s.compactedAt, s.compactionDetectedAt = now, now
	}
}

// compactionAgeMs returns how long ago this daemon detected a compaction, in milliseconds, or zero
// if that is longer ago than compactionReportedFor. The caller holds the lock.
func (s *state) compactionAgeMs(now time.Time) int64 {
	ago := now.Sub(s.compactionDetectedAt)
	if ago >= compactionReportedFor {
		return 0
	}
	return max(1, ago.Milliseconds())
}

// recordPeerCompaction records a compaction that a peer reports. It returns false if none is
// reported or it is already known.
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
