package onplatform

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// demandRate is the number of streams a second, each of which keeps an engine reading for 0.6 s.
	demandRate   = 5
	demandTokens = "30000,10"
	// demandServers is the number of servers that are listed.
	demandServers = 6
)

// requestSteadily sends streams to the daemons in turn until the returned function is called, which waits
// for them. A caller whose daemon is down uses the next one.
func (b *bed) requestSteadily() (stop func()) {
	done := make(chan struct{})
	ips := make([]string, len(b.daemons))
	for i, d := range b.daemons {
		ips[i] = d.ip
	}
	var callers sync.WaitGroup
	callers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(time.Second / demandRate):
			}
			callers.Go(func() {
				for try := range ips {
					reply := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: demandTokens, deadline: 8 * time.Second, ip: ips[(n+try)%len(ips)]})
					if reply.err == nil {
						return
					}
				}
			})
		}
	})
	return func() {
		close(done)
		callers.Wait()
	}
}

// fleetOrdered returns the number of servers that the last orders ask for.
func (b *bed) fleetOrdered() int { return b.ordered(false) + b.ordered(true) }

// leastOrdered returns the lowest number of ordered servers over a time.
func (b *bed) leastOrdered(over time.Duration) int {
	least := b.fleetOrdered()
	for end := time.Now().Add(over); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		least = min(least, b.fleetOrdered())
	}
	return least
}

// TestServersAreKeptWhileDemandIsNotMeasured guards against orders that shrink the fleet although callers
// ask for as much as before, because the demand is not measured for a while.
func TestServersAreKeptWhileDemandIsNotMeasured(t *testing.T) {
	troubles := map[string]func(b *bed){
		"all servers lost": func(b *bed) {
			for i := range demandServers {
				b.store.Remove("servers", fmt.Sprintf("m-%d", i))
			}
		},
		"all daemons restart": func(b *bed) { b.restartAll(time.Second) },
		"daemons restart in turn while the store is away": func(b *bed) {
			b.store.SetOutage(fake.OutageSilent)
			for i := range len(b.daemons) {
				d := b.daemons[i]
				d.kill()
				<-d.done
				time.Sleep(700 * time.Millisecond)
				restarted := b.startDaemon(i + 1)
				b.daemons = append(append(append([]*daemon(nil), b.daemons[:i]...), restarted), b.daemons[i+1:len(b.daemons)-1]...)
			}
			b.store.SetOutage(fake.OutageNone)
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			run(t, 6, func(b *bed) {
				for i := range demandServers {
					b.addServer(fmt.Sprintf("m-%d", i), model, &fake.Server{EventCount: 3})
				}
				b.configure(routes{streamRoute("/s/", true, 2)})
			}, func(b *bed) {
				stop := b.requestSteadily()
				time.Sleep(15 * time.Second)
				before := b.fleetOrdered()
				b.Check(before > demandServers, qt.IsTrue, qt.Commentf("%d servers ordered", before))
				trouble(b)
				least := b.leastOrdered(15 * time.Second)
				b.Check(least >= before, qt.IsTrue, qt.Commentf("%d servers ordered before, %d at least since", before, least))
				stop()
			})
		})
	}
}
