package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/upstream"
)

// result is the outcome of an attempt.
type result struct {
	outcome  backend.Outcome
	logLabel string
	// signal rates the answer for the comparison of versions in a roll-out.
	signal versionSignal
	// connBroken is set when the peer broke the connection: its process may have ended.
	connBroken bool
	// serverRestarted is set when the connection broke because the server has restarted.
	serverRestarted bool
	// done means that the call has reached its final state, err.
	done bool
	err  error
}

// versionSignal rates an answer. A broken connection gives no signal about the version.
type versionSignal int

const (
	signalNone versionSignal = iota
	signalGood
	signalBad
)

// try makes one attempt.
func (r *run) try(ctx context.Context, choice *backend.Choice) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.running = &runningAttempt{choice: choice, next: r.nextAfter(choice), cancel: cancel}
	defer r.running.end()
	r.startSilenceTimer()
	// During a network partition the connection to the previous incarnation stays silent, so
	// the attempt ends when the server is known to have restarted.
	choice.OnRestart(func() { cancel(errRestarted) })
	if err := r.step(r.firstStep()); err != nil {
		return result{outcome: backend.OutcomeNeutral, logLabel: "not-allowed", done: true, err: r.giveUp(ctx, &Refusal{Reason: err.Error()})}
	}
	r.charged, r.via = false, ""
	answer, err := r.options.Backend.Send(ctx, r.newAttempt(choice))
	if errors.Is(err, upstream.ErrNotSent) {
		return r.endNotSent(ctx, choice, err)
	}
	r.countSent()
	if choice.Candidate && r.options.RollOuts != nil {
		r.options.RollOuts.RecordExposure(r.call.Service)
	}
	if err != nil {
		r.reportInvalidResponse(choice.Entry, err)
		r.endContinuation(false)
		return r.endNoAnswer(ctx)
	}
	defer answer.Exchange.Drop()
	r.via = answer.Via
	r.applyAdvice(choice, answer)
	return r.handleAnswer(ctx, choice, answer)
}

// firstStep returns the step by which an attempt begins.
func (r *run) firstStep() request.Step {
	if r.continuation != nil {
		return request.StepContinue
	}
	return request.StepDispatch
}

// countSent counts an attempt that was sent. One that continues a run is an arrival at a server, but not
// another run.
func (r *run) countSent() {
	if r.continuation != nil {
		r.continuation.paid = false
		return
	}
	r.retryUnused = false
	if r.sentAttempts++; r.sentAttempts == 1 {
		r.options.Budget.CountRequest(r.call.Service)
	}
}

// endNotSent ends an attempt whose request was not sent.
func (r *run) endNotSent(ctx context.Context, choice *backend.Choice, err error) result {
	choice.RefundAdmission()
	if r.continuation == nil {
		r.unsentAttempts++
	}
	if errors.Is(err, upstream.ErrSendDenied) {
		return r.endWithStep(request.StepNotSent, backend.OutcomeNeutral, "left")
	}
	return r.endWithStep(request.StepNotSent, r.failureOutcome(ctx), "not-sent")
}

// endWithStep applies the final step of an attempt that produced no answer for the caller.
func (r *run) endWithStep(step request.Step, outcome backend.Outcome, label string) result {
	_ = r.step(step)
	r.charged = r.verdict != nil && r.continuation == nil && (step == request.StepNotSent || step == request.StepDeclined)
	return result{outcome: outcome, logLabel: label}
}

// endNoAnswer ends an attempt whose server sent no response header. A server that stays
// silent until the timeout counts as a bad answer of its version.
func (r *run) endNoAnswer(ctx context.Context) result {
	r.unanswered = true
	ended := r.endBroken(ctx, "no-answer")
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errTimeout) {
		ended.signal = signalBad
	}
	return ended
}

// endLost ends an attempt that may have run and whose answer is lost.
func (r *run) endLost(ctx context.Context, label string) result {
	r.countUsage(time.Now())
	return r.endWithStep(request.StepLost, r.failureOutcome(ctx), label)
}

// endBroken ends an attempt whose connection broke or that this daemon cancelled.
func (r *run) endBroken(ctx context.Context, label string) result {
	ended := r.endLost(ctx, label)
	cause := context.Cause(ctx)
	ended.serverRestarted = errors.Is(cause, errRestarted)
	ended.connBroken = cause == nil || ended.serverRestarted
	return ended
}

// failureOutcome returns the outcome of an attempt without an answer. It is neutral when the caller has
// disconnected or the stream was taken from a leaving server, which says little about the server.
func (r *run) failureOutcome(ctx context.Context) backend.Outcome {
	if cause := context.Cause(ctx); errors.Is(cause, context.Canceled) || errors.Is(cause, errLeaving) {
		return backend.OutcomeNeutral
	}
	return backend.OutcomeFailed
}

func (r *run) newAttempt(choice *backend.Choice) Attempt {
	return Attempt{
		Call:        r.call,
		Server:      choice.Entry,
		TimeLeft:    time.Until(r.call.CallerDeadline()),
		LastEventID: r.lastEventID,
		Priority:    r.priority(),

		FetchFrom:    choice.FetchFrom,
		ContinueFrom: r.continueFrom(),
		MaxIdle:      r.maxIdle(choice.ID),
		MaySend:      func() bool { return choice.MaySend(time.Now()) },
	}
}

// overdueRankPenalty is added to the rank of a call that will be late in any case. It places
// the call behind all calls that can be on time, whose ranks are 0 to 2.
const overdueRankPenalty = 5

// lowestPriority is the least urgent priority that engines accept.
const lowestPriority = 9

// priority returns the priority by which the engine admits the call.
func (r *run) priority() int {
	rank := r.call.Rank
	if r.overdue() {
		rank += overdueRankPenalty
	}
	return min(lowestPriority, rank)
}

// maxIdle returns how long a reused connection for the call may have been idle. After an attempt
// without an answer a new connection is opened, because the link may have failed under the idle ones; for
// the continuation of a run, so that it is known not to be sent if its server is gone; and to a server
// that has had the call before, because a late copy of its first answer has the call's ID too.
func (r *run) maxIdle(server string) time.Duration {
	if r.unanswered || r.continuation != nil || r.tried[server] {
		return 0
	}
	if r.call.Route.Kind == catalog.Idempotent {
		return maxIdleIdempotent
	}
	return maxIdleNonIdempotent
}

// startSilenceTimer watches the attempt of an idempotent request for a server that stays silent, if
// another attempt remains.
func (r *run) startSilenceTimer() {
	if r.call.Route.Kind == catalog.Idempotent && r.sentAttempts+1 < r.call.Route.MaxAttempts {
		r.running.watchSilence(max(minSilenceTimeout, silenceTargetFactor*r.call.Route.LatencyTarget))
	}
}

// countUsage records once that a server began to run the call.
func (r *run) countUsage(at time.Time) {
	if r.usageCounted || r.call.Workspace == "" {
		return
	}
	r.usageCounted = true
	r.options.Usage.RequestStarted(r.call.Workspace, at)
}

// handleAnswer handles the header of an answer.
func (r *run) handleAnswer(ctx context.Context, choice *backend.Choice, answer *Answer) result {
	switch {
	case answer.WrongServer:
		return r.endWithStep(request.StepDeclined, backend.OutcomeWrongServer, "wrong-server")
	case answer.NotRun:
		// Reading the short rest of the answer allows the connection to be reused.
		_, _ = io.CopyN(io.Discard, answer.Body, maxBufferedAnswer)
		answer.Exchange.Close()
		declined := r.endWithStep(request.StepDeclined, backend.OutcomeFull, "declined")
		declined.signal = signalBad
		return declined
	}
	isStream := answer.IsEventStream && answer.Status == http.StatusOK
	r.endContinuation(answer.Signed && isStream)
	switch {
	case !answer.Signed:
		return r.endLost(ctx, "unsigned")
	case isStream:
		return r.forwardStream(ctx, choice, answer)
	case r.headerSent:
		// The caller has received events of an earlier attempt, which this answer cannot continue.
		return r.endLost(ctx, "status-"+strconv.Itoa(answer.Status))
	}
	return r.forwardAnswer(ctx, choice, answer)
}
