package discovery

import (
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// departureFor is how long a server that has said that it leaves gets nothing. One that still answers
// then is asked again, and says so again.
const departureFor = time.Minute

// departure is whether a server leaves by its own word, as of a time.
type departure struct {
	said bool
	at   time.Time
}

// takesWork reports whether new requests may be sent to a server.
func (s *server) takesWork(now time.Time) bool {
	saysLeaving := s.departure.said && now.Sub(s.departure.at) < departureFor
	return s.vm.State == vmlist.VMLive && !saysLeaving
}

// setDeparture takes over a later word; the caller holds the lock.
func (r *Registry) setDeparture(s *server, d departure) (changed bool) {
	known := d.said == s.departure.said && d.at.Sub(s.departure.at) < departureFor
	if known || !d.at.After(s.departure.at) {
		return false
	}
	s.departure = d
	r.wake()
	r.logger.Info("server's answer says whether it leaves", "server", s.vm.ID, "service", s.vm.Service, "leaves", d.said)
	return true
}

// adviseLeaving takes over that an answer says that the server leaves; the caller holds the lock.
func (r *Registry) adviseLeaving(s *server, a advice.Advice, answered time.Time) (changed bool) {
	return a.Leaving && r.setDeparture(s, departure{said: true, at: answered})
}

// Returned takes over that a server's process that had said that it leaves has been followed by
// another one.
func (r *Registry) Returned(id string, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && r.setDeparture(s, departure{at: now})
}

// SaysLeaving reports whether a server is passed over since it has said that it leaves.
func (r *Registry) SaysLeaving(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && s.vm.State == vmlist.VMLive && !s.takesWork(now)
}

// reportsDeparture reports whether other daemons are told of a server's word.
func (s *server) reportsDeparture(now time.Time) bool { return now.Sub(s.departure.at) < departureFor }
