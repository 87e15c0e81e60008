package discovery

import (
	"sync"
	"time"
)

// Slot is the place of one attempt on a backend server, from dispatch to end.
type Slot struct {
	registry *Registry
	server   *server
	tokens   int
	begun    time.Time
	first    sync.Once
	ended    sync.Once
	// Evacuate is closed when the attempt has to leave the server.
	Evacuate <-chan struct{}
}

// Acquire counts an attempt in on a server that is live. It returns false when
// the server has begun to leave, is gone, or is at the limit that it names.
func (r *Registry) Acquire(id string, promptTokens int, now time.Time) (*Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil || !s.takesWork(now) || !s.admit(now) {
		return nil, false
	}
	s.running++
	s.pendingTokens += promptTokens
	return &Slot{registry: r, server: s, tokens: promptTokens, begun: now, Evacuate: s.evacuate}, true
}

// FirstToken tells that the first part of the answer has come, and how long it
// was predicted to take.
func (l *Slot) FirstToken(predicted time.Duration, now time.Time) {
	l.first.Do(func() {
		l.registry.mu.Lock()
		defer l.registry.mu.Unlock()
		s := l.server
		s.pendingTokens -= l.tokens
		late := max(0, now.Sub(l.begun)-predicted)
		s.excess = (s.decayedExcess(now) + late) / 2
		s.excessAt = now
		s.failures = 0
	})
}

// Release counts the attempt out.
func (l *Slot) Release(failed bool, now time.Time) {
	l.ended.Do(func() {
		l.first.Do(func() {
			l.registry.mu.Lock()
			defer l.registry.mu.Unlock()
			l.server.pendingTokens -= l.tokens
		})
		l.registry.mu.Lock()
		defer l.registry.mu.Unlock()
		l.server.running--
		if failed {
			l.server.fail(now)
			return
		}
		l.server.observe(now.Sub(l.begun))
	})
}

// fail keeps new work away for a time that doubles with each failure.
func (s *server) fail(now time.Time) {
	avoid := min(suspectMax, suspectBase<<min(s.failures, 5))
	s.failures++
	s.suspectUntil = now.Add(avoid)
}

func (s *server) observe(took time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = took
		return
	}
	s.serviceTime += time.Duration(smoothing * float64(took-s.serviceTime))
}
