package rollout

import (
	"math"
	"math/rand/v2"
	"time"
)

// candidateModel describes how the servers of the candidate answer.
type candidateModel struct {
	name string
	// failureRate is the share of failures and latencyFactor the factor on the latency. Both
	// apply from activeFrom, on one route or on all if route is empty, and with underLoad only
	// while the candidate gets at least half of all requests.
	failureRate   float64
	latencyFactor float64
	activeFrom    time.Duration
	route         string
	underLoad     bool
}

func (model candidateModel) isBad() bool { return model.failureRate > 0 || model.latencyFactor > 1 }

// fault is what goes wrong during a roll-out.
type fault struct {
	name string
	// killedShare is the share of daemons that die at killedAt and restart half a second later.
	// The lease holder is among them.
	killedShare float64
	killedAt    time.Duration
	// cutFrom and cutTo bound the time in which a third of the daemons is partitioned from the
	// others.
	cutFrom, cutTo time.Duration
	// storeDownFrom and storeDownTo bound the time in which the store does not answer.
	storeDownFrom, storeDownTo time.Duration
	// losesStoreAnswers is set when half of the answers of the store to writes are lost.
	losesStoreAnswers bool
	// failingStableShare is the share of old servers that fail 0.4 of their requests from 3 s
	// on. With oneCandidateServerFails one of the new servers does.
	failingStableShare      float64
	oneCandidateServerFails bool
	// allServersFailureRate is the least share of failures of all servers of both versions from
	// 4 to 8 s.
	allServersFailureRate float64
	// trafficFactor multiplies the request rate from 3 to 6 s.
	trafficFactor float64
}

// routeModel is a route of the simulated service: its requests a second over all daemons, the
// share of failures and the median latency of a sound server in seconds.
type routeModel struct {
	name              string
	requestsPerSecond float64
	failureRate       float64
	latencySeconds    float64
	nonIdempotent     bool
}

// simRoutes are the routes of a plain service. One of them often fails by itself, and one is
// rare.
var simRoutes = []routeModel{
	{"orders", 92, 0.004, 0.03, true}, {"tickets", 21, 0.14, 0.03, false}, {"streams", 130, 0, 0.2, false}, {"rare", 4, 0, 0.05, false},
}

const (
	simDuration    = 12 * time.Second
	simTick        = 20 * time.Millisecond
	gossipInterval = 400 * time.Millisecond
)

// simResult is the result of one simulation.
type simResult struct {
	requests, exposed int
	// exposedLate is the time from the 50th bad answer to the last request sent to the
	// candidate.
	exposedLate time.Duration
	state       State
	endedAt     time.Duration
	failed      int
}

// exceedsBounds reports whether the candidate got more than a bad version may.
func (r simResult) exceedsBounds() bool {
	return float64(r.exposed) > 0.1*float64(r.requests)+50 || r.exposedLate > 5*time.Second
}

// simulation runs a roll-out in virtual time: daemons that receive each other's reports one or
// two rounds late, one lease holder, and a store.
type simulation struct {
	rng      *rand.Rand
	model    candidateModel
	fault    fault
	trackers []*Tracker
	// order is the order in the store.
	order    Order
	snapshot Snapshot
	start    time.Time
	age      time.Duration
	// downUntil is the age until which a daemon is dead, by daemon index.
	downUntil      map[int]time.Duration
	leaseHeldFrom  time.Duration
	holder         int
	candidateShare float64
	requests       map[string]int
	result         simResult
	// injectBug, if set, corrupts the trackers at every tick.
	injectBug     func(sim *simulation)
	badAnswersAt  []time.Duration
	lastExposedAt time.Duration
}

func newTestTracker() *Tracker {
	return New(Bounds{Share: 0.1, Slack: 50, Stop: 5 * time.Second})
}

// simulate runs one roll-out.
func simulate(daemons int, model candidateModel, f fault, seed uint64) simResult {
	return simulateWithBug(nil, daemons, model, f, seed)
}

func simulateWithBug(injectBug func(sim *simulation), daemons int, model candidateModel, f fault, seed uint64) simResult {
	sim := &simulation{injectBug: injectBug,
		rng: rand.New(rand.NewPCG(seed, 7)), model: model, fault: f, start: time.Unix(1000, 0), downUntil: map[int]time.Duration{},
		order: Order{Service: "s", Version: "v2", Duration: simDuration, Created: 10, Revision: 10}, requests: map[string]int{},
	}
	for range daemons {
		tracker := newTestTracker()
		tracker.SetInitialStable("s", map[string]int{"v1": 60})
		sim.trackers = append(sim.trackers, tracker)
	}
	// Before the order each daemon counts answers of the stable version.
	for i, tracker := range sim.trackers {
		for n := range 40 {
			route := simRoutes[(i+n)%len(simRoutes)]
			tracker.AssignRequest("s", route.name, route.nonIdempotent, 0.5, sim.start.Add(-time.Second))
			tracker.RecordAnswer(Answer{Service: "s", Route: route.name, Latency: sim.randomLatency(route, 1)})
		}
	}
	for sim.age = 0; sim.age < simDuration; sim.age += simTick {
		sim.tick()
		if sim.injectBug != nil {
			sim.injectBug(sim)
		}
	}
	sim.result.state = sim.order.State
	if len(sim.badAnswersAt) >= 50 {
		sim.result.exposedLate = sim.lastExposedAt - sim.badAnswersAt[49]
	}
	return sim.result
}

func (sim *simulation) now() time.Time { return sim.start.Add(sim.age) }

func (sim *simulation) randomLatency(route routeModel, factor float64) time.Duration {
	seconds := route.latencySeconds * factor * math.Exp(0.5*sim.rng.NormFloat64())
	if sim.rng.Float64() < 0.01 {
		seconds *= 5
	}
	return time.Duration(seconds * float64(time.Second))
}

func (sim *simulation) alive(i int) bool { return sim.age >= sim.downUntil[i] }

func (sim *simulation) storeUp() bool {
	return sim.age < sim.fault.storeDownFrom || sim.age >= sim.fault.storeDownTo
}

// partitioned reports whether two daemons cannot reach each other.
func (sim *simulation) partitioned(i, j int) bool {
	cut := sim.age >= sim.fault.cutFrom && sim.age < sim.fault.cutTo
	return cut && (i%3 == 0) != (j%3 == 0)
}

func (sim *simulation) tick() {
	sim.killDaemons()
	sim.deliverOrder()
	if sim.age%gossipInterval == 0 {
		sim.gossip()
	}
	sim.sendRequests()
	if sim.age%(100*time.Millisecond) == 0 {
		sim.advanceRollout()
	}
}

// killDaemons kills daemons and restarts them from the snapshot in the lease record.
func (sim *simulation) killDaemons() {
	if sim.fault.killedShare == 0 || sim.age != sim.fault.killedAt {
		return
	}
	sim.leaseHeldFrom = sim.age + 3*time.Second
	if sim.fault.killedShare == 1 {
		// The lease holder's own new process takes its lease over.
		sim.leaseHeldFrom = sim.age + time.Second
	}
	for i := range int(math.Ceil(sim.fault.killedShare * float64(len(sim.trackers)))) {
		sim.downUntil[i] = sim.age + 500*time.Millisecond
		sim.trackers[i] = newTestTracker()
		sim.trackers[i].Restore(sim.snapshot, 500*time.Millisecond, sim.now().Add(500*time.Millisecond))
	}
	if sim.fault.killedShare < 1 {
		sim.holder = len(sim.trackers) - 1
	}
}

// deliverOrder gives the stored order to the daemons, with a delay after a change.
func (sim *simulation) deliverOrder() {
	if !sim.storeUp() || sim.age%(100*time.Millisecond) != 0 {
		return
	}
	for i, tracker := range sim.trackers {
		if sim.alive(i) && i%7 == 0 || sim.age%gossipInterval == 0 {
			tracker.ApplyOrder(sim.order, sim.now())
		}
	}
}

// gossip gives each daemon the sums and statuses of all daemons that it can reach.
func (sim *simulation) gossip() {
	sums := map[bool]Tallies{false: NewTallies(), true: NewTallies()}
	statuses := map[bool][]OrderStatus{}
	cut := sim.partitioned(0, 1)
	for i, tracker := range sim.trackers {
		if !sim.alive(i) {
			continue
		}
		side := cut && i%3 == 0
		sums[side].Add(tracker.LocalTallies())
		statuses[side] = append(statuses[side], tracker.Statuses(sim.now())...)
	}
	for i, tracker := range sim.trackers {
		if !sim.alive(i) {
			continue
		}
		side := cut && i%3 == 0
		tracker.Merge(statuses[side], 0, sim.now())
		tracker.Observe(sums[side].Clone(), sim.now())
	}
}

// sendRequests sends the requests of one tick.
func (sim *simulation) sendRequests() {
	exposed := 0
	total := 0
	for _, route := range simRoutes {
		requestsPerSecond := route.requestsPerSecond
		if sim.fault.trafficFactor > 0 && sim.age >= 3*time.Second && sim.age < 6*time.Second {
			requestsPerSecond *= sim.fault.trafficFactor
		}
		expected := requestsPerSecond * simTick.Seconds()
		n := int(expected)
		if sim.rng.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			i := sim.rng.IntN(len(sim.trackers))
			if !sim.alive(i) {
				continue
			}
			total++
			if sim.sendRequest(i, route) {
				exposed++
			}
		}
	}
	if total > 0 {
		sim.candidateShare += 0.2 * (float64(exposed)/float64(total) - sim.candidateShare)
	}
}

// sendRequest sends one request at one daemon and reports whether it went to the candidate.
func (sim *simulation) sendRequest(i int, route routeModel) bool {
	tracker := sim.trackers[i]
	candidate := tracker.AssignRequest("s", route.name, route.nonIdempotent, sim.rng.Float64(), sim.now())
	sim.result.requests++
	answer := Answer{Service: "s", Route: route.name}
	failureRate, latencyFactor := route.failureRate, 1.0
	if sim.fault.allServersFailureRate > 0 && sim.age >= 4*time.Second && sim.age < 8*time.Second {
		failureRate = max(failureRate, sim.fault.allServersFailureRate)
	}
	slow := false
	if candidate {
		tracker.RecordExposure("s")
		answer.Server = uint32(1 + sim.rng.IntN(3))
		model := sim.model
		if sim.age >= model.activeFrom && (model.route == "" || model.route == route.name) && (!model.underLoad || sim.candidateShare >= 0.5) {
			failureRate += (1 - failureRate) * model.failureRate
			latencyFactor = max(1, model.latencyFactor)
			slow = latencyFactor > 1
		}
		if sim.fault.oneCandidateServerFails && answer.Server == 1 && sim.age >= 3*time.Second {
			failureRate = max(failureRate, 0.4)
		}
		sim.result.exposed++
		sim.lastExposedAt = sim.age
	} else if sim.age >= 3*time.Second && sim.rng.Float64() < sim.fault.failingStableShare {
		failureRate = max(failureRate, 0.4)
	}
	answer.Failed = sim.rng.Float64() < failureRate
	answer.Latency = sim.randomLatency(route, latencyFactor)
	tracker.RecordAnswer(answer)
	if candidate && (answer.Failed || slow) {
		sim.badAnswersAt = append(sim.badAnswersAt, sim.age)
	}
	if answer.Failed {
		sim.result.failed++
	}
	return candidate
}

// advanceRollout lets the lease holder decide and write the states.
func (sim *simulation) advanceRollout() {
	if sim.age < sim.leaseHeldFrom || !sim.alive(sim.holder) {
		return
	}
	tracker := sim.trackers[sim.holder]
	sim.snapshot = tracker.Snapshot(sim.now())
	running := int(20 * (1 - sim.candidateShare))
	if sim.candidateShare > 0.97 {
		running = 0
	}
	for _, change := range tracker.Advance(int64(sim.holder+1), func(string, string, string) Fleet { return Fleet{CandidateServers: 3, StableInFlight: running} }, sim.now()) {
		if !sim.storeUp() || change.Order.Revision != sim.order.Revision {
			continue
		}
		sim.order.Revision++
		sim.order.State = change.State
		if change.State.Ended() {
			sim.result.endedAt = sim.age
		}
		if !sim.fault.losesStoreAnswers || sim.rng.Float64() < 0.5 {
			tracker.ApplyOrder(sim.order, sim.now())
		}
	}
}
