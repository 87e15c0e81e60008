package onplatform

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// linksLost and linksBack are when daemons lose their links to servers and get them back, from
	// the start of the requests.
	linksLost = 2 * time.Second
	linksBack = 14 * time.Second
	linksPlay = 20 * time.Second
	// linksContact is how long after such a change the bound begins to hold.
	linksContact = 3 * time.Second
	// minServedRatio bounds the share of first tries served by daemons without links against that of
	// the others. maxFailedTries and maxFailedShare bound those that fail there.
	minServedRatio = 2.0 / 3
	maxFailedTries = 10
	maxFailedShare = 1.0 / 50
)

var (
	linksSeeds   = flag.Int("links.seeds", 1, "number of seeds for plays of lost links to servers")
	linksFirst   = flag.Uint64("links.first", 1, "first of these seeds")
	linksDaemons = flag.Int("links.daemons", 0, "number of daemons in these plays, in place of that of each")
)

// lostLinks is a play of daemons that lose their links to all servers.
type lostLinks struct {
	daemons int
	// each is the time between two requests to a daemon.
	each time.Duration
	// form cuts the link between a daemon and a server, heal undoes it.
	form string
	// lost selects the daemons.
	lost func(l *linksBed) []int
	// some cuts them off from about this share of the servers instead of all.
	some float64
	// trouble happens meanwhile.
	trouble func(l *leavingBed)
}

// linksBed is a deployment under such a play.
type linksBed struct {
	*leavingBed
	play    lostLinks
	seed    uint64
	begun   time.Time
	servers []*fake.Server
	lost    map[int]bool

	mu    sync.Mutex
	tries []firstTry
}

// firstTry is a request and its reply.
type firstTry struct {
	daemon int
	kind   string
	sent   time.Time
	reply
}

const (
	linksHang     = "connections hang"
	linksReset    = "connections are reset"
	linksNoNew    = "new connections are refused"
	linksServices = 6
)

// cutLink changes the link between a daemon and a server according to the form of the cut.
func (l *linksBed) cutLink(daemon, server string) {
	switch l.play.form {
	case linksHang:
		l.net.Silence(daemon, server)
	case linksReset:
		l.net.Cut(daemon, server)
	case linksNoNew:
		l.net.RefuseNew(daemon, server)
	}
}

func (l *linksBed) healLink(daemon, server string) {
	switch l.play.form {
	case linksHang:
		l.net.Speak(daemon, server)
	case linksReset:
		l.net.Heal(daemon, server)
	case linksNoNew:
		l.net.AcceptNew(daemon, server)
	}
}

// forLostLinks calls do for each link that is lost.
func (l *linksBed) forLostLinks(do func(daemon, server string)) {
	for i := range l.ips {
		if !l.lost[i] {
			continue
		}
		for j, s := range l.servers {
			if l.play.some == 0 || float64(j+1) <= l.play.some*float64(len(l.servers)) {
				ip, _, _ := strings.Cut(l.places[s.ID], ":")
				do(l.ips[i], ip)
			}
		}
	}
}

func (p lostLinks) run(t *testing.T) {
	if *linksDaemons > 0 {
		p.daemons = *linksDaemons
	}
	if p.daemons <= fewDaemons {
		t.Parallel()
	}
	for seed := range uint64(*linksSeeds) {
		p.runSeed(t, *linksFirst+seed)
	}
}

func (p lostLinks) runSeed(t *testing.T, seed uint64) {
	l := &linksBed{play: p, seed: seed, lost: map[int]bool{}, leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 46)), luck: rand.New(rand.NewPCG(seed, 47)), touched: map[int][]time.Time{}}}
	runAlone(t, p.daemons, func(b *bed) {
		l.bed = b
		b.places = map[string]string{}
		for i := range linksServices {
			l.addAt(fmt.Sprintf("i-plain-%d", i), plain, &fake.Server{Behave: func(int, *http.Request) fake.Behaviour {
				return fake.Behaviour{Delay: 30 * time.Millisecond}
			}})
			l.addAt(fmt.Sprintf("i-model-%d", i), model, &fake.Server{EventCount: 6, Behave: func(int, *http.Request) fake.Behaviour {
				return fake.Behaviour{Delay: 60 * time.Millisecond}
			}})
		}
		b.configure(routes{plainRoute("/get/", "idempotent", 2), plainRoute("/order/", "non_idempotent", 2), streamRoute("/stream/", false, 2), streamRoute("/resume/", true, 3)})
	}, func(*bed) {
		l.playOut()
		l.check(t)
	})
}

func (l *linksBed) addAt(id, service string, runner *fake.Server) {
	l.places[id] = fmt.Sprintf("10.4.0.%d:80", len(l.places)+1)
	l.servers = append(l.servers, l.addServer(id, service, runner))
}

// playOut sends requests, and cuts links meanwhile.
func (l *linksBed) playOut() {
	time.Sleep(3 * time.Second)
	for _, d := range l.daemons {
		l.ips = append(l.ips, d.ip)
	}
	for _, i := range l.play.lost(l) {
		l.lost[i] = true
	}
	l.begun = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.ask(ctx) })
	time.Sleep(linksLost)
	l.forLostLinks(l.cutLink)
	if l.play.trouble != nil {
		l.play.trouble(l.leavingBed)
	}
	time.Sleep(linksBack - time.Since(l.begun))
	l.forLostLinks(l.healLink)
	time.Sleep(linksPlay - time.Since(l.begun))
	stop()
	running.Wait()
}

// ask sends requests to each daemon, at uneven times.
func (l *linksBed) ask(ctx context.Context) {
	var asking sync.WaitGroup
	for i, ip := range l.ips {
		pauses := rand.New(rand.NewPCG(l.seed, uint64(i)))
		asking.Go(func() {
			for ctx.Err() == nil {
				pause(ctx, time.Duration((0.5+pauses.Float64())*float64(l.play.each)))
				kind := []string{"get", "order", "stream", "resume"}[pauses.IntN(4)]
				asking.Go(func() { l.askOnce(ip, i, kind) })
			}
		})
	}
	asking.Wait()
}

func (l *linksBed) askOnce(ip string, daemon int, kind string) {
	c := call{method: "POST", path: fmt.Sprintf("/%s/%d", kind, daemon), key: testKey, ip: ip, deadline: 600 * time.Millisecond, body: "order"}
	if kind == "stream" || kind == "resume" {
		c.deadline, c.tokens = 4*time.Second, "900,60"
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	sent := time.Now()
	r := l.sendCtx(ctx, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, firstTry{daemon: daemon, kind: kind, sent: sent, reply: r})
}

// served is the number of first tries and of those that were served.
type served struct{ tries, ok int }

func (s served) share() float64 { return float64(s.ok) / float64(max(1, s.tries)) }

// check compares what callers of the daemons without links got with what the others got.
func (l *linksBed) check(t *testing.T) {
	c := qt.New(t)
	var lost, others served
	failed := map[string]int{}
	for _, try := range l.tries {
		since := try.sent.Sub(l.begun)
		if since < linksLost+linksContact || since > linksBack || !l.inTouch(try) {
			continue
		}
		count := &others
		if l.lost[try.daemon] {
			count = &lost
		}
		count.tries++
		if try.status == http.StatusOK && !try.cut {
			count.ok++
		} else if l.lost[try.daemon] {
			failed[fmt.Sprintf("%s %d %.60s %v", try.kind, try.status, try.body, try.err)]++
		}
	}
	t.Logf("seed %d: %d daemons, %d without links: %d of %d served there, %d of %d elsewhere; %v", l.seed, len(l.daemons), len(l.lost), lost.ok, lost.tries, others.ok, others.tries, failed)
	c.Check(lost.tries > 0 && others.share() > 0.9 || len(l.lost) == len(l.daemons), qt.IsTrue, qt.Commentf("%+v %+v", lost, others))
	c.Check(lost.share() >= minServedRatio*others.share(), qt.IsTrue, qt.Commentf("seed %d: %+v, others %+v", l.seed, lost, others))
	c.Check(float64(lost.tries-lost.ok) <= maxFailedTries+maxFailedShare*float64(lost.tries), qt.IsTrue, qt.Commentf("seed %d: %+v fail: %v", l.seed, lost, failed))
	l.checkRuns(c)
	l.checkDirect(c)
}

// longestDown is the longest time for which a play keeps a daemon down.
const longestDown = 4 * time.Second

// inTouch reports whether nothing happened to the daemon of a request from inTouchAfter before the
// request to its end.
func (l *linksBed) inTouch(try firstTry) bool {
	touched := l.touched[try.daemon]
	down := within(touched, try.sent.Add(inTouchAfter-longestDown), try.sent) && within(touched, try.sent.Add(inTouchAfter), try.sent.Add(longestDown))
	return !down && !within(touched, try.sent, try.sent.Add(try.took+time.Millisecond))
}

// checkRuns checks that no request that must not run twice did.
func (l *linksBed) checkRuns(c *qt.C) {
	runs := map[string]int{}
	for _, s := range l.servers {
		for _, a := range s.Arrivals() {
			if a.Ran && !strings.HasPrefix(a.Target, "/get/") && !strings.HasPrefix(a.Target, "/resume/") {
				runs[a.ID]++
			}
		}
	}
	for id, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("request %s", id))
	}
	for _, try := range l.tries {
		if try.status == http.StatusServiceUnavailable {
			c.Check(runs[try.id], qt.Equals, 0, qt.Commentf("refused and run: %s", try.id))
		}
	}
}

// checkDirect checks that daemons use their own links before the cut and once these are back.
func (l *linksBed) checkDirect(c *qt.C) {
	for _, s := range l.servers {
		for _, a := range s.Arrivals() {
			since := a.At.Sub(l.begun)
			if since >= linksLost && since < linksBack+linksContact || l.play.trouble != nil {
				continue
			}
			var daemon int
			_, err := fmt.Sscanf(a.Target[strings.LastIndex(a.Target, "/")+1:], "%d", &daemon)
			c.Assert(err, qt.IsNil)
			c.Check(a.From, qt.Equals, l.ips[daemon], qt.Commentf("%v", since))
		}
	}
}

// aShare selects about a share of the daemons, in all zones.
func aShare(share float64) func(l *linksBed) []int {
	return func(l *linksBed) []int {
		return l.random.Perm(len(l.daemons))[:max(1, int(share*float64(len(l.daemons))))]
	}
}

// aZone selects all daemons of a zone.
func aZone(l *linksBed) []int {
	var of []int
	for i, d := range l.daemons {
		if l.zoneOf(d) == "zone-1" {
			of = append(of, i)
		}
	}
	return of
}

var linkForms = []string{linksHang, linksReset, linksNoNew}

// TestCallersOfDaemonsWithoutLinksToServers guards against daemons that refuse callers because
// their own links to all servers have failed, while other daemons reach the servers.
func TestCallersOfDaemonsWithoutLinksToServers(t *testing.T) {
	for _, form := range linkForms {
		t.Run(form, lostLinks{daemons: 8, form: form, each: 130 * time.Millisecond, lost: aShare(0.6)}.run)
		t.Run("a zone, "+form, lostLinks{daemons: 9, form: form, each: 130 * time.Millisecond, lost: aZone}.run)
		t.Run("some servers, "+form, lostLinks{daemons: 8, form: form, each: 130 * time.Millisecond, lost: aShare(0.6), some: 0.7}.run)
		if raceDetector {
			continue
		}
		t.Run("60 daemons, a zone, "+form, lostLinks{daemons: 60, form: form, each: 400 * time.Millisecond, lost: aZone}.run)
	}
}

// relaysLosePower is the trouble of TestCallersOfDaemonsWithoutLinksWhileRelaysLosePower.
const relaysLosePower = "all relays lose power"

// TestCallersOfDaemonsWithoutLinksBesideTrouble is the same while daemons die, start and are cut off
// from each other, and the store is away.
func TestCallersOfDaemonsWithoutLinksBesideTrouble(t *testing.T) {
	for name, trouble := range leavingPlays {
		if name != relaysLosePower {
			runLostLinksBeside(t, name, trouble)
		}
	}
}

// TestCallersOfDaemonsWithoutLinksWhileRelaysLosePower is the same while all relays of the zones lose power.
func TestCallersOfDaemonsWithoutLinksWhileRelaysLosePower(t *testing.T) {
	runLostLinksBeside(t, relaysLosePower, leavingPlays[relaysLosePower])
}

func runLostLinksBeside(t *testing.T, name string, trouble func(*leavingBed)) {
	for _, form := range linkForms {
		p := lostLinks{daemons: 9, form: form, each: 130 * time.Millisecond, lost: aShare(0.4), trouble: trouble}
		t.Run(name+", "+form, p.run)
	}
	if slices.Contains(leavingAtSize, name) && !raceDetector {
		p := lostLinks{daemons: 60, form: linksHang, each: 400 * time.Millisecond, lost: aZone, trouble: trouble}
		t.Run(name+" of many", p.run)
	}
}

// TestCallersOfManyDaemonsWithoutLinksToServers is the same at 300 daemons.
func TestCallersOfManyDaemonsWithoutLinksToServers(t *testing.T) {
	if raceDetector {
		// Its runtime bears a bounded number of goroutines in a process.
		return
	}
	lostLinks{daemons: 300, form: linksHang, each: 1500 * time.Millisecond, lost: aShare(0.4)}.run(t)
}

// withoutLinks runs a test with three daemons of which the first has lost its links to the only
// server.
func withoutLinks(t *testing.T, behave func(n int, r *http.Request) fake.Behaviour, test func(b *bed, server *fake.Server)) {
	var server *fake.Server
	run(t, 3, func(b *bed) {
		server = b.addServer("i-1", plain, &fake.Server{Behave: behave})
		b.configure(routes{plainRoute("/order/", "non_idempotent", 2)})
	}, func(b *bed) {
		ip, _, _ := strings.Cut(b.serverAddress("i-1"), ":")
		b.net.Silence(b.daemons[0].ip, ip)
		test(b, server)
	})
}

func takes(d time.Duration) func(int, *http.Request) fake.Behaviour {
	return func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: d} }
}

func TestCallerThatLeavesCancelsThroughAnotherDaemon(t *testing.T) {
	withoutLinks(t, takes(400*time.Millisecond), func(b *bed, server *fake.Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		b.sendCtx(ctx, call{method: "POST", path: "/order/x", key: testKey, body: "order"})
		time.Sleep(100 * time.Millisecond)
		b.Assert(server.Arrivals(), qt.HasLen, 1)
		b.Check(server.Arrivals()[0].Cancelled, qt.IsTrue)
	})
}

func TestRequestLostWithItsHelperIsNotSaidToBeNotRun(t *testing.T) {
	withoutLinks(t, takes(300*time.Millisecond), func(b *bed, server *fake.Server) {
		answered := make(chan reply)
		go func() { answered <- b.send(call{method: "POST", path: "/order/x", key: testKey, body: "order"}) }()
		time.Sleep(150 * time.Millisecond)
		b.Assert(server.Arrivals(), qt.HasLen, 1)
		helper := 1
		if server.Arrivals()[0].From == b.daemons[2].ip {
			helper = 2
		}
		b.daemons[helper].kill()
		b.Check((<-answered).status, qt.Equals, http.StatusBadGateway)
		b.Check(server.Arrivals(), qt.HasLen, 1)
	})
}

func TestDaemonThatShutsDownFinishesTheTunnelsOfOthers(t *testing.T) {
	withoutLinks(t, takes(450*time.Millisecond), func(b *bed, server *fake.Server) {
		answered := make(chan reply)
		go func() { answered <- b.send(call{method: "POST", path: "/order/x", key: testKey, body: "order"}) }()
		time.Sleep(100 * time.Millisecond)
		b.Assert(server.Arrivals(), qt.HasLen, 1)
		for _, d := range b.daemons[1:] {
			d.stop()
		}
		b.Check((<-answered).status, qt.Equals, http.StatusOK)
	})
}
