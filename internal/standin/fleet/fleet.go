// Package fleet is a stand-in of the cloud API and of the VM list. It starts
// and stops backend servers inside this process, announces reclaims and ends
// them at their deadline.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/cloud"
	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// Launcher starts the process of a new VM. It returns the address of the
// process and a function that kills it.
type Launcher func(vm vmlist.VM) (address string, kill func(), err error)

// Fleet is the stand-in.
type Fleet struct {
	// Faults are the switches of the cloud API. Refuse declines new VMs.
	Faults faults.Switches
	// ListFaults are the switches of the VM list.
	ListFaults faults.Switches

	launch  Launcher
	lag     time.Duration
	mu      sync.Mutex
	members map[string]*member
	orders  map[string]string
	changes []change
	notices []cloud.Notice
	changed chan struct{}
	nextID  int
	// versionOf returns the software version of a backend server. It may be nil.
	versionOf func(vm vmlist.VM) string
}

type member struct {
	vm   vmlist.VM
	kill func()
}

// change is one entry of the VM list's history. It becomes visible after the
// list's lag.
type change struct {
	vm      vmlist.VM
	visible time.Time
}

// New returns an empty fleet whose VM list shows changes at once.
func New(launch Launcher) *Fleet {
	return &Fleet{
		launch:  launch,
		members: map[string]*member{},
		orders:  map[string]string{},
		changed: make(chan struct{}),
	}
}

// SetLag sets how late the VM list shows later changes.
func (f *Fleet) SetLag(lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = lag
}

// Add puts a VM into the list at once. kill, when not nil, ends its process.
func (f *Fleet) Add(vm vmlist.VM, kill func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.State = vmlist.VMLive
	f.members[vm.ID] = &member{vm: vm, kill: kill}
	f.record(vm, 0)
}

// SetVersions sets the software version of each backend server, also of those that start later.
func (f *Fleet) SetVersions(versionOf func(vm vmlist.VM) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versionOf = versionOf
	for _, m := range f.members {
		f.record(m.vm, f.lag)
	}
}

// record appends a change; the caller holds the lock.
func (f *Fleet) record(vm vmlist.VM, lag time.Duration) {
	if f.versionOf != nil && vm.Role == vmlist.RoleBackend {
		vm.Version = f.versionOf(vm)
	}
	f.changes = append(f.changes, change{vm: vm, visible: time.Now().Add(lag)})
	f.wake()
}

// wake ends the waits of long polls; the caller holds the lock.
func (f *Fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Start launches a VM. The same order ID returns the same VM.
func (f *Fleet) Start(order cloud.StartOrder) (vmlist.VM, error) {
	f.mu.Lock()
	if id, done := f.orders[order.OrderID]; done && f.members[id] != nil {
		defer f.mu.Unlock()
		return f.members[id].vm, nil
	}
	f.nextID++
	vm := vmlist.VM{
		ID:      fmt.Sprintf("%s-%s-%d", order.Service, order.Zone, f.nextID),
		Zone:    order.Zone,
		Role:    vmlist.RoleBackend,
		Service: order.Service,
		Class:   order.Class,
		Market:  string(order.Market),
		State:   vmlist.VMLive,
	}
	f.orders[order.OrderID] = vm.ID
	f.mu.Unlock()

	address, kill, err := f.launch(vm)
	if err != nil {
		return vmlist.VM{}, err
	}
	vm.Address = address
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[vm.ID] = &member{vm: vm, kill: kill}
	f.record(vm, f.lag)
	return vm, nil
}

// Reclaim announces the reclaim of a VM and ends it when the notice is over.
func (f *Fleet) Reclaim(id string, notice time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || m.vm.State != vmlist.VMLive {
		return
	}
	m.vm.State = vmlist.VMLeaving
	deadline := time.Now().Add(notice)
	f.notices = append(f.notices, cloud.Notice{Sequence: int64(len(f.notices) + 1), VM: id, Deadline: deadline})
	f.record(m.vm, f.lag)
	time.AfterFunc(notice, func() { f.Kill(id) })
}

// ReclaimZone reclaims every VM of an availability zone with a role and
// returns how many there were.
func (f *Fleet) ReclaimZone(zone string, role vmlist.Role, notice time.Duration) int {
	f.mu.Lock()
	var ids []string
	for id, m := range f.members {
		if m.vm.Zone == zone && m.vm.Role == role {
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	for _, id := range ids {
		f.Reclaim(id, notice)
	}
	return len(ids)
}

// Kill ends a VM without notice.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	m := f.members[id]
	if m == nil {
		f.mu.Unlock()
		return
	}
	delete(f.members, id)
	m.vm.State = vmlist.VMGone
	f.record(m.vm, f.lag)
	f.mu.Unlock()
	if m.kill != nil {
		m.kill()
	}
}

// KillAll ends every VM.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	var ids []string
	for id := range f.members {
		ids = append(ids, id)
	}
	f.mu.Unlock()
	for _, id := range ids {
		f.Kill(id)
	}
}

// Members returns the VMs that are not gone.
func (f *Fleet) Members() []vmlist.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var vms []vmlist.VM
	for _, m := range f.members {
		vms = append(vms, m.vm)
	}
	return vms
}

// CloudHandler serves the cloud API. POST /reclaim is the stand-in's own
// switch that causes a reclaim.
func (f *Fleet) CloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /vms", f.serveStart)
	mux.HandleFunc("DELETE /vms/{id}", func(_ http.ResponseWriter, r *http.Request) { f.Kill(r.PathValue("id")) })
	mux.HandleFunc("GET /notices", f.serveNotices)
	mux.HandleFunc("POST /reclaim", f.serveReclaim)
	return f.Faults.Wrap(mux)
}

func (f *Fleet) serveStart(w http.ResponseWriter, r *http.Request) {
	var order cloud.StartOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Faults.Get().Refuse {
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	vm, err := f.Start(order)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(vm)
}

// ReclaimRequest is the body of POST /reclaim.
type ReclaimRequest struct {
	VM     string      `json:"vm,omitempty"`
	Zone   string      `json:"zone,omitempty"`
	Role   vmlist.Role `json:"role,omitempty"`
	Notice string      `json:"notice"`
}

func (f *Fleet) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var body ReclaimRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	notice, err := time.ParseDuration(body.Notice)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if body.VM != "" {
		f.Reclaim(body.VM, notice)
		return
	}
	count := f.ReclaimZone(body.Zone, body.Role, notice)
	_ = json.NewEncoder(w).Encode(map[string]int{"reclaimed": count})
}

func (f *Fleet) serveNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	poll(w, r, func() (any, <-chan struct{}, time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if int64(len(f.notices)) > after {
			return f.notices[after:], nil, time.Time{}
		}
		return nil, f.changed, time.Time{}
	}, []cloud.Notice{})
}

// ListHandler serves the VM list.
func (f *Fleet) ListHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", f.serveList)
	return f.ListFaults.Wrap(mux)
}

func (f *Fleet) serveList(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	poll(w, r, func() (any, <-chan struct{}, time.Time) {
		changes, next := f.visibleChanges(after)
		if changes.Revision > after || changes.Full {
			return changes, nil, time.Time{}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		return nil, f.changed, next
	}, vmlist.VMChanges{Revision: after, VMs: []vmlist.VM{}})
}

// visibleChanges returns the changes after a revision that the list's lag lets
// through, and when the next one is due.
func (f *Fleet) visibleChanges(after int64) (vmlist.VMChanges, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	latest := map[string]vmlist.VM{}
	revision := int64(0)
	var next time.Time
	for i, c := range f.changes {
		if c.visible.After(now) {
			next = c.visible
			break
		}
		revision = int64(i + 1)
		if revision > after {
			latest[c.vm.ID] = c.vm
		}
	}
	changes := vmlist.VMChanges{Revision: revision, Full: after == 0, VMs: []vmlist.VM{}}
	for _, vm := range latest {
		if changes.Full && vm.State == vmlist.VMGone {
			continue
		}
		changes.VMs = append(changes.VMs, vm)
	}
	return changes, next
}

// poll answers with what look finds, waiting for it as long as the caller asks.
func poll(w http.ResponseWriter, r *http.Request, look func() (any, <-chan struct{}, time.Time), empty any) {
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		found, changed, next := look()
		if found != nil {
			_ = json.NewEncoder(w).Encode(found)
			return
		}
		due := make(<-chan time.Time)
		if !next.IsZero() {
			timer := time.NewTimer(time.Until(next))
			defer timer.Stop()
			due = timer.C
		}
		select {
		case <-changed:
		case <-due:
		case <-deadline.C:
			_ = json.NewEncoder(w).Encode(empty)
			return
		case <-r.Context().Done():
			return
		}
	}
}
