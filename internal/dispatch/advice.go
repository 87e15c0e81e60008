package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
)

// adviceHandler returns a handler for the load advice in the response to an attempt that begins now.
func (d *Dispatcher) adviceHandler(server route.Server) func(advice.Advice) {
	sent := time.Now()
	return func(a advice.Advice) {
		if !d.options.Registry.ApplyAdvice(server.ID, a, sent, time.Now()) {
			return
		}
		d.notifyAdvice()
		if a.Leaving {
			go d.awaitRestart(server)
		}
	}
}

// notifyAdvice reports a change of advice to other daemons.
func (d *Dispatcher) notifyAdvice() {
	if d.options.OnAdviceChanged != nil {
		d.options.OnAdviceChanged()
	}
}

// restartPollInterval is the time between two checks whether the process of a leaving server
// has ended or was replaced by another one.
const restartPollInterval = time.Second

// awaitRestart waits until the process of a leaving server has ended and another process
// listens at its address. The VM list does not show this.
func (d *Dispatcher) awaitRestart(server route.Server) {
	ended := false
	ticker := time.NewTicker(restartPollInterval)
	defer ticker.Stop()
	for d.options.Registry.AnnouncedLeaving(server.ID, time.Now()) {
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
		listens := d.isListening(server.Address)
		if ended && listens {
			if d.options.Registry.RecordRestart(server.ID, time.Now()) {
				d.notifyAdvice()
			}
			return
		}
		ended = ended || !listens
	}
}

// isListening reports whether a process listens at an address.
func (d *Dispatcher) isListening(address string) bool {
	if d.options.Dial == nil {
		return true
	}
	ctx, stop := context.WithTimeout(d.ctx, restartPollInterval)
	defer stop()
	conn, err := d.options.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// refuseNoServer refuses a request for which no server can be picked.
func (d *Dispatcher) refuseNoServer(spec *request.Spec, now time.Time) *Refusal {
	wait, found := d.options.Registry.RetryAfter(spec.Service, now)
	if !found {
		return &Refusal{Status: http.StatusServiceUnavailable, Detail: "service has no backend server", RetryAfter: noServerRetryAfter}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Detail: "backend servers rest or are at the limits that they name", RetryAfter: max(backoffBase, wait)}
}
