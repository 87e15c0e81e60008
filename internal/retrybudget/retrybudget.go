// Package retrybudget bounds how often requests are sent beyond their first
// time, over all daemons together: each daemon takes its part, and the parts
// add up. It does no I/O; the time is passed in.
package retrybudget

import (
	"sync"
	"time"
)

// Bounds are the limits of the whole deployment.
type Bounds struct {
	// RetryRatio is the number of repeats for each request.
	RetryRatio float64
	// ExtraRetries is the number of repeats beyond that in a window.
	ExtraRetries float64
	Window       time.Duration
}

// usableShare is the part of the budget that is used. The rest covers a window that
// slides over the end of ours, and daemons that are not known yet.
const usableShare = 0.75

// Budget is one daemon's part.
type Budget struct {
	bounds Bounds

	mu sync.Mutex
	// origin is the first time seen. Slices are counted from it, so that a step
	// of the time of day moves nothing.
	origin   time.Time
	daemons  int
	services map[string]*service
}

type service struct {
	requests counter
	retries  counter
}

// defaultWindow is used where no window is set.
const defaultWindow = 10 * time.Second

// New returns a budget for a single daemon.
func New(bounds Bounds) *Budget {
	if bounds.Window <= 0 {
		bounds.Window = defaultWindow
	}
	return &Budget{bounds: bounds, daemons: 1, services: map[string]*service{}}
}

// SetDaemons sets the number of daemons that share the extra repeats.
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

// CountRequest notes the first sending of a request.
func (b *Budget) CountRequest(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).requests.add(b.sliceAt(now))
}

// TryRetry asks for one more sending and counts it when there is room.
func (b *Budget) TryRetry(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(name)
	slice := b.sliceAt(now)
	requests := float64(s.requests.sum(slice))
	repeats := float64(s.retries.sum(slice))
	allowed := usableShare * (b.bounds.RetryRatio*requests + b.bounds.ExtraRetries/float64(b.daemons))
	if repeats+1 > allowed {
		return false
	}
	s.retries.add(slice)
	return true
}

// sliceAt numbers the slice of the window that holds a time.
func (b *Budget) sliceAt(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / (b.bounds.Window / slicesPerWindow))
}

// slicesPerWindow is the number of parts that a window is counted in.
const slicesPerWindow = 20

// counter counts events over a sliding window.
type counter struct {
	counts    [slicesPerWindow + 1]int
	lastSlice int64
}

// sum counts what lies in the window, rounded up to a whole slice.
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
