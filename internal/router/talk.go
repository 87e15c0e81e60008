package router

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/usage"
	"github.com/plankridge/plankridge/platform"
)

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
