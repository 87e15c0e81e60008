package robustness

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/keys"
	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/vmlist"
)

const ordersURL = "/services/app-carriere/orders"

// keySlots returns the number of slots that all daemons serve.
func (b *bed) keySlots() int {
	total := 0
	for _, node := range b.d.Nodes {
		total += node.Daemon.KeySlots()
	}
	return total
}

// keyed sends an order with a key and returns status and body.
func (b *bed) keyed(base, key, reference, body string) (*http.Response, string) {
	return b.call(http.MethodPost, base+ordersURL, "commandes", body, "X-Reference", reference, "Idempotency-Key", key)
}

func (b *bed) runs(reference string) int {
	return b.d.StandIns.Ledgers["app-carriere"].Runs()[reference]
}

// until repeats a keyed order until it has the wanted status.
func (b *bed) until(status int, key, reference string) (*http.Response, string) {
	var body string
	for range 60 {
		var resp *http.Response
		resp, body = b.keyed(balancerURL, key, reference, `{"blocks":2}`)
		if resp.StatusCode == status {
			return resp, body
		}
		time.Sleep(time.Second)
	}
	b.Fatalf("key %s never got status %d, last: %s", key, status, body)
	return nil, ""
}

func runKeyed(t *testing.T, test func(b *bed)) {
	run(t, "ndiaye", func(b *bed) {
		for b.keySlots() < 3*keys.SlotsPerZone {
			time.Sleep(time.Second)
		}
		test(b)
	})
}

func TestSameKeyEverywhereAtOnceRunsOnce(t *testing.T) {
	runKeyed(t, func(b *bed) {
		statuses := map[int]int{}
		var mu sync.Mutex
		var sending sync.WaitGroup
		for _, node := range b.d.Nodes {
			for range 3 {
				sending.Go(func() {
					resp, _ := b.keyed("http://"+node.Daemon.CallerAddress(), "k-1", "once", `{"blocks":2}`)
					mu.Lock()
					defer mu.Unlock()
					statuses[resp.StatusCode]++
				})
			}
		}
		sending.Wait()
		b.Check(b.runs("once"), qt.Equals, 1, qt.Commentf("%v", statuses))
		b.Check(statuses[http.StatusOK]+statuses[http.StatusConflict], qt.Equals, 18, qt.Commentf("%v", statuses))
		b.Check(statuses[http.StatusOK] >= 1, qt.IsTrue)

		first, answer := b.keyed(balancerURL, "k-1", "once", `{"blocks":2}`)
		b.Check(first.Header.Get("Plankridge-Replayed"), qt.Equals, "true")
		_, again := b.keyed(balancerURL, "k-1", "once", "{ \"blocks\": 2 }")
		b.Check(again, qt.Equals, answer)
		resp, body := b.keyed(balancerURL, "k-1", "once", `{"blocks":3}`)
		b.Check(resp.StatusCode, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("%s", body))
		resp, _ = b.call(http.MethodPost, balancerURL+ordersURL, "devis", `{"blocks":2}`, "X-Reference", "other", "Idempotency-Key", "k-1")
		b.Check(resp.Header.Get("Plankridge-Replayed"), qt.Equals, "", qt.Commentf("keys of two workspaces are two keys"))
		b.Check(b.runs("once"), qt.Equals, 1)
	})
}

// holder returns the entry VM that holds the key of a request that it ran.
func (b *bed) holder(resp *http.Response) *dev.Node {
	return b.owner(resp.Header.Get("Plankridge-Request-Id"))
}

func TestKeyOutlivesItsHolder(t *testing.T) {
	for name, end := range map[string]func(b *bed, node *dev.Node){
		"killed":  func(b *bed, node *dev.Node) { b.d.StandIns.Fleet.Kill(node.Daemon.VM().ID) },
		"drained": func(b *bed, node *dev.Node) { node.Drain(); b.Check(node.Wait(), qt.IsNil) },
		"crashed and restarted": func(b *bed, node *dev.Node) {
			node.Kill()
			vm := node.Daemon.VM()
			_, err := b.d.StartNode(vm.ID, vm.Zone, node.Host)
			b.Check(err, qt.IsNil)
		},
		"reclaimed": func(b *bed, node *dev.Node) { b.d.StandIns.Fleet.Reclaim(node.Daemon.VM().ID, 3*time.Second) },
		"zone gone": func(b *bed, node *dev.Node) {
			b.d.StandIns.Fleet.ReclaimZone(node.Daemon.VM().Zone, vmlist.RoleEntry, 3*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runKeyed(t, func(b *bed) {
				resp, answer := b.keyed(balancerURL, "k-2", "outlive", `{"blocks":2}`)
				b.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
				time.Sleep(time.Second)
				end(b, b.holder(resp))
				time.Sleep(5 * time.Second)
				resp, again := b.until(http.StatusOK, "k-2", "outlive")
				b.Check(again, qt.Equals, answer)
				b.Check(resp.Header.Get("Plankridge-Replayed"), qt.Equals, "true")
				b.Check(b.runs("outlive"), qt.Equals, 1)
			})
		})
	}
}

// TestKeyOfDeadHolderIsNotRunAgain kills the holder between intent and answer.
func TestKeyOfDeadHolderIsNotRunAgain(t *testing.T) {
	runKeyed(t, func(b *bed) {
		for _, server := range b.d.StandIns.PlainServers() {
			server.Faults.Set(faults.State{Delay: 8 * time.Second})
		}
		resp, _ := b.call(http.MethodPost, balancerURL+ordersURL, "commandes", `{"blocks":2}`,
			"X-Reference", "dead", "Idempotency-Key", "k-3", "Prefer", "respond-async")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusAccepted)
		time.Sleep(time.Second)
		again, _ := b.keyed(balancerURL, "k-3", "dead", `{"blocks":2}`)
		b.Check(again.StatusCode, qt.Equals, http.StatusConflict)
		b.d.StandIns.Fleet.Kill(b.holder(resp).Daemon.VM().ID)
		_, body := b.until(http.StatusGatewayTimeout, "k-3", "dead")
		b.Check(body, qt.Contains, `"outcome":"unknown"`)
		time.Sleep(20 * time.Second)
		b.Check(b.runs("dead"), qt.Equals, 1)
	})
}

// TestKeyIsKeptWhileStoreIsAway takes an order while the Object API is down,
// kills its holder, and repeats the key when the Object API is back.
func TestKeyIsKeptWhileStoreIsAway(t *testing.T) {
	runKeyed(t, func(b *bed) {
		time.Sleep(20 * time.Second) // until every daemon has enrolled
		b.d.StandIns.Store.Faults.Set(faults.State{Outage: true})
		resp, answer := b.keyed(balancerURL, "k-4", "outage", `{"blocks":2}`)
		b.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
		b.d.StandIns.Fleet.Kill(b.holder(resp).Daemon.VM().ID)
		time.Sleep(5 * time.Second)
		b.d.StandIns.Store.Faults.Set(faults.State{})
		resp, body := b.until(http.StatusGatewayTimeout, "k-4", "outage")
		b.Check(body, qt.Contains, `"outcome":"unknown"`, qt.Commentf("%d", resp.StatusCode))
		b.Check(b.runs("outage"), qt.Equals, 1)
	})
}

// TestKeyOfUnreachableZoneIsNotRun cuts a daemon off from the key's home.
func TestKeyOfUnreachableZoneIsNotRun(t *testing.T) {
	runKeyed(t, func(b *bed) {
		resp, body := b.keyed(balancerURL, "k-5", "first", `{"blocks":2}`)
		b.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		home := b.holder(resp).Daemon.VM().Zone
		var outside *dev.Node
		for _, node := range b.d.Nodes {
			if node.Daemon.VM().Zone != home {
				outside = node
			}
		}
		for _, node := range b.d.Nodes {
			if node.Daemon.VM().Zone == home {
				b.plane.Net.Cut(node.Host.IP, outside.Host.IP)
			}
		}
		resp, body = b.keyed("http://"+outside.Daemon.CallerAddress(), "k-6", "cut", `{"blocks":2}`)
		b.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		b.Check(body, qt.Contains, `"outcome":"unknown"`, qt.Commentf("the key may have been used elsewhere"))
		time.Sleep(10 * time.Second)
		b.Check(b.runs("cut"), qt.Equals, 0)
	})
}

// TestIntentsAreCommittedInGroups counts the writes of a burst.
func TestIntentsAreCommittedInGroups(t *testing.T) {
	runKeyed(t, func(b *bed) {
		b.d.StandIns.Store.Faults.Set(faults.State{Delay: 20 * time.Millisecond})
		before := b.d.StandIns.Store.Calls().Writes.Load()
		var sending sync.WaitGroup
		const burst = 40
		for i := range burst {
			sending.Go(func() {
				reference := fmt.Sprint("burst-", i)
				resp, body := b.call(http.MethodPost, balancerURL+ordersURL, "devis", `{}`, "X-Reference", reference, "Idempotency-Key", reference)
				b.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
			})
		}
		sending.Wait()
		time.Sleep(5 * time.Second)
		writes := b.d.StandIns.Store.Calls().Writes.Load() - before
		b.Logf("%d orders, %d writes for intents and ends", burst, writes)
		b.Check(writes < burst, qt.IsTrue, qt.Commentf("%d writes", writes))
	})
}
