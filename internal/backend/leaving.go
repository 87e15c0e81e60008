package backend

import (
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
)

const (
	// defaultDrainBound is how long a draining server may be sent requests where nothing is set.
	defaultDrainBound = 2 * time.Second
	// maxTransit bounds the time from the last check of a server to the arrival of the request.
	maxTransit = 150 * time.Millisecond
	// outageGrace is how long an entry that lapsed during an outage of the
	// store is still used after the store's return: live servers are back
	// within about two seconds.
	outageGrace = 2200 * time.Millisecond
)

// Observation is when this daemon received a change of the servers, and the earliest time at which
// the store can have acknowledged it: when it was last known to say otherwise. NotBefore is zero
// where that is not known.
type Observation struct{ ReceivedAt, NotBefore time.Time }

// Observed is the observation of a change that the store acknowledges at the time it is received.
func Observed(now time.Time) Observation { return Observation{ReceivedAt: now, NotBefore: now} }

// SetDrainBound sets how long a draining server may be sent requests after the store has acknowledged
// that it drains.
func (v *View) SetDrainBound(bound time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.drainBound = bound
}

// usableUntil returns the time up to which a draining server may be picked if no ready server is left.
// The bound counts from the store's acknowledgement: an observation may be late, and a daemon that has
// just started sees servers that have drained for long. The caller holds the lock.
func (v *View) usableUntil(seen Observation) time.Time {
	if seen.NotBefore.IsZero() {
		return time.Time{}
	}
	return seen.NotBefore.Add(v.drainBound - maxTransit)
}

// removeEntry marks a server whose entry is gone.
func (v *View) removeEntry(s *server, seen Observation) {
	clear(v.inService)
	s.listed = false
	until := v.usableUntil(seen)
	// It may have lapsed during the outage if it was not seen since.
	if grace := v.outageEnd.Add(outageGrace); !s.Draining && !seen.NotBefore.After(v.outageEnd) && grace.After(until) {
		until = grace
	}
	s.leave(seen.ReceivedAt, until)
}

// leave marks the server as leaving, usable as a last resort until a time.
func (s *server) leave(now, usableUntil time.Time) {
	switch {
	case s.leftAt.IsZero():
		s.leftAt, s.usableUntil = now, usableUntil
	case usableUntil.Before(s.usableUntil):
		s.usableUntil = usableUntil
	}
}

// leavingNoticeTTL is how long a server is avoided on the reports of other daemons alone. After that it
// is tried again, and a server that does leave announces it to this daemon as well.
const leavingNoticeTTL = time.Minute

// announceLeaving records that the server announced in a response received at a time that it leaves. The
// announcement overrides later entries: the store may be unreachable for the server, and peers' lists are
// older. The caller holds the lock.
func (v *View) announceLeaving(s *server, at, now time.Time) (changed bool) {
	if !s.leavingAnnouncedAt.IsZero() && !at.Before(s.leavingAnnouncedAt) {
		return false
	}
	changed = s.leavingAnnouncedAt.IsZero()
	s.leavingAnnouncedAt = at
	s.leave(now, at.Add(v.drainBound-maxTransit))
	clear(v.inService)
	return changed
}

// LeavingNotices returns the announcements to report to other daemons. Of many, turn picks those of one
// report.
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

// MergeLeavingNotices merges the announcements that another daemon reports, and returns the entries of
// servers for which they are new.
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
		if v.announceLeaving(s, n.ReceivedAt, now) {
			s.peerReported = true
			changed = append(changed, s.Entry)
		}
	}
	return changed
}

// sweepLeavingNotices expires announcements that only other daemons have received; the caller holds the
// lock.
func (v *View) sweepLeavingNotices(now time.Time) {
	for _, s := range v.servers {
		if !s.peerReported || now.Sub(s.leavingAnnouncedAt) < leavingNoticeTTL {
			continue
		}
		s.leavingAnnouncedAt, s.peerReported = time.Time{}, false
		if s.listed && !s.Draining {
			s.leftAt, s.usableUntil = time.Time{}, time.Time{}
		}
		clear(v.inService)
	}
}

// MaySend reports whether the attempt may still be sent to its server: one that has waited for a
// connection is looked at again.
func (c *Choice) MaySend(now time.Time) bool {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	if c.view.servers[c.ID] != c.server {
		return false
	}
	if c.lastResort && c.server.usableAsLastResort(now) {
		return true
	}
	return c.server.ready() || slices.Contains(c.view.eligibleServers(track{c.need.Service, c.Candidate}, now), c.server)
}
