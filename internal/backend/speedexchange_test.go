package backend

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// speedTest plays the exchange of observations between daemons in three zones, two relays in each, as
// package gossip does it.
type speedTest struct {
	random *rand.Rand
	now    time.Time
	zones  [][]*View
	ids    []string
	// speed is the true speed of a server, by ID. slowUntil is the end of a server's present slow phase.
	speed     map[string]float64
	slowUntil map[string]time.Time
	// phases enables slow phases, in which a server is 2.5 times slower: 0.15 of the servers at a time.
	phases bool
	// bias is the deviation of each daemon's fits, as a factor.
	bias map[*View]float64
	// lost drops all reports. startedAt is when each daemon started.
	lost      bool
	startedAt map[*View]time.Time
	observed  float64
}

const (
	testZones      = 3
	testRelays     = 2
	testInterval   = 400 * time.Millisecond
	testStreamRate = 624.0
)

// unevenSpeeds returns a third of the servers each at 0.7, 0.7 and 1.7.
func unevenSpeeds(i int) float64 { return []float64{0.7, 0.7, 1.7}[i%3] }

func newSpeedTest(daemons, servers int, speed func(i int) float64) *speedTest {
	p := &speedTest{
		random: rand.New(rand.NewPCG(1, uint64(daemons))), now: start, zones: make([][]*View, testZones), speed: map[string]float64{},
		slowUntil: map[string]time.Time{}, bias: map[*View]float64{}, startedAt: map[*View]time.Time{},
	}
	for i := range servers {
		id := fmt.Sprintf("s%04d", i)
		p.ids, p.speed[id] = append(p.ids, id), speed(i)
	}
	for i := range daemons {
		p.zones[i%testZones] = append(p.zones[i%testZones], p.start())
	}
	return p
}

// start returns a daemon that has just started.
func (p *speedTest) start() *View {
	v := modelView(p.ids...)
	p.bias[v], p.startedAt[v] = math.Exp(0.1*p.random.NormFloat64()), p.now
	return v
}

func (p *speedTest) daemons() (all []*View) {
	for _, zone := range p.zones {
		all = append(all, zone...)
	}
	return all
}

// run plays for the given time.
func (p *speedTest) run(duration time.Duration) {
	const step = 20 * time.Millisecond
	rounds := int(testInterval / step)
	for i := range int(duration / step) {
		p.now = p.now.Add(step)
		p.serve(step)
		if i%rounds == rounds-1 && !p.lost {
			p.exchange()
		}
	}
}

// serve plays the streams that begin in a period: each is at a random daemon and server, and gives one
// observation of a first event and one of a step.
func (p *speedTest) serve(period time.Duration) {
	all := p.daemons()
	if p.phases {
		p.beginPhases(period)
	}
	for p.observed += testStreamRate * period.Seconds(); p.observed >= 1; p.observed-- {
		v, id := all[p.random.IntN(len(all))], p.ids[p.random.IntN(len(p.ids))]
		speed := p.speed[id]
		if p.now.Before(p.slowUntil[id]) {
			speed /= 2.5
		}
		const predicted = 100 * time.Millisecond
		observe := func(m *speedMeasure) {
			m.observe(predicted, time.Duration(p.bias[v]/speed*math.Exp(0.25*p.random.NormFloat64())*float64(predicted)), p.now)
		}
		s := v.servers[id]
		observe(&s.speeds.prefill)
		observe(&s.speeds.step)
		s.speeds.observedAt = p.now
	}
}

// beginPhases begins slow phases of 200 to 800 ms so that 0.15 of the servers are slow at a time.
func (p *speedTest) beginPhases(period time.Duration) {
	const share, mean = 0.15, 0.5
	for _, id := range p.ids {
		if p.random.Float64() < share/(1-share)*period.Seconds()/mean && !p.now.Before(p.slowUntil[id]) {
			p.slowUntil[id] = p.now.Add(time.Duration((0.2 + 0.6*p.random.Float64()) * float64(time.Second)))
		}
	}
}

// exchange plays one report of each daemon.
func (p *speedTest) exchange() {
	for z, zone := range p.zones {
		for i, v := range zone {
			v.refreshSpeeds(p.now)
			p.reportObserved(zone, i)
		}
		for i, relay := range zone[:testRelays] {
			known := throughWire(relay.KnownSpeeds(i == 0, p.now))
			for j, v := range zone {
				if v != relay {
					v.AdoptSpeeds(known, p.now.Sub(p.startedAt[relay]), j < testRelays)
				}
			}
		}
		forwarded := throughWire(zone[0].ForwardedSpeeds(p.now))
		for other := range p.zones {
			if other == z {
				continue
			}
			for _, relay := range p.zones[other][:testRelays] {
				relay.AddObservedSpeeds(forwarded, false)
			}
		}
	}
}

// reportObserved plays the report of one daemon to the relays of its zone.
func (p *speedTest) reportObserved(zone []*View, i int) {
	records := zone[i].ObservedSpeeds(p.now)
	if i == 0 {
		zone[i].ForwardSpeeds(records)
	}
	for j, relay := range zone[:testRelays] {
		if i != j {
			relay.AddObservedSpeeds(throughWire(records), j == 0)
		}
	}
}

// throughWire rounds records as reports do.
func throughWire(records []SpeedRecord) []SpeedRecord {
	rounded := make([]SpeedRecord, len(records))
	for i, r := range records {
		r.Prefill.Log2, r.Step.Log2 = math.Round(64*r.Prefill.Log2)/64, math.Round(64*r.Step.Log2)/64
		rounded[i] = r
	}
	return rounded
}

// trueLog2 returns the true speed of a server relative to the geometric mean of all.
func (p *speedTest) trueLog2(id string) float64 {
	sum := 0.0
	for _, speed := range p.speed {
		sum += math.Log2(speed)
	}
	return math.Log2(p.speed[id]) - sum/float64(len(p.ids))
}

// wrong returns the share of the servers, over all daemons, whose assumed speed is off by more than
// the given factor.
func (p *speedTest) wrong(factor float64) float64 {
	wrong, all := 0.0, 0.0
	for _, v := range p.daemons() {
		v.refreshSpeeds(p.now.Add(speedRefreshInterval))
		for _, id := range p.ids {
			all++
			for _, m := range []*speedMeasure{&v.servers[id].speeds.prefill, &v.servers[id].speeds.step} {
				if math.Abs(m.log2-p.trueLog2(id)) > math.Log2(factor) {
					wrong++
					break
				}
			}
		}
	}
	return wrong / all
}

// tolerated is the factor by which an assumed speed may be off: predicted waits are relied on up to 0.6 of
// a target, which leaves a factor of 1.6 for this and for the queue.
const tolerated = 1.3

// TestSpeedsConverge guards against estimates that only a daemon's own observations make: with 88
// daemons and 60 servers, a daemon observes a server once in 8 s.
func TestSpeedsConverge(t *testing.T) {
	for _, daemons := range []int{8, 88, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			c := qt.New(t)
			p := newSpeedTest(daemons, 60, unevenSpeeds)
			p.phases = true
			for i := 1; i <= 6; i++ {
				p.run(10 * time.Second)
				t.Logf("%d s: %.3f wrong", 10*i, p.wrong(tolerated))
			}
			c.Check(p.wrong(tolerated) <= 0.1, qt.IsTrue, qt.Commentf("%.2f are wrong", p.wrong(tolerated)))
		})
	}
}
