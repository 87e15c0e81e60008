// Package demand measures what callers ask of each service. It does no I/O; the time
// is passed in.
package demand

import (
	"math"
	"sync"
	"time"
)

const (
	// startMemory is the time after which a request has lost most of its weight (1 - 1/e)
	// in the rates, until the boot time of servers is known.
	startMemory = 3 * time.Second
	// bootShare is the part of a server's boot time that is remembered: a burst shows
	// before a server has booted. leastMemory and mostMemory bound it: shorter is noise,
	// longer would miss a burst altogether.
	bootShare   = 0.75
	leastMemory = 2 * time.Second
	mostMemory  = 6 * time.Second
)

// Load is how much of the engines of a service is asked for, by resource. For a
// request it is in seconds of one engine; as a rate, a second, it is the number of
// engines that are kept busy.
type Load struct {
	// Reading is the time for which an engine reads the prompt.
	Reading float64 `json:"reading"`
	// Places is the time for which a place in the batch is held, as a part of all places
	// of an engine.
	Places float64 `json:"places"`
	// Memory is the same for the memory of an engine.
	Memory float64 `json:"memory"`
}

// Add returns the sum of two loads.
func (l Load) Add(more Load) Load {
	return Load{Reading: l.Reading + more.Reading, Places: l.Places + more.Places, Memory: l.Memory + more.Memory}
}

// Times returns the load taken so many times.
func (l Load) Times(factor float64) Load {
	return Load{Reading: factor * l.Reading, Places: factor * l.Places, Memory: factor * l.Memory}
}

// Less returns what is left of the load without a part of it, nothing negative.
func (l Load) Less(part Load) Load {
	return Load{
		Reading: max(0, l.Reading-part.Reading), Places: max(0, l.Places-part.Places), Memory: max(0, l.Memory-part.Memory),
	}
}

// Meter measures rates. It may be used by several goroutines.
type Meter struct {
	mu       sync.Mutex
	services map[string]*gauge
}

type gauge struct {
	rate   Load
	at     time.Time
	memory time.Duration
}

// memoryFor returns how long requests are remembered where servers boot for so long.
func memoryFor(boot time.Duration) time.Duration {
	if boot <= 0 {
		return startMemory
	}
	return max(leastMemory, min(mostMemory, time.Duration(bootShare*float64(boot))))
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{services: map[string]*gauge{}} }

// Boots takes over how long servers of a service boot.
func (m *Meter) Boots(service string, boot time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.gauge(service, now)
	g.decay(now)
	g.memory = memoryFor(boot)
}

// Asked notes a request.
func (m *Meter) Asked(service string, work Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.gauge(service, now)
	g.decay(now)
	g.rate = g.rate.Add(work.Times(1 / g.memory.Seconds()))
}

// gauge returns the gauge of a service; the caller holds the lock.
func (m *Meter) gauge(service string, now time.Time) *gauge {
	g := m.services[service]
	if g == nil {
		g = &gauge{at: now, memory: startMemory}
		m.services[service] = g
	}
	return g
}

func (g *gauge) decay(now time.Time) {
	elapsed := now.Sub(g.at)
	if elapsed <= 0 {
		return
	}
	g.rate = g.rate.Times(math.Exp(-elapsed.Seconds() / g.memory.Seconds()))
	g.at = now
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
