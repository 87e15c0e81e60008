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
	Wait time.Duration
	Own  time.Duration
	// Learned is set once the predictions come from what was seen of the engines.
	Learned bool
	// Load is what the attempt asks of the engines.
	Load demand.Load
	// Large is set where the prompt keeps an engine reading for long.
	Large bool
	// Unread is the number of prompt tokens that the engine is predicted to
	// read.
	Unread int
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
	// queued are the prompt tokens that were pending at the server before.
	queued int
	// pending is set until the prompt is read.
	pending bool
	begun   time.Time
	// standsIn is set for a server that leaves and was picked since the others rest or are at their
	// limits.
	standsIn bool
	// admitted is when the attempt took a part of its server's limit, or zero.
	admitted time.Time
	// firstAt and lastAt are when the first and the last event came, of so many.
	firstAt, lastAt time.Time
	events          int
	// onRestart is called when the server starts again.
	onRestart func()
}

// Event notes that an event of the answer has come. With the first one the prompt is
// read.
func (c *Choice) Event(now time.Time) {
	if c.events++; c.events > 1 {
		c.lastAt = now
		return
	}
	c.firstAt, c.lastAt = now, now
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.read()
	if c.server.cache != nil {
		c.server.cache.add(c.need.Parts)
	}
	c.learnFirst()
}

// Timing returns how long the first event took, and the mean time between events; zero where
// there was none. It is asked once the attempt has ended.
func (c *Choice) Timing() (first, each time.Duration) {
	if c.events == 0 {
		return 0, 0
	}
	if c.events > 1 {
		each = c.lastAt.Sub(c.firstAt) / time.Duration(c.events-1)
	}
	return c.firstAt.Sub(c.begun), each
}

// learnFirst takes over how long the first event took, unless a queue made most of it.
// The caller holds the lock.
func (c *Choice) learnFirst() {
	engines := c.view.pace(c.need.Service)
	if engines == nil || c.Candidate || c.need.Deferred || c.Running >= c.Slots || c.queued > c.Unread {
		return
	}
	took := c.firstAt.Sub(c.begun)
	work := c.work
	work.Unread += c.queued
	work.Prompt += c.queued
	c.server.sawFirst(engines.FirstEvent(work), took, c.firstAt)
	engines.SawFirst(work, took)
}

// learnStream takes over how long the stream lasted; the caller holds the lock.
func (c *Choice) learnStream() {
	engines := c.view.pace(c.need.Service)
	if engines == nil || c.Candidate || c.events == 0 || c.need.Resumed {
		return
	}
	tokens := c.events * max(1, c.view.traits[c.need.Service].EventTokens)
	batch := min(c.Slots, (c.Running+c.server.load(c.lastAt).Running+1)/2)
	engines.SawStream(tokens, c.need.Answer, batch, c.lastAt.Sub(c.firstAt))
}

// countIn counts the attempt in at its server. A deferred one goes behind all others and
// is in nobody's way. The caller holds the lock.
func (c *Choice) countIn() {
	c.server.attempts[c] = struct{}{}
	c.server.own.Running++
	if c.need.Deferred {
		c.server.deferred += c.Unread
		return
	}
	c.server.own.PendingTokens += c.Unread
}

// read notes that the prompt is read, once; the caller holds the lock.
func (c *Choice) read() {
	if !c.pending {
		return
	}
	c.pending = false
	if c.need.Deferred {
		c.server.deferred -= c.Unread
		return
	}
	c.server.own.PendingTokens -= c.Unread
}

// End counts the attempt out.
func (c *Choice) End(outcome Outcome, now time.Time) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.read()
	delete(c.server.attempts, c)
	c.server.own.Running--
	c.server.note(outcome, now)
	if outcome == OutcomeWrongServer {
		clear(c.view.inService)
	}
	if outcome == OutcomeServed {
		c.learnStream()
		took := now.Sub(c.begun)
		c.server.serviceTime += time.Duration(serviceTimeWeight * float64(took-c.server.serviceTime))
	}
}
