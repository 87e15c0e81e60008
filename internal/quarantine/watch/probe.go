package watch

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
)

const (
	// probeDelay is the time from the break of an attempt to the probe of its server. A process
	// that dies closes its connections one after the other, its listener among them.
	probeDelay = 30 * time.Millisecond
	// probeTimeout bounds a probe. A connection opens within some milliseconds, or 200 ms more
	// where a packet is lost. A server behind a network partition does not answer, which proves
	// nothing.
	probeTimeout = 400 * time.Millisecond
)

// Server is a backend server at which an attempt broke.
type Server struct {
	// Key identifies this incarnation of the server.
	Key         quarantine.ServerInstance
	ID, Service string
	// StartedMs is the start time in milliseconds since 1970, or zero where it is not known.
	StartedMs int64
	// Exited reports whether the process has exited. It returns false where that cannot be
	// determined.
	Exited func(ctx context.Context) bool
}

// suspectedExit is a server that may have exited, with the requests of this daemon that it ran.
type suspectedExit struct {
	server Server
	lost   []quarantine.LostRequest
	// brokeAt is when the first attempt broke.
	brokeAt time.Time
	// confirmed is set where a later incarnation of the server is known, so that this one has
	// exited.
	confirmed bool
}

// pendingProbes holds the servers that are due to be probed.
type pendingProbes struct {
	mu       sync.Mutex
	byServer map[quarantine.ServerInstance]*suspectedExit
}

// RecordBrokenAttempt records that an attempt broke at a server. After probeDelay the server is
// probed to distinguish its exit from a broken connection, once for all attempts that broke
// there. confirmed is set where the server is known to have exited.
func (w *Watcher) RecordBrokenAttempt(server Server, lost quarantine.LostRequest, confirmed bool, brokeAt time.Time) {
	w.probes.mu.Lock()
	defer w.probes.mu.Unlock()
	exit := w.probes.byServer[server.Key]
	if exit == nil {
		exit = &suspectedExit{server: server, brokeAt: brokeAt}
		w.probes.byServer[server.Key] = exit
		time.AfterFunc(probeDelay, func() { w.probe(server) })
	}
	exit.lost = append(exit.lost, lost)
	exit.confirmed = exit.confirmed || confirmed
}

// probe checks whether a server has exited and records the exit.
func (w *Watcher) probe(server Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	exited := server.Exited(ctx)
	w.probes.mu.Lock()
	exit := *w.probes.byServer[server.Key]
	delete(w.probes.byServer, server.Key)
	w.probes.mu.Unlock()
	if exited || exit.confirmed {
		w.recordExit(exit)
	}
}

func (e *suspectedExit) log(logger *slog.Logger) {
	var contents, parts []quarantine.Digest
	for _, lost := range e.lost {
		contents = append(contents, lost.Content)
		parts = append(parts, lost.Parts...)
	}
	slices.Sort(parts)
	logger.Warn("server has ended under requests", "server", e.server.ID, "service", e.server.Service,
		"born_ms", e.server.StartedMs, "requests", len(e.lost), "contents", quarantine.FormatDigests(contents), "parts", quarantine.FormatDigests(slices.Compact(parts)))
}
