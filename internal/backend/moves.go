package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/evacuation"
	"github.com/plankridge/plankridge/internal/pace"
)

// drainServiceTime is how long a server that leaves without a stated time is expected to go on with the
// requests that it runs. Such servers exit some seconds after they begin to drain.
const drainServiceTime = 3 * time.Second

// reclaimServiceTime is the same for reclaimable servers. The cloud takes a reclaimed one away after a short
// notice, and a stream that is moved too early only pauses for some tens of milliseconds.
const reclaimServiceTime = 1500 * time.Millisecond

// maxNoticeDelay bounds the time that a notice is assumed to have taken from the store to this daemon.
// The earliest possible time of a notice is seconds before its receipt when the store was not reachable.
const maxNoticeDelay = 300 * time.Millisecond

// departure returns when the server of a draining entry is expected to be gone. The stated time counts
// from the store's acknowledgement, if that is known.
func departure(e Entry, seen Observation) time.Time {
	switch {
	case e.LeavesIn > 0:
	case e.Reclaimable:
		return seen.ReceivedAt.Add(reclaimServiceTime)
	default:
		return seen.ReceivedAt.Add(drainServiceTime)
	}
	at := seen.ReceivedAt.Add(e.LeavesIn)
	if !seen.NotBefore.IsZero() {
		at = at.Add(-min(maxNoticeDelay, max(0, seen.ReceivedAt.Sub(seen.NotBefore))))
	}
	return at
}

// expectEnd records when the server is expected to be gone and notifies its attempts. A repeated
// announcement does not extend the time. The caller holds the lock of the view.
func (s *server) expectEnd(at time.Time) {
	if !s.goneAt.IsZero() && !at.Before(s.goneAt) {
		return
	}
	s.goneAt = at
	for choice := range s.attempts {
		if choice.onLeaving != nil {
			choice.onLeaving()
		}
	}
}

// OnLeaving sets a function that is called when the server is known to leave, and again when it is
// known to leave sooner. It is called at once if the server is known to leave already. The function is
// called with the view locked and must not call the view.
func (c *Choice) OnLeaving(call func()) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.onLeaving = call
	if !c.server.goneAt.IsZero() {
		call()
	}
}

// GoneAt returns when the server is expected to be gone, or zero if it is not known to leave.
func (c *Choice) GoneAt() time.Time {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	return c.server.goneAt
}

// DepartureStated reports whether the server, or the cloud, has said when the server will be gone. Otherwise
// GoneAt is an estimate.
func (c *Choice) DepartureStated() bool {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	return c.server.LeavesIn > 0 || c.server.Reclaimable
}

// PredictAnswer returns the predicted duration of a whole answer on the server after its first event, and
// the predicted number of its tokens. Both are zero for plain services.
func (c *Choice) PredictAnswer(answer pace.AnswerSize, now time.Time) (time.Duration, float64) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	engines := c.view.engineFor(c.need.Service)
	if engines == nil {
		return 0, 0
	}
	duration := engines.StreamTime(answer, min(c.Slots, c.server.load(now).Running))
	return c.server.speeds.step.at(duration), engines.OutputTokens(answer)
}

// ReadTime returns the predicted time to read a prompt of which a number of tokens is not cached.
func (c *Choice) ReadTime(promptTokens, unread int) time.Duration {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	engines := c.view.engineFor(c.need.Service)
	if engines == nil {
		return 0
	}
	return c.server.speeds.prefill.at(engines.FirstEvent(pace.Work{PromptTokens: promptTokens, PrefillTokens: unread}))
}

// MoveTargets returns the servers of some services to which running streams may be moved. memory is the
// number of tokens in memory that a running request is taken to have, by service.
func (v *View) MoveTargets(memory map[string]int, now time.Time) []evacuation.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	var targets []evacuation.Server
	for _, s := range v.servers {
		tokens, wanted := memory[s.Service]
		if !wanted || !v.mayTakeMoved(s, now) {
			continue
		}
		running := s.load(now).Running
		targets = append(targets, evacuation.Server{
			ID: s.ID, Service: s.Service, Version: s.Version, Zone: s.Zone, Slots: s.Slots, Running: running,
			FreeTokens: v.traits[s.Service].CacheTokens - running*tokens, Speed: s.speeds.step.speed(),
		})
	}
	return targets
}

// mayTakeMoved reports whether a running stream may be moved to the server. The caller holds the lock.
func (v *View) mayTakeMoved(s *server, now time.Time) bool {
	return s.ready() && s.goneAt.IsZero() && !s.suspect(now) && !s.backingOff(now) && !s.limit.Limited && v.versionAllowed(s)
}

// BeginMoved adds an attempt to the load of a server that continues a run from a copy. It returns false
// if the server may not be sent requests, or is of another version than the run.
func (v *View) BeginMoved(need Need, id string, now time.Time) (*Choice, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[id]
	if s == nil || !s.ready() && !s.usableAsLastResort(now) || need.Version != "" && s.Version != need.Version {
		return nil, false
	}
	need.Resumed = true
	candidate := s.Version == v.versionsOf(s.Service).Candidate && s.Version != ""
	choice := &Choice{Entry: s.Entry, Running: s.load(now).Running, Candidate: candidate, view: v, server: s, need: need, startedAt: now, lastResort: true, moved: true}
	choice.register()
	return choice, true
}

// Moved reports whether the attempt continues a run from a copy.
func (c *Choice) Moved() bool { return c.moved }
