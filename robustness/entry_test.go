package robustness

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/cloud"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// TestReclaimOfWholeZoneLosesNoRequest reclaims entry VMs and backend servers
// of a zone at once, in the middle of a day.
func TestReclaimOfWholeZoneLosesNoRequest(t *testing.T) {
	for _, notice := range []time.Duration{3 * time.Second, 10 * time.Second} {
		for example, zone := range map[string]string{"ndiaye": "hall-nord", "amakusa": "kumamoto-hall"} {
			t.Run(example+notice.String(), func(t *testing.T) {
				run(t, example, func(b *bed) {
					inZone := 0
					summary := b.replayDay(example+"-day", func() {
						time.Sleep(15 * time.Second)
						inZone = b.inFlightIn(zone)
						b.d.StandIns.Fleet.ReclaimZone(zone, vmlist.RoleEntry, notice)
						b.d.StandIns.Fleet.ReclaimZone(zone, vmlist.RoleBackend, notice)
					})
					b.holds(summary)
					b.Logf("%d requests at the zone's daemons when the notice came; %d of %d answers were asked for again, %d lost",
						inZone, summary.Resumed, summary.Sent, summary.Lost)
				})
			})
		}
	}
}

// inFlightIn returns the number of requests at the daemons of a zone.
func (b *bed) inFlightIn(zone string) int {
	total := 0
	for _, node := range b.d.Nodes {
		if node.Daemon.VM().Zone == zone {
			total += node.Daemon.InFlight()
		}
	}
	return total
}

// owner returns the entry VM that accepted a request.
func (b *bed) owner(id string) *dev.Node {
	for _, node := range b.d.Nodes {
		if node.Daemon.Owns(id) {
			return node
		}
	}
	b.Fatalf("no daemon owns %s", id)
	return nil
}

// backup returns the entry VM that keeps the copy of the only request.
func (b *bed) backup() *dev.Node {
	for _, node := range b.d.Nodes {
		if node.Daemon.Copies() > 0 {
			return node
		}
	}
	b.Fatal("no daemon has a copy")
	return nil
}

// finish reads a stream on at any daemon, as a caller would that was cut off.
func (b *bed) finish(r *reader) string {
	for range 60 {
		if r.done {
			return r.text
		}
		time.Sleep(500 * time.Millisecond)
		url := balancerURL + "/v1/requests/" + r.id() + "/response"
		resp, _ := b.call(http.MethodGet, balancerURL+"/v1/requests/"+r.id(), "devis", "")
		if resp.StatusCode != http.StatusOK {
			continue
		}
		if resp, _ := b.call(http.MethodGet, url, "devis", "", "Last-Event-ID", r.last); resp.StatusCode == http.StatusConflict {
			r.text, r.last = "", "0"
		}
		next, cancel := b.stream(http.MethodGet, url, "devis", "", "Last-Event-ID", r.last)
		next.text, next.last = r.text, r.last
		next.tokens(-1)
		cancel()
		r = next
	}
	b.Fatal("the answer did not come")
	return ""
}

// pauseEngines holds every engine for a while, so that streams are long.
func (b *bed) pauseEngines(paused bool) {
	for _, engine := range b.d.StandIns.Engines() {
		engine.Faults.Set(faults.State{Paused: paused})
	}
}

// TestKilledOwnerLosesNoStream kills the owner of a stream without notice.
func TestKilledOwnerLosesNoStream(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		want := b.whole(chatBody)
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		defer cancel()
		r.tokens(20) // half a second: the copy has been made
		b.d.StandIns.Fleet.Kill(b.owner(r.id()).Daemon.VM().ID)
		r.tokens(-1)
		b.Assert(r.done, qt.IsFalse)
		b.Assert(b.finish(r), qt.Equals, want)
	})
}

// TestCrashedProcessIsReplaced kills the process of a stream's owner, whose VM
// stays, and starts a new one in its place.
func TestCrashedProcessIsReplaced(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		want := b.whole(chatBody)
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		defer cancel()
		r.tokens(20)
		owner := b.owner(r.id())
		owner.Kill()
		time.Sleep(5 * time.Second)
		resp, body := b.call(http.MethodGet, balancerURL+"/v1/requests/"+r.id(), "devis", "")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
		vm := owner.Daemon.VM()
		_, err := b.d.StartNode(vm.ID, vm.Zone, owner.Host)
		b.Assert(err, qt.IsNil)
		r.tokens(-1)
		b.Assert(b.finish(r), qt.Equals, want)
	})
}

// TestAnswerBegunAgainIsNotMixed kills the owner of a stream whose caller has
// more tokens than the backup.
func TestAnswerBegunAgainIsNotMixed(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		defer cancel()
		r.tokens(20)
		b.d.StandIns.Fleet.Kill(b.owner(r.id()).Daemon.VM().ID)
		time.Sleep(5 * time.Second)
		url := balancerURL + "/v1/requests/" + r.id() + "/response"
		resp, body := b.call(http.MethodGet, url, "devis", "", "Last-Event-ID", r.last)
		b.Assert(resp.StatusCode, qt.Equals, http.StatusConflict, qt.Commentf("%s", body))
		resp, body = b.call(http.MethodGet, url, "devis", "", "Last-Event-ID", "3")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		b.Assert(body, qt.Contains, "id: 4.1\n")
	})
}

// TestOwnerAndBackupReclaimed announces the reclaim of both at once.
func TestOwnerAndBackupReclaimed(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		want := b.whole(chatBody)
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		defer cancel()
		r.tokens(20)
		b.pauseEngines(true)
		for _, node := range []*dev.Node{b.backup(), b.owner(r.id())} {
			b.d.StandIns.Fleet.Reclaim(node.Daemon.VM().ID, 3*time.Second)
		}
		r.tokens(-1)
		b.Assert(r.moved, qt.IsTrue)
		time.Sleep(4 * time.Second)
		b.pauseEngines(false)
		b.Assert(b.finish(r), qt.Equals, want)
	})
}

// TestBackupDiesBeforeOwner kills the backup, and the owner after that.
func TestBackupDiesBeforeOwner(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		want := b.whole(chatBody)
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		defer cancel()
		r.tokens(15)
		b.pauseEngines(true)
		b.d.StandIns.Fleet.Kill(b.backup().Daemon.VM().ID)
		b.pauseEngines(false)
		r.tokens(25)
		b.pauseEngines(true)
		time.Sleep(3 * time.Second)
		b.d.StandIns.Fleet.Kill(b.owner(r.id()).Daemon.VM().ID)
		b.pauseEngines(false)
		r.tokens(-1)
		b.Assert(b.finish(r), qt.Equals, want)
	})
}

// TestAsyncWorkOutlivesItsOwner kills the owner right after its 202.
func TestAsyncWorkOutlivesItsOwner(t *testing.T) {
	run(t, "amakusa", func(b *bed) {
		resp, _ := b.call(http.MethodPost, balancerURL+"/v1/chat/completions", "reviews",
			`{"model":"plankridge-llm","messages":[{"role":"user","content":"Review chapter 3."}]}`, "Prefer", "respond-async")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusAccepted)
		location := resp.Header.Get("Location")
		b.d.StandIns.Fleet.Kill(b.owner(location[len("/v1/requests/"):]).Daemon.VM().ID)
		time.Sleep(5 * time.Second)
		resp, body := b.call(http.MethodGet, balancerURL+location+"/response", "reviews", "")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		b.Assert(body, qt.Contains, `"finish_reason":"stop"`)
	})
}

// slowOrder sends an order that takes eight seconds and returns its ID.
func (b *bed) slowOrder(reference string) string {
	for _, server := range b.d.StandIns.PlainServers() {
		server.Faults.Set(faults.State{Delay: 8 * time.Second})
	}
	resp, _ := b.call(http.MethodPost, balancerURL+"/services/app-carriere/orders", "commandes", `{}`,
		"X-Reference", reference, "Prefer", "respond-async")
	b.Assert(resp.StatusCode, qt.Equals, http.StatusAccepted)
	return resp.Header.Get("Plankridge-Request-Id")
}

// TestOrderOfDeadOwnerIsUnknownAndNotRepeated kills the owner of an order that
// has been sent. Its backup tells the caller "unknown" and never sends it.
func TestOrderOfDeadOwnerIsUnknownAndNotRepeated(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		id := b.slowOrder("o-1")
		time.Sleep(time.Second)
		b.Assert(b.backup().Daemon.Copies(), qt.Equals, 1)
		b.d.StandIns.Fleet.Kill(b.owner(id).Daemon.VM().ID)
		time.Sleep(20 * time.Second)
		resp, body := b.call(http.MethodGet, balancerURL+"/v1/requests/"+id+"/response", "commandes", "")
		b.Check(resp.StatusCode, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", body))
		b.Check(body, qt.Contains, `"outcome":"unknown"`)
		b.Check(b.d.StandIns.Ledgers["app-carriere"].Runs()["o-1"] <= 1, qt.IsTrue)
	})
}

// TestWaitingCallerIsSentToResult reclaims the owner of an order that a caller
// waits for, and that outlasts the notice.
func TestWaitingCallerIsSentToResult(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		for _, server := range b.d.StandIns.PlainServers() {
			server.Faults.Set(faults.State{Delay: 8 * time.Second})
		}
		go func() {
			time.Sleep(time.Second)
			for _, node := range b.d.Nodes {
				if node.Daemon.InFlight() > 0 {
					b.d.StandIns.Fleet.Reclaim(node.Daemon.VM().ID, 4*time.Second)
				}
			}
		}()
		b.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		resp, _ := b.call(http.MethodPost, balancerURL+"/services/app-carriere/orders", "commandes", `{}`, "X-Reference", "o-3")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusSeeOther)
		time.Sleep(20 * time.Second)
		resp, body := b.call(http.MethodGet, balancerURL+resp.Header.Get("Location"), "commandes", "")
		b.Check(body, qt.Contains, `"outcome":"unknown"`)
		b.Check(resp.StatusCode, qt.Equals, http.StatusGatewayTimeout)
		b.Check(b.d.StandIns.Ledgers["app-carriere"].Runs()["o-3"] <= 1, qt.IsTrue)
	})
}

// TestCopiesOfLivingOwnersStay lets a daemon die that owns nothing.
func TestCopiesOfLivingOwnersStay(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		id := b.slowOrder("o-4")
		time.Sleep(time.Second)
		keeper := b.backup()
		for _, node := range b.d.Nodes {
			if node != keeper && !node.Daemon.Owns(id) {
				b.d.StandIns.Fleet.Kill(node.Daemon.VM().ID)
				break
			}
		}
		time.Sleep(3 * time.Second)
		b.Check(keeper.Daemon.Copies(), qt.Equals, 1)
		resp, body := b.call(http.MethodGet, balancerURL+"/v1/requests/"+id+"/response", "commandes", "")
		b.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	})
}

// TestQueuedOrderMovesWithItsOwner reclaims the owner of an order that no
// server has taken yet. It runs once, at another daemon.
func TestQueuedOrderMovesWithItsOwner(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		var backends []string
		for _, vm := range b.d.StandIns.Fleet.Members() {
			if vm.Service == "app-carriere" {
				backends = append(backends, vm.ID)
			}
		}
		// The servers are dead, and the VM list does not tell yet.
		for _, id := range backends {
			b.d.StandIns.Fleet.Kill(id)
		}
		resp, _ := b.call(http.MethodPost, balancerURL+"/services/app-carriere/orders", "commandes", `{}`,
			"X-Reference", "o-5", "Prefer", "respond-async")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusAccepted)
		id := resp.Header.Get("Plankridge-Request-Id")
		b.d.StandIns.Fleet.Reclaim(b.owner(id).Daemon.VM().ID, 3*time.Second)
		time.Sleep(5 * time.Second)
		_, err := b.d.StandIns.Fleet.Start(cloud.StartOrder{OrderID: "new", Zone: "hall-sud", Class: "app-small", Service: "app-carriere"})
		b.Assert(err, qt.IsNil)
		resp, body := b.call(http.MethodGet, balancerURL+"/v1/requests/"+id+"/response", "commandes", "")
		b.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		b.Check(b.d.StandIns.Ledgers["app-carriere"].Runs()["o-5"], qt.Equals, 1)
	})
}

// TestOrderOfReclaimedOwnerIsAnswered reclaims the owner of an order whose
// answer comes before the deadline.
func TestOrderOfReclaimedOwnerIsAnswered(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		id := b.slowOrder("o-2")
		b.d.StandIns.Fleet.Reclaim(b.owner(id).Daemon.VM().ID, 9*time.Second)
		time.Sleep(20 * time.Second)
		resp, body := b.call(http.MethodGet, balancerURL+"/v1/requests/"+id+"/response", "commandes", "")
		b.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		b.Check(b.d.StandIns.Ledgers["app-carriere"].Runs()["o-2"], qt.Equals, 1)
	})
}

// TestCopiesAreReleased looks for copies after a day.
func TestCopiesAreReleased(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		b.holds(b.replayDay("ndiaye-day", func() {}))
		time.Sleep(10 * time.Second)
		for _, node := range b.d.Nodes {
			b.Check(node.Daemon.Copies(), qt.Equals, 0)
		}
	})
}

// TestLongStreamsOutliveZone holds streams open at every daemon while a zone
// goes, and counts those that went on without a break.
func TestLongStreamsOutliveZone(t *testing.T) {
	for _, notice := range []time.Duration{3 * time.Second, 10 * time.Second} {
		t.Run(notice.String(), func(t *testing.T) {
			run(t, "ndiaye", func(b *bed) {
				want := b.whole(chatBody)
				const streams = 24
				var readers []*reader
				for range streams {
					b.client.CloseIdleConnections()
					r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
					defer cancel()
					r.tokens(3)
					readers = append(readers, r)
				}
				b.pauseEngines(true)
				b.d.StandIns.Fleet.ReclaimZone("hall-nord", vmlist.RoleEntry, notice)
				b.d.StandIns.Fleet.ReclaimZone("hall-nord", vmlist.RoleBackend, notice)
				time.Sleep(notice + time.Second)
				b.pauseEngines(false)
				unbroken, moved := 0, 0
				for _, r := range readers {
					r.tokens(-1)
					if r.done {
						unbroken++
					}
					if r.moved {
						moved++
					}
					b.Check(b.finish(r), qt.Equals, want)
				}
				b.Logf("%d streams: %d unbroken, %d sent on, all whole", streams, unbroken, moved)
				b.Check(unbroken+moved, qt.Equals, streams)
			})
		})
	}
}
