package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
)

// Choice is a picked server. End must be called when the attempt is over.
type Choice struct {
	Entry
	// Wait is the predicted time to the first event, Own the part of it that the
	// attempt would take on an idle server.
	Wait     time.Duration
	IdleWait time.Duration
	// Calibrated is set once the predictions come from what was seen of the engines.
	Calibrated bool
	// Load is what the attempt asks of the engines.
	Load demand.Load
	// LongPrefill is set where the prompt keeps an engine reading for long.
	LongPrefill bool
	// PrefillTokens is the number of prompt tokens that the engine is predicted to
	// read.
	PrefillTokens int
	// FetchFrom is the address of a server to copy prompt parts from, or empty.
	FetchFrom string
	// Running is what the server had in hand, as far as it is known.
	Running int
	// Candidate is set for a server of the version that a roll-out tries.
	Candidate bool

	view   *View
	server *server
	need   Need
	work   pace.Work
	// queuedTokens are the prompt tokens that were pending at the server before.
	queuedTokens int
	// prefillPending is set until the prompt is read.
	prefillPending bool
	startedAt      time.Time
	// lastResort is set for a server that leaves and was picked since the others rest or are at their
	// limits.
	lastResort bool
	// admittedAt is when the attempt took a part of its server's limit, or zero.
	admittedAt time.Time
	// firstEventAt and lastEventAt are when the first and the last event came, of so many.
	firstEventAt, lastEventAt time.Time
	events                    int
	// onRestart is called when the server starts again.
	onRestart func()
}

// RecordEvent notes that an event of the answer has come. With the first one the prompt is
// read.
func (c *Choice) RecordEvent(now time.Time) {
	if c.events++; c.events > 1 {
		c.lastEventAt = now
		return
	}
	c.firstEventAt, c.lastEventAt = now, now
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.finishPrefill()
	if c.server.cache != nil {
		c.server.cache.add(c.need.Parts)
	}
	c.learnFirstEvent()
}

// Timing returns how long the first event took, and the mean time between events; zero where
// there was none. It is asked once the attempt has ended.
func (c *Choice) Timing() (first, each time.Duration) {
	if c.events == 0 {
		return 0, 0
	}
	if c.events > 1 {
		each = c.lastEventAt.Sub(c.firstEventAt) / time.Duration(c.events-1)
	}
	return c.firstEventAt.Sub(c.startedAt), each
}

// learnFirstEvent takes over how long the first event took, unless a queue made most of it.
// The caller holds the lock.
func (c *Choice) learnFirstEvent() {
	engines := c.view.engineFor(c.need.Service)
	if engines == nil || c.Candidate || c.need.Deferred || c.Running >= c.Slots || c.queuedTokens > c.PrefillTokens {
		return
	}
	took := c.firstEventAt.Sub(c.startedAt)
	work := c.work
	work.Unread += c.queuedTokens
	work.Prompt += c.queuedTokens
	c.server.recordFirstEvent(engines.FirstEvent(work), took, c.firstEventAt)
	engines.SawFirst(work, took)
}

// learnStream takes over how long the stream lasted; the caller holds the lock.
func (c *Choice) learnStream() {
	engines := c.view.engineFor(c.need.Service)
	if engines == nil || c.Candidate || c.events == 0 || c.need.Resumed {
		return
	}
	tokens := c.events * max(1, c.view.traits[c.need.Service].EventTokens)
	batch := min(c.Slots, (c.Running+c.server.load(c.lastEventAt).Running+1)/2)
	engines.SawStream(tokens, c.need.Answer, batch, c.lastEventAt.Sub(c.firstEventAt))
}

// register counts the attempt in at its server. A deferred one goes behind all others and
// is in nobody's way. The caller holds the lock.
func (c *Choice) register() {
	c.server.attempts[c] = struct{}{}
	c.server.ownLoad.Running++
	if c.need.Deferred {
		c.server.deferredTokens += c.PrefillTokens
		return
	}
	c.server.ownLoad.PendingTokens += c.PrefillTokens
}

// finishPrefill notes that the prompt is read, once; the caller holds the lock.
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
}

// End counts the attempt out.
func (c *Choice) End(outcome Outcome, now time.Time) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.finishPrefill()
	delete(c.server.attempts, c)
	c.server.ownLoad.Running--
	c.server.recordOutcome(outcome, now)
	if outcome == OutcomeWrongServer {
		clear(c.view.inService)
	}
	if outcome == OutcomeServed {
		c.learnStream()
		took := now.Sub(c.startedAt)
		c.server.serviceTime += time.Duration(serviceTimeWeight * float64(took-c.server.serviceTime))
	}
}
