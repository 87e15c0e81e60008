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
	router         *Router
	view           *backend.View
	limiter        *limiters
	ledger         *usage.Ledger
	demand         *demand.Meter
	firstTryLimits *firsttry.CallerTimeouts
	// quarantine holds back requests that end servers.
	quarantine *watch.Watcher
	catalog    atomic.Pointer[catalog.Catalog]
	started    time.Time
	// configured is closed with the first configuration.
	configured chan struct{}

	// aggregator are over what daemons report here.
	aggregator *rollup.Aggregator

	mu sync.Mutex
	// serverList are the backend servers, as peers exchange them.
	serverList *serverList
	// listConfirmedAt is when the store was last known to list just the servers that this daemon
	// believes in, storeFailedAt when it last gave no answer, and storeReturnedAt when it came back.
	listConfirmedAt time.Time
	storeFailedAt   time.Time
	storeReturnedAt time.Time
	// storeUnreachableAt is when the store was last found to be out of reach, or zero once it has
	// answered since.
	storeUnreachableAt time.Time
	// compactedAt is when the store was last found to have dropped its history, by this daemon or
	// another one, and compactionDetectedAt when by this one.
	compactedAt, compactionDetectedAt time.Time
	// storeAnswered is set once the store has answered since this daemon follows it.
	storeAnswered bool
	// differsSince is since when each peer that is ahead shows other servers.
	differsSince map[string]time.Time
	// pullFullList is set when the changes that a peer tells do not make the lists alike.
	pullFullList bool
	// ownSumsAt is when this daemon last took over its own sums. It is used by the
	// goroutine that reads datagrams alone.
	ownSumsAt time.Time
	// sentCounts holds what this daemon itself had used, by the sequence of the report.
	sentCounts map[uint64]rollup.Counts
	leader     leaderTotals

	// packedLists are packed forms of the list of servers, the newest first.
	packedLists []packedList

	// packedConfigMu guards the packed form of the configuration in force.
	packedConfigMu      sync.Mutex
	packedConfigBytes   []byte
	packedConfigVersion int64

	// reportedDaemons is the number of daemons that a lead told of, at reportedDaemonsAt.
	reportedDaemons   int
	reportedDaemonsAt time.Time
}

// storeFailingFor is how long the store counts as failing after the last call without
// an answer. A daemon that leaves the store to another one tries again then.
const storeFailingFor = 5 * time.Second

// storeFailingLocked reports whether the store does not answer this daemon; the caller
// holds the lock.
func (s *state) storeFailingLocked() bool {
	return !s.storeFailedAt.IsZero() && time.Since(s.storeFailedAt) < storeFailingFor
}

// recordUnreachable notes that the store does not reach this daemon.
func (s *state) recordUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUnreachableAt = time.Now()
}

// storeUnavailableLocked reports whether the store is out of reach, or does not answer. The caller holds the
// lock.
func (s *state) storeUnavailableLocked() bool {
	return s.storeFailingLocked() || (!s.storeUnreachableAt.IsZero() && time.Since(s.storeUnreachableAt) < storeFailingFor)
}

func newState(r *Router) *state {
	now := time.Now()
	view := backend.NewView()
	view.SetDrainBound(r.settings.Bounds.EffectiveLeavingLimit())
	limiter := newLimiters(toleranceOf(r.settings.Bounds), r.logger, r.triggerReport)
	view.SetLimiter(serverLimits{limiter})
	return &state{
		router: r, view: view, limiter: limiter, ledger: newLedger(r.settings),
		demand: demand.NewMeter(), firstTryLimits: firsttry.NewCallerTimeouts(), aggregator: rollup.New(), sentCounts: map[uint64]rollup.Counts{},
		quarantine: r.newQuarantine(), started: now, configured: make(chan struct{}), serverList: newServerList(), differsSince: map[string]time.Time{},
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
	if s.currentLeader(now) == "" {
		return own.Add(s.aggregator.Others(now).Demand[service])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return own.Add(s.leader.demand[service].Minus(s.leader.ownDemand[service]))
}

// storeUnavailable reports whether the store does not answer this daemon, or does not reach it.
func (s *state) storeUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUnavailableLocked()
}

// applyConfig puts a configuration in force unless it is older than the present
// one.
func (s *state) applyConfig(raw []byte, source string) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		s.router.badObjects.record(err, time.Now())
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
	s.router.applyVersions(time.Now())
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
