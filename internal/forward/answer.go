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
)

// heldAnswer is the size in bytes up to which an answer is read whole before
// the caller gets its head, so that a broken one can still be replaced. Answers
// of plain services are about 800 bytes; longer ones pass through as they come.
const heldAnswer = 64 << 10

// whole handles an answer that is not a stream of events.
func (r *run) whole(ctx context.Context, choice *backend.Choice, answer *Answer) result {
	r.first = time.Since(r.call.Arrived)
	held, err := io.ReadAll(io.LimitReader(answer.Body, heldAnswer+1))
	if err != nil {
		return r.broken(ctx, "broken-answer")
	}
	r.count(time.Now())
	if len(held) <= heldAnswer {
		r.survived(time.Now())
	}
	if r.worthAnother(answer.Status) {
		answer.Exchange.Close()
		failed := r.ended(request.StepLost, backend.OutcomeFailed, "status-"+strconv.Itoa(answer.Status))
		failed.answered = answeredBadly
		return failed
	}
	choice.RecordEvent(time.Now())
	r.start(answer)
	if err := r.reply.Write(held); err != nil {
		return r.callerLeft()
	}
	if len(held) > heldAnswer {
		if err := r.pass(answer); err != nil {
			_ = r.step(request.StepCancel)
			return result{outcome: backend.OutcomeNeutral, what: "cut", done: true, err: err}
		}
		r.survived(time.Now())
	}
	answer.Exchange.Close()
	_ = r.step(request.StepAnswer)
	outcome, how := backend.OutcomeServed, answeredWell
	if answer.Status >= http.StatusInternalServerError {
		outcome, how = backend.OutcomeFailed, answeredBadly
	}
	return result{outcome: outcome, answered: how, what: strconv.Itoa(answer.Status), done: true}
}

// callerLeft ends a call whose answer nobody takes.
func (r *run) callerLeft() result {
	_ = r.step(request.StepCancel)
	return result{outcome: backend.OutcomeNeutral, what: "caller-left", done: true, err: errCallerLeft}
}

// worthAnother reports whether a server's failure is better followed by another
// attempt than passed on.
func (r *run) worthAnother(status int) bool {
	return status >= http.StatusInternalServerError &&
		r.call.Route.Repeat == catalog.RunsAgain &&
		r.sends < r.call.Route.MaxAttempts &&
		time.Until(r.call.Deadline()) >= leastTry
}

// start sends the head of the answer.
func (r *run) start(answer *Answer) {
	if r.started {
		return
	}
	r.started, r.status = true, answer.Status
	r.reply.Begin(answer.Status, answer.Header)
}

// pass copies the rest of a long answer.
func (r *run) pass(answer *Answer) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := r.reply.Write(buffer[:n]); err != nil {
				return errCallerLeft
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return ErrCut
		}
	}
}
