// Package discovery knows the VMs of the deployment: the backend servers with
// what this daemon has in flight on each, and the other daemons. It learns
// them from the VM list and from reclaim notices.
package discovery

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/cloud"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/route"
	"github.com/plankridge/plankridge/internal/vmlist"
)

const (
	// pollWait is how long one call waits at the VM list or at the notices.
	pollWait = 30 * time.Second
	// retryDelay follows a failed call.
	retryDelay = time.Second
	// evacuationMargin is the time before a reclaim's deadline at which
	// running streams move away.
	evacuationMargin = time.Second
	// suspectBase is the first time that a failed server is avoided; it
	// doubles with each failure up to suspectMax.
	suspectBase = time.Second
	suspectMax  = 30 * time.Second
	// excessHalfLife is the time in which an observed delay loses half of its
	// weight.
	excessHalfLife = 5 * time.Second
	// smoothing is the weight of a new observation of the service time.
	smoothing = 0.2
)

// Registry holds the VMs. It is safe for concurrent use.
type Registry struct {
	self   string
	leaves chan time.Time
	logger *slog.Logger

	mu       sync.Mutex
	index    *config.Index
	servers  map[string]*server
	daemons  map[string]vmlist.VM
	revision int64
	changed  chan struct{}
	onChange []func([]vmlist.VM, int64)
	// ownDemand is what this daemon's callers ask for now, by service, and demands what daemons have
	// reported of theirs, by service and daemon.
	ownDemand map[string]demand
	demands   map[string]map[string]demand
}

type server struct {
	vm       vmlist.VM
	evacuate chan struct{}
	moved    bool
	timer    *time.Timer

	running       int
	pendingTokens int
	failures      int
	suspectUntil  time.Time
	excess        time.Duration
	excessAt      time.Time
	serviceTime   time.Duration
	// limit is the server's latest request limit, liftedAt when it last ended, and quota this daemon's
	// part of it.
	limit    advice.Limit
	liftedAt time.Time
	quota    quota
	// leaving is whether it has announced that it leaves.
	leaving leavingState
	// restUntil is until when the server wants no requests from this daemon.
	restUntil time.Time
}

// NewRegistry returns a registry without VMs for the daemon on the VM with the
// ID self.
func NewRegistry(self string, logger *slog.Logger) *Registry {
	return &Registry{
		self:      self,
		leaves:    make(chan time.Time, 1),
		logger:    logger,
		servers:   map[string]*server{},
		daemons:   map[string]vmlist.VM{},
		ownDemand: map[string]demand{},
		demands:   map[string]map[string]demand{},
		changed:   make(chan struct{}),
	}
}

// ApplyConfig takes over speeds and prices of a new generation.
func (r *Registry) ApplyConfig(index *config.Index) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index = index
	r.wake()
}

// OnDaemons registers a function that is called with the daemons of the
// deployment, and the revision of the VM list, whenever they change.
func (r *Registry) OnDaemons(f func(daemons []vmlist.VM, revision int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = append(r.onChange, f)
}

func (r *Registry) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Run follows the VM list and the notices until the context ends.
func (r *Registry) Run(ctx context.Context, lister vmlist.VMLister, provider cloud.Provider) {
	var loops sync.WaitGroup
	loops.Go(func() { r.followList(ctx, lister) })
	loops.Go(func() { r.followNotices(ctx, provider) })
	loops.Wait()
}

func (r *Registry) followList(ctx context.Context, lister vmlist.VMLister) {
	for ctx.Err() == nil {
		changes, err := lister.ListVMs(ctx, r.revision, pollWait)
		if err != nil {
			r.pause(ctx, "read VM list", err)
			continue
		}
		r.Apply(changes)
	}
}

func (r *Registry) followNotices(ctx context.Context, provider cloud.Provider) {
	var after int64
	for ctx.Err() == nil {
		notices, err := provider.Notices(ctx, after, pollWait)
		if err != nil {
			r.pause(ctx, "read reclaim notices", err)
			continue
		}
		for _, notice := range notices {
			after = max(after, notice.Sequence)
			r.Leave(notice.VM, notice.Deadline)
		}
	}
}

func (r *Registry) pause(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	r.logger.Warn("platform call failed", "call", what, "error", err)
	select {
	case <-time.After(retryDelay):
	case <-ctx.Done():
	}
}

// Apply takes over changes of the VM list.
func (r *Registry) Apply(changes vmlist.VMChanges) {
	r.mu.Lock()
	if changes.Full {
		r.forgetMissing(changes.VMs)
	}
	daemonsChanged := false
	for _, vm := range changes.VMs {
		if vm.Role == vmlist.RoleEntry {
			daemonsChanged = true
			r.applyDaemon(vm)
			continue
		}
		r.applyServer(vm)
	}
	r.revision = changes.Revision
	if daemonsChanged {
		r.shareLimits(time.Now())
	}
	r.wake()
	r.mu.Unlock()
	if daemonsChanged {
		r.tellDaemons()
	}
}

// tellDaemons tells who has asked for it which daemons there are.
func (r *Registry) tellDaemons() {
	r.mu.Lock()
	callbacks := slices.Clone(r.onChange)
	revision := r.revision
	r.mu.Unlock()
	daemons := r.Daemons()
	for _, callback := range callbacks {
		callback(daemons, revision)
	}
}

// SelfLeaves returns a channel that gives the deadline when the reclaim of the
// daemon's own VM is announced.
func (r *Registry) SelfLeaves() <-chan time.Time { return r.leaves }

// forgetMissing drops what a whole list no longer holds.
func (r *Registry) forgetMissing(vms []vmlist.VM) {
	present := map[string]bool{}
	for _, vm := range vms {
		present[vm.ID] = true
	}
	for id, s := range r.servers {
		if !present[id] {
			s.leaveNow()
			delete(r.servers, id)
		}
	}
	for id := range r.daemons {
		if !present[id] {
			delete(r.daemons, id)
			r.forgetDemand(id)
		}
	}
}

func (r *Registry) applyDaemon(vm vmlist.VM) {
	if vm.State == vmlist.VMGone {
		delete(r.daemons, vm.ID)
		r.forgetDemand(vm.ID)
		return
	}
	if r.daemons[vm.ID].State == vmlist.VMLeaving && r.daemons[vm.ID].Address == vm.Address {
		vm.State = vmlist.VMLeaving
	}
	r.daemons[vm.ID] = vm
}

func (r *Registry) applyServer(vm vmlist.VM) {
	s := r.servers[vm.ID]
	if vm.State == vmlist.VMGone {
		if s != nil {
			s.leaveNow()
			delete(r.servers, vm.ID)
		}
		return
	}
	if s == nil {
		s = &server{vm: vm, evacuate: make(chan struct{})}
		r.servers[vm.ID] = s
		return
	}
	// A notice can be ahead of the list; leaving is never taken back.
	if s.vm.State == vmlist.VMLeaving {
		vm.State = vmlist.VMLeaving
	}
	s.vm = vm
}

// leaveNow tells the attempts on the server to move away at once.
func (s *server) leaveNow() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if !s.moved {
		s.moved = true
		close(s.evacuate)
	}
}

// Leave marks a VM as leaving. Streams on it move away shortly before the
// deadline.
func (r *Registry) Leave(id string, deadline time.Time) {
	if id == r.self {
		select {
		case r.leaves <- deadline:
		default:
		}
	}
	if r.markLeaving(id, deadline) {
		r.tellDaemons()
	}
}

// markLeaving reports whether the VM is a daemon's.
func (r *Registry) markLeaving(id string, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if daemon, ok := r.daemons[id]; ok {
		daemon.State = vmlist.VMLeaving
		r.daemons[id] = daemon
		r.shareLimits(time.Now())
		return true
	}
	s := r.servers[id]
	if s == nil || s.timer != nil {
		return false
	}
	s.vm.State = vmlist.VMLeaving
	left := time.Until(deadline)
	margin := min(evacuationMargin, left/2)
	s.timer = time.AfterFunc(left-margin, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.leaveNow()
	})
	r.wake()
	return false
}

// Daemons returns the entry VMs ordered by ID.
func (r *Registry) Daemons() []vmlist.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	daemons := make([]vmlist.VM, 0, len(r.daemons))
	for _, vm := range r.daemons {
		daemons = append(daemons, vm)
	}
	slices.SortFunc(daemons, func(a, b vmlist.VM) int { return cmp.Compare(a.ID, b.ID) })
	return daemons
}

// ServerCounts returns the number of servers of each service by state.
func (r *Registry) ServerCounts() map[string]map[vmlist.VMState]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]map[vmlist.VMState]int{}
	for _, s := range r.servers {
		if counts[s.vm.Service] == nil {
			counts[s.vm.Service] = map[vmlist.VMState]int{}
		}
		counts[s.vm.Service][s.vm.State]++
	}
	return counts
}

// Candidates returns the servers of a service for the router, for a prompt of so many
// tokens.
func (r *Registry) Candidates(service string, promptTokens int, now time.Time) []route.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countRequest(service, now)
	if r.index == nil {
		return nil
	}
	definition := r.index.Service(service)
	if definition == nil {
		return nil
	}
	var candidates []route.Server
	for _, s := range r.servers {
		if s.vm.Service == service {
			candidates = append(candidates, r.view(s, definition, promptTokens, now))
		}
	}
	return candidates
}

func (r *Registry) view(s *server, definition *config.Service, promptTokens int, now time.Time) route.Server {
	view := route.Server{
		ID:               s.vm.ID,
		Zone:             s.vm.Zone,
		Address:          s.vm.Address,
		PricePerHour:     r.index.Price(s.vm.Class, s.vm.Zone, config.Market(s.vm.Market)),
		Leaving:          !s.takesWork(now) || s.untilAdmitted(now) > 0,
		Suspect:          now.Before(s.suspectUntil),
		Running:          s.running,
		ExcessDelay:      s.decayedExcess(now),
		ServiceTime:      s.serviceTime,
		MaxBatch:         1,
		CrossZoneLatency: route.DefaultCrossZoneLatency,
	}
	if definition.Model != nil {
		view.MaxBatch = definition.Model.MaxBatch
		view.Queue = readingTime(s.pendingTokens, definition.Model.PrefillRate)
		view.IdleWait = readingTime(promptTokens, definition.Model.PrefillRate)
	}
	return view
}

// readingTime returns how long an engine reads so many tokens at a rate in tokens per
// second, nothing where the rate is not known.
func readingTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// decayedExcess halves the observed delay with each half-life that has passed.
func (s *server) decayedExcess(now time.Time) time.Duration {
	halves := now.Sub(s.excessAt) / excessHalfLife
	if halves > 16 {
		return 0
	}
	return s.excess >> halves
}
