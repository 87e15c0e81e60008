package router

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/usage"
	"github.com/plankridge/plankridge/platform"
)

const (
	// prefillRate is in prompt tokens per second of one engine. The
	// configuration does not state it; both users' sheets give 32.4 a ms.
	prefillRate = 32_400
	// windowsTold is the number of windows of usage in a report to peers: one
	// that runs and two that are being settled.
	windowsTold = 3
)

// state is what the daemon believes.
type state struct {
	router  *Router
	view    *backend.View
	limiter *allowance.Limiter
	ledger  *usage.Ledger
	demand  *demand.Meter
	catalog atomic.Pointer[catalog.Catalog]
	started time.Time

	mu sync.Mutex
	// specs are the entries of the backend servers, as peers exchange them.
	specs           map[string]json.RawMessage
	serversRevision int64
	serversDigest   uint64
	// seenAt is when the store last told of the servers.
	seenAt       time.Time
	storeFailing bool
	// differs is since when each peer that is ahead shows other servers.
	differs      map[string]time.Time
	remoteDemand map[string]remoteDemand
}

func newState(r *Router) *state {
	now := time.Now()
	return &state{
		router: r, view: backend.NewView(), limiter: allowance.NewLimiter(toleranceOf(r.settings.Bounds), now), ledger: newLedger(r.settings),
		demand: demand.NewMeter(), remoteDemand: map[string]remoteDemand{},
		started: now, specs: map[string]json.RawMessage{}, differs: map[string]time.Time{},
	}
}

func toleranceOf(b config.RouterBounds) allowance.Tolerance {
	return allowance.Tolerance{Window: b.QuotaWindow.Std(), Over: b.QuotaOver, Tokens: b.QuotaSlack}
}

// Catalog returns the configuration in force, or nil.
func (s *state) Catalog() *catalog.Catalog { return s.catalog.Load() }

// Demand returns the number of engines that the present demand of a service
// keeps busy with reading prompts, as far as daemons are heard.
func (s *state) Demand(service string) float64 {
	now := time.Now()
	unread := s.demand.Rates(now)[service].Unread
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, d := range s.remoteDemand {
		if now.Sub(d.at) > demandFor {
			delete(s.remoteDemand, vm)
			continue
		}
		unread += d.unread[service]
	}
	return unread / prefillRate
}

// remoteDemand is what a peer is asked for.
type remoteDemand struct {
	at     time.Time
	unread map[string]float64
}

// demandFor is how long a peer's last report of demand counts.
const demandFor = 3 * time.Second

// failing reports whether the store does not answer this daemon.
func (s *state) failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeFailing
}

// takeConfig puts a configuration in force unless it is older than the present
// one.
func (s *state) takeConfig(raw []byte, source string) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		s.router.logger.Error("configuration cannot be decoded", "source", source, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Catalog()
	if before != nil && c.Version <= before.Version {
		return
	}
	traits := map[string]backend.Traits{}
	for name, service := range c.Services {
		if service.Engine != nil {
			traits[name] = traitsOf(*service.Engine)
		}
	}
	s.view.SetTraits(traits)
	s.limiter.ApplyCatalog(c, time.Now())
	c.TakenAt = time.Now()
	s.catalog.Store(c)
	s.router.logger.Info("configuration in force", "config_version", c.Version, "source", source, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
	s.router.node.Soon()
}

// traitsOf returns what the configuration says of a service's engines.
func traitsOf(engine catalog.Engine) backend.Traits {
	traits := backend.Traits{CacheTokens: engine.CacheTokens, PrefillRate: prefillRate}
	if engine.TokenBytes > 0 {
		traits.FetchRate = engine.LinkBytes / float64(engine.TokenBytes)
	}
	return traits
}
