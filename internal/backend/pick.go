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
	// PromptTokens is the size of the prompt; Parts are its parts in order.
	PromptTokens int
	Parts        []PromptPart
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
	// SampleSeed is a number that differs between requests. It picks the servers that
	// are looked at beside the homes of the prompt, where there are many.
	SampleSeed uint64
	// Candidate asks for a server of the version that a roll-out tries.
	Candidate bool
	// ServerID names the one server to use; empty leaves the choice to the view.
	ServerID string
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
	inService, candidate := v.trackServers(need, now)
	few := shortlist(inService, need)
	if choice, ok := v.beginAmong(few, candidate, need, now); ok {
		return choice, true
	}
	if len(few) < len(inService) {
		if choice, ok := v.beginAmong(inService, candidate, need, now); ok {
			return choice, true
		}
	}
	choice, ok := v.beginAmong(v.lastResortServers(track{need.Service, candidate}, now), candidate, need, now)
	if ok {
		choice.lastResort = true
	}
	return choice, ok
}

// beginAmong picks one of some servers; the caller holds the lock.
func (v *View) beginAmong(servers []*server, candidate bool, need Need, now time.Time) (*Choice, bool) {
	traits := v.traits[need.Service]
	prompt := newPlacement(need.Parts, servers, traits, now)
	engines := v.engineFor(need.Service)
	offers := v.routeServers(servers, need, prompt, traits, engines, now)
	routing := route.Need{Zone: need.Zone, Target: need.Target, Tried: need.Tried, AnyZone: traits.CacheTokens > 0}
	picked, admitted, ok := v.admit(offers, routing, now)
	if !ok {
		return nil, false
	}
	s := v.servers[picked.Server.ID]
	work := s.work(prompt, traits, need)
	choice := &Choice{
		Entry: s.Entry, Wait: picked.Wait, IdleWait: picked.Server.IdleWait, PrefillTokens: work.Unread, FetchFrom: prompt.fetchSource(s), Running: picked.Server.Running,
		Candidate: candidate, view: v, server: s, need: need, work: work, queuedTokens: s.load(now).PendingTokens, prefillPending: true, startedAt: now, admittedAt: admitted,
	}
	if engines != nil {
		choice.Calibrated = engines.Known()
		choice.LongPrefill = isLongPrefill(engines.Read(work), need.Target)
		choice.Load = attemptLoad(work, need.Answer, traits, s.Slots, engines)
	}
	choice.register()
	return choice, true
}

// routeServers returns what the servers that may be used offer an attempt.
func (v *View) routeServers(servers []*server, need Need, prompt placement, traits Traits, engines *pace.Engine, now time.Time) []route.Server {
	offers := make([]route.Server, 0, len(servers))
	for _, s := range servers {
		if need.ServerID != "" && s.ID != need.ServerID {
			continue
		}
		offer := s.routeServer(s.work(prompt, traits, need), engines, now)
		if need.Deferred && engines != nil {
			offer.Queue += engines.Queue(s.deferredTokens)
		}
		offer.CrossZoneLatency = v.crossZoneLatency(s.Zone, need.Zone)
		offer.Leaving = s.backingOff(now)
		offer.Suspect = offer.Suspect || (need.Final && s.onProbation(now))
		offers = append(offers, offer)
	}
	return offers
}

// eligibleServers returns the servers in service, or those that leave when there is
// no other, in the order of their IDs. Those in service are kept until one comes or leaves: to
// collect and rank 2,600 for each request took 3.2 ms of a core (BenchmarkChoice).
func (v *View) eligibleServers(of track, now time.Time) []*server {
	if ready, kept := v.inService[of]; kept {
		return ready
	}
	ready := v.matchingServers(of, func(s *server) bool { return s.ready() })
	if len(ready) == 0 {
		return v.lastResortServers(of, now)
	}
	if of.candidate && !v.versionsOf(of.service).AllCandidates {
		ready = candidateSubset(ready)
	}
	v.inService[of] = ready
	return ready
}

// lastResortServers returns the servers that leave and may still be used.
func (v *View) lastResortServers(of track, now time.Time) []*server {
	return v.matchingServers(of, func(s *server) bool { return !s.ready() && s.usableAsLastResort(now) })
}

// matchingServers returns the servers of one side for which a condition holds, in the order of their IDs.
func (v *View) matchingServers(of track, holds func(s *server) bool) []*server {
	var servers []*server
	named := v.reportsIncarnations(of.service)
	versions := v.versionsOf(of.service)
	for _, s := range v.servers {
		if s.Service != of.service || named && s.StartTimeMs == 0 || !versions.allows(s.Version, of.candidate) || !holds(s) {
			continue
		}
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// work returns what an attempt would ask of the server's engine.
func (s *server) work(prompt placement, traits Traits, need Need) pace.Work {
	work := pace.Work{Prompt: need.PromptTokens, Unread: need.PromptTokens}
	if traits.CacheTokens > 0 {
		kept, copied := prompt.cachedAndFetched(s)
		work.Unread, work.Copied = max(0, need.PromptTokens-kept-copied), copied
	}
	return work
}

func (s *server) routeServer(work pace.Work, engines *pace.Engine, now time.Time) route.Server {
	load := s.load(now)
	offer := route.Server{
		ID: s.ID, Zone: s.Zone, Address: s.Address,
		Suspect:     s.suspect(now),
		Running:     load.Running,
		MaxBatch:    s.Slots,
		ServiceTime: s.serviceTime,
		ExcessDelay: s.WarmupLeft,
	}
	if engines != nil {
		slower := s.slowdownFactor(now)
		offer.Queue = time.Duration(slower * float64(engines.Queue(load.PendingTokens)))
		offer.IdleWait = time.Duration(slower * float64(engines.FirstEvent(work)))
	}
	return offer
}
