package backend

import (
	"slices"
	"time"
)

const (
	// startLeaving is how long a server that leaves may be sent requests where nothing is set.
	startLeaving = 2 * time.Second
	// onTheWay is how long a request takes at the most from its last look at the server until it
	// arrives there.
	onTheWay = 150 * time.Millisecond
	// afterOutage is how long an entry that lapsed during an outage of the
	// store is still used after the store's return: live servers are back
	// within about two seconds.
	afterOutage = 2200 * time.Millisecond
)

// News is when this daemon heard something of the servers, and when the store can have taken it
// over at the earliest: when it was last known to say otherwise. Where that is not known, it may
// have been long ago.
type News struct{ At, Since time.Time }

// JustNow is what the store has taken over at the moment at which it is heard.
func JustNow(now time.Time) News { return News{At: now, Since: now} }

// SetLeaving sets how long a server that leaves may be sent requests, from when the store has
// taken over that it does.
func (v *View) SetLeaving(bound time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = bound
}

// usableUntil returns until when a server of which it is news that it leaves may be sent requests
// where there is no other. The bound counts from the store's word and not from when it was heard:
// news may be late, and a daemon that has just started sees servers that have drained for long.
// The caller holds the lock.
func (v *View) usableUntil(news News) time.Time {
	if news.Since.IsZero() {
		return time.Time{}
	}
	return news.Since.Add(v.leaving - onTheWay)
}

// lapse marks a server whose entry is gone.
func (v *View) lapse(s *server, news News) {
	clear(v.inService)
	s.listed = false
	until := v.usableUntil(news)
	// It may have lapsed during the outage if it was not seen since.
	if grace := v.outageEnd.Add(afterOutage); !s.Draining && !news.Since.After(v.outageEnd) && grace.After(until) {
		until = grace
	}
	s.leave(news.At, until)
}

// leave marks the server as leaving, usable as a last resort until a time.
func (s *server) leave(now, usableUntil time.Time) {
	if s.leftAt.IsZero() {
		s.leftAt, s.usableUntil = now, usableUntil
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
	return c.server.ready() || slices.Contains(c.view.candidates(side{c.need.Service, c.Candidate}, now), c.server)
}
