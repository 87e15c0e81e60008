package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
)

// quarantineRetryAfter is the advice to callers whose request ends the servers that run it: by then somebody
// may have looked at it.
const quarantineRetryAfter = 30 * time.Second

// ContentOf returns what tells requests that ask the same.
func ContentOf(spec *request.Spec) quarantine.Content {
	if spec.Plain != nil {
		return quarantine.ContentOf(spec.Workspace, spec.Plain.Method, spec.Service, spec.Plain.Path, spec.Plain.Body)
	}
	asked, err := json.Marshal(spec.Model)
	if err != nil {
		// Strings, numbers and bytes can always be encoded.
		panic(err)
	}
	return quarantine.ContentOf(spec.Workspace, string(spec.Kind), spec.Service, "", asked)
}

// refuseQuarantined refuses a request that is held back.
func (d *Dispatcher) refuseQuarantined(spec *request.Spec, now time.Time) *Refusal {
	if !d.options.Quarantine.Barred(ContentOf(spec), now) {
		return nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Detail: errEndsServers.Error(), RetryAfter: quarantineRetryAfter}
}

// checkQuarantine reports why a request may not be sent to a server, once more where an attempt has
// broken.
func (d *Dispatcher) checkQuarantine(flight *Flight, now time.Time) error {
	switch {
	case d.options.Quarantine.Barred(flight.content, now):
		return errEndsServers
	case flight.attempts() > 0 && d.options.Quarantine.Doubted(flight.content):
		return errServersEnded
	}
	return nil
}

// reportBroken tells that an attempt has ended with its connection: its server may have ended.
func (d *Dispatcher) reportBroken(flight *Flight, server route.Server, sent, at time.Time) {
	d.options.Quarantine.Broke(watch.Server{
		Key: serverEndKey(server.ID, at), ID: server.ID, Service: flight.spec.Service,
		Ended: func(ctx context.Context) bool { return d.serverEnded(ctx, server.Address) },
	}, quarantine.Lost{Content: flight.content, Sent: sent}, false, at)
}

// serverEndKey names the end of a server. A process that starts again keeps its VM's ID, and the
// list of VMs does not tell its starts apart; the attempts that one end breaks, break within
// milliseconds, and no process is back within a second.
func serverEndKey(id string, at time.Time) quarantine.Server {
	return quarantine.Server(xxhash.Sum64String(id + "/" + strconv.FormatInt(at.Unix(), 10)))
}

// serverEnded asks whether nobody listens any more at a server's address.
func (d *Dispatcher) serverEnded(ctx context.Context, address string) bool {
	if d.options.Dial == nil {
		return false
	}
	conn, err := d.options.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
