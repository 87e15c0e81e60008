package forward

import (
	"context"
	"errors"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/upstream"
)

const (
	// endProbeDelay is the time from the end of a connection to the probe of its server. A process
	// that exits closes its connections one after the other, its listener among them.
	endProbeDelay = 30 * time.Millisecond
	// endProbeTimeout bounds the probe, for which the end of an answer is held up.
	endProbeTimeout = 100 * time.Millisecond
)

// answerEnd is what is known of the end of an answer.
type answerEnd int

const (
	// endComplete means that the answer is complete.
	endComplete answerEnd = iota
	// endUnconfirmed means that the answer ended with its connection, as a complete one does, and
	// that the server does not answer a probe.
	endUnconfirmed
	// endServerLeft means that the answer ended with its connection, and that the server, which was
	// leaving, has exited: before the end of the answer or after it.
	endServerLeft
	// endServerExited means that the answer ended with its connection because the server exited.
	endServerExited
)

// checkEnd checks an answer that has ended without an error. An answer with neither a length nor
// chunks ends in the same way when it is complete and when the server exits.
func (r *run) checkEnd(ctx context.Context, choice *backend.Choice, answer *Answer) answerEnd {
	if !answer.EndsWithConnection {
		return endComplete
	}
	ctx, cancel := context.WithTimeout(ctx, endProbeDelay+endProbeTimeout)
	defer cancel()
	select {
	case <-time.After(endProbeDelay):
	case <-ctx.Done():
	}
	liveness := r.options.Backend.Probe(ctx, choice.Entry)
	switch {
	case liveness == upstream.Listening:
		return endComplete
	case errors.Is(context.Cause(ctx), errRestarted):
		return endServerExited
	case liveness == upstream.NotListening && choice.Leaving():
		return endServerLeft
	case liveness == upstream.NotListening:
		return endServerExited
	}
	return endUnconfirmed
}

// maybeIncomplete reports whether a stream with the given end has to be resumed. One whose leaving server
// has exited is resumed if it can be: if it was complete, nothing follows.
func (r *run) maybeIncomplete(end answerEnd) bool {
	return end == endServerExited || end == endServerLeft && r.canResume()
}

// canResume reports whether the stream may be resumed by another attempt.
func (r *run) canResume() bool {
	return r.call.Route.Resumable && r.sentAttempts < r.call.Route.MaxAttempts
}
