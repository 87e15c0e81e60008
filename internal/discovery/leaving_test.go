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

	later := start.Add(500 * time.Millisecond)
	c.Check(all[1].MergeAdvice(all[0].Advice(later), later), qt.IsTrue)
	c.Check(canAcquire(all[1], later), qt.IsFalse)
}

// TestServersAreUsedAgainAfterTheyLeft guards against a server that stays excluded because no
// request is sent that could show that it is back.
func TestServersAreUsedAgainAfterTheyLeft(t *testing.T) {
	c := qt.New(t)
	all := testRegistries(2, 1)
	all[0].ApplyAdvice("s-0", leavingAdvice, start, start)
	all[1].MergeAdvice(all[0].Advice(start.Add(time.Second)), start.Add(time.Second))
	restarted := start.Add(10 * time.Second)
	c.Check(all[0].RecordRestart("s-0", restarted), qt.IsTrue)
	c.Check(canAcquire(all[0], restarted), qt.IsTrue)
	c.Check(all[1].MergeAdvice(all[0].Advice(restarted.Add(time.Millisecond)), restarted.Add(time.Millisecond)), qt.IsTrue)
	c.Check(canAcquire(all[1], restarted.Add(time.Millisecond)), qt.IsTrue)

	all[0].ApplyAdvice("s-0", leavingAdvice, restarted, restarted.Add(time.Second))
	c.Check(canAcquire(all[0], restarted.Add(2*time.Second)), qt.IsFalse)
	expired := restarted.Add(time.Second + leavingNoticeTTL)
	c.Check(canAcquire(all[0], expired), qt.IsTrue)
	c.Check(all[0].ApplyAdvice("s-0", leavingAdvice, expired, expired), qt.IsTrue)
	c.Check(canAcquire(all[0], expired), qt.IsFalse)
}
