package onplatform

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// calls are what the store was asked, in calls of the full price.
func (b *bed) calls() float64 {
	calls := b.store.Calls()
	return float64(calls.Reads.Load()+calls.Writes.Load()) + float64(calls.Stale.Load())/10
}

// restartAll kills all daemons and starts them again after a while.
func (b *bed) restartAll(down time.Duration) {
	count := len(b.daemons)
	for _, d := range b.daemons {
		d.kill()
		<-d.done
	}
	time.Sleep(down)
	b.daemons = nil
	for i := range count {
		b.startDaemon(i + 1)
	}
}

// TestStartsCostFewCalls: however many daemons there are, a first start costs each three
// calls, and a restart about one: the list of the others, which may be stale, and what was
// known before. Followers and the holder of the lease cost the same at any size.
func TestStartsCostFewCalls(t *testing.T) {
	// A few daemons follow the store and one renews the lease, in three seconds.
	const rest = 70
	for _, daemons := range []int{8, 77, 160} {
		t.Run(fmt.Sprintf("%d", daemons), func(t *testing.T) {
			runAlone(t, daemons, func(b *bed) {
				b.bootstrap = true
				b.store.SetPageSize(500)
				b.addServer("i-1", plain, &fake.Server{})
				b.configure(routes{plainRoute("/a/", "idempotent", 1)})
			}, func(b *bed) {
				time.Sleep(time.Second)
				first := b.calls()
				b.Check(first <= 3*float64(daemons)+rest, qt.IsTrue, qt.Commentf("%.0f calls for a first start", first))
				b.bootstrap = false
				time.Sleep(2 * time.Second)
				before := b.calls()
				b.restartAll(500 * time.Millisecond)
				time.Sleep(3 * time.Second)
				again := b.calls() - before
				b.Check(again <= 1.2*float64(daemons)+rest, qt.IsTrue, qt.Commentf("%.0f calls for a restart", again))
				t.Logf("%d daemons: %.0f calls for a first start, %.0f for a restart, in 3 s each", daemons, first, again)
			})
		})
	}
}

// TestOutagesCostFewCalls: while the store answers nobody, and when it is back, calls do
// not grow with the daemons: 2,381 when all of 160 tried at once.
func TestOutagesCostFewCalls(t *testing.T) {
	runAlone(t, 160, func(b *bed) {
		b.store.SetPageSize(500)
		b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		time.Sleep(2 * time.Second)
		before := b.calls()
		b.store.SetOutage(fake.OutageReset)
		time.Sleep(5 * time.Second)
		b.store.SetOutage(fake.OutageNone)
		time.Sleep(3 * time.Second)
		calls := b.calls() - before
		t.Logf("%d goroutines", runtime.NumGoroutine())
		t.Logf("%.0f calls", calls)
		b.Check(calls <= 1800, qt.IsTrue, qt.Commentf("%.0f calls", calls))
	})
}

// TestFirstServerOfAServiceIsUsedAtOnce guards against a service that waits for the next look at
// roll-outs before it has a version.
func TestFirstServerOfAServiceIsUsedAtOnce(t *testing.T) {
	for _, after := range []time.Duration{0, 1300 * time.Millisecond, 3 * time.Second, 12 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			run(t, 8, func(b *bed) { b.configure(routes{plainRoute("/a/", "idempotent", 1)}) }, func(b *bed) {
				time.Sleep(after)
				b.addServer("i-first", plain, &fake.Server{})
				listed := time.Now()
				for i := range b.daemons {
					for b.send(call{method: "GET", path: "/a/x", key: testKey, to: i}).status != http.StatusOK && time.Since(listed) < 10*time.Second {
						time.Sleep(50 * time.Millisecond)
					}
				}
				b.Check(time.Since(listed) <= time.Second, qt.IsTrue, qt.Commentf("used %v after it was listed", time.Since(listed)))
			})
		})
	}
}

// TestRestartKeepsTheTimeOfTheFirstStart guards against restarts that pass for first starts.
func TestRestartKeepsTheTimeOfTheFirstStart(t *testing.T) {
	run(t, 2, func(b *bed) { b.configure(routes{plainRoute("/a/", "idempotent", 1)}) }, func(b *bed) {
		entry := func() string { return string(b.store.Object("plankridge-daemons", "vm-1")) }
		first := entry()
		b.Assert(first, qt.Contains, `"since_ms"`)
		b.restartAll(time.Second)
		b.settle()
		b.Check(entry(), qt.Equals, first)
	})
}
