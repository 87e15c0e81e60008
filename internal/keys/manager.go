package keys

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/store"
)

// homesKey is the key of the homes object in the Object API.
const homesKey = "homes"

const (
	// watchWait is the maximum duration of one watch call.
	watchWait = 30 * time.Second
	// claimInterval is the time between two checks for free slots.
	claimInterval = 2 * time.Second
	// commitTimeout is how long an intent may take to reach the log before a peer is asked to
	// keep it.
	commitTimeout = 500 * time.Millisecond
	// cleanupInterval is the time between two removals of old batches.
	cleanupInterval = time.Hour
)

// ErrNotKept means that an intent was stored neither in the log nor at a peer.
var ErrNotKept = errors.New("the key could be recorded nowhere")

// Verdict is the decision on a request with a key.
type Verdict string

// Verdicts.
const (
	// VerdictRun means that the request has been accepted.
	VerdictRun Verdict = "run"
	// VerdictInFlight means that the earlier request with the key has not ended.
	VerdictInFlight Verdict = "in-flight"
	// VerdictReplay means that the earlier request with the key has the returned answer.
	VerdictReplay Verdict = "replay"
	// VerdictAnswerNotKept means that the earlier request with the key has run, but its answer
	// was too large to keep.
	VerdictAnswerNotKept Verdict = "gone"
	// VerdictMismatch means that the key was used for a different request.
	VerdictMismatch Verdict = "mismatch"
	// VerdictUnknown means that the earlier request with the key may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictRefused means that no request with the key has run.
	VerdictRefused Verdict = "refused"
	// VerdictHomeUnreachable means that the home of the key could not be reached. This request
	// has not run, but an earlier one with the key may have.
	VerdictHomeUnreachable Verdict = "away"
)

// Result is the response to a request with a key.
type Result struct {
	Verdict   Verdict              `json:"verdict"`
	RequestID request.ID           `json:"request_id,omitempty"`
	Answer    *request.PlainAnswer `json:"answer,omitempty"`
	Refusal   *dispatch.Refusal    `json:"refusal,omitempty"`
}

// HomeUnreachable returns the result for a request whose key's home could not be reached.
func HomeUnreachable(detail string) Result {
	return Result{Verdict: VerdictHomeUnreachable, Refusal: &dispatch.Refusal{
		Status: http.StatusServiceUnavailable, Detail: detail, RetryAfter: time.Second,
	}}
}

// Peers provides the manager's access to other daemons.
type Peers interface {
	// SelfListed returns a revision of the VM list that contains this daemon's VM, or false if
	// there is none yet.
	SelfListed() (int64, bool)
	// Dead reports whether a process is proved dead.
	Dead(Holder) bool
	// Zones returns the availability zones whose free slots this daemon may claim: its own
	// zone, and zones that are proved to have no daemon left. Each zone maps to the daemons
	// among which its slots are distributed.
	Zones() map[string][]string
	// Keep asks one of the daemons to write records to the log.
	Keep(ctx context.Context, daemons []string, records []Record) error
	// Collect returns the records of a process that are not in the log yet.
	Collect(ctx context.Context, holder Holder) ([]Record, error)
	// Forward submits a request to the holder of its key.
	Forward(ctx context.Context, holder Holder, spec request.Spec) (Result, error)
	// Locate finds a request at this daemon or at a peer.
	Locate(ctx context.Context, id request.ID) (dispatch.Source, error)
}

// Kind is the kind of the stored objects for keys.
const Kind = "plankridge-keys"

// Options holds the dependencies and settings of a Manager.
type Options struct {
	Self       Holder
	Zone       string
	Store      store.Values
	Peers      Peers
	Dispatcher *dispatch.Dispatcher
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Manager holds the slots assigned to a daemon and runs the requests whose keys belong to them.
type Manager struct {
	options     Options
	committer   *Committer
	ledger      *Ledger
	slotsHeld   prometheus.Gauge
	keptByPeers prometheus.Counter

	// freeChecks counts, by zone, the consecutive checks with free slots. Only Run uses it.
	freeChecks map[string]int
	// homesWrite is full while the homes are being written. It is a channel and not a mutex, so that
	// waiting can be cancelled.
	homesWrite chan struct{}

	mu           sync.Mutex
	homes        *Homes
	homesVersion int64
	// serving holds the slots whose keys are loaded completely.
	serving map[Home]bool
	// starting holds the requests that have claimed their key but are not yet registered with
	// the dispatcher.
	starting map[request.ID]bool
	leaving  bool
}

// NewManager returns a Manager that holds no slots yet.
func NewManager(options Options) *Manager {
	m := &Manager{
		options:    options,
		committer:  NewCommitter(options.Store, processName(options.Self), options.Logger),
		ledger:     NewLedger(),
		homes:      &Homes{},
		serving:    map[Home]bool{},
		starting:   map[request.ID]bool{},
		freeChecks: map[string]int{},
		homesWrite: make(chan struct{}, 1),
		slotsHeld: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "plankridge_key_slots_held", Help: "Slots of idempotency keys that this daemon serves.",
		}),
		keptByPeers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "plankridge_keys_kept_by_peers_total", Help: "Intents kept by a peer because the Object API did not take them in time.",
		}),
	}
	options.Registerer.MustRegister(m.slotsHeld, m.keptByPeers)
	return m
}

// processName returns a name that is unique among all processes.
func processName(self Holder) string {
	raw, _ := json.Marshal(self.Incarnation)
	return self.Daemon + "-" + string(raw)
}

// Run watches the homes, claims free slots and writes the log until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.committer.Run(ctx) })
	loops.Go(func() { m.watchHomes(ctx) })
	loops.Go(func() { m.removeOldBatches(ctx) })
	for {
		m.claimSlots(ctx)
		if !pause(ctx, claimInterval) {
			break
		}
	}
	loops.Wait()
}

func (m *Manager) watchHomes(ctx context.Context) {
	for ctx.Err() == nil {
		object, err := m.options.Store.Watch(ctx, homesKey, m.knownVersion(), watchWait)
		if errors.Is(err, store.ErrUnchanged) {
			continue
		}
		if err == nil {
			err = m.applyHomes(object)
		}
		if err != nil {
			pause(ctx, claimInterval)
		}
	}
}

func (m *Manager) knownVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.homesVersion
}

// applyHomes replaces the homes if the object is newer.
func (m *Manager) applyHomes(object store.Value) error {
	homes := &Homes{}
	if err := json.Unmarshal(object.Data, homes); err != nil {
		return eris.Wrap(err, "decode homes object")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if object.Version <= m.homesVersion {
		return nil
	}
	m.homes, m.homesVersion = homes, object.Version
	writers := map[Holder]bool{}
	for _, slots := range homes.Zones {
		for _, holder := range slots {
			writers[holder] = true
		}
	}
	m.committer.SetWriters(len(writers))
	return nil
}

// claimSlots claims the free slots assigned to this daemon, and loads the keys of held slots
// that are not served yet.
func (m *Manager) claimSlots(ctx context.Context) {
	m.mu.Lock()
	homes, version, leaving := m.homes, m.homesVersion, m.leaving
	m.mu.Unlock()
	listed, ok := m.options.Peers.SelfListed()
	if leaving || !ok {
		return
	}
	self := m.options.Self
	self.ListedRevision = listed
	next, changed := m.desiredHomes(homes, self)
	if changed && !m.claimHomes(ctx, next, version) {
		return
	}
	for zone, slots := range m.unservedSlots() {
		m.loadSlots(ctx, zone, slots)
	}
}

// desiredHomes returns the homes with the slots and the enrolment that this daemon should have,
// and whether that is a change. A daemon that is not among its zone's writers claims nothing
// unless slots have been free for long.
func (m *Manager) desiredHomes(homes *Homes, self Holder) (*Homes, bool) {
	zones := m.options.Peers.Zones()
	next, claims := homes, 0
	for zone, members := range zones {
		var claimed bool
		writers := Writers(zone, members)
		next, claimed = next.Claim(zone, self, writers, m.options.Peers.Dead, m.freeForLong(homes, zone))
		if claimed {
			claims++
		}
	}
	if claims == 0 && !slices.Contains(Writers(m.options.Zone, zones[m.options.Zone]), self.Daemon) {
		return homes, false
	}
	next, enrolling := next.Enrol(m.options.Zone, self)
	return next, enrolling || claims > 0
}

// eagerAfterChecks is the number of checks after which a daemon claims a free slot that is
// assigned to another daemon. Until then, that daemon may be about to start or to leave.
const eagerAfterChecks = 3

// freeForLong reports whether slots of a zone have been free for several checks.
func (m *Manager) freeForLong(homes *Homes, zone string) bool {
	if homes.FreeSlots(zone, m.options.Peers.Dead) == 0 {
		delete(m.freeChecks, zone)
		return false
	}
	m.freeChecks[zone]++
	return m.freeChecks[zone] > eagerAfterChecks
}

// unservedSlots returns, by zone, the slots that are held but not served yet.
func (m *Manager) unservedSlots() map[string][]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	missing := map[string][]int{}
	for _, home := range m.homes.HeldBy(m.options.Self) {
		if !m.serving[home] {
			missing[home.Zone] = append(missing[home.Zone], home.Slot)
		}
	}
	return missing
}

// claimHomes writes homes in which this daemon holds more slots, unless it is leaving.
func (m *Manager) claimHomes(ctx context.Context, next *Homes, version int64) bool {
	if !m.beginHomesWrite(ctx) {
		return false
	}
	defer m.endHomesWrite()
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	return !leaving && m.putHomes(ctx, next, version)
}

// beginHomesWrite waits until no other write of the homes is in progress. It returns false if the
// context ends first.
func (m *Manager) beginHomesWrite(ctx context.Context) bool {
	select {
	case m.homesWrite <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) endHomesWrite() { <-m.homesWrite }

// putHomes writes the homes. After an error, the next check decides again: slots are served
// only once the homes have been read back.
func (m *Manager) putHomes(ctx context.Context, next *Homes, version int64) bool {
	raw, err := json.Marshal(next)
	if err != nil {
		panic("keys: encode homes: " + err.Error())
	}
	object, err := m.options.Store.Put(ctx, homesKey, raw, version)
	if err != nil {
		return false
	}
	object.Data = raw
	return m.applyHomes(object) == nil
}

// Release releases all slots, also those that are being claimed. Call it when no request with a key
// is running here any more, or shortly before the VM is reclaimed.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.serving = map[Home]bool{}
	m.slotsHeld.Set(0)
	m.mu.Unlock()
	if !m.beginHomesWrite(ctx) {
		return
	}
	defer m.endHomesWrite()
	for _, record := range m.committer.Pending() {
		select {
		case <-m.committer.Append(record):
		case <-ctx.Done():
			return
		}
	}
	for ctx.Err() == nil {
		m.mu.Lock()
		homes, version := m.homes, m.homesVersion
		m.mu.Unlock()
		if !homes.Enrolled[m.options.Self.Daemon].sameProcess(m.options.Self) || m.putHomes(ctx, homes.Release(m.options.Zone, m.options.Self), version) {
			return
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// enrolledPeers returns the other enrolled daemons of this daemon's zone.
func (m *Manager) enrolledPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, member := range m.homes.Enrolled {
		if member.Zone == m.options.Zone && name != m.options.Self.Daemon {
			names = append(names, name)
		}
	}
	return names
}

// ErrNotEnrolled means that a process must not accept records yet, or no longer.
var ErrNotEnrolled = errors.New("process is not enrolled for keys")

// KeepForPeer accepts records that another daemon could not write to the log.
func (m *Manager) KeepForPeer(records []Record) error {
	m.mu.Lock()
	ready := !m.leaving && m.homes.Enrolled[m.options.Self.Daemon].sameProcess(m.options.Self)
	m.mu.Unlock()
	if !ready {
		return ErrNotEnrolled
	}
	for _, record := range records {
		m.committer.Append(record)
	}
	return nil
}

// Serving returns the number of slots that this daemon serves.
func (m *Manager) Serving() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.serving)
}

// Pending returns the records of this daemon that are not in the log yet.
func (m *Manager) Pending() []Record { return m.committer.Pending() }
