package allowance

import "time"

// initialKnownPeers is the number of other daemons while it is not known: that of the largest deployment.
const initialKnownPeers = 329

// reachablePeerShare returns the part of the other daemons that is heard.
func (l *Limiter) reachablePeerShare() float64 {
	if l.knownPeers == 0 {
		return 1
	}
	return min(1, float64(l.reachablePeers)/float64(l.knownPeers))
}

// competingPeers returns the number of other daemons that take their part of the same allowance: those that are heard, and
// after a start all that are known.
func (l *Limiter) competingPeers() int {
	if !l.settled {
		return max(l.reachablePeers, l.knownPeers)
	}
	return l.reachablePeers
}

// distributionDemandFactor is from which demand on, as a multiple of an allowance's rate, what becomes free is handed out over time:
// that of callers who ask for twice the rate and come back once when they are refused.
const distributionDemandFactor = 3

// unreported returns the most that others are taken to have admitted since they were heard.
func (l *Limiter) unreported(a *account, now time.Time) float64 {
	horizon := l.unreportedTime(a, now)
	if a.peers.measured && a.peers.demand.perSecond > distributionDemandFactor*a.rate {
		// What becomes free at once would go at once, to callers that were told when to come back.
		horizon = max(horizon, l.distributionTime())
	}
	return l.othersDemand(a, now) * horizon.Seconds()
}

// othersDemand returns how fast others are asked, in tokens a second. Until it is known, they are
// taken to be asked for much: taken for not asked at all between the first news and the
// second, each of 300 daemons that had all started took what was free for its own.
func (l *Limiter) othersDemand(a *account, now time.Time) float64 {
	switch {
	case l.alone:
		return 0
	case !a.peers.measured:
		return max(assumedDemandFactor*a.rate, a.peers.demand.perSecond, l.assumedDemand(a, now))
	}
	measured := a.peers.demand.perSecond
	if l.settled {
		measured *= l.reachablePeerShare()
	}
	if l.reportOverdue(a, now) || (a.assumeOwnDemand && a.peers.remeasuring(now)) {
		return max(measured, l.extrapolatedDemand(a, now))
	}
	return measured
}

// assumedDemand returns how fast others are asked while they have not told it, if each is asked as this daemon is.
// Where it is known how fast they were asked before, one request of this daemon says nothing.
func (l *Limiter) assumedDemand(a *account, now time.Time) float64 {
	rate := a.ownDemand.rate(now)
	if a.peers.demandRestored {
		rate = a.ownDemand.rateAfterFirst(now)
	}
	return rate * float64(l.competingPeers())
}

// extrapolatedDemand returns how fast others are asked if each is asked as this daemon is.
func (l *Limiter) extrapolatedDemand(a *account, now time.Time) float64 {
	return a.ownDemand.rate(now) * float64(l.competingPeers())
}

// reportOverdue reports whether news of others should have come by now. Those that tell them may
// have died, and what was told last says nothing of a workspace that has become hot since:
// until others are heard again, all are taken to be asked as this daemon is. With the rate of
// before, the death of most daemons just after a workspace had become hot let it use 1.03 of
// what the rule allows (TestDeathOfMostWhileAWorkspaceIsHot, 300 daemons).
func (l *Limiter) reportOverdue(a *account, now time.Time) bool {
	return !a.peers.reportedAt.IsZero() && now.Sub(a.peers.reportedAt) > reportOverdueAfter
}

// unreportedTime returns how long ago what is known of others ends.
func (l *Limiter) unreportedTime(a *account, now time.Time) time.Duration {
	heardAt := a.peers.reportedAt
	if heardAt.IsZero() {
		heardAt = l.started
	}
	return min(maxExtrapolation, l.reportAge+now.Sub(heardAt))
}
