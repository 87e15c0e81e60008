package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/detour"
	"github.com/plankridge/plankridge/internal/network"
)

// newDialer returns the dialer for connections to backend servers.
func (r *Router) newDialer(n network.Network) *detour.Dialer {
	return detour.New(detour.Options{
		VM: r.settings.VM.ID, Zone: r.settings.VM.Zone, Network: n, Links: r.links, Peers: r.detourPeers,
		Timeout: dialTimeout,
		Helpers: r.helpers,
		OnCutOff: func(address string) {
			r.pool.CloseIdle(address)
		},
		OnAllCutOff: func() {
			r.pool.CloseAllIdle()
			r.node.TriggerReport()
		},
		Logger: r.logger, Registry: r.metrics,
	})
}

// helpers returns the other daemons that may reach the backend servers.
func (r *Router) helpers(now time.Time) []detour.Helper {
	peers := r.members.Helpers(now)
	helpers := make([]detour.Helper, 0, len(peers))
	for _, p := range peers {
		helpers = append(helpers, detour.Helper{VM: p.VM, Zone: p.Zone, Address: p.Address})
	}
	return helpers
}
