package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/request"
)

// Event is a part of an answer. Exactly one of the pointers is set on the last
// event of a request; before that, events carry tokens.
type Event struct {
	// Offset is the number of tokens up to and including this one.
	Offset  int
	Token   string
	Finish  *request.Finish
	Plain   *request.PlainAnswer
	Failure *request.Failure
	// Moved says that the answer goes on at another daemon.
	Moved bool
}

// Last reports whether no event follows.
func (e *Event) Last() bool {
	return e.Finish != nil || e.Plain != nil || e.Failure != nil || e.Moved
}

// Status is the state of a request for its caller.
type Status struct {
	Spec     request.Spec
	State    request.State
	Attempts int
	Tokens   int
	Outcome  request.Outcome
}

// Source is an answer that can be read: a flight of this daemon, or one at a
// peer.
type Source interface {
	// Status returns the present state.
	Status(ctx context.Context) (Status, error)
	// Follow passes on the events after an offset until the last one.
	Follow(ctx context.Context, after int, sink func(Event) error) error
}

// Flight is one accepted request with its answer so far. It runs on while its
// readers come and go.
type Flight struct {
	spec request.Spec
	// content tells requests that ask the same.
	content quarantine.Content
	done    chan struct{}
	// firstToken is the time from acceptance to the first token. Only the
	// running attempt uses it.
	firstToken time.Duration
	// prepare runs before the first attempt.
	prepare func(context.Context) error

	mu        sync.Mutex
	lifecycle *request.Life
	tokens    []string
	lastEvent *Event
	changed   chan struct{}
	endedAt   time.Time
	cancel    context.CancelCauseFunc
	// grace, when not nil, cancels the request some time after its last reader
	// has gone.
	graceTimer *time.Timer
	readers    int
	// answerRead is true when a reader has seen the end.
	answerRead bool
	// heldForPeer marks the answer of another daemon's request.
	heldForPeer bool
	// redirectReaders sends readers to another daemon while the request stays here.
	redirectReaders bool
	// backup is the daemon with a copy of copiedTokens tokens.
	backup       string
	copiedTokens int
}

func newFlight(spec request.Spec) *Flight {
	return &Flight{
		spec:      spec,
		content:   ContentOf(&spec),
		lifecycle: request.NewLife(spec.Idempotent()),
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// ID returns the request's ID.
func (f *Flight) ID() request.ID { return f.spec.ID }

// Spec returns what the caller asked for.
func (f *Flight) Spec() *request.Spec { return &f.spec }

// Done returns a channel that is closed when the request has ended.
func (f *Flight) Done() <-chan struct{} { return f.done }

// Status implements Source.
func (f *Flight) Status(context.Context) (Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status(), nil
}

func (f *Flight) status() Status {
	status := Status{
		Spec:     f.spec,
		State:    f.lifecycle.State(),
		Attempts: f.lifecycle.Attempts(),
		Tokens:   len(f.tokens),
		Outcome:  f.lifecycle.Outcome(),
	}
	if f.lastEvent != nil && f.heldForPeer {
		status.State, status.Outcome = finalState(f.lastEvent)
	}
	if f.lastEvent != nil && f.lastEvent.Failure != nil {
		status.Outcome = f.lastEvent.Failure.Outcome
	}
	return status
}

// finalState returns the final state that an answer's last event means.
func finalState(last *Event) (request.State, request.Outcome) {
	if last.Failure == nil {
		return request.StateAnswered, request.OutcomeOK
	}
	if last.Failure.Outcome == request.OutcomeUnknown {
		return request.StateUnknown, request.OutcomeUnknown
	}
	return request.StateFailed, last.Failure.Outcome
}

// size estimates the memory that a finished flight holds, in bytes.
func (f *Flight) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	const perToken = 32
	size := 512 + len(f.tokens)*perToken
	if f.lastEvent != nil && f.lastEvent.Plain != nil {
		size += len(f.lastEvent.Plain.Body)
	}
	return size
}

// notifyReaders tells the readers that there is more; the caller holds the lock.
func (f *Flight) notifyReaders() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Follow implements Source. While the daemon is leaving, it may end with an
// event that sends the reader to another daemon.
func (f *Flight) Follow(ctx context.Context, after int, sink func(Event) error) error {
	return f.follow(ctx, after, true, sink)
}

// FollowToEnd is Follow for readers at other daemons, which are not sent away.
func (f *Flight) FollowToEnd(ctx context.Context, after int, sink func(Event) error) error {
	return f.follow(ctx, after, false, sink)
}

func (f *Flight) follow(ctx context.Context, after int, here bool, sink func(Event) error) error {
	f.attach()
	defer f.detach()
	for {
		events, changed := f.eventsAfter(after, here)
		for i := range events {
			if err := sink(events[i]); err != nil {
				return err
			}
			after = events[i].Offset
			if events[i].Last() {
				f.markRead(&events[i])
				return nil
			}
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Flight) eventsAfter(after int, here bool) ([]Event, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []Event
	for i := max(after, 0); i < len(f.tokens); i++ {
		events = append(events, Event{Offset: i + 1, Token: f.tokens[i]})
	}
	switch {
	case f.lastEvent != nil:
		events = append(events, *f.lastEvent)
	case f.redirectReaders && here:
		events = append(events, Event{Offset: len(f.tokens), Moved: true})
	}
	return events, f.changed
}

func (f *Flight) attach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
	if f.graceTimer != nil {
		f.graceTimer.Stop()
	}
}

// detach counts a reader out. When the last one has gone, an idempotent
// request that somebody waits for is cancelled after a grace.
func (f *Flight) detach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers--
	if f.readers > 0 || f.lastEvent != nil || f.graceTimer == nil {
		return
	}
	f.graceTimer.Reset(f.spec.ResumeGrace)
}

func (f *Flight) markRead(event *Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answerRead = !event.Moved
}

// serverEnded reports whether the request has ended.
func (f *Flight) hasEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastEvent != nil
}

// requestHandOver tells the request to go to another daemon. Without effect on an
// attempt that must not be repeated.
func (f *Flight) requestHandOver(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.spec.Idempotent() || f.lifecycle.State() == request.StateAccepted {
		f.cancel(cause)
	}
}

// redirect sends the readers to another daemon.
func (f *Flight) redirect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.redirectReaders = true
	f.notifyReaders()
}

// close publishes the last event of a request that has taken its final step.
func (f *Flight) close(last Event, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(last, now)
}

// step takes a step of the state machine.
func (f *Flight) step(step request.Step) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lifecycle.Apply(step)
}

func (f *Flight) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lifecycle.Attempts()
}

// produced returns the tokens so far.
func (f *Flight) produced() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens[:len(f.tokens):len(f.tokens)]
}

// addToken appends the token with the given index. A token that is there
// already is dropped; a gap is an error of the stream.
func (f *Flight) addToken(index int, token string) (first bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index < len(f.tokens) {
		return false, nil
	}
	if index > len(f.tokens) {
		return false, errTokenGap
	}
	if err := f.lifecycle.Apply(request.StepToken); err != nil {
		return false, err
	}
	f.tokens = append(f.tokens, token)
	f.notifyReaders()
	return len(f.tokens) == 1, nil
}

// end takes the final step and publishes the last event.
func (f *Flight) end(step request.Step, last Event, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.lifecycle.Apply(step); err != nil {
		return err
	}
	f.publish(last, now)
	return nil
}

func (f *Flight) publish(last Event, now time.Time) {
	last.Offset = len(f.tokens)
	f.lastEvent = &last
	f.endedAt = now
	if f.graceTimer != nil {
		f.graceTimer.Stop()
	}
	f.notifyReaders()
	close(f.done)
}
