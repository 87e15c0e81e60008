package onplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	oldVersion = "v1"
	newVersion = "v2"
	// rollOutFor is how long an order gives, and askedPerSecond how many requests callers send
	// meanwhile.
	rollOutFor     = 12 * time.Second
	askedPerSecond = 120
	// exposeShare, exposeSlack and stopAfter are the bounds in the settings.
	exposeShare = 0.1
	exposeSlack = 50
	stopAfter   = 5 * time.Second
)

// versionBed plays a roll-out: callers, servers of both versions and the platform, which
// stops the old ones when the roll-out is completed and drains the new ones when it is
// rolled back.
type versionBed struct {
	*bed
	began time.Time
	// ips are the daemons' addresses, which they keep when they start again.
	ips []string

	mu      sync.Mutex
	old     []*fake.Server
	new     []*fake.Server
	stopped bool
	replies []reply
	// bad are when servers of the new version answered badly.
	bad []time.Time
}

// badness is how a server of the new version treats a request, so long after the order.
type badness func(since time.Duration, r *http.Request) (fake.Behaviour, bool)

func sound(time.Duration, *http.Request) (fake.Behaviour, bool) {
	return fake.Behaviour{Delay: 10 * time.Millisecond}, false
}

// failing fails a share of the requests from a time on, on one path or on all.
func failing(share float64, from time.Duration, path string) badness {
	random := rand.New(rand.NewPCG(1, 2))
	return func(since time.Duration, r *http.Request) (fake.Behaviour, bool) {
		if since >= from && (path == "" || r.URL.Path == path) && random.Float64() < share {
			return fake.Behaviour{Status: http.StatusInternalServerError, Delay: 5 * time.Millisecond}, true
		}
		return sound(since, r)
	}
}

func slowBy(factor int) badness {
	return func(time.Duration, *http.Request) (fake.Behaviour, bool) {
		return fake.Behaviour{Delay: time.Duration(factor) * 10 * time.Millisecond}, true
	}
}

// playRollOut runs daemons before three old servers, orders the new version and calls events
// while callers go on.
func playRollOut(t *testing.T, daemons int, bad badness, events func(v *versionBed), check func(v *versionBed)) {
	run(t, daemons, func(b *bed) {
		b.configure(routes{plainRoute("/a/", "idempotent", 2), plainRoute("/o/", "non_idempotent", 1), plainRoute("/r/", "idempotent", 1)})
		for i := range 3 {
			b.listVersion(fmt.Sprintf("i-old%d", i), plain, oldVersion, "ready")
		}
	}, func(b *bed) {
		v := &versionBed{bed: b}
		for i := range 3 {
			runner := &fake.Server{Behave: func(int, *http.Request) fake.Behaviour {
				v.mu.Lock()
				defer v.mu.Unlock()
				return fake.Behaviour{Delay: 10 * time.Millisecond, LoseAnswer: v.stopped}
			}}
			v.old = append(v.old, b.startServer(fmt.Sprintf("i-old%d", i), runner))
		}
		time.Sleep(3 * time.Second)
		v.order(newVersion)
		v.began = time.Now()
		for _, d := range b.daemons {
			v.ips = append(v.ips, d.ip)
		}
		for i := range 3 {
			v.new = append(v.new, v.startNew(fmt.Sprintf("i-new%d", i), bad))
			b.listVersion(fmt.Sprintf("i-new%d", i), plain, newVersion, "ready")
		}
		done := make(chan struct{})
		go v.platform(done)
		var callers sync.WaitGroup
		callers.Go(v.callers)
		if events != nil {
			events(v)
		}
		callers.Wait()
		close(done)
		check(v)
	})
}

func (b *bed) startServer(id string, runner *fake.Server) *fake.Server {
	runner.ID = id
	b.serve(b.serverAddress(id), runner)
	return runner
}

func (v *versionBed) startNew(id string, bad badness) *fake.Server {
	return v.startServer(id, &fake.Server{Behave: func(_ int, r *http.Request) fake.Behaviour {
		v.mu.Lock()
		defer v.mu.Unlock()
		behaviour, isBad := bad(time.Since(v.began), r)
		if isBad {
			v.bad = append(v.bad, time.Now())
		}
		return behaviour
	}})
}

func (b *bed) listVersion(id, service, version, state string) {
	b.store.Put("servers", id, map[string]any{
		"service": service, "address": b.serverAddress(id), "zone": "zone-1", "version": version, "slots": 6, "state": state, "coldLeftMs": 0, "seq": 1,
	})
}

func (v *versionBed) order(version string) {
	v.store.Put("rollouts", plain, map[string]any{"service": plain, "to": version, "durationS": rollOutFor.Seconds()})
}

// state returns what the store has of the roll-out.
func (v *versionBed) state() (state, to string) {
	var status struct{ State, To string }
	if raw := v.store.Status("rollouts", plain); raw != nil {
		v.Check(json.Unmarshal(raw, &status), qt.IsNil)
	}
	return status.State, status.To
}

// platform does what the platform does at the end of a roll-out.
func (v *versionBed) platform(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		switch state, to := v.state(); {
		case state == "completed" && to == newVersion:
			v.mu.Lock()
			v.stopped = true
			v.mu.Unlock()
			for i := range 3 {
				v.store.Remove("servers", fmt.Sprintf("i-old%d", i))
			}
			return
		case state == "rolled_back" && to == newVersion:
			time.Sleep(2 * time.Second)
			for i := range 3 {
				v.listVersion(fmt.Sprintf("i-new%d", i), plain, newVersion, "draining")
			}
			return
		}
	}
}

// callers send requests for as long as the order gives and two seconds more.
func (v *versionBed) callers() {
	paths := []call{{method: "GET", path: "/a/x"}, {method: "POST", path: "/o/x"}, {method: "POST", path: "/o/x"}, {method: "POST", path: "/o/x"}, {method: "GET", path: "/a/x"}, {method: "GET", path: "/r/x"}}
	var sent sync.WaitGroup
	for i := range int((rollOutFor + 2*time.Second).Seconds() * askedPerSecond) {
		c := paths[i%len(paths)]
		c.key, c.ip = testKey, v.ips[i%len(v.ips)]
		sent.Go(func() {
			r := v.send(c)
			v.mu.Lock()
			defer v.mu.Unlock()
			v.replies = append(v.replies, r)
		})
		time.Sleep(time.Second / askedPerSecond)
	}
	sent.Wait()
}

// exposed returns the requests that servers of the new version got within the order's time.
func (v *versionBed) exposed() (count int, last time.Time) {
	for _, runner := range v.new {
		for _, a := range runner.Arrivals() {
			if a.At.Sub(v.began) < rollOutFor {
				count++
			}
			if a.At.After(last) {
				last = a.At
			}
		}
	}
	return count, last
}

func (v *versionBed) failed() int {
	failed := 0
	for _, r := range v.replies {
		if r.status != http.StatusOK {
			failed++
		}
	}
	return failed
}

// checkBad checks what must hold of a bad version.
func (v *versionBed) checkBad() {
	state, to := v.state()
	v.Check(state, qt.Equals, "rolled_back")
	v.Check(to, qt.Equals, newVersion)
	exposed, last := v.exposed()
	most := int(exposeShare*rollOutFor.Seconds()*askedPerSecond) + exposeSlack
	v.Check(exposed <= most, qt.IsTrue, qt.Commentf("%d of at most %d requests", exposed, most))
	if len(v.bad) >= 50 {
		late := last.Sub(v.bad[49])
		v.Check(late <= stopAfter, qt.IsTrue, qt.Commentf("the last %s after the 50th bad answer", late))
	}
	v.Logf("%d requests to the version, %d bad answers, the last after %s, %d of %d callers failed", exposed, len(v.bad), last.Sub(v.began), v.failed(), len(v.replies))
}

// checkGood checks that a sound version was completed in time.
func (v *versionBed) checkGood() {
	state, to := v.state()
	v.Check(state, qt.Equals, "completed")
	v.Check(to, qt.Equals, newVersion)
	v.Check(v.failed() <= len(v.replies)/100, qt.IsTrue, qt.Commentf("%d of %d callers failed", v.failed(), len(v.replies)))
	v.Logf("%d of %d callers failed", v.failed(), len(v.replies))
}

func TestSoundVersionIsCompleted(t *testing.T) {
	playRollOut(t, 6, sound, nil, (*versionBed).checkGood)
}

// TestBadVersionIsRolledBack: whatever is bad of it, and whenever.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, bad := range map[string]badness{
		"fails a fifth":          failing(0.2, 0, ""),
		"fails half":             failing(0.5, 0, ""),
		"fails all":              failing(1, 0, ""),
		"fails half from 5 s on": failing(0.5, 5*time.Second, ""),
		"fails half from 8 s on": failing(0.5, 8*time.Second, ""),
		"fails on one route":     failing(0.6, 0, "/r/x"),
		"four times slower":      slowBy(4),
		"eight times slower":     slowBy(8),
	} {
		t.Run(name, func(t *testing.T) { playRollOut(t, 6, bad, nil, (*versionBed).checkBad) })
	}
}

// killHolder kills the daemon that holds the lease and starts it again.
func (v *versionBed) killHolder() {
	var record struct{ Holder string }
	v.decode(v.store.Object("plankridge-leases", "cloud"), &record)
	for i, d := range v.daemons {
		if d.id == record.Holder {
			d.kill()
			<-d.done
			time.Sleep(500 * time.Millisecond)
			v.restart(i)
			return
		}
	}
}

// restart starts a daemon again in the place of one that ended.
func (v *versionBed) restart(i int) {
	started := v.startDaemon(i + 1)
	v.daemons = v.daemons[:len(v.daemons)-1]
	v.daemons[i] = started
}

func (v *versionBed) killAll() { v.killSome(len(v.daemons)) }

// killSome kills the first daemons and starts them again.
func (v *versionBed) killSome(count int) {
	for _, d := range v.daemons[:count] {
		d.kill()
		<-d.done
	}
	time.Sleep(500 * time.Millisecond)
	for i := range count {
		v.restart(i)
	}
}

// TestRollOutsBesideTrouble: deaths and a store that fails in the middle of a roll-out.
func TestRollOutsBesideTrouble(t *testing.T) {
	troubles := map[string]func(v *versionBed){
		"holder dies at 2 s": func(v *versionBed) { time.Sleep(2 * time.Second); v.killHolder() },
		"holder dies at 8 s": func(v *versionBed) { time.Sleep(8 * time.Second); v.killHolder() },
		"all die at 3 s":     func(v *versionBed) { time.Sleep(3 * time.Second); v.killAll() },
		"store down for 4 s": func(v *versionBed) {
			time.Sleep(2 * time.Second)
			v.store.SetOutage(fake.OutageReset)
			time.Sleep(4 * time.Second)
			v.store.SetOutage(fake.OutageNone)
		},
		"answers are lost": func(v *versionBed) { v.store.LoseAnswers(3); time.Sleep(8 * time.Second); v.store.LoseAnswers(4) },
		"history is dropped": func(v *versionBed) {
			time.Sleep(time.Second)
			v.store.Compact()
			time.Sleep(6 * time.Second)
			v.store.Compact()
		},
		"a daemon is cut off": func(v *versionBed) { v.store.SetOutageFor(v.daemons[2].ip, fake.OutageBusy) },
		"a zone is cut off":   func(v *versionBed) { time.Sleep(time.Second); v.part(0, 3); time.Sleep(6 * time.Second); v.heal(0, 3) },
		"a daemon starts":     func(v *versionBed) { time.Sleep(4 * time.Second); v.startDaemon(7) },
		"most die at 9 s":     func(v *versionBed) { time.Sleep(9 * time.Second); v.killSome(4) },
		"store turns most away": func(v *versionBed) {
			for _, d := range v.daemons[1:] {
				v.store.SetOutageFor(d.ip, fake.OutageSilent)
			}
		},
		"candidate starts again": func(v *versionBed) {
			for i := range 3 {
				time.Sleep(1500 * time.Millisecond)
				v.store.Put("servers", fmt.Sprintf("i-new%d", i), map[string]any{
					"service": plain, "address": v.serverAddress(fmt.Sprintf("i-new%d", i)), "zone": "zone-1", "version": newVersion, "slots": 6,
					"state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1000 + i,
				})
			}
		},
	}
	for name, events := range troubles {
		t.Run("sound, "+name, func(t *testing.T) {
			playRollOut(t, 6, sound, events, func(v *versionBed) {
				state, _ := v.state()
				v.Check(state, qt.Equals, "completed")
			})
		})
		t.Run("bad, "+name, func(t *testing.T) {
			playRollOut(t, 6, failing(0.5, 0, ""), events, func(v *versionBed) {
				v.checkBad()
				// What the trouble itself costs callers is less than a twentieth.
				v.Check(v.failed() <= len(v.replies)/20, qt.IsTrue, qt.Commentf("%d of %d callers failed", v.failed(), len(v.replies)))
			})
		})
	}
}

// TestVersionWithoutOrderServesBesideTheOthers guards against servers that stand idle, and callers that
// are refused, because no order has named their version.
func TestVersionWithoutOrderServesBesideTheOthers(t *testing.T) {
	var old, unordered *fake.Server
	run(t, 3, func(b *bed) {
		old = b.addServer("i-1", plain, &fake.Server{Behave: takes(20 * time.Millisecond)})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		unordered = b.startServer("i-2", &fake.Server{Behave: takes(20 * time.Millisecond)})
		b.listVersion("i-2", plain, newVersion, "ready")
		time.Sleep(2 * time.Second)
		b.startDaemon(4)
		time.Sleep(2 * time.Second)
		replies := b.burst(40, func(i int) call { return call{method: "GET", path: "/a/x", key: testKey, to: i % 4} })
		b.Check(count(replies, http.StatusOK), qt.Equals, 40)
		b.Check(len(old.Arrivals()) > 0, qt.IsTrue)
		b.Check(len(unordered.Arrivals()) > 0, qt.IsTrue)
		b.store.Remove("servers", "i-1")
		time.Sleep(3 * time.Second)
		b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey}).status, qt.Equals, 200)
	})
}

// TestVersionThatWasRolledBackGetsNothing guards against taking servers of a rolled back version for
// ones that serve without an order, also at daemons that start beside them.
func TestVersionThatWasRolledBackGetsNothing(t *testing.T) {
	playRollOut(t, 3, failing(1, 0, ""), nil, func(v *versionBed) {
		v.checkBad()
		v.listVersion("i-new0", plain, newVersion, "ready")
		v.startDaemon(4)
		time.Sleep(2 * time.Second)
		v.killSome(1)
		time.Sleep(2 * time.Second)
		before := len(v.new[0].Arrivals())
		for i := range 40 {
			v.Check(v.send(call{method: "GET", path: "/a/x", key: testKey, to: i % 4}).status, qt.Equals, 200)
		}
		for i := range 3 {
			v.store.Remove("servers", fmt.Sprintf("i-old%d", i))
		}
		time.Sleep(3 * time.Second)
		v.Check(v.send(call{method: "GET", path: "/a/x", key: testKey}).status, qt.Equals, 503)
		v.Check(v.new[0].Arrivals(), qt.HasLen, before)
	})
}

// TestOrderForTheVersionThatIsThere is completed at once.
func TestOrderForTheVersionThatIsThere(t *testing.T) {
	run(t, 3, twoKeys, func(b *bed) {
		v := &versionBed{bed: b}
		time.Sleep(3 * time.Second)
		v.order(oldVersion)
		time.Sleep(time.Second)
		state, to := v.state()
		b.Check(state, qt.Equals, "completed")
		b.Check(to, qt.Equals, oldVersion)
		b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey}).status, qt.Equals, 200)
	})
}

// TestOrderIsReplaced: the version that it named first gets nothing from then on.
func TestOrderIsReplaced(t *testing.T) {
	playRollOut(t, 6, sound, func(v *versionBed) {
		time.Sleep(4 * time.Second)
		v.order("v3")
		time.Sleep(2 * time.Second)
		before, _ := v.exposed()
		time.Sleep(2 * time.Second)
		after, _ := v.exposed()
		v.Check(after, qt.Equals, before)
	}, func(v *versionBed) {
		state, to := v.state()
		v.Check(to, qt.Equals, "v3")
		v.Check(state, qt.Not(qt.Equals), "completed", qt.Commentf("no server of it is there"))
		v.Check(v.failed(), qt.Equals, 0)
	})
}

// TestOrderIsWithdrawn: the version gets nothing from then on.
func TestOrderIsWithdrawn(t *testing.T) {
	playRollOut(t, 6, sound, func(v *versionBed) {
		time.Sleep(4 * time.Second)
		v.store.Remove("rollouts", plain)
		time.Sleep(2 * time.Second)
		before, _ := v.exposed()
		time.Sleep(2 * time.Second)
		after, _ := v.exposed()
		v.Check(after, qt.Equals, before)
	}, func(v *versionBed) { v.Check(v.failed(), qt.Equals, 0) })
}

// TestSpoiledOrderKeepsTheOneInForce: another writer spoils an order that runs; the trial goes
// on, also where the list is read anew.
func TestSpoiledOrderKeepsTheOneInForce(t *testing.T) {
	playRollOut(t, 6, sound, func(v *versionBed) {
		time.Sleep(2 * time.Second)
		v.store.PutRaw("rollouts", plain, `{"service":"desk","to":9}`)
		v.store.Compact()
		time.Sleep(2 * time.Second)
		before, _ := v.exposed()
		time.Sleep(2 * time.Second)
		after, _ := v.exposed()
		v.Check(after > before, qt.IsTrue)
	}, func(v *versionBed) { v.Check(v.failed(), qt.Equals, 0) })
}

// TestBadOrdersChangeNothing: what is no order moves nothing.
func TestBadOrdersChangeNothing(t *testing.T) {
	for _, text := range []string{`null`, `{}`, `{"service":"desk","to":7,"durationS":12}`, `{"service":"desk","to":"v2"}`, `{"service":"desk"`, `{"service":"other","to":"v2","durationS":12}`, `{"service":"desk","to":"v2","durationS":-1}`} {
		t.Run(text, func(t *testing.T) {
			run(t, 3, twoKeys, func(b *bed) {
				unnamed := b.startServer("i-2", &fake.Server{})
				b.listVersion("i-2", plain, newVersion, "ready")
				b.store.PutRaw("rollouts", plain, text)
				time.Sleep(2 * time.Second)
				for i := range 30 {
					b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i % 3}).status, qt.Equals, 200)
				}
				b.Check(unnamed.Arrivals(), qt.HasLen, 0)
				b.Check(b.store.Status("rollouts", plain), qt.IsNil)
			})
		})
	}
}

// TestVersionsUnderOneAddress: the address of a server that is gone belongs to one of another
// version. Whoever still takes it for the old one is told so, and nothing runs on a version
// that nobody named.
func TestVersionsUnderOneAddress(t *testing.T) {
	var other *fake.Server
	run(t, 3, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 2), plainRoute("/o/", "non_idempotent", 1)})
	}, func(b *bed) {
		// The entry of the old one at the same address stays for a while.
		other = &fake.Server{ID: "i-9"}
		b.serve("10.2.9.9:80", other)
		stale := map[string]any{"service": plain, "address": "10.2.9.9:80", "zone": "zone-1", "version": oldVersion, "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1}
		b.store.Put("servers", "i-2", stale)
		named := map[string]any{"service": plain, "address": "10.2.9.9:80", "zone": "zone-1", "version": newVersion, "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1}
		b.store.Put("servers", "i-9", named)
		time.Sleep(2 * time.Second)
		for i := range 30 {
			path, method := "/a/x", "GET"
			if i%2 == 0 {
				path, method = "/o/x", "POST"
			}
			r := b.send(call{method: method, path: path, key: testKey, to: i % 3})
			b.Check(r.status == 200 || r.status == 503, qt.IsTrue, qt.Commentf("status %d", r.status))
		}
		for _, a := range other.Arrivals() {
			b.Check(a.Ran, qt.IsFalse)
		}
	})
}

// TestStreamsOutliveARollOut: the old servers stop with what they have when it is completed.
// What may be resumed goes on at the new ones, whole.
func TestStreamsOutliveARollOut(t *testing.T) {
	run(t, 3, func(b *bed) {
		b.configure(routes{streamRoute("/s/", true, 2)})
		for i := range 2 {
			b.listVersion(fmt.Sprintf("m-old%d", i), model, oldVersion, "ready")
		}
	}, func(b *bed) {
		stopped := make(chan struct{})
		steady := func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: 50 * time.Millisecond} }
		for i := range 2 {
			b.startServer(fmt.Sprintf("m-old%d", i), &fake.Server{EventCount: 20, Behave: func(int, *http.Request) fake.Behaviour {
				select {
				case <-stopped:
					return fake.Behaviour{LoseAnswer: true}
				default:
					return fake.Behaviour{Delay: 50 * time.Millisecond}
				}
			}})
		}
		time.Sleep(2 * time.Second)
		b.store.Put("rollouts", model, map[string]any{"service": model, "to": newVersion, "durationS": rollOutFor.Seconds()})
		for i := range 3 {
			b.startServer(fmt.Sprintf("m-new%d", i), &fake.Server{EventCount: 20, Behave: steady})
			b.listVersion(fmt.Sprintf("m-new%d", i), model, newVersion, "ready")
		}
		go func() {
			for {
				var status struct{ State string }
				if raw := b.store.Status("rollouts", model); raw != nil && json.Unmarshal(raw, &status) == nil && status.State == "completed" {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			close(stopped)
			for i := range 2 {
				for _, d := range b.daemons {
					ip, _, _ := strings.Cut(b.serverAddress(fmt.Sprintf("m-old%d", i)), ":")
					b.net.Cut(d.ip, ip)
				}
				b.store.Remove("servers", fmt.Sprintf("m-old%d", i))
			}
		}()
		var sent sync.WaitGroup
		var mu sync.Mutex
		whole, all := 0, 0
		for i := range 130 {
			sent.Go(func() {
				r := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,60", to: i % 3})
				mu.Lock()
				defer mu.Unlock()
				all++
				if r.status == 200 && !r.cut && r.body == events(1, 20) {
					whole++
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		sent.Wait()
		var status struct{ State string }
		b.decode(b.store.Status("rollouts", model), &status)
		b.Check(status.State, qt.Equals, "completed")
		b.Check(whole >= all-all/100, qt.IsTrue, qt.Commentf("%d of %d streams whole", whole, all))
		b.Logf("%d of %d streams whole", whole, all)
	})
}
