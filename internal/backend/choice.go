package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
)

// Choice is a server that was picked for an attempt, and the state of that attempt. End must be
// called when the attempt is over. RecordEvent and Timing must not be called concurrently.
type Choice struct {
	Entry
	// Wait is the predicted time to the first event, and IdleWait the part of it that the attempt
	// would take on an idle server.
	Wait     time.Duration
	IdleWait time.Duration
	// Calibrated is set if the predictions are based on measurements of the engines and not on
	// initial estimates.
	Calibrated bool
	// Load is the load that the attempt puts on the engines.
	Load demand.Load
	// LongPrefill is set if the prompt's prefill takes long compared with the request's target.
	LongPrefill bool
	// PrefillTokens is the predicted number of prompt tokens that the engine has to process because
	// it neither caches nor copies them.
	PrefillTokens int
	// FetchFrom is the address of a server to copy prompt parts from, or empty.
	FetchFrom string
	// Running is the known number of requests that were running on the server before this attempt.
	Running int
	// PrefillSpeed and StepSpeed are the server's speeds, relative to its service, that the
	// predictions assume.
	PrefillSpeed, StepSpeed float64
	// StreamTime is the predicted time from the first event to the end of the answer. EndsLate is
	// set if the answer cannot end within the caller's time at any server, and servers differ in
	// speed.
	StreamTime time.Duration
	EndsLate   bool
	// Candidate is set if the server runs the candidate version of a roll-out.
	Candidate bool

	view   *View
	server *server
	need   Need
	work   pace.Work
	// class is the class of rank by which the server orders the attempt.
	class int
	// queuedTokens is the number of prompt tokens that were pending on the server and expected to be
	// processed before this attempt's, and yieldingTokens that of the less urgent ones.
	queuedTokens, yieldingTokens int
	// prefillPending is set until the engine has processed the prompt.
	prefillPending bool
	startedAt      time.Time
	// lastResort is set if the server is leaving and was picked because all others back off or are
	// at their limits.
	lastResort bool
	// admittedAt is when the attempt was counted against its server's request limit, or zero.
	admittedAt time.Time
	// firstEventAt and lastEventAt are when the first and the latest event were received; events
	// counts them.
	firstEventAt, lastEventAt time.Time
	events                    int
	// observedEvents is the number of events up to which the step time was observed, at observedAt.
	observedEvents int
	observedAt     time.Time
	// onRestart is called if the server restarts before the attempt has ended.
	onRestart func()
	// onLeaving is called when the server begins to leave. moved is set if the attempt continues a run
	// from a copy.
	onLeaving func()
	moved     bool
}

// Prompt returns the load of the attempt's prompt before it is processed.
func (c *Choice) Prompt() Load { return PromptLoad(c.class, c.PrefillTokens) }

// ListedVersion returns the version of the server's software as of its current entry. It differs from
// Version if the entry has changed, or the server has started again, since it was picked.
func (c *Choice) ListedVersion() string {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	if s := c.view.servers[c.ID]; s != nil {
		return s.Version
	}
	return c.Version
}

// RecordEvent records that an event of the answer was received. The first event shows that the
// prompt has been processed.
func (c *Choice) RecordEvent(now time.Time) {
	if c.events++; c.events > 1 {
		c.lastEventAt = now
		if now.Sub(c.observedAt) >= stepObservationInterval {
			c.observeStep()
		}
		return
	}
	c.observedEvents, c.observedAt = 1, now
	c.firstEventAt, c.lastEventAt = now, now
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.finishPrefill()
	if c.server.cache != nil {
		c.server.cache.add(c.need.Parts)
	}
	c.learnFirstEvent()
}

// Timing returns the time to the first event and the mean time between events. A value is zero if
// there were too few events. It must not be called before the attempt has ended.
func (c *Choice) Timing() (first, interval time.Duration) {
	if c.events == 0 {
		return 0, 0
	}
	if c.events > 1 {
		interval = c.lastEventAt.Sub(c.firstEventAt) / time.Duration(c.events-1)
	}
	return c.firstEventAt.Sub(c.startedAt), interval
}

// minFitSamples is the number of observations of a fit from which on the speeds of servers are observed
// relative to it. With fewer, the error of the fit would be taken for the speed of the first servers.
const minFitSamples = 100

// learnFirstEvent updates the engine model with the time to the first event, unless queueing made
// up most of that time. The caller holds the lock.
func (c *Choice) learnFirstEvent() {
	engines := c.view.engineFor(c.need.Service)
	took := c.firstEventAt.Sub(c.startedAt)
	c.learnYield(engines, took)
	if engines == nil || c.Candidate || c.moved || c.need.Deferred || c.Running >= c.Slots || c.queuedTokens > c.PrefillTokens {
		return
	}
	work := c.work
	work.PrefillTokens += c.queuedTokens
	work.PromptTokens += c.queuedTokens
	predicted, speed := engines.FirstEvent(work), &c.server.speeds.prefill
	c.server.recordFirstEvent(speed.at(predicted), took, c.firstEventAt)
	if engines.First.Samples >= minFitSamples {
		speed.observe(predicted, took, c.view.serviceSpeedsOf(c.need.Service).prefill, c.firstEventAt)
		c.server.speeds.observedAt = c.firstEventAt
	}
	engines.ObserveFirst(work, speed.toMean(took))
}

// observeStep observes the server's speed from the events since the last observation.
func (c *Choice) observeStep() {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.learnStepSpeed(c.lastEventAt)
}

// learnStepSpeed is observeStep. The caller holds the lock.
func (c *Choice) learnStepSpeed(now time.Time) {
	engines := c.view.engineFor(c.need.Service)
	if engines == nil || c.Candidate || c.events <= c.observedEvents || engines.Step.Samples < minFitSamples {
		return
	}
	tokens := (c.events - c.observedEvents) * max(1, c.view.traits[c.need.Service].EventTokens)
	predicted := engines.StepTime(tokens, min(c.Slots, c.server.load(now).Running))
	c.server.speeds.step.observe(predicted, now.Sub(c.observedAt), c.view.serviceSpeedsOf(c.need.Service).step, now)
	c.server.speeds.observedAt, c.observedEvents, c.observedAt = now, c.events, now
}

// learnStream updates the engine model with the duration of the stream. The caller holds the lock.
func (c *Choice) learnStream() {
	engines := c.view.engineFor(c.need.Service)
	if engines == nil || c.Candidate || c.events == 0 || c.need.Resumed {
		return
	}
	tokens := c.events * max(1, c.view.traits[c.need.Service].EventTokens)
	batch := min(c.Slots, (c.Running+c.server.load(c.lastEventAt).Running+1)/2)
	c.learnStepSpeed(c.lastEventAt)
	engines.ObserveStream(tokens, c.need.Answer, batch, c.server.speeds.step.toMean(c.lastEventAt.Sub(c.firstEventAt)))
}

// learnCall observes the speed of a plain service's server. The caller holds the lock.
func (c *Choice) learnCall(took time.Duration, now time.Time) {
	if c.Candidate || c.view.engineFor(c.need.Service) != nil {
		return
	}
	service, speed := c.view.serviceSpeedsOf(c.need.Service), &c.server.speeds.step
	if service.calls >= minMeanCalls {
		speed.observe(service.meanServiceTime, took, service.step, now)
		c.server.speeds.observedAt = now
	}
	service.recordCall(speed.toMean(took))
}

// register adds the attempt to its server's load. Deferred attempts are counted separately, because
// they run after all others and delay none of them. The caller holds the lock.
func (c *Choice) register() {
	c.server.attempts[c] = struct{}{}
	c.server.ownLoad.Running++
	c.server.ownLoad.Started.add(c.class, 1)
	if c.need.Deferred {
		c.server.deferredTokens += c.PrefillTokens
		return
	}
	c.server.ownLoad.PendingTokens += c.PrefillTokens
	c.server.ownLoad.Pending.add(c.class, c.PrefillTokens)
}

// finishPrefill removes the prompt's tokens from the server's pending load, once. The caller holds
// the lock.
func (c *Choice) finishPrefill() {
	if !c.prefillPending {
		return
	}
	c.prefillPending = false
	if c.need.Deferred {
		c.server.deferredTokens -= c.PrefillTokens
		return
	}
	c.server.ownLoad.PendingTokens -= c.PrefillTokens
	c.server.ownLoad.Pending.add(c.class, -c.PrefillTokens)
}

// End removes the attempt from its server's load and records its outcome.
func (c *Choice) End(outcome Outcome, now time.Time) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.finishPrefill()
	delete(c.server.attempts, c)
	c.server.ownLoad.Running--
	c.server.ownLoad.Started.add(c.class, -1)
	c.server.recordOutcome(outcome, now)
	if outcome == OutcomeWrongServer {
		clear(c.view.readyServers)
	}
	if outcome == OutcomeServed && !c.moved {
		c.learnStream()
		took := now.Sub(c.startedAt)
		c.recordRequestSize(took)
		c.learnCall(took, now)
		c.server.serviceTime += time.Duration(serviceTimeWeight * float64(took-c.server.serviceTime))
	}
}

// RecordSilence records that the server has been silent for longer than its requests usually take, although the
// attempt goes on. It counts like a failed attempt.
func (c *Choice) RecordSilence(now time.Time) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.server.recordOutcome(OutcomeFailed, now)
}
