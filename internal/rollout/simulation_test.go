package rollout

import (
	"math"
	"math/rand/v2"
	"time"
)

// candidateModel is how servers of the candidate answer.
type candidateModel struct {
	name string
	// failureRate is the share of failures, and slower the factor by which it takes longer, from a
	// time on, on one route or on all, and only while the candidate gets half of all requests
	// or more.
	failureRate   float64
	latencyFactor float64
	activeFrom    time.Duration
	route         string
	underLoad     bool
}

func (v candidateModel) isBad() bool { return v.failureRate > 0 || v.latencyFactor > 1 }

// fault is what happens beside a roll-out.
type fault struct {
	name string
	// killedShare are the shares of daemons that die at a time and come back half a second later; the
	// first of them is the holder.
	killedShare float64
	killedAt    time.Duration
	// cutFrom and cutTo are when a third of the daemons hears no other.
	cutFrom, cutTo time.Duration
	// storeDownFrom and storeDownTo are when the store answers nobody.
	storeDownFrom, storeDownTo time.Duration
	// losesStoreAnswers is set when the first answers of the store get lost.
	losesStoreAnswers bool
	// failingStableShare and oneCandidateServerFails are servers of one version that fail 0.4 of their requests from 3 s
	// on: a share of the old ones, or one of the new ones.
	failingStableShare      float64
	oneCandidateServerFails bool
	// allServersFailureRate is a share of failures of all servers from 4 to 8 s, of both versions.
	allServersFailureRate float64
	// trafficFactor multiplies the requests from 3 to 6 s.
	trafficFactor float64
}

// routeModel is a route of the played service: its requests a second, of all daemons, the share
// of failures of a sound server and how long it takes.
type routeModel struct {
	name              string
	requestsPerSecond float64
	failureRate       float64
	latencySeconds    float64
	nonIdempotent     bool
}

// simRoutes are of a plain service with a route whose servers often fail by themselves,
// and a rare one.
var simRoutes = []routeModel{
	{"orders", 92, 0.004, 0.03, true}, {"tickets", 21, 0.14, 0.03, false}, {"streams", 130, 0, 0.2, false}, {"rare", 4, 0, 0.05, false},
}

const (
	simDuration    = 12 * time.Second
	simTick        = 20 * time.Millisecond
	gossipInterval = 400 * time.Millisecond
)

// simResult is what came of one play.
type simResult struct {
	requests, exposed int
	// exposedLate is how long after the 50th bad answer the last request went to the version.
	exposedLate time.Duration
	state       State
	endedAt     time.Duration
	failed      int
}

// exceedsBounds reports whether a bad version got more than it may.
func (r simResult) exceedsBounds() bool {
	return float64(r.exposed) > 0.1*float64(r.requests)+50 || r.exposedLate > 5*time.Second
}

// simulation is a roll-out in virtual time: daemons that hear each other a round or two late, one
// holder of the lease, and a store.
type simulation struct {
	rng      *rand.Rand
	model    candidateModel
	fault    fault
	trackers []*Tracker
	// order is what the store has.
	order    Order
	snapshot Snapshot
	start    time.Time
	age      time.Duration
	// downUntil are until when daemons are dead.
	downUntil      map[int]time.Duration
	leaseHeldFrom  time.Duration
	holder         int
	candidateShare float64
	requests       map[string]int
	result         simResult
	// mistake, where it is set, spoils the boards at every tick.
	injectBug     func(p *simulation)
	badAnswersAt  []time.Duration
	lastExposedAt time.Duration
}

func newTestTracker() *Tracker {
	return New(Bounds{Share: 0.1, Slack: 50, Stop: 5 * time.Second})
}

// simulate plays one roll-out.
func simulate(daemons int, v candidateModel, tr fault, seed uint64) simResult {
	return simulateWithBug(nil, daemons, v, tr, seed)
}

func simulateWithBug(mistake func(p *simulation), daemons int, v candidateModel, tr fault, seed uint64) simResult {
	p := &simulation{injectBug: mistake,
		rng: rand.New(rand.NewPCG(seed, 7)), model: v, fault: tr, start: time.Unix(1000, 0), downUntil: map[int]time.Duration{},
		order: Order{Service: "s", Version: "v2", Duration: simDuration, Created: 10, Revision: 10}, requests: map[string]int{},
	}
	for range daemons {
		b := newTestTracker()
		b.SetInitialStable("s", map[string]int{"v1": 60})
		p.trackers = append(p.trackers, b)
	}
	// Before the order each daemon learns what is usual.
	for i, b := range p.trackers {
		for n := range 40 {
			route := simRoutes[(i+n)%len(simRoutes)]
			b.AssignRequest("s", route.name, route.nonIdempotent, 0.5, p.start.Add(-time.Second))
			b.RecordAnswer(Answer{Service: "s", Route: route.name, Latency: p.randomLatency(route, 1)})
		}
	}
	for p.age = 0; p.age < simDuration; p.age += simTick {
		p.tick()
		if p.injectBug != nil {
			p.injectBug(p)
		}
	}
	p.result.state = p.order.State
	if len(p.badAnswersAt) >= 50 {
		p.result.exposedLate = p.lastExposedAt - p.badAnswersAt[49]
	}
	return p.result
}

func (p *simulation) now() time.Time { return p.start.Add(p.age) }

func (p *simulation) randomLatency(route routeModel, factor float64) time.Duration {
	seconds := route.latencySeconds * factor * math.Exp(0.5*p.rng.NormFloat64())
	if p.rng.Float64() < 0.01 {
		seconds *= 5
	}
	return time.Duration(seconds * float64(time.Second))
}

func (p *simulation) alive(i int) bool { return p.age >= p.downUntil[i] }

func (p *simulation) storeUp() bool {
	return p.age < p.fault.storeDownFrom || p.age >= p.fault.storeDownTo
}

// partitioned reports whether two daemons do not hear each other.
func (p *simulation) partitioned(i, j int) bool {
	cut := p.age >= p.fault.cutFrom && p.age < p.fault.cutTo
	return cut && (i%3 == 0) != (j%3 == 0)
}

func (p *simulation) tick() {
	p.killDaemons()
	p.deliverOrder()
	if p.age%gossipInterval == 0 {
		p.gossip()
	}
	p.sendRequests()
	if p.age%(100*time.Millisecond) == 0 {
		p.advanceRollout()
	}
}

// killDaemons kills daemons, and starts them again with what the record of the lease holds.
func (p *simulation) killDaemons() {
	if p.fault.killedShare == 0 || p.age != p.fault.killedAt {
		return
	}
	p.leaseHeldFrom = p.age + 3*time.Second
	if p.fault.killedShare == 1 {
		// The first holder's own process takes its lease back.
		p.leaseHeldFrom = p.age + time.Second
	}
	for i := range int(math.Ceil(p.fault.killedShare * float64(len(p.trackers)))) {
		p.downUntil[i] = p.age + 500*time.Millisecond
		p.trackers[i] = newTestTracker()
		p.trackers[i].Restore(p.snapshot, 500*time.Millisecond, p.now().Add(500*time.Millisecond))
	}
	if p.fault.killedShare < 1 {
		p.holder = len(p.trackers) - 1
	}
}

// deliverOrder tells the daemons what the store has, each some ms after it changed.
func (p *simulation) deliverOrder() {
	if !p.storeUp() || p.age%(100*time.Millisecond) != 0 {
		return
	}
	for i, b := range p.trackers {
		if p.alive(i) && i%7 == 0 || p.age%gossipInterval == 0 {
			b.ApplyOrder(p.order, p.now())
		}
	}
}

// gossip tells every daemon the sums over those that it hears, and their words.
func (p *simulation) gossip() {
	sums := map[bool]Tallies{false: NewTallies(), true: NewTallies()}
	words := map[bool][]OrderStatus{}
	cut := p.partitioned(0, 1)
	for i, b := range p.trackers {
		if !p.alive(i) {
			continue
		}
		side := cut && i%3 == 0
		sums[side].Add(b.LocalTallies())
		words[side] = append(words[side], b.Statuses(p.now())...)
	}
	for i, b := range p.trackers {
		if !p.alive(i) {
			continue
		}
		side := cut && i%3 == 0
		b.Merge(words[side], 0, p.now())
		b.Observe(sums[side].Clone(), p.now())
	}
}

// sendRequests sends the requests of one tick.
func (p *simulation) sendRequests() {
	toNew := 0
	total := 0
	for _, route := range simRoutes {
		rate := route.requestsPerSecond
		if p.fault.trafficFactor > 0 && p.age >= 3*time.Second && p.age < 6*time.Second {
			rate *= p.fault.trafficFactor
		}
		expected := rate * simTick.Seconds()
		n := int(expected)
		if p.rng.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			i := p.rng.IntN(len(p.trackers))
			if !p.alive(i) {
				continue
			}
			total++
			if p.sendRequest(i, route) {
				toNew++
			}
		}
	}
	if total > 0 {
		p.candidateShare += 0.2 * (float64(toNew)/float64(total) - p.candidateShare)
	}
}

// sendRequest plays one request at one daemon and reports whether the candidate got it.
func (p *simulation) sendRequest(i int, route routeModel) bool {
	b := p.trackers[i]
	candidate := b.AssignRequest("s", route.name, route.nonIdempotent, p.rng.Float64(), p.now())
	p.result.requests++
	answer := Answer{Service: "s", Route: route.name}
	fails, slower := route.failureRate, 1.0
	if p.fault.allServersFailureRate > 0 && p.age >= 4*time.Second && p.age < 8*time.Second {
		fails = max(fails, p.fault.allServersFailureRate)
	}
	isBad := false
	if candidate {
		b.RecordExposure("s")
		answer.Server = uint32(1 + p.rng.IntN(3))
		v := p.model
		if p.age >= v.activeFrom && (v.route == "" || v.route == route.name) && (!v.underLoad || p.candidateShare >= 0.5) {
			fails += (1 - fails) * v.failureRate
			slower = max(1, v.latencyFactor)
			isBad = slower > 1
		}
		if p.fault.oneCandidateServerFails && answer.Server == 1 && p.age >= 3*time.Second {
			fails = max(fails, 0.4)
		}
		p.result.exposed++
		p.lastExposedAt = p.age
	} else if p.age >= 3*time.Second && p.rng.Float64() < p.fault.failingStableShare {
		fails = max(fails, 0.4)
	}
	answer.Failed = p.rng.Float64() < fails
	answer.Latency = p.randomLatency(route, slower)
	b.RecordAnswer(answer)
	if candidate && (answer.Failed || isBad) {
		p.badAnswersAt = append(p.badAnswersAt, p.age)
	}
	if answer.Failed {
		p.result.failed++
	}
	return candidate
}

// advanceRollout lets the holder decide and write.
func (p *simulation) advanceRollout() {
	if p.age < p.leaseHeldFrom || !p.alive(p.holder) {
		return
	}
	b := p.trackers[p.holder]
	p.snapshot = b.Snapshot(p.now())
	running := int(20 * (1 - p.candidateShare))
	if p.candidateShare > 0.97 {
		running = 0
	}
	for _, outcome := range b.Advance(int64(p.holder+1), func(string, string, string) Fleet { return Fleet{CandidateServers: 3, StableInFlight: running} }, p.now()) {
		if !p.storeUp() || outcome.Order.Revision != p.order.Revision {
			continue
		}
		p.order.Revision++
		p.order.State = outcome.State
		if outcome.State.Ended() {
			p.result.endedAt = p.age
		}
		if !p.fault.losesStoreAnswers || p.rng.Float64() < 0.5 {
			b.ApplyOrder(p.order, p.now())
		}
	}
}
