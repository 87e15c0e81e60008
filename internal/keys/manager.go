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

// homesKey is the key of the homes in the Object API.
const homesKey = "homes"

const (
	// watchWait is how long one watch call waits.
	watchWait = 30 * time.Second
	// claimInterval is the time between two looks for free slots.
	claimInterval = 2 * time.Second
	// commitTimeout is how long an intent may take to reach the log before a
	// peer is asked to keep it.
	commitTimeout = 500 * time.Millisecond
	// cleanupInterval is the time between two removals of old batches.
	cleanupInterval = time.Hour
)

// ErrNotKept means that neither the log nor a peer took an intent.
var ErrNotKept = errors.New("the key could be recorded nowhere")

// Verdict says what becomes of a request with a key.
type Verdict string

// The verdicts.
const (
	// VerdictRun means that the request has been accepted.
	VerdictRun Verdict = "run"
	// VerdictInFlight means that the key's request has not ended.
	VerdictInFlight Verdict = "in-flight"
	// VerdictReplay means that the key's request has the answer given.
	VerdictReplay Verdict = "replay"
	// VerdictAnswerNotKept means that the key's request has run but its answer was too
	// large to keep.
	VerdictAnswerNotKept Verdict = "gone"
	// VerdictMismatch means that the key was used for another request.
	VerdictMismatch Verdict = "mismatch"
	// VerdictUnknown means that the key's request may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictRefused means that nothing has run with this key.
	VerdictRefused Verdict = "refused"
	// VerdictHomeUnreachable means that the home of the key could not be asked. This
	// request has not run, but an earlier one with the key may have.
	VerdictHomeUnreachable Verdict = "away"
)

// Result is the answer to a request with a key.
type Result struct {
	Verdict   Verdict              `json:"verdict"`
	RequestID request.ID           `json:"request_id,omitempty"`
	Answer    *request.PlainAnswer `json:"answer,omitempty"`
	Refusal   *dispatch.Refusal    `json:"refusal,omitempty"`
}

// HomeUnreachable returns the result of a request whose key's home could not be asked.
func HomeUnreachable(detail string) Result {
	return Result{Verdict: VerdictHomeUnreachable, Refusal: &dispatch.Refusal{
		Status: http.StatusServiceUnavailable, Detail: detail, RetryAfter: time.Second,
	}}
}

// Peers are the other daemons, as the manager needs them.
type Peers interface {
	// SelfListed returns a revision of the VM list that shows this daemon's VM,
	// and false while there is none.
	SelfListed() (int64, bool)
	// Dead reports whether a process is proved dead.
	Dead(Holder) bool
	// Zones returns the availability zones whose free slots this daemon may
	// take, each with the daemons among which the slots are divided: its own
	// and those that are proved to have no daemon left.
	Zones() map[string][]string
	// Keep asks one of the daemons to bring records to the log.
	Keep(ctx context.Context, daemons []string, records []Record) error
	// Collect returns the records that a process still has to bring to the log.
	Collect(ctx context.Context, holder Holder) ([]Record, error)
	// Forward submits a request at the holder of its key.
	Forward(ctx context.Context, holder Holder, spec request.Spec) (Result, error)
	// Locate finds a request at this daemon or at another.
	Locate(ctx context.Context, id request.ID) (dispatch.Source, error)
}

// Kind is the kind of object that keys are kept in.
const Kind = "plankridge-keys"

// Options are what a Manager works with.
type Options struct {
	Self       Holder
	Zone       string
	Store      store.Values
	Peers      Peers
	Dispatcher *dispatch.Dispatcher
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Manager holds the slots that fall to a daemon and runs their requests.
type Manager struct {
	options     Options
	committer   *Committer
	ledger      *Ledger
	slotsHeld   prometheus.Gauge
	keptByPeers prometheus.Counter

	// freeChecks counts the looks at which a zone had free slots; only Run uses it.
	freeChecks map[string]int

	mu           sync.Mutex
	homes        *Homes
	homesVersion int64
	// serving are the homes whose keys this daemon knows in full.
	serving map[Home]bool
	// starting are requests whose keys are taken and which the dispatcher is
	// about to know.
	starting map[request.ID]bool
	leaving  bool
}

// NewManager returns a manager that holds nothing yet.
func NewManager(options Options) *Manager {
	m := &Manager{
		options:    options,
		committer:  NewCommitter(options.Store, processName(options.Self), options.Logger),
		ledger:     NewLedger(),
		homes:      &Homes{},
		serving:    map[Home]bool{},
		starting:   map[request.ID]bool{},
		freeChecks: map[string]int{},
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

// processName is unique among all processes.
func processName(self Holder) string {
	raw, _ := json.Marshal(self.Incarnation)
	return self.Daemon + "-" + string(raw)
}

// Run follows the homes, claims free slots and writes the log until the
// context ends.
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

// applyHomes puts a newer version of the homes in force.
func (m *Manager) applyHomes(object store.Value) error {
	homes := &Homes{}
	if err := json.Unmarshal(object.Data, homes); err != nil {
		return eris.Wrap(err, "decode homes of keys")
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

// claimSlots takes the free slots that fall to this daemon, and serves those that
// it holds once it knows their keys.
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
	if changed && !m.putHomes(ctx, next, version) {
		return
	}
	for zone, slots := range m.unservedSlots() {
		m.loadSlots(ctx, zone, slots)
	}
}

// desiredHomes returns the homes with what this daemon should hold, and whether that
// is a change. A daemon that is not among its zone's writers stays out of them
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

// eagerAfterChecks is the number of looks after which a daemon takes a free slot that
// falls to another one, which may be about to start or to go.
const eagerAfterChecks = 3

// freeForLong reports whether slots of a zone have been free for several looks.
func (m *Manager) freeForLong(homes *Homes, zone string) bool {
	if homes.FreeSlots(zone, m.options.Peers.Dead) == 0 {
		delete(m.freeChecks, zone)
		return false
	}
	m.freeChecks[zone]++
	return m.freeChecks[zone] > eagerAfterChecks
}

// unservedSlots returns the slots that are held and not served yet, by zone.
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

// putHomes writes the homes. After an error the next look decides anew: the slots
// are served only once they have been read back.
func (m *Manager) putHomes(ctx context.Context, next *Homes, version int64) bool {
	raw, err := json.Marshal(next)
	if err != nil {
		panic("keys: homes do not encode: " + err.Error())
	}
	object, err := m.options.Store.Put(ctx, homesKey, raw, version)
	if err != nil {
		return false
	}
	object.Data = raw
	return m.applyHomes(object) == nil
}

// Release gives all slots back. It is called when no request with a key runs
// here any more, or shortly before the VM goes.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.serving = map[Home]bool{}
	m.slotsHeld.Set(0)
	m.mu.Unlock()
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

// keepers returns the other enrolled daemons of the own zone.
func (m *Manager) keepers() []string {
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

// ErrNotEnrolled means that a process must not take records yet, or any more.
var ErrNotEnrolled = errors.New("process is not enrolled for keys")

// KeepForPeer takes records that another daemon could not bring to the log.
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

// Pending returns the records that this daemon still has to bring to the log.
func (m *Manager) Pending() []Record { return m.committer.Pending() }
