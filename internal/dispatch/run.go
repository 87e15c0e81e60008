package dispatch

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/burn"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/discovery"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
	"github.com/plankridge/plankridge/internal/steady"
)

const (
	// backoffBase is the delay after the first failed attempt; it doubles up to backoffMax.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	// cancelTimeout bounds the call that cancels a request at an engine.
	cancelTimeout = 2 * time.Second
)

// result is the outcome of an attempt.
type result struct {
	step request.Step
	// connBroken is set when the peer broke the connection: its process may have ended.
	connBroken bool
	// last is the last event of the answer if step is StepAnswer.
	last Event
	// evacuated is set if the attempt was cancelled because its server leaves.
	evacuated bool
	// fatal is set if no further attempt can succeed.
	fatal *request.Failure
}

// run makes attempts until the request has ended.
func (d *Dispatcher) run(ctx context.Context, flight *Flight) {
	if flight.prepare != nil {
		if err := flight.prepare(ctx); err != nil && ctx.Err() == nil {
			d.giveUp(flight, err)
			return
		}
	}
	tried := map[string]bool{}
	defer d.dropReserved(flight)
	for round := 0; ; round++ {
		if ctx.Err() != nil {
			d.endInterrupted(flight, context.Cause(ctx))
			return
		}
		next, err := d.takeNext(ctx, flight, tried, round)
		if err != nil {
			d.giveUp(flight, err)
			return
		}
		if next == nil {
			continue
		}
		if d.attempt(ctx, flight, tried, *next) {
			return
		}
		tried[next.choice.Server.ID] = true
		if flight.reserved == nil {
			d.waitBackoff(ctx, round)
		}
	}
}

// takeNext returns the next attempt: the reserved one, or one that it takes now. It returns nil after a wait if
// there is no server or the retry budget does not allow one now.
func (d *Dispatcher) takeNext(ctx context.Context, flight *Flight, tried map[string]bool, round int) (*nextAttempt, error) {
	if next := flight.reserved; next != nil {
		flight.reserved = nil
		if !flight.retries.sent {
			d.refundCharge(flight, next.charge)
			next.charge = attemptCharge{}
		}
		return next, nil
	}
	if err := cmp.Or(flight.mayDispatch(), d.checkQuarantine(flight, time.Now())); err != nil {
		return nil, err
	}
	choice, slot, ok, err := d.acquireServer(flight, tried)
	if err != nil {
		return nil, err
	}
	if !ok {
		d.awaitServerChange(ctx, round)
		return nil, nil
	}
	charge, allowed := d.chargeAttempt(flight, steady.Now())
	if !allowed {
		slot.Release(false, time.Now())
		d.waitBackoff(ctx, round)
		return nil, nil
	}
	return &nextAttempt{choice: choice, slot: slot, charge: charge}, nil
}

// endInterrupted ends a request whose context has ended. The request is handed over to
// another daemon if this one is leaving.
func (d *Dispatcher) endInterrupted(flight *Flight, cause error) {
	if isLeaving(cause) {
		d.handOver(flight)
		return
	}
	d.giveUp(flight, cause)
}

func (f *Flight) mayDispatch() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lifecycle.MayDispatch()
}

// acquireServer picks a server and acquires a slot on it. It fails if no server can go on with the
// answer.
func (d *Dispatcher) acquireServer(flight *Flight, tried map[string]bool) (route.Choice, *discovery.Slot, bool, error) {
	now := time.Now()
	servers := d.candidates(&flight.spec, now)
	if version, begun := flight.begunVersion(); begun && len(servers) > 0 {
		servers = slices.DeleteFunc(servers, func(s route.Server) bool { return s.Version != version })
		if len(servers) == 0 {
			return route.Choice{}, nil, false, errVersionGone
		}
	}
	choice, ok := d.pickAmong(servers, &flight.spec, tried)
	if !ok {
		return choice, nil, false, nil
	}
	slot, ok := d.options.Registry.Acquire(choice.Server.ID, promptTokens(&flight.spec), now)
	return choice, slot, ok, nil
}

// awaitServerChange waits until the servers have changed, or for the backoff of the round.
func (d *Dispatcher) awaitServerChange(ctx context.Context, round int) {
	timer := time.NewTimer(backoff(round))
	defer timer.Stop()
	select {
	case <-d.options.Registry.Changed():
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *Dispatcher) waitBackoff(ctx context.Context, round int) {
	timer := time.NewTimer(backoff(round))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func backoff(round int) time.Duration {
	return min(backoffMax, backoffBase<<min(round, 6))
}

// attempt makes one attempt and reports whether the request has ended.
func (d *Dispatcher) attempt(ctx context.Context, flight *Flight, tried map[string]bool, next nextAttempt) bool {
	choice, slot, charge := next.choice, next.slot, next.charge
	if !flight.spec.Idempotent() {
		d.permit(ctx, flight)
	}
	if ctx.Err() != nil {
		slot.Release(false, time.Now())
		d.refundCharge(flight, charge)
		return false
	}
	if err := flight.step(request.StepDispatch); err != nil {
		slot.Release(false, time.Now())
		d.refundCharge(flight, charge)
		d.violated(flight, err)
		d.giveUp(flight, err)
		return true
	}
	var outcome result
	sent := time.Now()
	if flight.spec.Kind == request.KindPlain {
		outcome = d.tryPlain(ctx, flight, choice, slot, tried)
	} else {
		outcome = d.tryModel(ctx, flight, choice, slot, tried)
	}
	failed := outcome.step != request.StepAnswer && ctx.Err() == nil
	ended := time.Now()
	slot.Release(failed, ended)
	d.settleCharge(flight, charge, outcome)
	if outcome.connBroken {
		d.reportBroken(flight, choice.Server, sent, ended)
	}
	d.metrics.attempts.WithLabelValues(flight.spec.Service, string(outcome.step)).Inc()
	return d.completeAttempt(flight, choice, outcome)
}

// completeAttempt applies the result of an attempt and reports whether the request has ended.
func (d *Dispatcher) completeAttempt(flight *Flight, choice route.Choice, outcome result) bool {
	now := time.Now()
	if outcome.step == request.StepAnswer {
		d.options.Quarantine.RecordAnswer(flight.fingerprint, true, now)
		if err := flight.end(request.StepAnswer, outcome.last, now); err != nil {
			d.violated(flight, err)
		}
		d.metrics.countUsage(flight.spec.Service, outcome.last.Finish)
		d.recordBurn(flight, flight.metTargets(now), now)
		return true
	}
	d.log(flight).Warn("attempt failed", "server", choice.Server.ID, "result", outcome.step)
	if err := flight.step(outcome.step); err != nil {
		d.violated(flight, err)
	}
	if outcome.fatal != nil {
		d.fail(flight, request.StepGiveUp, *outcome.fatal)
		return true
	}
	return false
}

// metTargets reports whether the answer met the latency targets of its route. The time between
// tokens is the mean over the stream.
func (f *Flight) metTargets(now time.Time) bool {
	targets := f.spec.Route.Targets
	took := now.Sub(f.spec.Accepted)
	if f.spec.Kind == request.KindPlain {
		return took <= targets.Answer.Std()
	}
	steps := time.Duration(max(1, len(f.producedTokens())-1))
	return f.firstToken <= targets.FirstToken.Std() && (took-f.firstToken)/steps <= targets.BetweenTokens.Std()
}

// giveUp ends a request for which no further attempt is made.
func (d *Dispatcher) giveUp(flight *Flight, cause error) {
	if errors.Is(cause, errReadersGone) && flight.spec.Idempotent() {
		d.fail(flight, request.StepCancel, request.Failure{
			Outcome: request.OutcomeUnknown, Detail: cause.Error(), Status: http.StatusGone,
		})
		return
	}
	outcome := flight.provableOutcome(request.OutcomeNotRun)
	d.fail(flight, request.StepGiveUp, request.Failure{
		Outcome: outcome, Detail: cause.Error(), Status: statusOf(outcome),
	})
}

// provableOutcome returns the wanted outcome, or a weaker one if an attempt may have run.
func (f *Flight) provableOutcome(wanted request.Outcome) request.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.lifecycle.Outcome() == request.OutcomeNotRun:
		return wanted
	case f.spec.Idempotent():
		return request.OutcomeFailed
	}
	return request.OutcomeUnknown
}

func statusOf(outcome request.Outcome) int {
	switch outcome {
	case request.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case request.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (d *Dispatcher) fail(flight *Flight, step request.Step, failure request.Failure) {
	now := time.Now()
	failure.Outcome = flight.provableOutcome(failure.Outcome)
	if err := flight.end(step, Event{Failure: &failure}, now); err != nil {
		d.violated(flight, err)
	}
	if step != request.StepCancel {
		d.recordBurn(flight, false, now)
	}
}

// recordBurn counts the request as good or bad for its objective. A deferrable request is
// good if it was answered, however late.
func (d *Dispatcher) recordBurn(flight *Flight, inTime bool, now time.Time) {
	status, _ := flight.Status(context.Background())
	good := status.Outcome == request.OutcomeOK && (inTime || flight.spec.Class == config.ClassDeferrable)
	key := burn.Key{Service: flight.spec.Service, Workspace: flight.spec.Workspace}
	d.options.Burn.Record(key, flight.spec.Route.Targets.Objective, good, now)
}
