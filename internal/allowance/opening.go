package allowance

import "time"

// Opening is what is known, at the start of a process, of the deployment and of what
// was used before.
type Opening struct {
	// Daemons is the number of daemons of the deployment.
	Daemons int
	// Levels are what was left of the allowances a moment before, by workspace. What
	// is not known is missing.
	Levels map[string]float64
}

const (
	// mostDaemons is the number of daemons that one which knows of no others takes for
	// the size of the deployment: that of the size to design for. Were each to take
	// itself for the only one, 77 that start at a moment would admit eight times a
	// window's allowance within the first second.
	mostDaemons = 330
	// unknownShare is the part of the tolerance that all daemons together use after a
	// start of which nothing is known, and knownShare the most that they use where it is
	// known what was left: it is a second old, and in that second a burst may have gone.
	// Two starts within a window, and the burst that comes back (refillShare), use 0.8 of
	// the tolerance.
	unknownShare = 0.25
	knownShare   = 0.3
	// settleFor is how long after the start a process waits to hear all others. Then
	// those that are silent are taken for cut off.
	settleFor = 3 * time.Second
	// untilSettled is the advice to callers that are refused before: daemons tell each
	// other what they have used every 0.4 s.
	untilSettled = 400 * time.Millisecond
)

// Open takes over what is known at the start, once.
func (l *Limiter) Open(o Opening, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opening != nil {
		return
	}
	o.Daemons = max(1, o.Daemons)
	l.opening = &o
	for name, b := range l.buckets {
		l.open(name, b, now)
	}
	if !l.settled {
		l.setReach(1, o.Daemons, now)
	}
}

// open adds this daemon's part of what all may use after their start. What the others
// use of theirs is not taken off the bucket.
func (l *Limiter) open(name string, b *bucket, now time.Time) {
	if l.opening == nil || b.opened || now.Sub(l.started) >= settleFor {
		return
	}
	b.opened = true
	tolerance := l.tolerance.of(b.rate, b.burst)
	opening := min(b.burst, unknownShare*tolerance)
	if level, known := l.opening.Levels[name]; known {
		opening = max(0, min(level, knownShare*tolerance))
	}
	own := opening / float64(l.opening.Daemons)
	b.level = min(b.burst, b.level+own)
	b.theirs = opening - own
}

// settle ends the start once all daemons are heard, or have had time to be.
func (l *Limiter) settle(now time.Time) {
	if l.settled || (l.share < 1 && now.Sub(l.started) < settleFor) {
		return
	}
	l.settled = true
}

// Adopt takes over the levels of a daemon that has been running for longer: it
// has heard of what was admitted before this one's start.
func (l *Limiter) Adopt(levels map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, level := range levels {
		b := l.buckets[name]
		if b == nil {
			continue
		}
		b.level, b.theirs, b.opened = min(b.burst, level), 0, true
	}
}
