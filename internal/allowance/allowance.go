// Package allowance enforces how many tokens a workspace may use, over all
// daemons together. Each daemon keeps the whole allowance as a token bucket and
// takes from it what it admits itself and what its peers report. It does no
// I/O; the time is passed in.
package allowance

import (
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
)

// maxDebt bounds, in bursts, how far a report can push a bucket below empty:
// far enough for what peers admit between two reports, but not for what they
// admitted during a long partition.
const maxDebt = 4

const (
	// reckonFor is how long others are taken to go on spending after they were
	// last heard: the time after which a silent daemon counts as not reached.
	reckonFor = 1500 * time.Millisecond
	// riseWeight and fallWeight are the weights of a new report in how fast others
	// spend. It falls slowly: were all to forget while a workspace is refused that
	// others ask for it too, all would admit at once when there is something again.
	riseWeight = 0.3
	// heldEach is the part of a burst that is held back for each daemon of the
	// deployment, and mostHeld the most: when a workspace suddenly asks for more, all
	// admit from the same burst until they hear of each other. 86 daemons that hear
	// sums every 0.4 s admitted 0.3 times the burst too much without.
	heldEach   = 0.006
	mostHeld   = 0.5
	fallWeight = 0.05
)

// Limiter holds the buckets of the workspaces.
type Limiter struct {
	mu        sync.Mutex
	started   time.Time
	tolerance Tolerance
	// opening is what was known at the start, once it is known. settled is set once
	// all daemons were heard.
	opening *Opening
	settled bool
	// share is the part of each allowance that this daemon may count on. It is
	// below one while some peers cannot be heard.
	share   float64
	buckets map[string]*bucket
	heard   map[reporter]map[string]float64
}

// reporter is one process of a peer.
type reporter struct {
	vm          string
	incarnation uint64
}

type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	// spent is all that this daemon has admitted.
	spent float64
	// theirs is the part of the opening that other daemons have not used yet, as far as
	// they have told, and opened is set once the opening is known.
	theirs float64
	opened bool
	// others is how fast the other daemons spend, in tokens per second, as of
	// heardAt. drawn is what was taken off for it since.
	others  float64
	drawn   float64
	heardAt time.Time
	// held is the part of the burst that is held back.
	held float64
}

// Tolerance is how far above its allowance a workspace may get in a window.
type Tolerance struct {
	Window time.Duration
	// Over is a share of the window's allowance, Tokens a number besides.
	Over   float64
	Tokens float64
}

// of returns the tolerance of an allowance, in tokens of a window.
func (t Tolerance) of(rate, burst float64) float64 {
	return t.Over*(rate*t.Window.Seconds()+burst) + t.Tokens
}

// refillShare is the part of the tolerance that is used by the burst that comes back
// within a window. Other parts are used at the start (see Opening). The rest covers
// what daemons admit before they hear of each other.
const refillShare = 0.2

// NewLimiter returns a limiter without workspaces. Buckets fill from the start
// of the process on: what was admitted before it is not known. Until it is told of
// others, it takes itself for one of many.
func NewLimiter(tolerance Tolerance, now time.Time) *Limiter {
	return &Limiter{started: now, tolerance: tolerance, share: 1.0 / mostDaemons, buckets: map[string]*bucket{}, heard: map[reporter]map[string]float64{}}
}

// ApplyCatalog takes over the allowances of a configuration.
func (l *Limiter) ApplyCatalog(c *catalog.Catalog, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[string]*bucket{}
	for _, w := range c.Workspaces {
		b := l.buckets[w.Name]
		if b == nil {
			b = &bucket{level: min(w.Burst, now.Sub(l.started).Seconds()*w.TokensPerSecond*l.share), at: now}
		}
		b.refill(now, l.share)
		b.rate, b.burst = l.refillRate(w.TokensPerSecond, w.Burst), w.Burst
		l.open(w.Name, b, now)
		b.level = min(b.level, b.most(l.share))
		next[w.Name] = b
	}
	l.buckets = next
}

// Levels returns what is left in the buckets.
func (l *Limiter) Levels(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	levels := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		b.refill(now, l.share)
		levels[name] = b.level
	}
	return levels
}

// refillRate is the rate at which a bucket fills. The allowance is meant for
// windows: the rate over the window and one burst. A bucket that fills at the
// bare rate would give a busy workspace its burst once and never again. So the
// burst comes back within a window, as far as a part of the tolerance covers
// that a window may then hold two bursts.
func (l *Limiter) refillRate(rate, burst float64) float64 {
	if rate <= 0 || l.tolerance.Window <= 0 {
		return rate
	}
	again := min(burst, refillShare*l.tolerance.of(rate, burst))
	return rate + again/l.tolerance.Window.Seconds()
}

// SetReach takes over how many of the known daemons are heard, this one
// included. Each side of a partition uses its part, so that the parts never add
// up to more than the whole.
func (l *Limiter) SetReach(heard, known int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setReach(heard, known, now)
}

func (l *Limiter) setReach(heard, known int, now time.Time) {
	share := 1.0
	if known > 0 {
		share = min(1, float64(heard)/float64(known))
	}
	for _, b := range l.buckets {
		b.refill(now, l.share)
		b.held = min(mostHeld, float64(known)*heldEach)
		if heard <= 1 {
			// Others may go on, but with their own part.
			b.others = 0
		} else if share < l.share {
			b.others *= share / l.share
		}
		b.level = min(b.level, b.most(share))
	}
	l.share = share
	l.settle(now)
}

func (b *bucket) refill(now time.Time, share float64) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.level = min(b.most(share), b.level+elapsed.Seconds()*b.rate*share)
	// What others have spent since they were last heard is not known yet. They are
	// taken to go on as before.
	if silent := now.Sub(b.heardAt); silent < reckonFor {
		draw := b.others * min(elapsed, silent).Seconds()
		b.drawn += draw
		b.level = max(b.level-draw, -maxDebt*b.burst)
	}
}

// most is the highest level of the bucket.
func (b *bucket) most(share float64) float64 { return b.burst * share * (1 - b.held) }

// hear takes over what the others have spent since they were last heard.
func (b *bucket) hear(tokens float64, now time.Time, share float64) {
	b.refill(now, share)
	fromOpening := max(0, min(tokens, b.theirs))
	b.theirs -= fromOpening
	b.level = min(b.most(share), max(b.level+b.drawn-tokens+fromOpening, -maxDebt*b.burst))
	b.drawn = 0
	if elapsed := now.Sub(b.heardAt).Seconds(); elapsed > 0 && !b.heardAt.IsZero() {
		seen := max(0, tokens) / elapsed
		weight := riseWeight
		if seen < b.others {
			weight = fallWeight
		}
		b.others += weight * (seen - b.others)
	}
	b.heardAt = now
}

// Admit takes tokens from a workspace's allowance, or says when enough will be
// there.
func (l *Limiter) Admit(workspace string, tokens float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspace]
	if b == nil || b.rate <= 0 {
		return true, 0
	}
	b.refill(now, l.share)
	// A request above the whole burst is admitted from a full bucket.
	need := min(tokens, b.most(l.share))
	if !l.settled {
		// The share is small for a moment only, at all daemons. Were each to admit a
		// large request from its full share, all would.
		need = min(tokens, b.most(1))
	}
	if b.level < need && !l.settled {
		return false, untilSettled
	}
	if b.level < need {
		wait := (need - b.level) / (b.rate * l.share)
		return false, time.Duration(wait * float64(time.Second))
	}
	b.level -= tokens
	b.spent += tokens
	return true, 0
}

// Refund gives back the tokens of a request that has not run.
func (l *Limiter) Refund(workspace string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.level += tokens
		b.spent -= tokens
	}
}

// Spent returns what this daemon has admitted, by workspace.
func (l *Limiter) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	spent := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		if b.spent != 0 {
			spent[name] = b.spent
		}
	}
	return spent
}

// Heard takes over what a peer's process, or all others as that process tells,
// have admitted since its start. first is set when this daemon had not listened to
// a process that has been running for a while: what was spent before is older than
// this daemon's buckets, or came from another source.
func (l *Limiter) Heard(vm string, incarnation uint64, spent map[string]float64, first bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := reporter{vm, incarnation}
	before := l.heard[key]
	switch {
	case first:
		before = nil
	case before == nil:
		before = map[string]float64{}
	}
	if before != nil {
		for name, b := range l.buckets {
			b.hear(spent[name]-before[name], now, l.share)
		}
	}
	for old := range l.heard {
		if old.vm == vm && old != key {
			delete(l.heard, old)
		}
	}
	l.heard[key] = spent
}
