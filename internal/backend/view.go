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
	// distances are how long connections to the zones take to open.
	distances map[string]distance
	// paces are what was learned of the engines, by service.
	paces map[string]*pace.Engine
	// early are figures that others told before the configuration of the service came.
	early     map[string]pace.EngineFigures
	outageEnd time.Time
	// leaving is how long a server that leaves may be sent requests, from the store's word.
	leaving time.Duration
	// inService are the servers in service, by service, as far as they were asked for
	// since one last came or left.
	inService map[side][]*server
	// versions say which versions may be used, by service.
	versions map[string]Versions
	// checked is set where versions matter.
	checked bool
	// prunedAt is when servers to forget were last looked for.
	prunedAt time.Time
	// listed is set once a whole list was taken over.
	listed  bool
	changed chan struct{}
	// limiter shares the limits that servers name. Nil keeps none.
	limiter Limiter
}

// NewView returns an empty view.
func NewView() *View {
	return &View{servers: map[string]*server{}, traits: map[string]Traits{}, distances: map[string]distance{}, paces: map[string]*pace.Engine{}, early: map[string]pace.EngineFigures{}, inService: map[side][]*server{}, versions: map[string]Versions{}, changed: make(chan struct{}), leaving: startLeaving}
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

// announce lets all know that the list has changed.
func (v *View) announce() {
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
func (v *View) Replace(entries []Entry, news News) (ended []Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = true
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = true
		ended = append(ended, v.put(e, news)...)
	}
	for id, s := range v.servers {
		if !present[id] {
			v.lapse(s, news)
		}
	}
	v.prune(news.At)
	v.announce()
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
	return v.Change([]Entry{e}, nil, JustNow(now))
}

// Remove takes over that an entry is gone from the list as of now.
func (v *View) Remove(id string, now time.Time) { v.Change(nil, []string{id}, JustNow(now)) }

// Change takes over new and changed entries and the IDs of those that are gone from the
// list. It returns the entries of servers that have started again as they were before.
func (v *View) Change(entries []Entry, gone []string, news News) (ended []Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range entries {
		ended = append(ended, v.put(e, news)...)
	}
	for _, id := range gone {
		if s := v.servers[id]; s != nil {
			v.lapse(s, news)
		}
	}
	v.prune(news.At)
	v.announce()
	return ended
}

func (v *View) put(e Entry, news News) (ended []Entry) {
	now := news.At
	s := v.servers[e.ID]
	if s != nil && s.outdates(e) {
		return nil
	}
	var again time.Time
	if s != nil && s.startedAgain(e) {
		ended = append(ended, s.Entry)
		v.forgetLimit(s)
		s.end()
		s, again = nil, now
		clear(v.inService)
	}
	if s == nil {
		s = &server{key: KeyOf(e), idHash: xxhash.Sum64String(e.ID), joinedAt: now, again: again, attempts: map[*Choice]struct{}{}}
		v.servers[e.ID] = s
	}
	before, service, version := s.ready(), s.Service, s.Version
	if e.BornMs != s.BornMs {
		// An incarnation that was not named before.
		s.key = KeyOf(e)
		clear(v.inService)
	}
	s.Entry, s.listed = e, true
	if s.ready() != before || e.Service != service || e.Version != version {
		clear(v.inService)
	}
	if e.Draining {
		s.leave(now, v.usableUntil(news))
		return ended
	}
	if s.saidLeavingAt.IsZero() {
		s.leftAt, s.usableUntil = time.Time{}, time.Time{}
	}
	return ended
}

// forgetAfter is how long a server that has left is remembered, for attempts
// that are still on their way.
const forgetAfter = time.Minute

// pruneEvery is the time between two walks over all servers for those to forget. With a
// walk for each changed entry, one of 3,000 servers took 33 µs.
const pruneEvery = time.Second

func (v *View) prune(now time.Time) {
	if now.Sub(v.prunedAt) < pruneEvery {
		return
	}
	v.prunedAt = now
	for id, s := range v.servers {
		if !s.listed && now.Sub(s.leftAt) > forgetAfter && s.own.Running == 0 {
			v.forgetLimit(s)
			delete(v.servers, id)
		}
	}
}

// Sweep lets go of what servers have said long ago. It is called now and then.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sweepLimits(now)
	v.sweepDepartures(now)
}

// SetRemote takes over what all other daemons have in flight, by key.
func (v *View) SetRemote(loads map[uint32]Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		s.remote, s.remoteAt = loads[s.key], now
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
		if s.own != (Load{}) {
			loads[s.key] = s.own
		}
	}
	return loads
}

// Need is what an attempt asks for.
type Need struct {
	Service string
	Zone    string
	// Tokens is the size of the prompt; Parts are its parts in order.
	Tokens int
	Parts  []Part
	// Answer is what the caller says of the answer's size. Resumed is set where it has the
	// first part of it.
	Answer  pace.Answer
	Resumed bool
	Target  time.Duration
	// Tried are servers to avoid.
	Tried map[string]bool
	// Final is set for an attempt after which no other may follow.
	Final bool
	// Deferred attempts go behind all others at the engine.
	Deferred bool
	// Draw is a number that differs between requests. It picks the servers that
	// are looked at beside the homes of the prompt, where there are many.
	Draw uint64
	// Candidate asks for a server of the version that a roll-out tries.
	Candidate bool
	// Only names the one server to use; empty leaves the choice to the view.
	Only string
}

// Begin picks a server for an attempt and counts the attempt in. It returns
// false when the service has none to offer.
func (v *View) Begin(need Need, now time.Time) (*Choice, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	choice, ok := v.begin(need, now)
	if !ok && need.Candidate {
		// Nothing waits for a candidate.
		need.Candidate = false
		choice, ok = v.begin(need, now)
	}
	return choice, ok
}

// begin is Begin for one track of a roll-out. The few servers that suit the request are looked at
// first, then all, and those that leave where the others rest or are at their limits. The caller
// holds the lock.
func (v *View) begin(need Need, now time.Time) (*Choice, bool) {
	inService, candidate := v.sideOf(need, now)
	few := shortlist(inService, need)
	if choice, ok := v.beginAt(few, candidate, need, now); ok {
		return choice, true
	}
	if len(few) < len(inService) {
		if choice, ok := v.beginAt(inService, candidate, need, now); ok {
			return choice, true
		}
	}
	return v.beginAt(v.lastResort(side{need.Service, candidate}, now), candidate, need, now)
}

// beginAt picks one of some servers; the caller holds the lock.
func (v *View) beginAt(servers []*server, candidate bool, need Need, now time.Time) (*Choice, bool) {
	traits := v.traits[need.Service]
	prompt := newPlacement(need.Parts, servers, traits, now)
	engines := v.pace(need.Service)
	offers := v.offersOf(servers, need, prompt, traits, engines, now)
	routing := route.Need{Zone: need.Zone, Target: need.Target, Tried: need.Tried, AnyZone: traits.CacheTokens > 0}
	picked, admitted, ok := v.admit(offers, routing, now)
	if !ok {
		return nil, false
	}
	s := v.servers[picked.Server.ID]
	work := s.work(prompt, traits, need)
	choice := &Choice{
		Entry: s.Entry, Wait: picked.Wait, Own: picked.Server.Own, Unread: work.Unread, FetchFrom: prompt.source(s), Running: picked.Server.Running,
		Candidate: candidate, view: v, server: s, need: need, work: work, queued: s.load(now).PendingTokens, pending: true, begun: now, admitted: admitted,
	}
	if engines != nil {
		choice.Learned = engines.Known()
		choice.Large = isLarge(engines.Read(work), need.Target)
		choice.Load = loadOf(work, need.Answer, traits, s.Slots, engines)
	}
	choice.countIn()
	return choice, true
}

// offersOf returns what the servers that may be used offer an attempt.
func (v *View) offersOf(servers []*server, need Need, prompt placement, traits Traits, engines *pace.Engine, now time.Time) []route.Server {
	offers := make([]route.Server, 0, len(servers))
	for _, s := range servers {
		if need.Only != "" && s.ID != need.Only {
			continue
		}
		offer := s.offer(s.work(prompt, traits, need), engines, now)
		if need.Deferred && engines != nil {
			offer.Queue += engines.Queue(s.deferred)
		}
		offer.Away = v.away(s.Zone, need.Zone)
		offer.Leaving = s.rests(now)
		offer.Suspect = offer.Suspect || (need.Final && s.onProbation(now))
		offers = append(offers, offer)
	}
	return offers
}

// candidates returns the servers in service, or those that leave when there is
// no other, in the order of their IDs. Those in service are kept until one comes or leaves: to
// collect and rank 2,600 for each request took 3.2 ms of a core (BenchmarkChoice).
func (v *View) candidates(of side, now time.Time) []*server {
	if ready, kept := v.inService[of]; kept {
		return ready
	}
	ready := v.matching(of, func(s *server) bool { return s.ready() })
	if len(ready) == 0 {
		return v.lastResort(of, now)
	}
	if of.candidate && !v.versionsOf(of.service).All {
		ready = few(ready)
	}
	v.inService[of] = ready
	return ready
}

// lastResort returns the servers that leave and may still be used.
func (v *View) lastResort(of side, now time.Time) []*server {
	return v.matching(of, func(s *server) bool { return !s.ready() && s.usable(now) })
}

// matching returns the servers of one side for which a condition holds, in the order of their IDs.
func (v *View) matching(of side, holds func(s *server) bool) []*server {
	var servers []*server
	named := v.tellIncarnations(of.service)
	versions := v.versionsOf(of.service)
	for _, s := range v.servers {
		if s.Service != of.service || named && s.BornMs == 0 || !versions.allows(s.Version, of.candidate) || !holds(s) {
			continue
		}
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// tellingShare is the share of a service's servers from which on all are taken to tell their
// incarnation. Were one enough, a single entry of another writer would take all servers away
// where none tells it.
const tellingShare = 0.75

// tellIncarnations reports whether servers of a service tell their incarnation. An entry
// without one is then of another writer and names no server to use.
func (v *View) tellIncarnations(service string) bool {
	listed, telling := 0, 0
	for _, s := range v.servers {
		if !s.listed || s.Service != service {
			continue
		}
		listed++
		if s.BornMs != 0 {
			telling++
		}
	}
	return telling > 0 && float64(telling) >= tellingShare*float64(listed)
}

// work returns what an attempt would ask of the server's engine.
func (s *server) work(prompt placement, traits Traits, need Need) pace.Work {
	work := pace.Work{Prompt: need.Tokens, Unread: need.Tokens}
	if traits.CacheTokens > 0 {
		kept, copied := prompt.cached(s)
		work.Unread, work.Copied = max(0, need.Tokens-kept-copied), copied
	}
	return work
}

func (s *server) offer(work pace.Work, engines *pace.Engine, now time.Time) route.Server {
	load := s.load(now)
	offer := route.Server{
		ID: s.ID, Zone: s.Zone, Address: s.Address,
		Suspect:     s.suspect(now),
		Running:     load.Running,
		MaxBatch:    s.Slots,
		ServiceTime: s.serviceTime,
		Excess:      s.ColdFor,
	}
	if engines != nil {
		slower := s.slower(now)
		offer.Queue = time.Duration(slower * float64(engines.Queue(load.PendingTokens)))
		offer.Own = time.Duration(slower * float64(engines.FirstEvent(work)))
	}
	return offer
}

// Status is one server's state for operators and for capacity decisions.
type Status struct {
	Entry
	Load
	Ready   bool
	Suspect bool
	// Barred is set for a server of a version that may not be used.
	Barred bool
	// Limit is what the server's answers say of how many requests it takes.
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
			all = append(all, Status{Entry: s.Entry, Load: s.load(now), Ready: s.ready(), Suspect: s.suspect(now), Barred: !v.mayUse(s), Limit: s.limit, AtLimit: s.limit.Named && v.limiter != nil && v.limiter.Binds(s.key), Age: now.Sub(s.joinedAt)})
		}
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
