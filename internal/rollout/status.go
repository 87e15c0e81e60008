package rollout

import (
	"maps"
	"slices"
	"time"
)

// Statuses returns the status of each order, for reports to other daemons.
func (t *Tracker) Statuses(now time.Time) []OrderStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var statuses []OrderStatus
	for _, service := range slices.Sorted(maps.Keys(t.rollouts)) {
		s := t.rollouts[service]
		if s.order.Revision == 0 {
			// The order comes from a snapshot, and its state in the store is not known yet.
			continue
		}
		status := OrderStatus{Order: s.order, Stable: t.stable[service], Age: now.Sub(s.startedAt), Halted: s.halted}
		if now.Sub(s.stepReceivedAt) < stepTTL {
			status.Step = s.step
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Merge adds the statuses that another daemon reported. They cover all orders up to a revision
// of the store. It returns the versions that became known to be bad.
func (t *Tracker) Merge(statuses []OrderStatus, revision int64, now time.Time) []Halt {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = max(t.revision, revision)
	var halts []Halt
	for _, status := range statuses {
		if status.Revision == 0 {
			continue
		}
		if status.Stable != "" && t.stable[status.Service] == "" {
			t.stable[status.Service] = status.Stable
		}
		t.applyOrder(status.Order, now)
		s := t.rollouts[status.Service]
		if s == nil || !s.order.same(status.Order) {
			continue
		}
		if startedAt := now.Add(-status.Age); startedAt.Before(s.startedAt) {
			s.startedAt = startedAt
		}
		if status.Halted && !s.halted {
			s.halted, s.haltReason = true, "reported by another daemon"
			halts = append(halts, Halt{Order: s.order, Reason: s.haltReason})
		}
		if status.Step.newer(s.step) {
			s.step, s.stepReceivedAt = status.Step, now
		}
	}
	return halts
}

// Snapshot returns the state from which daemons start when no other daemon is left.
func (t *Tracker) Snapshot(now time.Time) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := Snapshot{Stable: maps.Clone(t.stable)}
	for service, s := range t.rollouts {
		if s.order.State.Ended() {
			continue
		}
		snapshot.Orders = append(snapshot.Orders, SavedOrder{
			Service: service, Version: s.order.Version, Created: s.order.Created, AgeMs: now.Sub(s.startedAt).Milliseconds(), Halted: s.halted,
		})
	}
	return snapshot
}

// Snapshot is the state stored for daemons that start.
type Snapshot struct {
	// Stable holds the stable version of each service.
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

// Restore adds the state of a snapshot that was written age ago.
func (t *Tracker) Restore(snapshot Snapshot, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, version := range snapshot.Stable {
		if t.stable[service] == "" {
			t.stable[service] = version
		}
	}
	for _, saved := range snapshot.Orders {
		s := t.rollouts[saved.Service]
		if s == nil {
			s = &rolloutState{order: Order{Service: saved.Service, Version: saved.Version, Created: saved.Created}, startedAt: now, detector: newDetector()}
			t.versionsOf(saved.Service).barred[saved.Version] = true
			t.rollouts[saved.Service] = s
		}
		if s.order.Version != saved.Version || s.order.Created != saved.Created {
			continue
		}
		if startedAt := now.Add(-age - time.Duration(saved.AgeMs)*time.Millisecond); startedAt.Before(s.startedAt) {
			s.startedAt = startedAt
		}
		if saved.Halted {
			s.halted, s.haltReason = true, "halted before this daemon started"
		}
	}
}
