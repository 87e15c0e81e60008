package lease

import (
	"fmt"
	"testing"
	"time"
)

// The model explores all sequences, up to a number of steps, of what two daemons and the
// store can do with the lease: reads, claims, renewals and releases; writes that are
// applied and answered, applied without a response, lost, or applied later; and the
// passing of time. All clocks run at the same rate from arbitrary starting points.

const (
	modelDaemons = 2
	modelSteps   = 8
	// modelTick is the time step. The lease lasts three ticks, and its holder may act for
	// 2.4.
	modelTick     = time.Second
	modelDuration = 3 * modelTick
)

// modelWrite is a write that has been sent.
type modelWrite struct {
	from     int
	revision int64
	record   Record
}

// modelState is one state of the daemons and the store.
type modelState struct {
	now      time.Time
	trackers [modelDaemons]Tracker
	revision int64
	record   Record
	// delayed is a write that the store has not applied yet but may still apply.
	delayed *modelWrite
	// highest is the highest fencing number held so far.
	highest int64
}

// model visits each state once.
type model struct {
	t    *testing.T
	seen map[string]bool
	// violation describes the first invariant violation.
	violation string
}

func (m *model) explore(s modelState, steps int) {
	if m.violation != "" || m.violatesInvariant(&s) {
		return
	}
	key := s.key() + fmt.Sprint(steps)
	if steps == 0 || m.seen[key] {
		return
	}
	m.seen[key] = true
	tick := s
	tick.now = s.now.Add(modelTick)
	m.explore(tick, steps-1)
	if s.delayed != nil {
		arrived := s
		arrived.delayed = nil
		arrived.apply(*s.delayed)
		m.explore(arrived, steps-1)
	}
	for i := range s.trackers {
		m.exploreActions(s, i, steps)
	}
}

// exploreActions explores everything that one daemon can do.
func (m *model) exploreActions(s modelState, i, steps int) {
	read := s
	read.trackers[i].Observe(s.revision, s.record, s.now)
	m.explore(read, steps-1)
	if claim, ok := s.trackers[i].Claim(s.now); ok {
		m.exploreWrite(s, i, claim, steps)
	}
	if _, holds := s.trackers[i].Holds(s.now); holds {
		m.exploreWrite(s, i, s.trackers[i].Renewal(), steps)
	}
	if released, held := s.trackers[i].Release(); held {
		m.exploreWrite(s, i, released, steps)
	}
}

// exploreWrite explores each outcome of a write.
func (m *model) exploreWrite(s modelState, i int, record Record, steps int) {
	s.trackers[i].BeginWrite(record, s.now)
	w := modelWrite{from: i, revision: s.trackers[i].Revision(), record: record}
	answered := s
	if answered.apply(w) {
		answered.trackers[i].WriteSucceeded(answered.revision, s.now)
	} else {
		answered.trackers[i].Observe(answered.revision, answered.record, s.now)
	}
	m.explore(answered, steps-1)
	unanswered := s
	unanswered.apply(w)
	m.explore(unanswered, steps-1)
	m.explore(s, steps-1)
	if s.delayed == nil {
		late := s
		late.delayed = &w
		m.explore(late, steps-1)
	}
}

// apply applies a write if its condition holds.
func (s *modelState) apply(w modelWrite) bool {
	if w.revision != s.revision {
		return false
	}
	s.revision++
	s.record = w.record
	return true
}

// violatesInvariant reports whether a state violates an invariant, and records which: two
// daemons may act at once, or a daemon's fencing number is below one that was held before.
func (m *model) violatesInvariant(s *modelState) bool {
	holders := 0
	for i := range s.trackers {
		fence, holds := s.trackers[i].Holds(s.now)
		if !holds {
			continue
		}
		holders++
		if fence < s.highest {
			m.violation = fmt.Sprintf("daemon %d acts with fencing number %d after %d", i, fence, s.highest)
		}
		s.highest = max(s.highest, fence)
	}
	if holders > 1 {
		m.violation = "two daemons may act at once"
	}
	return m.violation != ""
}

// key identifies a state. Times are relative to now, so states that differ only in
// absolute time have the same key.
func (s *modelState) key() string {
	ago := func(at time.Time) time.Duration {
		if at.IsZero() {
			return -1
		}
		return min(s.now.Sub(at), 2*modelDuration)
	}
	key := fmt.Sprint(s.revision, s.record.Holder, s.record.Renewals, s.highest)
	if s.delayed != nil {
		key += fmt.Sprint("|", s.delayed.from, s.delayed.revision, s.delayed.record.Holder, s.delayed.record.Renewals)
	}
	for i := range s.trackers {
		tr := &s.trackers[i]
		key += fmt.Sprint("|", tr.recordKnown, tr.revision, tr.record.Holder, tr.record.Renewals, tr.fence, max(0, tr.validUntil.Sub(s.now)),
			ago(tr.revisionSeenAt), ago(tr.pendingSince), tr.pendingWrite.Holder, tr.pendingWrite.Renewals, tr.lastWriteNumber)
	}
	return key
}

// TestModelOfTheLease explores the lease's state space exhaustively up to modelSteps
// steps.
func TestModelOfTheLease(t *testing.T) {
	m := &model{t: t, seen: map[string]bool{}}
	s := modelState{now: time.Unix(1000, 0)}
	for i := range s.trackers {
		s.trackers[i] = *NewTracker(fmt.Sprintf("vm-%d", i), uint64(i+1), modelDuration)
	}
	m.explore(s, modelSteps)
	t.Logf("%d states", len(m.seen))
	if m.violation != "" {
		t.Fatal(m.violation)
	}
}
