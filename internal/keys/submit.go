package keys

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/request"
)

// Submit runs a request with a key, or returns the result of the earlier request with the key.
// It forwards the request if another daemon holds the key.
func (m *Manager) Submit(ctx context.Context, spec request.Spec) (Result, error) {
	ref := spec.Key.KeyRef
	if m.isServing(ref.Zone, ref.Slot) {
		return m.SubmitHere(ctx, spec), nil
	}
	m.mu.Lock()
	holder := m.homes.Holder(ref.Zone, ref.Slot)
	m.mu.Unlock()
	if holder == (Holder{}) || holder.sameProcess(m.options.Self) {
		return HomeUnreachable("the home of this key is being taken over"), nil
	}
	return m.options.Peers.Forward(ctx, holder, spec)
}

// SubmitHere runs a request whose key this daemon holds.
func (m *Manager) SubmitHere(ctx context.Context, spec request.Spec) Result {
	ref := spec.Key.KeyRef
	if !m.isServing(ref.Zone, ref.Slot) {
		return HomeUnreachable("the home of this key has moved")
	}
	spec.ID = m.options.Dispatcher.NewID()
	m.markStarting(spec.ID)
	defer m.markStarted(spec.ID)
	intent := Record{Ref: ref, RequestID: spec.ID, State: StateIntent, At: time.Now().UTC()}
	current, claimed, err := m.ledger.Begin(intent)
	if err != nil {
		return Result{Verdict: VerdictRefused, Refusal: &dispatch.Refusal{
			Status: http.StatusServiceUnavailable, Detail: err.Error(), RetryAfter: time.Minute,
		}}
	}
	if claimed {
		return m.accept(spec, current)
	}
	return m.answerRepeated(ctx, spec, current, intent)
}

func (m *Manager) markStarting(id request.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starting[id] = true
}

func (m *Manager) markStarted(id request.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.starting, id)
}

func (m *Manager) isStarting(id request.ID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starting[id]
}

// accept accepts a request whose key is free. The intent is recorded before the first attempt
// begins.
func (m *Manager) accept(spec request.Spec, intent Record) Result {
	key := *spec.Key
	key.Turn = intent.Turn
	spec.Key = &key
	flight, refusal := m.options.Dispatcher.SubmitPrepared(spec, func(ctx context.Context) error {
		return m.recordIntent(ctx, intent)
	})
	if refusal != nil {
		m.ledger.Apply(endRecord(intent, StateNotRun, nil))
		return Result{Verdict: VerdictRefused, Refusal: refusal}
	}
	return Result{Verdict: VerdictRun, RequestID: flight.ID()}
}

// recordIntent writes an intent to the log. If the Object API does not accept it in time, a peer
// is asked to keep it.
func (m *Manager) recordIntent(ctx context.Context, intent Record) error {
	logged := m.committer.Append(intent)
	select {
	case <-logged:
		return nil
	case <-time.After(commitTimeout):
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := m.options.Peers.Keep(ctx, m.enrolledPeers(), []Record{intent}); err != nil {
		m.options.Logger.Warn("cannot record an intent in the log or at a peer", "request_id", intent.RequestID, "error", err)
		return ErrNotKept
	}
	m.keptByPeers.Inc()
	return nil
}

// answerRepeated handles a request whose key is taken.
func (m *Manager) answerRepeated(ctx context.Context, spec request.Spec, current, intent Record) Result {
	if current.Ref.Fingerprint != intent.Ref.Fingerprint {
		return Result{Verdict: VerdictMismatch, RequestID: current.RequestID}
	}
	switch current.State {
	case StateDone:
		return replay(current)
	case StateIntent:
		return m.inFlight(ctx, spec, current, intent)
	}
	return m.rerun(spec, current, intent)
}

func replay(record Record) Result {
	if record.Answer == nil {
		return Result{Verdict: VerdictAnswerNotKept, RequestID: record.RequestID}
	}
	return Result{Verdict: VerdictReplay, RequestID: record.RequestID, Answer: record.Answer}
}

// inFlight handles a request whose key belongs to a request that has begun and whose end is not
// recorded here. That request runs here or, after a takeover, at another daemon.
func (m *Manager) inFlight(ctx context.Context, spec request.Spec, current, intent Record) Result {
	running := Result{Verdict: VerdictInFlight, RequestID: current.RequestID}
	if m.isStarting(current.RequestID) {
		return running
	}
	source, err := m.options.Peers.Locate(ctx, current.RequestID)
	if errors.Is(err, dispatch.ErrNotFound) {
		return m.rerun(spec, current, intent)
	}
	if err != nil {
		return running
	}
	status, err := source.Status(ctx)
	if err != nil || !status.State.Final() {
		return running
	}
	answer, failure, err := readOutcome(ctx, source)
	if err != nil {
		return running
	}
	key := *spec.Key
	key.Turn = current.Turn
	spec.Key = &key
	m.RecordEnd(spec, current.RequestID, answer, failure)
	if answer != nil {
		return Result{Verdict: VerdictReplay, RequestID: current.RequestID, Answer: answer}
	}
	if failure.Outcome == request.OutcomeNotRun {
		current.State = StateNotRun
		return m.rerun(spec, current, intent)
	}
	return Result{Verdict: VerdictUnknown, RequestID: current.RequestID}
}

// readOutcome reads the last event of a request that has ended.
func readOutcome(ctx context.Context, source dispatch.Source) (*request.PlainAnswer, *request.Failure, error) {
	var last dispatch.Event
	err := source.Follow(ctx, 0, func(event dispatch.Event) error {
		last = event
		return nil
	})
	if err == nil && last.Plain == nil && last.Failure == nil {
		err = dispatch.ErrNotFound
	}
	return last.Plain, last.Failure, err
}

// rerun runs a request if the earlier request with its key has not run or is idempotent.
// Otherwise the outcome of the earlier request stays unknown.
func (m *Manager) rerun(spec request.Spec, current, intent Record) Result {
	if current.State != StateNotRun && !spec.Idempotent() {
		return Result{Verdict: VerdictUnknown, RequestID: current.RequestID}
	}
	intent, claimed := m.ledger.Replace(current, intent)
	if !claimed {
		return Result{Verdict: VerdictInFlight, RequestID: intent.RequestID}
	}
	return m.accept(spec, intent)
}

// RecordEnd records the end of a request with a key, wherever it ran.
func (m *Manager) RecordEnd(spec request.Spec, id request.ID, answer *request.PlainAnswer, failure *request.Failure) {
	intent := Record{Ref: spec.Key.KeyRef, RequestID: id, State: StateIntent, At: time.Now().UTC(), Turn: spec.Key.Turn}
	record := endRecord(intent, StateUnknown, nil)
	switch {
	case answer != nil:
		record = endRecord(intent, StateDone, answer)
	case failure != nil && failure.Outcome == request.OutcomeNotRun:
		record = endRecord(intent, StateNotRun, nil)
	}
	if m.isServing(record.Ref.Zone, record.Ref.Slot) {
		m.ledger.Apply(record)
	}
	m.committer.Append(record)
}

// IntentRecorder returns a function that records the intent of a request with a key that this daemon
// has taken over from its owner.
func (m *Manager) IntentRecorder(spec request.Spec) func(context.Context) error {
	intent := Record{Ref: spec.Key.KeyRef, RequestID: spec.ID, State: StateIntent, At: spec.Accepted.UTC(), Turn: spec.Key.Turn}
	return func(ctx context.Context) error { return m.recordIntent(ctx, intent) }
}

// endRecord returns the record of a request's end.
func endRecord(record Record, state State, answer *request.PlainAnswer) Record {
	record.State = state
	record.Answer = nil
	if answer != nil && len(answer.Body) <= MaxAnswerBytes {
		record.Answer = &request.PlainAnswer{Status: answer.Status, Header: http.Header.Clone(answer.Header), Body: answer.Body}
	}
	return record
}
