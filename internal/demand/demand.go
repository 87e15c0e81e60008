// Package demand measures the load that callers put on each service. It does no I/O; the time is
// passed in.
package demand

import (
	"math"
	"sync"
	"time"
)

const (
	// defaultTimeConstant is the time constant of the rates' exponential decay while the boot time
	// of servers is unknown. After it, a request has lost most of its weight (1 - 1/e).
	defaultTimeConstant = 3 * time.Second
	// bootTimeShare is the time constant divided by the boot time. It is below one so that a burst
	// shows in the rates before a server could boot. minTimeConstant and maxTimeConstant limit the
	// time constant: shorter ones measure noise, longer ones miss bursts.
	bootTimeShare   = 0.75
	minTimeConstant = 2 * time.Second
	maxTimeConstant = 6 * time.Second
)

// Load is the work for the engines of a service, by resource. For a request, the unit is seconds of
// one engine. As a rate, per second, it is the number of engines that are kept busy.
type Load struct {
	// Prefill is the time that an engine spends on the prompt.
	Prefill float64 `json:"reading"`
	// Batch is the time that a batch slot is occupied, as a fraction of all slots of an engine.
	Batch float64 `json:"places"`
	// Memory is the time that KV cache memory is occupied, as a fraction of an engine's memory.
	Memory float64 `json:"memory"`
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{Prefill: l.Prefill + other.Prefill, Batch: l.Batch + other.Batch, Memory: l.Memory + other.Memory}
}

// Scaled returns the load multiplied by a factor.
func (l Load) Scaled(factor float64) Load {
	return Load{Prefill: factor * l.Prefill, Batch: factor * l.Batch, Memory: factor * l.Memory}
}

// Minus returns the load reduced by a part of it. No component becomes negative.
func (l Load) Minus(part Load) Load {
	return Load{
		Prefill: max(0, l.Prefill-part.Prefill), Batch: max(0, l.Batch-part.Batch), Memory: max(0, l.Memory-part.Memory),
	}
}

// Max returns the larger value of each component.
func (l Load) Max(other Load) Load {
	return Load{Prefill: max(l.Prefill, other.Prefill), Batch: max(l.Batch, other.Batch), Memory: max(l.Memory, other.Memory)}
}

// valid reports whether the load can be one: it may come from another process.
func (l Load) valid() bool {
	for _, value := range []float64{l.Prefill, l.Batch, l.Memory} {
		if !(value >= 0) || math.IsInf(value, 1) {
			return false
		}
	}
	return true
}

// Meter measures the load of each service. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	services map[string]*rateEstimate
}

type rateEstimate struct {
	rate         Load
	updatedAt    time.Time
	timeConstant time.Duration
	// byClass and origins are the parts of rate by the requests' origins.
	byClass ByClass
	origins map[Origin]originRate
}

// timeConstantFor returns the time constant for servers with the given boot time.
func timeConstantFor(boot time.Duration) time.Duration {
	if boot <= 0 {
		return defaultTimeConstant
	}
	return max(minTimeConstant, min(maxTimeConstant, time.Duration(bootTimeShare*float64(boot))))
}

// NewMeter returns a meter without observations.
func NewMeter() *Meter { return &Meter{services: map[string]*rateEstimate{}} }

// warmupTimeConstants is the number of time constants after which a rate includes nearly all of a
// steady demand (1 - 1/e^2).
const warmupTimeConstants = 2

// Warmup returns how long the meter must run until its rates are complete.
func (m *Meter) Warmup() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := defaultTimeConstant
	for _, g := range m.services {
		longest = max(longest, g.timeConstant)
	}
	return warmupTimeConstants * longest
}

// SetBootTime sets the boot time of a service's servers.
func (m *Meter) SetBootTime(service string, boot time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.estimate(service, now)
	g.decay(now)
	g.timeConstant = timeConstantFor(boot)
}

// RecordRequest adds a request to the load of a service.
func (m *Meter) RecordRequest(service string, from Origin, work Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.estimate(service, now)
	g.decay(now)
	rate := work.Scaled(1 / g.timeConstant.Seconds())
	g.rate = g.rate.Add(rate)
	g.recordOrigin(from, rate, now)
}

// estimate returns the rate estimate of a service and creates it if needed. The caller must hold
// the lock.
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
	remaining := math.Exp(-elapsed.Seconds() / g.timeConstant.Seconds())
	g.rate = g.rate.Scaled(remaining)
	for class := range g.byClass {
		g.byClass[class] = g.byClass[class].Scaled(remaining)
	}
	g.updatedAt = now
}

// Rates returns the current load of every service, in busy engines.
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
