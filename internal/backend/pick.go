package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/route"
)

// Need describes what an attempt requires of a server.
type Need struct {
	Service string
	Zone    string
	// PromptTokens is the size of the prompt, and Parts are its parts in order.
	PromptTokens int
	Parts        []PromptPart
	// Answer is the caller's information on the size of the answer. Resumed is set if the caller
	// already has the first part of the answer.
	Answer  pace.AnswerSize
	Resumed bool
	// Target is the route's target for the time to the first event.
	Target time.Duration
	// Tried holds the IDs of servers to avoid.
	Tried map[string]bool
	// Excluded holds the IDs of servers that must not be picked.
	Excluded map[string]bool
	// Final is set for the last attempt of a request.
	Final bool
	// Class is the class of the request's rank; see route.RankClass.
	Class int
	// Deferred is set for attempts that the engine runs after all others.
	Deferred bool
	// SampleSeed differs between requests. It selects the servers that are considered in addition
	// to the homes of the prompt if there are many servers.
	SampleSeed uint64
	// Candidate requests a server of the candidate version of a roll-out.
	Candidate bool
	// Version restricts the choice to servers of one version, unless it is empty.
	Version string
	// ServerID restricts the choice to one server, unless it is empty.
	ServerID string
	// Remaining is how much longer the caller waits for the whole answer, or zero without a limit.
	Remaining time.Duration

	// topWeight is the largest weight of the service's servers in the choice of homes.
	topWeight float64
	// ranks are the ranks of the eligible servers as homes.
	ranks []homeRank
}

// Begin picks a server for an attempt and adds the attempt to its load. It returns false if the
// service has no usable server.
func (v *View) Begin(need Need, now time.Time) (*Choice, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshSpeeds(now)
	need.topWeight = v.serviceSpeedsOf(need.Service).topWeight
	choice, ok := v.begin(need, now)
	if !ok && need.Candidate {
		// An attempt for the candidate falls back to the stable version instead of waiting.
		need.Candidate = false
		choice, ok = v.begin(need, now)
	}
	return choice, ok
}

// begin is Begin for one track of a roll-out. It considers the shortlist first, then all servers,
// and then leaving servers as a last resort if all others back off or are at their limits. The
// caller holds the lock.
func (v *View) begin(need Need, now time.Time) (*Choice, bool) {
	eligible, candidate := v.trackServers(need, now)
	if len(eligible) > maxFullScan {
		need.ranks = v.ranks(need.track(candidate), eligible)
	}
	shortlisted := v.withFastServers(shortlist(eligible, need), eligible, need, now)
	if choice, ok := v.beginAmong(shortlisted, candidate, need, now); ok {
		return choice, true
	}
	if len(shortlisted) < len(eligible) {
		if choice, ok := v.beginAmong(eligible, candidate, need, now); ok {
			return choice, true
		}
	}
	choice, ok := v.beginAmong(v.lastResortServers(need.track(candidate), now), candidate, need, now)
	if ok {
		choice.lastResort = true
	}
	return choice, ok
}

// beginAmong is begin for a given list of servers. The caller holds the lock.
func (v *View) beginAmong(servers []*server, candidate bool, need Need, now time.Time) (*Choice, bool) {
	traits := v.traits[need.Service]
	prompt := newPlacement(need.Parts, servers, traits, now)
	engines := v.engineFor(need.Service)
	routeServers := v.routeServers(servers, need, prompt, traits, engines, now)
	routing := route.Need{Zone: need.Zone, Target: need.Target, Tried: need.Tried, AnyZone: traits.CacheTokens > 0}
	v.avoidLateEnds(routeServers, need, routing, now)
	picked, admitted, ok := v.admit(routeServers, routing, now)
	if !ok {
		return nil, false
	}
	s := v.servers[picked.Server.ID]
	work := s.work(prompt, traits, need)
	load, class := s.load(now), queueClass(need, traits)
	choice := &Choice{
		Entry: s.Entry, Wait: picked.Wait, IdleWait: picked.Server.IdleWait, PrefillTokens: work.PrefillTokens, FetchFrom: prompt.fetchSource(s), Running: picked.Server.Running,
		PrefillSpeed: s.speeds.prefill.speed(), StepSpeed: s.speeds.step.speed(),
		Candidate: candidate, view: v, server: s, need: need, work: work, class: loadClass(need, traits), queuedTokens: v.queuedTokens(need.Service, load, class), yieldingTokens: load.Pending.behind(class), prefillPending: true, startedAt: now, admittedAt: admitted,
	}
	if engines != nil {
		choice.Calibrated = engines.Calibrated()
		choice.LongPrefill = isLongPrefill(engines.PrefillTime(work), need.Target)
		choice.StreamTime = s.streamTime(need.Answer, engines, now)
		choice.EndsLate = v.endsLate(choice.Wait+choice.StreamTime, need)
		choice.Load = attemptLoad(work, need.Answer, traits, s.Slots, engines)
	}
	choice.register()
	v.recordUnreadShare(need, work)
	return choice, true
}

// loadClass returns the class in which the attempt is counted. It is zero where ranks make no
// difference, so that reports need not contain it.
func loadClass(need Need, traits Traits) int {
	if !traits.Ranked {
		return 0
	}
	return queueClass(need, traits)
}

// queueClass returns the class whose attempts, and more urgent ones, go before the attempt.
func queueClass(need Need, traits Traits) int {
	if !traits.Ranked || need.Deferred {
		return route.LeastUrgent
	}
	return need.Class
}

// setQueue sets what goes before an attempt of a class on an engine: the prompts that wait, and the
// running attempts that do not yield to it. Plain services run attempts in order of arrival. The
// caller holds the lock.
func (v *View) setQueue(rs *route.Server, s *server, need Need, load Load, class int, engines *pace.Engine, now time.Time) {
	if engines == nil {
		return
	}
	queued := v.queuedTokens(need.Service, load, class)
	rs.Queue = time.Duration(s.slowdownFactor(now) * float64(s.speeds.prefill.at(engines.QueueTime(queued))) / (1 - v.urgentUse(need.Service, class)))
	rs.Yielding = load.Started.behind(class)
}

// routeServers returns the servers as package route rates them. The caller holds the lock.
func (v *View) routeServers(servers []*server, need Need, prompt placement, traits Traits, engines *pace.Engine, now time.Time) []route.Server {
	class := queueClass(need, traits)
	routeServers := make([]route.Server, 0, len(servers))
	meanServiceTime := v.serviceSpeedsOf(need.Service).meanServiceTime
	for _, s := range servers {
		if need.ServerID != "" && s.ID != need.ServerID || need.Excluded[s.ID] {
			continue
		}
		load := s.load(now)
		rs := s.routeServer(s.work(prompt, traits, need), load, engines, meanServiceTime, now)
		v.setQueue(&rs, s, need, load, class, engines, now)
		if need.Deferred && engines != nil {
			rs.Queue += s.speeds.prefill.at(engines.QueueTime(s.deferredTokens))
		}
		rs.CrossZoneLatency = v.crossZoneLatency(s.Zone, need.Zone)
		rs.Leaving = s.backingOff(now)
		rs.Suspect = rs.Suspect || (need.Final && s.onProbation(now))
		routeServers = append(routeServers, rs)
	}
	return routeServers
}

// eligibleServers returns the ready servers of a track, or the leaving ones that are still usable
// if there is no ready one, in order of ID. The list of ready servers is cached until one is added
// or leaves: collecting and sorting 2,600 servers for each request took 3.2 ms of CPU time. The
// caller holds the lock.
func (v *View) eligibleServers(t track, now time.Time) []*server {
	if ready, cached := v.readyServers[t]; cached {
		return ready
	}
	ready := v.matchingServers(t, func(s *server) bool { return s.ready() })
	if len(ready) == 0 {
		return v.lastResortServers(t, now)
	}
	if t.candidate && !v.versionsOf(t.service).AllCandidates {
		ready = candidateSubset(ready)
	}
	v.readyServers[t] = ready
	return ready
}

// lastResortServers returns the leaving servers of a track that are still usable. The caller holds
// the lock.
func (v *View) lastResortServers(t track, now time.Time) []*server {
	return v.matchingServers(t, func(s *server) bool { return !s.ready() && s.usableAsLastResort(now) })
}

// matchingServers returns the servers of a track that satisfy a condition, in order of ID. The
// caller holds the lock.
func (v *View) matchingServers(t track, matches func(s *server) bool) []*server {
	var servers []*server
	incarnationRequired := v.reportsIncarnations(t.service)
	versions := v.versionsOf(t.service)
	for _, s := range v.servers {
		if s.Service != t.service || incarnationRequired && s.StartTimeMs == 0 || !t.matches(s.Version, versions) || !matches(s) {
			continue
		}
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// work returns the work of an attempt on the server's engine.
func (s *server) work(prompt placement, traits Traits, need Need) pace.Work {
	work := pace.Work{PromptTokens: need.PromptTokens, PrefillTokens: need.PromptTokens}
	if traits.CacheTokens > 0 {
		cached, copied := prompt.cachedAndFetched(s)
		work.PrefillTokens, work.CopiedTokens = max(0, need.PromptTokens-cached-copied), copied
	}
	return work
}

// routeServer returns the server as package route rates it. meanServiceTime is the mean time of a call
// at a plain service.
func (s *server) routeServer(work pace.Work, load Load, engines *pace.Engine, meanServiceTime time.Duration, now time.Time) route.Server {
	rs := route.Server{
		ID: s.ID, Zone: s.Zone, Address: s.Address,
		Suspect:     s.suspect(now),
		Running:     load.Running,
		MaxBatch:    s.Slots,
		ServiceTime: s.serviceTime,
		ExcessDelay: s.WarmupLeft,
	}
	if s.speeds.step.log2 != 0 && engines == nil {
		rs.ServiceTime = s.speeds.step.at(meanServiceTime)
	}
	if engines != nil {
		rs.IdleWait = time.Duration(s.slowdownFactor(now) * float64(s.speeds.prefill.at(engines.FirstEvent(work))))
	}
	return rs
}
