package discovery

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/advice"
)

const (
	// burstTime is the time over which unused quota accumulates. The bucket always holds at least
	// one request.
	burstTime = 250 * time.Millisecond
	// minServerRate, in requests per second, is the least rate at which requests are sent to a
	// server, even if its limit is lower or zero. Without such requests, a raised limit would go
	// unnoticed.
	minServerRate = 0.25
	// liftedReportTTL is how long a lifted limit is still reported. Daemons that missed the
	// response would otherwise keep the limit.
	liftedReportTTL = 30 * time.Second
	// minRefreshInterval is how much newer an observation of an equal limit must be to replace the
	// known one.
	minRefreshInterval = time.Second
)

// AdviceRecord is a server's advice as exchanged between daemons.
type AdviceRecord struct {
	Server            string  `json:"server"`
	Limited           bool    `json:"named"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	// AgeMs is the age of the limit's observation, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Leaving is whether the server has announced that it leaves. LeavingAgeMs is the age of that
	// state in milliseconds, or zero if the state is unknown.
	Leaving      bool  `json:"leaving,omitempty"`
	LeavingAgeMs int64 `json:"leaving_age_ms,omitempty"`
	// Demands are the daemons' demands for the server's service. Only one record of each service
	// has them.
	Demands []DemandRecord `json:"demands,omitempty"`
}

// quota is this daemon's share of a server's limit, as a token bucket of requests.
type quota struct {
	// rate is in requests per second. It is zero for a daemon that has no share of the limit.
	rate       float64
	level      float64
	refilledAt time.Time
}

// refill adds the requests that have accumulated since the last refill.
func (q *quota) refill(now time.Time) {
	q.level = min(max(1, q.rate*burstTime.Seconds()), q.level+q.rate*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
}

// wait returns the time until a request may be sent.
func (q *quota) wait(now time.Time) time.Duration {
	q.refill(now)
	switch {
	case q.rate <= 0:
		return noQuotaRetryAfter
	case q.level >= 1:
		return 0
	}
	return min(maxQuotaWait, time.Duration((1-q.level)/q.rate*float64(time.Second)))
}

// maxQuotaWait limits the wait that is returned for a small quota, because quotas change with
// demand.
const maxQuotaWait = 4 * time.Second

// noQuotaRetryAfter is the wait that is returned if this daemon has no share of a server's limit:
// another daemon may have one.
const noQuotaRetryAfter = time.Second

// ApplyAdvice applies the advice in the response to a request with the given times of sending and
// response. It reports whether other daemons should be notified immediately.
func (r *Registry) ApplyAdvice(id string, a advice.Advice, sent, answered time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil {
		return false
	}
	if a.RetryAfter > 0 && answered.Add(a.RetryAfter).After(s.backoffUntil) {
		s.backoffUntil = answered.Add(a.RetryAfter)
		r.logger.Info("server declined and asked for rest", "server", s.vm.ID, "service", s.vm.Service, "rest_ms", a.RetryAfter.Milliseconds())
	}
	limited := r.setLimit(s, s.limit.Observe(a, sent, answered), answered)
	return r.recordLeavingAnnouncement(s, a, answered) || limited
}

// setLimit applies a server's limit. The caller must hold the lock.
func (r *Registry) setLimit(s *server, limit advice.Limit, now time.Time) (changed bool) {
	before := s.limit
	s.limit = limit
	if limit.Equivalent(before) {
		return false
	}
	if before.Limited && !limit.Limited {
		s.liftedAt = limit.ObservedAt
	}
	if limit.Limited && !before.Limited {
		s.quota = quota{refilledAt: now, level: initialLevel(s.vm.ID, r.self)}
	}
	r.updateQuota(s, now)
	r.logger.Info("server's limit changed", "server", s.vm.ID, "service", s.vm.Service,
		"limited", limit.Limited, "requests_per_second", limit.Rate, "limited_before", before.Limited, "requests_per_second_before", before.Rate, "own_part", s.quota.rate)
	return true
}

// initialLevel returns the initial fill level of a daemon's bucket. The level differs by daemon, so
// that the buckets do not all become full at the same time and cause a burst of requests.
func initialLevel(server, daemon string) float64 {
	return float64(xxhash.Sum64String(server+"/"+daemon)) / math.MaxUint64
}

// admissionWait returns the time until this daemon may send a request to a server that is in
// backoff or at its limit. The caller must hold the lock.
func (s *server) admissionWait(now time.Time) time.Duration {
	rest := max(0, s.backoffUntil.Sub(now))
	if !s.limit.Limited {
		return rest
	}
	return max(rest, s.quota.wait(now))
}

// admit takes one request from the server's quota and reports whether the request may be sent. The
// caller must hold the lock.
func (s *server) admit(now time.Time) bool {
	if s.admissionWait(now) > 0 {
		return false
	}
	if s.limit.Limited {
		s.quota.level--
	}
	return true
}

// RetryAfter returns the time until one of the service's servers may receive a request, and false
// if no server accepts requests.
func (r *Registry) RetryAfter(service string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait time.Duration
	found := false
	for _, s := range r.servers {
		if s.vm.Service != service || !s.acceptsRequests(now) {
			continue
		}
		if serverWait := s.admissionWait(now); !found || serverWait < wait {
			wait, found = serverWait, true
		}
	}
	return wait, found
}

// Advice returns the advice of all servers, to be reported to other daemons.
func (r *Registry) Advice(now time.Time) []AdviceRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []AdviceRecord
	reported := map[string]bool{}
	for _, s := range r.servers {
		limited := s.limit.Limited || now.Sub(s.liftedAt) < liftedReportTTL
		if !limited && !s.reportsLeaving(now) {
			continue
		}
		record := AdviceRecord{Server: s.vm.ID, Limited: s.limit.Limited, RequestsPerSecond: s.limit.Rate, AgeMs: now.Sub(s.limit.ObservedAt).Milliseconds()}
		if limited && !reported[s.vm.Service] {
			record.Demands, reported[s.vm.Service] = r.reportDemands(s.vm.Service, now), true
		}
		if s.reportsLeaving(now) {
			record.Leaving, record.LeavingAgeMs = s.leaving.announced, max(1, now.Sub(s.leaving.at).Milliseconds())
		}
		records = append(records, record)
	}
	return records
}

// MergeAdvice merges advice reported by another daemon. It reports whether other daemons should be
// notified immediately.
func (r *Registry) MergeAdvice(records []AdviceRecord, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	demandChanged := false
	for _, record := range records {
		if s := r.servers[record.Server]; s != nil {
			demandChanged = r.mergeDemands(s.vm.Service, record.Demands, now) || demandChanged
			changed = r.mergeLimit(s, record, now) || changed
			changed = r.mergeLeaving(s, record, now) || changed
		}
	}
	if demandChanged {
		r.updateQuotas(now)
	}
	return changed
}

// mergeLimit merges the limit of a record. The caller must hold the lock.
func (r *Registry) mergeLimit(s *server, record AdviceRecord, now time.Time) (changed bool) {
	if !advice.ValidNumber(record.RequestsPerSecond) {
		return false
	}
	limit := advice.Limit{Rate: record.RequestsPerSecond, Limited: record.Limited, ObservedAt: now.Add(-ageFromMs(record.AgeMs))}
	if limit.Equivalent(s.limit) && limit.ObservedAt.Before(s.limit.ObservedAt.Add(minRefreshInterval)) {
		return false
	}
	return r.setLimit(s, s.limit.Merge(limit), now)
}

// mergeLeaving merges the leaving state of a record. The caller must hold the lock.
func (r *Registry) mergeLeaving(s *server, record AdviceRecord, now time.Time) (changed bool) {
	age := ageFromMs(record.LeavingAgeMs)
	return age > 0 && age < leavingNoticeTTL && r.setLeaving(s, leavingState{announced: record.Leaving, at: now.Add(-age)})
}

// ageFromMs converts a reported age in milliseconds. Negative ages become zero.
func ageFromMs(ms int64) time.Duration { return max(0, time.Duration(ms)*time.Millisecond) }
