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
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Extra is the number of repeats beyond that in a window.
	Extra  float64
	Window time.Duration
}

// margin is the part of the budget that is used. The rest covers a window that
// slides over the end of ours, and daemons that are not known yet.
const margin = 0.75

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
	repeats  counter
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

// Count notes the first sending of a request.
func (b *Budget) Count(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).requests.add(b.slice(now))
}

// Take asks for one more sending and counts it when there is room.
func (b *Budget) Take(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(name)
	slice := b.slice(now)
	requests := float64(s.requests.sum(slice))
	repeats := float64(s.repeats.sum(slice))
	allowed := margin * (b.bounds.Ratio*requests + b.bounds.Extra/float64(b.daemons))
	if repeats+1 > allowed {
		return false
	}
	s.repeats.add(slice)
	return true
}

// slice numbers the slice of the window that holds a time.
func (b *Budget) slice(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / (b.bounds.Window / slices))
}

// slices is the number of parts that a window is counted in.
const slices = 20

// counter counts events over a sliding window.
type counter struct {
	counts [slices + 1]int
	last   int64
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
	c.counts[c.last%int64(len(c.counts))]++
}

func (c *counter) advance(slice int64) {
	for steps := 0; c.last < slice && steps < len(c.counts); steps++ {
		c.last++
		c.counts[c.last%int64(len(c.counts))] = 0
	}
	c.last = max(c.last, slice)
}
