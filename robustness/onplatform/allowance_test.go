package onplatform

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// quotaWindow is the length of the windows for which allowances are meant.
	quotaWindow = 8 * time.Second
	// appliedWithin is the time within which a changed allowance is in force everywhere.
	appliedWithin = 3 * time.Second
	// loweredAt is when the allowance is lowered, and allowancePlayFor how long requests are sent.
	loweredAt        = 2 * time.Second
	allowancePlayFor = 34 * time.Second
	// troubleFrom is when something else begins to happen: the lowered allowance binds by then.
	troubleFrom = 15 * time.Second
	// modestShare is what the other workspace asks for, of its own allowance.
	modestShare = 0.5
)

var (
	allowanceSeeds   = flag.Int("allowance.seeds", 1, "number of seeds for plays of allowances")
	allowanceFirst   = flag.Uint64("allowance.first", 1, "first of these seeds")
	allowanceDaemons = flag.Int("allowance.daemons", 0, "number of daemons in these plays, in place of that of each")
)

// allowancePlay is a play of a workspace whose allowance is lowered while its callers go on as before.
type allowancePlay struct {
	daemons int
	// rate is the lowered allowance, in requests a second, and times how many times as much callers
	// ask for.
	rate, times float64
	// failing is the share of the runs that fail and are repeated.
	failing float64
	// trouble happens meanwhile.
	trouble func(l *leavingBed)
}

// allowanceBed is a deployment with such a workspace, and another one within its allowance.
type allowanceBed struct {
	*leavingBed
	play   allowancePlay
	begun  time.Time
	runner *fake.Server

	// counting guards what follows.
	counting sync.Mutex
	// modestAsked and modestRefused count the first tries of the other workspace while nothing happens.
	modestAsked, modestRefused int
}

func (p allowancePlay) run(t *testing.T) {
	if *allowanceDaemons > 0 {
		p.daemons = *allowanceDaemons
	}
	if p.daemons <= fewDaemons {
		t.Parallel()
	}
	for seed := range uint64(*allowanceSeeds) {
		p.runSeed(t, *allowanceFirst+seed)
	}
}

func (p allowancePlay) slack() float64 { return 0.5 * p.rate }

func (p allowancePlay) runSeed(t *testing.T, seed uint64) {
	l := &allowanceBed{play: p, leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 40)), luck: rand.New(rand.NewPCG(seed, 41)), touched: map[int][]time.Time{}}}
	runAlone(t, 0, func(b *bed) {
		l.bed = b
		b.quotaOver, b.quotaSlack = 0.1, p.slack()
		l.runner = b.addServer("i-1", plain, &fake.Server{Behave: l.serve(seed)})
		l.allow(2 * p.times * p.rate)
	}, func(b *bed) {
		for i := range p.daemons {
			b.startDaemon(i + 1)
		}
		time.Sleep(5 * time.Second)
		for _, d := range b.daemons {
			l.ips = append(l.ips, d.ip)
		}
		l.askBeside(seed)
		l.check(t, seed)
	})
}

// serve answers after 20 ms, and fails a share of the runs.
func (l *allowanceBed) serve(seed uint64) func(int, *http.Request) fake.Behaviour {
	luck := rand.New(rand.NewPCG(seed, 42))
	return func(int, *http.Request) fake.Behaviour {
		l.counting.Lock()
		defer l.counting.Unlock()
		b := fake.Behaviour{Delay: 20 * time.Millisecond}
		if luck.Float64() < l.play.failing {
			b.Status = http.StatusInternalServerError
		}
		return b
	}
}

// allow writes a configuration with an allowance for the workspace.
func (l *allowanceBed) allow(rate float64) {
	busy, modest := limited(rate, rate), limited(l.play.rate, l.play.rate)
	busy["plainTokens"], modest["plainTokens"] = 1, 1
	modest["name"], modest["apiKeys"] = "modest", []string{otherKey}
	l.configure(routes{plainRoute("/a/", "idempotent", 2)}, busy, modest)
}

func (l *allowanceBed) askBeside(seed uint64) {
	l.begun = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.callers(ctx, seed, testKey, l.play.times*l.play.rate) })
	running.Go(func() { l.callers(ctx, seed, otherKey, modestShare*l.play.rate) })
	time.Sleep(loweredAt)
	l.allow(l.play.rate)
	time.Sleep(troubleFrom - time.Since(l.begun))
	if l.play.trouble != nil {
		l.play.trouble(l.leavingBed)
	}
	time.Sleep(max(0, allowancePlayFor-time.Since(l.begun)))
	stop()
	running.Wait()
}

// callers sends requests to daemons by chance, and sends each that is refused once more when it was
// advised to.
func (l *allowanceBed) callers(ctx context.Context, seed uint64, key string, rate float64) {
	luck := rand.New(rand.NewPCG(seed, uint64(len(key))))
	var asking sync.WaitGroup
	for ctx.Err() == nil {
		pause(ctx, time.Duration(luck.ExpFloat64()/rate*float64(time.Second)))
		first, second := luck.IntN(len(l.ips)), luck.IntN(len(l.ips))
		asking.Go(func() { l.askOnceMore(ctx, key, first, second) })
	}
	asking.Wait()
}

// askOnceMore sends a request to a daemon, and if it is refused once more to another one.
func (l *allowanceBed) askOnceMore(ctx context.Context, key string, first, second int) {
	r := l.send(call{method: "GET", path: "/a/" + key, key: key, ip: l.ips[first], deadline: time.Second})
	l.note(key, r)
	if r.status != http.StatusTooManyRequests {
		return
	}
	advised, _ := strconv.Atoi(r.header.Get("Retry-After"))
	pause(ctx, max(100*time.Millisecond, min(2*time.Second, time.Duration(advised)*time.Second)))
	if ctx.Err() == nil {
		l.send(call{method: "GET", path: "/a/" + key, key: key, ip: l.ips[second], deadline: time.Second})
	}
}

func (l *allowanceBed) note(key string, r reply) {
	l.counting.Lock()
	defer l.counting.Unlock()
	if key != otherKey {
		return
	}
	l.modestAsked++
	if r.status == http.StatusTooManyRequests {
		l.modestRefused++
	}
}

func (l *allowanceBed) check(t *testing.T, seed uint64) {
	c := qt.New(t)
	from := l.begun.Add(loweredAt + appliedWithin)
	var busy, modest []time.Time
	for _, a := range l.runner.Arrivals() {
		switch {
		case a.At.Before(from):
		case a.Target == "/a/"+testKey:
			busy = append(busy, a.At)
		default:
			modest = append(modest, a.At)
		}
	}
	limit := l.play.rate * (quotaWindow.Seconds() + 1)
	allowed := 1.1*limit + l.play.slack()
	most := mostWithin(busy, quotaWindow)
	rate := float64(len(busy)) / (allowancePlayFor - loweredAt - appliedWithin).Seconds()
	t.Logf("seed %d: %d daemons, %v a second, %v times: %d in a window, %.2f of what is allowed, %.2f of the rate; of the other %d of %d refused",
		seed, len(l.daemons), l.play.rate, l.play.times, most, float64(most)/allowed, rate/l.play.rate, l.modestRefused, l.modestAsked)
	c.Check(float64(most) <= allowed, qt.IsTrue, qt.Commentf("seed %d: %d in %v, allowed %v", seed, most, quotaWindow, allowed))
	c.Check(mostWithin(modest, quotaWindow) > 0, qt.IsTrue)
	if l.play.trouble == nil {
		c.Check(rate >= 0.8*l.play.rate, qt.IsTrue, qt.Commentf("seed %d: %.2f of the rate", seed, rate/l.play.rate))
		c.Check(l.modestRefused, qt.Equals, 0)
	}
}

// TestAllowanceThatWasLowered guards against a workspace that goes on above a lowered allowance, or gets much
// less than it.
func TestAllowanceThatWasLowered(t *testing.T) {
	for _, times := range []float64{2, 20} {
		t.Run(fmt.Sprintf("%v times", times), allowancePlay{daemons: 8, rate: 20, times: times}.run)
	}
}

// TestAllowanceAndRunsThatFail guards against runs that are repeated at no charge.
func TestAllowanceAndRunsThatFail(t *testing.T) {
	allowancePlay{daemons: 8, rate: 20, times: 10, failing: 0.5}.run(t)
}

// TestAllowanceBesideTrouble guards against daemons that forget, or have not learned, how much others are asked
// for.
func TestAllowanceBesideTrouble(t *testing.T) {
	if raceDetector {
		// Its runtime bears a bounded number of goroutines in a process.
		return
	}
	for name, trouble := range leavingPlays {
		for _, times := range []float64{2, 20} {
			t.Run(fmt.Sprintf("%s, %v times", name, times), allowancePlay{daemons: 9, rate: 20, times: times, trouble: trouble}.run)
		}
	}
}
