// Package weightstore is a stand-in of the rate-limited weight store.
package weightstore

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/weights"
)

// Server is the stand-in. It implements http.Handler.
type Server struct {
	// Faults are the fault switches.
	Faults faults.Switches

	handler http.Handler
	size    int64
	limiter *rate.Limiter
}

// New returns a store whose artifacts all have the same size and which sends
// at most that many bytes a second.
func New(artifactBytes int64, bytesPerSecond float64) *Server {
	s := &Server{
		size:    artifactBytes,
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(artifactBytes)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /artifacts/{model}/{version}/reserve", s.reserve)
	s.handler = s.Faults.Wrap(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Server) reserve(w http.ResponseWriter, r *http.Request) {
	if s.Faults.Get().Refuse {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	}
	now := time.Now()
	delay := s.limiter.ReserveN(now, int(s.size)).DelayFrom(now)
	_ = json.NewEncoder(w).Encode(weights.Artifact{
		Model:       r.PathValue("model"),
		Version:     r.PathValue("version"),
		Bytes:       s.size,
		WaitSeconds: delay.Seconds(),
	})
}
