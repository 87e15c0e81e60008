package backend

import (
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
)

const (
	// defaultDrainBound is how long a draining server may be sent requests if no bound is
	// configured.
	defaultDrainBound = 2 * time.Second
	// maxTransit bounds the time from the last check of a server to the arrival of the request.
	maxTransit = 150 * time.Millisecond
	// outageGrace is how long an entry that expired during an outage of the store is still used
	// after the store has recovered. Live servers register again within about two seconds.
	outageGrace = 2200 * time.Millisecond
)

// Observation says when this daemon received a change of the server list. NotBefore is the earliest
// time at which the store can have acknowledged the change: the last time at which the list was
// known not to contain it. NotBefore is zero if that is unknown.
type Observation struct{ ReceivedAt, NotBefore time.Time }

// Observed returns the observation of a change that the store acknowledged at the time of receipt.
func Observed(now time.Time) Observation { return Observation{ReceivedAt: now, NotBefore: now} }

// SetDrainBound sets how long a draining server may be sent requests, counted from the store's
// acknowledgement that it drains.
func (v *View) SetDrainBound(bound time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.drainBound = bound
}

// usableUntil returns the time up to which a draining server may be picked if no ready server is
// left. The bound is counted from the store's acknowledgement, because the observation may be late,
// and a daemon that has just started sees servers that began to drain long ago. The caller holds
// the lock.
func (v *View) usableUntil(seen Observation) time.Time {
	if seen.NotBefore.IsZero() {
		return time.Time{}
	}
	return seen.NotBefore.Add(v.drainBound - maxTransit)
}

// removeEntry marks a server whose entry was removed from the list. The caller holds the lock.
func (v *View) removeEntry(s *server, seen Observation) {
	clear(v.readyServers)
	s.listed = false
	until := v.usableUntil(seen)
	// An entry that was not seen since the outage may have expired during it.
	if grace := v.outageEnd.Add(outageGrace); !s.Draining && !seen.NotBefore.After(v.outageEnd) && grace.After(until) {
		until = grace
	}
	s.leave(seen.ReceivedAt, until)
}

// leave marks the server as leaving, usable as a last resort until the given time. A second call
// can only shorten the use.
func (s *server) leave(now, usableUntil time.Time) {
	switch {
	case s.leftAt.IsZero():
		s.leftAt, s.usableUntil = now, usableUntil
	case usableUntil.Before(s.usableUntil):
		s.usableUntil = usableUntil
	}
}

// leavingNoticeTTL is how long a server is avoided only because other daemons reported that it
// leaves. It is tried again afterwards: a server that does leave announces it to this daemon as
// well.
const leavingNoticeTTL = time.Minute

// recordLeavingAnnouncement records that a response received at the given time announced that the server
// leaves. The announcement overrides later entries, because the server may be unable to reach the
// store, and the lists of peers are older. The caller holds the lock.
func (v *View) recordLeavingAnnouncement(s *server, at, now time.Time) (changed bool) {
	if !s.leavingAnnouncedAt.IsZero() && !at.Before(s.leavingAnnouncedAt) {
		return false
	}
	changed = s.leavingAnnouncedAt.IsZero()
	s.leavingAnnouncedAt = at
	s.leave(now, at.Add(v.drainBound-maxTransit))
	s.expectEnd(at.Add(drainServiceTime))
	clear(v.readyServers)
	return changed
}

// LeavingNotices returns the announcements to report to other daemons. If there are too many for
// one report, turn selects the subset; it increases by one per report.
func (v *View) LeavingNotices(turn uint64, now time.Time) []advice.LeavingNotice {
	v.mu.Lock()
	defer v.mu.Unlock()
	var notices []advice.LeavingNotice
	for _, s := range v.servers {
		if !s.leavingAnnouncedAt.IsZero() && now.Sub(s.leavingAnnouncedAt) < leavingNoticeTTL {
			notices = append(notices, advice.LeavingNotice{Server: s.key, ReceivedAt: s.leavingAnnouncedAt})
		}
	}
	return rotatingSubset(notices, turn, func(n advice.LeavingNotice) uint32 { return n.Server })
}

// MergeLeavingNotices merges the announcements reported by another daemon. It returns the entries
// of the servers for which an announcement is new.
func (v *View) MergeLeavingNotices(notices []advice.LeavingNotice, now time.Time) (changed []Entry) {
	if len(notices) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.byKey()
	for _, n := range notices {
		s := known[n.Server]
		if s == nil || now.Sub(n.ReceivedAt) >= leavingNoticeTTL {
			continue
		}
		if v.recordLeavingAnnouncement(s, n.ReceivedAt, now) {
			s.peerReported = true
			changed = append(changed, s.Entry)
		}
	}
	return changed
}

// sweepLeavingNotices expires announcements that were only reported by other daemons. The caller
// holds the lock.
func (v *View) sweepLeavingNotices(now time.Time) {
	for _, s := range v.servers {
		if !s.peerReported || now.Sub(s.leavingAnnouncedAt) < leavingNoticeTTL {
			continue
		}
		s.leavingAnnouncedAt, s.peerReported = time.Time{}, false
		if s.listed && !s.Draining {
			s.leftAt, s.usableUntil, s.goneAt = time.Time{}, time.Time{}, time.Time{}
		}
		clear(v.readyServers)
	}
}

// MaySend reports whether the attempt may still be sent to its server. It is called when an attempt
// has waited for a connection, because the server may have left meanwhile.
func (c *Choice) MaySend(now time.Time) bool {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	if c.view.servers[c.ID] != c.server || c.server.Version != c.Version {
		return false
	}
	if c.lastResort && c.server.usableAsLastResort(now) {
		return true
	}
	return c.server.ready() || slices.Contains(c.view.eligibleServers(c.need.track(c.Candidate), now), c.server)
}

// Leaving reports whether the server has left or is about to, so that its process may exit once it
// has answered.
func (c *Choice) Leaving() bool {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	return c.view.servers[c.ID] != c.server || !c.server.ready()
}
