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

// maxBufferedAnswer is the size in bytes up to which an answer is buffered before its
// header is sent to the caller, so that a broken answer can still be retried. Answers of
// plain services are about 800 bytes; larger ones are streamed to the caller.
const maxBufferedAnswer = 64 << 10

// forwardAnswer forwards an answer that is not an event stream.
func (r *run) forwardAnswer(ctx context.Context, choice *backend.Choice, answer *Answer) result {
	r.firstAnswerAfter = time.Since(r.call.Arrived)
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer+1))
	if err != nil {
		return r.endBroken(ctx, "broken-answer")
	}
	r.countUsage(time.Now())
	if len(buffered) <= maxBufferedAnswer {
		end := r.checkEnd(ctx, choice, answer)
		if end == endServerExited {
			return r.endBroken(ctx, "server-ended")
		}
		r.reportCompleted(end, answer.Status, answer.Status == http.StatusOK, time.Now())
	}
	whole := len(buffered) <= maxBufferedAnswer
	if whole && r.shouldRetry(answer.Status) && r.running.reserveAfterAnswer(time.Now()) == nil {
		answer.Exchange.Close()
		r.kept = &keptAnswer{answer: answer, body: buffered}
		failed := r.endWithStep(request.StepLost, backend.OutcomeFailed, "status-"+strconv.Itoa(answer.Status))
		failed.signal = signalBad
		return failed
	}
	choice.RecordEvent(time.Now())
	r.sendHeader(answer)
	if err := r.reply.Write(buffered); err != nil {
		return r.endCallerLeft()
	}
	if len(buffered) > maxBufferedAnswer {
		err := r.copyRest(answer)
		end := r.checkEnd(ctx, choice, answer)
		if err == nil && end == endServerExited {
			err = ErrTruncated
		}
		if err != nil {
			_ = r.step(request.StepCancel)
			return result{outcome: backend.OutcomeNeutral, logLabel: "cut", done: true, err: err}
		}
		r.reportCompleted(end, answer.Status, answer.Status == http.StatusOK, time.Now())
	}
	answer.Exchange.Close()
	_ = r.step(request.StepAnswer)
	outcome, signal := backend.OutcomeServed, signalGood
	if answer.Status >= http.StatusInternalServerError {
		outcome, signal = backend.OutcomeFailed, signalBad
	}
	return result{outcome: outcome, signal: signal, logLabel: strconv.Itoa(answer.Status), done: true}
}

// endCallerLeft ends a call whose caller has disconnected.
func (r *run) endCallerLeft() result {
	_ = r.step(request.StepCancel)
	return result{outcome: backend.OutcomeNeutral, logLabel: "caller-left", done: true, err: errCallerLeft}
}

// keptAnswer is a whole error answer of a server. The caller gets it if no later attempt brings an answer.
type keptAnswer struct {
	answer *Answer
	body   []byte
}

// forwardKept sends the kept answer to the caller.
func (r *run) forwardKept() error {
	r.sendHeader(r.kept.answer)
	if err := r.reply.Write(r.kept.body); err != nil {
		return errCallerLeft
	}
	return nil
}

// shouldRetry reports whether to make another attempt after a server error, if there can be one, instead
// of forwarding the error to the caller.
func (r *run) shouldRetry(status int) bool {
	return status >= http.StatusInternalServerError &&
		r.call.Route.Kind == catalog.Idempotent &&
		r.sentAttempts < r.call.Route.MaxAttempts &&
		time.Until(r.call.Deadline()) >= minAttemptTime
}

// sendHeader sends the status and header of the answer, once.
func (r *run) sendHeader(answer *Answer) {
	if r.headerSent {
		return
	}
	r.headerSent, r.status = true, answer.Status
	r.reply.Begin(answer.Status, answer.Header)
}

// copyRest copies the part of a long answer that was not buffered.
func (r *run) copyRest(answer *Answer) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if err := r.reply.Write(buf[:n]); err != nil {
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
