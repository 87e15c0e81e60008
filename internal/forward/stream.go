package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/upstream"
)

const (
	// eventBufferSize is the initial size in bytes of the buffer for events, which have
	// about 100 bytes each.
	eventBufferSize = 4 << 10
	// maxEventSize is the maximum size of one event in bytes.
	maxEventSize = 1 << 20
)

// errEventGap means that an event is missing in a stream.
var errEventGap = errors.New("an event is missing in the stream")

// forwardStream forwards the events of an answer. It forwards complete events only, so that
// another server can resume the stream after the last one.
func (r *run) forwardStream(ctx context.Context, choice *backend.Choice, answer *Answer) result {
	events := newEventReader(answer.Body)
	var progress streamProgress
	watched := r.watchLeaving(choice, answer)
	for {
		event, err := events.next()
		if err != nil {
			return r.endReading(ctx, choice, answer, watched, progress.begun(), err)
		}
		if !r.running.mayWrite() {
			return r.endReading(ctx, choice, answer, watched, progress.begun(), context.Cause(ctx))
		}
		watched.recordEvent(time.Now())
		if err := r.forwardEvent(choice, answer, event); err != nil {
			watched.finish(false)
			return r.endEventRejected(err)
		}
		if progress.provesHarmless(time.Now()) {
			r.reportProgress(time.Now())
		}
	}
}

// streamProgress is how far an attempt's stream has got.
type streamProgress struct {
	firstEventAt time.Time
	reported     bool
}

// begun reports whether the server has written an event.
func (p *streamProgress) begun() bool { return !p.firstEventAt.IsZero() }

// provesHarmless records an event and reports once that the server has written events for long
// enough.
func (p *streamProgress) provesHarmless(now time.Time) bool {
	if !p.begun() {
		p.firstEventAt = now
	}
	if p.reported || now.Sub(p.firstEventAt) < quarantine.HarmlessAfter {
		return false
	}
	p.reported = true
	return true
}

// endEventRejected ends an attempt whose event could not be forwarded.
func (r *run) endEventRejected(err error) result {
	if errors.Is(err, errEventGap) {
		return r.endWithStep(request.StepLost, backend.OutcomeFailed, "event-gap")
	}
	if errors.Is(err, errVersionMoved) {
		return r.endWithStep(request.StepLost, backend.OutcomeNeutral, "version-moved")
	}
	return r.endCallerLeft()
}

// endStream ends a stream at the end of its answer. begun is set if this attempt's server wrote any of it.
func (r *run) endStream(ctx context.Context, choice *backend.Choice, answer *Answer, begun bool) result {
	end := r.checkEnd(ctx, choice, answer)
	if r.maybeIncomplete(end) {
		return r.endBroken(ctx, "server-ended")
	}
	r.sendHeader(answer)
	answer.Exchange.Close()
	r.reportCompleted(end, answer.Status, begun, time.Now())
	_ = r.step(request.StepAnswer)
	return result{outcome: backend.OutcomeServed, signal: signalGood, logLabel: strconv.Itoa(answer.Status), done: true}
}

// forwardEvent sends one event to the caller. Events that the caller already has are
// dropped.
func (r *run) forwardEvent(choice *backend.Choice, answer *Answer, event []byte) error {
	now := time.Now()
	if !r.headerSent {
		r.firstAnswerAfter = now.Sub(r.call.Arrived)
	}
	r.countUsage(now)
	if err := r.step(request.StepToken); err != nil {
		return err
	}
	choice.RecordEvent(now)
	id, numbered := eventID(event)
	if numbered {
		switch fresh, err := r.isNewEvent(id); {
		case err != nil:
			return err
		case !fresh:
			return nil
		}
	}
	if !r.mayForward(choice, now) {
		return errVersionMoved
	}
	r.recordBegun(choice)
	r.writer = choice
	r.recordPause(now)
	r.sendHeader(answer)
	if err := r.reply.Write(event); err != nil {
		return errCallerLeft
	}
	if numbered {
		r.lastEventID = strconv.Itoa(id)
	}
	return nil
}

// isNewEvent reports whether the caller does not have an event yet. It fails if an event
// between the last one and this one is missing.
func (r *run) isNewEvent(id int) (bool, error) {
	last, err := strconv.Atoi(r.lastEventID)
	if err != nil {
		// This is the first event of the stream, so there is no gap to check.
		return true, nil
	}
	if id <= last {
		return false, nil
	}
	if id > last+1 {
		return false, errEventGap
	}
	return true, nil
}

// eventID returns the numeric ID of an event.
func eventID(event []byte) (int, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, found := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return id, err == nil
	}
	return 0, false
}

// eventReader splits a body into complete events.
type eventReader struct{ scanner *bufio.Scanner }

func newEventReader(body io.Reader) *eventReader {
	r := &eventReader{scanner: bufio.NewScanner(body)}
	r.scanner.Buffer(make([]byte, 0, eventBufferSize), maxEventSize)
	r.scanner.Split(splitEvents)
	return r
}

// splitEvents is a bufio.SplitFunc that returns events including their terminating empty line.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	end := -1
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(data, []byte("\n\r\n")); i >= 0 && (end < 0 || i+3 < end) {
		end = i + 3
	}
	if end >= 0 {
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// next returns the next complete event, io.EOF at the end of a complete answer, or the error
// that broke the stream.
func (r *eventReader) next() ([]byte, error) {
	if r.scanner.Scan() {
		return r.scanner.Bytes(), nil
	}
	switch err := r.scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return nil, &upstream.OversizedError{Part: upstream.PartEvent, Limit: maxEventSize}
	case err != nil:
		return nil, err
	}
	return nil, io.EOF
}
