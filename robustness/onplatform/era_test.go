package onplatform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// goBackTo lets the store be away for a moment and come back from a copy. Configuration and servers
// are written again.
func (b *bed) goBackTo(copied fake.Copy, away time.Duration) {
	config := b.store.Object("config", "main")
	b.store.SetOutage(fake.OutageReset)
	time.Sleep(away)
	b.store.GoBack(copied)
	b.store.SetOutage(fake.OutageNone)
	time.Sleep(300 * time.Millisecond)
	b.store.Put("config", "main", config)
}

// TestUsageIsSentOnceThoughTheStoreWentBack guards against a window that is counted anew, because
// the copy of the lease's record lacks the report that was sent. The bed checks the reports.
func TestUsageIsSentOnceThoughTheStoreWentBack(t *testing.T) {
	for _, back := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		for name, trouble := range map[string]func(b *bed){
			"alone":              func(*bed) {},
			"the holder dies":    func(b *bed) { b.holder().kill() },
			"all daemons die":    func(b *bed) { b.restartAll(100 * time.Millisecond) },
			"a second time":      func(b *bed) { b.goBackTo(b.store.Copy(), 200*time.Millisecond) },
			"the holder is away": func(b *bed) { b.net.Cut(b.holder().ip, storeIP) },
		} {
			t.Run(fmt.Sprintf("%s, %v", name, back), func(t *testing.T) {
				run(t, 6, serving, func(b *bed) {
					others := []int{0, 1, 2, 3, 4, 5}
					sendFor := func(d time.Duration) {
						for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
							for _, i := range others {
								b.send(call{method: "GET", path: "/a/x", key: testKey, to: i})
							}
						}
					}
					sendFor(usageWindow + time.Second)
					before := len(b.cloud.Reports())
					copies := []fake.Copy{}
					for len(b.cloud.Reports()) == before {
						copies = append(copies, b.store.Copy())
						sendFor(250 * time.Millisecond)
					}
					copied := copies[max(0, len(copies)-1-int(back/(250*time.Millisecond)))]
					b.goBackTo(copied, 400*time.Millisecond)
					trouble(b)
					sendFor(2*usageWindow + usageDue)
				})
			})
		}
	}
}

// TestLeaseIsFoundAgainAfterTheStoreWentBack guards against a deployment without a holder: the copy
// may be older than the lease's record, or name a holder that has long ended.
func TestLeaseIsFoundAgainAfterTheStoreWentBack(t *testing.T) {
	var empty fake.Copy
	run(t, 3, func(b *bed) {
		serving(b)
		empty = b.store.Copy()
	}, func(b *bed) {
		b.Assert(b.holder(), qt.IsNotNil)
		b.goBackTo(empty, 300*time.Millisecond)
		time.Sleep(8 * time.Second)
		b.Assert(b.store.Object("plankridge-leases", "cloud"), qt.IsNotNil)
		b.Check(b.holder(), qt.IsNotNil)
		before := len(b.cloud.Reports())
		time.Sleep(usageWindow + usageDue)
		b.Check(len(b.cloud.Reports()) > before, qt.IsTrue)
	})
}

// TestServersThatLeaveAfterTheStoreWentBack guards against daemons that ignore what the store says
// until its revisions have passed those that they had seen.
func TestServersThatLeaveAfterTheStoreWentBack(t *testing.T) {
	for _, daemons := range []int{3, 9} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			servers := map[string]*fake.Server{}
			run(t, daemons, func(b *bed) {
				for _, id := range []string{"i-1", "i-2", "i-3"} {
					servers[id] = b.addServer(id, plain, &fake.Server{})
				}
				b.configure(routes{plainRoute("/a/", "idempotent", 2)})
			}, func(b *bed) {
				copied := b.store.Copy()
				list := func(id, state string, seq int) {
					spec := map[string]any{}
					b.decode(b.store.Object("servers", id), &spec)
					spec["state"], spec["seq"] = state, seq
					b.store.Put("servers", id, spec)
				}
				for seq := range 40 {
					list("i-2", "ready", 2+seq)
				}
				list("i-1", "draining", 2)
				time.Sleep(time.Second)
				b.goBackTo(copied, 300*time.Millisecond)
				left := map[string]time.Time{"i-1": time.Now().Add(-time.Second)}
				time.Sleep(500 * time.Millisecond)
				list("i-1", "draining", 3)
				list("i-2", "draining", 50)
				left["i-2"] = time.Now()
				for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					for i := range b.daemons {
						b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i}).status, qt.Equals, 200)
					}
				}
				for id, at := range left {
					late := slices.DeleteFunc(servers[id].Arrivals(), func(a fake.Arrival) bool { return !a.At.After(at.Add(leavingBound / 2)) })
					b.Check(late, qt.HasLen, 0, qt.Commentf("%s got %d requests later than half of the bound", id, len(late)))
				}
			})
		})
	}
}

// TestFencesGrowThoughRevisionsGoBack guards against a later holder whose fence is one that the
// platform has seen already, or a lower one.
func TestFencesGrowThoughRevisionsGoBack(t *testing.T) {
	run(t, 3, serving, func(b *bed) {
		copied := b.store.Copy()
		b.use(20, 0, 1, 2)
		for range 3 {
			for i := range 30 {
				b.store.Put("config", "main", json.RawMessage(strings.Replace(string(b.store.Object("config", "main")), "{", fmt.Sprintf("{\"pad%d\":1,", i), 1)))
			}
			b.goBackTo(copied, 300*time.Millisecond)
			b.holderSoon().kill()
			time.Sleep(6 * time.Second)
		}
		before := len(b.cloud.Reports())
		time.Sleep(usageWindow + usageDue)
		b.Check(len(b.cloud.Reports()) >= before, qt.IsTrue)
	})
}

// holderSoon waits for a daemon that holds the lease.
func (b *bed) holderSoon() *daemon {
	for range 100 {
		if b.store.Object("plankridge-leases", "cloud") != nil {
			if d := b.holder(); d != nil {
				return d
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("nobody holds the lease")
	return nil
}
