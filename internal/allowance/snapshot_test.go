package allowance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// evenUsage returns the usage of a workspace that spends evenly, at rate tokens per second.
func evenUsage(rate float64) map[string]Usage {
	var use Usage
	for i := range use {
		use[i] = rate * defaultWindow.Seconds() / spanCount
	}
	return map[string]Usage{"w": use}
}

// newRestoredLimiter returns the limiter of a daemon that has just started and has restored a
// snapshot.
func newRestoredLimiter(rate float64, snapshot Snapshot) *Limiter {
	l := NewLimiter(Tolerance{}, start, neverAdmit)
	l.ApplyCatalog(testCatalog(rate, rate), start)
	l.Restore(snapshot, start)
	l.SetReachable(1, 1, start)
	return l
}

func TestRestoredUsageCounts(t *testing.T) {
	c := qt.New(t)
	l := newRestoredLimiter(1000, Snapshot{Usage: evenUsage(500)})
	// 4000 in the window, 50 until the snapshot was written, and one burst.
	c.Check(l.usedTokens(), qt.Equals, 5050.0)
	l.accounts["w"].used.advance(start.Add(1200 * time.Millisecond))
	c.Check(l.usedTokens(), qt.Equals, 4550.0, qt.Commentf("the oldest span leaves"))
}

func TestOutageCountsAtLastRate(t *testing.T) {
	c := qt.New(t)
	l := newRestoredLimiter(1000, Snapshot{Usage: evenUsage(500), Age: usualSnapshotAge})
	// The oldest span has left the window and the next one is about to leave. Added are 2.1 s at
	// 500 per second and one burst.
	c.Check(l.usedTokens(), qt.Equals, 3500+1050+1000.0)
}

// TestOldSnapshotCountsJump guards against missing a jump in demand during an outage of the store:
// a snapshot older than usualSnapshotAge must count a jump.
func TestOldSnapshotCountsJump(t *testing.T) {
	c := qt.New(t)
	l := newRestoredLimiter(1000, Snapshot{Usage: evenUsage(500), Age: usualSnapshotAge + 200*time.Millisecond})
	c.Check(l.usedTokens(), qt.Equals, 3000+1150+1000+4*200.0)
	l = newRestoredLimiter(1000, Snapshot{Usage: evenUsage(500), Age: time.Minute})
	c.Check(l.usedTokens(), qt.Equals, 9000.0, qt.Commentf("no more than the allowance"))
}

// TestUnusedWorkspaceIsAdmitted checks that a workspace that the snapshot does not contain gets its
// whole allowance at once.
func TestUnusedWorkspaceIsAdmitted(t *testing.T) {
	c := qt.New(t)
	l := newRestoredLimiter(1000, Snapshot{})
	ok := l.Admit("w", 9000, start).Admitted
	c.Check(ok, qt.IsTrue)
}

// TestMissingSnapshotCountsJump guards against counting usage that was never recorded as zero.
func TestMissingSnapshotCountsJump(t *testing.T) {
	c := qt.New(t)
	l := newRestoredLimiter(1000, Snapshot{Unrecorded: true, Age: 500 * time.Millisecond})
	c.Check(l.usedTokens(), qt.Equals, 1000+4*500.0)
	l = newRestoredLimiter(1000, Snapshot{Unrecorded: true, Age: time.Minute})
	c.Check(l.usedTokens(), qt.Equals, 9000.0, qt.Commentf("no more than the allowance"))
	l = newRestoredLimiter(1000, Snapshot{Unrecorded: true, Age: 10 * time.Millisecond})
	c.Check(l.usedTokens(), qt.Equals, 0.0, qt.Commentf("daemons start together"))
}

// TestWarmupSnapshotCountsJump guards against counting workspaces as unused whose callers had
// waited for the first daemons to start.
func TestWarmupSnapshotCountsJump(t *testing.T) {
	c := qt.New(t)
	l := newRestoredLimiter(1000, Snapshot{Warmup: true, Age: 500 * time.Millisecond})
	c.Check(l.usedTokens(), qt.Equals, 1000+4*500.0)
	l = newRestoredLimiter(1000, Snapshot{Warmup: true, Age: usualSnapshotAge})
	c.Check(l.usedTokens(), qt.Equals, 1000+4*600.0, qt.Commentf("up to the next write of the snapshot"))
	l = newRestoredLimiter(1000, Snapshot{Warmup: true, Usage: evenUsage(500), Age: 0})
	c.Check(l.usedTokens(), qt.Equals, 5050.0, qt.Commentf("the rate of the last span"))
}

// TestUnknownUsesAreNotTold checks that usage is returned neither by a daemon that could not read
// the snapshot nor by one that has no configuration yet.
func TestUnknownUsesAreNotTold(t *testing.T) {
	c := qt.New(t)
	l := NewLimiter(Tolerance{}, start, neverAdmit)
	l.Restore(Snapshot{Usage: evenUsage(500)}, start)
	_, known := l.Usage(start)
	c.Check(known, qt.IsFalse, qt.Commentf("no configuration"))
	l = NewLimiter(Tolerance{}, start, neverAdmit)
	l.ApplyCatalog(testCatalog(1000, 1000), start)
	_, known = l.Usage(start)
	c.Check(known, qt.IsFalse, qt.Commentf("no snapshot"))
	_, known = l.Usage(start.Add(defaultWindow))
	c.Check(known, qt.IsTrue, qt.Commentf("the earlier usage has left the window"))
}

func TestStartAdoptsPeerUsage(t *testing.T) {
	c := qt.New(t)
	l := newRestoredLimiter(1000, Snapshot{Usage: evenUsage(800)})
	ok := l.Admit("w", 500, start).Admitted
	c.Assert(ok, qt.IsTrue)
	l.AdoptUsage(map[string]Usage{"w": {0, 0, 0, 100}}, nil, start)
	c.Check(l.usedTokens(), qt.Equals, 600.0)
	l.AdoptUsage(map[string]Usage{}, nil, start)
	c.Check(l.usedTokens(), qt.Equals, 600.0, qt.Commentf("once"))
}

// TestSnapshotBeforeConfiguration restores the snapshot before the configuration is applied. The
// store determines which of them arrives first.
func TestSnapshotBeforeConfiguration(t *testing.T) {
	c := qt.New(t)
	l := NewLimiter(Tolerance{}, start, neverAdmit)
	l.Restore(Snapshot{Usage: evenUsage(500)}, start)
	l.ApplyCatalog(testCatalog(1000, 1000), start.Add(time.Second))
	c.Check(l.usedTokens(), qt.Equals, 5050.0)
}
