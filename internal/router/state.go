package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plankridge/plankridge/internal/admission"
	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/firsttry"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/retrybudget"
	"github.com/plankridge/plankridge/internal/rollup"
	"github.com/plankridge/plankridge/internal/usage"
	"github.com/plankridge/plankridge/platform"
)

// state is the daemon's view of the deployment.
type state struct {
	router         *Router
	view           *backend.View
	limiter        *limiters
	ledger         *usage.Ledger
	demand         *demand.Meter
	demandHistory  *demand.History
	firstTryLimits *firsttry.CallerTimeouts
	streamVersions *streamVersions
	admission      *admission.Controller
	// quarantine detects and blocks poison requests.
	quarantine *watch.Watcher
	catalog    atomic.Pointer[catalog.Catalog]
	started    time.Time
	// configured is closed when the first configuration is applied.
	configured chan struct{}

	// isRelay and isLeader hold this daemon's role as of its last report.
	isRelay, isLeader atomic.Bool

	// aggregator adds up the reports of other daemons.
	aggregator *rollup.Aggregator

	mu sync.Mutex
	// serverList is the list of backend servers in the form that peers exchange.
	serverList *serverList
	// listConfirmedAt is when the store was last known to list exactly the servers that this daemon
	// has. storeFailedAt is when a call to the store last got no answer, and storeReturnedAt when
	// the store last returned from an outage.
	listConfirmedAt time.Time
	storeFailedAt   time.Time
	storeReturnedAt time.Time
	// storeUnreachableAt is when a probe last found the store unreachable, or zero if the store has
	// answered since.
	storeUnreachableAt time.Time
	// compactedAt is when any daemon last detected that the store had dropped its history, and
	// compactionDetectedAt when this daemon did.
	compactedAt, compactionDetectedAt time.Time
	// storeAnswered is set once the store has answered since this daemon started to follow it.
	storeAnswered bool
	// differsSince is since when the list of each peer that is ahead differs, by VM.
	differsSince map[string]time.Time
	// pullFullList is set if the changes from a peer did not make the lists equal.
	pullFullList bool
	// ownSumsAt is when this daemon last applied its own sums. It is used only by the goroutine
	// that reads datagrams.
	ownSumsAt time.Time
	// levelsAt is when the admission levels were last updated. It is guarded by levelsMu.
	levelsMu sync.Mutex
	levelsAt time.Time
	// sentCounts holds this daemon's own counts by the sequence number of the report that contained
	// them.
	sentCounts map[uint64]rollup.Counts
	leader     leaderTotals

	// packedLists caches compressed lists of servers, newest first.
	packedLists []packedList

	// packedConfigMu guards the cached compressed configuration.
	packedConfigMu      sync.Mutex
	packedConfigBytes   []byte
	packedConfigVersion int64

	// reportedDaemons is the number of daemons that a leader reported at reportedDaemonsAt.
	reportedDaemons   int
	reportedDaemonsAt time.Time
}

// storeFailingFor is how long the store counts as failing after a call without an answer. A daemon
// that has handed the store over to another one tries again after that.
const storeFailingFor = 5 * time.Second

// storeFailingLocked reports whether the store does not answer this daemon. The caller holds the
// lock.
func (s *state) storeFailingLocked() bool {
	return !s.storeFailedAt.IsZero() && time.Since(s.storeFailedAt) < storeFailingFor
}

// recordUnreachable records that a probe found the store unreachable.
func (s *state) recordUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUnreachableAt = time.Now()
}

// storeUnavailableLocked reports whether the store does not answer or is unreachable. The caller
// holds the lock.
func (s *state) storeUnavailableLocked() bool {
	return s.storeFailingLocked() || (!s.storeUnreachableAt.IsZero() && time.Since(s.storeUnreachableAt) < storeFailingFor)
}

func newState(r *Router) *state {
	now := time.Now()
	view := backend.NewView()
	view.SetDrainBound(r.settings.Bounds.EffectiveDrainBound())
	limiter := newLimiters(toleranceOf(r.settings.Bounds), retryBounds(r.settings.Bounds), r.logger, r.triggerReport)
	view.SetLimiter(serverLimits{limiter})
	listen := r.settings.Listen
	return &state{
		router: r, view: view, limiter: limiter, ledger: newLedger(r.settings),
		demand: demand.NewMeter(), demandHistory: demand.NewHistory(), admission: admission.NewController(), firstTryLimits: firsttry.NewCallerTimeouts(), aggregator: rollup.New(), sentCounts: map[uint64]rollup.Counts{},
		streamVersions: newStreamVersions(r), quarantine: r.newQuarantine(), started: now, configured: make(chan struct{}), serverList: newServerList(listen.Callers, listen.Readiness, listen.Peers, listen.Metrics), differsSince: map[string]time.Time{},
	}
}

func toleranceOf(b config.RouterBounds) allowance.Tolerance {
	return allowance.Tolerance{Window: b.QuotaWindow.Std(), Fraction: b.QuotaOverShare, Tokens: b.QuotaSlackTokens}
}

func retryBounds(b config.RouterBounds) retrybudget.Bounds {
	return retrybudget.Bounds{RetryRatio: b.RetryRatio, ExtraRetries: b.RetryExtra, Window: b.RetryWindow.Std()}
}

// Catalog returns the configuration in force, or nil.
func (s *state) Catalog() *catalog.Catalog { return s.catalog.Load() }

// storeUnavailable reports whether the store does not answer this daemon or is unreachable.
func (s *state) storeUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUnavailableLocked()
}

// applyConfig puts a configuration in force if it is newer than the current one.
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
	ranked := rankedServices(c)
	for name, service := range c.Services {
		if service.Engine != nil {
			traits[name] = traitsOf(*service.Engine, ranked[name])
		}
	}
	for name, service := range c.Services {
		if service.Scaling != nil {
			s.demand.SetBootTime(name, service.Scaling.BootTime, time.Now())
		}
	}
	s.view.SetTraits(traits)
	s.admission.SetServices(rankedEngines(c, ranked))
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

// traitsOf returns the configured traits of a service's engines.
func traitsOf(engine catalog.Engine, ranked bool) backend.Traits {
	traits := backend.Traits{CacheTokens: engine.CacheTokens, Slots: engine.Slots, EventTokens: engine.EventTokens, Ranked: ranked}
	if engine.KVBytesPerToken > 0 {
		traits.FetchRate = engine.LinkBytesPerSecond / float64(engine.KVBytesPerToken)
	}
	return traits
}
