package onplatform

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// inForce is the longest time until a change of the configuration is in force.
const inForce = 2 * time.Second

func twoKeys(b *bed) {
	b.addServer("i-1", plain, &fake.Server{})
	b.configure(routes{plainRoute("/a/", "idempotent", 1)}, tenant(testKey, otherKey))
}

func (b *bed) revoke() {
	b.configure(routes{plainRoute("/a/", "idempotent", 1)}, tenant(testKey))
}

// refusesOther reports whether every daemon refuses the key that was revoked.
func (b *bed) refusesOther() {
	for i := range b.daemons {
		b.Check(b.send(call{method: "GET", path: "/a/x", key: otherKey, to: i}).status, qt.Equals, 401, qt.Commentf("daemon %d", i))
		b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i}).status, qt.Equals, 200, qt.Commentf("daemon %d", i))
	}
}

// TestRevokedKeyBehindDeafWatch: a watch that hears nothing, on a store that then
// drops its history, delays a revoked key by no more than the bound after the
// store is whole again.
func TestRevokedKeyBehindDeafWatch(t *testing.T) {
	run(t, 3, twoKeys, func(b *bed) {
		b.Assert(b.send(call{method: "GET", path: "/a/x", key: otherKey}).status, qt.Equals, 200)
		b.store.BlockWatches(true)
		b.revoke()
		time.Sleep(time.Second)
		b.store.Compact()
		b.store.BlockWatches(false)
		time.Sleep(inForce)
		b.refusesOther()
	})
}

// writeOthers writes an object of another kind again and again, so that the revision advances.
func (b *bed) writeOthers(lasts time.Duration) {
	const every = 50 * time.Millisecond
	for n := range int(lasts / every) {
		b.store.Put("others", "a", n)
		time.Sleep(every)
	}
}

// TestServersBehindDeafWatches guards against servers that stay unknown because the watches of some daemons
// ended without the change while the store's revision advanced.
func TestServersBehindDeafWatches(t *testing.T) {
	for _, deaf := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(deaf.String(), func(t *testing.T) {
			run(t, 6, twoKeys, func(b *bed) {
				b.store.BlockWatches(true)
				added := b.addServer("i-2", plain, &fake.Server{})
				b.store.Remove("servers", "i-1")
				b.writeOthers(deaf)
				b.store.BlockWatches(false)
				b.writeOthers(inForce)
				for i := range b.daemons {
					b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i}).status, qt.Equals, 200, qt.Commentf("daemon %d", i))
				}
				b.Check(added.Arrivals(), qt.HasLen, len(b.daemons), qt.Commentf("a daemon uses the server that is gone"))
			})
		})
	}
}

// TestRevokedKeyWhereStoreRefuses: a daemon that the store does not answer
// learns of a revoked key from its peers.
func TestRevokedKeyWhereStoreRefuses(t *testing.T) {
	for _, outage := range []fake.Outage{fake.OutageBusy, fake.OutageSilent, fake.OutageReset} {
		t.Run(string(outage), func(t *testing.T) {
			run(t, 3, twoKeys, func(b *bed) {
				b.store.SetOutageFor(b.daemons[0].ip, outage)
				b.store.SetOutageFor(b.daemons[2].ip, outage)
				b.revoke()
				time.Sleep(inForce)
				b.refusesOther()
			})
		})
	}
}

// TestConfigurationAfterOutage: what changed is in force within the bound after
// the store's return.
func TestConfigurationAfterOutage(t *testing.T) {
	for _, outage := range []fake.Outage{fake.OutageBusy, fake.OutageSilent, fake.OutageReset} {
		t.Run(string(outage), func(t *testing.T) {
			run(t, 2, twoKeys, func(b *bed) {
				b.store.SetOutage(outage)
				time.Sleep(4 * time.Second)
				b.revoke()
				b.store.SetOutage(fake.OutageNone)
				time.Sleep(inForce + time.Second)
				b.refusesOther()
			})
		})
	}
}

// TestOlderVersionIsNeverTaken: a stale configuration changes nothing.
func TestOlderVersionIsNeverTaken(t *testing.T) {
	run(t, 2, twoKeys, func(b *bed) {
		b.revoke()
		time.Sleep(inForce)
		b.version -= 6
		b.configure(routes{plainRoute("/a/", "idempotent", 1)}, tenant(testKey, otherKey))
		time.Sleep(inForce)
		b.refusesOther()
	})
}

// TestDrainingServerGetsNoWork: also at a daemon that the store refuses.
func TestDrainingServerGetsNoWork(t *testing.T) {
	var leaving *fake.Server
	run(t, 2, func(b *bed) {
		leaving = b.addServer("i-1", plain, &fake.Server{})
		b.addServer("i-2", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		b.store.SetOutageFor(b.daemons[1].ip, fake.OutageBusy)
		time.Sleep(time.Second)
		b.listServer("i-1", plain, "draining")
		time.Sleep(2 * time.Second)
		before := len(leaving.Arrivals())
		for i := range 20 {
			b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i % 2}).status, qt.Equals, 200)
		}
		b.Check(len(leaving.Arrivals()), qt.Equals, before)
	})
}

// TestEntriesThatLapseInAnOutage: servers that live are used until they are back
// in the list; one that stays missing is gone.
func TestEntriesThatLapseInAnOutage(t *testing.T) {
	var gone *fake.Server
	run(t, 1, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{})
		gone = b.addServer("i-2", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		b.store.SetOutage(fake.OutageReset)
		time.Sleep(4 * time.Second)
		b.store.Remove("servers", "i-1")
		b.store.Remove("servers", "i-2")
		b.store.SetOutage(fake.OutageNone)
		time.Sleep(1500 * time.Millisecond)
		b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey}).status, qt.Equals, 200)
		b.listServer("i-1", plain, "ready")
		time.Sleep(2 * time.Second)
		before := len(gone.Arrivals())
		for range 10 {
			b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey}).status, qt.Equals, 200)
		}
		b.Check(len(gone.Arrivals()), qt.Equals, before)
	})
}

// TestDaemonStartsWhileStoreRefusesIt: it takes the configuration from a peer.
func TestDaemonStartsWhileStoreRefusesIt(t *testing.T) {
	run(t, 2, twoKeys, func(b *bed) {
		b.store.SetOutageFor("10.1.0.3", fake.OutageBusy)
		late := b.startDaemon(3)
		time.Sleep(2 * time.Second)
		b.Check(b.ready(late), qt.IsTrue)
		b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: 2}).status, qt.Equals, 200)
	})
}
