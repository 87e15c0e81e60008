package keys

import (
	"errors"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/request"
)

// State is the recorded state of a key.
type State string

// States of a key.
const (
	// StateIntent means that the request may be running or may have run.
	StateIntent State = "intent"
	// StateDone means that the request has run and has an answer.
	StateDone State = "done"
	// StateNotRun means that the request has not run and may be sent again.
	StateNotRun State = "void"
	// StateUnknown means that the request may have run and that its answer is lost.
	StateUnknown State = "unknown"
)

// Record is one entry of the key log.
type Record struct {
	Ref       Ref        `json:"ref"`
	RequestID request.ID `json:"request_id"`
	State     State      `json:"state"`
	At        time.Time  `json:"at"`
	// Turn numbers the requests of the key. Each one began after the previous one was
	// recorded as not run. At cannot order them because the clocks of two holders may differ.
	Turn int `json:"turn,omitempty"`
	// Answer is set if State is StateDone and the answer was small enough to keep.
	Answer *request.PlainAnswer `json:"answer,omitempty"`
}

// Retention is how long a key is remembered after its first use. It is published in the
// documentation for callers.
const Retention = 24 * time.Hour

// MaxAnswerBytes is the maximum size of an answer that is kept with its key, in bytes.
const MaxAnswerBytes = 64 << 10

// ErrFull means that no more keys can be stored. Keys are never dropped early to make room.
var ErrFull = errors.New("too many keys are remembered")

// maxRecords is the maximum number of keys that a daemon stores.
const maxRecords = 200_000

// Ledger stores the keys of the slots that a daemon holds. It does no I/O.
type Ledger struct {
	mu      sync.Mutex
	records map[string]Record
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: map[string]Record{}} }

// supersedes reports whether next replaces current. The log may be read in any order and more
// than once: a later request replaces an earlier one, and for one request the end replaces the
// intent.
func supersedes(next, current Record) bool {
	if next.Turn != current.Turn {
		return next.Turn > current.Turn
	}
	return current.State == StateIntent || next.State == StateDone
}

// Apply merges a record of the log.
func (l *Ledger) Apply(record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, known := l.records[record.Ref.Hash]
	if !known || supersedes(record, current) {
		l.records[record.Ref.Hash] = record
	}
}

// Begin stores an intent, unless the key is taken. It returns the record that holds the key,
// and whether that is the new one.
func (l *Ledger) Begin(record Record) (Record, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, known := l.records[record.Ref.Hash]
	if known && current.State != StateNotRun && record.At.Sub(current.At) < Retention {
		return current, false, nil
	}
	record.Turn = current.Turn + 1
	if !known && len(l.records) >= maxRecords {
		l.dropExpired(record.At)
		if len(l.records) >= maxRecords {
			return Record{}, false, ErrFull
		}
	}
	l.records[record.Ref.Hash] = record
	return record, true, nil
}

// dropExpired drops the records that are older than Retention.
func (l *Ledger) dropExpired(now time.Time) {
	for hash, record := range l.records {
		if now.Sub(record.At) >= Retention {
			delete(l.records, hash)
		}
	}
}

// Replace replaces a record that was read before by an intent. It returns false and the current
// record if the record has changed since.
func (l *Ledger) Replace(old, next Record) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.records[old.Ref.Hash]
	if current.RequestID != old.RequestID || current.Turn != old.Turn || current.State != old.State {
		return current, false
	}
	next.Turn = old.Turn + 1
	l.records[next.Ref.Hash] = next
	return next, true
}

// Len returns the number of stored keys.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
