package allowance

import "time"

// Snapshot is the recorded usage from before the start of a process.
type Snapshot struct {
	// Usage holds the usage by workspace. A workspace that is missing has used nothing.
	Usage map[string]Usage
	// Demand is the demand at all daemons, in tokens per second, or nil if it is not known.
	Demand map[string]float64
	// Age is the time from writing the snapshot to the start of the process.
	Age time.Duration
	// Warmup is set if the writer had just started to count.
	Warmup bool
	// Unrecorded is set if no snapshot exists. Age is then the time since the first daemon started.
	Unrecorded bool
}

const (
	// assumedDemandFactor is the demand at all daemons that is assumed before they report it, as a
	// multiple of the allowance's rate. No measurement replaces it. With this value, jumps to seven
	// times the rate stay within the bound (TestJumpsStayWithin). A larger value would hold more
	// tokens back from workspaces whose demand never jumps.
	assumedDemandFactor = 4
	// unknownUsageShare is the share of the tolerance that all daemons together may use while the
	// earlier usage is unknown.
	unknownUsageShare = 0.25
	// usualSnapshotAge is the age that a snapshot reaches with regular writes and an ordinary
	// restart of all daemons. If it is older, writes have failed, and a workspace's demand may have
	// jumped since the last one.
	usualSnapshotAge = 2 * time.Second
	// snapshotInterval is the time between two writes of the snapshot.
	snapshotInterval = 500 * time.Millisecond
	// snapshotWriteDelay is how long it takes to write a snapshot: a call to the store, plus the
	// wait for the check of due work, which runs ten times a second.
	snapshotWriteDelay = 100 * time.Millisecond
	// settleTimeout is how long after the start a process waits to reach all other daemons. After
	// that, silent daemons count as partitioned.
	settleTimeout = 3 * time.Second
	// initialReportAge is the assumed age of reports before the first one: the report interval of a
	// large deployment.
	initialReportAge = 400 * time.Millisecond
	// unsettledRetryAfter is the retry delay while the earlier usage is unknown. Daemons exchange
	// their usage every 0.4 s.
	unsettledRetryAfter = 400 * time.Millisecond
)

// Restore sets the usage from before the start. Only the first call has an effect.
func (l *Limiter) Restore(snapshot Snapshot, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.snapshot != nil {
		return
	}
	l.snapshot = &snapshot
	for name, a := range l.accounts {
		l.restore(name, a, now)
	}
}

// restore adds the usage before the start to an account. It also adds what may have been used after
// the snapshot was written, including the time when no daemon ran: the rate of the last span over
// that time, plus one burst. With half a burst, 2 of 360 simulations of a jump within 1.5 s before
// the death of all daemons reached 1.008 and 1.039 of the bound. Using the demand in place of the
// spent tokens refused workspaces for 8 s after a single large request.
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
	if a.counter {
		a.used.spreadUsage(l.snapshot.Usage[name], l.started.Add(-l.snapshot.Age))
		return
	}
	if l.snapshot.Unrecorded {
		a.used.add(l.usedWithoutSnapshot(a), l.started)
		return
	}
	usage, known := l.snapshot.Usage[name]
	if !known && !l.snapshot.Warmup && !a.discrete {
		return
	}
	a.used.addUsage(usage, l.started.Add(-l.snapshot.Age))
	since := l.usedSinceSnapshot(a, usage)
	if a.discrete {
		since = l.spentSinceSnapshot(a, usage, l.snapshot.Demand[name])
	}
	a.used.add(max(0, min(since, a.limit-a.used.sum())), l.started)
}

// spentSinceSnapshot returns what an account of single requests may have used after the snapshot was
// written: until the next one would have been, all that was asked for, and the rate of the last span over
// the rest of the time. After a longer time the demand may have jumped.
func (l *Limiter) spentSinceSnapshot(a *account, usage Usage, demand float64) float64 {
	rate := usage[spanCount-1] / (a.used.length().Seconds() / spanCount)
	unrecorded := min(l.snapshot.Age, snapshotInterval+snapshotWriteDelay)
	used := max(rate, demand)*unrecorded.Seconds() + rate*(l.snapshot.Age-unrecorded).Seconds()
	return used + assumedDemandFactor*a.rate*max(0, l.snapshot.Age-usualSnapshotAge).Seconds()
}

// usedSinceSnapshot returns what a workspace may have used after the snapshot was written: the rate
// of its last span over that time, plus one burst. During a warmup the last span says nothing about
// the rate, because hardly any request was served in it. A jump in demand is then assumed until the
// next write of the snapshot.
func (l *Limiter) usedSinceSnapshot(a *account, usage Usage) float64 {
	age := l.snapshot.Age
	rate := usage[spanCount-1] / (l.tolerance.Window.Seconds() / spanCount)
	used := rate * (age + snapshotWriteDelay).Seconds()
	if l.snapshot.Warmup {
		used = max(used, assumedDemandFactor*a.rate*min(age, snapshotInterval+snapshotWriteDelay).Seconds())
	}
	return used + l.burst(a) + assumedDemandFactor*a.rate*max(0, age-usualSnapshotAge).Seconds()
}

// usedWithoutSnapshot returns what a workspace may have used since the first daemon started if no
// snapshot was written: a burst, plus a jump in demand since then. Daemons that start together with
// the first one count nothing.
func (l *Limiter) usedWithoutSnapshot(a *account) float64 {
	if l.snapshot.Age < snapshotWriteDelay {
		return 0
	}
	return min(a.limit, l.burst(a)+assumedDemandFactor*a.rate*l.snapshot.Age.Seconds())
}

// burst returns the part of an allowance that exceeds its rate over the window.
func (l *Limiter) burst(a *account) float64 { return a.limit - a.rate*l.tolerance.Window.Seconds() }

// Usage returns the recent usage of the workspaces for daemons that start, including an estimate of
// what peers have not reported yet. It returns false while this daemon does not know the usage
// before its own start, or what it missed in a stall.
func (l *Limiter) Usage(now time.Time) (map[string]Usage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := len(l.accounts) > 0 && !l.catchingUp(now)
	usage := make(map[string]Usage, len(l.accounts))
	for name, a := range l.accounts {
		a.used.advance(now)
		recent := a.used.usage()
		if a.discrete {
			recent[spanCount-1] += l.spentByUnreachable(a)
		}
		if !a.counter {
			recent[spanCount-1] += max(0, min(l.unreportedToNext(a, now), a.limit-a.used.sum()))
		}
		known = known && (a.restored || now.Sub(l.started) >= l.tolerance.Window)
		if recent != (Usage{}) {
			usage[name] = recent
		}
	}
	return usage, known
}

// unreportedToNext returns what peers may have spent that they have not reported, for a daemon that starts. The
// high demand that is assumed until it has been measured would add up over daemons that start one after the other,
// so a daemon that has adopted the demand as another one has measured it hands that on.
func (l *Limiter) unreportedToNext(a *account, now time.Time) float64 {
	if a.discrete && a.adopted && a.peers.demandRestored && !a.peers.measured && !l.alone {
		return a.peers.demand.perSecond * l.unreportedTime(a, now).Seconds()
	}
	return l.unreported(a, now)
}

// Demand returns the demand at all daemons, in tokens per second, for daemons that start.
func (l *Limiter) Demand(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		if rate := a.peers.demand.perSecond + a.ownDemand.rate(now); rate > 0 {
			demand[name] = rate
		}
	}
	return demand
}

// Warmup reports whether this process has only just started to count the usage.
func (l *Limiter) Warmup(now time.Time) bool { return l.CountedFor(now) < settleTimeout }

// AdoptUsage replaces the usage and demand by those of a daemon that has been running for longer
// and has therefore counted what was admitted before this process started. It has an effect once
// per account, and again after a stall.
func (l *Limiter) AdoptUsage(usage map[string]Usage, demand map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if a.adopted {
			continue
		}
		workspaceUsage := usage[name]
		a.restored, a.adopted = true, true
		if demand != nil {
			a.peers.restoreDemand(demand[name])
		}
		a.used = newWindow(a.used.length(), l.started)
		a.used.advance(now)
		if a.counter {
			a.used.spreadUsage(workspaceUsage, now)
		} else {
			a.used.addUsage(workspaceUsage, now)
		}
		if a.discrete {
			a.adoptedAt, a.adoptedInSlot = now, *a.used.slotAt(now)
		}
		// The peer may not have counted what this daemon has admitted.
		a.used.add(a.spent-a.spentAtResume, now)
	}
}
