package capacity

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/demand"
)

var now = time.Unix(1000, 0)

// answer gives the orders of a moment and lets the cloud take them.
func answer(p *Planner, s State, at time.Time, reply Reply) []Order {
	orders := p.Orders(s, at)
	for _, o := range orders {
		p.Answered(o, reply, at)
	}
	return orders
}

// duringWave returns a planner that has just seen servers reclaimed: each zone keeps a
// server on demand.
func duringWave(at time.Time) *Planner {
	p := NewPlanner()
	p.reclaimed = at
	return p
}

func present(onDemand, reclaimable int) State {
	s := State{Scaling: scaling, Zones: zones(), Load: reading(0.5)}
	s.Scaling.BootTime = 4 * time.Second
	for i := range s.Zones {
		s.Zones[i].OnDemand, s.Zones[i].Reclaimable = onDemand, reclaimable
	}
	return s
}

func TestOrderIsGivenOnceWhileItTakesEffect(t *testing.T) {
	c := qt.New(t)
	p := duringWave(now)
	c.Check(answer(p, present(1, 0), now, ReplyTaken), qt.HasLen, 3)
	c.Check(answer(p, present(1, 0), now.Add(6*time.Second), ReplyTaken), qt.HasLen, 0)
	c.Check(answer(p, present(1, 0), now.Add(8*time.Second), ReplyTaken), qt.HasLen, 3, qt.Commentf("nothing has come of them"))
}

func TestOrderWithoutAnswerIsGivenAgainSoon(t *testing.T) {
	c := qt.New(t)
	p := duringWave(now)
	answer(p, present(1, 0), now, ReplyNone)
	c.Check(answer(p, present(1, 0), now.Add(time.Second), ReplyTaken), qt.HasLen, 0)
	c.Check(answer(p, present(1, 0), now.Add(unansweredFor), ReplyTaken), qt.HasLen, 3)
}

func TestDeclinedOrderIsNotRepeatedAtOnce(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	answer(p, present(1, 0), now, ReplyDeclined)
	for _, o := range answer(p, present(1, 0), now.Add(time.Second), ReplyTaken) {
		c.Check(o.Reclaimable, qt.IsFalse, qt.Commentf("%+v", o))
	}
}

func TestFewerAreAskedForAfterAWhile(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	busy := present(1, 2)
	busy.Load = reading(0)
	answer(p, busy, now.Add(-lookFor), ReplyTaken)
	busy.Load = reading(3)
	answer(p, busy, now, ReplyTaken)
	calm := present(1, 2)
	c.Check(answer(p, calm, now.Add(time.Second), ReplyTaken), qt.HasLen, 0)
	fewer := answer(p, calm, now.Add(learnFor), ReplyTaken)
	fewer = append(fewer, answer(p, calm, now.Add(learnFor+fallDelay(calm.Scaling.BootTime)), ReplyTaken)...)
	c.Check(len(fewer) > 0, qt.IsTrue)
}

func TestFleetThatWasFoundIsKeptUntilTheDemandIsKnown(t *testing.T) {
	c := qt.New(t)
	p := duringWave(now)
	found := present(3, 0)
	found.Load = reading(0)
	p.Orders(found, now.Add(-time.Second))
	total := func(at time.Time) int {
		sum := 0
		for _, target := range Plan(State{Scaling: found.Scaling, Zones: found.Zones, Load: found.Load, Least: p.least(found, at), Wave: true}) {
			sum += target.OnDemand + target.Reclaimable
		}
		return sum
	}
	c.Check(total(now), qt.Equals, 9)
	c.Check(total(now.Add(time.Minute)), qt.Equals, 9, qt.Commentf("nobody has asked for anything yet"))
	found.Load = reading(0.5)
	c.Check(total(now.Add(time.Minute)), qt.Equals, 9)
	c.Check(total(now.Add(time.Minute+learnFor)), qt.Equals, 6)
}

func TestNothingIsOrderedBeforeTheServersHaveBeenLookedAt(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	starting := present(0, 0)
	starting.Load = reading(0)
	c.Check(answer(p, starting, now, ReplyTaken), qt.HasLen, 0)
	listed := present(3, 0)
	listed.Load = reading(0)
	c.Check(answer(p, listed, now.Add(time.Second), ReplyTaken), qt.HasLen, 0)
	sum := 0
	for _, o := range answer(p, listed, now.Add(lookFor), ReplyTaken) {
		sum += o.Count
	}
	c.Check(sum, qt.Equals, 10, qt.Commentf("one on demand in the cheapest zone, three reclaimable in each"))
}

// TestSuccessorOfAHolderKnowsTheDemand: what is there beyond the demand is given up, but
// not before the successor has learned whether its predecessor had a reason.
func TestSuccessorOfAHolderKnowsTheDemand(t *testing.T) {
	c := qt.New(t)
	p := duringWave(now)
	c.Check(answer(p, present(3, 3), now, ReplyTaken), qt.HasLen, 0)
	asked := func(at time.Time, reclaimable bool) (sum int) {
		for _, o := range answer(p, present(3, 3), at, ReplyTaken) {
			if o.Reclaimable == reclaimable {
				sum += o.Count
			}
		}
		return sum
	}
	c.Check(asked(now.Add(fallDelayOnDemand), false), qt.Equals, 3, qt.Commentf("one on demand in each zone"))
	c.Check(asked(now.Add(fallDelay(4*time.Second)), true), qt.Equals, 3, qt.Commentf("one reclaimable in each zone"))
}

// TestSuccessorDoesNotGiveUpWhatStandsIn: the predecessor had ordered servers on demand
// for zones without reclaimable ones, and lost the lease.
func TestSuccessorDoesNotGiveUpWhatStandsIn(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := present(3, 0)
	s.Load = reading(3)
	for tick := range 20 {
		at := now.Add(time.Duration(tick) * scaleEvery)
		for _, o := range p.Orders(s, at) {
			c.Check(o.Reclaimable, qt.IsTrue, qt.Commentf("%+v", o))
			p.Answered(o, ReplyDeclined, at)
		}
	}
}

// TestWaveOfReclaimsBringsServersOnDemandEverywhere: before the next zone's turn comes,
// and they go when the wave is over.
func TestWaveOfReclaimsBringsServersOnDemandEverywhere(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	onDemand := func(s State, at time.Time) (zones int) {
		s.Wave = p.wave(s, at)
		for _, target := range Plan(s) {
			if target.OnDemand > 0 {
				zones++
			}
		}
		return zones
	}
	calm, hit := present(1, 2), present(1, 2)
	hit.Zones[0].Dry, hit.Zones[0].Reclaimable = true, 0
	c.Check(onDemand(calm, now), qt.Equals, 1)
	c.Check(onDemand(hit, now), qt.Equals, 3)
	c.Check(onDemand(calm, now.Add(waveFor-time.Second)), qt.Equals, 3)
	c.Check(onDemand(calm, now.Add(waveFor)), qt.Equals, 1)
}

// TestUnevenDemandDoesNotMoveTheFleet: demand that swings within seconds takes no
// server away that is wanted again before another one would have booted.
func TestUnevenDemandDoesNotMoveTheFleet(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := present(1, 3)
	s.Load = reading(3)
	answer(p, s, now, ReplyTaken)
	fewer := 0
	for tick := range 200 {
		s.Load = reading(3)
		if tick/20%2 == 1 {
			s.Load = reading(1.5)
		}
		for _, o := range answer(p, s, now.Add(time.Duration(tick)*scaleEvery), ReplyTaken) {
			if o.Reclaimable && o.Count < o.Present {
				fewer++
			}
		}
	}
	c.Check(fewer, qt.Equals, 0)
}

// scaleEvery is how often the plan is made.
const scaleEvery = 300 * time.Millisecond

// TestServersStayUntilTheirReplacementsHaveBooted: where servers boot for long.
func TestServersStayUntilTheirReplacementsHaveBooted(t *testing.T) {
	c := qt.New(t)
	onDemand := func(boot time.Duration, reclaimable int) int {
		s := present(3, reclaimable)
		s.Scaling.BootTime = boot
		sum := 0
		for _, z := range s.Zones {
			sum += untilReplaced(Target{Zone: z.Name, OnDemand: 1, Reclaimable: 2}, z, boot)
		}
		return sum
	}
	c.Check(onDemand(20*time.Second, 0), qt.Equals, 9)
	c.Check(onDemand(20*time.Second, 1), qt.Equals, 6)
	c.Check(onDemand(20*time.Second, 2), qt.Equals, 3)
	c.Check(onDemand(4*time.Second, 0), qt.Equals, 3)
}

// TestReplacementsAreNotFound: servers found at the start and those that replace them are
// there together for a while; the fleet found is no larger for that.
func TestReplacementsAreNotFound(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := present(3, 0)
	s.Load = demand.Load{}
	answer(p, s, now, ReplyTaken)
	answer(p, s, now.Add(lookFor), ReplyTaken)
	both := present(3, 3)
	both.Load = demand.Load{}
	for _, o := range answer(p, both, now.Add(lookFor+4*time.Second), ReplyTaken) {
		c.Check(o.Count <= 3, qt.IsTrue, qt.Commentf("%+v", o))
	}
	c.Check(p.found, qt.Equals, 9)
}

// TestFleetFoundIsKeptWhereNothingIsReclaimable: servers on demand are all there is.
func TestFleetFoundIsKeptWhereNothingIsReclaimable(t *testing.T) {
	c := qt.New(t)
	s := present(3, 0)
	s.Scaling.SpotPrice, s.Load, s.Least = 0, demand.Load{}, 9
	onDemand, reclaimable := counts(Plan(s))
	c.Check(onDemand, qt.Equals, 9)
	c.Check(reclaimable, qt.Equals, 0)
}

// TestServersAtTheirLimitsAreReplacedOnce guards against servers that count as whole while they take
// few requests, and against orders without end for them.
func TestServersAtTheirLimitsAreReplacedOnce(t *testing.T) {
	c := qt.New(t)
	orderedWith := func(atLimit int) (counts []int) {
		p := duringWave(now)
		there := 1
		for tick := range 200 {
			at := now.Add(time.Duration(tick) * 300 * time.Millisecond)
			s := present(1, there)
			s.Zones[0].ReclaimableAtLimit = atLimit
			market := Market{s.Zones[0].Name, true}
			for _, o := range answer(p, s, at, ReplyTaken) {
				if o.Market == market {
					counts = append(counts, o.Count)
				}
			}
			if given := p.given[market]; given.answered && at.Sub(given.at) >= s.Scaling.BootTime {
				there = given.count
			}
		}
		return counts
	}
	c.Check(orderedWith(0), qt.HasLen, 0, qt.Commentf("what is there is what is wanted"))
	c.Check(orderedWith(2), qt.DeepEquals, []int{3})
}

func TestReplacementsKeepTheMostOfAZone(t *testing.T) {
	c := qt.New(t)
	target := Target{Zone: "z", OnDemand: 1, Reclaimable: 3}
	z := Zone{Name: "z", OnDemand: 1, Reclaimable: 3, OnDemandAtLimit: 1, ReclaimableAtLimit: 3}
	c.Check(besideLimited(target, z, 4), qt.Equals, target)
	c.Check(besideLimited(target, z, 6), qt.Equals, Target{Zone: "z", OnDemand: 1, Reclaimable: 5})
	c.Check(besideLimited(target, z, 20), qt.Equals, Target{Zone: "z", OnDemand: 2, Reclaimable: 6})
	c.Check(besideLimited(target, z, 2), qt.Equals, target)
}
