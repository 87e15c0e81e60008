// Package detour connects a daemon to backend servers through another daemon while its own links to
// them have failed. The other daemon, the helper, only copies bytes: which server gets a request,
// what it is charged to and whether it may be sent again is decided by the daemon that the caller
// is connected to, so nothing is counted twice. A connection takes at most one detour, because
// helpers connect directly. The design follows docs/design/detours.md.
package detour

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/network"
)

var (
	// errNoHelper means that no other daemon could be asked.
	errNoHelper = errors.New("no other daemon can help")
	// errServerUnreachable means that helpers cannot reach the server either.
	errServerUnreachable = errors.New("other daemons cannot reach the server")
	// errHelperUnavailable means that a helper could not be asked or refused to help.
	errHelperUnavailable = errors.New("helper is not available")
	errNoDeadlines       = errors.New("tunnelled connections support no deadlines")
)

const (
	// maxHelpersAsked is the number of helpers that are asked for one connection.
	maxHelpersAsked = 4
	// maxUnreachableVerdicts is the number of helpers after which a server that none of them
	// reaches is given up, unless this daemon's own link to it is known to have failed.
	maxUnreachableVerdicts = 2
)

// Options configures a Dialer.
type Options struct {
	// VM and Zone identify this daemon.
	VM, Zone string
	// Network opens the direct connections, and those to helpers.
	Network network.Network
	Links   *Links
	// Helpers returns the other daemons that may reach the servers.
	Helpers func(now time.Time) []Helper
	// Timeout bounds a direct attempt.
	Timeout time.Duration
	// OnCutOff is called when a server is found to be cut off from this daemon, and OnAllCutOff when
	// all of them are. Open connections may have failed as well.
	OnCutOff    func(address string)
	OnAllCutOff func()
	Peers       *Peers
	Logger      *slog.Logger
	Registry    prometheus.Registerer
}

// Dialer opens connections to backend servers, directly or through helpers. It implements
// network.Network.
type Dialer struct {
	network.Network
	options Options
	ranking *ranking
	dials   *prometheus.CounterVec

	mu sync.Mutex
	// cutOff is set while the log says that all links have failed.
	cutOff bool
}

// New returns a Dialer.
func New(options Options) *Dialer {
	d := &Dialer{
		Network: options.Network, options: options, ranking: newRanking(options.VM, options.Zone),
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_detour_dials_total", Help: "Connections to backend servers that were tried through another daemon, by result.",
		}, []string{"result"}),
	}
	options.Registry.MustRegister(d.dials)
	return d
}

// Dial implements network.Network. It tries the direct link and a detour, in the order of the plan;
// the second path is tried when the first one fails or is slow, and the first connection wins.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	plan := d.options.Links.Plan(address, time.Now())
	r := newRace(ctx, d, address, plan)
	defer r.finish()
	first, second := r.startDirect, r.startDetour
	if plan.DetourFirst {
		first, second = second, first
	}
	first()
	if plan.ProbeDirect {
		r.startDirect()
	}
	hedge := time.NewTimer(plan.HedgeDelay)
	defer hedge.Stop()
	var direct, other error
	for r.running() {
		select {
		case outcome := <-r.outcomes:
			if outcome.err == nil {
				return outcome.conn, nil
			}
			if outcome.detoured {
				other = outcome.err
			} else {
				direct = outcome.err
			}
			r.ended++
			second()
		case <-hedge.C:
			second()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if direct != nil {
		return nil, direct
	}
	return nil, other
}

// outcome is the result of one path.
type outcome struct {
	detoured bool
	conn     net.Conn
	err      error
}

// race is one Dial over two paths.
type race struct {
	dialer  *Dialer
	address string
	plan    Plan
	// directCtx outlives Dial, so that the direct path's result is recorded after the detour has won
	// or the caller has left. detourCtx ends with Dial.
	directCtx    context.Context
	cancelDirect context.CancelFunc
	detourCtx    context.Context
	cancelDetour context.CancelFunc
	outcomes     chan outcome
	// started and ended count the paths. They are used only by Dial.
	directStarted, detourStarted bool
	started, ended               int

	mu sync.Mutex
	// done is set when Dial has returned.
	done                       bool
	directFailed, detourOpened bool
	pending                    int
}

func newRace(ctx context.Context, d *Dialer, address string, plan Plan) *race {
	r := &race{dialer: d, address: address, plan: plan, outcomes: make(chan outcome, 2)}
	r.directCtx, r.cancelDirect = context.WithTimeout(context.WithoutCancel(ctx), d.options.Timeout)
	r.detourCtx, r.cancelDetour = context.WithCancel(ctx)
	return r
}

func (r *race) running() bool { return r.ended < r.started }

func (r *race) startDirect() {
	if r.directStarted {
		return
	}
	r.directStarted = true
	r.start(false, r.dialDirect)
}

func (r *race) startDetour() {
	if r.detourStarted {
		return
	}
	r.detourStarted = true
	r.start(true, r.dialDetour)
}

func (r *race) start(detoured bool, dial func() (net.Conn, error)) {
	r.started++
	r.mu.Lock()
	r.pending++
	r.mu.Unlock()
	go func() {
		conn, err := dial()
		r.deliver(outcome{detoured: detoured, conn: conn, err: err})
	}()
}

// deliver hands an outcome to Dial, or drops it if Dial has returned.
func (r *race) deliver(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	if r.done {
		if o.err == nil {
			_ = o.conn.Close()
		}
		if r.pending == 0 {
			r.cancelDirect()
		}
		return
	}
	r.outcomes <- o
}

// finish is called when Dial returns. A direct attempt continues, a detour does not.
func (r *race) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.cancelDetour()
	for len(r.outcomes) > 0 {
		if o := <-r.outcomes; o.err == nil {
			_ = o.conn.Close()
		}
	}
	if r.pending == 0 {
		r.cancelDirect()
	}
}

func (r *race) dialDirect() (net.Conn, error) {
	began := time.Now()
	conn, err := r.dialer.options.Network.Dial(r.directCtx, r.address)
	now := time.Now()
	if err == nil {
		r.dialer.options.Links.RecordReached(r.address, now.Sub(began), now)
		r.dialer.logChange(now)
		return conn, nil
	}
	r.recordEvidence(func() { r.directFailed = true }, now)
	return nil, err
}

func (r *race) dialDetour() (net.Conn, error) {
	conn, err := r.dialer.dialDetour(r.detourCtx, r.address, r.plan)
	if err != nil {
		return nil, err
	}
	r.recordEvidence(func() { r.detourOpened = true }, time.Now())
	return conn, nil
}

// recordEvidence applies the outcome of a path. A detour that opens while the direct link fails
// proves that the link is at fault and not the server.
func (r *race) recordEvidence(set func(), now time.Time) {
	r.mu.Lock()
	set()
	cutOff := r.directFailed && r.detourOpened
	r.mu.Unlock()
	if !cutOff {
		return
	}
	r.dialer.options.Links.RecordCutOff(r.address, now)
	r.dialer.options.OnCutOff(r.address)
	r.dialer.logChange(now)
}

// logChange reports when all links are found to have failed, and when one works again.
func (d *Dialer) logChange(now time.Time) {
	cutOff := d.options.Links.AllCutOff(now)
	d.mu.Lock()
	changed := cutOff != d.cutOff
	d.cutOff = cutOff
	d.mu.Unlock()
	switch {
	case changed && cutOff:
		d.options.Logger.Warn("links to the backend servers have failed, connecting through other daemons")
		d.options.OnAllCutOff()
	case changed:
		d.options.Logger.Info("links to the backend servers work again")
	}
}

// Results of a detour, for metrics.
const (
	resultOpened      = "opened"
	resultUnreachable = "unreachable"
	resultNoHelper    = "no_helper"
)

// dialDetour asks helpers for a connection. A further helper is asked when one fails or is slow.
func (d *Dialer) dialDetour(ctx context.Context, address string, plan Plan) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	verdicts := maxUnreachableVerdicts
	if plan.DetourFirst {
		verdicts = maxHelpersAsked
	}
	helpers := d.ranking.order(d.options.Helpers(time.Now()), address, time.Now())
	helpers = helpers[:min(len(helpers), maxHelpersAsked)]
	outcomes := make(chan helperOutcome, len(helpers))
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	started, ended, unreachable := 0, 0, 0
	for started < len(helpers) || ended < started {
		select {
		case <-stagger.C:
			if started < len(helpers) {
				go d.ask(ctx, helpers[started], address, outcomes)
				started++
				stagger.Reset(plan.HedgeDelay)
			}
		case o := <-outcomes:
			ended++
			if o.err == nil {
				go closeOthers(outcomes, started-ended)
				d.dials.WithLabelValues(resultOpened).Inc()
				return o.conn, nil
			}
			if errors.Is(o.err, errServerUnreachable) {
				unreachable++
			}
			if unreachable >= verdicts {
				go closeOthers(outcomes, started-ended)
				d.dials.WithLabelValues(resultUnreachable).Inc()
				return nil, errServerUnreachable
			}
			stagger.Reset(0)
		case <-ctx.Done():
			go closeOthers(outcomes, started-ended)
			return nil, ctx.Err()
		}
	}
	if unreachable > 0 {
		d.dials.WithLabelValues(resultUnreachable).Inc()
		return nil, errServerUnreachable
	}
	d.dials.WithLabelValues(resultNoHelper).Inc()
	return nil, errNoHelper
}

// helperOutcome is the answer of one helper.
type helperOutcome struct {
	conn *Conn
	err  error
}

// closeOthers closes the connections of helpers that answer too late.
func closeOthers(outcomes <-chan helperOutcome, count int) {
	for range count {
		if o := <-outcomes; o.err == nil {
			_ = o.conn.Close()
		}
	}
}

func (d *Dialer) ask(ctx context.Context, helper Helper, address string, outcomes chan<- helperOutcome) {
	conn, err := d.options.Peers.connect(ctx, helper, address)
	switch {
	case err == nil:
		d.ranking.recordSuccess(helper.VM)
	case errors.Is(err, errHelperUnavailable):
		d.ranking.recordFailure(helper.VM, time.Now())
		d.options.Logger.Debug("helper cannot open a connection", "helper", helper.VM, "server_address", address, "error", err)
	}
	outcomes <- helperOutcome{conn, err}
}
