// Package demand measures what callers ask of each service, a second. It does
// no I/O; the time is passed in.
package demand

import (
	"math"
	"sync"
	"time"
)

// memory is the time after which a request has lost most of its weight (1 - 1/e)
// in the rates: short enough to see a burst before a server has booted (4 s).
const memory = 3 * time.Second

// Rate is what is asked for, a second.
type Rate struct {
	Requests float64
	// Unread is prompt tokens that an engine is predicted to have to read.
	Unread float64
	// Output is the most tokens that may be generated.
	Output float64
}

// Meter measures rates. It may be used by several goroutines.
type Meter struct {
	mu       sync.Mutex
	services map[string]*gauge
}

type gauge struct {
	Rate
	at time.Time
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{services: map[string]*gauge{}} }

// Asked notes a request.
func (m *Meter) Asked(service string, unread, output int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.services[service]
	if g == nil {
		g = &gauge{at: now}
		m.services[service] = g
	}
	g.decay(now)
	weight := 1 / memory.Seconds()
	g.Requests += weight
	g.Unread += weight * float64(unread)
	g.Output += weight * float64(output)
}

func (g *gauge) decay(now time.Time) {
	elapsed := now.Sub(g.at)
	if elapsed <= 0 {
		return
	}
	left := math.Exp(-elapsed.Seconds() / memory.Seconds())
	g.Requests *= left
	g.Unread *= left
	g.Output *= left
	g.at = now
}

// Rates returns the rates of every service.
func (m *Meter) Rates(now time.Time) map[string]Rate {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := make(map[string]Rate, len(m.services))
	for name, g := range m.services {
		g.decay(now)
		rates[name] = g.Rate
	}
	return rates
}
