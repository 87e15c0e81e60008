package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

const duration = 3 * time.Second

var start = time.Unix(1000, 0)

func TestAcquireRenewLapse(t *testing.T) {
	c := qt.New(t)
	k := NewTracker("a", 1, duration)
	k.Observe(0, Record{}, start)
	claim, ok := k.Claim(start)
	c.Assert(ok, qt.IsTrue)
	k.BeginWrite(claim, start)
	k.WriteSucceeded(5, start)
	fence, holds := k.Holds(start)
	c.Check(holds, qt.IsTrue)
	c.Check(fence, qt.Equals, int64(5))
	// Without renewal the right ends before a challenger may claim.
	_, holds = k.Holds(start.Add(duration * 8 / 10))
	c.Check(holds, qt.IsFalse)
	other := NewTracker("b", 1, duration)
	other.Observe(5, claim, start)
	_, ok = other.Claim(start.Add(duration - time.Millisecond))
	c.Check(ok, qt.IsFalse)
	_, ok = other.Claim(start.Add(duration))
	c.Check(ok, qt.IsTrue)
}

func TestLostAnswerOfAcquisitionCountsFromBeforeTheWrite(t *testing.T) {
	c := qt.New(t)
	k := NewTracker("a", 1, duration)
	k.Observe(0, Record{}, start)
	claim, _ := k.Claim(start)
	k.BeginWrite(claim, start)
	late := start.Add(2 * time.Second)
	k.Observe(5, claim, late)
	fence, holds := k.Holds(late)
	c.Check(holds, qt.IsTrue)
	c.Check(fence, qt.Equals, int64(5))
	_, holds = k.Holds(start.Add(duration))
	c.Check(holds, qt.IsFalse)
}

func TestEarlierProcessIsAnotherHolder(t *testing.T) {
	c := qt.New(t)
	k := NewTracker("a", 2, duration)
	k.Observe(5, Record{Holder: "a", Incarnation: 1}, start)
	_, holds := k.Holds(start)
	c.Check(holds, qt.IsFalse)
	_, ok := k.Claim(start)
	c.Check(ok, qt.IsFalse)
}

// TestLeaseOfEarlierProcessAtSameAddressIsFree: its lease is taken over at once; that of a VM of
// the same name at another address is not.
func TestLeaseOfEarlierProcessAtSameAddressIsFree(t *testing.T) {
	c := qt.New(t)
	for address, free := range map[string]bool{"10.1.0.1:82": true, "10.1.0.9:82": false, "": false} {
		k := NewTracker("a", 2, duration)
		k.SetAddress("10.1.0.1:82")
		k.Observe(5, Record{Holder: "a", Address: address, Incarnation: 1}, start)
		claim, ok := k.Claim(start)
		c.Check(ok, qt.Equals, free, qt.Commentf("%q", address))
		if ok {
			c.Check(claim.Address, qt.Equals, "10.1.0.1:82")
			k.BeginWrite(claim, start)
			k.WriteSucceeded(6, start)
			fence, holds := k.Holds(start)
			c.Check(holds, qt.IsTrue)
			c.Check(fence, qt.Equals, int64(6), qt.Commentf("a higher number than the earlier process had"))
		}
	}
}

func TestReleasedLeaseCanBeClaimed(t *testing.T) {
	c := qt.New(t)
	k := NewTracker("b", 1, duration)
	k.Observe(7, Record{}, start)
	_, ok := k.Claim(start)
	c.Check(ok, qt.IsTrue)
}

// fakeStore is the record as the store keeps it, with writes that happen late.
type fakeStore struct {
	revision int64
	record   Record
	delayed  []write
}

type write struct {
	revision int64
	record   Record
}

func (s *fakeStore) apply(w write) bool {
	if w.revision != s.revision {
		return false
	}
	s.revision++
	s.record = w.record
	return true
}

// TestOneHolderActs: with lost answers, late writes, lost reads and daemons that
// stand still, no two daemons hold the lease at one moment, no fencing number
// is used by two, and a later holder has a higher one.
func TestOneHolderActs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{}
		names := []string{"a", "b", "c"}
		keepers := map[string]*Tracker{}
		for _, name := range names {
			keepers[name] = NewTracker(name, 1, duration)
		}
		owner := map[int64]string{}
		highest := int64(0)
		now := start
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "daemon")
			step(t, s, keepers[name], now)
			holders := 0
			for _, n := range names {
				fence, holds := keepers[n].Holds(now)
				if !holds {
					continue
				}
				holders++
				if before, known := owner[fence]; known && before != n {
					t.Fatalf("fencing number %d of %s and %s", fence, before, n)
				}
				owner[fence] = n
				if fence < highest {
					t.Fatalf("fencing number %d after %d", fence, highest)
				}
				highest = fence
			}
			if holders > 1 {
				t.Fatalf("%d holders at %s", holders, now)
			}
		}
	})
}

// step lets a daemon do one thing, with whatever trouble is drawn.
func step(t *rapid.T, s *fakeStore, k *Tracker, now time.Time) {
	if len(s.delayed) > 0 && rapid.Bool().Draw(t, "late write happens") {
		s.apply(s.delayed[0])
		s.delayed = s.delayed[1:]
	}
	if rapid.Bool().Draw(t, "read") {
		k.Observe(s.revision, s.record, now)
	}
	_, holds := k.Holds(now)
	record, ok := k.Renewal(), holds
	if !holds {
		record, ok = k.Claim(now)
	}
	if !ok {
		return
	}
	if holds && rapid.IntRange(0, 9).Draw(t, "release") == 0 {
		record = k.Release()
	}
	k.BeginWrite(record, now)
	w := write{k.Revision(), record}
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		s.delayed = append(s.delayed, w)
	case 1:
		s.apply(w)
	default:
		if s.apply(w) {
			k.WriteSucceeded(s.revision, now)
		}
	}
}
