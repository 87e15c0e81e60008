package onplatform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// restartedServers is the number of servers that start again, one each restartGap.
	restartedServers = 6
	restartGap       = 700 * time.Millisecond
	// registerDelay is the time from the start of a server until its entry is written.
	registerDelay = 50 * time.Millisecond
)

// restartingServer is a server whose process may be replaced by one of another version.
type restartingServer struct {
	id      string
	process atomic.Pointer[fake.Server]
}

// ServeHTTP implements http.Handler.
func (r *restartingServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.process.Load().ServeHTTP(w, req)
}

// restartPlay is a play in which servers start again under their IDs at another version.
type restartPlay struct {
	// incarnations is set if servers report when they started.
	incarnations bool
	// cut is set if a daemon is cut off meanwhile, at which broken streams are taken up.
	cut bool
}

func (p restartPlay) run(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*versionSeeds) {
		p.runSeed(t, *versionFirst+seed)
	}
}

func (p restartPlay) runSeed(t *testing.T, seed uint64) {
	s := &streamsBed{
		seed: seed, servers: map[string][]*versionedServer{},
		leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 49)), luck: rand.New(rand.NewPCG(seed, 50)), touched: map[int][]time.Time{}},
	}
	var servers []*restartingServer
	runAlone(t, 6, func(b *bed) {
		s.bed = b
		b.places = map[string]string{}
		b.withoutRollOuts = true
		for i := range restartedServers {
			server := &restartingServer{id: fmt.Sprintf("i-%04d", i)}
			server.process.Store(s.newProcess(server.id, "v1"))
			b.places[server.id] = fmt.Sprintf("10.5.0.%d:80", i+1)
			b.serve(b.places[server.id], server)
			p.list(b, server, "v1", 1)
			servers = append(servers, server)
		}
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(*bed) {
		p.playOut(s, servers)
		p.check(t, s)
	})
}

// newProcess returns a process of a server.
func (s *streamsBed) newProcess(id, version string) *fake.Server {
	s.started++
	random := rand.New(rand.NewPCG(s.seed, uint64(100+s.started)))
	var mu sync.Mutex
	return &fake.Server{ID: id, EventCount: outOfStepEvents, Version: version, Behave: func(int, *http.Request) fake.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		b := fake.Behaviour{Delay: outOfStepInterval}
		if random.Float64() < 0.3 {
			b.BreakAfter = 1 + random.IntN(outOfStepEvents/2)
		}
		return b
	}}
}

// list writes the entry of a server.
func (p restartPlay) list(b *bed, server *restartingServer, version string, started int) {
	entry := map[string]any{
		"service": model, "address": b.serverAddress(server.id), "zone": "zone-1", "version": version, "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": started,
	}
	if p.incarnations {
		entry["born"] = 1000 * started
	}
	b.store.Put("servers", server.id, entry)
}

// restart replaces the process of a server.
func (p restartPlay) restart(s *streamsBed, server *restartingServer) {
	server.process.Store(s.newProcess(server.id, "v2"))
	ip, _, _ := strings.Cut(s.serverAddress(server.id), ":")
	for _, daemon := range s.ips {
		s.net.Cut(daemon, ip)
		s.net.Heal(daemon, ip)
	}
	time.Sleep(registerDelay)
	p.list(s.bed, server, "v2", 2)
}

func (p restartPlay) playOut(s *streamsBed, servers []*restartingServer) {
	time.Sleep(3 * time.Second)
	for _, d := range s.daemons {
		s.ips = append(s.ips, d.ip)
	}
	apart := []int{len(s.ips) - 1}
	links := outOfStepPlay{withStore: true}
	var running sync.WaitGroup
	running.Go(func() { p.callers(s, apart) })
	time.Sleep(cutAt)
	if p.cut {
		links.setLinks(s, apart, silence)
	}
	for _, server := range servers {
		p.restart(s, server)
		time.Sleep(restartGap)
	}
	time.Sleep(time.Second)
	if p.cut {
		links.setLinks(s, apart, speak)
	}
	running.Wait()
}

// callers begin streams at the daemons in touch and take them up at the one that is cut off, or at any.
func (p restartPlay) callers(s *streamsBed, apart []int) {
	random := rand.New(rand.NewPCG(s.seed, 51))
	var calling sync.WaitGroup
	for range outOfStepStreams {
		begin, resume := random.IntN(len(s.ips)-1), apart[0]
		if !p.cut {
			resume = random.IntN(len(s.ips))
		}
		calling.Go(func() { s.receiveAt(begin, resume) })
		time.Sleep(outOfStepGap)
	}
	calling.Wait()
}

func (p restartPlay) check(t *testing.T, s *streamsBed) {
	c := qt.New(t)
	joined := 0
	var begun, resumed streamCounts
	reasons := map[string]int{}
	for _, stream := range s.streams {
		if len(stream.versions) > 1 {
			joined++
		}
		for _, try := range stream.tries {
			counts := &begun
			if try.resumes {
				counts = &resumed
			}
			counts.made++
			if try.fresh > 0 {
				counts.went++
			} else {
				reasons[fmt.Sprintf("%d %.70s", try.status, strings.TrimSpace(try.body))]++
			}
		}
	}
	t.Logf("seed %d: %d streams, %d joined; tries that begin one %+v, that take one up %+v; %v", s.seed, len(s.streams), joined, begun, resumed, reasons)
	c.Check(joined <= maxJoined, qt.IsTrue, qt.Commentf("seed %d: %d of %d streams hold events of two versions", s.seed, joined, len(s.streams)))
}

// TestStreamsOfServersThatStartAgainAtAnotherVersion guards against streams that go on at a server that has
// started again under its ID, at another version than its entry says here.
func TestStreamsOfServersThatStartAgainAtAnotherVersion(t *testing.T) {
	t.Run("incarnations", restartPlay{incarnations: true}.run)
	t.Run("no incarnations", restartPlay{}.run)
}

// TestStreamsOfServersThatStartAgainWhileADaemonIsCutOff is the same for streams that are taken up at a daemon
// that does not get the new entries.
func TestStreamsOfServersThatStartAgainWhileADaemonIsCutOff(t *testing.T) {
	t.Run("incarnations", restartPlay{incarnations: true, cut: true}.run)
	t.Run("no incarnations", restartPlay{cut: true}.run)
}

// oneRestarts runs a test with a server that can start again at v2, and others of v1.
func oneRestarts(t *testing.T, others int, test func(b *bed, restart, list func())) {
	p := restartPlay{incarnations: true}
	server := &restartingServer{id: "i-again"}
	process := func(id, version string) *fake.Server {
		return &fake.Server{ID: id, EventCount: 20, Version: version, Behave: func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: 100 * time.Millisecond} }}
	}
	run(t, 2, func(b *bed) {
		b.withoutRollOuts = true
		server.process.Store(process(server.id, "v1"))
		b.serve(b.serverAddress(server.id), server)
		p.list(b, server, "v1", 1)
		for i := range others {
			other := &restartingServer{id: fmt.Sprintf("i-%d", i)}
			other.process.Store(process(other.id, "v1"))
			b.serve(b.serverAddress(other.id), other)
			p.list(b, other, "v1", 1)
		}
		b.configure(routes{streamRoute("/s/", true, 3)})
	}, func(b *bed) {
		test(b, func() {
			server.process.Store(process(server.id, "v2"))
			ip, _, _ := strings.Cut(b.serverAddress(server.id), ":")
			for _, d := range b.daemons {
				b.net.Cut(d.ip, ip)
				b.net.Heal(d.ip, ip)
			}
		}, func() { p.list(b, server, "v2", 2) })
	})
}

// versionsIn returns the versions of the events of an answer.
func versionsIn(body string) map[string]bool {
	versions := map[string]bool{}
	for _, event := range streamEvent.FindAllStringSubmatch(body, -1) {
		versions[event[2]] = true
	}
	return versions
}

// TestStreamDoesNotGoOnAtItsServerThatStartedAgain guards against an answer that goes on at the only server of
// its version, which has just started again at another one.
func TestStreamDoesNotGoOnAtItsServerThatStartedAgain(t *testing.T) {
	oneRestarts(t, 0, func(b *bed, restart, list func()) {
		got := make(chan reply, 1)
		go func() { got <- b.send(streamCall(0, nil)) }()
		time.Sleep(550 * time.Millisecond)
		restart()
		time.Sleep(time.Second)
		list()
		first := <-got
		b.Check(first.cut, qt.IsTrue)
		b.Check(versionsIn(first.body), qt.DeepEquals, map[string]bool{"v1": true})
	})
}

// TestStreamOfAServerThatIsListedAtAnotherVersionLaterDoesNotGoOn guards against a stream that began at a server
// whose entry was outdated, and goes on at the version of that entry.
func TestStreamOfAServerThatIsListedAtAnotherVersionLaterDoesNotGoOn(t *testing.T) {
	oneRestarts(t, 1, func(b *bed, restart, list func()) {
		restart()
		var replies []reply
		var calling sync.WaitGroup
		var mu sync.Mutex
		for range 8 {
			calling.Go(func() {
				r := b.send(streamCall(0, nil))
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, r)
			})
		}
		time.Sleep(550 * time.Millisecond)
		list()
		calling.Wait()
		broken := 0
		for _, r := range replies {
			b.Check(versionsIn(r.body), qt.HasLen, 1)
			if !versionsIn(r.body)["v2"] {
				continue
			}
			broken++
			time.Sleep(200 * time.Millisecond)
			for to := range 2 {
				rest := b.send(streamCall(to, map[string]string{"Resumes": r.id, "Last-Event-Id": "5"}))
				b.Check(rest.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("daemon %d", to))
			}
		}
		b.Check(broken > 0, qt.IsTrue)
	})
}
