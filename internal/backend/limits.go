package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/route"
)

const (
	// liftedReportTTL is how long the end of a limit is reported. Otherwise daemons that did not
	// receive the response would keep the limit.
	liftedReportTTL = 30 * time.Second
	// minRefreshInterval is how much newer an equal limit must be to replace a known one. Ages in
	// reports don't include the time in transit, so that a limit seems slightly newer at each
	// receiver, and daemons would refresh each other's limits forever.
	minRefreshInterval = time.Second
	// maxReportRecords bounds the records in one report. The others follow in the next reports.
	maxReportRecords = 64
)

// Limiter enforces the servers' request limits jointly over all daemons. Servers are identified by
// their keys.
type Limiter interface {
	// SetLimit sets a server's limit in requests per second.
	SetLimit(server uint32, requestsPerSecond float64)
	// Lift ends the limit of a server but keeps its counts. Forget drops both.
	Lift(server uint32)
	Forget(server uint32)
	// Admit counts a request that this daemon is about to send to a server and returns the time of
	// admission. If the server is at its limit, it returns how long to wait before the next request
	// may be admitted.
	Admit(server uint32) (admitted time.Time, retryAfter time.Duration, ok bool)
	// Refund undoes the count of a request that was not sent.
	Refund(server uint32, admitted time.Time)
	// AtLimit reports whether the demand exceeds the server's limit.
	AtLimit(server uint32) bool
}

// SetLimiter sets the limiter. Limits are not enforced without one.
func (v *View) SetLimiter(limiter Limiter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.limiter = limiter
}

// AdviceChange is the effect of one response's advice on the state of a server.
type AdviceChange struct {
	// Before and After are the server's limits.
	Before, After advice.Limit
	// LeavingAnnounced is set if this is the first response in which the server announces that it
	// leaves.
	LeavingAnnounced bool
}

// ApplyAdvice applies the advice in the response to the attempt. answered is when the response was
// received. The view does not change if the server has been removed or replaced since the attempt
// began.
func (c *Choice) ApplyAdvice(a advice.Advice, answered time.Time) AdviceChange {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	s := c.server
	change := AdviceChange{Before: s.limit, After: s.limit.Observe(a, c.startedAt, answered)}
	if a.Brittle && a.Limit == nil {
		change.After = c.view.estimateLimit(s, a.Declined, answered)
	}
	if c.view.servers[c.ID] != s {
		return change
	}
	if a.Brittle && a.Declined {
		s.backoffUntil = later(s.backoffUntil, answered.Add(brittleBackoff))
	}
	c.view.setLimit(s, change.After)
	if a.RetryAfter > 0 {
		s.backoffUntil = later(s.backoffUntil, answered.Add(a.RetryAfter))
	}
	if a.Leaving {
		change.LeavingAnnounced = c.view.recordLeavingAnnouncement(s, answered, answered)
		s.peerReported = false
	}
	return change
}

// RefundAdmission removes an attempt that was not sent from the count of its server's limit. Further
// calls have no effect.
func (c *Choice) RefundAdmission() {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	if c.admittedAt.IsZero() {
		return
	}
	c.view.limiter.Refund(c.server.key, c.admittedAt)
	c.admittedAt = time.Time{}
}

// setLimit applies a server's limit. The caller holds the lock.
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

// forgetLimit drops the limiter's state of a server. The caller holds the lock.
func (v *View) forgetLimit(s *server) {
	if v.limiter != nil && (s.limit.Limited || !s.liftedAt.IsZero()) {
		v.limiter.Forget(s.key)
	}
}

// sweepLimits drops the limiter's state of servers whose limits ended so long ago that the end is no
// longer reported. The caller holds the lock.
func (v *View) sweepLimits(now time.Time) {
	for _, s := range v.servers {
		if !s.liftedAt.IsZero() && !s.reportsLimit(now) {
			v.forgetLimit(s)
			s.liftedAt = time.Time{}
		}
	}
}

// reportsLimit reports whether the server's limit, or the end of it, is reported to other daemons.
func (s *server) reportsLimit(now time.Time) bool {
	return s.limit.Limited || now.Sub(s.liftedAt) < liftedReportTTL
}

// Limits returns the servers' limits to report to other daemons. If there are too many for one
// report, turn selects the subset; it increases by one per report.
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

// rotatingSubset returns all records if they fit into one report. Otherwise it returns
// maxReportRecords of them in order of server key, selected by turn so that successive reports
// cover all.
func rotatingSubset[R any](records []R, turn uint64, server func(R) uint32) []R {
	if len(records) <= maxReportRecords {
		return records
	}
	slices.SortFunc(records, func(a, b R) int { return cmp.Compare(server(a), server(b)) })
	first := int(turn * maxReportRecords % uint64(len(records)))
	return append(records, records...)[first : first+maxReportRecords]
}

// byKey returns the servers by key. The index is cached until a server is added or removed, because
// the reports of many daemons are looked up in it. The caller holds the lock.
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

// LimitedKeys returns the keys of all servers that have a limit or had one within liftedReportTTL.
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

// MergeLimits merges the limits reported by another daemon. It returns the limits that have
// changed.
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

// ServerLimit is a changed limit of a server.
type ServerLimit struct {
	Entry
	Before, Limit advice.Limit
}

// admit picks a server and counts the attempt against its limit. Servers at their limits are
// skipped. The caller holds the lock.
func (v *View) admit(servers []route.Server, need route.Need, now time.Time) (route.Choice, time.Time, bool) {
	for {
		picked, ok := route.Pick(servers, need)
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
		exclude(servers, picked.Server.ID)
	}
}

// exclude marks a server as leaving in the list of candidates, so that it is not picked.
func exclude(servers []route.Server, id string) {
	for i := range servers {
		if servers[i].ID == id {
			servers[i].Leaving = true
		}
	}
}

// RetryAfter returns the time until one of the service's servers may be sent a request, if all of
// them back off or are at their limits. It returns false if the service has no server.
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

// availableAt returns when a server that backs off or is at its limit may be sent a request again.
func (s *server) availableAt() time.Time { return later(s.admissibleAt, s.backoffUntil) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
