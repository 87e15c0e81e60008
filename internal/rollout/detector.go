package rollout

import (
	"math"
	"time"
)

const (
	// haltThreshold is the evidence, as a logarithm of odds, at which a version is bad: one in a
	// thousand sound ones gets there by chance on one route while it is watched.
	haltThreshold = 7.5
	// shiftHaltThreshold is the same while the candidate gets more than its small share: then each
	// second costs more requests than the small share does in all.
	shiftHaltThreshold = 7.0
	// doubtThreshold is the evidence from which on a version is not moved on to more requests.
	doubtThreshold = 5.5
	// minBadAnswers is the least number of bad answers of a bad version.
	minBadAnswers = 3
	// badShareFactor and minBadShareIncrease are how much more often than the stable version a bad one gives
	// bad answers: several times, and by so much at least.
	badShareFactor      = 2.5
	minBadShareIncrease = 0.15
	// maxBadShare bounds the share of bad answers that is reckoned with.
	maxBadShare = 0.95
	// priorBadShare is the share of bad answers that is taken for usual before the stable version
	// has shown it, with the weight of priorWeight answers.
	priorBadShare = 0.05
	priorWeight   = 10.0
	// minBaselineBadShare keeps one bad answer in a hundred from being a sign.
	minBaselineBadShare = 0.01
	// longHalfLife halves the weight of older answers of the stable version, and shortHalfLife
	// in a second mean: a trouble that hits both versions must show in both at once. The higher
	// of both means counts. With the first alone one sound version in three was rolled back
	// when all servers began to fail a fifth of their requests (TestMatrix).
	longHalfLife  = 2 * time.Second
	shortHalfLife = 500 * time.Millisecond
	// maxSingleServerShare is the share of the bad answers on a route that are from one server alone where
	// the server is bad and not the version: of three servers of a bad version one has a half
	// or less. Without it a sound version of which one server failed 0.4 of its requests was
	// rolled back in three plays of three (TestMatrix).
	maxSingleServerShare = 0.75
)

// detector tells whether a candidate is worse than the stable version, by a cumulative sum of
// the evidence on each route and over all of them (CUSUM): it forgets what was good before,
// so that a version that turns bad later is found as soon as one that is bad from the start.
type detector struct {
	routes map[string]*evidence
	// servers are the answers of the candidate's servers on each route, and on all under the
	// empty name.
	servers    map[string]map[uint32]Tally
	observedAt time.Time
}

// evidence is that of one route, or of all under the empty name.
type evidence struct {
	candidate, stable Tally
	// longAverage and late are the answers of the stable version, decaying over two half-lives.
	longAverage, shortAverage decayingCount
	// logOdds is the evidence that the candidate is bad.
	logOdds float64
}

// decayingCount counts answers of which older ones have less weight.
type decayingCount struct{ answers, bad float64 }

func (d *decayingCount) add(came Tally, fade float64) {
	d.answers = d.answers*fade + float64(came.Answers)
	d.bad = d.bad*fade + float64(came.Bad)
}

// expectedBadShare returns the share of bad answers that a sound version may show: the one counted,
// with its uncertainty.
func (d *decayingCount) expectedBadShare() float64 {
	weight := d.answers + priorWeight
	share := (d.bad + priorBadShare*priorWeight) / weight
	return share + math.Sqrt(share*(1-share)/weight)
}

func newDetector() *detector {
	return &detector{routes: map[string]*evidence{}}
}

// observe takes over the sums over the deployment as of now.
func (j *detector) observe(service string, sums Tallies, now time.Time) {
	candidate, stable := sums.byRoute(service)
	var allCandidate, allStable Tally
	var passed time.Duration
	if !j.observedAt.IsZero() {
		passed = now.Sub(j.observedAt)
	}
	j.observedAt = now
	for route, tally := range stable {
		allStable = allStable.add(tally)
		if _, known := candidate[route]; !known {
			candidate[route] = Tally{}
		}
	}
	for route, tally := range candidate {
		allCandidate = allCandidate.add(tally)
		j.evidenceFor(route).update(tally, stable[route], passed)
	}
	j.evidenceFor("").update(allCandidate, allStable, passed)
	j.servers = sums.byServer(service)
}

func (j *detector) evidenceFor(name string) *evidence {
	if j.routes[name] == nil {
		j.routes[name] = &evidence{}
	}
	return j.routes[name]
}

// update adds what has come of both versions since so long ago.
func (e *evidence) update(candidate, stable Tally, passed time.Duration) {
	came := stable.since(e.stable)
	e.longAverage.add(came, math.Exp2(-passed.Seconds()/longHalfLife.Seconds()))
	e.shortAverage.add(came, math.Exp2(-passed.Seconds()/shortHalfLife.Seconds()))
	e.stable = stable

	came = candidate.since(e.candidate)
	e.candidate = candidate
	usual := min(maxBadShare/2, max(minBaselineBadShare, e.longAverage.expectedBadShare(), e.shortAverage.expectedBadShare()))
	bad := min(maxBadShare, max(badShareFactor*usual, usual+minBadShareIncrease))
	good := float64(came.Answers - came.Bad)
	e.logOdds += float64(came.Bad)*math.Log(bad/usual) + good*math.Log((1-bad)/(1-usual))
	e.logOdds = max(0, e.logOdds)
}

// exceeded returns the route on which the evidence that the candidate is bad reaches a limit;
// the name is empty for all together.
func (j *detector) exceeded(limit float64) (route string, reached bool) {
	for name, e := range j.routes {
		if e.logOdds >= limit && e.candidate.Bad >= minBadAnswers && j.spreadOverServers(name) {
			return name, true
		}
	}
	return "", false
}

// answers returns the number of answers of the candidate.
func (j *detector) answers() int64 {
	if e := j.routes[""]; e != nil {
		return e.candidate.Answers
	}
	return 0
}

// spreadOverServers reports whether the bad answers on a route are those of the version and not of one
// server of it, where several have answered.
func (j *detector) spreadOverServers(route string) bool {
	var all, most int64
	for _, tally := range j.servers[route] {
		all += tally.Bad
		most = max(most, tally.Bad)
	}
	return len(j.servers[route]) < 2 || float64(most) <= maxSingleServerShare*float64(all)
}
