package keys

import (
	"errors"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/request"
)

// State is what is known of a key.
type State string

// The states of a key.
const (
	// StateIntent means that the request may be running, or may have run.
	StateIntent State = "intent"
	// StateDone means that it has run and has an answer.
	StateDone State = "done"
	// StateNotRun means that it has not run and may be sent again.
	StateNotRun State = "void"
	// StateUnknown means that it may have run and that its answer is lost.
	StateUnknown State = "unknown"
)

// Record is one entry of the log of keys.
type Record struct {
	Ref       Ref        `json:"ref"`
	RequestID request.ID `json:"request_id"`
	State     State      `json:"state"`
	At        time.Time  `json:"at"`
	// Turn counts the requests of the key, each of which began after the one
	// before had not run. Clocks of two holders may differ, so that At does not
	// order them.
	Turn int `json:"turn,omitempty"`
	// Answer is set when the state is done, unless it is too large to keep.
	Answer *request.PlainAnswer `json:"answer,omitempty"`
}

// Retention is how long a key is remembered after it was first used. It is
// published in the callers' page.
const Retention = 24 * time.Hour

// MaxAnswerBytes is the largest answer that is kept with its key, in bytes.
const MaxAnswerBytes = 64 << 10

// ErrFull means that no more keys can be remembered. A key is never forgotten
// early to make room.
var ErrFull = errors.New("too many keys are remembered")

// maxRecords bounds the keys that a daemon remembers.
const maxRecords = 200_000

// Ledger remembers the keys of the slots that a daemon holds. It does no I/O.
type Ledger struct {
	mu      sync.Mutex
	records map[string]Record
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: map[string]Record{}} }

// supersedes reports whether a record replaces the one that is there. The log
// may be read in any order and twice: a later request replaces an earlier one,
// and within a request the end replaces the intent.
func supersedes(next, present Record) bool {
	if next.Turn != present.Turn {
		return next.Turn > present.Turn
	}
	return present.State == StateIntent || next.State == StateDone
}

// Apply takes over a record of the log.
func (l *Ledger) Apply(record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present, known := l.records[record.Ref.Hash]
	if !known || supersedes(record, present) {
		l.records[record.Ref.Hash] = record
	}
}

// Begin enters an intent, unless the key is taken. It returns the record that
// holds the key and whether that is the new one.
func (l *Ledger) Begin(record Record) (Record, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present, known := l.records[record.Ref.Hash]
	if known && present.State != StateNotRun && record.At.Sub(present.At) < Retention {
		return present, false, nil
	}
	record.Turn = present.Turn + 1
	if !known && len(l.records) >= maxRecords {
		l.dropExpired(record.At)
		if len(l.records) >= maxRecords {
			return Record{}, false, ErrFull
		}
	}
	l.records[record.Ref.Hash] = record
	return record, true, nil
}

// dropExpired drops what is older than the retention.
func (l *Ledger) dropExpired(now time.Time) {
	for hash, record := range l.records {
		if now.Sub(record.At) >= Retention {
			delete(l.records, hash)
		}
	}
}

// Replace enters an intent in the place of a record that was read before. It
// reports false when another has come between.
func (l *Ledger) Replace(old, next Record) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := l.records[old.Ref.Hash]
	if present.RequestID != old.RequestID || present.Turn != old.Turn || present.State != old.State {
		return present, false
	}
	next.Turn = old.Turn + 1
	l.records[next.Ref.Hash] = next
	return next, true
}

// Len returns the number of keys.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
