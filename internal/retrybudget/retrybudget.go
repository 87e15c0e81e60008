// Package retrybudget limits how many requests are retried, over all daemons together. Each daemon
// enforces its own share, and the shares add up to the whole budget. It does no I/O, and callers
// pass in the current time.
package retrybudget

import (
	"sync"
	"time"
)

// Bounds is the retry budget of the whole deployment.
type Bounds struct {
	// RetryRatio is the number of retries allowed per request.
	RetryRatio float64
	// ExtraRetries is the number of additional retries allowed in each window.
	ExtraRetries float64
	Window       time.Duration
}

// usableShare is the share of the budget that may be used. The rest covers windows that are not
// aligned with the slices, and daemons that are not known yet.
const usableShare = 0.75

// Budget is one daemon's share of the retry budget. It is safe for concurrent use.
type Budget struct {
	bounds Bounds

	mu sync.Mutex
	// origin is the first time passed in. Slices are numbered from it, so that a step of the wall
	// clock has no effect.
	origin   time.Time
	daemons  int
	services map[string]*service
}

type service struct {
	requests counter
	retries  counter
}

// defaultWindow is used if Bounds.Window is not set.
const defaultWindow = 10 * time.Second

// New returns a Budget for a single daemon.
func New(bounds Bounds) *Budget {
	if bounds.Window <= 0 {
		bounds.Window = defaultWindow
	}
	return &Budget{bounds: bounds, daemons: 1, services: map[string]*service{}}
}

// SetDaemons sets the number of daemons that share ExtraRetries.
func (b *Budget) SetDaemons(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(1, count)
}

func (b *Budget) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).requests.add(b.sliceAt(now))
}

// Verdict is the decision on a retry, with the values that it is based on.
type Verdict struct {
	Admitted bool
	// Allowed is the number of retries that this daemon may send in a window, and Spent the number
	// that it has sent in the last one.
	Allowed, Spent float64
	// Daemons is the number of daemons that share the extra retries.
	Daemons int
	// CountedFor is how long this process has counted.
	CountedFor time.Duration
}

// TryRetry decides whether the budget allows another retry, and counts it if so.
func (b *Budget) TryRetry(name string, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(name)
	slice := b.sliceAt(now)
	verdict := b.state(s, slice)
	verdict.CountedFor = now.Sub(b.origin)
	verdict.Admitted = verdict.Spent+1 <= verdict.Allowed
	if verdict.Admitted {
		s.retries.add(slice)
	}
	return verdict
}

func (b *Budget) state(s *service, slice int64) Verdict {
	requests := float64(s.requests.sum(slice))
	return Verdict{
		Allowed: usableShare * (b.bounds.RetryRatio*requests + b.bounds.ExtraRetries/float64(b.daemons)),
		Spent:   float64(s.retries.sum(slice)), Daemons: b.daemons,
	}
}

// States returns what is allowed and spent, by service.
func (b *Budget) States(now time.Time) map[string]Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := make(map[string]Verdict, len(b.services))
	for name, s := range b.services {
		states[name] = b.state(s, b.sliceAt(now))
	}
	return states
}

// sliceAt returns the number of the slice that contains a time.
func (b *Budget) sliceAt(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / (b.bounds.Window / slicesPerWindow))
}

// slicesPerWindow is the number of slices that a window is divided into.
const slicesPerWindow = 20

// counter counts events over a sliding window.
type counter struct {
	counts    [slicesPerWindow + 1]int
	lastSlice int64
}

// sum returns the number of events in the window, which is rounded up to a whole slice.
func (c *counter) sum(slice int64) int {
	c.advance(slice)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}

func (c *counter) add(slice int64) {
	c.advance(slice)
	c.counts[c.lastSlice%int64(len(c.counts))]++
}

func (c *counter) advance(slice int64) {
	for steps := 0; c.lastSlice < slice && steps < len(c.counts); steps++ {
		c.lastSlice++
		c.counts[c.lastSlice%int64(len(c.counts))] = 0
	}
	c.lastSlice = max(c.lastSlice, slice)
}
