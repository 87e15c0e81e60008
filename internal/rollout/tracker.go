package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Tracker holds the state of all roll-outs at one daemon. It is safe for concurrent use.
type Tracker struct {
	bounds Bounds

	mu       sync.Mutex
	rollouts map[string]*rolloutState
	// stable holds the stable version of each service.
	stable map[string]string
	// versions holds what is known of the other versions of each service.
	versions map[string]*knownVersions
	// revision is the store's revision up to which all orders are known.
	revision int64
	// localTallies are the answers and requests that this daemon has counted since each order.
	localTallies Tallies
	// rates are the request rates by service and route.
	rates map[string]map[string]*requestRate
}

// New returns a Tracker without orders.
func New(bounds Bounds) *Tracker {
	return &Tracker{
		bounds: bounds, rollouts: map[string]*rolloutState{}, stable: map[string]string{}, versions: map[string]*knownVersions{}, localTallies: NewTallies(),
		rates: map[string]map[string]*requestRate{},
	}
}

// Enabled reports whether the operator allows roll-outs. If not, versions are ignored.
func (t *Tracker) Enabled() bool { return t.bounds.Enabled() }

// ApplyOrder applies an order read from the store. It reports whether the order is new to this
// daemon or its state has changed.
func (t *Tracker) ApplyOrder(order Order, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyOrder(order, now)
}

func (t *Tracker) applyOrder(order Order, now time.Time) bool {
	s := t.rollouts[order.Service]
	if s != nil && order.Revision <= s.order.Revision {
		return false
	}
	if s == nil || !s.order.same(order) {
		s = &rolloutState{startedAt: now, detector: newDetector()}
		t.rollouts[order.Service] = s
		t.dropCounts(order.Service)
	}
	changed := s.order.State != order.State || s.order.Revision == 0
	s.order = order
	t.recordOrder(order, t.stable[order.Service])
	if order.State == StateCompleted {
		t.stable[order.Service] = order.Version
	}
	if order.State.Ended() {
		t.dropCounts(order.Service)
	}
	return changed
}

// dropCounts deletes the counts for the order of a service.
func (t *Tracker) dropCounts(service string) {
	maps.DeleteFunc(t.localTallies.Answers, func(k Key, _ Tally) bool { return k.Service == service })
	delete(t.localTallies.Requests, service)
}

// Withdraw applies the deletion of a service's order from the store at a revision.
func (t *Tracker) Withdraw(service string, revision int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.rollouts[service]
	if s == nil || s.order.State.Ended() {
		return
	}
	withdrawn := s.order
	withdrawn.Revision, withdrawn.State = max(revision, withdrawn.Revision+1), StateWithdrawn
	t.applyOrder(withdrawn, now)
}

// ReplaceOrders applies the complete list of orders at a revision and withdraws those that are
// missing. unread names services whose stored order cannot be decoded; their known order stays.
func (t *Tracker) ReplaceOrders(orders []Order, unread []string, revision int64, now time.Time) {
	present := map[string]bool{}
	for _, service := range unread {
		present[service] = true
	}
	for _, order := range orders {
		present[order.Service] = true
		t.ApplyOrder(order, now)
	}
	for _, service := range t.orderedServices() {
		if !present[service] {
			t.Withdraw(service, revision, now)
		}
	}
	t.AdvanceRevision(revision)
}

// orderedServices returns the services that have an order.
func (t *Tracker) orderedServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.rollouts))
}

// AdvanceRevision records that all orders up to a revision of the store are known.
func (t *Tracker) AdvanceRevision(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = max(t.revision, revision)
}

// Revision returns the revision of the store up to which all orders are known.
func (t *Tracker) Revision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Active reports whether any service has an order that has not ended.
func (t *Tracker) Active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.rollouts {
		if !s.order.State.Ended() {
			return true
		}
	}
	return false
}

// SetInitialStable sets the stable version of a service if it is not known yet: the version
// that most servers run, other than a candidate. servers is the number of servers by version.
// Afterwards only a completed roll-out changes the stable version. The servers counted must not
// be newer in the store than the known orders, so that a candidate is not taken for the stable
// version.
func (t *Tracker) SetInitialStable(service string, servers map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stable[service] != "" {
		return
	}
	best := ""
	for _, version := range slices.Sorted(maps.Keys(servers)) {
		if s := t.rollouts[service]; s != nil && s.order.Version == version && s.order.State != StateCompleted {
			continue
		}
		if best == "" || servers[version] > servers[best] {
			best = version
		}
	}
	if best != "" {
		t.stable[service] = best
	}
}

// Versions are the versions of a service that may get requests.
type Versions struct {
	Stable string
	// Unordered are further versions that serve without an order.
	Unordered []string
	// Candidate is empty where there is none.
	Candidate string
	// AllServers is set once all servers of the candidate are used, and not only a few.
	AllServers bool
}

// Versions returns the usable versions by service. A service that is missing has none.
func (t *Tracker) Versions(now time.Time) map[string]Versions {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]Versions, len(t.stable))
	for service, stable := range t.stable {
		versions := Versions{Stable: stable, Unordered: t.unordered(service)}
		if s := t.rollouts[service]; s != nil && s.servesCandidate(stable) {
			versions.Candidate = s.order.Version
			versions.AllServers = s.requestedShare(now) > 0
		}
		all[service] = versions
	}
	return all
}

// StableKnown reports whether the stable version of a service is known.
func (t *Tracker) StableKnown(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stable[service] != ""
}

// AssignRequest counts a request for a service and reports whether it goes to the candidate.
// nonIdempotent is set for a request that may run at most once; draw is uniform in [0, 1).
func (t *Tracker) AssignRequest(service, route string, nonIdempotent bool, draw float64, now time.Time) bool {
	if !t.Enabled() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routeRate(service, route, nonIdempotent).add(now)
	s := t.rollouts[service]
	if s == nil || !s.servesCandidate(t.stable[service]) {
		return false
	}
	counts := t.localTallies.Requests[service]
	counts.Requests++
	t.localTallies.Requests[service] = counts
	if share := s.requestedShare(now); share > 0 {
		return draw < share
	}
	return draw < t.routeShare(s, service, route, now)
}

// FullyShifted reports whether all requests of a service go to the candidate.
func (t *Tracker) FullyShifted(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.rollouts[service]
	return s != nil && s.servesCandidate(t.stable[service]) && s.requestedShare(now) >= 1
}

// RecordExposure counts a request that was sent to the candidate.
func (t *Tracker) RecordExposure(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.localTallies.Requests[service]
	counts.Exposed++
	t.localTallies.Requests[service] = counts
}

// RecordAnswer counts the answer of a server.
func (t *Tracker) RecordAnswer(a Answer) {
	if !t.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.rollouts[a.Service]
	if s == nil || s.order.State.Ended() {
		return
	}
	key := Key{Service: a.Service, Route: a.Route, Server: a.Server}
	tally := Tally{Answers: 1}
	if a.Failed || s.baselines[a.Route].slow(a) {
		tally.Bad = 1
	}
	if a.Server == 0 && !a.Failed {
		tally.LatencySum, tally.EventIntervalSum = relativeLatency(a), a.EventInterval.Seconds()
	}
	t.localTallies.Answers[key] = t.localTallies.Answers[key].add(tally)
}

// LocalTallies returns a copy of the counts of this daemon.
func (t *Tracker) LocalTallies() Tallies {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.localTallies.Clone()
}

// Halt describes a version that was found to be bad.
type Halt struct {
	Order Order
	// Reason names the route with the bad answers, or the source of the halt.
	Reason  string
	Answers int64
}

// Observe applies the sums over all reachable daemons, including this one, and returns the
// versions that are now found to be bad.
func (t *Tracker) Observe(sums Tallies, now time.Time) []Halt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var halts []Halt
	for service, s := range t.rollouts {
		if !s.servesCandidate(t.stable[service]) {
			continue
		}
		if counts := sums.Requests[service]; s.countingSince.IsZero() || counts.Requests < s.requests.Requests {
			// The sums shrink when a daemon stops reporting or restarts.
			s.initialRequests, s.countingSince = counts.Requests, now
		}
		s.requests = sums.Requests[service]
		_, stable := sums.byRoute(service)
		s.baselines = map[string]latencyBaseline{}
		for route, tally := range stable {
			s.baselines[route] = baselineOf(tally)
		}
		s.detector.observe(service, sums, now)
		threshold := haltThreshold
		if s.requestedShare(now) > 0 {
			threshold = shiftHaltThreshold
		}
		route, bad := s.detector.exceeded(threshold)
		if !bad {
			continue
		}
		if route == "" {
			route = "all routes combined"
		}
		s.halted, s.haltReason = true, "bad answers on "+route
		halts = append(halts, Halt{Order: s.order, Reason: s.haltReason, Answers: s.detector.answers()})
	}
	return halts
}

// VersionUnsettled reports whether a service has an order that has not ended, or no known
// stable version. It is then open which of its servers count.
func (t *Tracker) VersionUnsettled(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.rollouts[service]
	return t.stable[service] == "" || (s != nil && !s.order.State.Ended())
}
