package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
)

// adviceOf returns the handler of the advice in the response to an attempt that begins now.
func (d *Dispatcher) adviceOf(server route.Server) func(advice.Advice) {
	sent := time.Now()
	return func(a advice.Advice) {
		if !d.options.Registry.Advised(server.ID, a, sent, time.Now()) {
			return
		}
		d.advised()
		if a.Leaving {
			go d.awaitReturn(server)
		}
	}
}

// advised informs other daemons.
func (d *Dispatcher) advised() {
	if d.options.Advised != nil {
		d.options.Advised()
	}
}

// returnPoll is the time between two looks at whether a server that leaves has ended, or another
// process has taken its place.
const returnPoll = time.Second

// awaitReturn waits until the process of a server that leaves has ended and another one listens in
// its place, which the list of VMs does not tell.
func (d *Dispatcher) awaitReturn(server route.Server) {
	ended := false
	ticker := time.NewTicker(returnPoll)
	defer ticker.Stop()
	for d.options.Registry.AnnouncedLeaving(server.ID, time.Now()) {
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
		listens := d.listens(server.Address)
		if ended && listens {
			if d.options.Registry.Returned(server.ID, time.Now()) {
				d.advised()
			}
			return
		}
		ended = ended || !listens
	}
}

// listens reports whether a process listens at a server's address.
func (d *Dispatcher) listens(address string) bool {
	if d.options.Dial == nil {
		return true
	}
	ctx, stop := context.WithTimeout(d.ctx, returnPoll)
	defer stop()
	conn, err := d.options.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// refuseForServers refuses a request for which no server may be picked.
func (d *Dispatcher) refuseForServers(spec *request.Spec, now time.Time) *Refusal {
	wait, found := d.options.Registry.AtLimit(spec.Service, now)
	if !found {
		return &Refusal{Status: http.StatusServiceUnavailable, Detail: "service has no backend server", RetryAfter: noServerRetry}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Detail: "backend servers rest or are at the limits that they name", RetryAfter: max(backoffBase, wait)}
}
