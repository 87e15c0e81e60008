package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/route"
)

const (
	// liftedFor is how long a limit that has ended is reported: daemons that missed the answer
	// would keep it otherwise.
	liftedFor = 30 * time.Second
	// sameSighting is how much later an equal limit has to have been seen to replace a known one.
	// Reports age on their way, and would refresh each other for ever.
	sameSighting = time.Second
	// maxRecords bounds the limits in one report; others follow in the next ones.
	maxRecords = 64
)

// Limiter shares the limits that servers name among all daemons. Servers are named by their keys.
type Limiter interface {
	// SetLimit sets the number of requests a second for a server.
	SetLimit(server uint32, requestsPerSecond float64)
	// Lift ends the limit of a server, and Forget all that is known of it.
	Lift(server uint32)
	Forget(server uint32)
	// Admit counts a request that this daemon is about to send to a server, or says when one may
	// be sent.
	Admit(server uint32) (admitted time.Time, retryAfter time.Duration, ok bool)
	// Refund takes back a request that was not sent.
	Refund(server uint32, admitted time.Time)
	// Binds reports whether callers ask for more than a server's limit.
	Binds(server uint32) bool
}

// SetLimiter sets who shares the servers' limits. Without one they are not kept.
func (v *View) SetLimiter(limiter Limiter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.limiter = limiter
}

// Change is the effect of a response on what is known of a server.
type Change struct {
	// Before and After are its limits.
	Before, After advice.Limit
	// Leaves is set for the first response that announces that the server leaves.
	Leaves bool
}

// Advised merges the advice in the response to an attempt.
func (c *Choice) Advised(a advice.Advice, answered time.Time) Change {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	s := c.server
	change := Change{Before: s.limit, After: s.limit.Observe(a, c.begun, answered)}
	if c.view.servers[c.ID] != s {
		return change
	}
	c.view.setLimit(s, change.After)
	if a.Rest > 0 {
		s.restUntil = later(s.restUntil, answered.Add(a.Rest))
	}
	if a.Leaving {
		change.Leaves = c.view.announceLeaving(s, answered, answered)
		s.peerReported = false
	}
	return change
}

// NotSent gives back the part of the server's limit that the attempt took.
func (c *Choice) NotSent() {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	if c.admitted.IsZero() {
		return
	}
	c.view.limiter.Refund(c.server.key, c.admitted)
	c.admitted = time.Time{}
}

// setLimit applies a server's limit; the caller holds the lock.
func (v *View) setLimit(s *server, limit advice.Limit) {
	before := s.limit
	s.limit = limit
	if before.Named && !limit.Named {
		s.liftedAt = limit.At
	}
	if v.limiter == nil || limit.Same(before) {
		return
	}
	if limit.Named {
		v.limiter.SetLimit(s.key, limit.Rate)
		return
	}
	v.limiter.Lift(s.key)
}

// forgetLimit lets go of the limit of a server that is no more; the caller holds the lock.
func (v *View) forgetLimit(s *server) {
	if v.limiter != nil && (s.limit.Named || !s.liftedAt.IsZero()) {
		v.limiter.Forget(s.key)
	}
}

// sweepLimits forgets limits that have ended long ago; the caller holds the lock.
func (v *View) sweepLimits(now time.Time) {
	for _, s := range v.servers {
		if !s.liftedAt.IsZero() && !s.reportsLimit(now) {
			v.forgetLimit(s)
			s.liftedAt = time.Time{}
		}
	}
}

// reportsLimit reports whether a server's limit, or its end, is reported to other daemons.
func (s *server) reportsLimit(now time.Time) bool {
	return s.limit.Named || now.Sub(s.liftedAt) < liftedFor
}

// Limits returns what to report to other daemons of the servers' limits. Where there are many,
// turn picks those of one report.
func (v *View) Limits(turn uint64, now time.Time) []advice.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	var records []advice.Record
	for _, s := range v.servers {
		if s.reportsLimit(now) {
			records = append(records, advice.Record{Server: s.key, Limit: s.limit})
		}
	}
	return inTurn(records, turn, func(r advice.Record) uint32 { return r.Server })
}

// inTurn returns all of few records, and of many those whose turn it is.
func inTurn[R any](records []R, turn uint64, server func(R) uint32) []R {
	if len(records) <= maxRecords {
		return records
	}
	slices.SortFunc(records, func(a, b R) int { return cmp.Compare(server(a), server(b)) })
	first := int(turn * maxRecords % uint64(len(records)))
	return append(records, records...)[first : first+maxRecords]
}

// byKey returns the servers by their keys. The index is kept until one comes or goes: reports of many
// daemons name servers. The caller holds the lock.
func (v *View) byKey() map[uint32]*server {
	if v.keyed != nil {
		return v.keyed
	}
	v.keyed = make(map[uint32]*server, len(v.servers))
	for _, s := range v.servers {
		v.keyed[s.key] = s
	}
	return v.keyed
}

// LimitedKeys returns the keys of all servers that have a limit, or had one lately.
func (v *View) LimitedKeys(now time.Time) map[uint32]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	keys := map[uint32]bool{}
	for _, s := range v.servers {
		if s.reportsLimit(now) {
			keys[s.key] = true
		}
	}
	return keys
}

// MergeLimits merges what another daemon reports of the servers' limits, and returns the entries
// and limits of those that have changed.
func (v *View) MergeLimits(records []advice.Record) (changed []ServerLimit) {
	if len(records) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.byKey()
	for _, r := range records {
		s := known[r.Server]
		if s == nil || r.Same(s.limit) && r.At.Before(s.limit.At.Add(sameSighting)) {
			continue
		}
		merged := s.limit.Merge(r.Limit)
		if !merged.Same(s.limit) {
			changed = append(changed, ServerLimit{Entry: s.Entry, Before: s.limit, Limit: merged})
		}
		v.setLimit(s, merged)
	}
	return changed
}

// ServerLimit is a change of a server's limit.
type ServerLimit struct {
	Entry
	Before, Limit advice.Limit
}

// admit picks a server that may get one more request, and counts it. Servers at their limits are
// passed over. The caller holds the lock.
func (v *View) admit(offers []route.Server, need route.Need, now time.Time) (route.Choice, time.Time, bool) {
	for {
		picked, ok := route.Pick(offers, need)
		if !ok {
			return route.Choice{}, time.Time{}, false
		}
		s := v.servers[picked.Server.ID]
		if !s.limit.Named || v.limiter == nil {
			return picked, time.Time{}, true
		}
		admitted, retryAfter, ok := v.limiter.Admit(s.key)
		if ok {
			return picked, admitted, true
		}
		s.againAt = now.Add(retryAfter)
		exclude(offers, picked.Server.ID)
	}
}

// exclude keeps a server from being picked.
func exclude(offers []route.Server, id string) {
	for i := range offers {
		if offers[i].ID == id {
			offers[i].Leaving = true
		}
	}
}

// Again returns how long it takes until one of a service's servers may get a request, where they
// rest or are at their limits, and false where it has no server at all.
func (v *View) Again(need Need, now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers, _ := v.sideOf(need, now)
	if len(servers) == 0 {
		return 0, false
	}
	first := servers[0].mayGetAt()
	for _, s := range servers[1:] {
		if at := s.mayGetAt(); at.Before(first) {
			first = at
		}
	}
	return max(0, first.Sub(now)), true
}

// mayGetAt returns when a server that was passed over may get a request.
func (s *server) mayGetAt() time.Time { return later(s.againAt, s.restUntil) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
