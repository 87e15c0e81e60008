package discovery

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/advice"
)

const (
	// burstTime is the time over which a part that is not used is kept, one request at the least.
	burstTime = 250 * time.Millisecond
	// minServerRate is in requests a second. A server that takes fewer, or none, gets as many, so
	// that it is found out when it takes more.
	minServerRate = 0.25
	// liftedReportTTL is how long a limit that has ended is reported: daemons that missed the answer
	// would keep it otherwise.
	liftedReportTTL = 30 * time.Second
	// minRefreshInterval is how much later an equal limit has to have been seen to replace a known one.
	minRefreshInterval = time.Second
)

// AdviceRecord is a server's advice as daemons report it to each other.
type AdviceRecord struct {
	Server            string  `json:"server"`
	Limited           bool    `json:"named"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	// AgeMs is how long ago that was learned, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Leaving is whether the server has announced that it leaves, LeavingAgeMs the age of that state in
	// milliseconds; zero is unknown.
	Leaving      bool  `json:"leaving,omitempty"`
	LeavingAgeMs int64 `json:"leaving_age_ms,omitempty"`
	// Demands are what daemons' callers ask of the server's service. One record of a service has them.
	Demands []DemandRecord `json:"demands,omitempty"`
}

// quota is this daemon's part of a server's limit, as a bucket of requests.
type quota struct {
	// rate is in requests a second; zero for a daemon that does not send there.
	rate       float64
	level      float64
	refilledAt time.Time
}

// refill lets the bucket fill until now.
func (q *quota) refill(now time.Time) {
	q.level = min(max(1, q.rate*burstTime.Seconds()), q.level+q.rate*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
}

// wait returns how long it takes until a request may be sent.
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

// maxQuotaWait bounds the advice where this daemon's part is small: parts change with what callers
// ask for.
const maxQuotaWait = 4 * time.Second

// noQuotaRetryAfter is the advice where this daemon has no part of a server's limit: another daemon may.
const noQuotaRetryAfter = time.Second

// ApplyAdvice merges the advice in the response to a request that was sent and answered at these times. It
// reports whether other daemons should be informed at once.
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

// setLimit applies a server's limit; the caller holds the lock.
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

// initialLevel returns how full a daemon's bucket is at first: differently at each daemon, so that they
// do not all send at once when theirs are full.
func initialLevel(server, daemon string) float64 {
	return float64(xxhash.Sum64String(server+"/"+daemon)) / math.MaxUint64
}

// admissionWait returns how long it takes until this daemon may send a request to a server, which
// rests or is at its limit; the caller holds the lock.
func (s *server) admissionWait(now time.Time) time.Duration {
	rest := max(0, s.backoffUntil.Sub(now))
	if !s.limit.Limited {
		return rest
	}
	return max(rest, s.quota.wait(now))
}

// admit counts a request to a server; the caller holds the lock.
func (s *server) admit(now time.Time) bool {
	if s.admissionWait(now) > 0 {
		return false
	}
	if s.limit.Limited {
		s.quota.level--
	}
	return true
}

// RetryAfter returns how long it takes until one of a service's servers may be asked, and false where
// none is there.
func (r *Registry) RetryAfter(service string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait time.Duration
	found := false
	for _, s := range r.servers {
		if s.vm.Service != service || !s.acceptsRequests(now) {
			continue
		}
		if until := s.admissionWait(now); !found || until < wait {
			wait, found = until, true
		}
	}
	return wait, found
}

// Advice returns the servers' advice to report to other daemons.
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

// MergeAdvice merges another daemon's report. It reports whether others should be informed at once.
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

// mergeLimit merges the limit of a record; the caller holds the lock.
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

// mergeLeaving merges the leaving state of a record; the caller holds the lock.
func (r *Registry) mergeLeaving(s *server, record AdviceRecord, now time.Time) (changed bool) {
	told := ageFromMs(record.LeavingAgeMs)
	return told > 0 && told < leavingNoticeTTL && r.setLeaving(s, leavingState{announced: record.Leaving, at: now.Add(-told)})
}

// ageFromMs returns an age that was reported in milliseconds.
func ageFromMs(ms int64) time.Duration { return max(0, time.Duration(ms)*time.Millisecond) }
