package discovery

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/vmlist"
)

const (
	// minSenders is the number of daemons that share a server's limit, and sendersEach how many
	// more for each request a second. Each may send one request at once beside its part, and daemons
	// that see few callers leave their part unused.
	minSenders  = 2
	sendersEach = 2
	// burstFor is the time over which a part that is not used is kept, one request at the least.
	burstFor = 250 * time.Millisecond
	// minServerRate is in requests a second. A server that takes fewer, or none, gets as many, so
	// that it is found out when it takes more.
	minServerRate = 0.25
	// liftedFor is how long a limit that has ended is reported: daemons that missed the answer
	// would keep it otherwise.
	liftedFor = 30 * time.Second
	// sameSighting is how much later an equal limit has to have been seen to replace a known one.
	sameSighting = time.Second
)

// AdviceRecord is a server's advice as daemons report it to each other.
type AdviceRecord struct {
	Server            string  `json:"server"`
	Named             bool    `json:"named"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	// AgeMs is how long ago that was learned, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Leaving is whether the server has announced that it leaves, LeavingAgeMs the age of that state in
	// milliseconds; zero is unknown.
	Leaving      bool  `json:"leaving,omitempty"`
	LeavingAgeMs int64 `json:"leaving_age_ms,omitempty"`
}

// quota is this daemon's part of a server's limit, as a bucket of requests.
type quota struct {
	// rate is in requests a second; zero for a daemon that does not send there.
	rate  float64
	level float64
	at    time.Time
}

// fill lets the bucket fill until now.
func (q *quota) fill(now time.Time) {
	q.level = min(max(1, q.rate*burstFor.Seconds()), q.level+q.rate*now.Sub(q.at).Seconds())
	q.at = now
}

// wait returns how long it takes until a request may be sent.
func (q *quota) wait(now time.Time) time.Duration {
	q.fill(now)
	switch {
	case q.level >= 1:
		return 0
	case q.rate <= 0:
		return noQuotaRetry
	}
	return time.Duration((1 - q.level) / q.rate * float64(time.Second))
}

// noQuotaRetry is the advice where this daemon has no part of a server's limit: another daemon may.
const noQuotaRetry = time.Second

// Advised merges the advice in the response to a request that was sent and answered at these times. It
// reports whether other daemons should be informed at once.
func (r *Registry) Advised(id string, a advice.Advice, sent, answered time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil {
		return false
	}
	if a.Rest > 0 && answered.Add(a.Rest).After(s.restUntil) {
		s.restUntil = answered.Add(a.Rest)
		r.logger.Info("server declined and asked for rest", "server", s.vm.ID, "service", s.vm.Service, "rest_ms", a.Rest.Milliseconds())
	}
	limited := r.setLimit(s, s.limit.Observe(a, sent, answered), answered)
	return r.announceLeaving(s, a, answered) || limited
}

// setLimit applies a server's limit; the caller holds the lock.
func (r *Registry) setLimit(s *server, limit advice.Limit, now time.Time) (changed bool) {
	before := s.limit
	s.limit = limit
	if limit.Same(before) {
		return false
	}
	if before.Named && !limit.Named {
		s.liftedAt = limit.At
	}
	if limit.Named && !before.Named {
		s.quota = quota{at: now, level: firstLevel(s.vm.ID, r.self)}
	}
	r.shareLimit(s, now)
	r.logger.Info("server's limit changed", "server", s.vm.ID, "service", s.vm.Service,
		"limited", limit.Named, "requests_per_second", limit.Rate, "limited_before", before.Named, "requests_per_second_before", before.Rate, "own_part", s.quota.rate)
	return true
}

// firstLevel returns how full a daemon's bucket is at first: differently at each daemon, so that they
// do not all send at once when theirs are full.
func firstLevel(server, daemon string) float64 {
	return float64(xxhash.Sum64String(server+"/"+daemon)) / math.MaxUint64
}

// shareLimits recomputes this daemon's parts when the daemons change; the caller holds the lock.
func (r *Registry) shareLimits(now time.Time) {
	for _, s := range r.servers {
		if s.limit.Named {
			r.shareLimit(s, now)
		}
	}
}

// shareLimit sets this daemon's part of a server's limit. Few daemons share it, the same at every
// daemon: of equal parts for all, many daemons would wait for minutes to send their first request.
func (r *Registry) shareLimit(s *server, now time.Time) {
	s.quota.fill(now)
	live := r.nearTo(s.vm.Zone)
	senders := min(len(live), minSenders+int(math.Min(float64(len(live)), sendersEach*s.limit.Rate)))
	s.quota.rate = 0
	if senders == 0 || slices.ContainsFunc(vmlist.Ranked(s.vm.ID, live)[:senders], func(vm vmlist.VM) bool { return vm.ID == r.self }) {
		s.quota.rate = max(minServerRate, s.limit.Rate) / float64(max(1, senders))
	}
}

// nearTo returns the live daemons of an availability zone, whose requests go to its servers first, or
// all if it has none. The caller holds the lock.
func (r *Registry) nearTo(zone string) []vmlist.VM {
	var near, live []vmlist.VM
	for _, daemon := range r.daemons {
		if daemon.State != vmlist.VMLive {
			continue
		}
		live = append(live, daemon)
		if daemon.Zone == zone {
			near = append(near, daemon)
		}
	}
	if len(near) > 0 {
		return near
	}
	return live
}

// untilAdmitted returns how long it takes until this daemon may send a request to a server, which
// rests or is at its limit; the caller holds the lock.
func (s *server) untilAdmitted(now time.Time) time.Duration {
	rest := max(0, s.restUntil.Sub(now))
	if !s.limit.Named {
		return rest
	}
	return max(rest, s.quota.wait(now))
}

// admit counts a request to a server; the caller holds the lock.
func (s *server) admit(now time.Time) bool {
	if s.untilAdmitted(now) > 0 {
		return false
	}
	if s.limit.Named {
		s.quota.level--
	}
	return true
}

// AtLimit returns how long it takes until one of a service's servers may be asked, and false where
// none is there.
func (r *Registry) AtLimit(service string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait time.Duration
	found := false
	for _, s := range r.servers {
		if s.vm.Service != service || !s.takesWork(now) {
			continue
		}
		if until := s.untilAdmitted(now); !found || until < wait {
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
	for _, s := range r.servers {
		limited := s.limit.Named || now.Sub(s.liftedAt) < liftedFor
		if !limited && !s.reportsLeaving(now) {
			continue
		}
		record := AdviceRecord{Server: s.vm.ID, Named: s.limit.Named, RequestsPerSecond: s.limit.Rate, AgeMs: now.Sub(s.limit.At).Milliseconds()}
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
	for _, record := range records {
		if s := r.servers[record.Server]; s != nil {
			changed = r.mergeLimit(s, record, now) || changed
			changed = r.mergeLeaving(s, record, now) || changed
		}
	}
	return changed
}

// mergeLimit merges the limit of a record; the caller holds the lock.
func (r *Registry) mergeLimit(s *server, record AdviceRecord, now time.Time) (changed bool) {
	if !advice.Valid(record.RequestsPerSecond) {
		return false
	}
	limit := advice.Limit{Rate: record.RequestsPerSecond, Named: record.Named, At: now.Add(-age(record.AgeMs))}
	if limit.Same(s.limit) && limit.At.Before(s.limit.At.Add(sameSighting)) {
		return false
	}
	return r.setLimit(s, s.limit.Merge(limit), now)
}

// mergeLeaving merges the leaving state of a record; the caller holds the lock.
func (r *Registry) mergeLeaving(s *server, record AdviceRecord, now time.Time) (changed bool) {
	told := age(record.LeavingAgeMs)
	return told > 0 && told < leavingNoticeTTL && r.setLeaving(s, leavingState{announced: record.Leaving, at: now.Add(-told)})
}

// age returns an age that was reported in milliseconds.
func age(ms int64) time.Duration { return max(0, time.Duration(ms)*time.Millisecond) }
