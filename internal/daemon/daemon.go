// Package daemon creates and connects the components of an entry VM's process, and
// runs them from startup to graceful shutdown.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/plankridge/plankridge/internal/backup"
	"github.com/plankridge/plankridge/internal/burn"
	"github.com/plankridge/plankridge/internal/callerapi"
	"github.com/plankridge/plankridge/internal/cloud"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/discovery"
	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/engine"
	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/inbound"
	"github.com/plankridge/plankridge/internal/keys"
	"github.com/plankridge/plankridge/internal/limit"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/operatorapi"
	"github.com/plankridge/plankridge/internal/peer"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/plain"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/retrybudget"
	"github.com/plankridge/plankridge/internal/steady"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/vmlist"
	"github.com/plankridge/plankridge/platform"
)

// Options configures a Daemon.
type Options struct {
	Settings config.Settings
	Network  network.Network
	Logger   *slog.Logger
	// OnViolation is called when an invariant is violated. Tests make it fatal.
	OnViolation func(error)
}

// Daemon serves callers, peers and operators on one entry VM.
type Daemon struct {
	settings config.Settings
	logger   *slog.Logger
	metrics  *prometheus.Registry

	objectStore store.Store
	vms         vmlist.VMLister
	cloud       *cloud.Client
	registry    *discovery.Registry
	limiter     *limit.Limiter
	retries     *retrybudget.Share
	follower    *generation.Follower
	dispatcher  *dispatch.Dispatcher
	burn        *burn.Recorder
	mesh        *peer.Mesh
	quarantine  *watch.Watcher
	keys        *keys.Manager
	credentials *peer.Credentials

	draining         atomic.Bool
	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener

	callerGuard    *inbound.Guard
	callerAPI      *callerapi.API
	callerServer   *http.Server
	peerServer     *grpc.Server
	operatorServer *http.Server
}

// New creates a daemon and opens its listeners. Run starts serving on them.
func New(options Options) (*Daemon, error) {
	d := &Daemon{
		settings: options.Settings,
		logger:   options.Logger.With("daemon", options.Settings.Daemon.ID),
		metrics:  prometheus.NewRegistry(),
		limiter:  limit.NewLimiter(),
		retries:  dispatch.NewRetries(options.Settings.Limits),
		burn:     burn.NewRecorder(),
	}
	d.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.listen(options.Network); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.buildComponents(options); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen(n network.Network) error {
	listeners := []struct {
		address string
		target  *net.Listener
	}{
		{d.settings.Listen.Callers, &d.callerListener},
		{d.settings.Listen.Peers, &d.peerListener},
		{d.settings.Listen.Operators, &d.operatorListener},
	}
	for _, l := range listeners {
		listener, err := n.Listen(l.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		*l.target = listener
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, listener := range []net.Listener{d.callerListener, d.peerListener, d.operatorListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) buildComponents(options Options) error {
	platformToken, err := d.settings.Platform.Token.Read()
	if err != nil {
		return err
	}
	operatorToken, err := d.settings.Operators.Token.Read()
	if err != nil {
		return err
	}
	d.credentials, err = peer.NewCredentials(d.settings.Peers)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: network.Transport(options.Network, false)}
	endpoints := d.settings.Platform
	d.objectStore = platform.NewStore(endpoints.Objects, client)
	d.vms = vmlist.NewClient(endpoints.VMs, platformToken, client)
	d.cloud = cloud.NewClient(endpoints.Cloud, platformToken, client)
	d.registry = discovery.NewRegistry(d.settings.Daemon.ID, d.logger)
	d.follower = generation.NewFollower(generation.Values(d.objectStore), d.logger, d.metrics, d.registry, d.limiter)
	d.quarantine = watch.New(watch.Options{
		ReportInterval: func(time.Time) time.Duration { return peer.TriggeredHeartbeatDelay },
		NotifyPeers:    func() { d.mesh.TriggerHeartbeats() },
		Logger:         d.logger,
	})
	d.mesh = peer.NewMesh(peer.Options{
		Self:        d.VM(),
		Network:     options.Network,
		Credentials: d.credentials.Client,
		Follower:    d.follower,
		Copies:      backup.NewStore(d.settings.Limits.RequestCopyBytes),
		Quarantine:  d.quarantine,
		Advice:      d.registry,
		Logger:      d.logger,
	})
	d.dispatcher = dispatch.New(dispatch.Options{
		DaemonID:        d.settings.Daemon.ID,
		Zone:            d.settings.Daemon.Zone,
		Limits:          d.settings.Limits,
		Registry:        d.registry,
		Limiter:         d.limiter,
		Engine:          engine.NewClient(client),
		Plain:           plain.NewClient(options.Network, d.settings.Limits.AnswerBytes),
		Replicator:      d.mesh,
		Burn:            d.burn,
		Quarantine:      d.quarantine,
		Retries:         d.retries,
		Dial:            options.Network.Dial,
		OnAdviceChanged: func() { d.mesh.TriggerHeartbeats() },
		Logger:          d.logger,
		Registerer:      d.metrics,
		OnViolation:     options.OnViolation,
		PrepareKeyed: func(spec request.Spec) func(context.Context) error {
			return d.keys.IntentRecorder(spec)
		},
		OnKeyedEnd: func(spec request.Spec, answer *request.PlainAnswer, failure *request.Failure) {
			d.keys.RecordEnd(spec, spec.ID, answer, failure)
		},
	})
	d.mesh.SetAdopter(d.dispatcher)
	d.keys = keys.NewManager(keys.Options{
		Self:       keys.Holder{Daemon: d.settings.Daemon.ID, Incarnation: d.mesh.Incarnation()},
		Zone:       d.settings.Daemon.Zone,
		Store:      store.NewValues(d.objectStore, keys.Kind),
		Peers:      &peer.KeyPeers{Mesh: d.mesh, Dispatcher: d.dispatcher, KnownZones: d.zoneNames},
		Dispatcher: d.dispatcher,
		Logger:     d.logger,
		Registerer: d.metrics,
	})
	d.registry.OnDaemonsChange(func(daemons []vmlist.VM, revision int64) {
		d.mesh.SetDaemons(daemons, revision)
		d.limiter.SetDaemons(len(daemons))
		d.retries.SetDaemons(len(daemons), steady.Now())
	})
	d.buildServers(operatorToken)
	return nil
}

func (d *Daemon) buildServers(operatorToken string) {
	d.callerAPI = callerapi.New(callerapi.Options{
		Limits:     d.settings.Limits,
		Dispatcher: d.dispatcher,
		Follower:   d.follower,
		Locator:    locator{d.mesh},
		Keys:       d.keys,
		Logger:     d.logger,
		Registerer: d.metrics,
		Ready:      d.Ready,
	})
	d.callerServer = &http.Server{
		Handler:  d.callerAPI,
		ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	d.callerGuard = d.serveGuarded(d.callerServer, &d.callerListener, "callers", d.settings.Limits.Resources().Callers())
	d.peerServer = grpc.NewServer(append(inbound.PeerServerOptions(d.credentials.Server), grpc.MaxRecvMsgSize(peer.MaxMessageBytes))...)
	d.peerListener = d.newGuard("peers", d.settings.Limits.Resources().PeersOf(peer.MaxMessageBytes)).ListenPeers(d.peerListener)
	peerpb.RegisterPeerServer(d.peerServer, peer.NewServer(d.mesh, d.dispatcher, d.follower, d.burn, d.keys))
	operators := operatorapi.New(operatorapi.Options{
		Token:     operatorToken,
		Publisher: generation.NewPublisher(generation.Values(d.objectStore)),
		Follower:  d.follower,
		Registry:  d.registry,
		Mesh:      d.mesh,
		Gatherer:  d.metrics,
		Logger:    d.logger,
		Self:      d.status,
		Ready:     d.Ready,

		CallerLimits: d.settings.Limits.CallerLimits(),
	})
	d.operatorServer = &http.Server{Handler: operators}
	d.serveGuarded(d.operatorServer, &d.operatorListener, "operators", d.settings.Limits.Resources().Operators())
}

// serveGuarded puts a server and its listener under a guard.
func (d *Daemon) serveGuarded(server *http.Server, listener *net.Listener, name string, limits inbound.Limits) *inbound.Guard {
	guard := d.newGuard(name, limits)
	guard.Protect(server)
	*listener = guard.Listen(*listener)
	return guard
}

func (d *Daemon) newGuard(listener string, limits inbound.Limits) *inbound.Guard {
	return inbound.NewGuard(inbound.Options{
		Listener: listener, Limits: limits, CallerLimits: d.settings.Limits.CallerLimits, Logger: d.logger, Registerer: d.metrics,
	})
}

// locator adapts peer.Mesh to callerapi.Locator.
type locator struct{ mesh *peer.Mesh }

// Locate implements callerapi.Locator.
func (l locator) Locate(ctx context.Context, id request.ID) (dispatch.Source, error) {
	return l.mesh.Locate(ctx, id)
}

// VM returns the entry that describes this daemon's VM in the VM list.
func (d *Daemon) VM() vmlist.VM {
	return vmlist.VM{
		ID:              d.settings.Daemon.ID,
		Zone:            d.settings.Daemon.Zone,
		Role:            vmlist.RoleEntry,
		Address:         d.peerListener.Addr().String(),
		OperatorAddress: d.operatorListener.Addr().String(),
	}
}

// CallerAddress returns the address of the caller API as IP:port.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// Ready reports whether the daemon has a deployment, has appeared in the VM list
// and is not shutting down. Other daemons detect its failure by its removal from
// the list, so it accepts no requests before it has been listed.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.follower.Index() != nil && d.mesh.SelfListed()
}

// Generation returns the generation in force on this daemon.
func (d *Daemon) Generation() int64 { return d.follower.Generation() }

func (d *Daemon) status() peer.DaemonStatus {
	inFlight, draining := d.dispatcher.Load()
	return peer.DaemonStatus{
		ID:         d.settings.Daemon.ID,
		Zone:       d.settings.Daemon.Zone,
		Reachable:  true,
		Generation: d.follower.Generation(),
		Draining:   draining,
		InFlight:   inFlight,
		Burn:       d.burn.Rows(time.Now()),
	}
}

// Owns reports whether this daemon assigned the request ID when it accepted the
// request.
func (d *Daemon) Owns(id string) bool {
	return request.ID(id).Tag() == request.DaemonTag(d.settings.Daemon.ID)
}

// Copies returns the number of requests of other daemons of which this daemon holds
// a copy.
func (d *Daemon) Copies() int {
	copies, _ := d.mesh.Copies()
	return copies
}

// InFlight returns the number of requests that have not ended on this daemon.
func (d *Daemon) InFlight() int {
	inFlight, _ := d.dispatcher.Load()
	return inFlight
}

// KeySlots returns the number of idempotency key slots that the daemon serves.
func (d *Daemon) KeySlots() int { return d.keys.Serving() }
