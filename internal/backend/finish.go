package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/route"
)

const (
	// comfortableShare is the share of the caller's remaining time within which an answer must be
	// predicted to end for a server to count as fast enough.
	comfortableShare = 0.9
	// hopelessShare is the share of the caller's remaining time above which an answer is predicted not to
	// end in time. Predictions are off by about a tenth.
	hopelessShare = 1.1
	// fastServerCount is the number of servers that are considered in addition if none of the
	// shortlist is fast enough.
	fastServerCount = 4
)

// endMatters reports whether the end of the answer is considered in the choice of a server: its caller
// waits for a limited time, the servers of the service differ in speed and their step time is known. The
// remaining size of a resumed answer is unknown. The caller holds the lock.
func (v *View) endMatters(need Need) bool {
	if need.Remaining <= 0 || need.Resumed {
		return false
	}
	engines := v.engineFor(need.Service)
	return engines != nil && engines.Calibrated() && engines.Step.Calibrated() && v.serviceSpeedsOf(need.Service).differ
}

// streamTime returns the predicted time from the first event of an answer to its end.
func (s *server) streamTime(answer pace.AnswerSize, engines *pace.Engine, now time.Time) time.Duration {
	return s.speeds.step.at(engines.StreamTime(answer, min(max(1, s.Slots), s.load(now).Running+1)))
}

// timeWithoutCache returns the predicted time until an answer ends at a server if nothing of its prompt is
// cached. The caller holds the lock.
func (v *View) timeWithoutCache(s *server, need Need, engines *pace.Engine, now time.Time) time.Duration {
	load := s.load(now)
	rs := s.routeServer(pace.Work{PromptTokens: need.PromptTokens, PrefillTokens: need.PromptTokens}, load, engines, 0, now)
	v.setQueue(&rs, s, need, load, queueClass(need, v.traits[need.Service]), engines, now)
	return route.PredictWait(&rs, &route.Need{Zone: s.Zone}) + s.streamTime(need.Answer, engines, now)
}

// withFastServers adds servers to the shortlist if none of it can end the answer in time: some that can,
// found from a position that differs between requests, or else the one that ends first. The caller
// holds the lock.
func (v *View) withFastServers(shortlisted, eligible []*server, need Need, now time.Time) []*server {
	if len(shortlisted) == len(eligible) || !v.endMatters(need) {
		return shortlisted
	}
	engines := v.engineFor(need.Service)
	usable := func(s *server) bool {
		return !s.suspect(now) && !s.backingOff(now) && !need.Tried[s.ID]
	}
	limit := time.Duration(comfortableShare * float64(need.Remaining))
	for _, s := range shortlisted {
		if usable(s) && v.timeWithoutCache(s, need, engines, now) <= limit {
			return shortlisted
		}
	}
	var fast []*server
	var first *server
	var firstTime time.Duration
	for i := range eligible {
		s := eligible[(need.SampleSeed+uint64(i))%uint64(len(eligible))]
		if !usable(s) {
			continue
		}
		took := v.timeWithoutCache(s, need, engines, now)
		if first == nil || took < firstTime {
			first, firstTime = s, took
		}
		if took <= limit {
			fast = append(fast, s)
		}
		if len(fast) == fastServerCount {
			break
		}
	}
	if len(fast) == 0 && first != nil {
		fast = append(fast, first)
	}
	return append(shortlisted, fast...)
}

// avoidLateEnds marks servers at which the answer would end too late as suspect, so that they are used
// only if no other is left. Nothing changes if it would at all of them. The caller holds the lock.
func (v *View) avoidLateEnds(servers []route.Server, need Need, routing route.Need, now time.Time) {
	if !v.endMatters(need) {
		return
	}
	engines := v.engineFor(need.Service)
	ends := make([]time.Duration, len(servers))
	for i := range servers {
		ends[i] = route.PredictWait(&servers[i], &routing) + v.servers[servers[i].ID].streamTime(need.Answer, engines, now)
	}
	for _, share := range []float64{comfortableShare, hopelessShare} {
		limit, found := time.Duration(share*float64(need.Remaining)), false
		for i := range servers {
			found = found || ends[i] <= limit && !servers[i].Leaving && !servers[i].Suspect && !need.Tried[servers[i].ID]
		}
		if !found {
			continue
		}
		for i := range servers {
			servers[i].Suspect = servers[i].Suspect || ends[i] > limit
		}
		return
	}
}

// endsLate reports whether the answer cannot end in time at the picked server. The caller holds the
// lock.
func (v *View) endsLate(end time.Duration, need Need) bool {
	return v.endMatters(need) && end > time.Duration(hopelessShare*float64(need.Remaining))
}
