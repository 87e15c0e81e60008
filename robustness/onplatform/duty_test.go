package onplatform

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	usageWindow = 5 * time.Second
	usageDue    = 10 * time.Second
	// tokensEach is what a stream of the tests counts against an allowance.
	tokensEach = 1000
)

func serving(b *bed) {
	b.addServer("i-1", plain, &fake.Server{})
	b.addServer("m-1", model, &fake.Server{EventCount: 3})
	b.configure(routes{plainRoute("/a/", "idempotent", 1), streamRoute("/s/", true, 2)})
}

// reported returns the sum of the accepted reports.
func (b *bed) reported() int64 {
	var sum int64
	for _, report := range b.cloud.Reports() {
		sum += report.Counts[workspace]
	}
	return sum
}

// holder returns the daemon that holds the lease by the store's word.
func (b *bed) holder() *daemon {
	var record struct {
		Holder string `json:"holder"`
	}
	b.Assert(json.Unmarshal(b.store.Object("plankridge-leases", "cloud"), &record), qt.IsNil)
	for _, d := range b.daemons {
		if d.id == record.Holder {
			return d
		}
	}
	return nil
}

// use sends requests to every daemon for a while and returns their number.
func (b *bed) use(rounds int, to ...int) int64 {
	var sent int64
	for range rounds {
		for _, i := range to {
			b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i}).status, qt.Equals, 200)
			sent++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return sent
}

// TestUsageOfAllDaemons: every request is reported once, in time.
func TestUsageOfAllDaemons(t *testing.T) {
	run(t, 3, serving, func(b *bed) {
		sent := b.use(40, 0, 1, 2)
		time.Sleep(usageWindow + usageDue)
		b.Check(b.reported(), qt.Equals, sent)
	})
}

// TestHolderDies: another daemon takes over, and what the dead one had told is
// reported.
func TestHolderDies(t *testing.T) {
	run(t, 3, serving, func(b *bed) {
		sent := b.use(20, 0, 1, 2)
		time.Sleep(time.Second)
		dead := b.holder()
		dead.kill()
		others := b.indexesBut(dead)
		sent += b.use(30, others...)
		time.Sleep(usageWindow + usageDue)
		b.Check(b.holder(), qt.Not(qt.Equals), dead)
		b.Check(b.reported(), qt.Equals, sent)
	})
}

func (b *bed) indexesBut(dead *daemon) []int {
	var out []int
	for i, d := range b.daemons {
		if d != dead {
			out = append(out, i)
		}
	}
	return out
}

// TestHolderCutOff: a holder that is cut off from the store or from everything
// is followed by another; no fencing number is used by two and no window is
// reported with two counts (the bed checks it).
func TestHolderCutOff(t *testing.T) {
	cuts := map[string]func(b *bed, d *daemon){
		"from store": func(b *bed, d *daemon) { b.net.Cut(d.ip, storeIP) },
		"from peers": func(b *bed, d *daemon) {
			for _, other := range b.daemons {
				if other != d {
					b.net.Cut(d.ip, other.ip)
				}
			}
		},
		"refused by store": func(b *bed, d *daemon) { b.store.SetOutageFor(d.ip, fake.OutageSilent) },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			run(t, 3, serving, func(b *bed) {
				sent := b.use(20, 0, 1, 2)
				cut(b, b.holder())
				sent += b.use(30, 0, 1, 2)
				time.Sleep(usageWindow + usageDue)
				b.Check(b.reported(), qt.Equals, sent)
			})
		})
	}
}

// TestLostAnswersOfTheStore: writes of the lease that happen without an answer,
// or later, leave one holder that acts.
func TestLostAnswersOfTheStore(t *testing.T) {
	run(t, 3, serving, func(b *bed) {
		sent := int64(0)
		for range 6 {
			b.store.LoseAnswers(2)
			sent += b.use(10, 0, 1, 2)
			b.store.DelayWrites(2, 3*time.Second)
			sent += b.use(10, 0, 1, 2)
		}
		time.Sleep(usageWindow + usageDue)
		b.Check(b.reported(), qt.Equals, sent)
	})
}

// TestLostAnswersOfTheCloud: a report without an answer is sent again, equal.
func TestLostAnswersOfTheCloud(t *testing.T) {
	run(t, 2, serving, func(b *bed) {
		b.cloud.LoseAnswers(3)
		sent := b.use(40, 0, 1)
		b.cloud.SetOutage(fake.OutageBusy)
		sent += b.use(30, 0, 1)
		b.cloud.SetOutage(fake.OutageNone)
		time.Sleep(usageWindow + usageDue)
		b.Check(b.reported(), qt.Equals, sent)
	})
}

// TestHolderShutsDown: it gives the lease back and stops in time.
func TestHolderShutsDown(t *testing.T) {
	run(t, 3, serving, func(b *bed) {
		leaving := b.holder()
		begun := time.Now()
		leaving.stop()
		b.Check(<-leaving.done, qt.IsNil)
		b.Check(time.Since(begun) < 4*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begun)))
		time.Sleep(time.Second)
		b.Check(b.holder(), qt.Not(qt.Equals), leaving)
	})
}

// TestAllowanceOverAllDaemons: the tokens of a workspace stay within its
// allowance, whole or cut in two, and what is allowed is not refused.
func TestAllowanceOverAllDaemons(t *testing.T) {
	const rate, burst = 10000.0, 10000.0
	const seconds = 8
	for _, parted := range []bool{false, true} {
		name := map[bool]string{false: "whole", true: "cut in two"}[parted]
		t.Run(name, func(t *testing.T) {
			run(t, 4, func(b *bed) {
				b.addServer("m-1", model, &fake.Server{EventCount: 3})
				b.configure(routes{streamRoute("/s/", true, 2)}, limited(rate, burst))
			}, func(b *bed) {
				time.Sleep(2 * time.Second)
				if parted {
					b.part(0, 1)
					time.Sleep(3 * time.Second)
				}
				served := 0
				for range seconds * 10 {
					replies := b.burst(8, func(i int) call {
						return call{method: "POST", path: "/s/x", key: testKey, tokens: "940,60", to: i % 4}
					})
					served += count(replies, 200)
					b.Check(count(replies, 200)+count(replies, 429), qt.Equals, len(replies))
					time.Sleep(100 * time.Millisecond)
				}
				used := float64(served * tokensEach)
				b.Check(used <= (rate*seconds+burst)*1.1+rate, qt.IsTrue, qt.Commentf("used %v", used))
				b.Check(used >= rate*seconds*0.8, qt.IsTrue, qt.Commentf("used %v", used))
			})
		})
	}
}

// part cuts some daemons off from the others.
func (b *bed) part(side ...int) { b.across(b.net.Cut, side) }

// heal undoes part.
func (b *bed) heal(side ...int) { b.across(b.net.Heal, side) }

// across does something to each pair of a daemon on a side and one that is not.
func (b *bed) across(do func(one, other string), side []int) {
	in := map[int]bool{}
	for _, i := range side {
		in[i] = true
	}
	for i := range b.daemons {
		for j := range b.daemons {
			if in[i] && !in[j] {
				do(b.daemons[i].ip, b.daemons[j].ip)
			}
		}
	}
}

// TestRequestFinishesDuringShutdown: a stream that was read before SIGTERM ends
// whole, and the process ends.
func TestRequestFinishesDuringShutdown(t *testing.T) {
	run(t, 1, func(b *bed) {
		b.addServer("m-1", model, &fake.Server{EventCount: 30, Behave: slowly})
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(b *bed) {
		answered := make(chan reply, 1)
		go func() { answered <- b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,90"}) }()
		time.Sleep(500 * time.Millisecond)
		b.daemons[0].stop()
		time.Sleep(100 * time.Millisecond)
		b.Check(b.ready(b.daemons[0]), qt.IsFalse)
		got := <-answered
		b.Check(got.cut, qt.IsFalse)
		b.Check(got.body, qt.Equals, events(1, 30))
		b.Check(<-b.daemons[0].done, qt.IsNil)
	})
}

// TestServersFollowDemand: more is asked for when engines are kept busy, and a
// stand-in on demand where no reclaimable server is to be had.
func TestServersFollowDemand(t *testing.T) {
	run(t, 1, serving, func(b *bed) {
		b.cloud.SetNoReclaimable(true)
		time.Sleep(3 * time.Second)
		before := b.ordered(false)
		for range 40 {
			b.burst(10, func(int) call {
				return call{method: "POST", path: "/s/x", key: testKey, tokens: "9000,60", header: map[string]string{"Prefix-Hash": b.newID() + ":9000"}}
			})
			time.Sleep(100 * time.Millisecond)
		}
		b.Check(b.ordered(false) > before, qt.IsTrue, qt.Commentf("before %d, after %d", before, b.ordered(false)))
	})
}

// ordered returns the number of servers of a market that the last orders ask
// for.
func (b *bed) ordered(spot bool) int {
	last := map[string]int{}
	for _, order := range b.cloud.Orders() {
		if order.Spot == spot {
			last[order.Zone] = order.Desired
		}
	}
	sum := 0
	for _, n := range last {
		sum += n
	}
	return sum
}
