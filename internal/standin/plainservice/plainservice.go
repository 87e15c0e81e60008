// Package plainservice is a stand-in of a plain service. Its calls carry a
// reference; a ledger that the servers of a service share counts how often
// each reference has run, so that a second run can be seen.
package plainservice

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/plain"
	"github.com/plankridge/plankridge/internal/standin/faults"
)

// HeaderReference names the operation that a call asks for.
const HeaderReference = "X-Reference"

// Ledger counts the runs of each reference.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

func (l *Ledger) add(reference string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[reference]++
}

// Runs returns a copy of the counts.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Server is one server of the service. It implements http.Handler.
type Server struct {
	// Faults are the fault switches.
	Faults faults.Switches

	handler http.Handler
	ledger  *Ledger
	work    time.Duration

	mu       sync.Mutex
	arrivals []time.Time
}

// Arrivals returns the times at which calls have arrived.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// New returns a server that works for the given time on each call.
func New(ledger *Ledger, work time.Duration) *Server {
	s := &Server{ledger: ledger, work: work}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", s.serveLedger)
	mux.HandleFunc("/", s.serve)
	s.handler = s.Faults.Wrap(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.ledger.Runs())
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	if s.Faults.Get().Refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reference := r.Header.Get(HeaderReference)
	if reference != "" {
		s.ledger.add(reference)
	}
	time.Sleep(s.work)
	w.Header().Set(plain.HeaderRequestID, r.Header.Get(plain.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(Answer(r.Method, r.URL.Path, reference, body))
}

// Answer returns the answer to a call. It depends on nothing but the call, so
// that a recorded trace can state it.
func Answer(method, path, reference string, body []byte) []byte {
	sum := sha256.Sum256(body)
	return fmt.Appendf(nil, `{"method":%q,"path":%q,"reference":%q,"body":%q}`,
		method, path, reference, hex.EncodeToString(sum[:8]))
}
