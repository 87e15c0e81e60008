package router

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/store"
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
			traits[name] = backend.Traits{CacheTokens: service.Engine.CacheTokens, PrefillRate: prefillRate}
		}
	}
	s.view.SetTraits(traits)
	s.limiter.ApplyCatalog(c, time.Now())
	c.TakenAt = time.Now()
	s.catalog.Store(c)
	s.router.logger.Info("configuration in force", "config_version", c.Version, "source", source, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
	s.router.node.Soon()
}

// configConsumer takes the configuration from the store.
type configConsumer struct{ *state }

// Replace implements store.Consumer.
func (c configConsumer) Replace(page store.Page, _ bool) {
	for _, object := range page.Objects {
		c.Apply(store.Event{Object: object})
	}
}

// Apply implements store.Consumer.
func (c configConsumer) Apply(event store.Event) {
	if !event.Deleted && event.Object.Name == platform.ConfigName {
		c.takeConfig(event.Object.Spec, "store")
	}
}

// Advance implements store.Consumer.
func (c configConsumer) Advance(int64, bool) {}

// serverConsumer takes the backend servers from the store.
type serverConsumer struct{ *state }

// Replace implements store.Consumer.
func (c serverConsumer) Replace(page store.Page, outage bool) {
	now := time.Now()
	if outage {
		c.view.StoreReturned(now)
	}
	specs := map[string]json.RawMessage{}
	for _, object := range page.Objects {
		specs[object.Name] = object.Spec
	}
	c.takeServers(specs, page.Revision, now)
}

// takeServers takes over a whole list.
func (s *state) takeServers(specs map[string]json.RawMessage, revision int64, now time.Time) {
	entries := make([]backend.Entry, 0, len(specs))
	for id, spec := range specs {
		entry, err := platform.DecodeServer(id, spec)
		if err != nil {
			s.router.logger.Error("entry of a server cannot be decoded", "server", id, "error", err)
			continue
		}
		entries = append(entries, entry)
	}
	s.mu.Lock()
	s.specs, s.serversRevision = specs, revision
	s.serversDigest = digestOf(specs)
	s.mu.Unlock()
	s.view.Replace(entries, now)
	s.router.logger.Info("servers listed", "servers", len(entries), "revision", revision)
}

// Apply implements store.Consumer.
func (c serverConsumer) Apply(event store.Event) {
	now := time.Now()
	id := event.Object.Name
	c.mu.Lock()
	if event.Deleted {
		delete(c.specs, id)
	} else {
		c.specs[id] = event.Object.Spec
	}
	c.serversDigest = digestOf(c.specs)
	c.mu.Unlock()
	if event.Deleted {
		c.view.Remove(id, now)
		c.router.logger.Info("server gone from the list", "server", id)
		return
	}
	entry, err := platform.DecodeServer(id, event.Object.Spec)
	if err != nil {
		c.router.logger.Error("entry of a server cannot be decoded", "server", id, "error", err)
		return
	}
	c.view.Put(entry, now)
	c.router.logger.Info("server listed", "server", id, "service", entry.Service, "zone", entry.Zone,
		"draining", entry.Draining, "reclaimable", entry.Reclaimable, "revision", event.Object.Revision)
}

// Advance implements store.Consumer.
func (c serverConsumer) Advance(revision int64, failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serversRevision, c.storeFailing = max(c.serversRevision, revision), failing
	if !failing {
		c.seenAt = time.Now()
	}
}

// Freshness implements forward.Options' question.
func (s *state) Freshness() (serversAge time.Duration, storeFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.seenAt), s.storeFailing
}

// Report implements gossip.Source.
func (s *state) Report(status *gossippb.Status) {
	if c := s.Catalog(); c != nil {
		status.ConfigVersion = c.Version
	}
	s.mu.Lock()
	status.ServersRevision, status.StoreFailing = s.serversRevision, s.storeFailing
	status.ServersDigest = s.serversDigest
	s.mu.Unlock()
	status.Draining = s.router.draining.Load()
	if s.router.holder != nil {
		right, _ := s.router.holder.Right()
		status.Fence = right.Fence
	}
	now := time.Now()
	status.UptimeMs = now.Sub(s.started).Milliseconds()
	spent := s.limiter.Spent()
	for workspace, level := range s.limiter.Levels(now) {
		status.Spent = append(status.Spent, &gossippb.Spent{Workspace: workspace, Tokens: spent[workspace], Level: level})
	}
	for id, counts := range s.ledger.Own(windowsTold) {
		status.Windows = append(status.Windows, &gossippb.Window{Id: id, Counts: counts})
	}
	for service, rate := range s.demand.Rates(time.Now()) {
		status.Demands = append(status.Demands, &gossippb.Demand{Service: service, Requests: rate.Requests, Unread: rate.Unread, Output: rate.Output})
	}
	for server, load := range s.view.OwnLoads() {
		status.Loads = append(status.Loads, &gossippb.Load{
			Server: server, Running: int32(load.Running), PendingTokens: int32(load.PendingTokens),
		})
	}
}

// Pull implements gossip.Source.
func (s *state) Pull(request *gossippb.PullRequest) *gossippb.PullReply {
	reply := &gossippb.PullReply{}
	if c := s.Catalog(); c != nil && c.Version > request.GetConfigVersion() {
		reply.ConfigVersion, reply.Config = c.Version, c.Raw
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serversRevision <= request.GetServersRevision() || s.storeFailing {
		return reply
	}
	reply.ServersRevision = s.serversRevision
	for id, spec := range s.specs {
		reply.Servers = append(reply.Servers, &gossippb.Server{Id: id, Spec: spec})
	}
	return reply
}

// digestOf returns a digest of what servers are listed and how, whatever their
// order.
func digestOf(specs map[string]json.RawMessage) uint64 {
	var sum uint64
	for id, spec := range specs {
		entry, err := platform.DecodeServer(id, spec)
		if err != nil {
			continue
		}
		sum += xxhash.Sum64String(id + "|" + entry.Address + "|" + strconv.FormatBool(entry.Draining))
	}
	return sum
}

// Heard implements gossip.Sink.
func (s *state) Heard(status *gossippb.Status, unknown bool) {
	vm, incarnation := status.GetVm(), status.GetIncarnation()
	spent, levels := map[string]float64{}, map[string]float64{}
	for _, item := range status.GetSpent() {
		spent[item.GetWorkspace()], levels[item.GetWorkspace()] = item.GetTokens(), item.GetLevel()
	}
	uptime := time.Since(s.started)
	starting := unknown && uptime < settling
	s.limiter.Heard(vm, incarnation, spent, starting)
	if peerUptime := time.Duration(status.GetUptimeMs()) * time.Millisecond; starting && peerUptime > uptime+settling {
		s.limiter.Adopt(levels)
	}
	windows := map[int64]usage.Counts{}
	for _, w := range status.GetWindows() {
		windows[w.GetId()] = w.GetCounts()
	}
	s.ledger.Heard(vm, incarnation, windows)
	loads := map[string]backend.Load{}
	for _, l := range status.GetLoads() {
		loads[l.GetServer()] = backend.Load{Running: int(l.GetRunning()), PendingTokens: int(l.GetPendingTokens())}
	}
	s.view.SetRemote(vm, loads)
	unread := map[string]float64{}
	for _, d := range status.GetDemands() {
		unread[d.GetService()] = d.GetUnread()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remoteDemand[vm] = remoteDemand{at: time.Now(), unread: unread}
}

// settling is how long after its start a daemon takes the first report of a
// peer as a base: what the peer had admitted before is not in its own buckets.
const settling = 3 * time.Second

// Lacks implements gossip.Sink.
func (s *state) Lacks(status *gossippb.Status) bool {
	version := int64(0)
	if c := s.Catalog(); c != nil {
		version = c.Version
	}
	if status.GetConfigVersion() > version {
		return true
	}
	return s.lacksServers(status, time.Now())
}

// differsFor is how long a peer that is ahead must show other servers before
// its list is fetched: a change reaches all watches within some milliseconds.
const differsFor = 600 * time.Millisecond

// lacksServers reports whether the peer has seen more of the list of servers
// and has kept another one for a while: this daemon's own watch has missed
// something, or the store does not answer it.
func (s *state) lacksServers(status *gossippb.Status, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := !status.GetStoreFailing() && status.GetServersRevision() > s.serversRevision
	if !ahead || status.GetServersDigest() == s.serversDigest {
		delete(s.differs, status.GetVm())
		return false
	}
	since, known := s.differs[status.GetVm()]
	if !known {
		since = now
		s.differs[status.GetVm()] = now
	}
	return s.storeFailing || now.Sub(since) >= differsFor
}

// Pulled implements gossip.Sink.
func (s *state) Pulled(reply *gossippb.PullReply) {
	if len(reply.GetConfig()) > 0 {
		s.takeConfig(reply.GetConfig(), "peer")
	}
	s.mu.Lock()
	wanted := reply.GetServersRevision() > s.serversRevision
	s.mu.Unlock()
	if !wanted {
		return
	}
	specs := map[string]json.RawMessage{}
	for _, server := range reply.GetServers() {
		specs[server.GetId()] = server.GetSpec()
	}
	s.takeServers(specs, reply.GetServersRevision(), time.Now())
}

// daemonKind is the kind of the daemons' own entries in the store, by which
// they find each other.
const daemonKind = "plankridge-daemons"

// daemonEntry is a daemon's entry.
type daemonEntry struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// registerRetry follows a failed try to register.
const registerRetry = time.Second

// register learns of the other daemons and writes this one's entry, once.
func (r *Router) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.tryRegister(ctx)
		if err == nil {
			return
		}
		r.logger.Warn("daemon not registered yet", "error", err)
		select {
		case <-time.After(registerRetry):
		case <-ctx.Done():
		}
	}
}

func (r *Router) tryRegister(ctx context.Context) error {
	page, err := r.objects.List(ctx, daemonKind)
	if err != nil {
		return err
	}
	r.state.limiter.Grant(len(page.Objects))
	own := daemonEntry{Zone: r.settings.VM.Zone, Address: r.settings.Listen.Peers}
	revision := int64(0)
	now := time.Now()
	for _, object := range page.Objects {
		var entry daemonEntry
		if err := json.Unmarshal(object.Spec, &entry); err != nil {
			r.logger.Error("entry of a daemon cannot be decoded", "daemon", object.Name, "error", err)
			continue
		}
		if object.Name != r.settings.VM.ID {
			r.members.Learn(object.Name, entry.Zone, entry.Address, now)
			continue
		}
		if entry == own {
			return nil
		}
		revision = object.Revision
	}
	if revision == 0 {
		_, err = r.objects.Create(ctx, daemonKind, r.settings.VM.ID, own)
	} else {
		_, err = r.objects.Replace(ctx, daemonKind, r.settings.VM.ID, revision, own)
	}
	if errors.Is(err, store.ErrConflict) {
		return errors.New("entry was written by another process")
	}
	return err
}
