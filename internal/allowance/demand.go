package allowance

import "time"

// initialKnownPeers is the assumed number of other daemons until it is known: that of the largest
// deployment.
const initialKnownPeers = 329

// reachablePeerShare returns the share of the other daemons that are reachable.
func (l *Limiter) reachablePeerShare() float64 {
	if l.knownPeers == 0 {
		return 1
	}
	return min(1, float64(l.reachablePeers)/float64(l.knownPeers))
}

// competingPeers returns the number of other daemons that use the same allowance: the reachable
// ones or, until the limiter is settled, all known ones.
func (l *Limiter) competingPeers() int {
	if !l.settled {
		return max(l.reachablePeers, l.knownPeers)
	}
	return l.reachablePeers
}

// distributionDemandFactor is the demand, as a multiple of the allowance's rate, above which freed
// tokens are distributed over time. Callers who ask for twice the rate and retry once when refused
// reach it.
const distributionDemandFactor = 3

// unreported returns the most that peers are assumed to have admitted since their last report.
func (l *Limiter) unreported(a *account, now time.Time) float64 {
	span := l.unreportedTime(a, now)
	if a.peers.measured && a.peers.demand.perSecond > distributionDemandFactor*a.rate {
		// Tokens that become free would otherwise go at once to callers that were told to retry
		// then.
		span = max(span, l.distributionTime())
	}
	return l.othersDemand(a, now) * span.Seconds()
}

// othersDemand returns the demand at the other daemons, in tokens per second. Until it has been
// measured, a high demand is assumed. When it was taken for zero between the first and the second
// report, each of 300 daemons that had started together took the free tokens for itself.
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

// assumedDemand returns the demand at the other daemons before they report it, assuming that each
// has the same demand as this one. If the earlier demand has been restored, this daemon's first
// request is left out, because a single request says nothing about the rate.
func (l *Limiter) assumedDemand(a *account, now time.Time) float64 {
	rate := a.ownDemand.rate(now)
	if a.peers.demandRestored {
		rate = a.ownDemand.rateAfterFirst(now)
	}
	return rate * float64(l.competingPeers())
}

// extrapolatedDemand returns the demand at the other daemons if each has the same demand as this
// one.
func (l *Limiter) extrapolatedDemand(a *account, now time.Time) float64 {
	return a.ownDemand.rate(now) * float64(l.competingPeers())
}

// reportOverdue reports whether the next report of peers is overdue. The daemons that send it may
// have died, and the last report does not cover a demand that has jumped since. Until the next
// report, all peers are assumed to have the same demand as this daemon. When the last measured
// demand was used instead, the death of most daemons just after a jump let the workspace use 1.03
// of the bound (TestDeathOfMostWhileAWorkspaceIsHot, 300 daemons).
func (l *Limiter) reportOverdue(a *account, now time.Time) bool {
	return !a.peers.reportedAt.IsZero() && now.Sub(a.peers.reportedAt) > reportOverdueAfter
}

// spentInSilence returns what peers are assumed to have spent since the next report of them was due, if it
// has not arrived. What leaves the window would otherwise count as free at each daemon.
func (l *Limiter) spentInSilence(a *account, now time.Time) float64 {
	switch {
	case a.assumeOwnDemand && l.reportOverdue(a, now):
		return a.peers.unreportedSpend(now)
	case a.assumeOwnDemand || a.discrete || l.catchingUp(now) || a.peers.reportedAt.IsZero():
		return 0
	}
	silence := min(maxExtrapolation, a.peers.reportAge(now)-l.reportInterval)
	return l.silentRate(a, now) * max(0, silence).Seconds()
}

// spentBetweenSources returns what peers are assumed to have spent that neither the last report of one source
// nor the next ones of another one contain. The counters of a source that has just started lack each
// peer until its second report has arrived. A workspace that asks for less than its rate needs no estimate
// for that: what is not counted does not take it above the rate.
func (l *Limiter) spentBetweenSources(a *account, justStarted bool, now time.Time) float64 {
	if a.discrete || a.assumeOwnDemand {
		return max(a.peers.unreportedSpend(now), (a.spent-a.spentAtReport)*float64(l.reachablePeers))
	}
	gap := min(maxExtrapolation, a.peers.reportAge(now))
	if justStarted && a.ownDemand.rate(now)+l.othersDemand(a, now) > a.rate {
		gap += sourceWarmup
	}
	return l.silentRate(a, now) * gap.Seconds()
}

// sourceWarmup is how long the counters of a source that has just started lack what some peers spend: those
// of its zone report to it within two intervals, and leaders of other zones wait until it has heard them.
const sourceWarmup = maxExtrapolation

// silentRate returns the tokens per second that peers of a workspace are assumed to spend while they do not
// report: they go on at their last rate or, if that is more, admit the same share of their demand as this
// daemon.
func (l *Limiter) silentRate(a *account, now time.Time) float64 {
	return max(a.peers.spending.perSecond, a.sinceReport.admittedShare()*l.othersDemand(a, now))
}

// admissions sums up this daemon's decisions. It holds probabilities rather than outcomes: with few
// requests in each of many daemons, the outcomes of one daemon say little about the others.
type admissions struct{ asked, expected float64 }

// add adds a decision on a request that was admitted with a probability.
func (d *admissions) add(tokens, probability float64) {
	d.asked += tokens
	d.expected += tokens * probability
}

// admittedShare returns the expected share of the requested tokens that were admitted.
func (d admissions) admittedShare() float64 {
	if d.asked == 0 {
		return 0
	}
	return d.expected / d.asked
}

// unreportedTime returns the time that the last report does not cover, at most maxExtrapolation.
func (l *Limiter) unreportedTime(a *account, now time.Time) time.Duration {
	reportedAt := a.peers.reportedAt
	if reportedAt.IsZero() {
		reportedAt = l.started
	}
	return min(maxExtrapolation, l.reportAge+now.Sub(reportedAt))
}

// observeOwn averages the demand at this daemon as that of peers is averaged. It must be called with each
// report, before the time of the report is recorded.
func (a *account) observeOwn(now time.Time) {
	if elapsed := now.Sub(a.peers.reportedAt); elapsed > 0 && !a.peers.reportedAt.IsZero() {
		a.ownAtReport.observe(a.asked-a.askedAtReport, elapsed)
	}
	a.askedAtReport = a.asked
}

// exceedsReportShare reports whether another request would exceed what this daemon may use of the free
// requests before the next report: a part by its earlier share of the demand, over the time for which
// others do not learn of it. When servers begin to fail, the demand for retries jumps at all daemons at
// once, and their earlier shares add up to one. A part of less than one request is left to chance.
func (l *Limiter) exceedsReportShare(a *account, free float64) bool {
	if !a.discrete || l.alone {
		return false
	}
	share := 1 / float64(l.competingPeers()+1)
	if total := a.ownAtReport.perSecond + a.peers.demand.perSecond; total > 0 {
		share = max(share, a.ownAtReport.perSecond/total)
	}
	spent := a.spent - a.spentAtReport
	part := share * (free + spent) * l.reportInterval.Seconds() / (l.reportAge + l.reportInterval).Seconds()
	return part >= 1 && spent+1 > part
}
