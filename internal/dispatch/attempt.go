package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/discovery"
	"github.com/plankridge/plankridge/internal/engine"
	"github.com/plankridge/plankridge/internal/plain"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
)

func (d *Dispatcher) tryPlain(ctx context.Context, flight *Flight, choice route.Choice, slot *discovery.Slot, tried map[string]bool) result {
	timeout := d.options.Limits.PlainAttemptTimeout.Std()
	if flight.spec.Idempotent() {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		running := d.newRunningAttempt(flight, choice, slot, tried, cancel)
		defer func() { flight.reserved = running.end() }()
		running.watchSilence(timeout)
		go running.watchEvacuation(ctx)
	} else {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeoutCause(ctx, timeout, errSilent)
		defer stop()
	}
	spec := flight.spec.Plain
	answer, err := d.options.Plain.Do(ctx, choice.Server.Address, plain.Call{
		RequestID:  string(flight.spec.ID),
		Attempt:    flight.attempts(),
		Workspace:  flight.spec.Workspace,
		Idempotent: flight.spec.Idempotent(),
		Method:     spec.Method,
		Path:       spec.Path,
		Header:     spec.Header,
		Body:       spec.Body,
		OnAdvice:   d.adviceHandler(choice.Server),
	})
	switch {
	case err == nil && answer.EndsWithConnection && d.exitedAtEnd(ctx, choice.Server.Address, slot):
		return result{step: request.StepLost, connBroken: true}
	case err == nil:
		slot.FirstToken(choice.Wait+choice.Server.ServiceTime, time.Now())
		return result{step: request.StepAnswer, last: Event{Plain: &request.PlainAnswer{
			Status: answer.Status, Header: answer.Header, Body: answer.Body,
		}}}
	case errors.Is(err, plain.ErrNotSent):
		return result{step: request.StepNotSent}
	case errors.Is(err, plain.ErrAnswerTooLarge):
		return result{step: request.StepLost, fatal: &request.Failure{
			Outcome: request.OutcomeFailed, Detail: err.Error(), Status: http.StatusBadGateway,
		}}
	case errors.Is(err, plain.ErrForeignAnswer):
		d.metrics.mismatched.Inc()
	}
	return result{step: request.StepLost, connBroken: ctx.Err() == nil, evacuated: isEvacuated(ctx)}
}

const (
	// endProbeDelay is the time from the end of a connection to the probe of its server. A process
	// that exits closes its connections one after the other, its listener among them.
	endProbeDelay = 30 * time.Millisecond
	// endProbeTimeout bounds the probe, for which the end of an answer is held up.
	endProbeTimeout = 100 * time.Millisecond
)

// exitedAtEnd reports whether an answer that ended with its connection did so because the server
// exited. Such an answer ends in the same way when it is complete. A server that leaves may exit
// after a complete one.
func (d *Dispatcher) exitedAtEnd(ctx context.Context, address string, slot *discovery.Slot) bool {
	ctx, stop := context.WithTimeout(ctx, endProbeDelay+endProbeTimeout)
	defer stop()
	select {
	case <-time.After(endProbeDelay):
	case <-ctx.Done():
	}
	return d.serverEnded(ctx, address) && !slot.Leaving(time.Now())
}

// isEvacuated reports whether an attempt was cancelled because its server must be evacuated.
func isEvacuated(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errEvacuated) }

func (d *Dispatcher) tryModel(ctx context.Context, flight *Flight, choice route.Choice, slot *discovery.Slot, tried map[string]bool) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	running := d.newRunningAttempt(flight, choice, slot, tried, cancel)
	defer func() { flight.reserved = running.end() }()
	timeout := d.options.Limits.AttemptIdleTimeout.Std()
	running.watchSilence(timeout)
	go running.watchEvacuation(ctx)

	stream := &modelStream{dispatcher: d, flight: flight, slot: slot, predicted: choice.Wait, attempt: flight.attempts(), version: choice.Server.Version}
	attempt := d.engineAttempt(flight)
	attempt.OnAdvice = d.adviceHandler(choice.Server)
	err := d.options.Engine.Generate(ctx, choice.Server.Address, attempt, func(event engine.Event) error {
		if !stream.matches(&event) {
			return nil
		}
		running.restartSilence(timeout)
		return stream.handleEvent(event)
	})
	if err == nil && stream.finish == nil {
		err = engine.ErrBroken
	}
	if err == nil {
		return result{step: request.StepAnswer, last: Event{Finish: stream.finish}}
	}
	if ctx.Err() != nil {
		go d.cancelAtEngine(choice.Server.Address, flight)
	}
	failure := modelFailure(err)
	failure.connBroken = failure.step == request.StepLost && ctx.Err() == nil
	failure.evacuated = isEvacuated(ctx)
	return failure
}

// modelFailure maps an engine error to the resulting step.
func modelFailure(err error) result {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return result{step: request.StepNotSent}
	case errors.Is(err, engine.ErrRefused):
		return result{step: request.StepDeclined}
	case errors.Is(err, engine.ErrInvalid):
		return result{step: request.StepDeclined, fatal: &request.Failure{
			Outcome: request.OutcomeNotRun, Detail: err.Error(), Status: http.StatusBadRequest,
		}}
	}
	return result{step: request.StepLost}
}

func (d *Dispatcher) engineAttempt(flight *Flight) engine.Attempt {
	model := flight.spec.Model
	attempt := engine.Attempt{
		RequestID:  string(flight.spec.ID),
		Number:     flight.attempts(),
		Model:      flight.spec.Service,
		Adapter:    model.Adapter,
		Prompt:     model.Prompt,
		CacheSalt:  flight.spec.Workspace,
		Resume:     flight.producedTokens(),
		MaxTokens:  model.MaxTokens,
		Priority:   engine.PriorityAwaited,
		Parameters: map[string]json.RawMessage{},
	}
	if flight.spec.Class == config.ClassDeferrable {
		attempt.Priority = engine.PriorityDeferrable
	}
	for name, value := range model.Parameters {
		attempt.Parameters[name] = value
	}
	return attempt
}

// cancelAtEngine cancels an attempt at the engine that is no longer needed. The closed
// connection normally does so too; the call covers engines that do not notice the close.
func (d *Dispatcher) cancelAtEngine(address string, flight *Flight) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := d.options.Engine.Cancel(ctx, address, string(flight.spec.ID)); err != nil {
		d.log(flight).Debug("cancel at engine failed", "error", err)
	}
}

// modelStream processes the events of one attempt.
type modelStream struct {
	dispatcher *Dispatcher
	flight     *Flight
	slot       *discovery.Slot
	predicted  time.Duration
	attempt    int
	// version is the version of the server's software.
	version   string
	lastToken time.Time
	finish    *request.Finish
	// firstTokenAt is when this attempt's first token arrived.
	firstTokenAt     time.Time
	progressReported bool
}

// matches checks the identity of an event. An event of another request or attempt is
// dropped and counted.
func (s *modelStream) matches(event *engine.Event) bool {
	if event.RequestID == string(s.flight.spec.ID) && event.Number == s.attempt {
		return true
	}
	s.dispatcher.metrics.mismatched.Inc()
	return false
}

// handleEvent adds an event to the answer.
func (s *modelStream) handleEvent(event engine.Event) error {
	now := time.Now()
	s.slot.FirstToken(s.predicted, now)
	if event.FinishReason != "" {
		return s.setFinish(event)
	}
	first, err := s.flight.addToken(event.Index, event.Token, s.version)
	if err != nil {
		return err
	}
	s.observeLatency(first, now)
	s.reportProgress(now)
	return nil
}

// reportProgress reports once to the quarantine that the server has been generating the answer for
// some time, so that no part of the prompt ends it.
func (s *modelStream) reportProgress(now time.Time) {
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = now
	}
	if !s.progressReported && now.Sub(s.firstTokenAt) >= quarantine.HarmlessAfter {
		s.progressReported = true
		s.dispatcher.options.Quarantine.RecordProgress(s.flight.fingerprint, now)
	}
}

func (s *modelStream) observeLatency(first bool, now time.Time) {
	if first {
		took := now.Sub(s.flight.spec.Accepted)
		s.dispatcher.metrics.firstToken.Observe(took.Seconds())
		s.flight.firstToken = took
	} else if !s.lastToken.IsZero() {
		s.dispatcher.metrics.betweenTokens.Observe(now.Sub(s.lastToken).Seconds())
	}
	s.lastToken = now
}

func (s *modelStream) setFinish(event engine.Event) error {
	if event.Index != len(s.flight.producedTokens()) {
		return errTokenGap
	}
	s.finish = &request.Finish{Reason: event.FinishReason, OutputTokens: event.Index}
	if event.Usage != nil {
		s.finish.PromptTokens = event.Usage.PromptTokens
		s.finish.CachedTokens = event.Usage.CachedTokens
	}
	return nil
}
