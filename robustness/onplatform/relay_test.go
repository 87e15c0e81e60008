package onplatform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// zonesOfFive is a number of daemons with five in each of the three zones, so that
// most of them are no relays.
const zonesOfFive = 15

// TestOnlyLeadsFollowTheStore: what the others need, the leads tell them, so that
// the calls to the store do not grow with the daemons.
func TestOnlyLeadsFollowTheStore(t *testing.T) {
	run(t, zonesOfFive, twoKeys, func(b *bed) {
		time.Sleep(5 * time.Second)
		before := b.store.Calls().Reads.Load()
		time.Sleep(20 * time.Second)
		reads := b.store.Calls().Reads.Load() - before
		// One sentinel asks twice a second, two other leads twice in 15 s.
		b.Check(reads <= 60, qt.IsTrue, qt.Commentf("%d reads in 20 s", reads))
		b.revoke()
		time.Sleep(inForce)
		b.refusesOther()
	})
}

// TestServersReachAllDaemons: one that drains gets no work from any, within the
// bound, and one that is new gets some.
func TestServersReachAllDaemons(t *testing.T) {
	var leaving *fake.Server
	run(t, zonesOfFive, func(b *bed) {
		leaving = b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		fresh := b.addServer("i-2", plain, &fake.Server{})
		b.listServer("i-1", plain, "draining")
		time.Sleep(inForce)
		before := len(leaving.Arrivals())
		for i := range b.daemons {
			b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i}).status, qt.Equals, 200)
		}
		b.Check(len(leaving.Arrivals()), qt.Equals, before)
		b.Check(len(fresh.Arrivals()) >= zonesOfFive, qt.IsTrue)
	})
}

// TestRelaysDie: both relays of a zone are killed at once; a later change reaches
// the rest of the zone.
func TestRelaysDie(t *testing.T) {
	run(t, zonesOfFive, twoKeys, func(b *bed) {
		time.Sleep(3 * time.Second)
		for _, d := range b.relays() {
			d.kill()
			<-d.done
		}
		// Their silence is noticed and others take over.
		time.Sleep(3 * time.Second)
		b.revoke()
		time.Sleep(inForce)
		for i, d := range b.daemons {
			if !b.ended(d) {
				b.Check(b.send(call{method: "GET", path: "/a/x", key: otherKey, to: i}).status, qt.Equals, 401, qt.Commentf("%s", d.id))
			}
		}
	})
}

// relays returns the first two daemons of a zone by name: vm-1, vm-10, vm-13, vm-4
// and vm-7 are those of zone-1.
func (b *bed) relays() []*daemon {
	var found []*daemon
	for _, d := range b.daemons {
		if d.id == "vm-1" || d.id == "vm-10" {
			found = append(found, d)
		}
	}
	return found
}

func (b *bed) ended(d *daemon) bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// TestRelaysThatTheStoreRefuses: the next daemons of the zone stand in.
func TestRelaysThatTheStoreRefuses(t *testing.T) {
	run(t, zonesOfFive, twoKeys, func(b *bed) {
		for _, d := range b.relays() {
			b.store.SetOutageFor(d.ip, fake.OutageSilent)
		}
		time.Sleep(4 * time.Second)
		b.revoke()
		time.Sleep(inForce)
		b.refusesOther()
	})
}

// TestUsageOverZones: the counts of all daemons reach the holder of the lease.
func TestUsageOverZones(t *testing.T) {
	run(t, zonesOfFive, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		replies := b.burst(90, func(i int) call {
			return call{method: "GET", path: "/a/x", key: testKey, to: i % zonesOfFive, deadline: 5 * time.Second}
		})
		time.Sleep(17 * time.Second)
		b.Check(b.reported(), qt.Equals, int64(count(replies, 200)))
	})
}

// TestAllowanceOverZones: callers of all daemons together get what the workspace
// is allowed, and little more in any window.
func TestAllowanceOverZones(t *testing.T) {
	const rate, cost, seconds = 2000.0, 200.0, 10
	// An allowance is the rate over a window of 8 s and one burst.
	const rounds, window = 10 * seconds, 80
	run(t, zonesOfFive, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)}, limited(rate, rate))
	}, func(b *bed) {
		time.Sleep(5 * time.Second)
		admitted := make([]int, rounds)
		for round := range rounds {
			replies := b.burst(3, func(int) call {
				return call{method: "GET", path: "/a/x", key: testKey, to: int(b.next.Load()) % zonesOfFive}
			})
			admitted[round] = count(replies, 200)
			time.Sleep(100 * time.Millisecond)
		}
		total, allowed := 0, (rate*8+rate)/cost
		for round, now := range admitted {
			total += now
			inWindow := 0
			for _, earlier := range admitted[max(0, round-window+1) : round+1] {
				inWindow += earlier
			}
			// Sums are behind by up to 0.8 s.
			b.Check(float64(inWindow) <= allowed+rate/cost, qt.IsTrue, qt.Commentf("%d admitted, %v allowed", inWindow, allowed))
		}
		b.Check(float64(total) >= 0.8*(rate*seconds+rate)/cost, qt.IsTrue, qt.Commentf("%d admitted in all", total))
	})
}

// TestStartingLeadAdoptsLevels: the only daemon of a zone is replaced and goes on
// with what is left of the allowances, as other zones know it.
func TestStartingLeadAdoptsLevels(t *testing.T) {
	const rate = 2000.0
	run(t, 3, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)}, limited(rate, rate))
	}, func(b *bed) {
		time.Sleep(8 * time.Second)
		old := b.daemons[0]
		old.kill()
		<-old.done
		fresh := b.startDaemon(1)
		time.Sleep(600 * time.Millisecond)
		b.Assert(b.ready(fresh), qt.IsTrue)
		// Nobody has used any of the burst, which is 10 requests.
		replies := b.burst(8, func(int) call { return call{method: "GET", path: "/a/x", key: testKey, to: len(b.daemons) - 1} })
		b.Check(count(replies, 200), qt.Equals, 8)
	})
}

// TestOnlyDaemonLeftHasJustStarted: the holder of the lease dies, a workspace becomes hot, and
// all daemons but one die that has itself started two seconds ago. Those that start go by what
// it has counted and not by the record, which is from before: they admitted the whole allowance
// again in half a second.
func TestOnlyDaemonLeftHasJustStarted(t *testing.T) {
	const rate, cost, daemons = 2000.0, 200.0, 6
	// An allowance is the rate over a window of 8 s and one burst.
	const allowed = int((8*rate + rate) / cost)
	run(t, daemons, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)}, limited(rate, rate))
	}, func(b *bed) {
		time.Sleep(8 * time.Second)
		holder := b.holder()
		left := 5
		if b.daemons[left] == holder {
			left = 4
		}
		b.restart(left)
		time.Sleep(time.Second)
		for i, d := range b.daemons {
			if d == holder {
				b.kill(i)
			}
		}
		living := b.indexesBut(holder)
		admitted := count(b.burst(allowed*3/4, func(i int) call {
			return call{method: "GET", path: "/a/x", key: testKey, to: living[i%len(living)]}
		}), 200)
		time.Sleep(400 * time.Millisecond)
		b.Assert(admitted > allowed/2, qt.IsTrue, qt.Commentf("%d admitted", admitted))
		for i := range b.daemons {
			if i != left {
				b.kill(i)
			}
		}
		time.Sleep(200 * time.Millisecond)
		for i := range b.daemons {
			if i != left {
				b.daemons[i] = b.startDaemon(i + 1)
				b.daemons = b.daemons[:daemons]
			}
		}
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			admitted += count(b.burst(40, func(i int) call {
				return call{method: "GET", path: "/a/x", key: testKey, to: i % daemons}
			}), 200)
		}
		t.Logf("%d admitted, %v allowed", admitted, allowed)
		b.Check(admitted <= allowed+int(rate/cost), qt.IsTrue, qt.Commentf("%d admitted, %v allowed", admitted, allowed))
	})
}

// TestDaemonsThatStartTogetherHearEachOther guards against daemons whose reports are put off by each digest of a
// leader that sends digests more often.
func TestDaemonsThatStartTogetherHearEachOther(t *testing.T) {
	sizes := []int{20, 40}
	if !raceDetector {
		sizes = append(sizes, 60, 77, 100)
	}
	for _, daemons := range sizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			runAlone(t, daemons, func(b *bed) {
				b.store.SetPageSize(500)
				b.configure(routes{plainRoute("/a/", "idempotent", 1)})
			}, func(b *bed) {
				for range 3 {
					time.Sleep(2 * time.Second)
					for _, d := range b.daemons {
						line := fmt.Sprintf(`plankridge_daemons{state="heard"} %d`, daemons)
						b.Check(strings.Contains(b.metrics(d), line+"\n"), qt.IsTrue, qt.Commentf("%s: %s", d.ip, line))
					}
				}
			})
		})
	}
}

// kill ends a daemon at once.
func (b *bed) kill(i int) {
	b.daemons[i].kill()
	<-b.daemons[i].done
}

// restart kills a daemon and starts it again.
func (b *bed) restart(i int) {
	b.kill(i)
	count := len(b.daemons)
	b.daemons[i] = b.startDaemon(i + 1)
	b.daemons = b.daemons[:count]
}

// TestUsageOfTheLastDaemonOfAZone: what the only daemon of a zone has counted is
// reported, though it stops.
func TestUsageOfTheLastDaemonOfAZone(t *testing.T) {
	run(t, 3, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		stopping := b.daemons[2]
		stopping.stop()
		time.Sleep(time.Second)
		replies := b.burst(20, func(int) call {
			return call{method: "GET", path: "/a/x", key: testKey, to: 2, deadline: 3 * time.Second}
		})
		<-stopping.done
		time.Sleep(17 * time.Second)
		b.Check(count(replies, 200), qt.Equals, 20)
		b.Check(b.reported(), qt.Equals, int64(20))
	})
}

// TestZonesHearEachOtherAgainAfterACut: however long a zone was cut off, its daemons and
// the others hear each other soon after, so that each counts on its own part of the
// allowances alone.
func TestZonesHearEachOtherAgainAfterACut(t *testing.T) {
	for _, cut := range []time.Duration{6 * time.Second, 45 * time.Second, 2 * time.Minute} {
		t.Run(cut.String(), func(t *testing.T) {
			run(t, zonesOfFive, twoKeys, func(b *bed) {
				// Every third daemon is of the first one's zone.
				zone := []int{0, 3, 6, 9, 12}
				b.part(zone...)
				time.Sleep(cut)
				b.heal(zone...)
				time.Sleep(12 * time.Second)
				for _, d := range b.daemons {
					told := b.metrics(d)
					for _, line := range []string{`plankridge_daemons{state="heard"} 15`, `plankridge_daemons{state="known"} 15`} {
						b.Check(strings.Contains(told, line+"\n"), qt.IsTrue, qt.Commentf("%s: %s", d.ip, line))
					}
				}
			})
		})
	}
}
