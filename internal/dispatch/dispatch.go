// Package dispatch runs accepted requests. It picks a backend server for each attempt,
// streams the answer into a Flight that readers can follow, and retries where that is safe.
package dispatch

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/burn"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/discovery"
	"github.com/plankridge/plankridge/internal/engine"
	"github.com/plankridge/plankridge/internal/limit"
	"github.com/plankridge/plankridge/internal/plain"
	"github.com/plankridge/plankridge/internal/prefix"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/retrybudget"
	"github.com/plankridge/plankridge/internal/route"
	"github.com/plankridge/plankridge/internal/steady"
)

// Options holds the dependencies and settings of a Dispatcher.
type Options struct {
	DaemonID   string
	Zone       string
	Limits     config.RequestLimits
	Registry   *discovery.Registry
	Limiter    *limit.Limiter
	Engine     engine.Engine
	Plain      plain.Service
	Replicator Replicator
	Burn       *burn.Recorder
	// Quarantine blocks requests that crash servers. If nil, the dispatcher uses its own,
	// which receives no reports from other daemons.
	Quarantine *watch.Watcher
	// Retries is this daemon's share of the retry budgets of the services. If nil, the dispatcher uses
	// its own as the only daemon.
	Retries *retrybudget.Share
	// Dial opens a connection to a server, to check whether a process listens there.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnAdviceChanged is called when advice in an answer has changed a server's state. It may be nil.
	OnAdviceChanged func()
	Logger          *slog.Logger
	Registerer      prometheus.Registerer
	// PrepareKeyed returns the function to run before the first attempt of a request that has
	// an idempotency key and was taken over from another daemon.
	PrepareKeyed func(request.Spec) func(context.Context) error
	// OnKeyedEnd is called when a request with an idempotency key has ended at this daemon.
	OnKeyedEnd func(request.Spec, *request.PlainAnswer, *request.Failure)
	// OnViolation is called when an invariant is violated; tests make that fatal.
	OnViolation func(error)
}

// Dispatcher runs the requests of one daemon.
type Dispatcher struct {
	options Options
	metrics *metrics
	ctx     context.Context
	stop    context.CancelCauseFunc

	mu        sync.Mutex
	draining  bool
	flights   map[request.ID]*Flight
	finished  []*Flight
	heldBytes int
	active    sync.WaitGroup
}

// New returns a Dispatcher.
func New(options Options) *Dispatcher {
	if options.Quarantine == nil {
		options.Quarantine = watch.New(watch.Options{Logger: options.Logger})
	}
	if options.Retries == nil {
		options.Retries = NewRetries(options.Limits)
		options.Retries.SetDaemons(1, steady.Now())
	}
	ctx, stop := context.WithCancelCause(context.Background())
	return &Dispatcher{
		options: options,
		metrics: newMetrics(options.Registerer),
		ctx:     ctx,
		stop:    stop,
		flights: map[request.ID]*Flight{},
	}
}

// Refusal is the reason why a request was not accepted. A refused request has not run.
type Refusal struct {
	Status     int
	Detail     string
	RetryAfter time.Duration
	// Elsewhere means that another daemon can accept the request immediately.
	Elsewhere bool
}

// noServerRetryAfter is the Retry-After value for a service without a server.
const noServerRetryAfter = 5 * time.Second

// Submit admits a request and starts it. It sets the ID and the time of acceptance. If it
// returns a refusal, the request has not run and will not run.
func (d *Dispatcher) Submit(spec request.Spec) (*Flight, *Refusal) {
	spec.ID = d.NewID()
	return d.SubmitPrepared(spec, nil)
}

// NewID returns a new ID for a request that this daemon accepts.
func (d *Dispatcher) NewID() request.ID {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return request.NewID(d.options.DaemonID, random)
}

// SubmitPrepared is like Submit for a specification that already has an ID. prepare, if not
// nil, runs after acceptance and before the first attempt. If it fails, no attempt is made.
func (d *Dispatcher) SubmitPrepared(spec request.Spec, prepare func(context.Context) error) (*Flight, *Refusal) {
	now := time.Now()
	if refusal := cmp.Or(d.refuseQuarantined(&spec, now), d.refuseForWait(&spec, now)); refusal != nil {
		return nil, refusal
	}
	verdict := d.options.Limiter.Admit(spec.Workspace, spec.Key != nil, now)
	if !verdict.Admitted {
		return nil, &Refusal{Status: http.StatusTooManyRequests, Detail: verdict.Reason, RetryAfter: verdict.RetryAfter}
	}
	spec.Accepted = now
	spec.ResumeGrace = d.options.Limits.ResumeGrace.Std()
	flight := newFlight(spec)
	flight.prepare = prepare
	if spec.Async && spec.Idempotent() {
		d.refreshCopy(flight)
	}
	if err := d.start(flight); err != nil {
		d.options.Limiter.Release(spec.Workspace)
		d.release(flight)
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Detail: err.Error(), RetryAfter: time.Second, Elsewhere: true}
	}
	return flight, nil
}

// refuseForWait refuses a request whose predicted queue wait exceeds the target of its route.
func (d *Dispatcher) refuseForWait(spec *request.Spec, now time.Time) *Refusal {
	choice, ok := d.pick(spec, nil, now)
	if !ok {
		return d.refuseNoServer(spec, now)
	}
	if maxWait := spec.Route.Targets.QueueWait.Std(); choice.Wait > maxWait {
		return &Refusal{Status: http.StatusServiceUnavailable, Detail: "predicted wait is too long", RetryAfter: choice.Wait - maxWait}
	}
	return nil
}

func (d *Dispatcher) start(flight *Flight) error {
	ctx, cancel := context.WithCancelCause(d.ctx)
	flight.cancel = cancel
	if flight.spec.Idempotent() && !flight.spec.Async {
		flight.graceTimer = time.AfterFunc(flight.spec.ResumeGrace, func() { cancel(errReadersGone) })
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return ErrDraining
	}
	if _, known := d.flights[flight.spec.ID]; known {
		return errDuplicate
	}
	d.flights[flight.spec.ID] = flight
	d.active.Add(1)
	d.metrics.inFlight.Inc()
	if flight.spec.Idempotent() {
		go d.replicate(flight)
	}
	go func() {
		defer d.active.Done()
		defer cancel(nil)
		runCtx, stop := context.WithTimeoutCause(ctx, d.options.Limits.MaxRequestTime.Std(), errWorkTooLong)
		defer stop()
		d.run(runCtx, flight)
		d.finish(flight)
	}()
	return nil
}

// pick picks a server for a request.
func (d *Dispatcher) pick(spec *request.Spec, tried map[string]bool, now time.Time) (route.Choice, bool) {
	return d.pickAmong(d.candidates(spec, now), spec, tried)
}

func (d *Dispatcher) candidates(spec *request.Spec, now time.Time) []route.Server {
	return d.options.Registry.Candidates(spec.Service, promptTokens(spec), now)
}

func (d *Dispatcher) pickAmong(servers []route.Server, spec *request.Spec, tried map[string]bool) (route.Choice, bool) {
	return route.Pick(servers, route.Need{Zone: d.options.Zone, Tried: tried, Target: spec.Route.Targets.FirstToken.Std()})
}

func promptTokens(spec *request.Spec) int {
	if spec.Model == nil {
		return 0
	}
	return prefix.CountTokens(spec.Model.Prompt)
}

// finish counts an ended request and retains its answer for late readers.
func (d *Dispatcher) finish(flight *Flight) {
	d.options.Limiter.Release(flight.spec.Workspace)
	d.metrics.inFlight.Dec()
	d.notifyKeyedEnd(flight)
	if flight.movedAway() {
		d.forget(flight)
		return
	}
	status, _ := flight.Status(context.Background())
	d.metrics.requests.WithLabelValues(flight.spec.Service, string(status.Outcome)).Inc()
	d.log(flight).Info("request ended", "state", status.State, "outcome", status.Outcome,
		"attempts", status.Attempts, "tokens", status.Tokens, "took", time.Since(flight.spec.Accepted))
	d.retain(flight)
	if !flight.spec.Idempotent() {
		go d.release(flight)
	}
}

// notifyKeyedEnd reports the end of a request with an idempotency key. A request that was
// handed over is reported by its new owner.
func (d *Dispatcher) notifyKeyedEnd(flight *Flight) {
	flight.mu.Lock()
	last := flight.lastEvent
	flight.mu.Unlock()
	if flight.spec.Key == nil || d.options.OnKeyedEnd == nil || last == nil || last.Moved || d.ctx.Err() != nil {
		return
	}
	d.options.OnKeyedEnd(flight.spec, last.Plain, last.Failure)
}

// forget removes a request that was handed over to another daemon.
func (d *Dispatcher) forget(flight *Flight) {
	d.metrics.requests.WithLabelValues(flight.spec.Service, string(request.StateHandedOver)).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.flights, flight.spec.ID)
}

func (d *Dispatcher) log(flight *Flight) *slog.Logger {
	return d.options.Logger.With("request_id", flight.spec.ID, "workspace", flight.spec.Workspace,
		"service", flight.spec.Service, "attempt", flight.attempts())
}

// retain keeps a finished answer, and drops the oldest ones beyond the time and memory limits.
func (d *Dispatcher) retain(flight *Flight) {
	size := flight.size()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flights[flight.spec.ID] = flight
	d.finished = append(d.finished, flight)
	d.heldBytes += size
	now := time.Now()
	for len(d.finished) > 0 {
		oldest := d.finished[0]
		expired := now.Sub(oldest.endedAt) > d.options.Limits.AnswerRetention.Std()
		if !expired && d.heldBytes <= d.options.Limits.HeldAnswerBytes {
			break
		}
		d.finished = d.finished[1:]
		d.heldBytes -= oldest.size()
		delete(d.flights, oldest.spec.ID)
	}
	d.metrics.heldBytes.Set(float64(d.heldBytes))
}

// Find returns a request that this daemon holds, or ErrNotFound.
func (d *Dispatcher) Find(id request.ID) (*Flight, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	flight, ok := d.flights[id]
	if !ok {
		return nil, ErrNotFound
	}
	return flight, nil
}

// Drain stops accepting requests and waits until all accepted requests have ended.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		d.active.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop cancels all requests immediately, as a crash of the process would.
func (d *Dispatcher) Stop() { d.stop(errStopped) }

// violated reports a violated invariant.
func (d *Dispatcher) violated(flight *Flight, err error) {
	d.metrics.violations.Inc()
	d.log(flight).Error("invariant violated", "error", err)
	if d.options.OnViolation != nil && errors.Is(err, request.ErrInvariant) {
		d.options.OnViolation(err)
	}
}

// Load returns the number of requests that have not ended, and whether the daemon has
// stopped accepting requests.
func (d *Dispatcher) Load() (inFlight int, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.flights) - len(d.finished), d.draining
}

// Hold retains the finished answer of another daemon's request.
func (d *Dispatcher) Hold(spec request.Spec, tokens []string, last Event) {
	flight := newFlight(spec)
	flight.heldForPeer = true
	flight.tokens = tokens
	flight.publishLocked(last, time.Now())
	d.retain(flight)
}

// maxAnswerTransfers bounds the answers that HandOverAnswers transfers at a time. A peer that does not
// respond delays only some of them.
const maxAnswerTransfers = 16

// HandOverAnswers transfers all finished answers that have not been read to other daemons, until ctx
// ends. Call it after Drain.
func (d *Dispatcher) HandOverAnswers(ctx context.Context) {
	d.mu.Lock()
	finished := append([]*Flight(nil), d.finished...)
	d.mu.Unlock()
	slots := make(chan struct{}, maxAnswerTransfers)
	var transfers sync.WaitGroup
	defer transfers.Wait()
	for i, flight := range finished {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			d.options.Logger.Warn("not all unread answers were handed over", "finished", len(finished), "tried", i, "error", ctx.Err())
			return
		}
		transfers.Go(func() {
			defer func() { <-slots }()
			d.handOverAnswer(ctx, flight)
		})
	}
}
