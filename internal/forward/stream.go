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
	"github.com/plankridge/plankridge/internal/request"
)

const (
	// eventBufferSize is the first size of the buffer for events, in bytes; an event
	// has about 100.
	eventBufferSize = 4 << 10
	// maxEventSize bounds one event, in bytes.
	maxEventSize = 1 << 20
)

// errEventGap means that an event is missing in a stream.
var errEventGap = errors.New("an event is missing in the stream")

// forwardStream passes on the events of an answer, whole events only, so that another
// server can go on after the last one.
func (r *run) forwardStream(ctx context.Context, choice *backend.Choice, answer *Answer) result {
	events := newEventReader(answer.Body)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return r.endStream(answer)
		}
		if err != nil {
			return r.endBroken(ctx, "broken-stream")
		}
		if err := r.forwardEvent(choice, answer, event); err != nil {
			return r.endEventRejected(err)
		}
	}
}

// endEventRejected ends an attempt whose event could not be passed on.
func (r *run) endEventRejected(err error) result {
	if errors.Is(err, errEventGap) {
		return r.endWithStep(request.StepLost, backend.OutcomeFailed, "event-gap")
	}
	return r.endCallerLeft()
}

func (r *run) endStream(answer *Answer) result {
	r.sendHeader(answer)
	answer.Exchange.Close()
	r.reportCompleted(time.Now())
	_ = r.step(request.StepAnswer)
	return result{outcome: backend.OutcomeServed, signal: signalGood, label: strconv.Itoa(answer.Status), done: true}
}

// forwardEvent sends one event to the caller. Events that the caller has already
// are dropped.
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
	r.sendHeader(answer)
	if err := r.reply.Write(event); err != nil {
		return errCallerLeft
	}
	if numbered {
		r.lastEventID = strconv.Itoa(id)
	}
	return nil
}

// isNewEvent reports whether an event is new to the caller. It fails when an event
// between the last one and this one is missing.
func (r *run) isNewEvent(id int) (bool, error) {
	last, err := strconv.Atoi(r.lastEventID)
	if err != nil {
		// The first event of a stream: there is nothing that it must follow.
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

// eventID returns the number of an event.
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

// eventReader splits a body into whole events.
type eventReader struct{ scanner *bufio.Scanner }

func newEventReader(body io.Reader) *eventReader {
	r := &eventReader{scanner: bufio.NewScanner(body)}
	r.scanner.Buffer(make([]byte, 0, eventBufferSize), maxEventSize)
	r.scanner.Split(splitEvents)
	return r
}

// splitEvents is a bufio.SplitFunc for events with their empty line.
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

// next returns the next whole event, io.EOF at the end of a whole answer, or
// the error that broke the stream.
func (r *eventReader) next() ([]byte, error) {
	if r.scanner.Scan() {
		return r.scanner.Bytes(), nil
	}
	if err := r.scanner.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}
