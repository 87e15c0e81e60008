package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/evacuation"
	"github.com/plankridge/plankridge/internal/request"
)

// Mover asks servers for copies of the memory of running requests.
type Mover interface {
	// Copy copies the memory of a run from its source to a target. The last copy stops the run first.
	// It fails with ErrNoRun, ErrCopyBusy, ErrNoRoom, or another error if nothing is known. With
	// ErrNoRoom a handle is returned if the source has stopped the run and keeps its memory.
	Copy(ctx context.Context, source, target backend.Entry, requestID string, last bool) (Handle, error)
	// Free frees an unused copy at both ends.
	Free(ctx context.Context, source backend.Entry, handle string) error
}

// Handle identifies a copy of the memory of a run.
type Handle struct {
	ID string
	// Events is the number of events that the run had generated.
	Events int
}

// Errors of a copy.
var (
	// ErrNoRun means that the source does not run the request.
	ErrNoRun = errors.New("source does not run the request")
	// ErrCopyBusy means that the source is still at an earlier copy of the run.
	ErrCopyBusy = errors.New("source is at an earlier copy of the run")
	// ErrNoRoom means that the target has no room or that the source cannot reach it.
	ErrNoRoom = errors.New("target has no room or cannot be reached")
)

// ContinueFrom identifies the stopped run that an attempt continues.
type ContinueFrom struct {
	// Address is the IP:port of the server that has stopped, and Handle identifies the memory.
	Address, Handle string
}

// errLeaving means that a resumable stream is taken from its server before that is gone.
var errLeaving = errors.New("server is about to be gone")

// moveLog is what a call records about the moves of its stream.
type moveLog struct {
	begun, done int
	// failures are the causes of failed moves, in order.
	failures []string
	// notMoved is why the stream was last not moved away from a leaving server, or empty.
	notMoved string
	// pause is the longest time between the last event before a move and the first one after it.
	pause time.Duration
	// behind is the largest number of events that a stopped run had generated and the caller had not
	// got, so that the next server had to generate them again.
	behind int
}

// stopped is what the last copy of a run has brought.
type stopped struct {
	state  evacuation.Stopped
	handle Handle
	// target is the claimed place at the target.
	target *backend.Choice
	// retry is the admitted retry by which the continuation counts as an arrival, and fallback another one
	// for going back to the source if the target declines. fallback may not be admitted.
	retry, fallback allowance.Verdict
}

// movable is a running stream that can be moved to another server. The call's goroutine forwards the
// stream, and one of the evacuator's goroutines at a time moves it.
type movable struct {
	run    *run
	source *backend.Choice
	// attempt is the attempt that forwards the stream.
	attempt *runningAttempt
	// drop closes the source's connection.
	drop func()
	// need is what the attempt required of its server.
	need backend.Need
	// resumable is set if the call has an attempt left to resume the stream with.
	resumable bool
	// finished is set once the stream is not read any more. It is set together with ended, and may be
	// read without mu.
	finished atomic.Bool

	mu sync.Mutex
	// first and last are the times of the first and the latest event; events counts them.
	first, last time.Time
	events      int
	// ended is set once the call's goroutine has stopped to read the stream.
	ended bool
	// moving is set while a goroutine moves the stream, and notBefore is when it may be tried again.
	moving    bool
	notBefore time.Time
	declined  []string
	// answered is closed once the answer to the last copy is known. It is nil before the copy is
	// requested.
	answered chan struct{}
	outcome  stopped
	log      moveLog
}

// watchLeaving makes the stream of an attempt known to the evacuator once its server leaves. It returns
// nil if the service's engines offer no moves.
func (r *run) watchLeaving(choice *backend.Choice, answer *Answer) *movable {
	engine := r.call.Catalog.Services[r.call.Service].Engine
	if r.evacuator == nil || engine == nil || !engine.Moves || r.call.Prompt == nil || r.call.Route.Kind != catalog.EventStream {
		return nil
	}
	m := &movable{
		run: r, source: choice, attempt: r.running, drop: answer.Exchange.Drop,
		need: r.need(), resumable: r.canResume(),
	}
	choice.OnLeaving(func() { r.evacuator.add(m) })
	return m
}

// recordEvent records that an event of the stream has arrived.
func (m *movable) recordEvent(now time.Time) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.events == 0 {
		m.first = now
	}
	m.last = now
	m.events++
}

// finish ends the watch over a stream that is not read any more, and returns what is known of its run if
// it was asked to stop. If wait is set, it waits for a pending answer to the last copy, which is bounded
// by lastCopyTimeout. Without wait, the goroutine that moves the stream releases what it holds.
func (m *movable) finish(wait bool) stopped {
	if m == nil {
		return stopped{}
	}
	m.mu.Lock()
	answered := m.answered
	if wait && answered != nil {
		m.mu.Unlock()
		<-answered
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	m.ended = true
	m.finished.Store(true)
	m.run.evacuator.remove(m)
	outcome := m.outcome
	m.outcome = stopped{}
	m.run.moves.merge(m.log)
	if outcome.state != evacuation.NotStopped && !wait {
		m.run.evacuator.release(m.source.Entry, outcome)
		return stopped{}
	}
	return outcome
}

// unshared returns the number of tokens of the prompt that no other prompt is likely to have, so that
// another server has to read them. The last part of a prompt is its own.
func (p *Prompt) unshared() int {
	shared := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		shared += part.Tokens
	}
	return max(0, p.Tokens-shared)
}

// attrs returns the fields of the log line of a call with the given outcome.
func (l *moveLog) attrs(outcome string) []any {
	var attrs []any
	if l.begun > 0 {
		attrs = append(attrs, "moves_begun", l.begun, "moves_done", l.done, "move_wait_ms", l.pause.Milliseconds(), "move_events_behind", l.behind)
	}
	if len(l.failures) > 0 {
		attrs = append(attrs, "moves_failed", l.failures)
	}
	if l.notMoved != "" && outcome != "served" {
		attrs = append(attrs, "not_moved", l.notMoved)
	}
	return attrs
}

// merge adds what was recorded about the moves away from one server.
func (l *moveLog) merge(from moveLog) {
	l.begun += from.begun
	l.failures = append(l.failures, from.failures...)
	l.notMoved = from.notMoved
}

// beginStop records that the run is asked to stop. It returns false if the stream has ended.
func (m *movable) beginStop() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || m.run.stopRun() != nil {
		return false
	}
	m.answered = make(chan struct{})
	return true
}

// recordLast records what the last copy has brought. It returns false if the stream has ended without
// waiting for it, so that the caller has to release the copy.
func (m *movable) recordLast(outcome stopped) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer close(m.answered)
	if m.ended {
		return false
	}
	m.outcome = outcome
	if outcome.state == evacuation.NotStopped {
		_ = m.run.step(request.StepNotStopped)
		m.outcome, m.answered = stopped{}, nil
		return false
	}
	return true
}

// askedToStop reports whether the run may have stopped for a move, so that an end of its stream that
// looks complete may not be.
func (m *movable) askedToStop() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered != nil
}

// stopRun applies StepStop. It fails if the stream has ended meanwhile, which is no fault.
func (r *run) stopRun() error {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	if r.lifecycle.State() != request.StateStreaming {
		return errors.New("stream does not run")
	}
	return r.lifecycle.Apply(request.StepStop)
}

// continuation is a stopped run that is to be continued at another server, or where it has stopped.
type continuation struct {
	stopped
	source backend.Entry
	place  evacuation.Place
	// goneAt is when the source is expected to be gone.
	goneAt time.Time
	// paid is set while the admitted retry is unused.
	paid bool
}

// endMoved ends the reading of a source's stream that has ended, as far as known without its last event.
// It returns false if the run was not asked to stop, so that it is not to be continued.
func (r *run) endMoved(ctx context.Context, m *movable) (result, bool) {
	outcome := m.finish(true)
	place := evacuation.AfterEnd(outcome.state, false)
	if place == evacuation.Nowhere {
		return result{}, false
	}
	_ = r.step(request.StepStopped)
	if last, err := strconv.Atoi(r.lastEventID); err == nil {
		r.moves.behind = max(r.moves.behind, outcome.handle.Events-last)
	}
	r.continuation = &continuation{stopped: outcome, source: m.source.Entry, place: place, goneAt: m.source.GoneAt(), paid: true}
	if place == evacuation.AtSource {
		r.recordMoveFailure(evacuation.NoRoom.String())
		r.continuation.releaseTarget(backend.OutcomeFull)
	}
	ended := result{outcome: backend.OutcomeNeutral, logLabel: "moved"}
	if outcome.state == evacuation.MaybeStopped {
		// The server may have exited instead.
		ended.serverRestarted = errors.Is(context.Cause(ctx), errRestarted)
		ended.connBroken = true
	}
	return ended, true
}

// endReading ends an attempt whose stream has ended with an error or at the end of its answer.
func (r *run) endReading(ctx context.Context, choice *backend.Choice, answer *Answer, m *movable, begun bool, err error) result {
	atEnd := errors.Is(err, io.EOF)
	complete := atEnd && !answer.EndsWithConnection
	inTime := ctx.Err() == nil || errors.Is(context.Cause(ctx), errRestarted)
	if m != nil && !complete && inTime && m.askedToStop() {
		if ended, moved := r.endMoved(ctx, m); moved {
			return ended
		}
	} else {
		m.finish(false)
	}
	if atEnd {
		return r.endStream(ctx, choice, answer, begun)
	}
	if errors.Is(context.Cause(ctx), errLeaving) {
		return r.endBroken(ctx, "leaving")
	}
	r.reportInvalidResponse(choice.Entry, err)
	return r.endBroken(ctx, "broken-stream")
}

// releaseTarget gives up the claimed place at the target.
func (c *continuation) releaseTarget(outcome backend.Outcome) {
	if c.target != nil {
		c.target.End(outcome, time.Now())
		c.target = nil
	}
}

// takeContinuation returns the server that is to continue the stopped run, or nil if there is none.
func (r *run) takeContinuation(now time.Time) *backend.Choice {
	c := r.continuation
	if !c.paid {
		if !c.fallback.Admitted {
			c.fallback = r.options.Budget.TryRetry(r.call.Service)
		}
		c.retry, c.paid, c.fallback = c.fallback, c.fallback.Admitted, allowance.Verdict{}
		if !c.paid {
			r.moves.notMoved = reasonRetryBudget
			return nil
		}
	}
	choice := c.target
	c.target = nil
	if c.place == evacuation.AtSource {
		choice, _ = r.options.View.BeginMoved(r.need(), c.source.ID, now)
	}
	return choice
}

// continueRun makes one attempt to continue the stopped run. done means that the call has ended.
func (r *run) continueRun(ctx context.Context) (done bool, err error) {
	now := time.Now()
	choice := r.takeContinuation(now)
	if choice == nil {
		r.dropContinuation()
		_ = r.step(request.StepLost)
		return false, nil
	}
	c := r.continuation
	done, err = r.runAttempt(ctx, choice, now)
	if done || r.continuation != c {
		// The run was continued. It may have been stopped again for another move.
		return done, err
	}
	r.recordMoveFailure("not-continued")
	c.place = evacuation.AfterRefusal(c.place, now.Before(c.goneAt))
	if c.place == evacuation.Nowhere {
		r.dropContinuation()
		_ = r.step(request.StepLost)
	}
	return false, nil
}

// dropContinuation releases what is held for a run that is not continued. A retry goes to the attempt that
// may follow.
func (r *run) dropContinuation() {
	c := r.continuation
	if c == nil {
		return
	}
	r.continuation = nil
	if !c.paid {
		c.retry = allowance.Verdict{}
	}
	r.passOnRetry(&c.retry)
	r.passOnRetry(&c.fallback)
	r.evacuator.release(c.source, c.stopped)
}

// passOnRetry makes an unused retry that of the next attempt, unless that has one already.
func (r *run) passOnRetry(retry *allowance.Verdict) {
	if retry.Admitted && !r.retryUnused {
		unused := *retry
		r.retryVerdict, r.retryUnused = &unused, true
		*retry = allowance.Verdict{}
	}
}

// continueFrom returns the stopped run that the current attempt continues, or nil.
func (r *run) continueFrom() *ContinueFrom {
	if r.continuation == nil {
		return nil
	}
	return &ContinueFrom{Address: r.continuation.source.Address, Handle: r.continuation.handle.ID}
}

// endContinuation records that a server may have continued the run: continued if it has for certain. The
// handle cannot be used again.
func (r *run) endContinuation(continued bool) {
	switch {
	case r.continuation == nil:
		return
	case !continued:
		r.recordMoveFailure("continuation-lost")
		r.passOnRetry(&r.continuation.fallback)
	case r.continuation.place == evacuation.AtTarget:
		r.moves.done++
		r.options.Metrics.moves.WithLabelValues(r.call.Service, "done").Inc()
	}
	r.refundBudget(&r.continuation.fallback)
	r.continuation = nil
	r.pausedSince = r.lastEventAt
}

// recordPause records the pause that a move has made in the stream, at the first event after it.
func (r *run) recordPause(now time.Time) {
	if !r.pausedSince.IsZero() {
		pause := now.Sub(r.pausedSince)
		r.moves.pause = max(r.moves.pause, pause)
		r.options.Metrics.movePause.WithLabelValues(r.call.Service).Observe(pause.Seconds())
		r.pausedSince = time.Time{}
	}
	r.lastEventAt = now
}

// recordMoveFailure records the cause of a failed move.
func (r *run) recordMoveFailure(cause string) {
	r.moves.failures = append(r.moves.failures, cause)
	r.moves.notMoved = cause
	r.options.Metrics.moves.WithLabelValues(r.call.Service, cause).Inc()
}
