package onplatform

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// brittleFrom and brittleUntil are when servers announce that they are brittle, from the start of
	// the requests. They let fewer requests wait from brittleContact after that.
	brittleFrom    = 2 * time.Second
	brittleUntil   = 15 * time.Second
	brittleContact = 3 * time.Second
	brittlePlay    = 18 * time.Second
	// brittleDown is how long a server that has fallen over is away.
	brittleDown = 4 * time.Second
	// maxFalls and maxFallShare bound the falls in the time in which servers are brittle.
	maxFalls     = 2
	maxFallShare = 0.1
	// minBrittleUse is the share of the servers' capacity that is used while callers ask for more.
	minBrittleUse = 0.4
	// brittleSlots, brittleRoom and brittleWork are a server's concurrent requests, the requests that
	// wait there, and the time that one takes.
	brittleSlots = 6
	brittleRoom  = 3
	brittleWork  = 150 * time.Millisecond
)

var (
	brittleSeeds   = flag.Int("brittle.seeds", 1, "number of seeds for plays of brittle servers")
	brittleFirst   = flag.Uint64("brittle.first", 1, "first of these seeds")
	brittleDaemons = flag.Int("brittle.daemons", 0, "number of daemons in these plays, in place of that of each")
)

// brittleServers is a play of brittle servers under load.
type brittleServers struct {
	daemons int
	// brittle and sound are the numbers of servers.
	brittle, sound int
	// declines is the number of requests that a brittle server may decline in a second.
	declines int
	// load is the demand as a share of what all servers can serve.
	load float64
	// trouble happens meanwhile.
	trouble func(l *leavingBed)
}

// brittleServer is a server with a few slots and a short queue.
type brittleServer struct {
	*fake.Server
	ip       string
	announce bool

	mu sync.Mutex
	// free are the times at which the slots become free.
	free     [brittleSlots]time.Time
	declined []time.Time
	downTill time.Time
	falls    []time.Time
	served   int
}

// brittleBed is a deployment with such servers.
type brittleBed struct {
	*leavingBed
	play    brittleServers
	seed    uint64
	begun   time.Time
	servers []*brittleServer

	mu      sync.Mutex
	replies []reply
}

func (p brittleServers) run(t *testing.T) {
	if *brittleDaemons > 0 {
		p.daemons = *brittleDaemons
	}
	if p.daemons <= fewDaemons {
		t.Parallel()
	}
	for seed := range uint64(*brittleSeeds) {
		p.runSeed(t, *brittleFirst+seed)
	}
}

func (p brittleServers) runSeed(t *testing.T, seed uint64) {
	l := &brittleBed{play: p, seed: seed, leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 48)), luck: rand.New(rand.NewPCG(seed, 49)), touched: map[int][]time.Time{}}}
	runAlone(t, p.daemons, func(b *bed) {
		l.bed = b
		l.begun = time.Now().Add(time.Hour)
		b.places = map[string]string{}
		for i := range p.brittle + p.sound {
			l.addServer(i, i < p.brittle)
		}
		b.configure(routes{plainRoute("/a/", "idempotent", 2)})
	}, func(*bed) {
		l.playOut()
		l.check(t)
	})
}

func (l *brittleBed) addServer(i int, announce bool) {
	id := fmt.Sprintf("i-%d", i)
	l.places[id] = fmt.Sprintf("10.4.0.%d:80", i+1)
	s := &brittleServer{announce: announce, ip: fmt.Sprintf("10.4.0.%d", i+1)}
	s.Server = &fake.Server{Behave: func(int, *http.Request) fake.Behaviour { return l.behave(s, time.Now()) }}
	l.servers = append(l.servers, s)
	l.bed.addServer(id, plain, s.Server)
}

// behave serves a request, lets it wait or declines it, and falls over after too many declines.
func (l *brittleBed) behave(s *brittleServer, now time.Time) fake.Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := now.Sub(l.begun)
	announced := s.announce && since >= brittleFrom && since < brittleUntil
	brittle := announced && since >= brittleFrom+brittleContact
	b := fake.Behaviour{}
	if announced {
		b.Header = map[string]string{"Server-Brittle": strconv.Itoa(l.play.declines)}
	}
	first, waiting := 0, 0
	for i, at := range s.free {
		if at.Before(s.free[first]) {
			first = i
		}
		waiting += max(0, int((at.Sub(now)+brittleWork-1)/brittleWork)-1)
	}
	room := brittleRoom
	if !brittle {
		room *= 8
	}
	begins := now
	if s.free[first].After(now) {
		begins = s.free[first]
		if waiting >= room {
			b.Decline = true
			s.decline(l, now, brittle)
			return b
		}
	}
	s.free[first] = begins.Add(brittleWork)
	s.served++
	b.Delay = s.free[first].Sub(now)
	return b
}

// decline counts a declined request. The caller holds the lock.
func (s *brittleServer) decline(l *brittleBed, now time.Time, brittle bool) {
	s.declined = append(s.declined, now)
	if !brittle || now.Before(s.downTill) || mostWithin(append([]time.Time(nil), s.declined...), time.Second) <= l.play.declines {
		return
	}
	s.declined = nil
	s.falls = append(s.falls, now)
	s.downTill = now.Add(brittleDown)
	l.net.Darken(s.ip)
	time.AfterFunc(brittleDown, func() { l.net.Lighten(s.ip) })
}

// playOut sends requests, and lets trouble happen meanwhile.
func (l *brittleBed) playOut() {
	time.Sleep(3 * time.Second)
	for _, d := range l.daemons {
		l.ips = append(l.ips, d.ip)
	}
	l.begun = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.ask(ctx) })
	time.Sleep(brittleFrom)
	if l.play.trouble != nil {
		l.play.trouble(l.leavingBed)
	}
	time.Sleep(brittlePlay - time.Since(l.begun))
	stop()
	running.Wait()
}

func (l *brittleBed) capacity() float64 {
	return float64(len(l.servers)*brittleSlots) / brittleWork.Seconds()
}

// ask sends requests to each daemon, at uneven times: a third of the load at first, all of it from
// the time on at which servers let fewer requests wait.
func (l *brittleBed) ask(ctx context.Context) {
	each := time.Duration(float64(len(l.ips)) / (l.play.load * l.capacity()) * float64(time.Second))
	var asking sync.WaitGroup
	for i, ip := range l.ips {
		pauses := rand.New(rand.NewPCG(l.seed, uint64(i)))
		asking.Go(func() {
			for ctx.Err() == nil {
				d := time.Duration((0.5 + pauses.Float64()) * float64(each))
				if time.Since(l.begun) < brittleFrom+brittleContact {
					d *= 3
				}
				pause(ctx, d)
				asking.Go(func() { l.askOnce(ip) })
			}
		})
	}
	asking.Wait()
}

func (l *brittleBed) askOnce(ip string) {
	r := l.send(call{method: "GET", path: "/a/x", key: testKey, ip: ip, deadline: time.Second})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, r)
}

// check counts the falls and what was served.
func (l *brittleBed) check(t *testing.T) {
	c := qt.New(t)
	falls, served, used := 0, 0, 0
	var counts []string
	for _, s := range l.servers {
		falls += len(s.falls)
		used += s.served
		counts = append(counts, fmt.Sprintf("%d", len(s.falls)))
	}
	for _, r := range l.replies {
		if r.status == http.StatusOK {
			served++
		}
	}
	allowed := maxFalls + maxFallShare*float64(l.play.brittle)
	full := float64(l.capacity()) * (brittlePlay - brittleFrom - brittleContact).Seconds()
	use := float64(used) / full
	t.Logf("seed %d: %d daemons, %d of %d servers brittle, load %.1f: %d falls (%s), %d of %d served, %.2f of the capacity used", l.seed, len(l.ips), l.play.brittle, len(l.servers), l.play.load, falls, strings.Join(counts, " "), served, len(l.replies), use)
	c.Check(float64(falls) <= allowed, qt.IsTrue, qt.Commentf("seed %d: %d falls, allowed %v", l.seed, falls, allowed))
	c.Check(use >= minBrittleUse*min(1, l.play.load), qt.IsTrue, qt.Commentf("seed %d: %.2f of the capacity used", l.seed, use))
}

// TestServersThatAreBrittleStayUp guards against daemons that each send to a brittle server what it
// has no room for, so that it falls over, and against servers that stand idle.
func TestServersThatAreBrittleStayUp(t *testing.T) {
	for name, p := range map[string]brittleServers{
		"ordinary load":   {daemons: 8, brittle: 3, sound: 1, declines: 10, load: 0.4},
		"more than fits":  {daemons: 8, brittle: 3, sound: 1, declines: 10, load: 1.6},
		"all brittle":     {daemons: 8, brittle: 4, declines: 10, load: 1.6},
		"three times":     {daemons: 8, brittle: 4, declines: 10, load: 3},
		"daemons die":     {daemons: 9, brittle: 4, declines: 10, load: 1.6, trouble: leavingPlays["most daemons die"]},
		"a zone is alone": {daemons: 9, brittle: 4, declines: 10, load: 1.6, trouble: leavingPlays["a zone is cut off from the others"]},
	} {
		t.Run(name, p.run)
	}
	if raceDetector {
		return
	}
	t.Run("60 daemons", brittleServers{daemons: 60, brittle: 4, sound: 1, declines: 10, load: 1.6}.run)
}

// TestBrittleServersThatSeldomDeclineStayUp guards against limits that are learned too late from servers that
// decline few requests before they fall.
func TestBrittleServersThatSeldomDeclineStayUp(t *testing.T) {
	brittleServers{daemons: 8, brittle: 4, declines: 4, load: 1.6}.run(t)
}
