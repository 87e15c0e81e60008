package onplatform

import (
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
	// cutAt is when daemons are cut off, from the begin of the play.
	cutAt = 3 * time.Second
	// outOfStepStreams is the number of streams, one of which begins each outOfStepGap.
	outOfStepStreams = 160
	outOfStepGap     = 75 * time.Millisecond
	// outOfStepEvents and outOfStepInterval make a stream last 2 s.
	outOfStepEvents   = 40
	outOfStepInterval = 50 * time.Millisecond
)

// outOfStepPlay is a play in which daemons are cut off while servers of v1 are replaced by those of v2.
type outOfStepPlay struct {
	daemons int
	// cut returns the daemons that are cut off, for cutFor.
	cut    func(s *streamsBed) []int
	cutFor time.Duration
	// isolate cuts a daemon off from an address, and rejoin ends that.
	isolate, rejoin func(s *streamsBed, daemon, other string)
	// withStore is set if the daemons are cut off from the store as well.
	withStore bool
	// retire takes the servers of v1 out of service.
	retire func(s *streamsBed)
	// withinZone is set if all streams begin at the daemons that are cut off.
	withinZone bool
}

func silence(s *streamsBed, daemon, other string) { s.net.Silence(daemon, other) }
func speak(s *streamsBed, daemon, other string)   { s.net.Speak(daemon, other) }
func cut(s *streamsBed, daemon, other string)     { s.net.Cut(daemon, other) }
func heal(s *streamsBed, daemon, other string)    { s.net.Heal(daemon, other) }

func lastDaemon(s *streamsBed) []int { return []int{len(s.ips) - 1} }

func halfOfTheDaemons(s *streamsBed) []int {
	var half []int
	for i := len(s.ips) / 2; i < len(s.ips); i++ {
		half = append(half, i)
	}
	return half
}

// firstZone returns the daemons of an availability zone.
func firstZone(s *streamsBed) []int {
	var of []int
	for i, d := range s.daemons {
		if s.zoneOf(d) == zoneNames[0] {
			of = append(of, i)
		}
	}
	return of
}

// keepV1 leaves the servers of v1 in service.
func keepV1(*streamsBed) {}

// drainV1 lets all servers of v1 leave.
func drainV1(s *streamsBed) { s.drainVersion("v1", serversPerVersion, 0) }

// removeV1 removes the entries of the servers of v1, which go on running.
func removeV1(s *streamsBed) {
	for _, server := range s.ready("v1", time.Now()) {
		s.mu.Lock()
		server.drains = time.Now()
		s.mu.Unlock()
		s.store.Remove("servers", server.ID)
	}
}

// drainAndRemoveV1 lets the servers of v1 leave and removes their entries a second later.
func drainAndRemoveV1(s *streamsBed) {
	leaving := s.ready("v1", time.Now())
	drainV1(s)
	time.Sleep(time.Second)
	for _, server := range leaving {
		s.store.Remove("servers", server.ID)
	}
}

func (p outOfStepPlay) run(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*versionSeeds) {
		p.runSeed(t, *versionFirst+seed)
	}
}

func (p outOfStepPlay) runSeed(t *testing.T, seed uint64) {
	s := &streamsBed{
		seed: seed, servers: map[string][]*versionedServer{},
		leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 49)), luck: rand.New(rand.NewPCG(seed, 50)), touched: map[int][]time.Time{}},
	}
	runAlone(t, p.daemons, func(b *bed) {
		s.bed = b
		b.places = map[string]string{}
		b.withoutRollOuts = true
		b.store.SetPageSize(500)
		for range serversPerVersion {
			s.addBreaking("v1", p.breaksOfV1())
		}
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(*bed) {
		p.playOut(s)
		p.check(t, s)
	})
}

// breaksOfV1 is the share of their streams that servers of v1 break.
func (p outOfStepPlay) breaksOfV1() float64 {
	if p.withinZone {
		return 0.3
	}
	return 0
}

// addBreaking starts a server of a version that breaks a share of its streams.
func (s *streamsBed) addBreaking(version string, breaks float64) {
	s.mu.Lock()
	s.started++
	n := s.started
	random := rand.New(rand.NewPCG(s.seed, uint64(100+n)))
	var mu sync.Mutex
	server := &versionedServer{start: time.Now(), Server: &fake.Server{EventCount: outOfStepEvents, Version: version, Behave: func(int, *http.Request) fake.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		b := fake.Behaviour{Delay: outOfStepInterval}
		if random.Float64() < breaks {
			b.BreakAfter = 1 + random.IntN(outOfStepEvents/2)
		}
		return b
	}}}
	s.servers[version] = append(s.servers[version], server)
	id := fmt.Sprintf("i-%04d", n)
	s.places[id] = fmt.Sprintf("10.5.0.%d:80", n)
	s.mu.Unlock()
	s.startServer(id, server.Server)
	s.listEngine(server, "ready")
}

// playOut lets streams begin at the daemons in touch, and take-ups go to those that are cut off.
func (p outOfStepPlay) playOut(s *streamsBed) {
	time.Sleep(3 * time.Second)
	for _, d := range s.daemons {
		s.ips = append(s.ips, d.ip)
	}
	apart := p.cut(s)
	var running sync.WaitGroup
	running.Go(func() { p.beginAndResume(s, apart) })
	time.Sleep(cutAt)
	p.setLinks(s, apart, p.isolate)
	s.replaceV1(p.retire)
	time.Sleep(p.cutFor)
	p.setLinks(s, apart, p.rejoin)
	running.Wait()
}

// replaceV1 adds servers of v2 and takes those of v1 out of service.
func (s *streamsBed) replaceV1(retire func(s *streamsBed)) {
	for range serversPerVersion {
		s.addBreaking("v2", 0.5)
	}
	go retire(s)
}

// setLinks changes the links of daemons to the others, and to the store.
func (p outOfStepPlay) setLinks(s *streamsBed, apart []int, change func(s *streamsBed, daemon, other string)) {
	for _, i := range apart {
		for j, ip := range s.ips {
			if !slices.Contains(apart, j) {
				change(s, s.ips[i], ip)
			}
		}
		if p.withStore {
			change(s, s.ips[i], storeIP)
		}
	}
}

// beginAndResume begins streams at daemons in touch, or all within the zone, and takes them up at those
// that are cut off.
func (p outOfStepPlay) beginAndResume(s *streamsBed, apart []int) {
	random := rand.New(rand.NewPCG(s.seed, 51))
	from := apart
	if !p.withinZone {
		from = nil
		for i := range s.ips {
			if !slices.Contains(apart, i) {
				from = append(from, i)
			}
		}
	}
	var calling sync.WaitGroup
	for range outOfStepStreams {
		begin, resume := from[random.IntN(len(from))], apart[random.IntN(len(apart))]
		calling.Go(func() { s.receiveAt(begin, resume) })
		time.Sleep(outOfStepGap)
	}
	calling.Wait()
}

// receiveAt receives a stream that begins at one daemon and is taken up at another one.
func (s *streamsBed) receiveAt(begin, resume int) {
	stream := &callerStream{versions: map[string]bool{}}
	deadline := time.Now().Add(streamTimeout)
	daemon := begin
	for range maxTries {
		if time.Until(deadline) <= 0 {
			break
		}
		if try := s.try(stream, daemon, deadline); try.status == http.StatusOK && !try.cut {
			break
		}
		if stream.first != "" {
			daemon = resume
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = append(s.streams, stream)
}

// check counts the streams that hold events of two versions over all tries, and the tries that begin
// and take up a stream.
func (p outOfStepPlay) check(t *testing.T, s *streamsBed) {
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
	if p.withinZone {
		c.Check(resumed.made >= minResumed, qt.IsTrue, qt.Commentf("seed %d: %+v", s.seed, resumed))
		c.Check(resumed.share() >= minResumedRatio*begun.share(), qt.IsTrue, qt.Commentf("seed %d: begun %+v, resumed %+v", s.seed, begun, resumed))
	}
}

// outOfStepPlays are plays by the links that fail.
var outOfStepPlays = map[string]outOfStepPlay{
	"peers silent":           {isolate: silence, rejoin: speak},
	"peers and store reset":  {isolate: cut, rejoin: heal, withStore: true},
	"peers and store silent": {isolate: silence, rejoin: speak, withStore: true},
}

// retirements are what happens to the servers of v1 meanwhile.
var retirements = map[string]func(s *streamsBed){
	"v1 stays": keepV1, "v1 leaves": drainV1, "v1 is removed": removeV1, "v1 leaves and is removed": drainAndRemoveV1,
}

// TestStreamsTakenUpAtDaemonsOutOfStepKeepTheirVersion guards against daemons that resume streams as an
// assignment says that others have replaced.
func TestStreamsTakenUpAtDaemonsOutOfStepKeepTheirVersion(t *testing.T) {
	for links, p := range outOfStepPlays {
		for retirement, retire := range retirements {
			p.daemons, p.retire = 6, retire
			for who, apart := range map[string]func(s *streamsBed) []int{"one daemon": lastDaemon, "half": halfOfTheDaemons} {
				p.cut, p.cutFor = apart, 4*time.Second
				t.Run(who+", "+links+", "+retirement, p.run)
			}
			p.cutFor = 8 * time.Second
			t.Run("half for 8 s, "+links+", "+retirement, p.run)
		}
	}
}

// TestZoneThatIsCutOffGoesOnWithItsStreams guards against take-ups that a zone refuses although its own
// daemons began the streams.
func TestZoneThatIsCutOffGoesOnWithItsStreams(t *testing.T) {
	for links, p := range outOfStepPlays {
		p.daemons, p.retire, p.cut, p.cutFor, p.withinZone = 9, keepV1, firstZone, 8*time.Second, true
		t.Run(links, p.run)
	}
}
