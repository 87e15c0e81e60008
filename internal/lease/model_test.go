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
	keepers  [modelDaemons]Keeper
	revision int64
	record   Record
	// late is a write that the store has not carried out yet, and may.
	late *modelWrite
	// highest is the highest fencing number that has been held.
	highest int64
}

// model explores states once each.
type model struct {
	t    *testing.T
	seen map[string]bool
	// wrong is what is broken first.
	wrong string
}

func (m *model) explore(s modelState, steps int) {
	if m.wrong != "" || m.broken(&s) {
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
	if s.late != nil {
		arrived := s
		arrived.late = nil
		arrived.carryOut(*s.late)
		m.explore(arrived, steps-1)
	}
	for i := range s.keepers {
		m.act(s, i, steps)
	}
}

// act lets one daemon do all that it can.
func (m *model) act(s modelState, i, steps int) {
	read := s
	read.keepers[i].Observe(s.revision, s.record, s.now)
	m.explore(read, steps-1)
	if claim, ok := s.keepers[i].Claim(s.now); ok {
		m.write(s, i, claim, steps)
	}
	if _, holds := s.keepers[i].Holds(s.now); holds {
		m.write(s, i, s.keepers[i].Renewal(), steps)
		m.write(s, i, s.keepers[i].Release(), steps)
	}
}

// write lets a write end in each way.
func (m *model) write(s modelState, i int, record Record, steps int) {
	s.keepers[i].Begin(record, s.now)
	w := modelWrite{from: i, revision: s.keepers[i].Revision(), record: record}
	answered := s
	if answered.carryOut(w) {
		answered.keepers[i].Written(answered.revision, s.now)
	} else {
		answered.keepers[i].Observe(answered.revision, answered.record, s.now)
	}
	m.explore(answered, steps-1)
	silent := s
	silent.carryOut(w)
	m.explore(silent, steps-1)
	m.explore(s, steps-1)
	if s.late == nil {
		late := s
		late.late = &w
		m.explore(late, steps-1)
	}
}

// carryOut applies a write if its condition holds.
func (s *modelState) carryOut(w modelWrite) bool {
	if w.revision != s.revision {
		return false
	}
	s.revision++
	s.record = w.record
	return true
}

// broken notes what may not be: two that may act, or one whose fencing number is
// below one that was held before.
func (m *model) broken(s *modelState) bool {
	holders := 0
	for i := range s.keepers {
		fence, holds := s.keepers[i].Holds(s.now)
		if !holds {
			continue
		}
		holders++
		if fence < s.highest {
			m.wrong = fmt.Sprintf("daemon %d acts with %d after %d", i, fence, s.highest)
		}
		s.highest = max(s.highest, fence)
	}
	if holders > 1 {
		m.wrong = "two daemons may act at once"
	}
	return m.wrong != ""
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
	if s.late != nil {
		key += fmt.Sprint("|", s.late.from, s.late.revision, s.late.record.Holder, s.late.record.Renewals)
	}
	for i := range s.keepers {
		k := &s.keepers[i]
		key += fmt.Sprint("|", k.known, k.revision, k.record.Holder, k.record.Renewals, k.fence, max(0, k.until.Sub(s.now)),
			ago(k.seenAt), ago(k.begunAt), k.pending.Holder, k.pending.Renewals, k.number)
	}
	return key
}

// TestModelOfTheLease explores the lease exhaustively.
func TestModelOfTheLease(t *testing.T) {
	m := &model{t: t, seen: map[string]bool{}}
	s := modelState{now: time.Unix(1000, 0)}
	for i := range s.keepers {
		s.keepers[i] = *NewKeeper(fmt.Sprintf("vm-%d", i), uint64(i+1), modelDuration)
	}
	m.explore(s, modelSteps)
	t.Logf("%d states", len(m.seen))
	if m.wrong != "" {
		t.Fatal(m.wrong)
	}
}
