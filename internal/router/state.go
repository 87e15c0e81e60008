package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/firsttry"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/rollup"
	"github.com/plankridge/plankridge/internal/usage"
	"github.com/plankridge/plankridge/platform"
)

// state is what the daemon believes.
type state struct {
	router  *Router
	view    *backend.View
	limiter *allowances
	ledger  *usage.Ledger
	demand  *demand.Meter
	limits  *firsttry.CallerTimeouts
	// quarantine holds back requests that end servers.
	quarantine *watch.Watcher
	catalog    atomic.Pointer[catalog.Catalog]
	started    time.Time
	// configured is closed with the first configuration.
	configured chan struct{}

	// sums are over what daemons report here.
	sums *rollup.Aggregator

	mu sync.Mutex
	// listing are the backend servers, as peers exchange them.
	listing *listing
	// provenAt is when the store was last known to list just the servers that this daemon
	// believes in, failingAt when it last gave no answer, and storeBackAt when it came back.
	provenAt    time.Time
	failingAt   time.Time
	storeBackAt time.Time
	// unreachedAt is when the store was last found to be out of reach, or zero once it has
	// answered since.
	unreachedAt time.Time
	// historyGoneAt is when the store was last found to have dropped its history, by this daemon or
	// another one, and historyGoneFoundAt when by this one.
	historyGoneAt, historyGoneFoundAt time.Time
	// answered is set once the store has answered since this daemon follows it.
	answered bool
	// differs is since when each peer that is ahead shows other servers.
	differs map[string]time.Time
	// wantAll is set when the changes that a peer tells do not make the lists alike.
	wantAll bool
	// summedAt is when this daemon last took over its own sums. It is used by the
	// goroutine that reads datagrams alone.
	summedAt time.Time
	// sent holds what this daemon itself had used, by the sequence of the report.
	sent map[uint64]rollup.Counts
	lead leadAccount

	// packedLists are packed forms of the list of servers, the newest first.
	packedLists []packedList

	// packing guards the packed form of the configuration in force.
	packing       sync.Mutex
	packed        []byte
	packedVersion int64

	// told is the number of daemons that a lead told of, at toldAt.
	told   int
	toldAt time.Time
}

// failingFor is how long the store counts as failing after the last call without
// an answer. A daemon that leaves the store to another one tries again then.
const failingFor = 5 * time.Second

// storeFailing reports whether the store does not answer this daemon; the caller
// holds the lock.
func (s *state) storeFailing() bool {
	return !s.failingAt.IsZero() && time.Since(s.failingAt) < failingFor
}

// outOfReach notes that the store does not reach this daemon.
func (s *state) outOfReach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachedAt = time.Now()
}

// unreached reports whether the store is out of reach, or does not answer. The caller holds the
// lock.
func (s *state) unreached() bool {
	return s.storeFailing() || (!s.unreachedAt.IsZero() && time.Since(s.unreachedAt) < failingFor)
}

func newState(r *Router) *state {
	now := time.Now()
	view := backend.NewView()
	view.SetDrainBound(r.settings.Bounds.EffectiveLeavingLimit())
	limiter := newAllowances(toleranceOf(r.settings.Bounds), r.logger, r.soon)
	view.SetLimiter(serverLimits{limiter})
	return &state{
		router: r, view: view, limiter: limiter, ledger: newLedger(r.settings),
		demand: demand.NewMeter(), limits: firsttry.NewCallerTimeouts(), sums: rollup.New(), sent: map[uint64]rollup.Counts{},
		quarantine: r.newQuarantine(), started: now, configured: make(chan struct{}), listing: newListing(), differs: map[string]time.Time{},
	}
}

func toleranceOf(b config.RouterBounds) allowance.Tolerance {
	return allowance.Tolerance{Window: b.QuotaWindow.Std(), Fraction: b.QuotaOverShare, Tokens: b.QuotaSlackTokens}
}

// Catalog returns the configuration in force, or nil.
func (s *state) Catalog() *catalog.Catalog { return s.catalog.Load() }

// Demand returns the number of engines that the present demand of a service
// keeps busy, as far as daemons are heard.
func (s *state) Demand(service string) demand.Load {
	now := time.Now()
	own := s.demand.Rates(now)[service]
	if s.listens(now) == "" {
		return own.Add(s.sums.Others(now).Demand[service])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return own.Add(s.lead.demand[service].Minus(s.lead.without[service]))
}

// failing reports whether the store does not answer this daemon, or does not reach it.
func (s *state) failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreached()
}

// takeConfig puts a configuration in force unless it is older than the present
// one.
func (s *state) takeConfig(raw []byte, source string) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		s.router.bad.note(err, time.Now())
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
	for name, service := range c.Services {
		if service.Scaling != nil {
			s.demand.SetBootTime(name, service.Scaling.BootTime, time.Now())
		}
	}
	s.view.SetTraits(traits)
	s.limiter.applyCatalog(c)
	c.AppliedAt = time.Now()
	s.catalog.Store(c)
	if before == nil {
		close(s.configured)
	}
	s.router.logger.Info("configuration in force", "config_version", c.Version, "source", source, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
	s.router.useVersions(time.Now())
	s.router.node.TriggerReport()
}

// traitsOf returns what the configuration says of a service's engines.
func traitsOf(engine catalog.Engine) backend.Traits {
	traits := backend.Traits{CacheTokens: engine.CacheTokens, EventTokens: engine.EventTokens}
	if engine.KVBytesPerToken > 0 {
		traits.FetchRate = engine.LinkBytesPerSecond / float64(engine.KVBytesPerToken)
	}
	return traits
}
