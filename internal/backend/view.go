package backend

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/route"
)

// Traits are the configured properties of a service's servers.
type Traits struct {
	// CacheTokens is the memory of a model engine for running requests and cached prompt parts, in
	// tokens. Zero marks a plain service.
	CacheTokens int
	// Slots is the configured number of requests that a model engine runs at once.
	Slots int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// FetchRate is the rate at which an engine copies prompt parts from another one over its link,
	// in tokens per second. Zero means that it cannot.
	FetchRate float64
	// Ranked is set if requests of several classes of rank go to the service. Otherwise their ranks
	// make no difference.
	Ranked bool
}

// View holds the state of all backend servers. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	servers map[string]*server
	traits  map[string]Traits
	// connectTimes are the average connect times to the zones.
	connectTimes map[string]connectTime
	// requestSizes are averages over the answers of each service.
	requestSizes map[string]requestSizes
	// engines are the models of the engines' speed, by service.
	engines map[string]*pace.Engine
	// yields are the learned effects of less urgent prompts on more urgent ones, by service.
	yields map[string]yieldEstimate
	// urgentUses are the parts of the engines' time that go to prompts more urgent than each class, by
	// service.
	urgentUses map[string][route.RankClasses]float64
	// unreadShares are the mean shares of the prompts that engines have to process.
	unreadShares map[rankedService]float64
	// unappliedEstimates are the parameters that other daemons reported for services that are not
	// configured yet.
	unappliedEstimates map[string]pace.EngineEstimates
	// outageEnd is when the store last recovered from an outage.
	outageEnd time.Time
	// drainBound is how long a draining server may be sent requests after the store has
	// acknowledged that it drains.
	drainBound time.Duration
	// readyServers caches the ready servers of each track until a server is added or leaves.
	readyServers map[track][]*server
	// versions are the allowed versions, by service.
	versions map[string]Versions
	// enforceVersions is set if no version of a service may be used until SetVersions is called for
	// it.
	enforceVersions bool
	// prunedAt is when prune last ran.
	prunedAt time.Time
	// listReceived is set once a complete list was received.
	listReceived bool
	changed      chan struct{}
	// keyIndex holds the servers by key, or is nil if it has to be rebuilt.
	keyIndex map[uint32]*server
	// limiter enforces the servers' limits. If it is nil they are not enforced.
	limiter Limiter
	// serviceSpeeds is what the speeds of a service's servers have in common, as of speedsRefreshedAt.
	serviceSpeeds     map[string]*serviceSpeeds
	speedsRefreshedAt time.Time
	// homeRanks caches the ranks of the ready servers, and weightsVersion counts the changes of weights.
	homeRanks      map[track]cachedRanks
	weightsVersion int
	// unlistedSpeeds are restored speeds of servers that are not listed yet.
	unlistedSpeeds map[uint32]RecordedSpeed
}

// NewView returns an empty view.
func NewView() *View {
	return &View{servers: map[string]*server{}, traits: map[string]Traits{}, connectTimes: map[string]connectTime{}, requestSizes: map[string]requestSizes{}, engines: map[string]*pace.Engine{}, yields: map[string]yieldEstimate{}, urgentUses: map[string][route.RankClasses]float64{}, unreadShares: map[rankedService]float64{}, unappliedEstimates: map[string]pace.EngineEstimates{}, readyServers: map[track][]*server{}, versions: map[string]Versions{}, serviceSpeeds: map[string]*serviceSpeeds{}, homeRanks: map[track]cachedRanks{}, unlistedSpeeds: map[uint32]RecordedSpeed{}, changed: make(chan struct{}), drainBound: defaultDrainBound}
}

// SetTraits sets the configured properties of all services.
func (v *View) SetTraits(traits map[string]Traits) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.traits = traits
}

// Changed returns a channel that is closed at the next change of the server list.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notifyChanged wakes all that wait for a change of the server list. The caller holds the lock.
func (v *View) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// StoreReturned records that the store is available again after an outage.
func (v *View) StoreReturned(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outageEnd = now
}

// Replace applies a complete list. Servers that are not in it have left. It returns the previous
// entries of the servers that have restarted.
func (v *View) Replace(entries []Entry, seen Observation) (restarted []Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listReceived = true
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = true
		restarted = append(restarted, v.putEntry(e, seen)...)
	}
	for id, s := range v.servers {
		if !present[id] {
			v.removeEntry(s, seen)
		}
	}
	v.prune(seen.ReceivedAt)
	v.notifyChanged()
	return restarted
}

// ListReceived reports whether a complete list was received. Before that, an empty view does not mean
// that there are no servers.
func (v *View) ListReceived() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listReceived
}

// Put applies a new or changed entry. If the server has restarted, it returns the previous entry.
func (v *View) Put(e Entry, now time.Time) (restarted []Entry) {
	return v.Update([]Entry{e}, nil, Observed(now))
}

// Remove applies the removal of an entry from the list.
func (v *View) Remove(id string, now time.Time) { v.Update(nil, []string{id}, Observed(now)) }

// Update applies new and changed entries, and the removal of entries by their IDs. It returns the
// previous entries of the servers that have restarted.
func (v *View) Update(entries []Entry, removed []string, seen Observation) (restarted []Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range entries {
		restarted = append(restarted, v.putEntry(e, seen)...)
	}
	for _, id := range removed {
		if s := v.servers[id]; s != nil {
			v.removeEntry(s, seen)
		}
	}
	v.prune(seen.ReceivedAt)
	v.notifyChanged()
	return restarted
}

// putEntry applies one entry; see Update. The caller holds the lock.
func (v *View) putEntry(e Entry, seen Observation) (restarted []Entry) {
	now := seen.ReceivedAt
	s := v.servers[e.ID]
	if s != nil && (s.supersedes(e) || s.hasLeftBefore(e)) {
		return nil
	}
	var restartedAt time.Time
	if s != nil && s.isRestart(e) {
		restarted = append(restarted, s.Entry)
		v.forgetLimit(s)
		s.abandonAttempts()
		s, restartedAt = nil, now
		clear(v.readyServers)
	}
	if s == nil {
		s = &server{key: KeyOf(e), homeRank: homeRank{idHash: xxhash.Sum64String(e.ID), slowness: 1}, joinedAt: now, restartedAt: restartedAt, attempts: map[*Choice]struct{}{}}
		v.servers[e.ID], v.keyIndex = s, nil
	}
	before, service, version := s.ready(), s.Service, s.Version
	if e.StartTimeMs != s.StartTimeMs {
		// The entry identifies its incarnation for the first time.
		s.key, v.keyIndex = KeyOf(e), nil
		clear(v.readyServers)
	}
	s.Entry, s.listed = e, true
	if recorded, found := v.unlistedSpeeds[s.key]; found {
		s.speeds.restore(recorded)
		delete(v.unlistedSpeeds, s.key)
	}
	if s.ready() != before || e.Service != service || e.Version != version {
		clear(v.readyServers)
	}
	if e.Draining {
		s.leave(now, v.usableUntil(seen))
		s.expectEnd(departure(e, seen))
		return restarted
	}
	if s.leavingAnnouncedAt.IsZero() {
		s.goneAt = time.Time{}
		s.leftAt, s.usableUntil = time.Time{}, time.Time{}
	}
	return restarted
}

// departedRetention is how long the state of a server that has left is kept, for attempts that are
// still in flight.
const departedRetention = time.Minute

// pruneInterval is the time between two runs of prune. Running it for each changed entry took 33 µs
// per change at 3,000 servers.
const pruneInterval = time.Second

// prune deletes servers that left long ago. The caller holds the lock.
func (v *View) prune(now time.Time) {
	if now.Sub(v.prunedAt) < pruneInterval {
		return
	}
	v.prunedAt = now
	for id, s := range v.servers {
		if !s.listed && now.Sub(s.leftAt) > departedRetention && s.ownLoad.Running == 0 {
			v.forgetLimit(s)
			delete(v.servers, id)
			v.keyIndex = nil
		}
	}
}

// Sweep expires old limits and leaving notices. It must be called periodically.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sweepLimits(now)
	v.sweepLeavingNotices(now)
}

// SetPeerLoads sets the sum of the loads of all other daemons, by server key.
func (v *View) SetPeerLoads(loads map[uint32]Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		s.peerLoad, s.peerLoadAt = loads[s.key], now
	}
}

// HasAddress reports whether a server with the given address is listed or has left recently.
func (v *View) HasAddress(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.Address == address {
			return true
		}
	}
	return false
}

// Keys returns the keys of all servers.
func (v *View) Keys() []uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	keys := make([]uint32, 0, len(v.servers))
	for _, s := range v.servers {
		keys = append(keys, s.key)
	}
	return keys
}

// OwnLoads returns this daemon's load on each server, by server key.
func (v *View) OwnLoads() map[uint32]Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	loads := map[uint32]Load{}
	for _, s := range v.servers {
		if s.ownLoad != (Load{}) {
			loads[s.key] = s.ownLoad
		}
	}
	return loads
}

// incarnationShare is the share of a service's servers from which on all of them are expected to
// report their incarnation. If a single one were enough, one entry by a foreign writer would
// exclude all servers of a service that does not report incarnations.
const incarnationShare = 0.75

// reportsIncarnations reports whether the servers of a service report their incarnation. If so, an
// entry without one was written by something else and must not be used. The caller holds the lock.
func (v *View) reportsIncarnations(service string) bool {
	listed, reporting := 0, 0
	for _, s := range v.servers {
		if !s.listed || s.Service != service {
			continue
		}
		listed++
		if s.StartTimeMs != 0 {
			reporting++
		}
	}
	return reporting > 0 && float64(reporting) >= incarnationShare*float64(listed)
}

// Status is one server's state for operators and for capacity decisions.
type Status struct {
	Entry
	Load
	Ready   bool
	Suspect bool
	// Barred is set if the server's version may not be used.
	Barred bool
	// Limit is the server's latest request limit.
	Limit advice.Limit
	// AtLimit is set if the demand exceeds the limit.
	AtLimit bool
	// Age is the time since this daemon first listed the incarnation.
	Age time.Duration
	// PrefillSpeed and StepSpeed are the speeds that are assumed, relative to the service's mean.
	PrefillSpeed, StepSpeed float64
}

// Servers returns every listed server, ordered by ID.
func (v *View) Servers(now time.Time) []Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshSpeeds(now)
	var all []Status
	for _, s := range v.servers {
		if s.listed {
			all = append(all, Status{Entry: s.Entry, Load: s.load(now), Ready: s.ready(), Suspect: s.suspect(now), Barred: !v.versionAllowed(s), Limit: s.limit, AtLimit: s.limit.Limited && v.limiter != nil && v.limiter.AtLimit(s.key), Age: now.Sub(s.joinedAt), PrefillSpeed: s.speeds.prefill.speed(), StepSpeed: s.speeds.step.speed()})
		}
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
