// Package duty runs the tasks that one daemon at a time performs for the whole deployment: it
// holds the lease, reports usage and orders backend servers.
package duty

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/steady"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/usage"
)

// The kind and name of the lease object in the store.
const (
	LeaseKind = "plankridge-leases"
	LeaseName = "cloud"
)

// ErrDeclined means that the cloud took no action, because it has seen a higher fencing number
// or has no such server available.
var ErrDeclined = errors.New("cloud declined the call")

// FencingToken identifies a lease holder to the cloud, which rejects calls with an older
// fencing number.
type FencingToken struct {
	Holder string
	Fence  int64
}

// Order requests a number of servers of one market in one zone.
type Order struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// Cloud receives the calls of the lease holder.
type Cloud interface {
	ReportUsage(ctx context.Context, token FencingToken, window int64, counts usage.Counts) error
	Scale(ctx context.Context, token FencingToken, order Order) error
}

// Peers reports the state of the other daemons, as far as it matters for the lease.
type Peers interface {
	// HolderReachable reports whether another daemon that can be reached holds the lease.
	HolderReachable() bool
	// Rank returns this daemon's position among the reachable daemons, from zero.
	Rank() int
	// AllReachable reports whether every known daemon can be reached, directly or through the
	// leaders of the zones.
	AllReachable() bool
	// Zone returns this daemon's zone, whether the daemon aggregates the reports of the zone,
	// and whether other daemons may not receive its reports.
	Zone() (name string, sumsZone, isolated bool)
}

const (
	// leaseTick is the time between two checks of the lease.
	leaseTick = 100 * time.Millisecond
	// renewInterval is the time between renewals. Each renewal also writes the state from which
	// daemons start when no other is left. An older state misses recent requests: a
	// workspace that began to ask for four times its allowance about a second before can get
	// 1.13 of what the rule allows with a second between renewals, and 1.06 with half a
	// second. A shorter interval costs more, as each renewal makes calls to the store that are
	// paid for.
	renewInterval = 500 * time.Millisecond
	// renewRetryInterval is the time between attempts at a renewal or release that fails.
	renewRetryInterval = 300 * time.Millisecond
	// acquireInterval is the time between two attempts to acquire a lease without a known
	// holder. Each daemon waits longer by its rank times rankDelay.
	acquireInterval = 500 * time.Millisecond
	rankDelay       = 500 * time.Millisecond
)

// Options configure an Elector.
type Options struct {
	Self string
	// Address is where the daemon listens for its peers.
	Address     string
	Incarnation uint64
	// Duration is how long a lease lasts without renewal.
	Duration time.Duration
	Store    store.Store
	Peers    Peers
	Logger   *slog.Logger
	// NotifyPeers reports a change of the holder to the peers at once.
	NotifyPeers func()
	// BuildSnapshot returns the snapshot to write with a renewal, which replaces the recorded one.
	BuildSnapshot func(recorded lease.Snapshot) lease.Snapshot
	// Now is the clock of the lease. The default is a clock that advances while the VM is
	// suspended.
	Now func() time.Time
	// OnSnapshot receives the snapshot of each record that is read.
	OnSnapshot func(lease.Snapshot)
}

// Elector acquires and renews the lease for one daemon.
type Elector struct {
	options Options

	mu      sync.Mutex
	tracker *lease.Tracker
	// writeSlot is full while a write of the record is in progress. It is a channel and not a
	// mutex, so that waiting can be cancelled.
	writeSlot chan struct{}
	// renewedAt is when the last successful renewal began, renewTriedAt when the last attempt
	// began.
	renewedAt    time.Time
	renewTriedAt time.Time
	// acquireTriedAt is when the lease was last read to acquire it, holderSeenAt when another
	// holder was last reachable.
	acquireTriedAt time.Time
	holderSeenAt   time.Time
	// wasHeld is whether this daemon held the lease at the last check.
	wasHeld   bool
	releasing bool
	// succeedsOwnLease is set when an earlier process of this VM held the lease, which no other
	// daemon can acquire before it expires.
	succeedsOwnLease bool
}

// NewElector returns an Elector that does not hold the lease.
func NewElector(options Options) *Elector {
	if options.Now == nil {
		options.Now = steady.Now
	}
	keeper := lease.NewTracker(options.Self, options.Incarnation, options.Duration)
	keeper.SetAddress(options.Address)
	return &Elector{options: options, tracker: keeper, writeSlot: make(chan struct{}, 1)}
}

// Token returns the fencing token, and whether this daemon may act with it now. Its fencing number is
// zero if not, so that peers that receive it do not wait for a daemon that releases the lease.
func (e *Elector) Token() (FencingToken, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.releasing {
		return FencingToken{Holder: e.options.Self}, false
	}
	fence, ok := e.tracker.Holds(e.options.Now())
	return FencingToken{Holder: e.options.Self, Fence: fence}, ok
}

// Run acquires and renews the lease until the context ends.
func (e *Elector) Run(ctx context.Context) {
	// The ranks are known once the daemons have exchanged reports. If all daemons read the
	// lease at once, a start of 300 daemons would cost as many more calls.
	now := e.options.Now()
	e.locked(func() { e.holderSeenAt, e.acquireTriedAt = now, now })
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		e.step(ctx, e.options.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Elector) step(ctx context.Context, now time.Time) {
	_, holds := e.Token()
	e.recordTransition(holds)
	switch {
	case e.isReleasing():
	case holds:
		if e.renewalDue(now) {
			e.renew(ctx, nil)
		}
	case e.options.Peers.HolderReachable():
		e.locked(func() { e.holderSeenAt = now })
	case e.acquireDue(now):
		e.locked(func() { e.acquireTriedAt, e.succeedsOwnLease = now, false })
		e.tryAcquire(ctx)
	}
}

func (e *Elector) renewalDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.renewedAt) >= renewInterval && now.Sub(e.renewTriedAt) >= renewRetryInterval
}

func (e *Elector) locked(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *Elector) isReleasing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.releasing
}

func (e *Elector) recordTransition(holds bool) {
	if holds == e.wasHeld {
		return
	}
	e.wasHeld = holds
	token, _ := e.Token()
	e.options.Logger.Info("lease changed", "held", holds, "fence", token.Fence)
	e.options.NotifyPeers()
}

// acquireDue makes the daemons read a lease without a known holder one after the other, which
// keeps write conflicts rare.
func (e *Elector) acquireDue(now time.Time) bool {
	rankWait := time.Duration(e.options.Peers.Rank()) * rankDelay
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.succeedsOwnLease || now.Sub(e.holderSeenAt) >= rankWait && now.Sub(e.acquireTriedAt) >= acquireInterval+rankWait
}

// tryAcquire reads the lease and acquires it if it is free.
func (e *Elector) tryAcquire(ctx context.Context) {
	if !e.refresh(ctx) {
		return
	}
	e.mu.Lock()
	claim, ok := e.tracker.Claim(e.options.Now())
	wentBack := e.tracker.WentBack()
	e.mu.Unlock()
	if !ok {
		return
	}
	if wentBack {
		claim.ReportAfterMs = time.Now().UnixMilli()
		e.options.Logger.Warn("claiming lease after the store went back to a copy", "era", e.options.Store.Era(), "reports_known", len(claim.UsageReports))
	}
	if !e.beginHoldingWrite(ctx) {
		return
	}
	defer e.endWrite()
	e.write(ctx, claim)
}

// LoadSnapshot returns the snapshot written by the last holder. It is empty where nobody has ever
// held the lease.
func (e *Elector) LoadSnapshot(ctx context.Context) (lease.Snapshot, error) {
	record, err := e.fetchRecord(ctx)
	e.locked(func() { e.succeedsOwnLease = err == nil && e.tracker.ReplacesHolder(record) })
	return record.Snapshot, err
}

// refresh reads the record from the store and reports whether that succeeded.
func (e *Elector) refresh(ctx context.Context) bool {
	_, err := e.fetchRecord(ctx)
	if err != nil {
		e.options.Logger.Warn("failed to read lease", "error", err)
	}
	return err == nil
}

func (e *Elector) fetchRecord(ctx context.Context) (lease.Record, error) {
	object, err := e.options.Store.Get(ctx, LeaseKind, LeaseName)
	var record lease.Record
	switch {
	case errors.Is(err, store.ErrNotFound):
		e.locked(func() { e.tracker.ObserveMissing(e.options.Store.Era(), e.options.Now()) })
		return lease.Record{}, nil
	case err != nil:
		return lease.Record{}, err
	default:
		if err := json.Unmarshal(object.Spec, &record); err != nil {
			// Another writer has replaced the record. Nobody renews a record that cannot be
			// decoded, so the lease is free once its duration has passed, like that of a holder
			// that died.
			e.options.Logger.Error("failed to decode lease record", "revision", object.Revision, "error", err)
			record = lease.Record{Holder: unreadableHolder, StoreEra: store.EraOf(object.Revision)}
		}
	}
	e.locked(func() { e.tracker.Observe(object.Revision, record, e.options.Now()) })
	if e.options.OnSnapshot != nil {
		e.options.OnSnapshot(record.Snapshot)
	}
	return record, nil
}

// unreadableHolder stands for the holder of a lease whose record cannot be decoded.
const unreadableHolder = "(unreadable)"

// beginWrite waits until no other write is in progress. It returns false if the context ends
// first.
func (e *Elector) beginWrite(ctx context.Context) bool {
	select {
	case e.writeSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginHoldingWrite is beginWrite for a write with which this daemon acquires or renews the lease. It
// also returns false once the lease is being released.
func (e *Elector) beginHoldingWrite(ctx context.Context) bool {
	if !e.beginWrite(ctx) {
		return false
	}
	if e.isReleasing() {
		e.endWrite()
		return false
	}
	return true
}

func (e *Elector) endWrite() { <-e.writeSlot }

// renew renews the lease with the changes made by edit, and reports whether the write was
// acknowledged.
func (e *Elector) renew(ctx context.Context, edit func(*lease.Record)) bool {
	if !e.beginHoldingWrite(ctx) {
		return false
	}
	defer e.endWrite()
	e.mu.Lock()
	next := e.tracker.Renewal()
	e.mu.Unlock()
	if e.options.BuildSnapshot != nil {
		next.Snapshot = e.options.BuildSnapshot(next.Snapshot)
	}
	if edit != nil {
		edit(&next)
	}
	begun := e.options.Now()
	e.locked(func() { e.renewTriedAt = begun })
	if !e.write(ctx, next) {
		return false
	}
	e.locked(func() { e.renewedAt = begun })
	return true
}

// write writes a record on the revision last seen. After a lost answer or a conflict it reads
// the record again to learn the actual state.
func (e *Elector) write(ctx context.Context, record lease.Record) bool {
	record.StoreEra = e.options.Store.Era()
	e.mu.Lock()
	revision := e.tracker.Revision()
	e.tracker.BeginWrite(record, e.options.Now())
	e.mu.Unlock()
	var object store.Object
	var err error
	if revision == 0 {
		object, err = e.options.Store.Create(ctx, LeaseKind, LeaseName, record)
	} else {
		object, err = e.options.Store.Replace(ctx, LeaseKind, LeaseName, revision, record)
	}
	if err != nil {
		e.options.Logger.Warn("failed to write lease", "error", err, "revision", revision)
		if errors.Is(err, store.ErrRefused) {
			return false
		}
		e.refresh(ctx)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.WriteSucceeded(object.Revision, e.options.Now())
	return true
}

// FenceRejected records that the cloud has seen a higher fencing number than that of the token.
func (e *Elector) FenceRejected(token FencingToken) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence, _ := e.tracker.Holds(e.options.Now()); fence == token.Fence {
		e.tracker.Superseded()
	}
}

// Release gives up the lease, so that another daemon need not wait for it to expire. The token
// becomes invalid before the write. Release repeats the write until the store's record names another
// holder or none, or until ctx ends. A lease that is being acquired is released too.
func (e *Elector) Release(ctx context.Context) {
	e.locked(func() { e.releasing = true })
	if !e.beginWrite(ctx) {
		e.options.Logger.Warn("lease not released, a write is still in progress")
		return
	}
	defer e.endWrite()
	for {
		e.mu.Lock()
		released, held := e.tracker.Release()
		e.mu.Unlock()
		if !held {
			return
		}
		if e.write(ctx, released) {
			e.options.Logger.Info("lease released")
			return
		}
		select {
		case <-time.After(renewRetryInterval):
		case <-ctx.Done():
			e.options.Logger.Warn("lease not released, it has to expire")
			return
		}
	}
}

// RecordReport adds a usage report to the lease record unless it already holds one for the
// window, and returns the recorded report. It returns false when the store has not acknowledged
// the write.
func (e *Elector) RecordReport(ctx context.Context, window int64, counts usage.Counts) (usage.Counts, bool) {
	if recorded, ok := e.recordedReport(window); ok {
		return recorded, true
	}
	ok := e.renew(ctx, func(r *lease.Record) {
		reports := map[int64]usage.Counts{window: counts}
		for id, c := range r.UsageReports {
			if id > window-reportRetentionWindows {
				reports[id] = c
			}
		}
		r.UsageReports = reports
	})
	return counts, ok
}

// mayBeReported reports whether a window that ended at the given time may be reported: its report is
// recorded, or no holder whose record is lost can have sent another one.
func (e *Elector) mayBeReported(window int64, end time.Time) bool {
	_, recorded := e.recordedReport(window)
	e.mu.Lock()
	defer e.mu.Unlock()
	return recorded || end.UnixMilli() > e.tracker.ReportAfterMs()
}

// reportRetentionWindows is the number of windows whose reports stay in the record, because a
// successor might send them again.
const reportRetentionWindows = 4

func (e *Elector) recordedReport(window int64) (usage.Counts, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts, ok := e.tracker.UsageReports()[window]
	return counts, ok
}
