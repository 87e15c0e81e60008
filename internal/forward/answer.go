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

// maxBufferedAnswer is the size in bytes up to which an answer is read whole before
// the caller gets its head, so that a broken one can still be replaced. Answers
// of plain services are about 800 bytes; longer ones pass through as they come.
const maxBufferedAnswer = 64 << 10

// forwardAnswer handles an answer that is not a stream of events.
func (r *run) forwardAnswer(ctx context.Context, choice *backend.Choice, answer *Answer) result {
	r.firstAnswerAfter = time.Since(r.call.Arrived)
	held, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer+1))
	if err != nil {
		return r.endBroken(ctx, "broken-answer")
	}
	r.countUsage(time.Now())
	if len(held) <= maxBufferedAnswer {
		r.reportCompleted(time.Now())
	}
	if r.shouldRetry(answer.Status) {
		answer.Exchange.Close()
		failed := r.endWithStep(request.StepLost, backend.OutcomeFailed, "status-"+strconv.Itoa(answer.Status))
		failed.signal = signalBad
		return failed
	}
	choice.RecordEvent(time.Now())
	r.sendHeader(answer)
	if err := r.reply.Write(held); err != nil {
		return r.endCallerLeft()
	}
	if len(held) > maxBufferedAnswer {
		if err := r.copyRest(answer); err != nil {
			_ = r.step(request.StepCancel)
			return result{outcome: backend.OutcomeNeutral, label: "cut", done: true, err: err}
		}
		r.reportCompleted(time.Now())
	}
	answer.Exchange.Close()
	_ = r.step(request.StepAnswer)
	outcome, how := backend.OutcomeServed, signalGood
	if answer.Status >= http.StatusInternalServerError {
		outcome, how = backend.OutcomeFailed, signalBad
	}
	return result{outcome: outcome, signal: how, label: strconv.Itoa(answer.Status), done: true}
}

// endCallerLeft ends a call whose answer nobody takes.
func (r *run) endCallerLeft() result {
	_ = r.step(request.StepCancel)
	return result{outcome: backend.OutcomeNeutral, label: "caller-left", done: true, err: errCallerLeft}
}

// shouldRetry reports whether a server's failure is better followed by another
// attempt than passed on.
func (r *run) shouldRetry(status int) bool {
	return status >= http.StatusInternalServerError &&
		r.call.Route.Repeat == catalog.RunsAgain &&
		r.sends < r.call.Route.MaxAttempts &&
		time.Until(r.call.Deadline()) >= minAttemptTime
}

// sendHeader sends the head of the answer.
func (r *run) sendHeader(answer *Answer) {
	if r.headerSent {
		return
	}
	r.headerSent, r.status = true, answer.Status
	r.reply.Begin(answer.Status, answer.Header)
}

// copyRest copies the rest of a long answer.
func (r *run) copyRest(answer *Answer) error {
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
			return ErrTruncated
		}
	}
}
