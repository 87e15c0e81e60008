package allowance

import (
	"math"
	"time"
)

const (
	// mixTime is the time constant over which the requested tokens by class are averaged. Reports of a large deployment
	// come every 0.4 s, and a workspace asks for a few large requests in it.
	mixTime = 2 * time.Second
	// minClassCoverage is the share of the demand of which the classes must be known. Daemons of an earlier version
	// report none, and neither do estimates of what was spent between two reports.
	minClassCoverage = 0.8
	// classToleranceShare is the share of the tolerance that requests can leave to others at all daemons together, which
	// may use it in another window. With 0.15, short streams at 300 daemons were served 0.92 as often. With 0.5 they
	// were not served more often at 67 daemons.
	classToleranceShare = 0.3
	// scarceFor is how long after the last request that could be refused the requests of a workspace are counted by class.
	// Reports of a deployment whose workspaces are within their allowances are then no larger than without classes.
	scarceFor = 30 * time.Second
	// minReachableShare is the share of the daemons that must be reachable for their requests to count as the mix
	// of all.
	minReachableShare = 0.5
)

// classes is what is known of the classes of a workspace's requests.
type classes struct {
	// own are the tokens that callers have requested from this daemon, and ownAtReport those as of the last report.
	own, ownAtReport byClass
	// recent are the tokens requested from all daemons, with a weight that decays with age. Less than a token counts as
	// none.
	recent byClass
	// peersAsked and peersDemand are the tokens requested from peers according to their classes and according to what
	// they have admitted and refused, weighted alike.
	peersAsked, peersDemand float64
	// observedAt is the time of the last report, and measured the number of reports since the last change of source.
	observedAt time.Time
	measured   int
	// scarceAt is when more was last known to be requested than was free.
	scarceAt time.Time
	// division is computed from recent when it is needed.
	division *division
	// credit are tokens that requests of this daemon have left to others, in expectation: by their class they were
	// admitted less often than without classes. creditAt is when it last changed.
	credit   float64
	creditAt time.Time
}

// minMixReports is the number of reports of one source after which the mix is known.
const minMixReports = 2

// count counts a request to this daemon.
func (c *classes) count(class Class, tokens float64) { c.own[class] += tokens }

// rebase makes the next report the first of a source.
func (c *classes) rebase(now time.Time) {
	c.measured, c.observedAt, c.ownAtReport = 0, now, c.own
}

// observe adds what peers were asked for since the last report: by class, and in total according to what they have
// admitted and refused.
func (c *classes) observe(peers byClass, demand float64, now time.Time) {
	keep := 0.0
	if !c.observedAt.IsZero() {
		keep = math.Exp(-now.Sub(c.observedAt).Seconds() / mixTime.Seconds())
	}
	c.peersAsked *= keep
	for class := range c.recent {
		increase := max(0, peers[class])
		c.recent[class] = c.recent[class]*keep + increase + c.own[class] - c.ownAtReport[class]
		if c.recent[class] < 1 {
			c.recent[class] = 0
		}
		c.peersAsked += increase
	}
	c.peersDemand = c.peersDemand*keep + max(0, demand)
	c.ownAtReport, c.observedAt, c.division = c.own, now, nil
	c.measured++
}

// currentDivision returns the division of what was requested as of the last report.
func (c *classes) currentDivision() *division {
	if c.division == nil {
		c.division = newDivision(c.recent)
	}
	return c.division
}

// known reports whether the mix of all requests is known, and of more than one class.
func (c *classes) known(now time.Time) bool {
	old := now.Sub(c.observedAt) > maxExtrapolation
	if c.measured < minMixReports || old || c.peersAsked < minClassCoverage*c.peersDemand {
		return false
	}
	present := 0
	for _, tokens := range c.recent {
		if tokens > 0 {
			present++
		}
	}
	return present > 1
}

// mixKnown reports whether the classes of the requests to all daemons are known, so that all divide alike.
func (l *Limiter) mixKnown(a *account, now time.Time) bool {
	return a.classes != nil && l.reachableShare >= minReachableShare && a.classes.known(now)
}

// classProbability returns the probability with which a request of a class is admitted, given that without classes.
// Tokens that requests of this daemon get beyond that without classes are those that others of it have left, so that
// it never admits more in expectation, whatever peers report.
func (l *Limiter) classProbability(a *account, class Class, tokens, even float64, now time.Time) float64 {
	c := a.classes
	if tokens <= 0 {
		return even
	}
	if now.Sub(c.creditAt) > l.tolerance.Window {
		c.credit = 0
	}
	probability := c.currentDivision().probability(class, even)
	probability = min(probability, 1, even+c.credit/tokens)
	c.credit = min(l.maxCredit(a), c.credit+tokens*(even-probability))
	c.creditAt = now
	return probability
}

const (
	// worthwhileProbability is the least forecast probability of admission for which a refusal states when to come back.
	// Forecasts are too high, because callers who come back compete as well: with 0.5, as many requests were served and
	// callers came back 1.3 to 1.5 times as often.
	worthwhileProbability = 0.75
	// forecastSpans is the number of distribution times over which the forecast is made: what leaves the window in one
	// is admitted in that and the next one. With one, callers came back 1.7 to 2 times as often.
	forecastSpans = 2
)

// classRetryAfter returns how long a caller should wait until tokens will be free for a class, or zero if that is not
// within a window. What leaves the window in each span of time is compared with the demand in it, once as much has left
// as is missing now. Callers are spread over that span.
func (l *Limiter) classRetryAfter(a *account, class Class, free float64, now time.Time) time.Duration {
	if !a.restored && now.Sub(l.started) < l.tolerance.Window {
		return unsettledRetryAfter
	}
	span := forecastSpans * l.distributionTime()
	demand := a.ownDemand.rate(now) + l.othersDemand(a, now)
	share := a.classes.currentDivision().shareFor(class, worthwhileProbability)
	needed := share * demand * span.Seconds() / l.reachableShare
	wait, found := a.used.timeToFreeWithin(needed, max(0, -free)/l.reachableShare, span, now)
	if !found {
		return 0
	}
	return max(l.reportInterval, wait) + time.Duration(l.random()*float64(span))
}

// maxCredit returns the most tokens that requests of this daemon can leave to others: its part of classToleranceShare.
func (l *Limiter) maxCredit(a *account) float64 {
	return classToleranceShare * l.tolerance.tokensFor(a.limit) / float64(max(l.knownPeers, l.competingPeers())+1)
}

// countClass counts a request to this daemon by its class. It begins to do so with the first request that may be
// refused.
func (a *account) countClass(class Class, tokens float64, mayBeRefused bool, now time.Time) {
	if class < 0 || class >= ClassCount {
		return
	}
	if mayBeRefused {
		a.markScarce(now)
	}
	if a.classes != nil {
		a.classes.count(class, tokens)
	}
}

// markScarce records that more is requested than is free.
func (a *account) markScarce(now time.Time) {
	if a.classes == nil {
		a.classes = &classes{}
	}
	a.classes.scarceAt = now
}

// addAsked adds what callers have requested from this daemon to its counters.
func (a *account) addAsked(name string, counters *Counters) {
	if a.classes == nil || a.classes.own.sum() == 0 {
		return
	}
	if counters.Asked == nil {
		counters.Asked = map[string][]float64{}
	}
	counters.Asked[name] = append([]float64(nil), a.classes.own[:]...)
}

// observeClasses adds the increase of what peers were asked for, by class, and of what they admitted and refused. It
// ends the counting by class when nobody has refused anything for scarceFor.
func (a *account) observeClasses(asked, before []float64, spent, refused float64, now time.Time) {
	if refused > 0 && len(asked) > 0 {
		a.markScarce(now)
	}
	if a.classes == nil {
		return
	}
	if now.Sub(a.classes.scarceAt) > scarceFor {
		a.classes = nil
		return
	}
	var increase byClass
	for class := range increase {
		increase[class] = at(asked, class) - at(before, class)
	}
	a.classes.observe(increase, spent+refused, now)
}

func at(asked []float64, class int) float64 {
	if class < len(asked) {
		return asked[class]
	}
	return 0
}

// rebaseClasses makes the next report of what peers were asked for the first of a source.
func (a *account) rebaseClasses(now time.Time) {
	if a.classes != nil {
		a.classes.rebase(now)
	}
}
