package discovery

import (
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// leavingNoticeTTL is how long a server is avoided after it announced that it leaves. After that,
// the server is tried again.
const leavingNoticeTTL = time.Minute

// leavingState is whether a server has announced that it leaves, and when this was observed.
type leavingState struct {
	announced bool
	at        time.Time
}

// acceptsRequests reports whether new requests may be sent to a server.
func (s *server) acceptsRequests(now time.Time) bool {
	leaving := s.leaving.announced && now.Sub(s.leaving.at) < leavingNoticeTTL
	return s.vm.State == vmlist.VMLive && !leaving
}

// setLeaving applies a leaving state if it is newer than the current one. The caller must hold the
// lock.
func (r *Registry) setLeaving(s *server, state leavingState) (changed bool) {
	known := state.announced == s.leaving.announced && state.at.Sub(s.leaving.at) < leavingNoticeTTL
	if known || !state.at.After(s.leaving.at) {
		return false
	}
	s.leaving = state
	r.notifyChanged()
	r.logger.Info("server leaves by its own announcement", "server", s.vm.ID, "service", s.vm.Service, "leaves", state.announced)
	return true
}

// recordLeavingAnnouncement applies the leaving announcement of a response. The caller must hold
// the lock.
func (r *Registry) recordLeavingAnnouncement(s *server, a advice.Advice, answered time.Time) (changed bool) {
	return a.Leaving && r.setLeaving(s, leavingState{announced: true, at: answered})
}

// RecordRestart records that a new process has replaced a server that left.
func (r *Registry) RecordRestart(id string, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && r.setLeaving(s, leavingState{at: now})
}

// AnnouncedLeaving reports whether a live server is avoided because it announced that it leaves.
func (r *Registry) AnnouncedLeaving(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && s.vm.State == vmlist.VMLive && !s.acceptsRequests(now)
}

// reportsLeaving reports whether the leaving state is still reported to other daemons.
func (s *server) reportsLeaving(now time.Time) bool { return now.Sub(s.leaving.at) < leavingNoticeTTL }
