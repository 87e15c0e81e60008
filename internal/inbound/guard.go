package inbound

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/catalog"
)

// Options configures a Guard.
type Options struct {
	// Listener names the listener in logs and metrics.
	Listener string
	Limits   Limits
	// CallerLimits returns the limits in force on each request. If it is nil, the defaults apply.
	CallerLimits func() catalog.CallerLimits
	// Interruptible means that a request may be ended at any time to make room for another.
	Interruptible bool
	Logger        *slog.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// Guard bounds what the clients of one listener can make the process hold.
type Guard struct {
	options  Options
	ledger   *ledger
	events   *prometheus.CounterVec
	lingers  chan struct{}
	mu       sync.Mutex
	reported map[event]*eventReport
}

// event is something that a Guard counts and logs.
type event string

// The events, as the values of the metric's label.
const (
	closedForConnection event = "connection-closed-for-another"
	closedForMemory     event = "connection-closed-for-memory"
	closedSlowHead      event = "header-timeout"
	closedSlowBody      event = "body-timeout"
	closedUnread        event = "answer-not-read"
	closedStalled       event = "stalled-at-shutdown"
	refusedConnection   event = "connection-refused"
	refusedForMemory    event = "request-refused-for-memory"
	refusedLargeHead    event = "header-too-large"
)

// reasonNoMemory is the reason in the refusals of requests for which there is no memory.
const reasonNoMemory = "too many requests are held"

// eventReport counts the events since the last log line.
type eventReport struct {
	loggedAt time.Time
	since    int
}

// eventLogInterval is the minimum time between two log lines about the same event.
const eventLogInterval = time.Second

// maxLingering bounds the refused connections that are kept open so that their clients get the refusal.
const maxLingering = 16

// NewGuard returns a Guard and registers its metrics.
func NewGuard(options Options) *Guard {
	labels := prometheus.Labels{"listener": options.Listener}
	g := &Guard{
		options: options, ledger: newLedger(options.Limits), lingers: make(chan struct{}, maxLingering), reported: map[event]*eventReport{},
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_inbound_events_total", Help: "Connections and requests of clients that were closed or refused, by event.", ConstLabels: labels,
		}, []string{"event"}),
	}
	if options.Registerer != nil {
		options.Registerer.MustRegister(g.events,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "plankridge_inbound_connections", Help: "Open connections of clients.", ConstLabels: labels,
			}, func() float64 { connections, _ := g.ledger.usage(); return float64(connections) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "plankridge_inbound_held_bytes", Help: "Estimated memory that is held for clients.", ConstLabels: labels,
			}, func() float64 { _, bytes := g.ledger.usage(); return float64(bytes) }),
		)
	}
	return g
}

func (g *Guard) callerLimits() catalog.CallerLimits {
	if g.options.CallerLimits == nil {
		return catalog.CallerLimits{}.WithDefaults()
	}
	return g.options.CallerLimits().WithDefaults()
}

// report counts an event and logs it from time to time.
func (g *Guard) report(e event) {
	g.events.WithLabelValues(string(e)).Inc()
	now := time.Now()
	g.mu.Lock()
	r := g.reported[e]
	if r == nil {
		r = &eventReport{}
		g.reported[e] = r
	}
	r.since++
	count, due := r.since, now.Sub(r.loggedAt) >= eventLogInterval
	if due {
		r.loggedAt, r.since = now, 0
	}
	g.mu.Unlock()
	if !due {
		return
	}
	connections, bytes := g.ledger.usage()
	g.options.Logger.Warn("client closed or refused", "listener", g.options.Listener, "event", string(e), "count", count,
		"connections", connections, "max_connections", g.options.Limits.Connections, "held_bytes", bytes, "max_held_bytes", g.options.Limits.Bytes)
}

// reserve is ledger.reserve with reports.
func (g *Guard) reserve(a *account, n int64, now time.Time) bool {
	if n <= 0 {
		return true
	}
	evicted, ok := g.ledger.reserve(a, n, now)
	for range evicted {
		g.report(closedForMemory)
	}
	if !ok {
		g.report(refusedForMemory)
	}
	return ok
}

// CloseStalled closes connections whose request or answer is behind by maxLag or more, other than those of
// requests that are being served, until the context ends.
func (g *Guard) CloseStalled(ctx context.Context, maxLag time.Duration) {
	ticker := time.NewTicker(maxLag / 4)
	defer ticker.Stop()
	for {
		for range g.ledger.evictStalled(maxLag, time.Now()) {
			g.report(closedStalled)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Listen returns a listener whose connections are accounted.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l.guard)
		if l.guard.admitAccount(&c.account) {
			return c, nil
		}
		l.guard.report(refusedConnection)
		l.guard.refuseConnection(raw)
	}
}

// crowdedPause is the time between two attempts to find a connection that may be closed for a new one.
const crowdedPause = 5 * time.Millisecond

// admitAccount accounts a new connection. While all others still make progress, it waits for one that ends or
// falls behind.
func (g *Guard) admitAccount(a *account) bool {
	for deadline := time.Now().Add(2 * g.options.Limits.MinLag); ; time.Sleep(crowdedPause) {
		now := time.Now()
		switch g.ledger.open(a, now) {
		case admitted:
			return true
		case replaced:
			g.report(closedForConnection)
			return true
		case full:
			return false
		}
		if now.After(deadline) {
			return false
		}
	}
}

// refuseConnection answers a connection whose request is not read, and closes it.
func (g *Guard) refuseConnection(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = conn.Write(refusal(http.StatusServiceUnavailable, "too many connections"))
	select {
	case g.lingers <- struct{}{}:
		go func() {
			linger(conn)
			<-g.lingers
		}()
	default:
		_ = conn.Close()
	}
}

// RetryAfter is when a client that was refused for want of memory or descriptors should come back.
const RetryAfter = time.Second

// refusal returns a response that is written without the HTTP server.
func refusal(status int, reason string) []byte {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(RetryAfter.Seconds()))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s\n",
		status, http.StatusText(status), retry, len(reason)+1, reason)
}
