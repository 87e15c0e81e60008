package onplatform

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// crowdTurn is how long one daemon gets most new connections.
	crowdTurn = 6 * time.Second
	// crowdPause is the time between two requests before most go to one daemon, and crowdedPause
	// the shorter one after that.
	crowdPause, crowdedPause = 24 * time.Millisecond, 8 * time.Millisecond
	// minCrowdShare is the share of the usual successes that first tries keep.
	minCrowdShare = 0.75
)

// crowdPlay is a play in which one daemon after the other gets nine of ten new connections, and
// callers open them three times as often.
type crowdPlay struct {
	daemons int
	// rate is the allowance of the callers' workspace in tokens a second, or zero.
	rate float64
	// limit is the rate that each server of the plain service names, or zero.
	limit float64
	// trouble happens when a daemon's turn begins.
	trouble func(b *bed, turn int)
}

// crowdTries counts first tries: all, and those that were served. Tries that were refused for an
// allowance are left out.
type crowdTries struct {
	mu          sync.Mutex
	all, served int
}

func (c *crowdTries) add(got reply) {
	if got.status == http.StatusTooManyRequests || got.status == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all++
	if got.status == http.StatusOK && !got.cut {
		c.served++
	}
}

func (c *crowdTries) share() float64 { return float64(c.served) / float64(max(1, c.all)) }

func (p crowdPlay) play(t *testing.T) {
	runAlone(t, p.daemons, func(b *bed) {
		for i := range 6 {
			behaviour := fake.Behaviour{Delay: 20 * time.Millisecond}
			if p.limit > 0 {
				behaviour.Header = map[string]string{"Server-Limit": fmt.Sprint(p.limit)}
			}
			b.addServer(fmt.Sprintf("p-%d", i), plain, &fake.Server{Behave: func(int, *http.Request) fake.Behaviour { return behaviour }})
		}
		callers := tenant(testKey)
		if p.rate > 0 {
			callers = limited(p.rate, p.rate)
		}
		b.configure(routes{plainRoute("/p/", "idempotent", 2)}, callers)
	}, func(b *bed) {
		before, during := &crowdTries{}, &crowdTries{}
		p.send(b, before, 4*time.Second, crowdPause, func(n int) *daemon { return b.daemons[n%p.daemons] })
		for turn := range 3 {
			if p.trouble != nil {
				p.trouble(b, turn)
			}
			crowded := func(n int) *daemon {
				if n%10 == 0 {
					return b.daemons[n%p.daemons]
				}
				return b.daemons[turn%p.daemons]
			}
			p.send(b, &crowdTries{}, contact, crowdedPause, crowded)
			p.send(b, during, crowdTurn-contact, crowdedPause, crowded)
		}
		t.Logf("first tries served: %.2f of %d before, %.2f of %d while one daemon has most connections", before.share(), before.all, during.share(), during.all)
		b.Check(during.share() >= minCrowdShare*before.share(), qt.IsTrue)
	})
}

// send sends requests for a while, each on a connection of its own.
func (p crowdPlay) send(b *bed, tries *crowdTries, length, pause time.Duration, daemonOf func(n int) *daemon) {
	var all sync.WaitGroup
	for n := range int(length / pause) {
		to := daemonOf(n)
		all.Go(func() {
			tries.add(b.send(call{method: "POST", path: "/p/x", key: testKey, body: "a", deadline: 600 * time.Millisecond, ip: to.ip}))
		})
		time.Sleep(pause)
	}
	all.Wait()
}

// TestCallersOfADaemonThatGetsMostNewConnections guards against a daemon that serves fewer of its
// callers once most of a zone's connections come to it.
func TestCallersOfADaemonThatGetsMostNewConnections(t *testing.T) {
	if raceDetector {
		return
	}
	for name, p := range map[string]crowdPlay{
		"8 daemons":                    {daemons: 8},
		"60 daemons":                   {daemons: 60},
		"300 daemons":                  {daemons: 300},
		"an allowance":                 {daemons: 8, rate: 60000},
		"an allowance, 60 daemons":     {daemons: 60, rate: 60000},
		"servers that name limits":     {daemons: 8, limit: 30},
		"servers that name limits, 60": {daemons: 60, limit: 30},
		"the store is away": {daemons: 8, trouble: func(b *bed, turn int) {
			b.store.SetOutage([]fake.Outage{fake.OutageSilent, fake.OutageSilent, fake.OutageNone}[turn])
		}},
		"the daemon before dies": {daemons: 8, trouble: func(b *bed, turn int) {
			if turn > 0 {
				b.restart(turn - 1)
			}
		}},
	} {
		t.Run(name, p.play)
	}
}
