package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/route"
)

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
	choice, ok := v.beginAt(v.lastResort(side{need.Service, candidate}, now), candidate, need, now)
	if ok {
		choice.standsIn = true
	}
	return choice, ok
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
