package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Tracker is what one daemon knows of the roll-outs. It may be used by several goroutines.
type Tracker struct {
	bounds Bounds

	mu       sync.Mutex
	rollouts map[string]*rolloutState
	// stable are the versions that services have, apart from candidates.
	stable map[string]string
	// revision is the store's revision up to which all orders are known.
	revision int64
	// localTallies is what this daemon has counted since each order.
	localTallies Tallies
	// rates are how often routes are asked for, by service and route.
	rates map[string]map[string]*requestRate
}

// New returns a board that knows nothing.
func New(bounds Bounds) *Tracker {
	return &Tracker{
		bounds: bounds, rollouts: map[string]*rolloutState{}, stable: map[string]string{}, localTallies: NewTallies(),
		rates: map[string]map[string]*requestRate{},
	}
}

// Enabled reports whether the operator allows roll-outs. Without it versions do not matter.
func (b *Tracker) Enabled() bool { return b.bounds.Enabled() }

// ApplyOrder takes over an order as it stands in the store. It reports whether it is new to this
// daemon or has another state.
func (b *Tracker) ApplyOrder(order Order, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.applyOrder(order, now)
}

func (b *Tracker) applyOrder(order Order, now time.Time) bool {
	t := b.rollouts[order.Service]
	if t != nil && order.Revision <= t.order.Revision {
		return false
	}
	if t == nil || !t.order.same(order) {
		t = &rolloutState{startedAt: now, detector: newDetector()}
		b.rollouts[order.Service] = t
		b.dropCounts(order.Service)
	}
	changed := t.order.State != order.State || t.order.Revision == 0
	t.order = order
	if order.State == StateCompleted {
		b.stable[order.Service] = order.Version
	}
	if order.State.Ended() {
		b.dropCounts(order.Service)
	}
	return changed
}

// dropCounts drops what was counted for an order.
func (b *Tracker) dropCounts(service string) {
	maps.DeleteFunc(b.localTallies.Answers, func(k Key, _ Tally) bool { return k.Service == service })
	delete(b.localTallies.Requests, service)
}

// Withdraw takes over that the order of a service is gone from the store, as of a revision.
func (b *Tracker) Withdraw(service string, revision int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.rollouts[service]
	if t == nil || t.order.State.Ended() {
		return
	}
	gone := t.order
	gone.Revision, gone.State = max(revision, gone.Revision+1), StateWithdrawn
	b.applyOrder(gone, now)
}

// ReplaceOrders takes over the whole list of orders as of a revision: those missing are withdrawn.
// unread are services of which an order is there that cannot be read: what is known of theirs
// stays.
func (b *Tracker) ReplaceOrders(orders []Order, unread []string, revision int64, now time.Time) {
	present := map[string]bool{}
	for _, service := range unread {
		present[service] = true
	}
	for _, order := range orders {
		present[order.Service] = true
		b.ApplyOrder(order, now)
	}
	for _, service := range b.orderedServices() {
		if !present[service] {
			b.Withdraw(service, revision, now)
		}
	}
	b.AdvanceRevision(revision)
}

// orderedServices returns the services that have an order.
func (b *Tracker) orderedServices() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.rollouts))
}

// AdvanceRevision notes up to which revision of the store all orders are known.
func (b *Tracker) AdvanceRevision(revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision = max(b.revision, revision)
}

// Revision returns the revision of the store up to which all orders are known.
func (b *Tracker) Revision() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision
}

// Active reports whether any service has an order that has not ended.
func (b *Tracker) Active() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.rollouts {
		if !t.order.State.Ended() {
			return true
		}
	}
	return false
}

// SetInitialStable takes over which versions the servers of a service have, with the number of servers
// of each. The first time it names the stable version: the one that most have, but for a
// candidate. Afterwards only a completed roll-out changes it. Only servers may be told whose
// entries are at most as new as the orders that are known, so that a candidate is not taken
// for what was there before.
func (b *Tracker) SetInitialStable(service string, servers map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stable[service] != "" {
		return
	}
	best := ""
	for _, version := range slices.Sorted(maps.Keys(servers)) {
		if t := b.rollouts[service]; t != nil && t.order.Version == version && t.order.State != StateCompleted {
			continue
		}
		if best == "" || servers[version] > servers[best] {
			best = version
		}
	}
	if best != "" {
		b.stable[service] = best
	}
}

// Versions are those of a service that may be used.
type Versions struct {
	Stable string
	// Candidate is empty where there is none.
	Candidate string
	// AllServers is set once every server of the candidate is used, not just a few.
	AllServers bool
}

// Versions returns which versions of each service's servers may be used now. Of a service
// that is missing there none may be used.
func (b *Tracker) Versions(now time.Time) map[string]Versions {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]Versions, len(b.stable))
	for service, stable := range b.stable {
		versions := Versions{Stable: stable}
		if t := b.rollouts[service]; t != nil && t.servesCandidate(stable) {
			versions.Candidate = t.order.Version
			versions.AllServers = t.requestedShare(now) > 0
		}
		all[service] = versions
	}
	return all
}

// StableKnown reports whether the stable version of a service is known.
func (b *Tracker) StableKnown(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stable[service] != ""
}

// AssignRequest counts a request for a service and returns whether it goes to the candidate. draw is
// uniform in [0, 1).
func (b *Tracker) AssignRequest(service, route string, once bool, draw float64, now time.Time) bool {
	if !b.Enabled() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routeRate(service, route, once).add(now)
	t := b.rollouts[service]
	if t == nil || !t.servesCandidate(b.stable[service]) {
		return false
	}
	sent := b.localTallies.Requests[service]
	sent.Requests++
	b.localTallies.Requests[service] = sent
	if share := t.requestedShare(now); share > 0 {
		return draw < share
	}
	return draw < b.routeShare(t, service, route, now)
}

// FullyShifted reports whether all requests of a service go to the candidate.
func (b *Tracker) FullyShifted(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.rollouts[service]
	return t != nil && t.servesCandidate(b.stable[service]) && t.requestedShare(now) >= 1
}

// RecordExposure counts a request that was sent to the candidate.
func (b *Tracker) RecordExposure(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.localTallies.Requests[service]
	sent.Exposed++
	b.localTallies.Requests[service] = sent
}

// RecordAnswer takes over how a server answered.
func (b *Tracker) RecordAnswer(a Answer) {
	if !b.Enabled() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.rollouts[a.Service]
	if t == nil || t.order.State.Ended() {
		return
	}
	key := Key{Service: a.Service, Route: a.Route, Server: a.Server}
	one := Tally{Answers: 1}
	if a.Failed || t.baselines[a.Route].slow(a) {
		one.Bad = 1
	}
	if a.Server == 0 && !a.Failed {
		one.LatencySum, one.EventIntervalSum = relativeLatency(a), a.EventInterval.Seconds()
	}
	b.localTallies.Answers[key] = b.localTallies.Answers[key].add(one)
}

// LocalTallies returns what this daemon has counted.
func (b *Tracker) LocalTallies() Tallies {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.localTallies.Clone()
}

// Halt is a version that was found to be bad.
type Halt struct {
	Order Order
	// Reason names the route on which it showed, or how it was learned.
	Reason  string
	Answers int64
}

// Observe takes over the sums over all daemons that are heard, this one included, and
// returns the versions that this daemon finds to be bad now.
func (b *Tracker) Observe(sums Tallies, now time.Time) []Halt {
	b.mu.Lock()
	defer b.mu.Unlock()
	var halts []Halt
	for service, t := range b.rollouts {
		if !t.servesCandidate(b.stable[service]) {
			continue
		}
		if sent := sums.Requests[service]; t.countingSince.IsZero() || sent.Requests < t.requests.Requests {
			// Daemons that were counted in have fallen silent or started again.
			t.initialRequests, t.countingSince = sent.Requests, now
		}
		t.requests = sums.Requests[service]
		_, stable := sums.byRoute(service)
		t.baselines = map[string]latencyBaseline{}
		for route, tally := range stable {
			t.baselines[route] = baselineOf(tally)
		}
		t.detector.observe(service, sums, now)
		limit := haltThreshold
		if t.requestedShare(now) > 0 {
			limit = shiftHaltThreshold
		}
		route, bad := t.detector.exceeded(limit)
		if !bad {
			continue
		}
		if route == "" {
			route = "all routes together"
		}
		t.halted, t.haltReason = true, "bad answers on "+route
		halts = append(halts, Halt{Order: t.order, Reason: t.haltReason, Answers: t.detector.answers()})
	}
	return halts
}

// VersionUnsettled reports whether it is open which of a service's servers count: it has an order that
// has not ended, or its stable version is not known.
func (b *Tracker) VersionUnsettled(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.rollouts[service]
	return b.stable[service] == "" || (t != nil && !t.order.State.Ended())
}
