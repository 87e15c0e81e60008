package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/request"
)

// Copy is the state of a request that is sent to a backup daemon.
type Copy struct {
	Spec request.Spec
	// Offset is the number of tokens before Tokens.
	Offset int
	Tokens []string
	// Permitted is set when a non-idempotent request is about to be sent.
	Permitted bool
}

// Replicator keeps copies of this daemon's requests at other daemons.
type Replicator interface {
	// Copy stores a complete copy at a daemon and returns that daemon's ID.
	Copy(ctx context.Context, c Copy) (backup string, err error)
	// Extend appends tokens to the copy at a backup.
	Extend(ctx context.Context, backup string, c Copy) error
	// Release drops the copy at a backup.
	Release(ctx context.Context, backup string, id request.ID) error
	// TakeOver makes another daemon the owner, preferably the backup. If it returns an error,
	// a daemon may still have taken the request over.
	TakeOver(ctx context.Context, backup string, c Copy) error
	// Hold transfers a finished answer to a daemon that retains it.
	Hold(ctx context.Context, spec request.Spec, tokens []string, last Event) error
}

const (
	// copyDelay is the age at which an idempotent request with a waiting caller is copied.
	// If the daemon fails before that, the caller's connection breaks and the caller is no worse
	// off than after a refusal.
	copyDelay = 250 * time.Millisecond
	// extendInterval is the time between two updates of a copy.
	extendInterval = time.Second
	// copyTimeout bounds one message to a backup, including retries.
	copyTimeout = 2 * time.Second
)

// replicate keeps the copy of an idempotent request up to date until the request ends.
func (d *Dispatcher) replicate(flight *Flight) {
	wait := copyDelay
	for {
		timer := time.NewTimer(wait)
		select {
		case <-flight.done:
			timer.Stop()
			d.release(flight)
			return
		case <-timer.C:
		}
		d.refreshCopy(flight)
		wait = extendInterval
	}
}

// refreshCopy creates the copy of a request or updates it.
func (d *Dispatcher) refreshCopy(flight *Flight) {
	ctx, cancel := context.WithTimeout(d.ctx, copyTimeout)
	defer cancel()
	tokens := flight.producedTokens()
	backup, copied := flight.copyState()
	// An update holds no specification, and so not the version at which the answer has begun.
	if copyHasVersion := copied > 0 || len(tokens) == 0; backup != "" && copyHasVersion {
		update := Copy{Spec: flight.spec, Offset: copied, Tokens: tokens[copied:]}
		if len(update.Tokens) == 0 || d.options.Replicator.Extend(ctx, backup, update) == nil {
			flight.setCopyState(backup, len(tokens))
			return
		}
	}
	backup, err := d.options.Replicator.Copy(ctx, Copy{Spec: flight.versionedSpec(), Tokens: tokens})
	if err != nil {
		d.metrics.uncopied.Inc()
		d.log(flight).Warn("cannot copy request to a backup daemon", "error", err)
		return
	}
	flight.setCopyState(backup, len(tokens))
}

// release drops the copy of a request that has ended.
func (d *Dispatcher) release(flight *Flight) {
	backup, _ := flight.copyState()
	if backup == "" || flight.movedAway() {
		return
	}
	// Stop cancels d.ctx. It does not end the requests, so their copies must remain.
	ctx, cancel := context.WithTimeout(d.ctx, copyTimeout)
	defer cancel()
	if err := d.options.Replicator.Release(ctx, backup, flight.spec.ID); err != nil {
		d.log(flight).Debug("cannot release the copy of a request", "error", err)
	}
}

// permit sends a copy marked as permitted before a non-idempotent request is sent. If the
// owner then dies, the backup can report the outcome "unknown" to the caller. If no backup is
// reachable, the owner proceeds without a copy, which is counted.
func (d *Dispatcher) permit(ctx context.Context, flight *Flight) {
	if backup, _ := flight.copyState(); backup != "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	backup, err := d.options.Replicator.Copy(ctx, Copy{Spec: flight.spec, Permitted: true})
	if err != nil {
		d.metrics.uncopied.Inc()
		d.log(flight).Warn("cannot copy non-idempotent request to a backup daemon", "error", err)
		return
	}
	flight.setCopyState(backup, 0)
}

func (f *Flight) copyState() (backup string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backup, f.copiedTokens
}

func (f *Flight) setCopyState(backup string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backup, f.copiedTokens = backup, tokens
}

// movedAway reports whether the request was handed over to another daemon.
func (f *Flight) movedAway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lifecycle.State() == request.StateHandedOver
}

// Evacuate hands over all requests that have not ended, and the unread answers of those that
// have. Non-idempotent requests that may have run stay here. Their readers are redirected, and
// the result is handed over when available.
func (d *Dispatcher) Evacuate(ctx context.Context) {
	d.mu.Lock()
	d.draining = true
	var flights []*Flight
	for _, flight := range d.flights {
		flights = append(flights, flight)
	}
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, flight := range flights {
		wg.Go(func() { d.evacuate(ctx, flight) })
	}
	wg.Wait()
}

func (d *Dispatcher) evacuate(ctx context.Context, flight *Flight) {
	if flight.hasEnded() {
		d.handOverAnswer(ctx, flight)
		return
	}
	flight.requestHandOver(errLeaving)
	if !flight.spec.Idempotent() {
		flight.redirect()
	}
	select {
	case <-flight.done:
		d.handOverAnswer(ctx, flight)
	case <-ctx.Done():
	}
}

// handOver makes another daemon the owner of a request whose attempt has ended. It must be
// called by the goroutine that runs the request, so that no attempt can begin concurrently.
func (d *Dispatcher) handOver(flight *Flight) {
	if err := flight.step(request.StepHandOver); err != nil {
		d.giveUp(flight, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), copyTimeout)
	defer cancel()
	backup, _ := flight.copyState()
	err := d.options.Replicator.TakeOver(ctx, backup, Copy{Spec: flight.versionedSpec(), Tokens: flight.producedTokens()})
	if err == nil {
		flight.close(Event{Moved: true}, time.Now())
		return
	}
	d.log(flight).Error("cannot hand over request", "error", err)
	outcome := request.OutcomeUnknown
	flight.close(Event{Failure: &request.Failure{
		Outcome: outcome, Detail: "the daemon left and no other has confirmed the request", Status: http.StatusServiceUnavailable,
	}}, time.Now())
}

// handOverAnswer transfers the answer of an ended request to a daemon that retains it.
func (d *Dispatcher) handOverAnswer(ctx context.Context, flight *Flight) {
	flight.mu.Lock()
	skip := flight.answerRead || flight.lastEvent == nil || flight.lastEvent.Moved
	flight.mu.Unlock()
	if skip {
		return
	}
	if err := d.options.Replicator.Hold(ctx, flight.spec, flight.producedTokens(), *flight.lastEvent); err != nil {
		d.log(flight).Warn("cannot hand over an unread answer", "error", err)
	}
}

// Adopt makes this daemon the owner of a request of a daemon that is dead. Adopting a request again
// has no effect.
func (d *Dispatcher) Adopt(spec request.Spec, tokens []string) error {
	return d.own(spec, tokens, retryHistory{counted: true, sent: true})
}

// TakeOver is like Adopt, for a request of a daemon that leaves.
func (d *Dispatcher) TakeOver(spec request.Spec, tokens []string) error {
	return d.own(spec, tokens, retryHistory{counted: true, sent: true, moving: true})
}

// own makes this daemon the owner of a request that another daemon accepted.
func (d *Dispatcher) own(spec request.Spec, tokens []string, retries retryHistory) error {
	flight := newFlight(spec)
	flight.tokens, flight.retries = tokens, retries
	if spec.Key != nil && d.options.PrepareKeyed != nil {
		flight.prepare = d.options.PrepareKeyed(spec)
	}
	d.options.Limiter.CountInFlight(spec.Workspace)
	err := d.start(flight)
	if err != nil {
		d.options.Limiter.Release(spec.Workspace)
	}
	if errors.Is(err, errDuplicate) {
		return nil
	}
	d.log(flight).Info("request taken over", "tokens", len(tokens), "error", err)
	return err
}

// RecordLost records that the owner of a request is dead and that the request may have run.
func (d *Dispatcher) RecordLost(spec request.Spec) {
	d.Hold(spec, nil, Event{Failure: &request.Failure{
		Outcome: request.OutcomeUnknown, Detail: "the daemon that sent the request is gone", Status: http.StatusGatewayTimeout,
	}})
}

// isLeaving reports whether a request was cancelled because this daemon is leaving.
func isLeaving(cause error) bool { return errors.Is(cause, errLeaving) }
