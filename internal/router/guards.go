package router

import (
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/inbound"
)

// buildGuards creates the guard of callers.
func (r *Router) buildGuards() {
	resources := r.settings.VM.Resources()
	r.callerGuard = r.newGuard("callers", resources.Callers(), func() catalog.CallerLimits {
		if c := r.state.Catalog(); c != nil {
			return c.Limits
		}
		return catalog.CallerLimits{}
	})
}

func (r *Router) newGuard(listener string, limits inbound.Limits, callerLimits func() catalog.CallerLimits) *inbound.Guard {
	return inbound.NewGuard(inbound.Options{
		Listener: listener, Limits: limits, CallerLimits: callerLimits, Logger: r.logger, Registerer: r.metrics,
	})
}
