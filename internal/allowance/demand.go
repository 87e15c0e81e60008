package allowance

import "time"

// unknownPeers is the number of other daemons while it is not known: that of the largest deployment.
const unknownPeers = 329

// peersHeard returns the part of the other daemons that is heard.
func (l *Limiter) peersHeard() float64 {
	if l.knownPeers == 0 {
		return 1
	}
	return min(1, float64(l.peers)/float64(l.knownPeers))
}

// rivals returns the number of other daemons that take their part of the same allowance: those that are heard, and
// after a start all that are known.
func (l *Limiter) rivals() int {
	if !l.settled {
		return max(l.peers, l.knownPeers)
	}
	return l.peers
}

// smoothFrom is from which demand on, as a multiple of an allowance's rate, what becomes free is handed out over time:
// that of callers who ask for twice the rate and come back once when they are refused.
const smoothFrom = 3

// unheard returns the most that others are taken to have admitted since they were heard.
func (l *Limiter) unheard(a *account, now time.Time) float64 {
	horizon := l.horizon(a, now)
	if a.others.measured && a.others.asked.rate > smoothFrom*a.rate {
		// What becomes free at once would go at once, to callers that were told when to come back.
		horizon = max(horizon, l.handOut())
	}
	return l.asked(a, now) * horizon.Seconds()
}

// asked returns how fast others are asked, in tokens a second. Until it is known, they are
// taken to be asked for much: taken for not asked at all between the first news and the
// second, each of 300 daemons that had all started took what was free for its own.
func (l *Limiter) asked(a *account, now time.Time) float64 {
	switch {
	case l.alone:
		return 0
	case !a.others.measured:
		return max(assumedRise*a.rate, a.others.asked.rate, l.assumed(a, now))
	}
	measured := a.others.asked.rate
	if l.settled {
		measured *= l.peersHeard()
	}
	if l.overdue(a, now) || (a.likeOwn && a.others.disturbed(now)) {
		return max(measured, l.asOwn(a, now))
	}
	return measured
}

// assumed returns how fast others are asked while they have not told it, if each is asked as this daemon is.
// Where it is known how fast they were asked before, one request of this daemon says nothing.
func (l *Limiter) assumed(a *account, now time.Time) float64 {
	rate := a.own.rate(now)
	if a.others.expected {
		rate = a.own.rateAfterFirst(now)
	}
	return rate * float64(l.rivals())
}

// asOwn returns how fast others are asked if each is asked as this daemon is.
func (l *Limiter) asOwn(a *account, now time.Time) float64 {
	return a.own.rate(now) * float64(l.rivals())
}

// overdue reports whether news of others should have come by now. Those that tell them may
// have died, and what was told last says nothing of a workspace that has become hot since:
// until others are heard again, all are taken to be asked as this daemon is. With the rate of
// before, the death of most daemons just after a workspace had become hot let it use 1.03 of
// what the rule allows (TestDeathOfMostWhileAWorkspaceIsHot, 300 daemons).
func (l *Limiter) overdue(a *account, now time.Time) bool {
	return !a.others.heardAt.IsZero() && now.Sub(a.others.heardAt) > overdueAfter
}

// horizon returns how long ago what is known of others ends.
func (l *Limiter) horizon(a *account, now time.Time) time.Duration {
	heardAt := a.others.heardAt
	if heardAt.IsZero() {
		heardAt = l.started
	}
	return min(reckonFor, l.behind+now.Sub(heardAt))
}
