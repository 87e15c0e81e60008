// Package lease implements the state machine of the deployment's single lease. Its holder
// is the only daemon that may act towards the cloud on behalf of the deployment. The
// package does no I/O, and callers pass in the time from a monotonic clock.
//
// The lease is one object in the store, written with compare-and-swap. Its fencing number
// is the store revision of the write that acquired it, qualified by the store's era, so a
// later holder always has a higher number.
package lease

import (
	"maps"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/rollout"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/usage"
)

// Record is the lease object as stored.
type Record struct {
	// Holder is the daemon that holds the lease. It is empty after a release.
	Holder string `json:"holder"`
	// Address is the address of the holder's peer listener.
	Address string `json:"address,omitempty"`
	// Incarnation distinguishes the holder's process from earlier ones.
	Incarnation uint64 `json:"incarnation"`
	// Renewals numbers the writes. If it does not change, the holder is not acting. A
	// holder recognizes its own write by this number.
	Renewals int64 `json:"renewals"`
	// UsageReports holds the usage reports that have been decided on, by window. They are
	// stored before they are sent, so that a daemon that sends one again sends the same
	// report.
	UsageReports map[int64]usage.Counts `json:"reports,omitempty"`
	// StoreEra is the era of the store in which the record was written. If the store is in a later
	// one, it went back to a copy, and later records are lost.
	StoreEra int64 `json:"era,omitempty"`
	// ReportAfterMs is the wall-clock time, in milliseconds since 1970, up to which reports that
	// are not in UsageReports may have been sent by holders whose records are lost.
	ReportAfterMs int64 `json:"report_after_ms,omitempty"`
	// Snapshot is the state for daemons that start when there is no other daemon to copy
	// it from.
	Snapshot Snapshot `json:"memory"`
}

// Snapshot is the holder's view of the deployment at a renewal.
type Snapshot struct {
	// Daemons is the number of daemons.
	Daemons int `json:"daemons"`
	// WrittenAtMs is the wall-clock time of the snapshot, in milliseconds since 1970.
	WrittenAtMs int64 `json:"written_ms,omitempty"`
	// RecentUses is the recent usage by workspace.
	RecentUses map[string]allowance.Usage `json:"uses,omitempty"`
	// DemandRates is the total demand at all daemons by workspace, in tokens per second.
	DemandRates map[string]float64 `json:"asked"`
	// Warmup is set if the holder had just started to count RecentUses.
	Warmup bool `json:"warmup,omitempty"`
	// EngineEstimates holds the learned performance estimates of the engines, by service.
	EngineEstimates map[string]pace.EngineEstimates `json:"paces,omitempty"`
	// Demand is the last complete demand by service, in engines, and DemandWrittenMs the wall-clock
	// time at which it was known, in milliseconds since 1970.
	Demand          map[string]demand.Load `json:"demand,omitempty"`
	DemandWrittenMs int64                  `json:"demand_ms,omitempty"`
	// ServerSpeeds holds the learned speeds of the servers, packed in 6 bytes each.
	ServerSpeeds []byte `json:"speeds,omitempty"`
	// FirstTryLimits holds the time limits of first tries, by route.
	FirstTryLimits map[string]time.Duration `json:"limits,omitempty"`
	// RequestWindows holds the requests that started in the latest windows, over all
	// daemons.
	RequestWindows map[int64]usage.Counts `json:"windows,omitempty"`
	// RollOuts holds the versions of the services and the roll-out orders in progress.
	RollOuts *rollout.Snapshot `json:"rollouts,omitempty"`
	// HeldRequests holds the requests during which servers have ended.
	HeldRequests []quarantine.Report `json:"held,omitempty"`
	// HeldAtMs is the wall-clock time as of which Held is valid, in milliseconds since
	// 1970.
	HeldAtMs int64 `json:"held_ms,omitempty"`
	// BegunStreams holds streams whose version does not follow from their bucket.
	BegunStreams []BegunStreams `json:"begun,omitempty"`
}

// BegunStreams are streams that have begun at one version of a service.
type BegunStreams struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Streams holds their keys, 8 bytes each.
	Streams []byte `json:"streams"`
}

// Tracker is one daemon's view of the lease. It is not safe for concurrent use.
type Tracker struct {
	self        string
	address     string
	incarnation uint64
	duration    time.Duration

	record   Record
	revision int64
	// revisionSeenAt is when this daemon first read the current revision.
	revisionSeenAt time.Time
	recordKnown    bool
	// wentBack is set while the record is from before the store went back. mayReclaim is set if
	// this daemon held the lease when it learned of that, so that no other can have acquired it.
	wentBack, mayReclaim bool
	// fence and validUntil are set while this daemon holds the lease.
	fence      int64
	validUntil time.Time
	// pendingWrite is the last write that was started. Its response may be lost.
	pendingWrite Record
	pendingSince time.Time
	// lastWriteNumber is the highest number that this daemon has given to a write. It
	// makes each write distinguishable from the daemon's earlier ones.
	lastWriteNumber int64
}

// holdRatio is the fraction of the lease's duration during which the holder may act. The
// remainder prevents a slow holder from acting at the same time as its successor.
const holdRatio = 0.8

// NewTracker returns the view of one process of a daemon. Another daemon may claim a
// lease that has not been renewed for the duration.
func NewTracker(self string, incarnation uint64, duration time.Duration) *Tracker {
	return &Tracker{self: self, incarnation: incarnation, duration: duration}
}

// SetAddress sets the address of the daemon's peer listener.
func (t *Tracker) SetAddress(address string) { t.address = address }

// Observe processes a record read from the store. Revision zero means that there is no
// record yet.
func (t *Tracker) Observe(revision int64, record Record, now time.Time) {
	if t.recordKnown && revision < t.revision {
		return
	}
	if revision > 0 && record.StoreEra < store.EraOf(revision) {
		t.observeCopy(revision, record, now)
		return
	}
	if !t.recordKnown || revision != t.revision {
		t.revisionSeenAt = now
	}
	t.wentBack, t.mayReclaim = false, false
	t.recordKnown, t.revision, t.record = true, revision, record
	switch {
	case !t.heldBySelf():
		t.fence = 0
	case record.Renewals == t.pendingWrite.Renewals && !t.pendingSince.IsZero():
		// The response to this daemon's own write was lost.
		t.confirmPendingWrite(revision)
	}
}

// ObserveMissing processes a read that found no record while the store was in the given era.
func (t *Tracker) ObserveMissing(era int64, now time.Time) {
	if t.revision > 0 && era > store.EraOf(t.revision) {
		t.observeCopy(0, Record{ReportAfterMs: t.record.ReportAfterMs}, now)
		return
	}
	if !t.wentBack {
		t.Observe(0, Record{}, now)
	}
}

// observeCopy processes a record, or the lack of one, of a store that went back to a copy. Another
// holder whose record is lost may still act, so the lease is not free before its duration has
// passed, and a later holder gets a new fence. Reports that this daemon knows were decided on stay
// known.
func (t *Tracker) observeCopy(revision int64, record Record, now time.Time) {
	if t.wentBack && t.revision == revision {
		return
	}
	_, held := t.Holds(now)
	reports := maps.Clone(record.UsageReports)
	if reports == nil {
		reports = map[int64]usage.Counts{}
	}
	maps.Copy(reports, t.record.UsageReports)
	record.UsageReports = reports
	t.recordKnown, t.revision, t.record, t.revisionSeenAt = true, revision, record, now
	t.wentBack, t.mayReclaim = true, held
	t.fence = 0
}

// WentBack reports whether the record is from before the store went back to a copy.
func (t *Tracker) WentBack() bool { return t.wentBack }

// confirmPendingWrite records that the store has applied the pending write. The lease is
// valid from when the write was started.
func (t *Tracker) confirmPendingWrite(revision int64) {
	if t.fence == 0 {
		t.fence = revision
	}
	t.validUntil = t.pendingSince.Add(t.holdTerm())
}

// BeginWrite records a write that is about to be sent. If it releases the lease, this
// daemon's right to act ends now, whether or not the write succeeds.
func (t *Tracker) BeginWrite(record Record, now time.Time) {
	t.pendingWrite, t.pendingSince, t.lastWriteNumber = record, now, max(t.lastWriteNumber, record.Renewals)
	if record.Holder != t.self {
		t.fence = 0
	}
}

// ReplacesHolder reports whether the holder of a record is an earlier process at this
// daemon's address. That process has ended, since only one process can listen there, so its
// lease need not expire first. Waiting for the expiry left the deployment without an acting
// daemon for 3 s after all daemons had died. A VM with the same name at another address may
// still be running.
func (t *Tracker) ReplacesHolder(record Record) bool {
	return t.address != "" && record.Holder == t.self && record.Address == t.address && record.Incarnation != t.incarnation
}

func (t *Tracker) heldBySelf() bool {
	return t.record.Holder == t.self && t.record.Incarnation == t.incarnation
}

func (t *Tracker) holdTerm() time.Duration { return time.Duration(holdRatio * float64(t.duration)) }

// Holds reports whether this daemon may act, and returns its fencing number.
func (t *Tracker) Holds(now time.Time) (fence int64, ok bool) {
	if t.fence == 0 || !now.Before(t.validUntil) {
		return 0, false
	}
	return t.fence, true
}

// Claim returns the record with which this daemon may try to acquire the lease. It must
// be written on condition of the current revision. Claim returns false while another
// holder may still act.
func (t *Tracker) Claim(now time.Time) (Record, bool) {
	if !t.recordKnown {
		return Record{}, false
	}
	free := t.revision == 0 || t.record.Holder == "" || t.heldBySelf() || t.ReplacesHolder(t.record)
	if t.wentBack {
		free = t.mayReclaim
	}
	if !free && now.Sub(t.revisionSeenAt) < t.duration {
		return Record{}, false
	}
	return Record{Holder: t.self, Address: t.address, Incarnation: t.incarnation, Renewals: t.nextWriteNumber(), UsageReports: t.record.UsageReports, ReportAfterMs: t.record.ReportAfterMs, Snapshot: t.record.Snapshot}, true
}

// Renewal returns the record that renews the lease.
func (t *Tracker) Renewal() Record {
	next := t.record
	next.Renewals = t.nextWriteNumber()
	return next
}

func (t *Tracker) nextWriteNumber() int64 { return max(t.record.Renewals, t.lastWriteNumber) + 1 }

// Release returns the record that releases the lease. It returns false unless the record last seen
// names this process, whose right to act may have ended. A record from before the store went back is
// not released, because a holder whose record is lost may still act.
func (t *Tracker) Release() (Record, bool) {
	if !t.heldBySelf() || t.wentBack {
		return Record{}, false
	}
	next := t.record
	next.Holder, next.Address, next.Incarnation = "", "", 0
	next.Renewals = t.nextWriteNumber()
	return next, true
}

// WriteSucceeded records that the store has accepted the pending write.
func (t *Tracker) WriteSucceeded(revision int64, now time.Time) {
	t.recordKnown, t.revision, t.record, t.revisionSeenAt = true, revision, t.pendingWrite, now
	t.wentBack, t.mayReclaim = false, false
	if !t.heldBySelf() {
		t.fence = 0
		return
	}
	t.confirmPendingWrite(revision)
}

// Superseded records that a higher fencing number was seen, so another daemon has
// acquired the lease. The record must be read again.
func (t *Tracker) Superseded() { t.fence, t.recordKnown = 0, false }

// Revision returns the revision that the next write is conditional on.
func (t *Tracker) Revision() int64 { return t.revision }

// ReportAfterMs returns Record.ReportAfterMs of the current record.
func (t *Tracker) ReportAfterMs() int64 { return t.record.ReportAfterMs }

// UsageReports returns the usage reports that have been decided on.
func (t *Tracker) UsageReports() map[int64]usage.Counts { return t.record.UsageReports }

// ValidUntil returns when this daemon's right to act ends unless the lease is renewed.
func (t *Tracker) ValidUntil() time.Time { return t.validUntil }
