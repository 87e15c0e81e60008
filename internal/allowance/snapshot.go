package allowance

import "time"

// Snapshot is what is known, at the start of a process, of what was used before it.
type Snapshot struct {
	// Usage are by workspace. One that is missing has used nothing.
	Usage map[string]Usage
	// Demand is how fast all were asked then, in tokens a second, or nil if that is not known.
	Demand map[string]float64
	// Age is how long before the start of the process that was written.
	Age time.Duration
	// Warmup is set when the writer had just started to count.
	Warmup bool
	// Unrecorded is set if there is no record. Age is then the time since the first daemon started.
	Unrecorded bool
}

const (
	// assumedDemandFactor is how much all may suddenly be asked for, as a multiple of the
	// allowance's rate, before they have told it: a start value that nothing replaces.
	// Histories with jumps to seven times the rate keep the rule with it
	// (TestJumpsStayWithin); more would hold more back from workspaces that never jump.
	assumedDemandFactor = 4
	// unknownUsageShare is the part of the tolerance that all daemons together use after a
	// start while nothing is known of before.
	unknownUsageShare = 0.25
	// usualSnapshotAge is the age up to which a record is as old as renewals and a usual death of all
	// make it. While it was not renewed for longer, a workspace may have become hot.
	usualSnapshotAge = 2 * time.Second
	// snapshotInterval is the time between two writes of a record.
	snapshotInterval = 500 * time.Millisecond
	// snapshotWriteDelay is how long it takes until a record of uses is written: a call to the store,
	// and the look at what is due ten times a second.
	snapshotWriteDelay = 100 * time.Millisecond
	// settleTimeout is how long after the start a process waits to hear all others. Then
	// those that are silent are taken for cut off.
	settleTimeout = 3 * time.Second
	// initialReportAge is how old news is taken to be before the first came: the time between
	// two reports of a large deployment.
	initialReportAge = 400 * time.Millisecond
	// unsettledRetryAfter is the advice to callers that are refused before: daemons tell each
	// other what they have used every 0.4 s.
	unsettledRetryAfter = 400 * time.Millisecond
)

// Restore takes over what is known at the start, once.
func (l *Limiter) Restore(o Snapshot, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.snapshot != nil {
		return
	}
	l.snapshot = &o
	for name, a := range l.accounts {
		l.restore(name, a, now)
	}
}

// restore counts what was used before the start, and what may have been used since that was
// written, also in the time in which no daemon ran: at the rate of the last span, and one
// burst. With half a burst, two of 360 histories of a jump within the last second and a half
// before the death of all got 1.008 and 1.039 of what the rule allows. To take what was asked
// for, in place of what was spent, refused workspaces for 8 s that had sent one large
// request.
func (l *Limiter) restore(name string, a *account, now time.Time) {
	if now.Sub(l.started) >= l.tolerance.Window {
		a.restored = true
	}
	if l.snapshot == nil || a.restored {
		return
	}
	a.restored = true
	a.used.advance(now)
	if l.snapshot.Demand != nil {
		a.peers.restoreDemand(l.snapshot.Demand[name])
	}
	if l.snapshot.Unrecorded {
		a.used.add(l.usedWithoutSnapshot(a), l.started)
		return
	}
	use, known := l.snapshot.Usage[name]
	if !known && !l.snapshot.Warmup {
		return
	}
	a.used.addUsage(use, l.started.Add(-l.snapshot.Age))
	a.used.add(max(0, min(l.usedSinceSnapshot(a, use), a.limit-a.used.sum())), l.started)
}

// usedSinceSnapshot returns what a workspace may have used after a record was written: at the rate of its last
// span, and one burst. The last span of a warmup tells no rate, since nobody was served for most of it:
// a jump counts until the next write of the record.
func (l *Limiter) usedSinceSnapshot(a *account, use Usage) float64 {
	age := l.snapshot.Age
	rate := use[spanCount-1] / (l.tolerance.Window.Seconds() / spanCount)
	unseen := rate * (age + snapshotWriteDelay).Seconds()
	if l.snapshot.Warmup {
		unseen = max(unseen, assumedDemandFactor*a.rate*min(age, snapshotInterval+snapshotWriteDelay).Seconds())
	}
	return unseen + l.burst(a) + assumedDemandFactor*a.rate*max(0, age-usualSnapshotAge).Seconds()
}

// usedWithoutSnapshot returns what a workspace may have used since the first daemon started, where nothing was
// written: a burst, and a jump since then. Daemons that start together have used nothing.
func (l *Limiter) usedWithoutSnapshot(a *account) float64 {
	if l.snapshot.Age < snapshotWriteDelay {
		return 0
	}
	return min(a.limit, l.burst(a)+assumedDemandFactor*a.rate*l.snapshot.Age.Seconds())
}

// burst returns the part of an allowance that it has beside its rate.
func (l *Limiter) burst(a *account) float64 { return a.limit - a.rate*l.tolerance.Window.Seconds() }

// Usage returns what the workspaces have used lately, for daemons that start, with what
// others may have used since they were heard. It returns false while this daemon itself
// does not know what was used before its own start, or while it stood still.
func (l *Limiter) Usage(now time.Time) (map[string]Usage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := len(l.accounts) > 0 && !l.catchingUp(now)
	uses := make(map[string]Usage, len(l.accounts))
	for name, a := range l.accounts {
		a.used.advance(now)
		use := a.used.usage()
		use[spanCount-1] += max(0, min(l.unreported(a, now), a.limit-a.used.sum()))
		known = known && (a.restored || now.Sub(l.started) >= l.tolerance.Window)
		if use != (Usage{}) {
			uses[name] = use
		}
	}
	return uses, known
}

// Demand returns how fast all daemons are asked, in tokens a second, for daemons that start.
func (l *Limiter) Demand(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		if rate := a.peers.demand.perSecond + a.ownDemand.rate(now); rate > 0 {
			asked[name] = rate
		}
	}
	return asked
}

// Warmup reports whether this process has just started to count what the workspaces use.
func (l *Limiter) Warmup(now time.Time) bool { return l.CountedFor(now) < settleTimeout }

// AdoptUsage takes over, once, what a daemon that has been running for longer tells of the
// uses, and of how fast all are asked: it has heard of what was admitted before this one's start.
func (l *Limiter) AdoptUsage(uses map[string]Usage, asked map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if a.adopted {
			continue
		}
		use := uses[name]
		a.restored, a.adopted = true, true
		if asked != nil {
			a.peers.restoreDemand(asked[name])
		}
		a.used = newWindow(l.tolerance.Window, l.started)
		a.used.advance(now)
		a.used.addUsage(use, now)
		// What this daemon has admitted may be missing there.
		a.used.add(a.spent-a.spentAtResume, now)
	}
}
