package watch

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
)

const (
	// probeDelay is how long after an attempt broke its server is asked whether it has ended: a
	// process that dies closes its connections one after the other, its listener among them.
	probeDelay = 30 * time.Millisecond
	// probeTimeout bounds the question: a connection opens within some milliseconds, or 200 ms more
	// where a packet is lost. A server behind a cut does not answer, which says nothing.
	probeTimeout = 400 * time.Millisecond
	// maxLoggedRequests bounds the requests that a log line names.
	maxLoggedRequests = 8
)

// Server is a backend server at which an attempt broke.
type Server struct {
	// Key names this start of it.
	Key         quarantine.ServerInstance
	ID, Service string
	// StartedMs is the start, in milliseconds since 1970, or zero where it is not known.
	StartedMs int64
	// Exited asks whether the process has ended. Where that cannot be found out it has not.
	Exited func(ctx context.Context) bool
}

// suspectedExit is a server that may have ended, with the requests that it had of this daemon.
type suspectedExit struct {
	server Server
	lost   []quarantine.LostRequest
	// brokeAt is when the first attempt broke.
	brokeAt time.Time
	// confirmed is set where a later incarnation was heard of: this one has ended.
	confirmed bool
}

// pendingProbes are servers that are about to be asked.
type pendingProbes struct {
	mu       sync.Mutex
	byServer map[quarantine.ServerInstance]*suspectedExit
}

// RecordBrokenAttempt notes that an attempt broke at a server, which is asked soon whether it has ended, or
// the connection alone. All attempts that break at a server are asked for once. certain is set
// where the server is known to have ended.
func (w *Watcher) RecordBrokenAttempt(server Server, lost quarantine.LostRequest, certain bool, at time.Time) {
	w.probes.mu.Lock()
	defer w.probes.mu.Unlock()
	e := w.probes.byServer[server.Key]
	if e == nil {
		e = &suspectedExit{server: server, brokeAt: at}
		w.probes.byServer[server.Key] = e
		time.AfterFunc(probeDelay, func() { w.probe(server) })
	}
	e.lost = append(e.lost, lost)
	e.confirmed = e.confirmed || certain
}

// probe asks a server whether it has ended.
func (w *Watcher) probe(server Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ended := server.Exited(ctx)
	w.probes.mu.Lock()
	e := *w.probes.byServer[server.Key]
	delete(w.probes.byServer, server.Key)
	w.probes.mu.Unlock()
	if ended || e.confirmed {
		w.recordExit(e)
	}
}

func (e *suspectedExit) log(logger *slog.Logger) {
	var names []string
	for _, lost := range e.lost[:min(maxLoggedRequests, len(e.lost))] {
		names = append(names, lost.Digest.String())
	}
	logger.Warn("server has ended under requests", "server", e.server.ID, "service", e.server.Service,
		"born_ms", e.server.StartedMs, "requests", len(e.lost), "contents", strings.Join(names, " "))
}
