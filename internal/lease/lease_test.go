package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/usage"
)

const duration = 3 * time.Second

var start = time.Unix(1000, 0)

func TestAcquireRenewLapse(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker("a", 1, duration)
	tr.Observe(0, Record{}, start)
	claim, ok := tr.Claim(start)
	c.Assert(ok, qt.IsTrue)
	tr.BeginWrite(claim, start)
	tr.WriteSucceeded(5, start)
	fence, holds := tr.Holds(start)
	c.Check(holds, qt.IsTrue)
	c.Check(fence, qt.Equals, int64(5))
	// Without renewal, the right to act ends before another daemon may claim the lease.
	_, holds = tr.Holds(start.Add(duration * 8 / 10))
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
	tr := NewTracker("a", 1, duration)
	tr.Observe(0, Record{}, start)
	claim, _ := tr.Claim(start)
	tr.BeginWrite(claim, start)
	late := start.Add(2 * time.Second)
	tr.Observe(5, claim, late)
	fence, holds := tr.Holds(late)
	c.Check(holds, qt.IsTrue)
	c.Check(fence, qt.Equals, int64(5))
	_, holds = tr.Holds(start.Add(duration))
	c.Check(holds, qt.IsFalse)
}

func TestEarlierProcessIsAnotherHolder(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker("a", 2, duration)
	tr.Observe(5, Record{Holder: "a", Incarnation: 1}, start)
	_, holds := tr.Holds(start)
	c.Check(holds, qt.IsFalse)
	_, ok := tr.Claim(start)
	c.Check(ok, qt.IsFalse)
}

// TestLeaseOfEarlierProcessAtSameAddressIsFree checks that the lease of an earlier
// process at the same address can be claimed at once, and that of a VM with the same name
// at another address cannot.
func TestLeaseOfEarlierProcessAtSameAddressIsFree(t *testing.T) {
	c := qt.New(t)
	for address, claimable := range map[string]bool{"10.1.0.1:82": true, "10.1.0.9:82": false, "": false} {
		tr := NewTracker("a", 2, duration)
		tr.SetAddress("10.1.0.1:82")
		tr.Observe(5, Record{Holder: "a", Address: address, Incarnation: 1}, start)
		claim, ok := tr.Claim(start)
		c.Check(ok, qt.Equals, claimable, qt.Commentf("%q", address))
		if ok {
			c.Check(claim.Address, qt.Equals, "10.1.0.1:82")
			tr.BeginWrite(claim, start)
			tr.WriteSucceeded(6, start)
			fence, holds := tr.Holds(start)
			c.Check(holds, qt.IsTrue)
			c.Check(fence, qt.Equals, int64(6), qt.Commentf("the fencing number is higher than the earlier process's"))
		}
	}
}

func TestReleasedLeaseCanBeClaimed(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker("b", 1, duration)
	tr.Observe(7, Record{}, start)
	_, ok := tr.Claim(start)
	c.Check(ok, qt.IsTrue)
}

// fakeStore simulates the stored record, with writes that are applied late.
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

// TestOneHolderActs checks, with lost responses, late writes, lost reads and suspended
// daemons, that no two daemons hold the lease at the same time, that no two use the same
// fencing number, and that a later holder has a higher one.
func TestOneHolderActs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{}
		daemons := []string{"a", "b", "c"}
		trackers := map[string]*Tracker{}
		for _, name := range daemons {
			trackers[name] = NewTracker(name, 1, duration)
		}
		owner := map[int64]string{}
		highest := int64(0)
		now := start
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom(daemons).Draw(t, "daemon")
			step(t, s, trackers[name], now)
			holders := 0
			for _, n := range daemons {
				fence, holds := trackers[n].Holds(now)
				if !holds {
					continue
				}
				holders++
				if before, known := owner[fence]; known && before != n {
					t.Fatalf("fencing number %d used by both %s and %s", fence, before, n)
				}
				owner[fence] = n
				if fence < highest {
					t.Fatalf("fencing number %d used after %d", fence, highest)
				}
				highest = fence
			}
			if holders > 1 {
				t.Fatalf("%d daemons hold the lease at %s", holders, now)
			}
		}
	})
}

// step performs one operation of a daemon, with randomly drawn failures.
func step(t *rapid.T, s *fakeStore, tr *Tracker, now time.Time) {
	if len(s.delayed) > 0 && rapid.Bool().Draw(t, "late write happens") {
		s.apply(s.delayed[0])
		s.delayed = s.delayed[1:]
	}
	if rapid.Bool().Draw(t, "read") {
		tr.Observe(s.revision, s.record, now)
	}
	_, holds := tr.Holds(now)
	record, ok := tr.Renewal(), holds
	if !holds {
		record, ok = tr.Claim(now)
	}
	if !ok {
		return
	}
	if released, held := tr.Release(); held && rapid.IntRange(0, 9).Draw(t, "release") == 0 {
		record = released
	}
	tr.BeginWrite(record, now)
	w := write{tr.Revision(), record}
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		s.delayed = append(s.delayed, w)
	case 1:
		s.apply(w)
	default:
		if s.apply(w) {
			tr.WriteSucceeded(s.revision, now)
		}
	}
}

// TestCopyOfTheStoreFreesNoLease guards against a second holder beside one whose record the store has
// lost, and against reports that are forgotten with the record.
func TestCopyOfTheStoreFreesNoLease(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	later := func(revision int64) int64 { return store.QualifiedRevision(1, revision) }
	other := NewTracker("vm-2", 2, duration)
	other.Observe(9, Record{Holder: "vm-1", Incarnation: 1, Renewals: 4, UsageReports: map[int64]usage.Counts{7: {"quarry": 12}}}, now)
	other.Observe(later(5), Record{Renewals: 2}, now)
	c.Check(other.WentBack(), qt.IsTrue)
	_, ok := other.Claim(now.Add(duration - time.Millisecond))
	c.Check(ok, qt.IsFalse, qt.Commentf("claimed although the holder's record may be lost"))
	other.Observe(later(5), Record{Renewals: 2}, now.Add(duration/2))
	claim, ok := other.Claim(now.Add(duration))
	c.Check(ok, qt.IsTrue)
	c.Check(claim.UsageReports[7], qt.DeepEquals, usage.Counts{"quarry": 12})
	other.BeginWrite(claim, now.Add(duration))
	other.WriteSucceeded(later(6), now.Add(duration))
	fence, holds := other.Holds(now.Add(duration))
	c.Check(holds, qt.IsTrue)
	c.Check(fence > 9, qt.IsTrue)
}

// TestCopyOfTheStoreIsNotReleased guards against a second holder beside one whose record the store has lost, where the copy
// names a daemon that stops.
func TestCopyOfTheStoreIsNotReleased(t *testing.T) {
	c := qt.New(t)
	stopping := NewTracker("vm-2", 2, duration)
	own := Record{Holder: "vm-2", Incarnation: 2, Renewals: 4}
	stopping.Observe(5, own, start)
	_, held := stopping.Release()
	c.Check(held, qt.IsTrue)
	stopping.Observe(9, Record{Holder: "vm-1", Incarnation: 1, Renewals: 4}, start)
	_, held = stopping.Release()
	c.Check(held, qt.IsFalse)
	stopping.Observe(store.QualifiedRevision(1, 5), own, start)
	_, held = stopping.Release()
	c.Check(held, qt.IsFalse)
}

func TestHolderReclaimsALostLeaseAtOnceWithANewFence(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := NewTracker("vm-1", 1, 3*time.Second)
	tracker.Observe(0, Record{}, now)
	claim, ok := tracker.Claim(now)
	c.Assert(ok, qt.IsTrue)
	tracker.BeginWrite(claim, now)
	tracker.WriteSucceeded(9, now)
	tracker.ObserveMissing(0, now)
	_, holds := tracker.Holds(now)
	c.Check(holds, qt.IsTrue, qt.Commentf("a late answer in the same era takes the lease away"))
	tracker.ObserveMissing(1, now.Add(time.Second))
	_, holds = tracker.Holds(now.Add(time.Second))
	c.Check(holds, qt.IsFalse)
	_, ok = tracker.Claim(now.Add(time.Second))
	c.Check(ok, qt.IsTrue)
	c.Check(tracker.Revision(), qt.Equals, int64(0))
}
