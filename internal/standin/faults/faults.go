// Package faults holds the fault switches that all stand-ins share: delay,
// outage, refusal, pause, and an answer that is lost after the effect.
package faults

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// State is the position of all switches.
type State struct {
	// Delay is added to each call.
	Delay time.Duration `json:"delay"`
	// Outage answers each call with 503 and has no effect.
	Outage bool `json:"outage"`
	// Paused holds each call until the pause ends.
	Paused bool `json:"paused"`
	// Refuse makes the stand-in decline what it could refuse.
	Refuse bool `json:"refuse"`
	// LoseAnswers is the number of next calls whose effect happens but whose
	// answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// DropEvery drops each n-th event of a feed; zero drops none.
	DropEvery int `json:"drop_every"`
	// CrossEvery puts an answer of another request, and one that was given
	// already, before each n-th part of an answer; zero puts none.
	CrossEvery int `json:"cross_every"`
	// Header stands in each answer.
	Header map[string]string `json:"header"`
}

// Switches are the fault switches of one stand-in. The zero value has no
// faults.
type Switches struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// Set moves all switches.
func (s *Switches) Set(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Get returns the position of all switches.
func (s *Switches) Get() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *Switches) watch() (State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.state, s.changed
}

// takeLoss reports whether the answer of this call is to be lost.
func (s *Switches) takeLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.LoseAnswers == 0 {
		return false
	}
	s.state.LoseAnswers--
	return true
}

// Wrap puts the switches before a handler and adds PUT /faults, which sets
// them.
func (s *Switches) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			s.serve(w, r)
			return
		}
		if !s.WaitWhilePaused(r.Context()) {
			return
		}
		state := s.Get()
		for name, value := range state.Header {
			w.Header().Set(name, value)
		}
		if state.Delay > 0 {
			time.Sleep(state.Delay)
		}
		if state.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if s.takeLoss() {
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Switches) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var state State
		if err := json.NewDecoder(r.Body).Decode(&state); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(state)
	}
	_ = json.NewEncoder(w).Encode(s.Get())
}

// WaitWhilePaused blocks while the pause lasts and reports false when the
// context has ended meanwhile.
func (s *Switches) WaitWhilePaused(ctx context.Context) bool {
	for {
		state, changed := s.watch()
		if !state.Paused {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// discard is a response writer whose answer goes nowhere.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discard) Flush() {}
