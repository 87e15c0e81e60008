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

// result is how an attempt ended.
type result struct {
	outcome backend.Outcome
	label   string
	// signal says how the server answered, as far as that says something of its version.
	signal versionSignal
	// connBroken is set where the other side broke the connection: the server may have ended.
	connBroken bool
	// serverRestarted is set where it broke since the server has started again.
	serverRestarted bool
	// done means that the call has its final state, err.
	done bool
	err  error
}

// versionSignal is how a server answered. A connection that broke says nothing of its version.
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
	stopWatch := r.startSilenceTimer(cancel)
	defer stopWatch()
	// Behind a cut the connection to the earlier incarnation stays silent.
	choice.OnRestart(func() { cancel(errRestarted) })
	if err := r.step(request.StepDispatch); err != nil {
		return result{outcome: backend.OutcomeNeutral, label: "not-allowed", done: true, err: r.giveUp(ctx, &Refusal{Reason: err.Error()})}
	}
	r.charged = false
	answer, err := r.options.Backend.Send(ctx, r.newAttempt(choice))
	if errors.Is(err, upstream.ErrNotSent) {
		return r.endNotSent(ctx, choice, err)
	}
	if r.sends++; r.sends == 1 {
		r.options.Budget.Count(r.call.Service, time.Now())
	}
	if choice.Candidate && r.options.RollOuts != nil {
		r.options.RollOuts.Exposed(r.call.Service)
	}
	if err != nil {
		return r.endNoAnswer(ctx)
	}
	defer answer.Exchange.Drop()
	r.applyAdvice(choice, answer)
	return r.handleAnswer(ctx, choice, answer)
}

// endNotSent ends an attempt that did not reach its server.
func (r *run) endNotSent(ctx context.Context, choice *backend.Choice, err error) result {
	choice.RefundAdmission()
	r.unsent++
	if errors.Is(err, upstream.ErrSendDenied) {
		return r.endWithStep(request.StepNotSent, backend.OutcomeNeutral, "left")
	}
	return r.endWithStep(request.StepNotSent, r.failureOutcome(ctx), "not-sent")
}

// endWithStep takes the step that an attempt without an answer for the caller ended
// with.
func (r *run) endWithStep(step request.Step, outcome backend.Outcome, what string) result {
	_ = r.step(step)
	r.charged = r.verdict != nil && (step == request.StepNotSent || step == request.StepDeclined)
	return result{outcome: outcome, label: what}
}

// endNoAnswer ends an attempt whose server sent no head of an answer. Silence until the time is
// up is an answer of a kind.
func (r *run) endNoAnswer(ctx context.Context) result {
	ended := r.endBroken(ctx, "no-answer")
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errTimeout) {
		ended.signal = signalBad
	}
	return ended
}

// endLost ends an attempt that may have run and whose answer will not come.
func (r *run) endLost(ctx context.Context, what string) result {
	r.countUsage(time.Now())
	return r.endWithStep(request.StepLost, r.failureOutcome(ctx), what)
}

// endBroken ends an attempt whose connection broke, or that this daemon gave up.
func (r *run) endBroken(ctx context.Context, what string) result {
	ended := r.endLost(ctx, what)
	cause := context.Cause(ctx)
	ended.serverRestarted = errors.Is(cause, errRestarted)
	ended.connBroken = cause == nil || ended.serverRestarted
	return ended
}

// failureOutcome is the outcome of an attempt without an answer: a caller that left
// or a timeout of our own says little about the server.
func (r *run) failureOutcome(ctx context.Context) backend.Outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
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

		FetchFrom: choice.FetchFrom,
		MaxIdle:   r.maxIdle(),
		MaySend:   func() bool { return choice.MaySend(time.Now()) },
	}
}

// overdueRankPenalty is added to the rank of a call that is late whatever happens: it goes behind
// all that are not, whose ranks are 0 to 2 at today's users.
const overdueRankPenalty = 5

// lowestPriority is the least urgent that engines know.
const lowestPriority = 9

// priority returns the engine's order of admission.
func (r *run) priority() int {
	rank := r.call.Rank
	if r.overdue() {
		rank += overdueRankPenalty
	}
	return min(lowestPriority, rank)
}

// maxIdle returns how long a connection for the call may have been idle.
func (r *run) maxIdle() time.Duration {
	if r.call.Route.Repeat == catalog.RunsAgain {
		return maxIdleIdempotent
	}
	return maxIdleNonIdempotent
}

// startSilenceTimer ends an attempt at an idempotent request whose server stays
// silent, while another attempt is left. The returned function stops it.
func (r *run) startSilenceTimer(cancel context.CancelCauseFunc) (stop func() bool) {
	if r.call.Route.Repeat != catalog.RunsAgain || r.sends+1 >= r.call.Route.MaxAttempts {
		return func() bool { return false }
	}
	limit := max(minSilenceTimeout, silenceTargetFactor*r.call.Route.Target)
	return time.AfterFunc(limit, func() { cancel(errSilent) }).Stop
}

// countUsage counts the call as one that a server began to run, once.
func (r *run) countUsage(at time.Time) {
	if r.usageCounted || r.call.Workspace == "" {
		return
	}
	r.usageCounted = true
	r.options.Usage.Began(r.call.Workspace, at)
}

// handleAnswer handles the head of an answer.
func (r *run) handleAnswer(ctx context.Context, choice *backend.Choice, answer *Answer) result {
	switch {
	case answer.WrongServer:
		return r.endWithStep(request.StepDeclined, backend.OutcomeWrongServer, "wrong-server")
	case answer.NotRun:
		// The connection is kept when the short rest of the answer is read.
		_, _ = io.CopyN(io.Discard, answer.Body, maxBufferedAnswer)
		answer.Exchange.Close()
		declined := r.endWithStep(request.StepDeclined, backend.OutcomeFull, "declined")
		declined.signal = signalBad
		return declined
	case !answer.Signed:
		return r.endLost(ctx, "unsigned")
	case answer.IsEventStream && answer.Status == http.StatusOK:
		return r.forwardStream(ctx, choice, answer)
	case r.headerSent:
		// The caller has events of an earlier attempt: this answer cannot follow
		// them.
		return r.endLost(ctx, "status-"+strconv.Itoa(answer.Status))
	}
	return r.forwardAnswer(ctx, choice, answer)
}
