package rollout

import (
	"math"
	"time"
)

const (
	// haltThreshold is the evidence, as a logarithm of odds, at which a version is halted. One
	// in a thousand sound versions reaches it by chance on one route during the trial.
	haltThreshold = 7.5
	// shiftHaltThreshold replaces haltThreshold during the shift, when each second exposes more
	// requests than the whole trial.
	shiftHaltThreshold = 7.0
	// doubtThreshold is the evidence from which a version is not shifted to more requests.
	doubtThreshold = 5.5
	// minBadAnswers is the least number of bad answers needed to halt a version.
	minBadAnswers = 3
	// badShareFactor and minBadShareIncrease define the share of bad answers of a bad version:
	// that multiple of the stable version's share, and at least that much above it.
	badShareFactor      = 2.5
	minBadShareIncrease = 0.15
	// maxBadShare bounds the share of bad answers in the likelihood ratio.
	maxBadShare = 0.95
	// priorBadShare is the share of bad answers assumed before the stable version has answered.
	// It has the weight of priorWeight answers.
	priorBadShare = 0.05
	priorWeight   = 10.0
	// minBaselineBadShare is the least share expected of a sound version, so that one bad
	// answer in a hundred does not count as evidence.
	minBaselineBadShare = 0.01
	// longHalfLife and shortHalfLife are the half-lives of two averages over the answers of the
	// stable version. The higher average counts, because a fault that affects both versions
	// must show in both at once. With the long one alone, one sound version in three was rolled
	// back when all servers began to fail a fifth of their requests (TestMatrix).
	longHalfLife  = 2 * time.Second
	shortHalfLife = 500 * time.Millisecond
	// maxSingleServerShare is the share of the bad answers on a route above which the fault is
	// that of one server and not of the version. With three servers of a bad version, each has
	// a half or less. Without this rule a sound version of which one server failed 0.4 of its
	// requests was rolled back in three runs of three (TestMatrix).
	maxSingleServerShare = 0.75
)

// detector decides whether a candidate is worse than the stable version. It keeps a cumulative
// sum of the evidence (CUSUM) for each route and for all routes combined. The sum never falls
// below zero, so a version that turns bad late is detected as fast as one that is bad from the
// start.
type detector struct {
	routes map[string]*evidence
	// servers holds the tallies of the candidate's servers by route. The empty route name holds
	// the sums over all routes.
	servers    map[string]map[uint32]Tally
	observedAt time.Time
}

// evidence compares both versions on one route, or on all routes under the empty name.
type evidence struct {
	candidate, stable Tally
	// longAverage and shortAverage count the answers of the stable version with the two
	// half-lives.
	longAverage, shortAverage decayingCount
	// logOdds is the evidence that the candidate is bad.
	logOdds float64
}

// decayingCount counts answers with exponentially decaying weight.
type decayingCount struct{ answers, bad float64 }

func (d *decayingCount) add(added Tally, decay float64) {
	d.answers = d.answers*decay + float64(added.Answers)
	d.bad = d.bad*decay + float64(added.Bad)
}

// expectedBadShare returns the share of bad answers to expect of a sound version: the observed
// share plus one standard error.
func (d *decayingCount) expectedBadShare() float64 {
	weight := d.answers + priorWeight
	share := (d.bad + priorBadShare*priorWeight) / weight
	return share + math.Sqrt(share*(1-share)/weight)
}

func newDetector() *detector {
	return &detector{routes: map[string]*evidence{}}
}

// observe adds the sums over the deployment as of now.
func (d *detector) observe(service string, sums Tallies, now time.Time) {
	candidate, stable := sums.byRoute(service)
	var allCandidate, allStable Tally
	var elapsed time.Duration
	if !d.observedAt.IsZero() {
		elapsed = now.Sub(d.observedAt)
	}
	d.observedAt = now
	for route, tally := range stable {
		allStable = allStable.add(tally)
		if _, known := candidate[route]; !known {
			candidate[route] = Tally{}
		}
	}
	for route, tally := range candidate {
		allCandidate = allCandidate.add(tally)
		d.evidenceFor(route).update(tally, stable[route], elapsed)
	}
	d.evidenceFor("").update(allCandidate, allStable, elapsed)
	d.servers = sums.byServer(service)
}

func (d *detector) evidenceFor(name string) *evidence {
	if d.routes[name] == nil {
		d.routes[name] = &evidence{}
	}
	return d.routes[name]
}

// update adds the answers of both versions since the last update, which was elapsed ago.
func (e *evidence) update(candidate, stable Tally, elapsed time.Duration) {
	added := stable.since(e.stable)
	e.longAverage.add(added, math.Exp2(-elapsed.Seconds()/longHalfLife.Seconds()))
	e.shortAverage.add(added, math.Exp2(-elapsed.Seconds()/shortHalfLife.Seconds()))
	e.stable = stable

	added = candidate.since(e.candidate)
	e.candidate = candidate
	expected := min(maxBadShare/2, max(minBaselineBadShare, e.longAverage.expectedBadShare(), e.shortAverage.expectedBadShare()))
	bad := min(maxBadShare, max(badShareFactor*expected, expected+minBadShareIncrease))
	good := float64(added.Answers - added.Bad)
	e.logOdds += float64(added.Bad)*math.Log(bad/expected) + good*math.Log((1-bad)/(1-expected))
	e.logOdds = max(0, e.logOdds)
}

// exceeded returns a route on which the evidence against the candidate reaches the threshold.
// The name is empty for all routes combined.
func (d *detector) exceeded(threshold float64) (route string, reached bool) {
	for name, e := range d.routes {
		if e.logOdds >= threshold && e.candidate.Bad >= minBadAnswers && d.spreadOverServers(name) {
			return name, true
		}
	}
	return "", false
}

// answers returns the number of answers of the candidate.
func (d *detector) answers() int64 {
	if e := d.routes[""]; e != nil {
		return e.candidate.Answers
	}
	return 0
}

// spreadOverServers reports whether the bad answers on a route come from several servers, and
// so from the version and not from one faulty server. It is true where only one server has
// answered.
func (d *detector) spreadOverServers(route string) bool {
	var all, maxBad int64
	for _, tally := range d.servers[route] {
		all += tally.Bad
		maxBad = max(maxBad, tally.Bad)
	}
	return len(d.servers[route]) < 2 || float64(maxBad) <= maxSingleServerShare*float64(all)
}
