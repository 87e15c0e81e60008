package onplatform

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// listBorn lists an incarnation of a server.
func (b *bed) listBorn(id, service, state string, bornMs, seq int64) {
	b.store.Put("servers", id, map[string]any{
		"service": service, "address": b.serverAddress(id), "zone": "zone-1", "version": "v1", "slots": 6, "state": state,
		"coldLeftMs": 0, "seq": seq, "born": bornMs,
	})
}

// TestEntriesOfOtherWriters: they take nothing from the servers that are there, also where
// they stand in the place of one.
func TestEntriesOfOtherWriters(t *testing.T) {
	texts := map[string]string{
		"no JSON": `{"service":"desk","address"`, "text": `"resting"`, "null": `null`, "missing fields": `{"service":"desk","state":"ready"}`,
		"wrong type":    `{"service":"desk","address":"10.2.0.250:80","zone":"zone-1","version":"v1","slots":"six","state":"ready","seq":1,"coldLeftMs":0}`,
		"unknown state": `{"service":"desk","address":"10.2.0.250:80","zone":"zone-1","version":"v1","slots":6,"state":"asleep","seq":1,"coldLeftMs":0}`,
		"other service": `{"service":"nowhere","address":"10.2.0.250:80","zone":"zone-1","version":"v1","slots":6,"state":"ready","seq":1,"coldLeftMs":0}`,
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			var spoiled *fake.Server
			run(t, 3, func(b *bed) {
				spoiled = b.addServer("i-1", plain, &fake.Server{})
				b.addServer("i-2", plain, &fake.Server{})
				b.store.PutRaw("servers", "i-0", text)
				b.configure(routes{plainRoute("/a/", "idempotent", 1)})
			}, func(b *bed) {
				for i := range 9 {
					b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i % 3}).status, qt.Equals, 200)
				}
				// One that was in use is spoiled: it is left within the time to drain.
				b.store.PutRaw("servers", "i-1", text)
				b.listServer("i-3", plain, "ready")
				b.addServer("i-3", plain, &fake.Server{})
				time.Sleep(2 * time.Second)
				before := len(spoiled.Arrivals())
				for i := range 12 {
					b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i % 3}).status, qt.Equals, 200)
				}
				b.Check(len(spoiled.Arrivals()), qt.Equals, before)
				// And is back once its own entry is.
				b.listServer("i-1", plain, "ready")
				b.store.Remove("servers", "i-2")
				b.store.Remove("servers", "i-3")
				time.Sleep(2 * time.Second)
				b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey}).status, qt.Equals, 200)
				b.Check(len(spoiled.Arrivals()) > before, qt.IsTrue)
			})
		})
	}
}

// TestBadConfigurationChangesNothing: the one in force stays.
func TestBadConfigurationChangesNothing(t *testing.T) {
	for _, text := range []string{`null`, `[]`, `{"version":`, `{"version":"nine"}`, `{"routes":[]}`, `"x"`} {
		t.Run(text, func(t *testing.T) {
			run(t, 2, twoKeys, func(b *bed) {
				b.store.PutRaw("config", "main", text)
				time.Sleep(inForce)
				b.Check(b.send(call{method: "GET", path: "/a/x", key: otherKey}).status, qt.Equals, 200)
				// A daemon that starts beside it waits for a good one.
				b.startDaemon(3)
				time.Sleep(inForce)
				b.revoke()
				time.Sleep(inForce)
				b.refusesOther()
			})
		})
	}
}

// TestUnreadableLease: who holds it cannot be told; another is taken once it has lapsed.
func TestUnreadableLease(t *testing.T) {
	run(t, 3, twoKeys, func(b *bed) {
		time.Sleep(5 * time.Second)
		b.store.PutRaw("plankridge-leases", "cloud", `{"holder":7`)
		b.store.PutRaw("plankridge-daemons", "vm-9", `[]`)
		time.Sleep(8 * time.Second)
		var record struct{ Holder string }
		b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey}).status, qt.Equals, 200)
		b.decode(b.store.Object("plankridge-leases", "cloud"), &record)
		b.Check(record.Holder, qt.Matches, "vm-.*")
	})
}

// TestServerStartsAgainBehindACut: the connections to the earlier incarnation stay open and
// silent. What may run again goes elsewhere at once; of the rest the truth is told.
func TestServerStartsAgainBehindACut(t *testing.T) {
	for _, kind := range []string{"stream", "idempotent", "non_idempotent"} {
		t.Run(kind, func(t *testing.T) {
			silent := func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: time.Minute} }
			var other *fake.Server
			run(t, 2, func(b *bed) {
				b.addServer("i-1", plain, &fake.Server{Behave: silent})
				b.addServer("m-1", model, &fake.Server{EventCount: 4, Behave: silent})
				b.listBorn("i-1", plain, "ready", 1000, 9)
				b.listBorn("m-1", model, "ready", 1000, 9)
				b.configure(routes{slow(plainRoute("/a/", "idempotent", 2)), slow(plainRoute("/o/", "non_idempotent", 2)), streamRoute("/s/", true, 2)})
			}, func(b *bed) {
				calls := map[string]call{
					"stream": {method: "POST", path: "/s/x", key: testKey, tokens: "150,60"}, "idempotent": {method: "GET", path: "/a/x", key: testKey},
					"non_idempotent": {method: "POST", path: "/o/x", key: testKey},
				}
				got := make(chan reply, 1)
				go func() { got <- b.send(calls[kind]) }()
				time.Sleep(300 * time.Millisecond)
				other = b.addServer("x-2", map[bool]string{true: model, false: plain}[kind == "stream"], &fake.Server{EventCount: map[bool]int{true: 4}[kind == "stream"]})
				b.listBorn("x-2", map[bool]string{true: model, false: plain}[kind == "stream"], "ready", 1500, 1)
				time.Sleep(300 * time.Millisecond)
				b.listBorn("i-1", plain, "ready", 2000, 1)
				b.listBorn("m-1", model, "ready", 2000, 1)
				r := <-got
				b.Check(r.took < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", r.took))
				switch kind {
				case "non_idempotent":
					b.Check(r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("it may have run"))
					b.Check(other.Arrivals(), qt.HasLen, 0)
				default:
					b.Check(r.status, qt.Equals, http.StatusOK)
					b.Check(other.RunCount(r.id), qt.Equals, 1)
				}
			})
		})
	}
}

// slow lets a route wait for longer.
func slow(route map[string]any) map[string]any {
	route["timeoutMs"], route["targetLatencyMs"] = 20_000, 5_000
	return route
}

// TestOldWordsOfAnEarlierIncarnation: a write of a server that has died is carried out after
// the first of its next incarnation, at every daemon alike, those that start later too.
func TestOldWordsOfAnEarlierIncarnation(t *testing.T) {
	var server *fake.Server
	run(t, 3, func(b *bed) {
		server = b.addServer("i-1", plain, &fake.Server{})
		b.listBorn("i-1", plain, "ready", 2000, 1)
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		b.listBorn("i-1", plain, "draining", 1000, 40)
		time.Sleep(3 * time.Second)
		for i := range 6 {
			r := b.send(call{method: "GET", path: "/a/x", key: testKey, to: i % 3})
			b.Check(r.status, qt.Equals, 200, qt.Commentf(fmt.Sprint(i)))
		}
		b.Check(server.Arrivals(), qt.HasLen, 6)
	})
}
