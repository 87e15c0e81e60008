// Package lease decides who holds the deployment's one lease, which entitles a
// daemon to act towards the cloud for all. It does no I/O; the time is passed
// in, from a clock that only moves forward.
//
// The lease is one object of the store, written under the condition that it has
// not changed. Its fencing number is the store's revision of the write that
// acquired it, so that a later holder always has a higher one.
package lease

import (
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/rollout"
	"github.com/plankridge/plankridge/internal/usage"
)

// Record is what the store holds.
type Record struct {
	// Holder is the daemon that holds the lease; empty means that it was given
	// back.
	Holder string `json:"holder"`
	// Address is where the holder listens for its peers.
	Address string `json:"address,omitempty"`
	// Incarnation tells the holder's process from earlier ones.
	Incarnation uint64 `json:"incarnation"`
	// Renewals numbers the writes: a record that does not change has a holder
	// that does not act, and a holder knows its own write by its number.
	Renewals int64 `json:"renewals"`
	// UsageReports are the usage reports that were decided on, by window. They stand
	// here before they are sent, so that whoever sends one again sends the same.
	UsageReports map[int64]usage.Counts `json:"reports,omitempty"`
	// Snapshot is what daemons that start should know when no other is left to ask.
	Snapshot Snapshot `json:"memory"`
}

// Snapshot is what the holder knows of the deployment at a renewal.
type Snapshot struct {
	// Daemons is the number of daemons.
	Daemons int `json:"daemons"`
	// WrittenAtMs is the time of day at which this was known, in milliseconds since 1970.
	WrittenAtMs int64 `json:"written_ms,omitempty"`
	// RecentUses are what the workspaces have used lately.
	RecentUses map[string]allowance.Use `json:"uses,omitempty"`
	// DemandRates is how fast all daemons are asked, by workspace, in tokens a second.
	DemandRates map[string]float64 `json:"asked"`
	// Warmup is set when the writer of the uses had just started to count them.
	Warmup bool `json:"warmup,omitempty"`
	// Paces are what was learned of the engines, by service.
	Paces map[string]pace.EngineFigures `json:"paces,omitempty"`
	// FirstTryLimits are the time limits that first tries of each route state.
	FirstTryLimits map[string]time.Duration `json:"limits,omitempty"`
	// RequestWindows are the requests that began in the latest windows, over all daemons.
	RequestWindows map[int64]usage.Counts `json:"windows,omitempty"`
	// RollOuts are the versions of the services and the orders that have not ended.
	RollOuts *rollout.Memory `json:"rollouts,omitempty"`
	// Held are requests under which servers have ended.
	Held []quarantine.Word `json:"held,omitempty"`
	// HeldAtMs is the time of day as of which Held was written, in milliseconds since 1970.
	HeldAtMs int64 `json:"held_ms,omitempty"`
}

// Tracker is one daemon's view of the lease.
type Tracker struct {
	self        string
	address     string
	incarnation uint64
	duration    time.Duration

	record   Record
	revision int64
	// revisionSeenAt is when this daemon first saw the revision.
	revisionSeenAt time.Time
	recordKnown    bool
	// fence and until are set while this daemon holds the lease.
	fence      int64
	validUntil time.Time
	// pendingWrite is the last write that was begun. Its answer may be lost.
	pendingWrite Record
	pendingSince time.Time
	// lastWriteNumber is the highest number that this daemon has given to a write, so
	// that each write can be told from its earlier ones.
	lastWriteNumber int64
}

// holdRatio is the part of the lease's duration that the holder uses. The rest
// keeps a slow holder from acting beside its successor.
const holdRatio = 0.8

// NewTracker returns the view of a daemon's process. A challenger takes a lease
// that has not been renewed for the duration.
func NewTracker(self string, incarnation uint64, duration time.Duration) *Tracker {
	return &Tracker{self: self, incarnation: incarnation, duration: duration}
}

// SetAddress tells the keeper where its daemon listens for peers.
func (k *Tracker) SetAddress(address string) { k.address = address }

// Observe takes over what was read from the store. Revision zero means that
// there is no record yet.
func (k *Tracker) Observe(revision int64, record Record, now time.Time) {
	if k.recordKnown && revision < k.revision {
		return
	}
	if !k.recordKnown || revision != k.revision {
		k.revisionSeenAt = now
	}
	k.recordKnown, k.revision, k.record = true, revision, record
	switch {
	case !k.heldBySelf():
		k.fence = 0
	case record.Renewals == k.pendingWrite.Renewals && !k.pendingSince.IsZero():
		// The answer of this daemon's own write was lost.
		k.confirmPendingWrite(revision)
	}
}

// confirmPendingWrite takes over that the pending write was carried out. The lease counts
// from before the write was begun.
func (k *Tracker) confirmPendingWrite(revision int64) {
	if k.fence == 0 {
		k.fence = revision
	}
	k.validUntil = k.pendingSince.Add(k.holdTerm())
}

// BeginWrite notes a write that is about to be sent. The right to act ends before the
// lease is given back, whatever becomes of that write.
func (k *Tracker) BeginWrite(record Record, now time.Time) {
	k.pendingWrite, k.pendingSince, k.lastWriteNumber = record, now, max(k.lastWriteNumber, record.Renewals)
	if record.Holder != k.self {
		k.fence = 0
	}
}

// ReplacesHolder reports whether the holder of a record is an earlier process at this daemon's
// address. It has ended, since only one can listen there: its lease need not lapse. A VM of
// the same name elsewhere may still run. After the death of all, duties rested until the
// lease lapsed, 3 s.
func (k *Tracker) ReplacesHolder(record Record) bool {
	return k.address != "" && record.Holder == k.self && record.Address == k.address && record.Incarnation != k.incarnation
}

func (k *Tracker) heldBySelf() bool {
	return k.record.Holder == k.self && k.record.Incarnation == k.incarnation
}

func (k *Tracker) holdTerm() time.Duration { return time.Duration(holdRatio * float64(k.duration)) }

// Holds reports whether this daemon may act, and with which fencing number.
func (k *Tracker) Holds(now time.Time) (fence int64, ok bool) {
	if k.fence == 0 || !now.Before(k.validUntil) {
		return 0, false
	}
	return k.fence, true
}

// Claim returns the record with which this daemon may try to acquire the lease,
// to be written on the present revision. It returns false while another holder
// may still act.
func (k *Tracker) Claim(now time.Time) (Record, bool) {
	if !k.recordKnown {
		return Record{}, false
	}
	free := k.revision == 0 || k.record.Holder == "" || k.heldBySelf() || k.ReplacesHolder(k.record)
	if !free && now.Sub(k.revisionSeenAt) < k.duration {
		return Record{}, false
	}
	return Record{Holder: k.self, Address: k.address, Incarnation: k.incarnation, Renewals: k.nextWriteNumber(), UsageReports: k.record.UsageReports, Snapshot: k.record.Snapshot}, true
}

// Renewal returns the record that renews the lease.
func (k *Tracker) Renewal() Record {
	next := k.record
	next.Renewals = k.nextWriteNumber()
	return next
}

func (k *Tracker) nextWriteNumber() int64 { return max(k.record.Renewals, k.lastWriteNumber) + 1 }

// Release returns the record that gives the lease back.
func (k *Tracker) Release() Record {
	next := k.record
	next.Holder, next.Address, next.Incarnation = "", "", 0
	next.Renewals = k.nextWriteNumber()
	return next
}

// WriteSucceeded takes over that the write that was begun has succeeded.
func (k *Tracker) WriteSucceeded(revision int64, now time.Time) {
	k.recordKnown, k.revision, k.record, k.revisionSeenAt = true, revision, k.pendingWrite, now
	if !k.heldBySelf() {
		k.fence = 0
		return
	}
	k.confirmPendingWrite(revision)
}

// Superseded takes over that a higher fencing number was seen: the lease has gone
// on. The record has to be read again.
func (k *Tracker) Superseded() { k.fence, k.recordKnown = 0, false }

// Revision returns the revision that the next write is conditional on.
func (k *Tracker) Revision() int64 { return k.revision }

// UsageReports returns the usage reports that were decided on.
func (k *Tracker) UsageReports() map[int64]usage.Counts { return k.record.UsageReports }

// ValidUntil returns the end of this daemon's right to act, as it stands.
func (k *Tracker) ValidUntil() time.Time { return k.validUntil }
