package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The plays are of whole deployments in steps of virtual time: daemons in zones, whose leads
// pass on what each knows, and servers that end under some requests.
const (
	simStep = 20 * time.Millisecond
	// crashLatency is how long a server runs a request that ends it, answerLatency how long an
	// answer takes, away how long a server that ended is away.
	crashLatency   = 80 * time.Millisecond
	answerLatency  = 600 * time.Millisecond
	serverDowntime = 3 * time.Second
	// propagationLimit is how long after its third server has ended daemons may not know of a request.
	propagationLimit = 3 * time.Second
	// snapshotInterval is how often what is known is kept in the store.
	snapshotInterval = 500 * time.Millisecond
)

type simDaemon struct {
	zone      int
	q         *Quarantine
	suspended bool
}

type simServer struct {
	id          ServerInstance
	availableAt time.Time
}

// attempt is a request on its way.
type attempt struct {
	daemon    int
	digest    Digest
	server    int
	sentAt    time.Time
	endsAt    time.Time
	triesLeft int
}

// scenario says what happens in a play.
type scenario struct {
	daemonCount, zoneCount, serverCount int
	// poisonRequests are requests that end servers, every the time between two copies of one.
	poisonRequests int
	poisonInterval time.Duration
	// callsPerSecond are innocent requests a second; a tenth ask the same.
	callsPerSecond int
	duration       time.Duration
	// onStep is called at each step.
	onStep func(p *simulation, now time.Time)
}

type simulation struct {
	scenario
	rng            *rand.Rand
	gossipInterval time.Duration
	daemons        []*simDaemon
	servers        []simServer
	inFlight       []attempt
	cutZone        int
	snapshot       []Report
	snapshotAt     time.Time
	nextInstance   ServerInstance
	nextDigest     Digest

	exits          map[Digest][]time.Time
	sends          map[Digest][]time.Time
	falsePositives int
}

func isPoison(content Digest) bool { return content < 100 }

// commonDigest is what many ask for.
const commonDigest = Digest(500)

func newSimulation(s scenario, seed uint64) *simulation {
	p := &simulation{
		scenario: s, rng: rand.New(rand.NewPCG(seed, 7)), cutZone: -1, nextDigest: 1000,
		gossipInterval: min(400*time.Millisecond, max(150*time.Millisecond, time.Duration(s.daemonCount)*5*time.Millisecond)),
		exits:          map[Digest][]time.Time{}, sends: map[Digest][]time.Time{},
	}
	for i := range s.daemonCount {
		p.daemons = append(p.daemons, &simDaemon{zone: i % s.zoneCount, q: New()})
	}
	for range s.serverCount {
		p.nextInstance++
		p.servers = append(p.servers, simServer{id: p.nextInstance})
	}
	return p
}

// run plays the script.
func (p *simulation) run() {
	poisonAt := make([]time.Time, p.poisonRequests)
	for now := start; now.Before(start.Add(p.duration)); now = now.Add(simStep) {
		if p.onStep != nil {
			p.onStep(p, now)
		}
		for i := range poisonAt {
			if now.Sub(start) > 2*time.Second && !now.Before(poisonAt[i]) {
				poisonAt[i] = now.Add(p.poisonInterval/2 + time.Duration(p.rng.Int64N(int64(p.poisonInterval))))
				p.send(Digest(i), 2, now)
			}
		}
		for range p.callsPerSecond * int(simStep) / int(time.Second) {
			content := commonDigest
			if p.rng.IntN(10) > 0 {
				p.nextDigest++
				content = p.nextDigest
			}
			p.send(content, 4, now)
		}
		p.completeDue(now)
		p.gossip(now)
	}
}

// randomRunningDaemon returns a daemon that runs.
func (p *simulation) randomRunningDaemon() int {
	for {
		if i := p.rng.IntN(len(p.daemons)); !p.daemons[i].suspended {
			return i
		}
	}
}

// send sends a request to a server from some daemon, as often as its tries allow.
func (p *simulation) send(content Digest, tries int, now time.Time) {
	p.sendFrom(p.randomRunningDaemon(), content, tries, now, false)
}

func (p *simulation) sendFrom(daemon int, content Digest, tries int, now time.Time, again bool) {
	q := p.daemons[daemon].q
	if q.Blocked(content, now) {
		if !isPoison(content) {
			p.falsePositives++
		}
		return
	}
	if again && q.Suspected(content) {
		return
	}
	server := p.rng.IntN(len(p.servers))
	for range p.servers {
		if now.After(p.servers[server].availableAt) {
			break
		}
		server = (server + 1) % len(p.servers)
	}
	if !now.After(p.servers[server].availableAt) {
		return
	}
	takes := answerLatency/2 + time.Duration(p.rng.Int64N(int64(answerLatency)))
	if isPoison(content) {
		takes = crashLatency
		p.sends[content] = append(p.sends[content], now)
	}
	p.inFlight = append(p.inFlight, attempt{daemon: daemon, digest: content, server: server, sentAt: now, endsAt: now.Add(takes), triesLeft: tries - 1})
}

// completeDue ends what has come to its end: answers, and servers under requests.
func (p *simulation) completeDue(now time.Time) {
	for _, a := range slices.Clone(p.inFlight) {
		if now.Before(a.endsAt) || !slices.Contains(p.inFlight, a) {
			continue
		}
		if isPoison(a.digest) {
			p.exits[a.digest] = append(p.exits[a.digest], now)
			p.crashServer(a.server, now)
			continue
		}
		p.daemons[a.daemon].q.RecordAnswer(a.digest, now)
		p.inFlight = slices.DeleteFunc(p.inFlight, func(b attempt) bool { return b == a })
	}
}

// crashServer ends a server, with all that it has.
func (p *simulation) crashServer(server int, now time.Time) {
	id := p.servers[server].id
	lost := map[int][]LostRequest{}
	var broken []attempt
	p.inFlight = slices.DeleteFunc(p.inFlight, func(a attempt) bool {
		if a.server != server {
			return false
		}
		broken = append(broken, a)
		lost[a.daemon] = append(lost[a.daemon], LostRequest{Digest: a.digest, SentAt: a.sentAt})
		return true
	})
	p.nextInstance++
	p.servers[server] = simServer{id: p.nextInstance, availableAt: now.Add(serverDowntime)}
	for daemon, requests := range lost {
		p.daemons[daemon].q.RecordExit(id, requests, now, now)
	}
	for _, a := range broken {
		switch {
		case a.triesLeft == 0:
		case a.triesLeft%2 == 1:
			p.sendFrom(a.daemon, a.digest, a.triesLeft, now, true)
		default:
			// The caller comes again.
			p.send(a.digest, a.triesLeft, now)
		}
	}
}

// gossip passes on what is known, from each daemon to its zone's lead, between leads and back;
// each takes a part of the round in turn.
func (p *simulation) gossip(now time.Time) {
	settled := 2*p.gossipInterval + 100*time.Millisecond
	if now.Sub(p.snapshotAt) >= snapshotInterval {
		p.snapshotAt = now
		p.snapshot = p.zoneLead(0).q.Snapshot(now)
		p.exchangeViaStore(now)
	}
	part := int(now.Sub(start)/simStep) % max(1, int(p.gossipInterval/simStep))
	for i, d := range p.daemons {
		if d.suspended {
			continue
		}
		if i%max(1, int(p.gossipInterval/simStep)) != part {
			continue
		}
		d.q.Evaluate(now, settled)
		lead := p.zoneLead(d.zone)
		if lead != d {
			lead.q.Merge(d.q.Reports(now), 0, now)
			d.q.Merge(lead.q.Reports(now), 0, now)
		}
		for zone := range p.zoneCount {
			if other := p.zoneLead(zone); lead == d && zone != d.zone && (zone == p.cutZone) == (d.zone == p.cutZone) {
				other.q.Merge(d.q.Reports(now), 0, now)
			}
		}
	}
}

// exchangeViaStore passes on what the leads know through the store while a zone is cut off.
func (p *simulation) exchangeViaStore(now time.Time) {
	for zone := range p.zoneCount {
		if from := p.zoneLead(zone); p.cutZone >= 0 && zone != p.cutZone {
			from.q.Merge(p.zoneLead(p.cutZone).q.Reports(now), 0, now)
			p.zoneLead(p.cutZone).q.Merge(from.q.Reports(now), 0, now)
		}
	}
}

// zoneLead returns the first daemon of a zone that runs, or one of another zone.
func (p *simulation) zoneLead(zone int) *simDaemon {
	for _, d := range p.daemons {
		if d.zone == zone && !d.suspended {
			return d
		}
	}
	return p.daemons[p.randomRunningDaemon()]
}

// restartDaemon starts a daemon anew, with what the store keeps.
func (p *simulation) restartDaemon(i int, now time.Time) {
	p.daemons[i].q = New()
	p.daemons[i].q.Merge(p.snapshot, now.Sub(p.snapshotAt), now)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(a attempt) bool { return a.daemon == i })
}

// lateSends returns how often a request reached servers after its third had ended and daemons had
// the time to learn of it.
func (p *simulation) lateSends(content Digest) int {
	ended := p.exits[content]
	if len(ended) < minConsecutiveExits {
		return 0
	}
	count := 0
	for _, at := range p.sends[content] {
		if at.Sub(ended[minConsecutiveExits-1]) > propagationLimit {
			count++
		}
	}
	return count
}

// faults are what happens beside the requests.
var faults = map[string]func(p *simulation, now time.Time){
	"calm": nil,
	"daemons die": func(p *simulation, now time.Time) {
		if now.Sub(start)%(500*time.Millisecond) == 0 {
			p.restartDaemon(p.randomRunningDaemon(), now)
		}
	},
	"all daemons die": func(p *simulation, now time.Time) {
		if at := now.Sub(start); at == 8*time.Second || at == 16*time.Second {
			for i := range p.daemons {
				p.restartDaemon(i, now)
			}
		}
	},
	"a zone is cut off": func(p *simulation, now time.Time) {
		p.cutZone = -1
		if at := now.Sub(start); at > time.Second && at < 9*time.Second {
			p.cutZone = 1
		}
	},
	"racks are lost": func(p *simulation, now time.Time) {
		if now.Sub(start)%(5*time.Second) == 0 {
			for i := range p.servers {
				if i%5 == 0 && now.After(p.servers[i].availableAt) {
					p.crashServer(i, now)
				}
			}
		}
	},
	"servers flap": func(p *simulation, now time.Time) {
		if now.Sub(start)%(300*time.Millisecond) == 0 {
			if i := p.rng.IntN(len(p.servers)); now.After(p.servers[i].availableAt) {
				p.crashServer(i, now)
			}
		}
	},
	"daemons are suspended": func(p *simulation, now time.Time) {
		at := now.Sub(start)
		for i, d := range p.daemons {
			// What a suspended daemon knows stands still, and so does its steady clock.
			d.suspended = i%5 == 2 && at%(7*time.Second) > 2*time.Second
		}
	},
}

var (
	seedCount = flag.Int("quarantine.seeds", 1, "number of seeds for each play")
	firstSeed = flag.Uint64("quarantine.first", 1, "first of these seeds")
)

// TestPlays: at 8, 70 and 300 daemons a request that ends servers is held back in time, and no
// other is, whatever else happens.
func TestPlays(t *testing.T) {
	sizes := []scenario{
		{daemonCount: 8, zoneCount: 3, serverCount: 9, callsPerSecond: 50},
		{daemonCount: 70, zoneCount: 3, serverCount: 60, callsPerSecond: 150},
		{daemonCount: 300, zoneCount: 5, serverCount: 165, callsPerSecond: 250},
	}
	for _, size := range sizes {
		for name, happens := range faults {
			for _, poisons := range []int{0, 1, 2} {
				t.Run(fmt.Sprintf("%d daemons, %d such requests, %s", size.daemonCount, poisons, name), func(t *testing.T) {
					t.Parallel()
					s := size
					s.poisonRequests, s.poisonInterval, s.duration, s.onStep = poisons, 500*time.Millisecond, 24*time.Second, happens
					for seed := range uint64(*seedCount) {
						p := newSimulation(s, *firstSeed+seed)
						p.run()
						checkSimulation(t, p, *firstSeed+seed)
					}
				})
			}
		}
	}
}

func checkSimulation(t *testing.T, p *simulation, seed uint64) {
	c := qt.New(t)
	for i := range p.poisonRequests {
		late := p.lateSends(Digest(i))
		t.Logf("seed %d: %d servers ended, reached %d, %d late", seed, len(p.exits[Digest(i)]), len(p.sends[Digest(i)]), late)
		c.Check(late <= 3, qt.IsTrue, qt.Commentf("seed %d: reached servers %d times after its third had ended", seed, late))
	}
	c.Check(p.falsePositives, qt.Equals, 0, qt.Commentf("seed %d: innocent requests were held back", seed))
}
