package allowance

import "time"

// Opening is what is known, at the start of a process, of what was used before it.
type Opening struct {
	// Uses are by workspace. One that is missing has used nothing.
	Uses map[string]Use
	// Asked is how fast all were asked then, in tokens a second, or nil if that is not known.
	Asked map[string]float64
	// Age is how long before the start of the process that was written.
	Age time.Duration
	// Warmup is set when the writer had just started to count.
	Warmup bool
	// Unrecorded is set if there is no record. Age is then the time since the first daemon started.
	Unrecorded bool
}

const (
	// assumedRise is how much all may suddenly be asked for, as a multiple of the
	// allowance's rate, before they have told it: a start value that nothing replaces.
	// Histories with jumps to seven times the rate keep the rule with it
	// (TestJumpsStayWithin); more would hold more back from workspaces that never jump.
	assumedRise = 4
	// unknownShare is the part of the tolerance that all daemons together use after a
	// start while nothing is known of before.
	unknownShare = 0.25
	// usualRecord is the age up to which a record is as old as renewals and a usual death of all
	// make it. While it was not renewed for longer, a workspace may have become hot.
	usualRecord = 2 * time.Second
	// renewEvery is the time between two writes of a record.
	renewEvery = 500 * time.Millisecond
	// unseenFor is how long it takes until a record of uses is written: a call to the store,
	// and the look at what is due ten times a second.
	unseenFor = 100 * time.Millisecond
	// settleFor is how long after the start a process waits to hear all others. Then
	// those that are silent are taken for cut off.
	settleFor = 3 * time.Second
	// firstBehind is how old news is taken to be before the first came: the time between
	// two reports of a large deployment.
	firstBehind = 400 * time.Millisecond
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
	l.opening = &o
	for name, a := range l.accounts {
		l.open(name, a, now)
	}
}

// open counts what was used before the start, and what may have been used since that was
// written, also in the time in which no daemon ran: at the rate of the last span, and one
// burst. With half a burst, two of 360 histories of a jump within the last second and a half
// before the death of all got 1.008 and 1.039 of what the rule allows. To take what was asked
// for, in place of what was spent, refused workspaces for 8 s that had sent one large
// request.
func (l *Limiter) open(name string, a *account, now time.Time) {
	if now.Sub(l.started) >= l.tolerance.Window {
		a.opened = true
	}
	if l.opening == nil || a.opened {
		return
	}
	a.opened = true
	a.used.advance(now)
	if l.opening.Asked != nil {
		a.others.expect(l.opening.Asked[name])
	}
	if l.opening.Unrecorded {
		a.used.add(l.unrecorded(a), l.started)
		return
	}
	use, known := l.opening.Uses[name]
	if !known && !l.opening.Warmup {
		return
	}
	a.used.fill(use, l.started.Add(-l.opening.Age))
	a.used.add(max(0, min(l.unseen(a, use), a.limit-a.used.sum())), l.started)
}

// unseen returns what a workspace may have used after a record was written: at the rate of its last
// span, and one burst. The last span of a warmup tells no rate, since nobody was served for most of it:
// a jump counts until the next write of the record.
func (l *Limiter) unseen(a *account, use Use) float64 {
	age := l.opening.Age
	rate := use[spans-1] / (l.tolerance.Window.Seconds() / spans)
	unseen := rate * (age + unseenFor).Seconds()
	if l.opening.Warmup {
		unseen = max(unseen, assumedRise*a.rate*min(age, renewEvery+unseenFor).Seconds())
	}
	return unseen + l.burst(a) + assumedRise*a.rate*max(0, age-usualRecord).Seconds()
}

// unrecorded returns what a workspace may have used since the first daemon started, where nothing was
// written: a burst, and a jump since then. Daemons that start together have used nothing.
func (l *Limiter) unrecorded(a *account) float64 {
	if l.opening.Age < unseenFor {
		return 0
	}
	return min(a.limit, l.burst(a)+assumedRise*a.rate*l.opening.Age.Seconds())
}

// burst returns the part of an allowance that it has beside its rate.
func (l *Limiter) burst(a *account) float64 { return a.limit - a.rate*l.tolerance.Window.Seconds() }

// Uses returns what the workspaces have used lately, for daemons that start, with what
// others may have used since they were heard. It returns false while this daemon itself
// does not know what was used before its own start, or while it stood still.
func (l *Limiter) Uses(now time.Time) (map[string]Use, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := len(l.accounts) > 0 && !l.catchingUp(now)
	uses := make(map[string]Use, len(l.accounts))
	for name, a := range l.accounts {
		a.used.advance(now)
		use := a.used.lately()
		use[spans-1] += max(0, min(l.unheard(a, now), a.limit-a.used.sum()))
		known = known && (a.opened || now.Sub(l.started) >= l.tolerance.Window)
		if use != (Use{}) {
			uses[name] = use
		}
	}
	return uses, known
}

// Asked returns how fast all daemons are asked, in tokens a second, for daemons that start.
func (l *Limiter) Asked(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		if rate := a.others.asked.rate + a.own.rate(now); rate > 0 {
			asked[name] = rate
		}
	}
	return asked
}

// Warmup reports whether this process has just started to count what the workspaces use.
func (l *Limiter) Warmup(now time.Time) bool { return l.Counted(now) < settleFor }

// Adopt takes over, once, what a daemon that has been running for longer tells of the
// uses, and of how fast all are asked: it has heard of what was admitted before this one's start.
func (l *Limiter) Adopt(uses map[string]Use, asked map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if a.adopted {
			continue
		}
		use := uses[name]
		a.opened, a.adopted = true, true
		if asked != nil {
			a.others.expect(asked[name])
		}
		a.used = newWindow(l.tolerance.Window, l.started)
		a.used.advance(now)
		a.used.fill(use, now)
		// What this daemon has admitted may be missing there.
		a.used.add(a.spent-a.spentBefore, now)
	}
}
