package forward

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/evacuation"
	"github.com/plankridge/plankridge/internal/pace"
)

const (
	// maxParallelMoves is the number of streams that one daemon moves at a time. Many daemons move the
	// streams of the same servers, and the last copies, for which callers wait, queue behind all others
	// on the servers' links.
	maxParallelMoves = 8
	// replanInterval is how often the streams at leaving servers are planned anew.
	replanInterval = 100 * time.Millisecond
	// firstCopyTimeout bounds the first copy, which may queue behind the copies of other streams, and
	// lastCopyTimeout the last one: the run has stopped meanwhile, and callers bear pauses of 400 ms.
	firstCopyTimeout = 900 * time.Millisecond
	lastCopyTimeout  = 350 * time.Millisecond
	// drainTimeout is how long the events that a stopped source has sent are awaited. The target
	// generates those that are missing.
	drainTimeout = 80 * time.Millisecond
	// freeTimeout bounds the call that frees an unused copy.
	freeTimeout = 500 * time.Millisecond
	// moveRetryDelay is how long after a failed move a stream may be moved again to the same target, and
	// after a refusal it may be moved or resumed.
	moveRetryDelay = 50 * time.Millisecond
	// maxMoves is the number of moves that are begun for one stream at one server.
	maxMoves = 4
)

// Reasons why a stream was not moved, in addition to those of package evacuation.
const (
	reasonRetryBudget = "retry budget is spent"
	reasonTargetGone  = "target was gone"
	reasonEnded       = "stream ended before"
	reasonStays       = "server stays"
)

// evacuator moves the streams of one daemon away from leaving servers.
type evacuator struct {
	options Options

	mu sync.Mutex
	// streams are the streams at leaving servers, and since when these are known to leave.
	streams map[*movable]time.Time
	// working is set while work runs. wake makes it plan anew.
	working bool
	wake    chan struct{}
	moving  int
}

// newEvacuator returns nil if streams are not moved.
func newEvacuator(options Options) *evacuator {
	if options.Mover == nil {
		return nil
	}
	return &evacuator{options: options, streams: map[*movable]time.Time{}, wake: make(chan struct{}, 1)}
}

// add adds a stream whose server leaves. It may be called with the view locked.
func (e *evacuator) add(m *movable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.finished.Load() {
		return
	}
	if _, known := e.streams[m]; !known {
		e.streams[m] = time.Now()
	}
	if !e.working {
		e.working = true
		go e.work()
		return
	}
	e.trigger()
}

// remove forgets a stream that has ended at its server.
func (e *evacuator) remove(m *movable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.streams[m]; found {
		delete(e.streams, m)
		e.trigger()
	}
}

// leavesSince returns since when the stream's server is known to leave.
func (m *movable) leavesSince() time.Time {
	e := m.run.evacuator
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[m]
}

// trigger makes work plan anew.
func (e *evacuator) trigger() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// work plans and begins moves until no stream is left at a leaving server.
func (e *evacuator) work() {
	ticker := time.NewTicker(replanInterval)
	defer ticker.Stop()
	for {
		streams, room, more := e.pending()
		if !more {
			return
		}
		if room > 0 && len(streams) > 0 {
			e.plan(streams, room, time.Now())
		}
		select {
		case <-e.wake:
		case <-ticker.C:
		}
	}
}

// pending returns the streams at leaving servers and how many moves may begin. more is false if there is
// nothing left to do; work must return then.
func (e *evacuator) pending() (streams []*movable, room int, more bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) == 0 {
		e.working = false
		return nil, 0, false
	}
	for m := range e.streams {
		streams = append(streams, m)
	}
	return streams, maxParallelMoves - e.moving, true
}

// plan decides on the streams and begins at most room moves.
func (e *evacuator) plan(streams []*movable, room int, now time.Time) {
	var planned []*movable
	tokens, count := map[string]int{}, map[string]int{}
	var states []evacuation.Stream
	for _, m := range streams {
		state, plannable := m.state(now)
		if !plannable {
			continue
		}
		planned = append(planned, m)
		states = append(states, state)
		tokens[state.Service] += state.Tokens
		count[state.Service]++
	}
	if len(states) == 0 {
		return
	}
	// Running requests are taken to be as large as the streams at the leaving servers are on average.
	for service, n := range count {
		tokens[service] /= n
	}
	// Several streams may have the same request ID.
	byState := map[*evacuation.Stream]*movable{}
	for i, m := range planned {
		byState[&states[i]] = m
	}
	for _, move := range evacuation.Plan(states, e.options.View.MoveTargets(tokens, now), now) {
		m := byState[move.Stream]
		m.recordPlan(move)
		switch {
		case move.Outcome == evacuation.Moves && room > 0:
			room--
			e.begin(m, move.Target)
		case move.Outcome == evacuation.Resumes:
			m.resumeElsewhere(now)
		}
	}
}

// resumeElsewhere ends the stream at its server, so that it is resumed at another one. If the attempt to
// resume it is refused, the stream stays: its server may run it to its end.
func (m *movable) resumeElsewhere(now time.Time) {
	refusal := m.attempt.replace(errLeaving, now)
	if refusal == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notBefore, m.log.notMoved = now.Add(moveRetryDelay), refusal.Reason
}

// state returns the stream as package evacuation plans it. It returns false for streams that are being
// moved or whose server stays after all.
func (m *movable) state(now time.Time) (evacuation.Stream, bool) {
	gone := m.source.GoneAt()
	call := m.run.call
	answer := pace.AnswerSize{MaxTokens: call.Prompt.MaxOutput, HintedTokens: call.Prompt.LikelyOutput}
	whole, tokens := m.source.PredictAnswer(answer, now)
	engine := call.Catalog.Services[call.Service].Engine
	readTime := m.source.ReadTime(call.Prompt.Tokens, call.Prompt.unshared())
	m.mu.Lock()
	defer m.mu.Unlock()
	if gone.IsZero() || m.ended || m.moving || m.answered != nil || now.Before(m.notBefore) {
		return evacuation.Stream{}, false
	}
	if m.log.begun >= maxMoves {
		return evacuation.Stream{}, false
	}
	held := call.Prompt.Tokens + m.events*max(1, engine.EventTokens)
	return evacuation.Stream{
		ID: call.ID, Source: m.source.ID, Service: call.Service, Version: m.source.Version, Zone: m.source.Zone, Rank: call.Rank,
		Begun: m.events > 0, Resumable: m.resumable, Remaining: m.remaining(whole, tokens, max(1, engine.EventTokens)), GoneAt: gone,
		Tokens: held, CopyTime: engine.CopyTime(held), ReadTime: readTime, Declined: m.declined,
	}, true
}

// remaining returns the predicted time to the last event. whole is the predicted duration of the answer
// and tokens its size. The stream's own speed counts if it is slower. An answer that is longer than
// predicted is taken to have a fifth of the prediction left. The caller holds the lock.
func (m *movable) remaining(whole time.Duration, tokens float64, eventTokens int) time.Duration {
	left := max(tokens-float64(m.events*eventTokens), overlongShare*tokens)
	each := whole.Seconds() / max(1, tokens)
	if m.events > 1 {
		each = max(each, m.last.Sub(m.first).Seconds()/float64((m.events-1)*eventTokens))
	}
	return time.Duration(left * each * float64(time.Second))
}

// overlongShare is the part of the predicted size that an answer beyond it is taken to have left.
const overlongShare = 0.2

// recordPlan records why the stream is not moved.
func (m *movable) recordPlan(move evacuation.Move) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case move.Outcome == evacuation.Ends:
		m.log.notMoved = reasonEndsInTime
	case move.Reason == evacuation.ReasonTooLate && m.log.notMoved != "":
		// The reason why it was not moved before says more.
	default:
		m.log.notMoved = move.Reason
	}
}

// reasonEndsInTime means that the stream was predicted to end before its server was gone.
const reasonEndsInTime = "was to end in time"

// begin begins to move a stream to a target.
func (e *evacuator) begin(m *movable, target string) {
	m.mu.Lock()
	m.moving = true
	m.mu.Unlock()
	e.mu.Lock()
	e.moving++
	e.mu.Unlock()
	go func() {
		m.endMove(target, e.move(m, target))
		e.mu.Lock()
		defer e.mu.Unlock()
		e.moving--
		e.trigger()
	}()
}

// failure is why a move failed. declined is set if the target is not to be tried again.
type failure struct {
	cause    string
	declined bool
}

// endMove records how a move ended. The zero failure means that the run was asked to stop.
func (m *movable) endMove(target string, failed failure) {
	if failed.cause != "" {
		m.run.options.Metrics.moves.WithLabelValues(m.run.call.Service, failed.cause).Inc()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moving, m.notBefore = false, time.Now()
	if failed.cause == "" {
		return
	}
	m.log.notMoved = failed.cause
	if failed.cause != reasonRetryBudget {
		m.log.failures = append(m.log.failures, failed.cause)
	}
	if failed.declined {
		m.declined = append(m.declined, target)
		return
	}
	m.notBefore = m.notBefore.Add(moveRetryDelay)
}

// move makes the copies of a stream's run.
func (e *evacuator) move(m *movable, target string) failure {
	held, admitted := e.takeRetries(m)
	if !admitted {
		return failure{cause: reasonRetryBudget}
	}
	m.mu.Lock()
	m.log.begun++
	m.mu.Unlock()
	e.options.Metrics.moves.WithLabelValues(m.run.call.Service, "begun").Inc()
	choice, ok := e.options.View.BeginMoved(m.need, target, time.Now())
	if !ok {
		e.release(m.source.Entry, held)
		return failure{cause: reasonTargetGone, declined: true}
	}
	held.target = choice
	handle, failed := e.copyBeside(m, choice.Entry)
	held.handle = handle
	if failed.cause != "" {
		e.release(m.source.Entry, held)
		return failed
	}
	if !m.beginStop() {
		e.release(m.source.Entry, held)
		return failure{cause: reasonEnded}
	}
	if !held.fallback.Admitted {
		// A stream whose server will be gone is stopped without a way back, too. Held during the copies, the
		// retries for it would lack for other streams of the server.
		held.fallback = e.options.Budget.TryRetry(m.run.call.Service)
	}
	return e.stop(m, held)
}

// takeRetries takes the retries that a move needs before its first copy: one for the continuation and, unless
// the server has said when it will be gone, one for going back to it if the target declines.
func (e *evacuator) takeRetries(m *movable) (held stopped, admitted bool) {
	service := m.run.call.Service
	if held.retry = e.options.Budget.TryRetry(service); !held.retry.Admitted {
		return stopped{}, false
	}
	if m.source.DepartureStated() {
		return held, true
	}
	if held.fallback = e.options.Budget.TryRetry(service); held.fallback.Admitted {
		return held, true
	}
	e.release(m.source.Entry, held)
	return stopped{}, false
}

// copyBeside copies the run while it goes on, until it may be stopped.
func (e *evacuator) copyBeside(m *movable, target backend.Entry) (Handle, failure) {
	var held Handle
	for repeated := false; !m.finished.Load(); repeated = true {
		began := time.Now()
		answer, handle := e.copy(m, target, false)
		held = cmp.Or(handle, held)
		now, gone := time.Now(), m.source.GoneAt()
		if gone.IsZero() {
			return held, failure{cause: reasonStays}
		}
		next, wait := evacuation.AfterCopy(evacuation.Copying{
			Answer: answer, Repeated: repeated, Took: now.Sub(began), Pause: m.run.call.Route.EventGapTarget, Left: gone.Sub(now), Known: now.Sub(m.leavesSince()),
		})
		switch {
		case answer != evacuation.Copied:
			return held, failure{cause: answer.String(), declined: next == evacuation.OtherTarget}
		case next == evacuation.Stop:
			return held, failure{}
		}
		time.Sleep(wait)
	}
	return held, failure{cause: reasonEnded}
}

// stop makes the last copy, which stops the run.
func (e *evacuator) stop(m *movable, held stopped) failure {
	answer, handle := e.copy(m, held.target.Entry, true)
	held.state = evacuation.AfterLast(answer, handle.ID != "")
	if handle.ID != "" {
		held.handle = handle
	}
	if !m.recordLast(held) {
		e.release(m.source.Entry, held)
		if answer == evacuation.Copied {
			return failure{cause: reasonEnded}
		}
		return failure{cause: answer.String()}
	}
	if held.state != evacuation.MaybeStopped {
		time.AfterFunc(drainTimeout, m.drop)
	}
	return failure{}
}

// copy asks for a copy.
func (e *evacuator) copy(m *movable, target backend.Entry, last bool) (evacuation.Answer, Handle) {
	timeout := firstCopyTimeout
	if last {
		timeout = lastCopyTimeout
	}
	// The call is not ended with the stream, so that the copy can be freed.
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	handle, err := e.options.Mover.Copy(ctx, m.source.Entry, target, m.run.call.ID, last)
	switch {
	case err == nil:
		return evacuation.Copied, handle
	case errors.Is(err, ErrNoRun):
		return evacuation.NoRun, Handle{}
	case errors.Is(err, ErrCopyBusy):
		return evacuation.Busy, Handle{}
	case errors.Is(err, ErrNoRoom):
		return evacuation.NoRoom, handle
	}
	e.options.Logger.Debug("copy of a run failed", "request_id", m.run.call.ID, "server", m.source.ID, "target", target.ID, "last", last, "error", err)
	return evacuation.Lost, Handle{}
}

// release releases what is held for a run that is not continued: the place at the target, the retries and
// the copy.
func (e *evacuator) release(source backend.Entry, held stopped) {
	if held.target != nil {
		held.target.End(backend.OutcomeNeutral, time.Now())
	}
	for _, retry := range []allowance.Verdict{held.retry, held.fallback} {
		if retry.Admitted {
			e.options.Budget.Refund(source.Service, retry.At)
		}
	}
	if held.handle.ID == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := e.options.Mover.Free(ctx, source, held.handle.ID); err != nil {
			e.options.Logger.Debug("copy of a run not freed", "server", source.ID, "error", err)
		}
	}()
}
