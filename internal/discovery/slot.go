package discovery

import (
	"sync"
	"time"
)

// Slot represents one attempt on a backend server, from dispatch to completion.
type Slot struct {
	registry       *Registry
	server         *server
	promptTokens   int
	startedAt      time.Time
	firstTokenOnce sync.Once
	releaseOnce    sync.Once
	// Evacuate is closed when the attempt must move to another server.
	Evacuate <-chan struct{}
}

// Acquire registers an attempt on a live server. It returns false if the server is leaving, is
// gone, is in backoff or is at its request limit.
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

// FirstToken records that the first part of the response has arrived. predicted is how long this
// was expected to take.
func (slot *Slot) FirstToken(predicted time.Duration, now time.Time) {
	slot.firstTokenOnce.Do(func() {
		slot.registry.mu.Lock()
		defer slot.registry.mu.Unlock()
		s := slot.server
		s.pendingPromptTokens -= slot.promptTokens
		late := max(0, now.Sub(slot.startedAt)-predicted)
		s.excessDelay = (s.decayedExcessDelay(now) + late) / 2
		s.excessDelayAt = now
		s.consecutiveFailures = 0
	})
}

// Gone reports whether the server is not listed any more.
func (slot *Slot) Gone() bool {
	slot.registry.mu.Lock()
	defer slot.registry.mu.Unlock()
	return slot.registry.servers[slot.server.vm.ID] != slot.server
}

// Leaving reports whether the server is leaving or gone, so that its process may exit once it has
// answered.
func (slot *Slot) Leaving(now time.Time) bool {
	slot.registry.mu.Lock()
	defer slot.registry.mu.Unlock()
	return !slot.server.acceptsRequests(now)
}

// Release ends the attempt. It records a failure, or the service time if the attempt succeeded.
func (slot *Slot) Release(failed bool, now time.Time) {
	slot.releaseOnce.Do(func() {
		slot.firstTokenOnce.Do(func() {
			slot.registry.mu.Lock()
			defer slot.registry.mu.Unlock()
			slot.server.pendingPromptTokens -= slot.promptTokens
		})
		slot.registry.mu.Lock()
		defer slot.registry.mu.Unlock()
		slot.server.running--
		if failed {
			slot.server.recordFailure(now)
			return
		}
		slot.server.observeServiceTime(now.Sub(slot.startedAt))
	})
}

// recordFailure makes the server a suspect, to be avoided for a time that doubles with each
// consecutive failure.
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
