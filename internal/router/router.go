// Package router assembles the daemon that serves on the users' platform: the ingress for callers,
// the followers of the store, the gossip between daemons, and the duties of the lease holder.
package router

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/detour"
	"github.com/plankridge/plankridge/internal/duty"
	"github.com/plankridge/plankridge/internal/forward"
	"github.com/plankridge/plankridge/internal/gossip"
	"github.com/plankridge/plankridge/internal/inbound"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/rollout"
	"github.com/plankridge/plankridge/internal/steady"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/upstream"
	"github.com/plankridge/plankridge/internal/usage"
	"github.com/plankridge/plankridge/platform"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server. Links have a latency of a
	// few milliseconds, and a lost packet is sent again after 200 ms or more.
	dialTimeout = 350 * time.Millisecond
	// housekeepingInterval is the time between two runs of housekeep.
	housekeepingInterval = time.Second
	// engineLogInterval is the time between two log lines with the learned engine estimates.
	engineLogInterval = 10 * time.Second
)

// Options configures a Router.
type Options struct {
	Settings config.RouterSettings
	Network  network.Network
	Logger   *slog.Logger
	// OnViolation is called when an invariant is violated. Tests make it fatal.
	OnViolation func(error)
}

// Router is the daemon of one entry VM on the users' platform.
type Router struct {
	settings    config.RouterSettings
	logger      *slog.Logger
	incarnation uint64
	metrics     *prometheus.Registry

	state *state
	pool  *upstream.Pool
	// links is the state of this daemon's links to the backend servers. detours opens connections to
	// these for other daemons, and detourPeers holds the connections to daemons that do so for this one.
	links          *detour.Links
	detours        *detour.Server
	detourPeers    *detour.Peers
	objectStore    store.Store
	members        *gossip.Members
	node           *gossip.Node
	elector        *duty.Elector
	configFollower *store.Follower
	serverFollower *store.Follower
	// registered is set once this daemon knows the others.
	registered atomic.Bool
	// ranBefore is set, before registered, if daemons of the deployment have run before this one started.
	ranBefore atomic.Bool
	// peersLearned receives a value when registered is set, so that the roles are evaluated at
	// once. After all daemons have restarted, a daemon knows the others 15 to 60 ms after its
	// start, while the next regular evaluation is at 100 ms.
	peersLearned chan struct{}
	following    atomic.Bool
	sentinel     atomic.Bool
	// unfollowedSince is since when no daemon of the zone is known to follow the store, or zero. It
	// is used only by watchRole.
	unfollowedSince time.Time
	badObjects      *badObjects
	// listsDiffer counts the received lists of servers after which the own list still differed from
	// the peer's.
	listsDiffer prometheus.Counter
	// rollOuts holds the roll-out orders and versions. orderFollower follows them in the store.
	rollOuts      *rollout.Tracker
	orderFollower *store.Follower
	// ordersRefreshedFor is the newest server revision for which the orders were last listed at
	// once.
	ordersRefreshedFor atomic.Int64
	// versionsUnused is set if versions may have servers that may not be used.
	versionsUnused atomic.Bool
	// followBegun receives a value when this daemon begins to follow the store.
	followBegun chan struct{}
	draining    atomic.Bool

	callerListener    net.Listener
	readinessListener net.Listener
	metricsListener   net.Listener
	peerListener      net.Listener

	callerHTTP  *http.Server
	callerGuard *inbound.Guard
	peerGuard   *inbound.Guard
	httpServers []httpServer
	cloud       *platform.Cloud
}

// New returns a Router with open listeners.
func New(options Options) (*Router, error) {
	s := options.Settings
	r := &Router{
		settings:     s,
		logger:       options.Logger.With("vm", s.VM.ID),
		incarnation:  rand.Uint64(),
		metrics:      prometheus.NewRegistry(),
		peersLearned: make(chan struct{}, 1),
		followBegun:  make(chan struct{}, 1),
		links:        detour.NewLinks(),
		detourPeers:  detour.NewPeers(options.Network, insecure.NewCredentials()),
		members:      gossip.NewMembers(gossip.Identity{VM: s.VM.ID, Zone: s.VM.Zone, Address: s.Listen.Peers, Capacity: s.VM.RelayCapacity()}, s.Peers.Seeds),
	}
	r.metrics.MustRegister(collectors.NewGoCollector(), stateCollector{r})
	r.pool = upstream.NewPool(r.newDialer(options.Network), dialTimeout)
	client := &http.Client{Transport: network.Transport(options.Network, false)}
	r.objectStore = platform.NewStore("http://"+s.Store.Address, client)
	r.cloud = platform.NewCloud("http://"+s.Cloud.Address, client)
	r.badObjects = newBadObjects(r.metrics, r.logger)
	r.listsDiffer = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "plankridge_server_lists_differ_total", Help: "Lists of servers that differed from the peer's that told them, at one revision of the store.",
	})
	r.metrics.MustRegister(r.listsDiffer)
	r.rollOuts = rollout.New(rollout.Bounds{Share: s.Bounds.RollOutShare, Slack: s.Bounds.RollOutSlack, Stop: s.Bounds.RollOutStop.Std()})
	r.state = newState(r)
	if r.rollOuts.Enabled() {
		r.state.view.EnforceVersions()
	}
	r.pool.OnDial = r.state.view.RecordDial
	r.detours = detour.NewServer(detour.ServerOptions{Network: options.Network, Known: r.state.view.HasAddress, Links: r.links})
	r.buildGuards()
	if err := r.listen(options.Network); err != nil {
		r.closeListeners()
		return nil, err
	}
	r.buildComponents(options.OnViolation)
	r.buildServers()
	return r, nil
}

func (r *Router) listen(n network.Network) error {
	listeners := []struct {
		address string
		target  *net.Listener
	}{
		{r.settings.Listen.Callers, &r.callerListener},
		{r.settings.Listen.Readiness, &r.readinessListener},
		{r.settings.Listen.Metrics, &r.metricsListener},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		listener, err := n.Listen(l.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		*l.target = listener
	}
	node, peers, err := gossip.Listen(gossip.Options{
		VM: r.settings.VM.ID, Zone: r.settings.VM.Zone, Address: r.settings.Listen.Peers, Incarnation: r.incarnation,
		Network: n, Members: r.members, Source: r.state, Sink: r.state, Register: r.detours.Register, Logger: r.logger,
		ServerOptions: inbound.PeerServerOptions(insecure.NewCredentials()),
	})
	if err != nil {
		return err
	}
	r.node, r.peerListener = node, r.peerGuard.ListenPeers(peers)
	return nil
}

func (r *Router) closeListeners() {
	for _, l := range []net.Listener{r.callerListener, r.readinessListener, r.metricsListener, r.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (r *Router) buildComponents(onViolation func(error)) {
	forwarder := forward.New(forward.Options{
		Zone:            r.settings.VM.Zone,
		View:            r.state.view,
		Backend:         platform.NewBackendClient(r.pool),
		Mover:           platform.NewMover(r.pool),
		Limiter:         r.state.limiter,
		Budget:          retryBudget{r.state.limiter},
		Usage:           r.state.ledger,
		Demand:          r.state.demand,
		Admission:       r.state.admission,
		CallerTimeouts:  r.state.firstTryLimits,
		OnLargePrompt:   r.state.sendNotice,
		OnAdviceChanged: r.triggerReport,

		RollOuts:       r.rollOuts,
		StreamVersions: r.state.streamVersions,
		Quarantine:     r.state.quarantine,
		Freshness:      r.state.Freshness,
		Logger:         r.logger,
		Metrics:        forward.NewMetrics(r.metrics),

		OnViolation: onViolation,
	})
	ingress := &platform.Ingress{Catalog: r.state.awaitCatalog, Forwarder: forwarder, Logger: r.logger}
	r.callerHTTP = &http.Server{
		Handler:  closeConnectionsWhile(&r.draining, ingress),
		ErrorLog: slog.NewLogLogger(r.logger.Handler(), slog.LevelDebug),
	}
	r.elector = duty.NewElector(duty.Options{
		Self: r.settings.VM.ID, Address: r.settings.Listen.Peers, Incarnation: r.incarnation, Duration: r.settings.Bounds.Lease.Std(),
		Store: r.objectStore, Peers: dutyPeers{r}, Logger: r.logger, NotifyPeers: r.node.TriggerReport, BuildSnapshot: r.state.buildSnapshot, OnSnapshot: r.state.mergeHeld,
	})
}

// closeConnectionsWhile closes each connection after its response while the daemon drains, so that
// callers use another one.
func closeConnectionsWhile(draining *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// Ready reports whether the daemon accepts requests.
func (r *Router) Ready() bool { return !r.draining.Load() && r.state.Catalog() != nil }

// Run serves until ctx ends and then shuts down gracefully. When kill ends, Run stops at once.
func (r *Router) Run(ctx, kill context.Context) error {
	loops, stop := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	for _, loop := range r.backgroundLoops() {
		background.Go(func() { loop(loops) })
	}
	failed := make(chan error, 3)
	for _, server := range r.httpServers {
		background.Go(func() { failed <- ignoreClosed(server.Serve(server.listener)) })
	}
	r.logger.Info("daemon started", "zone", r.settings.VM.Zone, "callers", r.settings.Listen.Callers,
		"peers", r.settings.Listen.Peers, "incarnation", r.incarnation)
	var err error
	select {
	case <-ctx.Done():
		r.shutDown(kill)
	case <-kill.Done():
	case err = <-failed:
	}
	stop()
	for _, server := range r.httpServers {
		_ = server.Close()
	}
	r.pool.Close()
	r.detourPeers.Close()
	background.Wait()
	r.logger.Info("daemon stopped")
	return err
}

// backgroundLoops returns the daemon's background jobs.
func (r *Router) backgroundLoops() []func(context.Context) {
	r.createFollowers()
	loops := []func(context.Context){
		r.configFollower.Run,
		r.serverFollower.Run,
		r.watchRole,
		r.probeStore,
		func(ctx context.Context) { r.node.Run(ctx, r.peerListener) },
		r.register,
		r.housekeep,
		r.exchangeHeld,
		r.state.streamVersions.maintain,
	}
	if r.rollOuts.Enabled() {
		loops = append(loops, r.orderFollower.Run, r.watchVersions, r.driveRollOuts)
	}
	if r.settings.Cloud.Address == "" {
		return loops
	}
	exchange := &duty.Exchange{
		Self: r.settings.VM.ID, Incarnation: r.incarnation, Store: r.objectStore, Ledger: r.state.ledger, Peers: dutyPeers{r}, Logger: r.logger,
	}
	reporter := &duty.Reporter{
		Elector: r.elector, Cloud: r.cloud, Ledger: r.state.ledger, Peers: dutyPeers{r}, Exchange: exchange, Logger: r.logger,
		Deadline: r.settings.Bounds.UsageDue.Std(),
	}
	scaler := &duty.Scaler{
		Elector: r.elector, Cloud: r.cloud, View: r.state.view, Catalog: r.state.Catalog, Demand: r.state.Demand, VersionUnsettled: r.versionUnsettled, Logger: r.logger,
	}
	return append(loops, r.elector.Run, r.recordUses, exchange.Run, reporter.Run, scaler.Run)
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	*http.Server
	listener net.Listener
}

// buildServers creates the HTTP servers.
func (r *Router) buildServers() {
	r.serveGuarded(r.callerHTTP, r.callerListener, r.callerGuard)
	r.serveGuarded(&http.Server{Handler: platform.NewReadiness(r.Ready)}, r.readinessListener, r.newStatusGuard("readiness"))
	if r.metricsListener != nil {
		r.serveGuarded(&http.Server{Handler: r.metricsHandler()}, r.metricsListener, r.newStatusGuard("metrics"))
	}
}

// serveGuarded adds an HTTP server whose clients a guard bounds.
func (r *Router) serveGuarded(server *http.Server, listener net.Listener, guard *inbound.Guard) {
	guard.Protect(server)
	r.httpServers = append(r.httpServers, httpServer{server, guard.Listen(listener)})
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// triggerReport makes the node send its next report at once.
func (r *Router) triggerReport() { r.node.TriggerReport() }

// housekeep periodically updates the shares of shared limits, closes idle connections and logs
// suspensions and engine estimates.
func (r *Router) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	loggedAt := time.Now()
	suspended := steady.Suspended()
	for {
		select {
		case now := <-ticker.C:
			r.pool.Sweep(now)
			r.state.updateShares(now)
			r.state.retainDemand()
			if total := steady.Suspended(); total > suspended {
				r.logger.Warn("VM was suspended", "for_ms", (total - suspended).Milliseconds())
				suspended = total
			}
			if now.Sub(loggedAt) >= engineLogInterval {
				loggedAt = now
				r.state.logEngineEstimates()
			}
		case <-ctx.Done():
			return
		}
	}
}

// updateShares updates this daemon's share of the limits that all daemons share.
func (s *state) updateShares(now time.Time) {
	s.aggregator.Sweep(now)
	s.view.Sweep(now)
	if s.currentLeader(now) == "" {
		s.applyOwnSums(now)
	}
	s.applyReach(now)
}

// dutyPeers implements duty.Peers.
type dutyPeers struct{ *Router }

// HolderReachable implements duty.Peers.
func (p dutyPeers) HolderReachable() bool {
	now := time.Now()
	for _, peer := range p.members.Reachable(now) {
		if peer.Fence != 0 {
			return true
		}
	}
	reach, _ := p.state.reach(now)
	return reach.Fence != 0 && reach.Fence != p.state.ownFence()
}

// Rank implements duty.Peers.
func (p dutyPeers) Rank() int { return p.plan(time.Now()).DutyRank }

// AllReachable implements duty.Peers.
func (p dutyPeers) AllReachable() bool {
	_, complete := p.state.reach(time.Now())
	return complete
}

// Zone implements duty.Peers.
func (p dutyPeers) Zone() (name string, sumsZone, isolated bool) {
	now := time.Now()
	name = p.settings.VM.Zone
	if p.state.currentLeader(now) != "" {
		return name, false, false
	}
	plan := p.plan(now)
	_, complete := p.state.aggregator.Reach(now)
	return name, plan.Leader, !plan.Leader || !complete
}

// newLedger returns a ledger with the usage window of the settings.
func newLedger(s config.RouterSettings) *usage.Ledger {
	window := s.Bounds.UsageWindow.Std()
	if window <= 0 {
		window = defaultUsageWindow
	}
	return usage.NewLedger(window)
}

// defaultUsageWindow is used if no usage window is set.
const defaultUsageWindow = 5 * time.Second
