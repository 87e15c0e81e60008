package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/plankridge/plankridge/platform/fake"
)

// fault is something that happens to a deployment for a while.
type fault struct {
	name string
	run  func(d *deployment, r *rand.Rand, lasts time.Duration)
}

// faults are all kinds of trouble. Each takes back what it has done.
var faults = []fault{
	{"daemon paused", func(d *deployment, r *rand.Rand, lasts time.Duration) { one(r, d.daemons).hold(false, lasts) }},
	{"daemon suspended", func(d *deployment, r *rand.Rand, lasts time.Duration) { one(r, d.daemons).hold(canSuspend(), lasts) }},
	{"daemons suspended", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		share := one(r, []float64{0.2, 0.5, 0.9})
		var all sync.WaitGroup
		for _, p := range d.daemons {
			if r.Float64() < share {
				all.Go(func() { p.hold(canSuspend(), lasts) })
			}
		}
		all.Wait()
	}},
	{"daemon killed", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		d.replace(one(r, d.daemons), syscall.SIGKILL, lasts/4)
	}},
	{"daemon stopped", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		d.replace(one(r, d.daemons), syscall.SIGTERM, lasts/4)
	}},
	{"settings read again", func(d *deployment, r *rand.Rand, _ time.Duration) { one(r, d.daemons).end(syscall.SIGHUP) }},
	{"all daemons killed", func(d *deployment, _ *rand.Rand, lasts time.Duration) {
		var all sync.WaitGroup
		for _, p := range d.daemons {
			all.Go(func() { d.replace(p, syscall.SIGKILL, lasts/8) })
		}
		all.Wait()
	}},
	{"link to the store broken", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		breakLink(one(r, d.daemons).storeLink, r, lasts)
	}},
	{"link to a server broken", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		breakLink(one(r, d.servers[:6]).link, r, lasts)
	}},
	{"store down", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		d.store.SetOutage(one(r, []fake.Outage{fake.OutageBusy, fake.OutageSilent, fake.OutageReset}))
		time.Sleep(lasts)
		d.store.SetOutage(fake.OutageNone)
	}},
	{"store loses answers", func(d *deployment, r *rand.Rand, _ time.Duration) { d.store.LoseAnswers(1 + r.IntN(4)) }},
	{"store writes late", func(d *deployment, r *rand.Rand, lasts time.Duration) { d.store.DelayWrites(1+r.IntN(3), lasts) }},
	{"store forgets its history", func(d *deployment, _ *rand.Rand, _ time.Duration) { d.store.Compact() }},
	{"watches are deaf", func(d *deployment, _ *rand.Rand, lasts time.Duration) {
		d.store.BlockWatches(true)
		time.Sleep(lasts)
		d.store.BlockWatches(false)
	}},
	{"cloud down", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		d.cloud.SetOutage(one(r, []fake.Outage{fake.OutageBusy, fake.OutageSilent, fake.OutageReset}))
		time.Sleep(lasts)
		d.cloud.SetOutage(fake.OutageNone)
	}},
	{"cloud loses answers", func(d *deployment, r *rand.Rand, _ time.Duration) { d.cloud.LoseAnswers(1 + r.IntN(3)) }},
	{"server drains", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		s := one(r, d.servers[:6])
		d.list(s, "draining")
		time.Sleep(lasts)
		d.list(s, "ready")
	}},
	{"server names a limit", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		s := one(r, d.servers[:6])
		s.say(fake.Behaviour{Header: map[string]string{"Server-Limit": one(r, []string{"0", "0.5", "3", "20", "many"})}})
		time.Sleep(lasts)
		s.say(fake.Behaviour{})
	}},
	{"server asks for rest", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		s := one(r, d.servers[:6])
		s.say(fake.Behaviour{Decline: true, Header: map[string]string{"Retry-After": one(r, []string{"0.2", "1", "soon"})}})
		time.Sleep(lasts)
		s.say(fake.Behaviour{})
	}},
	{"server says that it leaves", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		s := one(r, d.servers[:6])
		s.say(fake.Behaviour{Header: map[string]string{"Server-Leaving": "1"}})
		time.Sleep(lasts)
		s.link.down()
		s.say(fake.Behaviour{})
		time.Sleep(awayFor)
		d.comeBack(s)
	}},
	{"server sends without end", func(d *deployment, r *rand.Rand, lasts time.Duration) {
		s := one(r, d.servers[:6])
		s.say(fake.Behaviour{Endless: one(r, endlessForms)})
		time.Sleep(lasts)
		s.say(fake.Behaviour{})
	}},
	{"servers lose answers", func(d *deployment, r *rand.Rand, lasts time.Duration) { d.loseAnswers(r, lasts) }},
	{"configuration changes", func(d *deployment, _ *rand.Rand, lasts time.Duration) {
		d.configure(false)
		time.Sleep(lasts)
		d.configure(true)
	}},
}

func one[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

func breakLink(l *link, r *rand.Rand, lasts time.Duration) {
	l.set(one(r, []linkFault{linkSlow, linkSilent, linkOneWay, linkReset}))
	time.Sleep(lasts)
	l.set(linkWhole)
}

// replace ends a process and starts it again. A process that is asked to stop has
// the time that the platform would give it. One that is being replaced already is left alone:
// of two that start at one address one ends, and the other would outlast the test.
func (d *deployment) replace(p *process, signal syscall.Signal, down time.Duration) {
	if !p.replacing.TryLock() {
		return
	}
	defer p.replacing.Unlock()
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	// A process that stands still would not see the signal.
	p.goOn()
	p.end(signal)
	select {
	case <-exited:
	case <-time.After(drainTime):
		p.end(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(down)
	if err := p.start(d.binary); err != nil {
		panic(fmt.Sprintf("start %s again: %v", p.id, err))
	}
}

// overlap is the number of faults that may be under way at once.
const overlap = 3

// trouble lets faults happen, some at once, until the time is over. It returns how
// often each happened.
func (d *deployment) trouble(seed uint64, length time.Duration) map[string]int {
	counts := map[string]int{}
	var mu sync.Mutex
	var lanes sync.WaitGroup
	busy := map[string]bool{}
	end := time.Now().Add(length)
	for lane := range overlap {
		lanes.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(lane)))
			for time.Now().Before(end) {
				f := one(r, faults)
				mu.Lock()
				// The same trouble twice at once would be taken back by the first.
				skip := busy[f.name] || (busy["all daemons killed"] && f.name[:6] == "daemon") || (f.name == "all daemons killed" && anyDaemon(busy))
				if !skip {
					busy[f.name] = true
					counts[f.name]++
				}
				mu.Unlock()
				if !skip {
					f.run(d, r, 300*time.Millisecond+time.Duration(r.Int64N(int64(3*time.Second))))
				}
				time.Sleep(time.Duration(r.Int64N(int64(400 * time.Millisecond))))
				mu.Lock()
				busy[f.name] = busy[f.name] && skip
				mu.Unlock()
			}
		})
	}
	lanes.Wait()
	return counts
}

func anyDaemon(busy map[string]bool) bool {
	return busy["daemon paused"] || busy["daemon killed"] || busy["daemon stopped"]
}

// endlessForms are bytes without end that are no answer.
var endlessForms = []*fake.Endless{
	{Repeat: "x"},
	{Begin: "HTTP/1.1 200 O", Repeat: "K"},
	{Begin: "HTTP/1.1 200 OK\r\n", Repeat: "A: b\r\n"},
	{Begin: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", Repeat: "x"},
}
