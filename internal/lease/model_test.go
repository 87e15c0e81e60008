package lease

import (
	"fmt"
	"testing"
	"time"
)

// The model explores every order of what two daemons and the store can do with the
// lease, up to a number of steps: reads, claims, renewals and releases; writes that
// are carried out and answered, carried out without an answer, lost, or carried out
// later; and time that passes. All clocks run alike and start anywhere.

const (
	modelDaemons = 2
	modelSteps   = 8
	// modelTick is the step of time: the lease lasts three, its holder acts for 2.4.
	modelTick     = time.Second
	modelDuration = 3 * modelTick
)

// modelWrite is a write on its way.
type modelWrite struct {
	from     int
	revision int64
	record   Record
}

// modelState is one state of the world.
type modelState struct {
	now      time.Time
	trackers [modelDaemons]Tracker
	revision int64
	record   Record
	// delayed is a write that the store has not carried out yet, and may.
	delayed *modelWrite
	// highest is the highest fencing number that has been held.
	highest int64
}

// model explores states once each.
type model struct {
	t    *testing.T
	seen map[string]bool
	// violation is what is broken first.
	violation string
}

func (m *model) explore(s modelState, steps int) {
	if m.violation != "" || m.checkInvariants(&s) {
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

// exploreActions lets one daemon do all that it can.
func (m *model) exploreActions(s modelState, i, steps int) {
	read := s
	read.trackers[i].Observe(s.revision, s.record, s.now)
	m.explore(read, steps-1)
	if claim, ok := s.trackers[i].Claim(s.now); ok {
		m.exploreWrite(s, i, claim, steps)
	}
	if _, holds := s.trackers[i].Holds(s.now); holds {
		m.exploreWrite(s, i, s.trackers[i].Renewal(), steps)
		m.exploreWrite(s, i, s.trackers[i].Release(), steps)
	}
}

// exploreWrite lets a write end in each way.
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
	silent := s
	silent.apply(w)
	m.explore(silent, steps-1)
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

// checkInvariants notes what may not be: two that may act, or one whose fencing number is
// below one that was held before.
func (m *model) checkInvariants(s *modelState) bool {
	holders := 0
	for i := range s.trackers {
		fence, holds := s.trackers[i].Holds(s.now)
		if !holds {
			continue
		}
		holders++
		if fence < s.highest {
			m.violation = fmt.Sprintf("daemon %d acts with %d after %d", i, fence, s.highest)
		}
		s.highest = max(s.highest, fence)
	}
	if holders > 1 {
		m.violation = "two daemons may act at once"
	}
	return m.violation != ""
}

// key tells states apart. Times count from now, so that states that differ in the
// hour alone are the same.
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
		k := &s.trackers[i]
		key += fmt.Sprint("|", k.recordKnown, k.revision, k.record.Holder, k.record.Renewals, k.fence, max(0, k.validUntil.Sub(s.now)),
			ago(k.revisionSeenAt), ago(k.pendingSince), k.pendingWrite.Holder, k.pendingWrite.Renewals, k.lastWriteNumber)
	}
	return key
}

// TestModelOfTheLease explores the lease exhaustively.
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
