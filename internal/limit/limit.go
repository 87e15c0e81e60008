// Package limit enforces the per-workspace limits on request rate and requests in flight. It does
// no I/O, and callers pass in the current time.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/plankridge/plankridge/internal/config"
)

// Limiter tracks how much of its limits each workspace uses at this daemon. It is safe for
// concurrent use.
type Limiter struct {
	mu          sync.Mutex
	daemons     int
	lastAdmitAt time.Time
	workspaces  map[string]*workspaceState
}

type workspaceState struct {
	// configured is false for a workspace that the current configuration no longer lists but whose
	// usage still counts.
	configured bool
	limits     config.Limits
	bucket     *rate.Limiter
	inFlight   int
}

// NewLimiter returns a Limiter without workspaces for a single daemon.
func NewLimiter() *Limiter {
	return &Limiter{daemons: 1, workspaces: map[string]*workspaceState{}}
}

// ApplyConfig replaces the limits with those of a new configuration. Requests in flight and the
// used part of the rate are kept, also for a workspace that one configuration omits and a later one
// lists again.
func (l *Limiter) ApplyConfig(index *config.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[string]*workspaceState{}
	for _, workspace := range index.Deployment.Workspaces {
		entry := l.workspaces[workspace.Name]
		if entry == nil {
			entry = &workspaceState{}
		}
		entry.configured, entry.limits = true, workspace.Limits
		entry.setRate(l.daemons, l.lastAdmitAt)
		next[workspace.Name] = entry
	}
	for name, entry := range l.workspaces {
		if next[name] == nil && !entry.idle(l.lastAdmitAt) {
			entry.configured = false
			next[name] = entry
		}
	}
	l.workspaces = next
}

// idle reports whether the workspace has no requests in flight and its token bucket is full.
func (w *workspaceState) idle(now time.Time) bool {
	return w.inFlight == 0 && (w.bucket == nil || w.bucket.TokensAt(now) >= float64(w.bucket.Burst()))
}

// SetDaemons sets the number of daemons that share each limit.
func (l *Limiter) SetDaemons(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(count, 1)
	for _, entry := range l.workspaces {
		entry.setRate(l.daemons, l.lastAdmitAt)
	}
}

// setRate gives this daemon an equal share of the rate. The burst is one second's worth of the
// whole limit, because a load balancer does not spread callers evenly.
func (w *workspaceState) setRate(daemons int, now time.Time) {
	if w.limits.RequestsPerSecond == 0 {
		w.bucket = nil
		return
	}
	share := rate.Limit(w.limits.RequestsPerSecond / float64(daemons))
	burst := max(1, int(w.limits.RequestsPerSecond))
	if w.bucket == nil {
		w.bucket = rate.NewLimiter(share, burst)
		return
	}
	w.bucket.SetLimitAt(now, share)
	w.bucket.SetBurstAt(now, burst)
}

// Verdict is the result of Admit.
type Verdict struct {
	Admitted bool
	// RetryAfter is how long the caller of a refused request should wait before retrying.
	RetryAfter time.Duration
	Reason     string
}

// inFlightRetryAfter is the RetryAfter of a workspace that has too many requests in flight.
const inFlightRetryAfter = time.Second

// Admit admits a request or returns the reason for refusing it. The caller must call Release once
// for each admitted request. A pinned request can only run at this daemon, so an equal share of the
// in-flight limit would be too small: it is checked against the whole limit.
func (l *Limiter) Admit(workspace string, pinned bool, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAdmitAt = now
	entry := l.workspaces[workspace]
	if entry == nil || !entry.configured {
		return Verdict{Reason: "workspace is not known"}
	}
	daemons := l.daemons
	if pinned {
		daemons = 1
	}
	if limit := entry.maxInFlight(daemons); limit > 0 && entry.inFlight >= limit {
		return Verdict{RetryAfter: inFlightRetryAfter, Reason: "workspace has too many requests in flight"}
	}
	if entry.bucket != nil {
		reservation := entry.bucket.ReserveN(now, 1)
		if delay := reservation.DelayFrom(now); delay > 0 {
			reservation.CancelAt(now)
			return Verdict{RetryAfter: delay, Reason: "workspace is above its rate"}
		}
	}
	entry.inFlight++
	return Verdict{Admitted: true}
}

func (w *workspaceState) maxInFlight(daemons int) int {
	if w.limits.InFlight == 0 {
		return 0
	}
	return max(1, w.limits.InFlight/daemons)
}

// CountInFlight counts a request that another daemon has admitted as in flight here.
func (l *Limiter) CountInFlight(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.workspaces[workspace]; entry != nil {
		entry.inFlight++
	}
}

// Release removes a request that Admit or CountInFlight has counted as in flight.
func (l *Limiter) Release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.workspaces[workspace]; entry != nil && entry.inFlight > 0 {
		entry.inFlight--
	}
}
