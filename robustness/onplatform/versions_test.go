package onplatform

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// streamEvents and eventInterval make a stream last 1.6 s; callers wait streamTimeout for it.
	streamEvents  = 40
	eventInterval = 40 * time.Millisecond
	streamTimeout = 12 * time.Second
	// streamsPlay is how long callers begin streams.
	streamsPlay = 12 * time.Second
	// maxJoined is the number of streams that may hold events of two versions. minResumedRatio is the
	// least share of the streams taken up again that must go on, as a part of the share of new streams
	// that begin. It holds from minResumed such streams on, for versions of minVersionServers.
	maxJoined         = 2
	minResumedRatio   = 0.5
	minResumed        = 12
	minVersionServers = 2
	// serversPerVersion is the number of servers of each version at first.
	serversPerVersion = 4
)

var (
	versionSeeds   = flag.Int("versions.seeds", 1, "number of seeds for plays of streams over several versions")
	versionFirst   = flag.Uint64("versions.first", 1, "first of these seeds")
	versionDaemons = flag.Int("versions.daemons", 0, "number of daemons in these plays, in place of that of each")
)

// streamsPlayed is a play of streams that break while servers of several versions serve.
type streamsPlayed struct {
	daemons  int
	versions []string
	// breaks is the share of streams that servers break.
	breaks float64
	// fixedTimeout makes callers state the same timeout in each try.
	fixedTimeout bool
	rollOuts     bool
	// moves lets servers copy the memory of running streams to each other.
	moves bool
	// badCandidate makes servers of v2 fail half of the requests.
	badCandidate bool
	// changes lets servers come and go, trouble happens to daemons and the store.
	changes func(s *streamsBed)
	trouble func(l *leavingBed)
}

// streamsBed is a deployment under such a play.
type streamsBed struct {
	*leavingBed
	play  streamsPlayed
	seed  uint64
	moves fake.Moves

	mu      sync.Mutex
	servers map[string][]*versionedServer
	started int
	streams []*callerStream
	// copied is a copy of the store from before the servers changed.
	copied fake.Copy
}

// versionedServer is a server of one version, ready from start until it drains.
type versionedServer struct {
	*fake.Server
	start, drains time.Time
}

// callerStream is what a caller has received of a stream over all its tries.
type callerStream struct {
	// first is the ID of the try that brought the first event.
	first     string
	lastEvent int
	versions  map[string]bool
	tries     []streamTry
}

// streamTry is one try of a stream.
type streamTry struct {
	daemon int
	sent   time.Time
	reply
	// resumes is set if the caller had events before, of the given version.
	resumes bool
	version string
	fresh   int
}

func (p streamsPlayed) run(t *testing.T) {
	if *versionDaemons > 0 {
		p.daemons = *versionDaemons
	}
	if p.daemons <= fewDaemons {
		t.Parallel()
	}
	for seed := range uint64(*versionSeeds) {
		p.runSeed(t, *versionFirst+seed)
	}
}

func (p streamsPlayed) runSeed(t *testing.T, seed uint64) {
	s := &streamsBed{
		play: p, seed: seed, servers: map[string][]*versionedServer{},
		leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 49)), luck: rand.New(rand.NewPCG(seed, 50)), touched: map[int][]time.Time{}},
	}
	runAlone(t, p.daemons, func(b *bed) {
		s.bed = b
		b.places = map[string]string{}
		b.withoutRollOuts = !p.rollOuts
		b.store.SetPageSize(500)
		if p.moves {
			s.moves.CopyTime, s.moves.Keep = 20*time.Millisecond, 5*time.Second
			b.engine = map[string]any{"moves": true, "handleS": 5, "kvTokenBytes": 35136, "linkMbps": 260000}
		}
		for _, version := range p.versions {
			for range serversPerVersion {
				s.addVersion(version)
			}
		}
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(*bed) {
		s.playOut()
		s.check(t)
	})
}

// addVersion starts a server of a version.
func (s *streamsBed) addVersion(version string) {
	s.mu.Lock()
	s.started++
	n := s.started
	server := &versionedServer{Server: &fake.Server{EventCount: streamEvents, Version: version, Behave: s.behave(n, version)}, start: time.Now()}
	s.servers[version] = append(s.servers[version], server)
	id := fmt.Sprintf("i-%04d", n)
	s.places[id] = fmt.Sprintf("10.5.0.%d:80", n)
	s.mu.Unlock()
	if s.play.moves {
		s.moves.Add(s.serverAddress(id), server.Server)
	}
	s.startServer(id, server.Server)
	s.listEngine(server, "ready")
}

// drainVersion lets the given number of servers of a version leave, one every interval.
func (s *streamsBed) drainVersion(version string, count int, interval time.Duration) {
	for _, server := range s.ready(version, time.Now())[:count] {
		time.Sleep(interval)
		s.mu.Lock()
		server.drains = time.Now()
		s.mu.Unlock()
		s.listEngine(server, "draining")
	}
}

// ready returns the servers of a version that were ready at a time.
func (s *streamsBed) ready(version string, at time.Time) (ready []*versionedServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers[version] {
		if !server.start.After(at) && (server.drains.IsZero() || server.drains.After(at)) {
			ready = append(ready, server)
		}
	}
	return ready
}

func (s *streamsBed) listEngine(server *versionedServer, state string) {
	s.store.Put("servers", server.ID, map[string]any{
		"service": model, "address": s.serverAddress(server.ID), "zone": "zone-1", "version": server.Version, "slots": 64, "state": state, "coldLeftMs": 0, "seq": 1,
	})
}

func (s *streamsBed) behave(server int, version string) func(int, *http.Request) fake.Behaviour {
	random := rand.New(rand.NewPCG(s.seed, uint64(100+server)))
	var mu sync.Mutex
	return func(int, *http.Request) fake.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		b := fake.Behaviour{Delay: eventInterval}
		if s.play.badCandidate && version == "v2" && random.Float64() < 0.5 {
			b.Status = http.StatusInternalServerError
		}
		if random.Float64() < s.play.breaks {
			b.BreakAfter = 1 + random.IntN(streamEvents/2)
		}
		return b
	}
}

// playOut lets callers begin streams while servers change and trouble happens.
func (s *streamsBed) playOut() {
	time.Sleep(3 * time.Second)
	for _, d := range s.daemons {
		s.ips = append(s.ips, d.ip)
	}
	begun := time.Now()
	var running sync.WaitGroup
	running.Go(s.callers)
	if s.play.changes != nil {
		running.Go(func() { s.play.changes(s) })
	}
	if s.play.trouble != nil {
		s.play.trouble(s.leavingBed)
	}
	time.Sleep(max(0, streamsPlay-time.Since(begun)))
	running.Wait()
}

// callers begin streams at the rate of ten a second, and of more where there are many daemons.
func (s *streamsBed) callers() {
	count := 120 + 2*len(s.ips)
	random := rand.New(rand.NewPCG(s.seed, 51))
	var calling sync.WaitGroup
	for range count {
		seed := random.Uint64()
		calling.Go(func() { s.receive(rand.New(rand.NewPCG(seed, 52))) })
		time.Sleep(streamsPlay / time.Duration(count))
	}
	calling.Wait()
}

// maxTries is how often a caller tries.
const maxTries = 6

// receive receives a stream, at another daemon after each try that breaks or is refused.
func (s *streamsBed) receive(random *rand.Rand) {
	stream := &callerStream{versions: map[string]bool{}}
	deadline := time.Now().Add(streamTimeout)
	for range maxTries {
		if time.Until(deadline) <= 0 {
			break
		}
		daemon := random.IntN(len(s.ips))
		if try := s.try(stream, daemon, deadline); try.status == http.StatusOK && !try.cut {
			break
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = append(s.streams, stream)
}

func (s *streamsBed) try(stream *callerStream, daemon int, deadline time.Time) streamTry {
	limit := time.Until(deadline)
	if s.play.fixedTimeout {
		limit = streamTimeout
	}
	return s.tryWith(stream, daemon, limit, deadline)
}

// tryWith makes a try that states a time limit, or none if it is zero.
func (s *streamsBed) tryWith(stream *callerStream, daemon int, limit time.Duration, deadline time.Time) streamTry {
	c := call{method: "POST", path: "/s/x", key: testKey, ip: s.ips[daemon], tokens: "150,60", deadline: limit, header: map[string]string{}}
	try := streamTry{daemon: daemon, sent: time.Now(), resumes: stream.first != ""}
	for version := range stream.versions {
		try.version = version
	}
	if try.resumes {
		c.header["Resumes"], c.header["Last-Event-Id"] = stream.first, fmt.Sprint(stream.lastEvent)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	try.reply = s.sendCtx(ctx, c)
	if try.status == http.StatusOK {
		try.fresh = stream.add(try.id, try.body)
	}
	stream.tries = append(stream.tries, try)
	return try
}

var streamEvent = regexp.MustCompile(`id: (\d+)\ndata: token \d+ of (\S+)\n\n`)

// add adds the events of a try and returns their number.
func (c *callerStream) add(id, body string) (fresh int) {
	for _, event := range streamEvent.FindAllStringSubmatch(body, -1) {
		if c.first == "" {
			c.first = id
		}
		c.lastEvent++
		c.versions[event[2]] = true
		fresh++
	}
	return fresh
}

// streamCounts are the streams for which tries of one kind were made, and those of them that got
// events in such a try.
type streamCounts struct{ made, went int }

func (c *streamCounts) add(more streamCounts) { c.made, c.went = c.made+more.made, c.went+more.went }

func (c streamCounts) share() float64 { return float64(c.went) / float64(max(1, c.made)) }

// check counts the streams that hold events of two versions, and the tries that take up a stream.
func (s *streamsBed) check(t *testing.T) {
	c := qt.New(t)
	joined := 0
	var begun, resumed, unavailable streamCounts
	reasons := map[string]int{}
	for _, stream := range s.streams {
		if len(stream.versions) > 1 {
			joined++
		}
		var first, again, gone streamCounts
		for _, try := range stream.tries {
			if !s.inTouchFor(try) {
				continue
			}
			counts := &first
			switch {
			case try.resumes && len(s.ready(try.version, try.sent)) < minVersionServers:
				counts = &gone
			case try.resumes:
				counts = &again
			}
			counts.made = 1
			if try.fresh > 0 {
				counts.went = 1
			} else if try.resumes {
				reasons[fmt.Sprintf("%d %.70s", try.status, strings.TrimSpace(try.body))]++
			}
		}
		begun.add(first)
		resumed.add(again)
		unavailable.add(gone)
	}
	t.Logf("seed %d: %d daemons, %d streams, %d joined; begun %+v, resumed %+v, of versions without two servers %+v; %v",
		s.seed, len(s.ips), len(s.streams), joined, begun, resumed, unavailable, reasons)
	c.Check(joined <= maxJoined, qt.IsTrue, qt.Commentf("seed %d: %d of %d streams hold events of two versions", s.seed, joined, len(s.streams)))
	c.Check(resumed.made < minResumed || resumed.share() >= minResumedRatio*begun.share(), qt.IsTrue, qt.Commentf("seed %d: resumed %+v, begun %+v", s.seed, resumed, begun))
	if s.play.moves {
		moved := 0
		for _, servers := range s.servers {
			for _, server := range servers {
				moved += server.CopiesTaken()
			}
		}
		t.Logf("seed %d: %d streams moved", s.seed, moved)
		c.Check(moved > 0, qt.IsTrue)
	}
	c.Check(begun.share() >= 0.9, qt.IsTrue, qt.Commentf("seed %d: begun %+v", s.seed, begun))
}

// inTouchFor reports whether a try was made at a daemon to which nothing had happened lately. A try
// without a status was made at one that may have been down for longer.
func (s *streamsBed) inTouchFor(try streamTry) bool {
	from := try.sent
	if try.status == 0 {
		from = from.Add(-longestDown)
	}
	return !within(s.touched[try.daemon], from, try.sent.Add(time.Millisecond))
}

// someDie kills a share of the daemons at the given times.
func someDie(share float64, at ...time.Duration) func(l *leavingBed) {
	return func(l *leavingBed) {
		began := time.Now()
		for _, when := range at {
			time.Sleep(when - time.Since(began))
			l.loseFor(700*time.Millisecond, false, l.luck.Perm(len(l.daemons))[:max(1, int(share*float64(len(l.daemons))))]...)
		}
	}
}

// thirdVersionComes starts servers of a third version while two of each other version leave.
func thirdVersionComes(s *streamsBed) {
	time.Sleep(2 * time.Second)
	for range serversPerVersion {
		time.Sleep(300 * time.Millisecond)
		s.addVersion("v3")
	}
	for _, version := range s.play.versions {
		s.drainVersion(version, 2, 300*time.Millisecond)
	}
}

// versionIsReplaced replaces the servers of the first version by those of another one within two
// seconds and a half.
func versionIsReplaced(s *streamsBed) {
	time.Sleep(3 * time.Second)
	for range serversPerVersion {
		s.addVersion("v3")
		s.drainVersion(s.play.versions[0], 1, 600*time.Millisecond)
	}
}

// versionsComeAndGo replaces one version after the other.
func versionsComeAndGo(s *streamsBed) {
	versionIsReplaced(s)
	time.Sleep(2 * time.Second)
	for range serversPerVersion {
		s.addVersion("v4")
		s.drainVersion("v3", 1, 400*time.Millisecond)
	}
}

// rollOut orders the second version, whose servers start beside the old ones, and does what the
// platform does at the end.
func rollOut(s *streamsBed) {
	time.Sleep(time.Second)
	old := s.play.versions[0]
	s.store.Put("rollouts", model, map[string]any{"service": model, "to": "v2", "durationS": rollOutFor.Seconds()})
	for range serversPerVersion {
		s.addVersion("v2")
	}
	for range int(streamsPlay / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		var status struct{ State string }
		if raw := s.store.Status("rollouts", model); raw != nil {
			s.decode(raw, &status)
		}
		switch status.State {
		case "completed":
			s.stopVersion(old)
			return
		case "rolled_back":
			time.Sleep(2 * time.Second)
			s.drainVersion("v2", serversPerVersion, 0)
			return
		}
	}
}

// stopVersion stops the servers of a version at once.
func (s *streamsBed) stopVersion(version string) {
	for _, server := range s.ready(version, time.Now()) {
		s.mu.Lock()
		server.drains = time.Now()
		s.mu.Unlock()
		s.store.Remove("servers", server.ID)
		ip, _, _ := strings.Cut(s.serverAddress(server.ID), ":")
		for _, daemon := range s.ips {
			s.net.Cut(daemon, ip)
		}
	}
}

// bothTroubles combines two troubles, one after the other.
func bothTroubles(first, second func(l *leavingBed)) func(l *leavingBed) {
	return func(l *leavingBed) {
		first(l)
		second(l)
	}
}

var twoVersions, threeVersions = []string{"v1", "v2"}, []string{"v1", "v1.1", "v2"}

// streamPlays are the plays of streams over several versions, by name.
var streamPlays = map[string]streamsPlayed{
	"servers break streams":                     {versions: twoVersions, breaks: 0.4},
	"servers break streams of three":            {versions: threeVersions, breaks: 0.4},
	"one daemon dies":                           {versions: twoVersions, trouble: someDie(0.1, 4*time.Second, 7*time.Second)},
	"half of the daemons die":                   {versions: threeVersions, trouble: someDie(0.5, 4*time.Second, 9*time.Second)},
	"all daemons die":                           {versions: twoVersions, trouble: someDie(1, 4*time.Second)},
	"all daemons die twice, streams break":      {versions: threeVersions, breaks: 0.1, trouble: someDie(1, 4*time.Second, 9*time.Second)},
	"callers state a fixed timeout":             {versions: twoVersions, breaks: 0.2, fixedTimeout: true, changes: thirdVersionComes, trouble: someDie(0.5, 5*time.Second, 8*time.Second)},
	"all die as a third version comes":          {versions: twoVersions, changes: thirdVersionComes, trouble: bothTroubles(someDie(1, 4*time.Second), someDie(0.5, 3*time.Second))},
	"half die as a version is replaced":         {versions: twoVersions, breaks: 0.1, changes: versionIsReplaced, trouble: someDie(0.5, 4500*time.Millisecond, 6500*time.Millisecond, 9*time.Second)},
	"all die as versions come and go":           {versions: twoVersions, breaks: 0.1, changes: versionsComeAndGo, trouble: someDie(1, 5*time.Second, 9*time.Second)},
	"a version comes where there was one":       {versions: []string{"v1"}, breaks: 0.1, changes: versionIsReplaced, trouble: someDie(0.5, 5*time.Second, 8*time.Second)},
	"a zone is cut off as a version comes":      {versions: twoVersions, breaks: 0.1, changes: thirdVersionComes, trouble: bothTroubles(leavingPlays["a zone is cut off from the others"], someDie(0.5, time.Second))},
	"the store is away as a version comes":      {versions: twoVersions, breaks: 0.1, changes: thirdVersionComes, trouble: bothTroubles(leavingPlays["the store is away"], someDie(0.5, time.Second))},
	"leads lose power as a version is replaced": {versions: twoVersions, breaks: 0.1, changes: versionIsReplaced, trouble: leavingPlays["leads lose power"]},
}

// TestStreamsOverSeveralVersions guards against streams that hold events of two versions, and against
// resumed streams that are refused although servers of their version are left.
func TestStreamsOverSeveralVersions(t *testing.T) {
	for name, p := range streamPlays {
		p.daemons = 6
		t.Run(name, p.run)
	}
}

// TestVersionsWithoutOrderServeWhereRollOutsAreAllowed guards against daemons that serve only one
// version of a service because the operator could order a roll-out.
func TestVersionsWithoutOrderServeWhereRollOutsAreAllowed(t *testing.T) {
	for name, p := range streamPlays {
		p.daemons, p.rollOuts = 6, true
		t.Run(name, p.run)
	}
}

// TestStreamsDuringARollOut guards against streams that hold events of the stable version and of the
// candidate, whether the roll-out is completed or not.
func TestStreamsDuringARollOut(t *testing.T) {
	for name, p := range map[string]streamsPlayed{
		"calm":                     {},
		"servers break streams":    {breaks: 0.2},
		"half of the daemons die":  {breaks: 0.1, trouble: someDie(0.5, 4*time.Second, 8*time.Second, 10500*time.Millisecond)},
		"all daemons die":          {breaks: 0.1, trouble: someDie(1, 5*time.Second, 10*time.Second)},
		"the candidate is stopped": {breaks: 0.1, badCandidate: true, trouble: someDie(0.5, 4*time.Second, 7*time.Second)},
	} {
		p.daemons, p.rollOuts, p.versions, p.changes = 6, true, []string{"v1"}, rollOut
		t.Run(name, p.run)
	}
}

// streamPlaysAtSize are those that are played with many daemons.
var streamPlaysAtSize = []string{"servers break streams", "half die as a version is replaced", "all die as versions come and go"}

// TestStreamsOverSeveralVersionsOfManyDaemons is the same at 60 and 300 daemons.
func TestStreamsOverSeveralVersionsOfManyDaemons(t *testing.T) {
	if raceDetector {
		// Its runtime bears a bounded number of goroutines in a process.
		return
	}
	for _, daemons := range []int{60, 300} {
		for _, name := range streamPlaysAtSize {
			p := streamPlays[name]
			p.daemons = daemons
			t.Run(fmt.Sprintf("%d daemons, %s", daemons, name), p.run)
		}
	}
}

// twoVersionsServe runs a test with three daemons and two servers of each of two versions.
func twoVersionsServe(t *testing.T, behave func(n int, r *http.Request) fake.Behaviour, test func(b *bed, servers map[string][]*fake.Server)) {
	servers := map[string][]*fake.Server{}
	run(t, 3, func(b *bed) {
		b.withoutRollOuts = true
		for i, version := range []string{"v1", "v1", "v2", "v2"} {
			id := fmt.Sprintf("i-%d", i)
			servers[version] = append(servers[version], b.startServer(id, &fake.Server{EventCount: 12, Version: version, Behave: behave}))
			b.listVersion(id, model, version, "ready")
		}
		b.configure(routes{streamRoute("/s/", true, 3)})
	}, func(b *bed) { test(b, servers) })
}

func streamCall(to int, header map[string]string) call {
	return call{method: "POST", path: "/s/x", key: testKey, to: to, tokens: "150,60", header: header}
}

func TestStreamThatNobodyNamesIsNotJoinedToAnotherVersion(t *testing.T) {
	twoVersionsServe(t, nil, func(b *bed, servers map[string][]*fake.Server) {
		got := b.send(streamCall(0, map[string]string{"Last-Event-Id": "7"}))
		b.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		b.Check(got.header.Get("Retry-After"), qt.Equals, "")
		for _, s := range append(servers["v1"], servers["v2"]...) {
			b.Check(s.Arrivals(), qt.HasLen, 0)
		}
	})
}

func TestTryWithoutEventsBeginsAStreamOfItsOwn(t *testing.T) {
	twoVersionsServe(t, nil, func(b *bed, _ map[string][]*fake.Server) {
		for i := range 20 {
			first := b.send(streamCall(i%3, map[string]string{"Resumes": "of-another-workspace"}))
			b.Assert(first.status, qt.Equals, http.StatusOK)
			version := streamEvent.FindStringSubmatch(first.body)[2]
			rest := b.send(streamCall((i+1)%3, map[string]string{"Resumes": first.id, "Last-Event-Id": "5"}))
			b.Check(rest.status, qt.Equals, http.StatusOK)
			b.Check(streamEvent.FindStringSubmatch(rest.body)[2], qt.Equals, version)
		}
	})
}

func TestStreamOfVersionWithoutServersIsRefusedAtOnce(t *testing.T) {
	twoVersionsServe(t, nil, func(b *bed, _ map[string][]*fake.Server) {
		var begun []reply
		for i := range 20 {
			begun = append(begun, b.send(streamCall(i%3, nil)))
		}
		for i := range 2 {
			b.listVersion(fmt.Sprintf("i-%d", i), model, "v1", "draining")
		}
		time.Sleep(leavingBound + time.Second)
		refused := 0
		for i, first := range begun {
			version := streamEvent.FindStringSubmatch(first.body)[2]
			rest := b.send(streamCall((i+1)%3, map[string]string{"Resumes": first.id, "Last-Event-Id": "5"}))
			if version == "v2" {
				b.Check(rest.status, qt.Equals, http.StatusOK)
				continue
			}
			refused++
			b.Check(rest.status, qt.Equals, http.StatusServiceUnavailable)
			b.Check(rest.header.Get("Retry-After"), qt.Equals, "")
			b.Check(rest.took < 100*time.Millisecond, qt.IsTrue)
		}
		b.Check(refused > 0, qt.IsTrue)
		b.Check(b.send(streamCall(0, nil)).status, qt.Equals, http.StatusOK)
	})
}

func TestStreamIsTakenUpAtTheServiceThatBeganIt(t *testing.T) {
	run(t, 3, func(b *bed) {
		for i, service := range []string{model, model, plain, plain} {
			id := fmt.Sprintf("i-%d", i)
			b.addServer(id, service, &fake.Server{EventCount: 12, Version: service})
		}
		route := streamRoute("/s/", true, 3)
		route["trafficSplit"] = []map[string]any{{"service": model, "weight": 1}, {"service": plain, "weight": 1}}
		b.configure(routes{route})
	}, func(b *bed) {
		services := map[string]bool{}
		for i := range 20 {
			first := b.send(streamCall(i%3, nil))
			b.Assert(first.status, qt.Equals, http.StatusOK)
			service := streamEvent.FindStringSubmatch(first.body)[2]
			services[service] = true
			rest := b.send(streamCall((i+1)%3, map[string]string{"Resumes": first.id, "Last-Event-Id": "5"}))
			b.Check(rest.status, qt.Equals, http.StatusOK)
			b.Check(streamEvent.FindStringSubmatch(rest.body)[2], qt.Equals, service)
		}
		b.Check(services, qt.HasLen, 2)
	})
}
