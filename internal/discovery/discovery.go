// Package discovery maintains the registry of VMs in the deployment: the backend servers, with the
// requests that this daemon has in flight on each, and the other daemons. Its sources are the VM
// list and reclaim notices.
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
	// longPollTimeout is the wait time of one long poll of the VM list or of the reclaim notices.
	longPollTimeout = 30 * time.Second
	// retryDelay is the delay before a failed platform call is retried.
	retryDelay = time.Second
	// evacuationMargin is how long before the deadline of a reclaim running streams are moved to
	// other servers.
	evacuationMargin = time.Second
	// initialSuspectTime is how long a server is avoided after its first failure. The time doubles
	// with each consecutive failure, up to maxSuspectTime.
	initialSuspectTime = time.Second
	maxSuspectTime     = 30 * time.Second
	// excessDelayHalfLife is the half-life of the weight of an observed excess delay.
	excessDelayHalfLife = 5 * time.Second
	// serviceTimeWeight is the weight of a new observation in the moving average of the service
	// time.
	serviceTimeWeight = 0.2
)

// Registry holds the VMs of the deployment. It is safe for concurrent use.
type Registry struct {
	self        string
	selfLeaving chan time.Time
	logger      *slog.Logger

	mu              sync.Mutex
	index           *config.Index
	servers         map[string]*server
	daemons         map[string]vmlist.VM
	revision        int64
	changed         chan struct{}
	onDaemonsChange []func([]vmlist.VM, int64)
	// ownDemand is the current demand of this daemon's callers, by service. demands holds the
	// demand that each daemon has reported, by service and daemon.
	ownDemand map[string]demand
	demands   map[string]map[string]demand
}

type server struct {
	vm              vmlist.VM
	evacuate        chan struct{}
	evacuated       bool
	evacuationTimer *time.Timer

	running             int
	pendingPromptTokens int
	consecutiveFailures int
	suspectUntil        time.Time
	excessDelay         time.Duration
	excessDelayAt       time.Time
	serviceTime         time.Duration
	// limit is the server's latest request limit, liftedAt the time when it last ended, and quota
	// this daemon's share of it.
	limit    advice.Limit
	liftedAt time.Time
	quota    quota
	// leaving holds whether the server has announced that it leaves.
	leaving leavingState
	// backoffUntil is the end of the period in which the server accepts no requests from this
	// daemon.
	backoffUntil time.Time
}

// NewRegistry returns an empty registry for the daemon on the VM with the ID self.
func NewRegistry(self string, logger *slog.Logger) *Registry {
	return &Registry{
		self:        self,
		selfLeaving: make(chan time.Time, 1),
		logger:      logger,
		servers:     map[string]*server{},
		daemons:     map[string]vmlist.VM{},
		ownDemand:   map[string]demand{},
		demands:     map[string]map[string]demand{},
		changed:     make(chan struct{}),
	}
}

// ApplyConfig sets the configuration from which prefill rates and prices are read.
func (r *Registry) ApplyConfig(index *config.Index) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index = index
	r.notifyChanged()
}

// OnDaemonsChange registers a function that is called with all daemons of the deployment and the
// revision of the VM list whenever the daemons change.
func (r *Registry) OnDaemonsChange(f func(daemons []vmlist.VM, revision int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onDaemonsChange = append(r.onDaemonsChange, f)
}

func (r *Registry) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the registry.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Run polls the VM list and the reclaim notices until the context ends.
func (r *Registry) Run(ctx context.Context, lister vmlist.VMLister, provider cloud.Provider) {
	var loops sync.WaitGroup
	loops.Go(func() { r.pollVMList(ctx, lister) })
	loops.Go(func() { r.pollNotices(ctx, provider) })
	loops.Wait()
}

func (r *Registry) pollVMList(ctx context.Context, lister vmlist.VMLister) {
	for ctx.Err() == nil {
		changes, err := lister.ListVMs(ctx, r.revision, longPollTimeout)
		if err != nil {
			r.waitAfterError(ctx, "list VMs", err)
			continue
		}
		if changes.Skipped > 0 {
			r.logger.Warn("entries of the VM list cannot be decoded", "entries", changes.Skipped, "revision", changes.Revision)
		}
		r.Apply(changes)
	}
}

func (r *Registry) pollNotices(ctx context.Context, provider cloud.Provider) {
	var after int64
	for ctx.Err() == nil {
		notices, err := provider.Notices(ctx, after, longPollTimeout)
		for _, notice := range notices {
			after = max(after, notice.Sequence)
			r.HandleReclaimNotice(notice.VM, notice.Deadline)
		}
		if err != nil {
			r.waitAfterError(ctx, "get reclaim notices", err)
		}
	}
}

func (r *Registry) waitAfterError(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	r.logger.Warn("platform call failed", "call", call, "error", err)
	select {
	case <-time.After(retryDelay):
	case <-ctx.Done():
	}
}

// Apply applies changes of the VM list.
func (r *Registry) Apply(changes vmlist.VMChanges) {
	r.mu.Lock()
	if changes.Full {
		r.removeMissing(changes.VMs)
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
		r.updateQuotas(time.Now())
	}
	r.notifyChanged()
	r.mu.Unlock()
	if daemonsChanged {
		r.notifyDaemonsChange()
	}
}

// notifyDaemonsChange calls the functions registered with OnDaemonsChange.
func (r *Registry) notifyDaemonsChange() {
	r.mu.Lock()
	callbacks := slices.Clone(r.onDaemonsChange)
	revision := r.revision
	r.mu.Unlock()
	daemons := r.Daemons()
	for _, callback := range callbacks {
		callback(daemons, revision)
	}
}

// SelfLeaving returns a channel that receives the deadline when the reclaim of this daemon's own VM
// is announced.
func (r *Registry) SelfLeaving() <-chan time.Time { return r.selfLeaving }

// removeMissing removes the servers and daemons that a full VM list does not contain.
func (r *Registry) removeMissing(vms []vmlist.VM) {
	present := map[string]bool{}
	for _, vm := range vms {
		present[vm.ID] = true
	}
	for id, s := range r.servers {
		if !present[id] {
			s.evacuateNow()
			delete(r.servers, id)
		}
	}
	for id := range r.daemons {
		if !present[id] {
			delete(r.daemons, id)
			r.removeDemand(id)
		}
	}
}

func (r *Registry) applyDaemon(vm vmlist.VM) {
	if vm.State == vmlist.VMGone {
		delete(r.daemons, vm.ID)
		r.removeDemand(vm.ID)
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
			s.evacuateNow()
			delete(r.servers, vm.ID)
		}
		return
	}
	if s == nil {
		s = &server{vm: vm, evacuate: make(chan struct{})}
		r.servers[vm.ID] = s
		return
	}
	// A reclaim notice can arrive before the list is updated, and leaving is never reverted.
	if s.vm.State == vmlist.VMLeaving {
		vm.State = vmlist.VMLeaving
	}
	s.vm = vm
}

// evacuateNow signals all attempts on the server to move to another server immediately.
func (s *server) evacuateNow() {
	if s.evacuationTimer != nil {
		s.evacuationTimer.Stop()
	}
	if !s.evacuated {
		s.evacuated = true
		close(s.evacuate)
	}
}

// HandleReclaimNotice marks a VM as leaving. Streams on the VM are moved shortly before the
// deadline.
func (r *Registry) HandleReclaimNotice(id string, deadline time.Time) {
	if id == r.self {
		select {
		case r.selfLeaving <- deadline:
		default:
		}
	}
	if r.markLeaving(id, deadline) {
		r.notifyDaemonsChange()
	}
}

// markLeaving marks a VM as leaving and reports whether the VM is a daemon's.
func (r *Registry) markLeaving(id string, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if daemon, ok := r.daemons[id]; ok {
		daemon.State = vmlist.VMLeaving
		r.daemons[id] = daemon
		r.updateQuotas(time.Now())
		return true
	}
	s := r.servers[id]
	if s == nil || s.evacuationTimer != nil {
		return false
	}
	s.vm.State = vmlist.VMLeaving
	remaining := time.Until(deadline)
	margin := min(evacuationMargin, remaining/2)
	s.evacuationTimer = time.AfterFunc(remaining-margin, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.evacuateNow()
	})
	r.notifyChanged()
	return false
}

// Daemons returns the entry VMs, ordered by ID.
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

// ServerCounts returns the number of servers of each service, by state.
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

// Candidates returns the servers of a service for the router. It counts a request toward the demand
// for the service; promptTokens is the size of its prompt.
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
			candidates = append(candidates, r.candidate(s, definition, promptTokens, now))
		}
	}
	return candidates
}

func (r *Registry) candidate(s *server, definition *config.Service, promptTokens int, now time.Time) route.Server {
	candidate := route.Server{
		ID:               s.vm.ID,
		Zone:             s.vm.Zone,
		Address:          s.vm.Address,
		Version:          s.vm.Version,
		PricePerHour:     r.index.Price(s.vm.Class, s.vm.Zone, config.Market(s.vm.Market)),
		Leaving:          !s.acceptsRequests(now) || s.admissionWait(now) > 0,
		Suspect:          now.Before(s.suspectUntil),
		Running:          s.running,
		ExcessDelay:      s.decayedExcessDelay(now),
		ServiceTime:      s.serviceTime,
		MaxBatch:         1,
		CrossZoneLatency: route.DefaultCrossZoneLatency,
	}
	if definition.Model != nil {
		candidate.MaxBatch = definition.Model.MaxBatch
		candidate.Queue = prefillTime(s.pendingPromptTokens, definition.Model.PrefillRate)
		candidate.IdleWait = prefillTime(promptTokens, definition.Model.PrefillRate)
	}
	return candidate
}

// prefillTime returns how long an engine takes to prefill the tokens at a rate in tokens per
// second. It returns zero if the rate is unknown.
func prefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// decayedExcessDelay returns the excess delay, halved for each half-life that has passed since it
// was observed.
func (s *server) decayedExcessDelay(now time.Time) time.Duration {
	halvings := now.Sub(s.excessDelayAt) / excessDelayHalfLife
	if halvings > 16 {
		return 0
	}
	return s.excessDelay >> halvings
}
