// Package limit admits requests by the limits of their workspace. It does no
// I/O; the time is passed in.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/plankridge/plankridge/internal/config"
)

// Limiter holds what the workspaces have used of their limits at this daemon.
type Limiter struct {
	mu          sync.Mutex
	daemons     int
	lastAdmitAt time.Time
	workspaces  map[string]*workspaceState
}

type workspaceState struct {
	// configured is set while the generation in force names the workspace.
	configured bool
	limits     config.Limits
	bucket     *rate.Limiter
	inFlight   int
}

// NewLimiter returns a limiter without workspaces.
func NewLimiter() *Limiter {
	return &Limiter{daemons: 1, workspaces: map[string]*workspaceState{}}
}

// ApplyConfig takes over the limits of a new generation. What is in flight
// stays counted, and so does what was used, also of a workspace that a generation leaves out for a while.
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

// idle reports whether nothing is in flight and nothing that was used counts any more.
func (u *workspaceState) idle(now time.Time) bool {
	return u.inFlight == 0 && (u.bucket == nil || u.bucket.TokensAt(now) >= float64(u.bucket.Burst()))
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

// setRate gives this daemon an even share of the rate. The burst is a second's
// worth of the whole limit, because a balancer does not spread callers evenly.
func (u *workspaceState) setRate(daemons int, now time.Time) {
	if u.limits.RequestsPerSecond == 0 {
		u.bucket = nil
		return
	}
	share := rate.Limit(u.limits.RequestsPerSecond / float64(daemons))
	burst := max(1, int(u.limits.RequestsPerSecond))
	if u.bucket == nil {
		u.bucket = rate.NewLimiter(share, burst)
		return
	}
	u.bucket.SetLimitAt(now, share)
	u.bucket.SetBurstAt(now, burst)
}

// Verdict is the answer of Admit.
type Verdict struct {
	Admitted bool
	// RetryAfter is when a refused request may come again.
	RetryAfter time.Duration
	Reason     string
}

// inFlightRetryAfter is the advice to a workspace that has too much in flight.
const inFlightRetryAfter = time.Second

// Admit counts a request in, or says why not. Each admitted request has to be
// followed by one Release. A pinned request can only run at this daemon, so
// that an even share would be too small: it counts against the whole limit of
// requests in flight.
func (l *Limiter) Admit(workspace string, pinned bool, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAdmitAt = now
	entry := l.workspaces[workspace]
	if entry == nil || !entry.configured {
		return Verdict{Reason: "workspace is not known"}
	}
	sharers := l.daemons
	if pinned {
		sharers = 1
	}
	if most := entry.maxInFlight(sharers); most > 0 && entry.inFlight >= most {
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

func (u *workspaceState) maxInFlight(daemons int) int {
	if u.limits.InFlight == 0 {
		return 0
	}
	return max(1, u.limits.InFlight/daemons)
}

// CountInFlight counts a request in that another daemon has admitted.
func (l *Limiter) CountInFlight(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.workspaces[workspace]; entry != nil {
		entry.inFlight++
	}
}

// Release counts a request out.
func (l *Limiter) Release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.workspaces[workspace]; entry != nil && entry.inFlight > 0 {
		entry.inFlight--
	}
}
