package backend

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/pace"
)

// Traits are what the configuration says of a service's servers.
type Traits struct {
	// CacheTokens is the memory of a model engine, in tokens. Zero marks a plain
	// service.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// FetchRate is in tokens per second that an engine's link carries when it copies
	// from another one. Zero means that it cannot.
	FetchRate float64
}

// View holds the backend servers. It may be used by several goroutines.
type View struct {
	mu      sync.Mutex
	servers map[string]*server
	traits  map[string]Traits
	// connectTimes are how long connections to the zones take to open.
	connectTimes map[string]connectTime
	// engines are what was learned of the engines, by service.
	engines map[string]*pace.Engine
	// unappliedFigures are figures that others told before the configuration of the service came.
	unappliedFigures map[string]pace.EngineFigures
	outageEnd        time.Time
	// drainBound is how long a draining server may be sent requests after the store has acknowledged
	// that it drains.
	drainBound time.Duration
	// inService are the servers in service, by service, as far as they were asked for
	// since one last came or left.
	inService map[track][]*server
	// versions say which versions may be used, by service.
	versions map[string]Versions
	// enforceVersions is set where versions matter.
	enforceVersions bool
	// prunedAt is when servers to forget were last looked for.
	prunedAt time.Time
	// listed is set once a whole list was taken over.
	listed  bool
	changed chan struct{}
	// keyIndex are the servers by their keys, or nil where that has to be made anew.
	keyIndex map[uint32]*server
	// limiter shares the limits that servers name. Nil keeps none.
	limiter Limiter
}

// NewView returns an empty view.
func NewView() *View {
	return &View{servers: map[string]*server{}, traits: map[string]Traits{}, connectTimes: map[string]connectTime{}, engines: map[string]*pace.Engine{}, unappliedFigures: map[string]pace.EngineFigures{}, inService: map[track][]*server{}, versions: map[string]Versions{}, changed: make(chan struct{}), drainBound: defaultDrainBound}
}

// SetTraits takes over what a configuration says of the services.
func (v *View) SetTraits(traits map[string]Traits) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.traits = traits
}

// Changed returns a channel that is closed when a server comes or goes.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notifyChanged lets all know that the list has changed.
func (v *View) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// StoreReturned notes that the store answers again after an outage.
func (v *View) StoreReturned(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outageEnd = now
}

// Replace takes over a whole list. Servers that are missing have left. It returns the
// entries of servers that have started again as they were before.
func (v *View) Replace(entries []Entry, seen Observation) (ended []Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = true
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = true
		ended = append(ended, v.putEntry(e, seen)...)
	}
	for id, s := range v.servers {
		if !present[id] {
			v.removeEntry(s, seen)
		}
	}
	v.prune(seen.ReceivedAt)
	v.notifyChanged()
	return ended
}

// Listed reports whether the servers are known: before, that there are none says
// nothing.
func (v *View) Listed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed
}

// Put takes over a new or changed entry as of now. If the server has started again it returns its
// entry as it was before.
func (v *View) Put(e Entry, now time.Time) (ended []Entry) {
	return v.Update([]Entry{e}, nil, Observed(now))
}

// Remove takes over that an entry is gone from the list as of now.
func (v *View) Remove(id string, now time.Time) { v.Update(nil, []string{id}, Observed(now)) }

// Update takes over new and changed entries and the IDs of those that are gone from the
// list. It returns the entries of servers that have started again as they were before.
func (v *View) Update(entries []Entry, gone []string, seen Observation) (ended []Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range entries {
		ended = append(ended, v.putEntry(e, seen)...)
	}
	for _, id := range gone {
		if s := v.servers[id]; s != nil {
			v.removeEntry(s, seen)
		}
	}
	v.prune(seen.ReceivedAt)
	v.notifyChanged()
	return ended
}

func (v *View) putEntry(e Entry, seen Observation) (ended []Entry) {
	now := seen.ReceivedAt
	s := v.servers[e.ID]
	if s != nil && s.supersedes(e) {
		return nil
	}
	var again time.Time
	if s != nil && s.isRestart(e) {
		ended = append(ended, s.Entry)
		v.forgetLimit(s)
		s.abandonAttempts()
		s, again = nil, now
		clear(v.inService)
	}
	if s == nil {
		s = &server{key: KeyOf(e), idHash: xxhash.Sum64String(e.ID), joinedAt: now, restartedAt: again, attempts: map[*Choice]struct{}{}}
		v.servers[e.ID], v.keyIndex = s, nil
	}
	before, service, version := s.ready(), s.Service, s.Version
	if e.StartTimeMs != s.StartTimeMs {
		// An incarnation that was not named before.
		s.key, v.keyIndex = KeyOf(e), nil
		clear(v.inService)
	}
	s.Entry, s.listed = e, true
	if s.ready() != before || e.Service != service || e.Version != version {
		clear(v.inService)
	}
	if e.Draining {
		s.leave(now, v.usableUntil(seen))
		return ended
	}
	if s.leavingAnnouncedAt.IsZero() {
		s.leftAt, s.usableUntil = time.Time{}, time.Time{}
	}
	return ended
}

// departedRetention is how long a server that has left is remembered, for attempts
// that are still on their way.
const departedRetention = time.Minute

// pruneInterval is the time between two walks over all servers for those to forget. With a
// walk for each changed entry, one of 3,000 servers took 33 µs.
const pruneInterval = time.Second

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

// Sweep expires old advice of servers. It is called periodically.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sweepLimits(now)
	v.sweepLeavingNotices(now)
}

// SetPeerLoads takes over what all other daemons have in flight, by key.
func (v *View) SetPeerLoads(loads map[uint32]Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		s.peerLoad, s.peerLoadAt = loads[s.key], now
	}
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

// OwnLoads returns what this daemon has in flight, by key.
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

// incarnationShare is the share of a service's servers from which on all are taken to tell their
// incarnation. Were one enough, a single entry of another writer would take all servers away
// where none tells it.
const incarnationShare = 0.75

// reportsIncarnations reports whether servers of a service tell their incarnation. An entry
// without one is then of another writer and names no server to use.
func (v *View) reportsIncarnations(service string) bool {
	listed, telling := 0, 0
	for _, s := range v.servers {
		if !s.listed || s.Service != service {
			continue
		}
		listed++
		if s.StartTimeMs != 0 {
			telling++
		}
	}
	return telling > 0 && float64(telling) >= incarnationShare*float64(listed)
}

// Status is one server's state for operators and for capacity decisions.
type Status struct {
	Entry
	Load
	Ready   bool
	Suspect bool
	// Barred is set for a server of a version that may not be used.
	Barred bool
	// Limit is the server's latest request limit.
	Limit advice.Limit
	// AtLimit is set where callers ask for more than the limit.
	AtLimit bool
	Age     time.Duration
}

// Servers returns every listed server, ordered by ID.
func (v *View) Servers(now time.Time) []Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []Status
	for _, s := range v.servers {
		if s.listed {
			all = append(all, Status{Entry: s.Entry, Load: s.load(now), Ready: s.ready(), Suspect: s.suspect(now), Barred: !v.versionAllowed(s), Limit: s.limit, AtLimit: s.limit.Limited && v.limiter != nil && v.limiter.Binds(s.key), Age: now.Sub(s.joinedAt)})
		}
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
