// Package demand measures what callers ask of each service. It does no I/O; the time
// is passed in.
package demand

import (
	"math"
	"sync"
	"time"
)

const (
	// defaultTimeConstant is the time after which a request has lost most of its weight (1 - 1/e)
	// in the rates, until the boot time of servers is known.
	defaultTimeConstant = 3 * time.Second
	// bootTimeShare is the part of a server's boot time that is remembered: a burst shows
	// before a server has booted. minTimeConstant and maxTimeConstant bound it: shorter is noise,
	// longer would miss a burst altogether.
	bootTimeShare   = 0.75
	minTimeConstant = 2 * time.Second
	maxTimeConstant = 6 * time.Second
)

// Load is how much of the engines of a service is asked for, by resource. For a
// request it is in seconds of one engine; as a rate, a second, it is the number of
// engines that are kept busy.
type Load struct {
	// Prefill is the time for which an engine reads the prompt.
	Prefill float64 `json:"reading"`
	// Batch is the time for which a place in the batch is held, as a part of all places
	// of an engine.
	Batch float64 `json:"places"`
	// Memory is the same for the memory of an engine.
	Memory float64 `json:"memory"`
}

// Add returns the sum of two loads.
func (l Load) Add(more Load) Load {
	return Load{Prefill: l.Prefill + more.Prefill, Batch: l.Batch + more.Batch, Memory: l.Memory + more.Memory}
}

// Scaled returns the load taken so many times.
func (l Load) Scaled(factor float64) Load {
	return Load{Prefill: factor * l.Prefill, Batch: factor * l.Batch, Memory: factor * l.Memory}
}

// Minus returns what is left of the load without a part of it, nothing negative.
func (l Load) Minus(part Load) Load {
	return Load{
		Prefill: max(0, l.Prefill-part.Prefill), Batch: max(0, l.Batch-part.Batch), Memory: max(0, l.Memory-part.Memory),
	}
}

// Meter measures rates. It may be used by several goroutines.
type Meter struct {
	mu       sync.Mutex
	services map[string]*rateEstimate
}

type rateEstimate struct {
	rate         Load
	updatedAt    time.Time
	timeConstant time.Duration
}

// timeConstantFor returns how long requests are remembered where servers boot for so long.
func timeConstantFor(boot time.Duration) time.Duration {
	if boot <= 0 {
		return defaultTimeConstant
	}
	return max(minTimeConstant, min(maxTimeConstant, time.Duration(bootTimeShare*float64(boot))))
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{services: map[string]*rateEstimate{}} }

// SetBootTime takes over how long servers of a service boot.
func (m *Meter) SetBootTime(service string, boot time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.estimate(service, now)
	g.decay(now)
	g.timeConstant = timeConstantFor(boot)
}

// RecordRequest notes a request.
func (m *Meter) RecordRequest(service string, work Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.estimate(service, now)
	g.decay(now)
	g.rate = g.rate.Add(work.Scaled(1 / g.timeConstant.Seconds()))
}

// estimate returns the gauge of a service; the caller holds the lock.
func (m *Meter) estimate(service string, now time.Time) *rateEstimate {
	g := m.services[service]
	if g == nil {
		g = &rateEstimate{updatedAt: now, timeConstant: defaultTimeConstant}
		m.services[service] = g
	}
	return g
}

func (g *rateEstimate) decay(now time.Time) {
	elapsed := now.Sub(g.updatedAt)
	if elapsed <= 0 {
		return
	}
	g.rate = g.rate.Scaled(math.Exp(-elapsed.Seconds() / g.timeConstant.Seconds()))
	g.updatedAt = now
}

// Rates returns the load of every service.
func (m *Meter) Rates(now time.Time) map[string]Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := make(map[string]Load, len(m.services))
	for name, g := range m.services {
		g.decay(now)
		rates[name] = g.rate
	}
	return rates
}
