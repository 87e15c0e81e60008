package onplatform

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// retryWindow, retryRatio and extraRetries are the retry budget that daemons are started with.
	retryWindow  = 10 * time.Second
	retryRatio   = 0.2
	extraRetries = 50.0
	// retryServers is the number of servers of the service, failingShare how many of their answers fail.
	retryServers = 12
	failingShare = 0.6
	// minUsableShare is the share of the budget that has to be usable while retries ask for all of it.
	minUsableShare = 2.0 / 3
)

var (
	retrySeeds   = flag.Int("retries.seeds", 1, "number of seeds for plays of the retry budget")
	retryFirst   = flag.Uint64("retries.first", 1, "first of these seeds")
	retryDaemons = flag.Int("retries.daemons", 0, "number of daemons in these plays, in place of that of each")
)

// retryPlay is a play of servers that fail most of what they get.
type retryPlay struct {
	daemons int
	// rate is the number of requests a second.
	rate float64
	// length is how long requests are sent. Without it this is three windows.
	length time.Duration
	// failing is how the failing answers fail: lost if nil.
	failing *fake.Behaviour
	stream  bool
	// calmFor is how long servers answer well at first.
	calmFor time.Duration
	// crowded is set if all requests go to the first of the daemons.
	crowded bool
	trouble func(l *leavingBed)
	// minUsed is the least share of the budget that some window has to use.
	minUsed float64
}

// retryBed is a deployment in such a play.
type retryBed struct {
	*leavingBed
	play    retryPlay
	begun   time.Time
	servers []*fake.Server

	// counting guards what follows.
	counting sync.Mutex
	failing  *rand.Rand
	sent     []time.Time
	served   int
}

func (p retryPlay) run(t *testing.T) {
	if *retryDaemons > 0 {
		p.daemons = *retryDaemons
	}
	if p.daemons <= fewDaemons {
		t.Parallel()
	}
	if p.length == 0 {
		p.length = 3 * retryWindow
	}
	for seed := range uint64(*retrySeeds) {
		p.runSeed(t, *retryFirst+seed)
	}
}

func (p retryPlay) service() string {
	if p.stream {
		return model
	}
	return plain
}

func (p retryPlay) runSeed(t *testing.T, seed uint64) {
	l := &retryBed{play: p, failing: rand.New(rand.NewPCG(seed, 55)), leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 56)), luck: rand.New(rand.NewPCG(seed, 57)), touched: map[int][]time.Time{}}}
	runAlone(t, p.daemons, func(b *bed) {
		l.bed = b
		b.store.SetPageSize(500)
		b.bootstrap = true
		for i := range retryServers {
			s := &fake.Server{Behave: l.behave}
			if p.stream {
				s.EventCount = 3
			}
			l.servers = append(l.servers, b.addServer(fmt.Sprintf("i-%d", i), p.service(), s))
		}
		b.configure(routes{plainRoute("/a/", "idempotent", 3), streamRoute("/s/", true, 3)})
	}, func(b *bed) {
		b.bootstrap = false
		for _, d := range b.daemons {
			l.ips = append(l.ips, d.ip)
		}
		l.begun = time.Now()
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { l.callers(ctx, seed) })
		time.Sleep(p.calmFor)
		if p.trouble != nil {
			p.trouble(l.leavingBed)
		}
		time.Sleep(max(0, p.length-time.Since(l.begun)))
		stop()
		running.Wait()
		l.check(t, seed)
	})
}

func (l *retryBed) behave(int, *http.Request) fake.Behaviour {
	l.counting.Lock()
	defer l.counting.Unlock()
	good := fake.Behaviour{Delay: 20 * time.Millisecond}
	switch {
	case time.Since(l.begun) < l.play.calmFor || l.failing.Float64() >= failingShare:
		return good
	case l.play.failing != nil:
		return *l.play.failing
	}
	return fake.Behaviour{Delay: 20 * time.Millisecond, LoseAnswer: true}
}

// callers sends requests, no two alike, to daemons by chance.
func (l *retryBed) callers(ctx context.Context, seed uint64) {
	luck := rand.New(rand.NewPCG(seed, 58))
	var asking sync.WaitGroup
	for ctx.Err() == nil {
		pause(ctx, time.Duration(luck.ExpFloat64()/l.play.rate*float64(time.Second)))
		to := luck.IntN(len(l.ips))
		if l.play.crowded {
			to = 0
		}
		asking.Go(func() { l.ask(to) })
	}
	asking.Wait()
}

func (l *retryBed) ask(to int) {
	l.counting.Lock()
	l.sent = append(l.sent, time.Now())
	l.counting.Unlock()
	c := call{method: "GET", path: "/a/x", key: testKey, ip: l.ips[to], deadline: 2 * time.Second}
	if l.play.stream {
		c.path, c.tokens = "/s/x", "150/30"
	}
	r := l.send(c)
	l.counting.Lock()
	defer l.counting.Unlock()
	if r.status == http.StatusOK && !r.cut {
		l.served++
	}
}

// repeats returns when requests arrived that had arrived before.
func (l *retryBed) repeats() []time.Time {
	var all []fake.Arrival
	for _, s := range l.servers {
		all = append(all, s.Arrivals()...)
	}
	slices.SortFunc(all, func(a, b fake.Arrival) int { return a.At.Compare(b.At) })
	var repeats []time.Time
	seen := map[string]bool{}
	for _, a := range all {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	return repeats
}

// windowShare returns how much of the budget the retries of a window use. The requests are those of
// this window, of the one before it or of the one half a window earlier, whichever has most.
func (l *retryBed) windowShare(repeats []time.Time, from time.Time) float64 {
	requests := max(countBetween(l.sent, from), countBetween(l.sent, from.Add(-retryWindow/2)), countBetween(l.sent, from.Add(-retryWindow)))
	return float64(countBetween(repeats, from)) / (retryRatio*float64(requests) + extraRetries)
}

// countBetween returns how many of the sorted times lie in the window that begins at a time.
func countBetween(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return end - first
}

// lastShare returns how much of the budget the windows use on average that end in the last ten seconds.
func (l *retryBed) lastShare(repeats []time.Time) float64 {
	const windows = 20
	sum := 0.0
	for i := range windows {
		sum += l.windowShare(repeats, l.begun.Add(l.play.length-retryWindow-retryWindow*time.Duration(i)/windows))
	}
	return sum / windows
}

func (l *retryBed) check(t *testing.T, seed uint64) {
	c := qt.New(t)
	repeats := l.repeats()
	worst := 0.0
	var worstFrom time.Time
	for _, from := range repeats {
		if share := l.windowShare(repeats, from); share > worst {
			worst, worstFrom = share, from
		}
	}
	last := l.lastShare(repeats)
	t.Logf("seed %d: %d daemons, %v requests a second: %d of %d served, %d retries; of the budget, the worst window uses %.2f (from %v), the last ones %.2f",
		seed, len(l.daemons), l.play.rate, l.served, len(l.sent), len(repeats), worst, worstFrom.Sub(l.begun).Round(time.Millisecond), last)
	c.Check(worst <= 1, qt.IsTrue, qt.Commentf("seed %d: %.2f of the retry budget", seed, worst))
	c.Check(worst >= l.play.minUsed, qt.IsTrue, qt.Commentf("seed %d: at most %.2f of the retry budget is used", seed, worst))
	if l.play.trouble == nil {
		c.Check(last >= l.play.minUsed, qt.IsTrue, qt.Commentf("seed %d: %.2f of the retry budget is used on average at last", seed, last))
	}
}

// retryTroubles are what happens to daemons beside servers that fail.
var retryTroubles = map[string]func(l *leavingBed){
	"all die once": func(l *leavingBed) {
		time.Sleep(5 * time.Second)
		l.restartAll(500 * time.Millisecond)
	},
	"all die three times": func(l *leavingBed) {
		for range 3 {
			time.Sleep(2 * time.Second)
			l.restartAll(500 * time.Millisecond)
		}
	},
	"all die after each budget is spent": func(l *leavingBed) {
		time.Sleep(4 * time.Second)
		for range 2 {
			l.restartAll(300 * time.Millisecond)
			time.Sleep(9 * time.Second)
		}
	},
	"24 starts in series": func(l *leavingBed) {
		time.Sleep(4 * time.Second)
		for i := range 24 {
			l.loseFor(200*time.Millisecond, i%2 == 0, i%len(l.daemons))
			time.Sleep(200 * time.Millisecond)
		}
	},
	"half die four times": func(l *leavingBed) {
		time.Sleep(6 * time.Second)
		for range 4 {
			half := l.luck.Perm(len(l.daemons))[:len(l.daemons)/2]
			l.loseFor(500*time.Millisecond, false, half...)
			time.Sleep(1500 * time.Millisecond)
		}
	},
	"most die for good": func(l *leavingBed) {
		time.Sleep(4 * time.Second)
		for i := 2; i < len(l.daemons); i++ {
			l.kill(i)
		}
		l.ips = l.ips[:2]
	},
	"as many join": func(l *leavingBed) {
		time.Sleep(6 * time.Second)
		for range len(l.daemons) {
			l.ips = append(l.ips, l.startDaemon(len(l.daemons)+1).ip)
			time.Sleep(100 * time.Millisecond)
		}
	},
	"a zone is cut off and all die": func(l *leavingBed) {
		time.Sleep(4 * time.Second)
		l.acrossZone(zoneNames[1], l.net.Cut)
		time.Sleep(2 * time.Second)
		l.restartAll(500 * time.Millisecond)
		time.Sleep(5 * time.Second)
		l.acrossZone(zoneNames[1], l.net.Heal)
	},
	"each daemon is cut off from the others": func(l *leavingBed) {
		time.Sleep(4 * time.Second)
		l.acrossAll(l.net.Cut)
		time.Sleep(6 * time.Second)
		l.acrossAll(l.net.Heal)
	},
	"the store is away while all die": func(l *leavingBed) {
		time.Sleep(4 * time.Second)
		l.store.SetOutage(fake.OutageReset)
		time.Sleep(time.Second)
		l.restartAll(500 * time.Millisecond)
		time.Sleep(3 * time.Second)
		l.store.SetOutage(fake.OutageNone)
		time.Sleep(2 * time.Second)
		l.restartAll(500 * time.Millisecond)
	},
}

// retryTroublesWithRace are those that are played under the race detector too.
var retryTroublesWithRace = []string{"all die three times", "24 starts in series"}

// acrossAll does something to each pair of daemons.
func (l *leavingBed) acrossAll(do func(one, other string)) {
	for i, one := range l.daemons {
		for _, other := range l.daemons[:i] {
			do(one.ip, other.ip)
		}
	}
}

// TestRetryBudgetIsUsable guards against daemons that each have less than one retry of their own, and
// against retries beyond the budget while nothing else happens.
func TestRetryBudgetIsUsable(t *testing.T) {
	sizes := []int{8}
	if !raceDetector {
		sizes = append(sizes, 60, 300)
	}
	for _, daemons := range sizes {
		p := retryPlay{daemons: daemons, rate: 50, minUsed: minUsableShare}
		t.Run(fmt.Sprintf("%d daemons", daemons), p.run)
		p.calmFor, p.length = 12*time.Second, 40*time.Second
		t.Run(fmt.Sprintf("%d daemons, calm first", daemons), p.run)
	}
	forms := map[string]retryPlay{
		"streams that break": {stream: true, failing: &fake.Behaviour{Delay: 20 * time.Millisecond, BreakAfter: 1}},
		"requests declined":  {failing: &fake.Behaviour{Decline: true}},
		"one daemon has all": {crowded: true},
	}
	for name, p := range forms {
		p.daemons, p.rate, p.minUsed = 8, 50, minUsableShare
		t.Run(name, p.run)
	}
}

// TestRetryBudgetBesideStartsAndDeaths guards against daemons that start with a retry budget that others have spent.
func TestRetryBudgetBesideStartsAndDeaths(t *testing.T) {
	for name, trouble := range retryTroubles {
		if raceDetector && !slices.Contains(retryTroublesWithRace, name) {
			continue
		}
		for _, rate := range []float64{16, 50} {
			p := retryPlay{daemons: 8, rate: rate, trouble: trouble}
			t.Run(fmt.Sprintf("%s, %v a second", name, rate), p.run)
			p.calmFor, p.length = 3*time.Second, 34*time.Second
			t.Run(fmt.Sprintf("%s, %v a second, calm first", name, rate), p.run)
		}
	}
	p := retryPlay{daemons: 8, rate: 50, stream: true, failing: &fake.Behaviour{Delay: 20 * time.Millisecond, BreakAfter: 1}, trouble: retryTroubles["24 starts in series"]}
	t.Run("24 starts in series, streams", p.run)
}

// TestRetryBudgetBesideTrouble plays what else happens to daemons, and what happens to many of them.
func TestRetryBudgetBesideTrouble(t *testing.T) {
	if raceDetector {
		return
	}
	for name, trouble := range leavingPlays {
		t.Run(name, retryPlay{daemons: 9, rate: 50, trouble: trouble}.run)
	}
	for _, name := range []string{"all die three times", "24 starts in series", "a zone is cut off and all die"} {
		t.Run(name+" of many", retryPlay{daemons: 60, rate: 50, trouble: retryTroubles[name]}.run)
	}
}
