package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/inbound"
)

// buildGuards creates the guards of callers and peers.
func (r *Router) buildGuards() {
	resources := r.settings.VM.Resources()
	r.callerGuard = r.newGuard("callers", resources.Callers(), func() catalog.CallerLimits {
		if c := r.state.Catalog(); c != nil {
			return c.Limits
		}
		return catalog.CallerLimits{}
	})
	r.peerGuard = r.newGuard("peers", resources.Peers(), nil)
}

func (r *Router) newGuard(listener string, limits inbound.Limits, callerLimits func() catalog.CallerLimits) *inbound.Guard {
	return inbound.NewGuard(inbound.Options{
		Listener: listener, Limits: limits, CallerLimits: callerLimits, Logger: r.logger, Registerer: r.metrics,
	})
}

// newStatusGuard returns the guard of a listener for readiness checks or metrics.
func (r *Router) newStatusGuard(listener string) *inbound.Guard {
	return inbound.NewGuard(inbound.Options{
		Listener: listener, Limits: r.settings.VM.Resources().Status(), CallerLimits: statusLimits, Interruptible: true,
		Logger: r.logger, Registerer: r.metrics,
	})
}

// statusLimits are the limits on requests for readiness and metrics.
func statusLimits() catalog.CallerLimits {
	return catalog.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 1, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second}
}
