package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/request"
)

// Event is a part of an answer. The last event of a request sets one of Finish, Plain,
// Failure and Moved. All earlier events carry tokens.
type Event struct {
	// Offset is the number of tokens up to and including this one.
	Offset  int
	Token   string
	Finish  *request.Finish
	Plain   *request.PlainAnswer
	Failure *request.Failure
	// Moved means that the answer continues at another daemon.
	Moved bool
}

// IsLast reports whether this is the last event.
func (e *Event) IsLast() bool {
	return e.Finish != nil || e.Plain != nil || e.Failure != nil || e.Moved
}

// Status is the state of a request as reported to its caller.
type Status struct {
	Spec     request.Spec
	State    request.State
	Attempts int
	Tokens   int
	Outcome  request.Outcome
}

// Source is a readable answer, either a Flight of this daemon or a request at a peer.
type Source interface {
	// Status returns the current state.
	Status(ctx context.Context) (Status, error)
	// Follow passes all events after an offset to sink, up to and including the last one.
	Follow(ctx context.Context, after int, sink func(Event) error) error
}

// Flight is one accepted request with the answer produced so far. It keeps running while
// readers attach and detach.
type Flight struct {
	spec request.Spec
	// fingerprint is what the quarantine recognizes the request by.
	fingerprint quarantine.Fingerprint
	done        chan struct{}
	// firstToken is the time from acceptance to the first token. Only the goroutine of the
	// running attempt uses it.
	firstToken time.Duration
	// retries is what the attempts mean for the retry budget. Only the goroutine of the running
	// attempt uses it.
	retries retryHistory
	// reserved is the next attempt if it was reserved before the last one ended, or nil. Only the goroutine
	// of the running attempt uses it.
	reserved *nextAttempt
	// prepare runs before the first attempt.
	prepare func(context.Context) error

	mu        sync.Mutex
	lifecycle *request.Lifecycle
	tokens    []string
	// version is the software version of the server that produced the first token.
	version   string
	lastEvent *Event
	changed   chan struct{}
	endedAt   time.Time
	cancel    context.CancelCauseFunc
	// graceTimer, if not nil, cancels the request after it had no reader for the grace period.
	graceTimer *time.Timer
	readers    int
	// answerRead is set once a reader has received the last event.
	answerRead bool
	// heldForPeer marks the answer of another daemon's request.
	heldForPeer bool
	// redirectReaders sends readers to another daemon while the request keeps running here.
	redirectReaders bool
	// backup is the daemon that has a copy with the first copiedTokens tokens.
	backup       string
	copiedTokens int
}

func newFlight(spec request.Spec) *Flight {
	return &Flight{
		spec:        spec,
		fingerprint: FingerprintOf(&spec),
		version:     spec.Version,
		lifecycle:   request.NewLifecycle(spec.Idempotent()),
		changed:     make(chan struct{}),
		done:        make(chan struct{}),
	}
}

// ID returns the request's ID.
func (f *Flight) ID() request.ID { return f.spec.ID }

// Spec returns the request's specification.
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

// finalState returns the final state and outcome that the last event of an answer implies.
func finalState(last *Event) (request.State, request.Outcome) {
	if last.Failure == nil {
		return request.StateAnswered, request.OutcomeOK
	}
	if last.Failure.Outcome == request.OutcomeUnknown {
		return request.StateUnknown, request.OutcomeUnknown
	}
	return request.StateFailed, last.Failure.Outcome
}

// size estimates the memory of a finished flight in bytes, with its request.
func (f *Flight) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	const perToken = 32
	size := 512 + len(f.tokens)*perToken + f.spec.Size()
	if f.lastEvent != nil && f.lastEvent.Plain != nil {
		size += len(f.lastEvent.Plain.Body)
	}
	return size
}

// notifyReaders wakes the readers after a change. The caller must hold f.mu.
func (f *Flight) notifyReaders() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Follow implements Source. While the daemon is leaving, the stream may end with an event
// that redirects the reader to another daemon.
func (f *Flight) Follow(ctx context.Context, after int, sink func(Event) error) error {
	return f.follow(ctx, after, true, sink)
}

// FollowToEnd is like Follow, for readers at other daemons, which are not redirected.
func (f *Flight) FollowToEnd(ctx context.Context, after int, sink func(Event) error) error {
	return f.follow(ctx, after, false, sink)
}

func (f *Flight) follow(ctx context.Context, after int, local bool, sink func(Event) error) error {
	f.attach()
	defer f.detach()
	for {
		events, changed := f.eventsAfter(after, local)
		for i := range events {
			if err := sink(events[i]); err != nil {
				return err
			}
			after = events[i].Offset
			if events[i].IsLast() {
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

func (f *Flight) eventsAfter(after int, local bool) ([]Event, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []Event
	for i := max(after, 0); i < len(f.tokens); i++ {
		events = append(events, Event{Offset: i + 1, Token: f.tokens[i]})
	}
	switch {
	case f.lastEvent != nil:
		events = append(events, *f.lastEvent)
	case f.redirectReaders && local:
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

// detach unregisters a reader. When the last reader has detached, an idempotent request
// with a waiting caller is cancelled after the resume grace period.
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

// hasEnded reports whether the request has ended.
func (f *Flight) hasEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastEvent != nil
}

// requestHandOver cancels the running attempt so that the request can be handed over. It does
// nothing if the request is not idempotent and an attempt has begun.
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

// close publishes the last event of a request whose final step has already been applied.
func (f *Flight) close(last Event, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishLocked(last, now)
}

// step applies a step to the request's state machine.
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

// producedTokens returns the tokens produced so far.
func (f *Flight) producedTokens() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens[:len(f.tokens):len(f.tokens)]
}

// begunVersion returns the software version at which the answer has begun, and false if it has not.
func (f *Flight) begunVersion() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, len(f.tokens) > 0
}

// versionedSpec returns the specification with the version at which the answer has begun.
func (f *Flight) versionedSpec() request.Spec {
	f.mu.Lock()
	defer f.mu.Unlock()
	spec := f.spec
	spec.Version = f.version
	return spec
}

// addToken appends the token with the given index. A duplicate is dropped; a gap is an
// error of the stream.
func (f *Flight) addToken(index int, token, version string) (first bool, err error) {
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
	if len(f.tokens) == 0 {
		f.version = version
	}
	f.tokens = append(f.tokens, token)
	f.notifyReaders()
	return len(f.tokens) == 1, nil
}

// end applies the final step and publishes the last event.
func (f *Flight) end(step request.Step, last Event, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.lifecycle.Apply(step); err != nil {
		return err
	}
	f.publishLocked(last, now)
	return nil
}

func (f *Flight) publishLocked(last Event, now time.Time) {
	last.Offset = len(f.tokens)
	f.lastEvent = &last
	f.endedAt = now
	if f.graceTimer != nil {
		f.graceTimer.Stop()
	}
	f.notifyReaders()
	close(f.done)
}
