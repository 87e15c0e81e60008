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
	what    string
	// answered says how the server answered, as far as that says something of its version.
	answered answered
	// broke is set where the other side broke the connection: the server may have ended.
	broke bool
	// restarted is set where it broke since the server has started again.
	restarted bool
	// done means that the call has its final state, err.
	done bool
	err  error
}

// answered is how a server answered. A connection that broke says nothing of its version.
type answered int

const (
	answeredNothing answered = iota
	answeredWell
	answeredBadly
)

// try makes one attempt.
func (r *run) try(ctx context.Context, choice *backend.Choice) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatch := r.watchSilence(cancel)
	defer stopWatch()
	// Behind a cut the connection to the earlier incarnation stays silent.
	choice.OnRestart(func() { cancel(errRestarted) })
	if err := r.step(request.StepDispatch); err != nil {
		return result{outcome: backend.OutcomeNeutral, what: "not-allowed", done: true, err: r.giveUp(ctx, &Refusal{Reason: err.Error()})}
	}
	r.charged = false
	answer, err := r.options.Backend.Send(ctx, r.attempt(choice))
	if errors.Is(err, upstream.ErrNotSent) {
		return r.notSent(ctx, choice, err)
	}
	if r.sends++; r.sends == 1 {
		r.options.Budget.Count(r.call.Service, time.Now())
	}
	if choice.Candidate && r.options.RollOuts != nil {
		r.options.RollOuts.Exposed(r.call.Service)
	}
	if err != nil {
		return r.noAnswer(ctx)
	}
	defer answer.Exchange.Drop()
	r.advised(choice, answer)
	return r.take(ctx, choice, answer)
}

// notSent ends an attempt that did not reach its server.
func (r *run) notSent(ctx context.Context, choice *backend.Choice, err error) result {
	choice.RefundAdmission()
	r.unsent++
	if errors.Is(err, upstream.ErrCalledOff) {
		return r.ended(request.StepNotSent, backend.OutcomeNeutral, "left")
	}
	return r.ended(request.StepNotSent, r.failure(ctx), "not-sent")
}

// ended takes the step that an attempt without an answer for the caller ended
// with.
func (r *run) ended(step request.Step, outcome backend.Outcome, what string) result {
	_ = r.step(step)
	r.charged = r.verdict != nil && (step == request.StepNotSent || step == request.StepDeclined)
	return result{outcome: outcome, what: what}
}

// noAnswer ends an attempt whose server sent no head of an answer. Silence until the time is
// up is an answer of a kind.
func (r *run) noAnswer(ctx context.Context) result {
	ended := r.broken(ctx, "no-answer")
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errTimeout) {
		ended.answered = answeredBadly
	}
	return ended
}

// lost ends an attempt that may have run and whose answer will not come.
func (r *run) lost(ctx context.Context, what string) result {
	r.count(time.Now())
	return r.ended(request.StepLost, r.failure(ctx), what)
}

// broken ends an attempt whose connection broke, or that this daemon gave up.
func (r *run) broken(ctx context.Context, what string) result {
	ended := r.lost(ctx, what)
	cause := context.Cause(ctx)
	ended.restarted = errors.Is(cause, errRestarted)
	ended.broke = cause == nil || ended.restarted
	return ended
}

// failure is the outcome of an attempt without an answer: a caller that left
// or a timeout of our own says little about the server.
func (r *run) failure(ctx context.Context) backend.Outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return backend.OutcomeNeutral
	}
	return backend.OutcomeFailed
}

func (r *run) attempt(choice *backend.Choice) Attempt {
	return Attempt{
		Call:     r.call,
		Server:   choice.Entry,
		Left:     time.Until(r.call.CallerDeadline()),
		After:    r.after,
		Priority: r.priority(),

		FetchFrom: choice.FetchFrom,
		MaxIdle:   r.maxIdle(),
		MaySend:   func() bool { return choice.MaySend(time.Now()) },
	}
}

// overdueRank is added to the rank of a call that is late whatever happens: it goes behind
// all that are not, whose ranks are 0 to 2 at today's users.
const overdueRank = 5

// lastPriority is the least urgent that engines know.
const lastPriority = 9

// priority returns the engine's order of admission.
func (r *run) priority() int {
	rank := r.call.Rank
	if r.overdue() {
		rank += overdueRank
	}
	return min(lastPriority, rank)
}

// maxIdle returns how long a connection for the call may have been idle.
func (r *run) maxIdle() time.Duration {
	if r.call.Route.Repeat == catalog.RunsAgain {
		return idleAgain
	}
	return idleOnce
}

// watchSilence ends an attempt at an idempotent request whose server stays
// silent, while another attempt is left. The returned function stops it.
func (r *run) watchSilence(cancel context.CancelCauseFunc) (stop func() bool) {
	if r.call.Route.Repeat != catalog.RunsAgain || r.sends+1 >= r.call.Route.MaxAttempts {
		return func() bool { return false }
	}
	limit := max(minSilence, silenceFactor*r.call.Route.Target)
	return time.AfterFunc(limit, func() { cancel(errSilent) }).Stop
}

// count counts the call as one that a server began to run, once.
func (r *run) count(at time.Time) {
	if r.counted || r.call.Workspace == "" {
		return
	}
	r.counted = true
	r.options.Usage.Began(r.call.Workspace, at)
}

// take handles the head of an answer.
func (r *run) take(ctx context.Context, choice *backend.Choice, answer *Answer) result {
	switch {
	case answer.WrongServer:
		return r.ended(request.StepDeclined, backend.OutcomeWrongServer, "wrong-server")
	case answer.NotRun:
		// The connection is kept when the short rest of the answer is read.
		_, _ = io.CopyN(io.Discard, answer.Body, heldAnswer)
		answer.Exchange.Close()
		declined := r.ended(request.StepDeclined, backend.OutcomeFull, "declined")
		declined.answered = answeredBadly
		return declined
	case !answer.Signed:
		return r.lost(ctx, "unsigned")
	case answer.Events && answer.Status == http.StatusOK:
		return r.stream(ctx, choice, answer)
	case r.started:
		// The caller has events of an earlier attempt: this answer cannot follow
		// them.
		return r.lost(ctx, "status-"+strconv.Itoa(answer.Status))
	}
	return r.whole(ctx, choice, answer)
}
