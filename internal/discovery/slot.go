package discovery

import (
	"sync"
	"time"
)

// Slot is the place of one attempt on a backend server, from dispatch to end.
type Slot struct {
	registry       *Registry
	server         *server
	promptTokens   int
	startedAt      time.Time
	firstTokenOnce sync.Once
	releaseOnce    sync.Once
	// Evacuate is closed when the attempt has to leave the server.
	Evacuate <-chan struct{}
}

// Acquire counts an attempt in on a server that is live. It returns false when
// the server has begun to leave, is gone, or is at the limit that it names.
func (r *Registry) Acquire(id string, promptTokens int, now time.Time) (*Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil || !s.acceptsRequests(now) || !s.admit(now) {
		return nil, false
	}
	s.running++
	s.pendingPromptTokens += promptTokens
	return &Slot{registry: r, server: s, promptTokens: promptTokens, startedAt: now, Evacuate: s.evacuate}, true
}

// FirstToken tells that the first part of the answer has come, and how long it
// was predicted to take.
func (l *Slot) FirstToken(predicted time.Duration, now time.Time) {
	l.firstTokenOnce.Do(func() {
		l.registry.mu.Lock()
		defer l.registry.mu.Unlock()
		s := l.server
		s.pendingPromptTokens -= l.promptTokens
		late := max(0, now.Sub(l.startedAt)-predicted)
		s.excessDelay = (s.decayedExcessDelay(now) + late) / 2
		s.excessDelayAt = now
		s.consecutiveFailures = 0
	})
}

// Release counts the attempt out.
func (l *Slot) Release(failed bool, now time.Time) {
	l.releaseOnce.Do(func() {
		l.firstTokenOnce.Do(func() {
			l.registry.mu.Lock()
			defer l.registry.mu.Unlock()
			l.server.pendingPromptTokens -= l.promptTokens
		})
		l.registry.mu.Lock()
		defer l.registry.mu.Unlock()
		l.server.running--
		if failed {
			l.server.recordFailure(now)
			return
		}
		l.server.observeServiceTime(now.Sub(l.startedAt))
	})
}

// recordFailure keeps new work away for a time that doubles with each failure.
func (s *server) recordFailure(now time.Time) {
	avoid := min(maxSuspectTime, initialSuspectTime<<min(s.consecutiveFailures, 5))
	s.consecutiveFailures++
	s.suspectUntil = now.Add(avoid)
}

func (s *server) observeServiceTime(took time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = took
		return
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
}
