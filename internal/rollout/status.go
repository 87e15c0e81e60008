package rollout

import (
	"maps"
	"slices"
	"time"
)

// Statuses returns what this daemon tells others of the orders.
func (b *Tracker) Statuses(now time.Time) []OrderStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	var words []OrderStatus
	for _, service := range slices.Sorted(maps.Keys(b.rollouts)) {
		t := b.rollouts[service]
		if t.order.Revision == 0 {
			// It is remembered only; what the store has of it is not known yet.
			continue
		}
		word := OrderStatus{Order: t.order, Stable: b.stable[service], Age: now.Sub(t.startedAt), Halted: t.halted}
		if now.Sub(t.stepReceivedAt) < stepTTL {
			word.Step = t.step
		}
		words = append(words, word)
	}
	return words
}

// Merge takes over what another daemon tells of the orders, all of them up to a revision of
// the store. It returns the versions that are newly known to be bad.
func (b *Tracker) Merge(words []OrderStatus, read int64, now time.Time) []Halt {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision = max(b.revision, read)
	var halts []Halt
	for _, word := range words {
		if word.Revision == 0 {
			continue
		}
		if word.Stable != "" && b.stable[word.Service] == "" {
			b.stable[word.Service] = word.Stable
		}
		b.applyOrder(word.Order, now)
		t := b.rollouts[word.Service]
		if t == nil || !t.order.same(word.Order) {
			continue
		}
		if begun := now.Add(-word.Age); begun.Before(t.startedAt) {
			t.startedAt = begun
		}
		if word.Halted && !t.halted {
			t.halted, t.haltReason = true, "told by another daemon"
			halts = append(halts, Halt{Order: t.order, Reason: t.haltReason})
		}
		if word.Step.newer(t.step) {
			t.step, t.stepReceivedAt = word.Step, now
		}
	}
	return halts
}

// Snapshot returns what daemons that start after the death of all should know.
func (b *Tracker) Snapshot(now time.Time) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	memory := Snapshot{Stable: maps.Clone(b.stable)}
	for service, t := range b.rollouts {
		if t.order.State.Ended() {
			continue
		}
		memory.Orders = append(memory.Orders, SavedOrder{
			Service: service, Version: t.order.Version, Created: t.order.Created, AgeMs: now.Sub(t.startedAt).Milliseconds(), Halted: t.halted,
		})
	}
	return memory
}

// Snapshot is what is kept for daemons that start.
type Snapshot struct {
	// Stable are the versions that services have, apart from candidates.
	Stable map[string]string `json:"stable,omitempty"`
	Orders []SavedOrder      `json:"trials,omitempty"`
}

// SavedOrder is an order that has not ended.
type SavedOrder struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Created int64  `json:"created"`
	AgeMs   int64  `json:"age_ms"`
	Halted  bool   `json:"halted,omitempty"`
}

// Restore takes over what was remembered, written so long ago.
func (b *Tracker) Restore(memory Snapshot, ago time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, version := range memory.Stable {
		if b.stable[service] == "" {
			b.stable[service] = version
		}
	}
	for _, r := range memory.Orders {
		t := b.rollouts[r.Service]
		if t == nil {
			t = &rolloutState{order: Order{Service: r.Service, Version: r.Version, Created: r.Created}, startedAt: now, detector: newDetector()}
			b.rollouts[r.Service] = t
		}
		if t.order.Version != r.Version || t.order.Created != r.Created {
			continue
		}
		if begun := now.Add(-ago - time.Duration(r.AgeMs)*time.Millisecond); begun.Before(t.startedAt) {
			t.startedAt = begun
		}
		if r.Halted {
			t.halted, t.haltReason = true, "known before the start"
		}
	}
}
