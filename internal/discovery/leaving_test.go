package discovery

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/vmlist"
)

var leavingAdvice = advice.Advice{Leaving: true}

func canAcquire(r *Registry, at time.Time) bool {
	slot, ok := r.Acquire("s-0", 0, at)
	if ok {
		slot.Release(false, at)
	}
	return ok
}

func TestServersAnnouncedAsLeavingGetNoRequests(t *testing.T) {
	c := qt.New(t)
	all := testRegistries(2, 1)
	c.Check(all[0].ApplyAdvice("s-0", leavingAdvice, start, start), qt.IsTrue)
	c.Check(all[0].ApplyAdvice("s-0", leavingAdvice, start, start.Add(time.Second)), qt.IsFalse)
	all[0].Apply(vmlist.VMChanges{Revision: 2, VMs: []vmlist.VM{{ID: "s-0", Zone: "z-0", Role: vmlist.RoleBackend, Service: "s", State: vmlist.VMLive}}})
	c.Check(canAcquire(all[0], start.Add(time.Second)), qt.IsFalse)
	_, found := all[0].RetryAfter("s", start.Add(time.Second))
	c.Check(found, qt.IsFalse)

	told := start.Add(500 * time.Millisecond)
	c.Check(all[1].MergeAdvice(all[0].Advice(told), told), qt.IsTrue)
	c.Check(canAcquire(all[1], told), qt.IsFalse)
}

// TestServersAreUsedAgainAfterTheyLeft guards against a server that stays out since nobody asks it.
func TestServersAreUsedAgainAfterTheyLeft(t *testing.T) {
	c := qt.New(t)
	all := testRegistries(2, 1)
	all[0].ApplyAdvice("s-0", leavingAdvice, start, start)
	all[1].MergeAdvice(all[0].Advice(start.Add(time.Second)), start.Add(time.Second))
	back := start.Add(10 * time.Second)
	c.Check(all[0].RecordRestart("s-0", back), qt.IsTrue)
	c.Check(canAcquire(all[0], back), qt.IsTrue)
	c.Check(all[1].MergeAdvice(all[0].Advice(back.Add(time.Millisecond)), back.Add(time.Millisecond)), qt.IsTrue)
	c.Check(canAcquire(all[1], back.Add(time.Millisecond)), qt.IsTrue)

	all[0].ApplyAdvice("s-0", leavingAdvice, back, back.Add(time.Second))
	c.Check(canAcquire(all[0], back.Add(2*time.Second)), qt.IsFalse)
	lapsed := back.Add(time.Second + leavingNoticeTTL)
	c.Check(canAcquire(all[0], lapsed), qt.IsTrue)
	c.Check(all[0].ApplyAdvice("s-0", leavingAdvice, lapsed, lapsed), qt.IsTrue)
	c.Check(canAcquire(all[0], lapsed), qt.IsFalse)
}
