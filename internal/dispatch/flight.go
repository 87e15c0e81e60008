package dispatch

import (
	"context"
	"sync"
	"time"

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
}

// Last reports whether no event follows.
func (e *Event) Last() bool {
	return e.Finish != nil || e.Plain != nil || e.Failure != nil
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

	mu      sync.Mutex
	life    *request.Life
	tokens  []string
	last    *Event
	changed chan struct{}
	readers int
	read    bool
	// held marks the answer of another daemon's request.
	held   bool
	grace  *time.Timer
	cancel context.CancelFunc
	done   chan struct{}
	ended  time.Time
	// firstToken is the time from acceptance to the first token. Only the
	// running attempt uses it.
	firstToken time.Duration
}

func newFlight(spec request.Spec) *Flight {
	return &Flight{
		spec:    spec,
		life:    request.NewLife(spec.Idempotent()),
		changed: make(chan struct{}),
		done:    make(chan struct{}),
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
		State:    f.life.State(),
		Attempts: f.life.Attempts(),
		Tokens:   len(f.tokens),
		Outcome:  f.life.Outcome(),
	}
	if f.held {
		status.State, status.Outcome = heldState(f.last)
	}
	if f.last != nil && f.last.Failure != nil {
		status.Outcome = f.last.Failure.Outcome
	}
	return status
}

// heldState returns the final state that an answer's last event means.
func heldState(last *Event) (request.State, request.Outcome) {
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
	if f.last != nil && f.last.Plain != nil {
		size += len(f.last.Plain.Body)
	}
	return size
}

// wake tells the readers that there is more; the caller holds the lock.
func (f *Flight) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Follow implements Source.
func (f *Flight) Follow(ctx context.Context, after int, sink func(Event) error) error {
	f.attach()
	defer f.detach()
	for {
		events, changed := f.eventsAfter(after)
		for i := range events {
			if err := sink(events[i]); err != nil {
				return err
			}
			after = events[i].Offset
			if events[i].Last() {
				f.markRead()
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

func (f *Flight) eventsAfter(after int) ([]Event, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []Event
	for i := max(after, 0); i < len(f.tokens); i++ {
		events = append(events, Event{Offset: i + 1, Token: f.tokens[i]})
	}
	if f.last != nil {
		events = append(events, *f.last)
	}
	return events, f.changed
}

func (f *Flight) attach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
	if f.grace != nil {
		f.grace.Stop()
	}
}

// detach counts a reader out. When the last one has gone, an idempotent
// request that somebody waits for is cancelled after a grace.
func (f *Flight) detach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers--
	if f.readers > 0 || f.last != nil || f.grace == nil {
		return
	}
	f.grace.Reset(f.spec.ResumeGrace)
}

func (f *Flight) markRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read = true
}

// unread reports whether the request has ended and nobody has read its end.
func (f *Flight) unread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last != nil && !f.read
}

// step takes a step of the state machine.
func (f *Flight) step(step request.Step) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.life.Apply(step)
}

func (f *Flight) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.life.Attempts()
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
	if err := f.life.Apply(request.StepToken); err != nil {
		return false, err
	}
	f.tokens = append(f.tokens, token)
	f.wake()
	return len(f.tokens) == 1, nil
}

// end takes the final step and publishes the last event.
func (f *Flight) end(step request.Step, last Event, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.life.Apply(step); err != nil {
		return err
	}
	f.publish(last, now)
	return nil
}

func (f *Flight) publish(last Event, now time.Time) {
	last.Offset = len(f.tokens)
	f.last = &last
	f.ended = now
	if f.grace != nil {
		f.grace.Stop()
	}
	f.wake()
	close(f.done)
}
