package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/route"
)

const (
	// liftedReportTTL is how long a limit that has ended is reported: daemons that missed the answer
	// would keep it otherwise.
	liftedReportTTL = 30 * time.Second
	// minRefreshInterval is how much later an equal limit has to have been seen to replace a known one.
	// Reports age on their way, and would refresh each other for ever.
	minRefreshInterval = time.Second
	// maxReportRecords bounds the limits in one report; others follow in the next ones.
	maxReportRecords = 64
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

// AdviceChange is the effect of a response on what is known of a server.
type AdviceChange struct {
	// Before and After are its limits.
	Before, After advice.Limit
	// LeavingAnnounced is set for the first response that announces that the server leaves.
	LeavingAnnounced bool
}

// ApplyAdvice merges the advice in the response to an attempt.
func (c *Choice) ApplyAdvice(a advice.Advice, answered time.Time) AdviceChange {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	s := c.server
	change := AdviceChange{Before: s.limit, After: s.limit.Observe(a, c.startedAt, answered)}
	if c.view.servers[c.ID] != s {
		return change
	}
	c.view.setLimit(s, change.After)
	if a.RetryAfter > 0 {
		s.backoffUntil = later(s.backoffUntil, answered.Add(a.RetryAfter))
	}
	if a.Leaving {
		change.LeavingAnnounced = c.view.announceLeaving(s, answered, answered)
		s.peerReported = false
	}
	return change
}

// RefundAdmission gives back the part of the server's limit that the attempt took.
func (c *Choice) RefundAdmission() {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	if c.admittedAt.IsZero() {
		return
	}
	c.view.limiter.Refund(c.server.key, c.admittedAt)
	c.admittedAt = time.Time{}
}

// setLimit applies a server's limit; the caller holds the lock.
func (v *View) setLimit(s *server, limit advice.Limit) {
	before := s.limit
	s.limit = limit
	if before.Limited && !limit.Limited {
		s.liftedAt = limit.ObservedAt
	}
	if v.limiter == nil || limit.Equivalent(before) {
		return
	}
	if limit.Limited {
		v.limiter.SetLimit(s.key, limit.Rate)
		return
	}
	v.limiter.Lift(s.key)
}

// forgetLimit lets go of the limit of a server that is no more; the caller holds the lock.
func (v *View) forgetLimit(s *server) {
	if v.limiter != nil && (s.limit.Limited || !s.liftedAt.IsZero()) {
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
	return s.limit.Limited || now.Sub(s.liftedAt) < liftedReportTTL
}

// Limits returns what to report to other daemons of the servers' limits. Where there are many,
// turn picks those of one report.
func (v *View) Limits(turn uint64, now time.Time) []advice.LimitRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	var records []advice.LimitRecord
	for _, s := range v.servers {
		if s.reportsLimit(now) {
			records = append(records, advice.LimitRecord{Server: s.key, Limit: s.limit})
		}
	}
	return rotatingSubset(records, turn, func(r advice.LimitRecord) uint32 { return r.Server })
}

// rotatingSubset returns all of few records, and of many those whose turn it is.
func rotatingSubset[R any](records []R, turn uint64, server func(R) uint32) []R {
	if len(records) <= maxReportRecords {
		return records
	}
	slices.SortFunc(records, func(a, b R) int { return cmp.Compare(server(a), server(b)) })
	first := int(turn * maxReportRecords % uint64(len(records)))
	return append(records, records...)[first : first+maxReportRecords]
}

// byKey returns the servers by their keys. The index is kept until one comes or goes: reports of many
// daemons name servers. The caller holds the lock.
func (v *View) byKey() map[uint32]*server {
	if v.keyIndex != nil {
		return v.keyIndex
	}
	v.keyIndex = make(map[uint32]*server, len(v.servers))
	for _, s := range v.servers {
		v.keyIndex[s.key] = s
	}
	return v.keyIndex
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
func (v *View) MergeLimits(records []advice.LimitRecord) (changed []ServerLimit) {
	if len(records) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.byKey()
	for _, r := range records {
		s := known[r.Server]
		if s == nil || r.Equivalent(s.limit) && r.ObservedAt.Before(s.limit.ObservedAt.Add(minRefreshInterval)) {
			continue
		}
		merged := s.limit.Merge(r.Limit)
		if !merged.Equivalent(s.limit) {
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
		if !s.limit.Limited || v.limiter == nil {
			return picked, time.Time{}, true
		}
		admitted, retryAfter, ok := v.limiter.Admit(s.key)
		if ok {
			return picked, admitted, true
		}
		s.admissibleAt = now.Add(retryAfter)
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

// RetryAfter returns how long it takes until one of a service's servers may get a request, where they
// rest or are at their limits, and false where it has no server at all.
func (v *View) RetryAfter(need Need, now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers, _ := v.trackServers(need, now)
	if len(servers) == 0 {
		return 0, false
	}
	first := servers[0].availableAt()
	for _, s := range servers[1:] {
		if at := s.availableAt(); at.Before(first) {
			first = at
		}
	}
	return max(0, first.Sub(now)), true
}

// availableAt returns when a server that was passed over may get a request.
func (s *server) availableAt() time.Time { return later(s.admissibleAt, s.backoffUntil) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
