package dispatch

import (
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
)

// adviceOf returns what takes over what a server's answer to an attempt that begins now says of it.
func (d *Dispatcher) adviceOf(server route.Server) func(advice.Advice) {
	sent := time.Now()
	return func(a advice.Advice) {
		if d.options.Registry.Advised(server.ID, a, sent, time.Now()) && d.options.Advised != nil {
			d.options.Advised()
		}
	}
}

// refuseForServers refuses a request for which no server may be picked.
func (d *Dispatcher) refuseForServers(spec *request.Spec, now time.Time) *Refusal {
	wait, found := d.options.Registry.AtLimit(spec.Service, now)
	if !found {
		return &Refusal{Status: http.StatusServiceUnavailable, Detail: "service has no backend server", RetryAfter: noServerRetry}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Detail: "backend servers are at the limits that they name", RetryAfter: max(backoffBase, wait)}
}
