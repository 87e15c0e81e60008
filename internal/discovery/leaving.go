package discovery

import (
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// leavingNoticeTTL is how long a server is avoided after it has announced that it leaves. After that it is
// tried again.
const leavingNoticeTTL = time.Minute

// leavingState is whether a server has announced that it leaves, as of a time.
type leavingState struct {
	announced bool
	at        time.Time
}

// acceptsRequests reports whether new requests may be sent to a server.
func (s *server) acceptsRequests(now time.Time) bool {
	leaves := s.leaving.announced && now.Sub(s.leaving.at) < leavingNoticeTTL
	return s.vm.State == vmlist.VMLive && !leaves
}

// setLeaving applies a later state; the caller holds the lock.
func (r *Registry) setLeaving(s *server, d leavingState) (changed bool) {
	known := d.announced == s.leaving.announced && d.at.Sub(s.leaving.at) < leavingNoticeTTL
	if known || !d.at.After(s.leaving.at) {
		return false
	}
	s.leaving = d
	r.notifyChanged()
	r.logger.Info("server leaves by its own announcement", "server", s.vm.ID, "service", s.vm.Service, "leaves", d.announced)
	return true
}

// recordLeavingAnnouncement applies the announcement in a response; the caller holds the lock.
func (r *Registry) recordLeavingAnnouncement(s *server, a advice.Advice, answered time.Time) (changed bool) {
	return a.Leaving && r.setLeaving(s, leavingState{announced: true, at: answered})
}

// RecordRestart records that another process has taken the place of a server that left.
func (r *Registry) RecordRestart(id string, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && r.setLeaving(s, leavingState{at: now})
}

// AnnouncedLeaving reports whether a server is avoided since it has announced that it leaves.
func (r *Registry) AnnouncedLeaving(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && s.vm.State == vmlist.VMLive && !s.acceptsRequests(now)
}

// reportsLeaving reports whether the state is reported to other daemons.
func (s *server) reportsLeaving(now time.Time) bool { return now.Sub(s.leaving.at) < leavingNoticeTTL }
