// Package duty does what one daemon at a time does for the whole deployment: it
// keeps the lease, reports usage and orders backend servers.
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

// The lease's place in the store.
const (
	LeaseKind = "plankridge-leases"
	LeaseName = "cloud"
)

// ErrDeclined means that the cloud did nothing: it has seen a higher fencing
// number, or has no such server to give.
var ErrDeclined = errors.New("cloud declined")

// FencingToken is the right to act, as the cloud checks it.
type FencingToken struct {
	Holder string
	Fence  int64
}

// Order asks for a number of servers of one market in one zone.
type Order struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// Cloud takes the calls of the holder.
type Cloud interface {
	ReportUsage(ctx context.Context, right FencingToken, window int64, counts usage.Counts) error
	Scale(ctx context.Context, right FencingToken, order Order) error
}

// Peers tells what is known of the other daemons' part in the lease.
type Peers interface {
	// HolderReachable reports whether another daemon that is heard holds the lease.
	HolderReachable() bool
	// Rank is this daemon's place among those that are heard, from zero.
	Rank() int
	// AllReachable reports whether every known daemon is heard, directly or through
	// the leads of the zones.
	AllReachable() bool
	// Zone returns this daemon's zone, whether it sums up what the daemons of the
	// zone report, and whether others may not hear what it tells.
	Zone() (name string, sums, cut bool)
}

const (
	// leaseTick is how often the lease is looked at.
	leaseTick = 100 * time.Millisecond
	// renewInterval is the time between renewals. What daemons should know after the death
	// of all stands beside them: with a second between them, a workspace that began to
	// ask for four times its allowance some second before got up to 1.13 of what the rule
	// allows, with half a second 1.06 (histories of 300 daemons, offsets of 0.2 to 2.2 s). A
	// renewal more a second costs a calm day 0.001 of its worth, by the price of its calls.
	renewInterval = 500 * time.Millisecond
	// renewRetryInterval is the time between tries of a renewal that fails.
	renewRetryInterval = 300 * time.Millisecond
	// acquireInterval is the time between two looks at a lease without a known
	// holder, and turn the time by which each daemon in rank waits longer.
	acquireInterval = 500 * time.Millisecond
	rankDelay       = 500 * time.Millisecond
)

// Options are what a Holder works with.
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
	// NotifyPeers spreads a change of the holder.
	NotifyPeers func()
	// BuildMemory returns what is written beside each renewal, in place of what stands there.
	BuildMemory func(standing lease.Snapshot) lease.Snapshot
	// Now is the clock of the lease; nil is one that goes on while the VM is suspended.
	Now func() time.Time
	// OnMemory takes over what a record that was read says.
	OnMemory func(lease.Snapshot)
}

// Elector keeps the lease for one daemon.
type Elector struct {
	options Options

	mu     sync.Mutex
	keeper *lease.Tracker
	// writeSlot is full while a write of the record is under way. It is no mutex, so
	// that who waits for it can give up.
	writeSlot chan struct{}
	// renewedAt is when the last renewal that succeeded was begun, tried when the
	// last one was.
	renewedAt    time.Time
	renewTriedAt time.Time
	// acquireTriedAt is when the lease was last read to take it, holderSeenAt when another
	// holder was last heard.
	acquireTriedAt time.Time
	holderSeenAt   time.Time
	// wasHeld is whether this daemon held the lease at the last look.
	wasHeld   bool
	releasing bool
	// succeedsOwnLease is set when an earlier process of this VM held the lease, which nobody else
	// will take before it lapses.
	succeedsOwnLease bool
}

// NewElector returns a holder that does not hold the lease.
func NewElector(options Options) *Elector {
	if options.Now == nil {
		options.Now = steady.Now
	}
	keeper := lease.NewTracker(options.Self, options.Incarnation, options.Duration)
	keeper.SetAddress(options.Address)
	return &Elector{options: options, keeper: keeper, writeSlot: make(chan struct{}, 1)}
}

// Token returns the right to act, if this daemon has it now.
func (h *Elector) Token() (FencingToken, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fence, ok := h.keeper.Holds(h.options.Now())
	return FencingToken{Holder: h.options.Self, Fence: fence}, ok && !h.releasing
}

// Run keeps the lease until the context ends.
func (h *Elector) Run(ctx context.Context) {
	// Who comes first is known once daemons have heard each other. Were all to look at
	// once, a start of 300 daemons would cost as many calls more.
	now := h.options.Now()
	h.locked(func() { h.holderSeenAt, h.acquireTriedAt = now, now })
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		h.step(ctx, h.options.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *Elector) step(ctx context.Context, now time.Time) {
	_, holds := h.Token()
	h.recordTransition(holds)
	switch {
	case h.isReleasing():
	case holds:
		if h.renewalDue(now) {
			h.renew(ctx, nil)
		}
	case h.options.Peers.HolderReachable():
		h.locked(func() { h.holderSeenAt = now })
	case h.acquireDue(now):
		h.locked(func() { h.acquireTriedAt, h.succeedsOwnLease = now, false })
		h.tryAcquire(ctx)
	}
}

func (h *Elector) renewalDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.renewedAt) >= renewInterval && now.Sub(h.renewTriedAt) >= renewRetryInterval
}

func (h *Elector) locked(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *Elector) isReleasing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.releasing
}

func (h *Elector) recordTransition(holds bool) {
	if holds == h.wasHeld {
		return
	}
	h.wasHeld = holds
	right, _ := h.Token()
	h.options.Logger.Info("lease changed", "held", holds, "fence", right.Fence)
	h.options.NotifyPeers()
}

// acquireDue lets the daemons look at a lease without a known holder one after the
// other, so that they seldom contend.
func (h *Elector) acquireDue(now time.Time) bool {
	patience := time.Duration(h.options.Peers.Rank()) * rankDelay
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.succeedsOwnLease || now.Sub(h.holderSeenAt) >= patience && now.Sub(h.acquireTriedAt) >= acquireInterval+patience
}

// tryAcquire reads the lease and takes it when it is free.
func (h *Elector) tryAcquire(ctx context.Context) {
	if !h.refresh(ctx) {
		return
	}
	h.mu.Lock()
	claim, ok := h.keeper.Claim(h.options.Now())
	h.mu.Unlock()
	if !ok {
		return
	}
	if !h.beginWrite(ctx) {
		return
	}
	defer h.endWrite()
	h.write(ctx, claim)
}

// LoadMemory returns what the last holder knew. Where nobody has ever held the lease it is
// nothing.
func (h *Elector) LoadMemory(ctx context.Context) (lease.Snapshot, error) {
	record, err := h.fetchRecord(ctx)
	h.locked(func() { h.succeedsOwnLease = err == nil && h.keeper.ReplacesHolder(record) })
	return record.Snapshot, err
}

// refresh takes over the record as it is in the store.
func (h *Elector) refresh(ctx context.Context) bool {
	_, err := h.fetchRecord(ctx)
	if err != nil {
		h.options.Logger.Warn("lease cannot be read", "error", err)
	}
	return err == nil
}

func (h *Elector) fetchRecord(ctx context.Context) (lease.Record, error) {
	object, err := h.options.Store.Get(ctx, LeaseKind, LeaseName)
	var record lease.Record
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return lease.Record{}, err
	default:
		if err := json.Unmarshal(object.Spec, &record); err != nil {
			// Another writer was here. Nobody renews what cannot be read: the lease is free
			// when its duration has passed, like that of a holder that died.
			h.options.Logger.Error("record of the lease cannot be read", "revision", object.Revision, "error", err)
			record = lease.Record{Holder: unreadableHolder}
		}
	}
	h.locked(func() { h.keeper.Observe(object.Revision, record, h.options.Now()) })
	if h.options.OnMemory != nil {
		h.options.OnMemory(record.Snapshot)
	}
	return record, nil
}

// unreadableHolder stands for whoever holds a lease whose record cannot be read.
const unreadableHolder = "(unreadable)"

// beginWrite waits until no other write is under way. It returns false when the
// context ends before.
func (h *Elector) beginWrite(ctx context.Context) bool {
	select {
	case h.writeSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Elector) endWrite() { <-h.writeSlot }

// renew writes the lease again, with what edit changes. It returns whether the
// write was acknowledged.
func (h *Elector) renew(ctx context.Context, edit func(*lease.Record)) bool {
	if !h.beginWrite(ctx) {
		return false
	}
	defer h.endWrite()
	h.mu.Lock()
	next := h.keeper.Renewal()
	h.mu.Unlock()
	if h.options.BuildMemory != nil {
		next.Snapshot = h.options.BuildMemory(next.Snapshot)
	}
	if edit != nil {
		edit(&next)
	}
	begun := h.options.Now()
	h.locked(func() { h.renewTriedAt = begun })
	if !h.write(ctx, next) {
		return false
	}
	h.locked(func() { h.renewedAt = begun })
	return true
}

// write writes a record on the revision last seen. After a lost answer or a
// conflict the record is read again before anything is believed.
func (h *Elector) write(ctx context.Context, record lease.Record) bool {
	h.mu.Lock()
	revision := h.keeper.Revision()
	h.keeper.BeginWrite(record, h.options.Now())
	h.mu.Unlock()
	var object store.Object
	var err error
	if revision == 0 {
		object, err = h.options.Store.Create(ctx, LeaseKind, LeaseName, record)
	} else {
		object, err = h.options.Store.Replace(ctx, LeaseKind, LeaseName, revision, record)
	}
	if err != nil {
		h.options.Logger.Warn("lease not written", "error", err, "revision", revision)
		if errors.Is(err, store.ErrRefused) {
			return false
		}
		h.refresh(ctx)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keeper.WriteSucceeded(object.Revision, h.options.Now())
	return true
}

// FenceRejected takes over that the cloud has seen a higher fencing number than that
// of the right.
func (h *Elector) FenceRejected(right FencingToken) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence, _ := h.keeper.Holds(h.options.Now()); fence == right.Fence {
		h.keeper.Superseded()
	}
}

// Release gives the lease back, so that another daemon need not wait for its
// end. The right to act ends before.
func (h *Elector) Release(ctx context.Context) {
	_, holds := h.Token()
	h.mu.Lock()
	h.releasing = true
	h.mu.Unlock()
	if !holds {
		return
	}
	if !h.beginWrite(ctx) {
		return
	}
	defer h.endWrite()
	h.mu.Lock()
	next := h.keeper.Release()
	h.mu.Unlock()
	if h.write(ctx, next) {
		h.options.Logger.Info("lease given back")
	}
}

// RecordReport puts a usage report into the record, unless one stands there already,
// and returns the one that stands. It returns false when the store has not
// acknowledged it.
func (h *Elector) RecordReport(ctx context.Context, window int64, counts usage.Counts) (usage.Counts, bool) {
	if standing, ok := h.recordedReport(window); ok {
		return standing, true
	}
	ok := h.renew(ctx, func(r *lease.Record) {
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

// reportRetentionWindows is the number of windows whose reports stay in the record: those
// that a successor might send again.
const reportRetentionWindows = 4

func (h *Elector) recordedReport(window int64) (usage.Counts, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts, ok := h.keeper.UsageReports()[window]
	return counts, ok
}
