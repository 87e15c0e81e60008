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
	// Reports are the usage reports that were decided on, by window. They stand
	// here before they are sent, so that whoever sends one again sends the same.
	Reports map[int64]usage.Counts `json:"reports,omitempty"`
	// Memory is what daemons that start should know when no other is left to ask.
	Memory Memory `json:"memory"`
}

// Memory is what the holder knows of the deployment at a renewal.
type Memory struct {
	// Daemons is the number of daemons.
	Daemons int `json:"daemons"`
	// WrittenMs is the time of day at which this was known, in milliseconds since 1970.
	WrittenMs int64 `json:"written_ms,omitempty"`
	// Uses are what the workspaces have used lately.
	Uses map[string]allowance.Use `json:"uses,omitempty"`
	// Asked is how fast all daemons are asked, by workspace, in tokens a second.
	Asked map[string]float64 `json:"asked"`
	// Warmup is set when the writer of the uses had just started to count them.
	Warmup bool `json:"warmup,omitempty"`
	// Paces are what was learned of the engines, by service.
	Paces map[string]pace.EngineFigures `json:"paces,omitempty"`
	// Limits are the time limits that first tries of each route state.
	Limits map[string]time.Duration `json:"limits,omitempty"`
	// Windows are the requests that began in the latest windows, over all daemons.
	Windows map[int64]usage.Counts `json:"windows,omitempty"`
	// RollOuts are the versions of the services and the orders that have not ended.
	RollOuts *rollout.Memory `json:"rollouts,omitempty"`
	// Held are requests under which servers have ended.
	Held []quarantine.Word `json:"held,omitempty"`
	// HeldMs is the time of day as of which Held was written, in milliseconds since 1970.
	HeldMs int64 `json:"held_ms,omitempty"`
}

// Keeper is one daemon's view of the lease.
type Keeper struct {
	self        string
	address     string
	incarnation uint64
	duration    time.Duration

	record   Record
	revision int64
	// seenAt is when this daemon first saw the revision.
	seenAt time.Time
	known  bool
	// fence and until are set while this daemon holds the lease.
	fence int64
	until time.Time
	// pending is the last write that was begun. Its answer may be lost.
	pending Record
	begunAt time.Time
	// number is the highest number that this daemon has given to a write, so
	// that each write can be told from its earlier ones.
	number int64
}

// holdFor is the part of the lease's duration that the holder uses. The rest
// keeps a slow holder from acting beside its successor.
const holdFor = 0.8

// NewKeeper returns the view of a daemon's process. A challenger takes a lease
// that has not been renewed for the duration.
func NewKeeper(self string, incarnation uint64, duration time.Duration) *Keeper {
	return &Keeper{self: self, incarnation: incarnation, duration: duration}
}

// ListensAt tells the keeper where its daemon listens for peers.
func (k *Keeper) ListensAt(address string) { k.address = address }

// Observe takes over what was read from the store. Revision zero means that
// there is no record yet.
func (k *Keeper) Observe(revision int64, record Record, now time.Time) {
	if k.known && revision < k.revision {
		return
	}
	if !k.known || revision != k.revision {
		k.seenAt = now
	}
	k.known, k.revision, k.record = true, revision, record
	switch {
	case !k.mine():
		k.fence = 0
	case record.Renewals == k.pending.Renewals && !k.begunAt.IsZero():
		// The answer of this daemon's own write was lost.
		k.confirm(revision)
	}
}

// confirm takes over that the pending write was carried out. The lease counts
// from before the write was begun.
func (k *Keeper) confirm(revision int64) {
	if k.fence == 0 {
		k.fence = revision
	}
	k.until = k.begunAt.Add(k.hold())
}

// Begin notes a write that is about to be sent. The right to act ends before the
// lease is given back, whatever becomes of that write.
func (k *Keeper) Begin(record Record, now time.Time) {
	k.pending, k.begunAt, k.number = record, now, max(k.number, record.Renewals)
	if record.Holder != k.self {
		k.fence = 0
	}
}

// Succeeds reports whether the holder of a record is an earlier process at this daemon's
// address. It has ended, since only one can listen there: its lease need not lapse. A VM of
// the same name elsewhere may still run. After the death of all, duties rested until the
// lease lapsed, 3 s.
func (k *Keeper) Succeeds(record Record) bool {
	return k.address != "" && record.Holder == k.self && record.Address == k.address && record.Incarnation != k.incarnation
}

func (k *Keeper) mine() bool {
	return k.record.Holder == k.self && k.record.Incarnation == k.incarnation
}

func (k *Keeper) hold() time.Duration { return time.Duration(holdFor * float64(k.duration)) }

// Holds reports whether this daemon may act, and with which fencing number.
func (k *Keeper) Holds(now time.Time) (fence int64, ok bool) {
	if k.fence == 0 || !now.Before(k.until) {
		return 0, false
	}
	return k.fence, true
}

// Claim returns the record with which this daemon may try to acquire the lease,
// to be written on the present revision. It returns false while another holder
// may still act.
func (k *Keeper) Claim(now time.Time) (Record, bool) {
	if !k.known {
		return Record{}, false
	}
	free := k.revision == 0 || k.record.Holder == "" || k.mine() || k.Succeeds(k.record)
	if !free && now.Sub(k.seenAt) < k.duration {
		return Record{}, false
	}
	return Record{Holder: k.self, Address: k.address, Incarnation: k.incarnation, Renewals: k.nextNumber(), Reports: k.record.Reports, Memory: k.record.Memory}, true
}

// Renewal returns the record that renews the lease.
func (k *Keeper) Renewal() Record {
	next := k.record
	next.Renewals = k.nextNumber()
	return next
}

func (k *Keeper) nextNumber() int64 { return max(k.record.Renewals, k.number) + 1 }

// Release returns the record that gives the lease back.
func (k *Keeper) Release() Record {
	next := k.record
	next.Holder, next.Address, next.Incarnation = "", "", 0
	next.Renewals = k.nextNumber()
	return next
}

// Written takes over that the write that was begun has succeeded.
func (k *Keeper) Written(revision int64, now time.Time) {
	k.known, k.revision, k.record, k.seenAt = true, revision, k.pending, now
	if !k.mine() {
		k.fence = 0
		return
	}
	k.confirm(revision)
}

// Refused takes over that a higher fencing number was seen: the lease has gone
// on. The record has to be read again.
func (k *Keeper) Refused() { k.fence, k.known = 0, false }

// Revision returns the revision that the next write is conditional on.
func (k *Keeper) Revision() int64 { return k.revision }

// Reports returns the usage reports that were decided on.
func (k *Keeper) Reports() map[int64]usage.Counts { return k.record.Reports }

// Until returns the end of this daemon's right to act, as it stands.
func (k *Keeper) Until() time.Time { return k.until }
