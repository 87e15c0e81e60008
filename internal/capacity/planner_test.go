package capacity

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/demand"
)

var startTime = time.Unix(1000, 0)

// orderAndReply returns the orders at a time and gives the planner the same reply to all of them.
func orderAndReply(p *Planner, s State, at time.Time, reply Reply) []Order {
	orders := p.Orders(s, at)
	for _, o := range orders {
		p.RecordReply(o, reply, at)
	}
	return orders
}

// plannerInReclaimWave returns a planner that has just observed a reclaim. Every zone keeps an
// on-demand server.
func plannerInReclaimWave(at time.Time) *Planner {
	p := NewPlanner()
	p.lastReclaimAt = at
	return p
}

func stateWithServers(onDemand, reclaimable int) State {
	s := State{Scaling: testScaling, Zones: testZones(), Load: prefillLoad(0.5)}
	s.Scaling.BootTime = 4 * time.Second
	for i := range s.Zones {
		s.Zones[i].OnDemand, s.Zones[i].Reclaimable = onDemand, reclaimable
	}
	return s
}

func TestPendingOrderIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	p := plannerInReclaimWave(startTime)
	c.Check(orderAndReply(p, stateWithServers(1, 0), startTime, ReplyAccepted), qt.HasLen, 3)
	c.Check(orderAndReply(p, stateWithServers(1, 0), startTime.Add(6*time.Second), ReplyAccepted), qt.HasLen, 0)
	c.Check(orderAndReply(p, stateWithServers(1, 0), startTime.Add(8*time.Second), ReplyAccepted), qt.HasLen, 3, qt.Commentf("the orders have not taken effect"))
}

func TestUnansweredOrderIsRetried(t *testing.T) {
	c := qt.New(t)
	p := plannerInReclaimWave(startTime)
	orderAndReply(p, stateWithServers(1, 0), startTime, ReplyNone)
	c.Check(orderAndReply(p, stateWithServers(1, 0), startTime.Add(time.Second), ReplyAccepted), qt.HasLen, 0)
	c.Check(orderAndReply(p, stateWithServers(1, 0), startTime.Add(unansweredRetryDelay), ReplyAccepted), qt.HasLen, 3)
}

func TestDeclinedOrderIsNotRepeatedAtOnce(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	orderAndReply(p, stateWithServers(1, 0), startTime, ReplyDeclined)
	for _, o := range orderAndReply(p, stateWithServers(1, 0), startTime.Add(time.Second), ReplyAccepted) {
		c.Check(o.Reclaimable, qt.IsFalse, qt.Commentf("%+v", o))
	}
}

func TestScaleDownIsDelayed(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	busy := stateWithServers(1, 2)
	busy.Load = prefillLoad(0)
	orderAndReply(p, busy, startTime.Add(-discoveryPeriod), ReplyAccepted)
	busy.Load = prefillLoad(3)
	orderAndReply(p, busy, startTime, ReplyAccepted)
	lowLoad := stateWithServers(1, 2)
	c.Check(orderAndReply(p, lowLoad, startTime.Add(time.Second), ReplyAccepted), qt.HasLen, 0)
	removals := orderAndReply(p, lowLoad, startTime.Add(demandWarmup), ReplyAccepted)
	removals = append(removals, orderAndReply(p, lowLoad, startTime.Add(demandWarmup+reclaimableScaleDownDelay(lowLoad.Scaling.BootTime)), ReplyAccepted)...)
	c.Check(len(removals) > 0, qt.IsTrue)
}

func TestInitialFleetIsKeptUntilDemandIsKnown(t *testing.T) {
	c := qt.New(t)
	p := plannerInReclaimWave(startTime)
	initial := stateWithServers(3, 0)
	initial.Load = prefillLoad(0)
	p.Orders(initial, startTime.Add(-time.Second))
	total := func(at time.Time) int {
		sum := 0
		for _, target := range Plan(State{Scaling: initial.Scaling, Zones: initial.Zones, Load: initial.Load, MinServers: p.minServers(initial, at), ReclaimWave: true}) {
			sum += target.OnDemand + target.Reclaimable
		}
		return sum
	}
	c.Check(total(startTime), qt.Equals, 9)
	c.Check(total(startTime.Add(time.Minute)), qt.Equals, 9, qt.Commentf("no request has arrived yet"))
	initial.Load = prefillLoad(0.5)
	c.Check(total(startTime.Add(time.Minute)), qt.Equals, 9)
	c.Check(total(startTime.Add(time.Minute+demandWarmup)), qt.Equals, 6)
}

func TestNothingIsOrderedBeforeServersAreListed(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	starting := stateWithServers(0, 0)
	starting.Load = prefillLoad(0)
	c.Check(orderAndReply(p, starting, startTime, ReplyAccepted), qt.HasLen, 0)
	listed := stateWithServers(3, 0)
	listed.Load = prefillLoad(0)
	c.Check(orderAndReply(p, listed, startTime.Add(time.Second), ReplyAccepted), qt.HasLen, 0)
	sum := 0
	for _, o := range orderAndReply(p, listed, startTime.Add(discoveryPeriod), ReplyAccepted) {
		sum += o.Count
	}
	c.Check(sum, qt.Equals, 10, qt.Commentf("one on demand in the cheapest zone, three reclaimable in each"))
}

// TestSuccessorScalesDownToDemand checks that a new lease holder removes servers beyond the demand,
// but only after the scale-down delay, in which it can learn whether its predecessor needed them.
func TestSuccessorScalesDownToDemand(t *testing.T) {
	c := qt.New(t)
	p := plannerInReclaimWave(startTime)
	c.Check(orderAndReply(p, stateWithServers(3, 3), startTime, ReplyAccepted), qt.HasLen, 0)
	ordered := func(at time.Time, reclaimable bool) (sum int) {
		for _, o := range orderAndReply(p, stateWithServers(3, 3), at, ReplyAccepted) {
			if o.Reclaimable == reclaimable {
				sum += o.Count
			}
		}
		return sum
	}
	c.Check(ordered(startTime.Add(onDemandScaleDownDelay), false), qt.Equals, 3, qt.Commentf("one on demand in each zone"))
	c.Check(ordered(startTime.Add(reclaimableScaleDownDelay(4*time.Second)), true), qt.Equals, 3, qt.Commentf("one reclaimable in each zone"))
}

// TestSuccessorKeepsOnDemandSubstitutes guards against a new lease holder that removes on-demand
// servers which its predecessor ordered because zones had no reclaimable ones.
func TestSuccessorKeepsOnDemandSubstitutes(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := stateWithServers(3, 0)
	s.Load = prefillLoad(3)
	for tick := range 20 {
		at := startTime.Add(time.Duration(tick) * planInterval)
		for _, o := range p.Orders(s, at) {
			c.Check(o.Reclaimable, qt.IsTrue, qt.Commentf("%+v", o))
			p.RecordReply(o, ReplyDeclined, at)
		}
	}
}

// TestReclaimWaveAddsOnDemandInEveryZone checks that every zone gets an on-demand server before the
// wave reaches the next zone, and that these servers are removed after the wave.
func TestReclaimWaveAddsOnDemandInEveryZone(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	onDemand := func(s State, at time.Time) (zones int) {
		s.ReclaimWave = p.inReclaimWave(s, at)
		for _, target := range Plan(s) {
			if target.OnDemand > 0 {
				zones++
			}
		}
		return zones
	}
	lowLoad, reclaimed := stateWithServers(1, 2), stateWithServers(1, 2)
	reclaimed.Zones[0].ReclaimableExhausted, reclaimed.Zones[0].Reclaimable = true, 0
	c.Check(onDemand(lowLoad, startTime), qt.Equals, 1)
	c.Check(onDemand(reclaimed, startTime), qt.Equals, 3)
	c.Check(onDemand(lowLoad, startTime.Add(reclaimWaveDuration-time.Second)), qt.Equals, 3)
	c.Check(onDemand(lowLoad, startTime.Add(reclaimWaveDuration)), qt.Equals, 1)
}

// TestFluctuatingDemandDoesNotScaleDown guards against the removal of servers that are needed again
// before a replacement could boot, when demand fluctuates within seconds.
func TestFluctuatingDemandDoesNotScaleDown(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := stateWithServers(1, 3)
	s.Load = prefillLoad(3)
	orderAndReply(p, s, startTime, ReplyAccepted)
	removals := 0
	for tick := range 200 {
		s.Load = prefillLoad(3)
		if tick/20%2 == 1 {
			s.Load = prefillLoad(1.5)
		}
		for _, o := range orderAndReply(p, s, startTime.Add(time.Duration(tick)*planInterval), ReplyAccepted) {
			if o.Reclaimable && o.Count < o.Present {
				removals++
			}
		}
	}
	c.Check(removals, qt.Equals, 0)
}

// planInterval is the interval between plans.
const planInterval = 300 * time.Millisecond

// TestServersStayUntilTheirReplacementsHaveBooted guards against a capacity gap during replacement
// if servers take long to boot.
func TestServersStayUntilTheirReplacementsHaveBooted(t *testing.T) {
	c := qt.New(t)
	onDemand := func(boot time.Duration, reclaimable int) int {
		s := stateWithServers(3, reclaimable)
		s.Scaling.BootTime = boot
		sum := 0
		for _, z := range s.Zones {
			sum += onDemandUntilReplaced(Target{Zone: z.Name, OnDemand: 1, Reclaimable: 2}, z, boot)
		}
		return sum
	}
	c.Check(onDemand(20*time.Second, 0), qt.Equals, 9)
	c.Check(onDemand(20*time.Second, 1), qt.Equals, 6)
	c.Check(onDemand(20*time.Second, 2), qt.Equals, 3)
	c.Check(onDemand(4*time.Second, 0), qt.Equals, 3)
}

// TestReplacementsAreNotCountedInInitialFleet guards against an initial fleet that is too large
// because replaced servers and their replacements run at the same time for a while.
func TestReplacementsAreNotCountedInInitialFleet(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := stateWithServers(3, 0)
	s.Load = demand.Load{}
	orderAndReply(p, s, startTime, ReplyAccepted)
	orderAndReply(p, s, startTime.Add(discoveryPeriod), ReplyAccepted)
	both := stateWithServers(3, 3)
	both.Load = demand.Load{}
	for _, o := range orderAndReply(p, both, startTime.Add(discoveryPeriod+4*time.Second), ReplyAccepted) {
		c.Check(o.Count <= 3, qt.IsTrue, qt.Commentf("%+v", o))
	}
	c.Check(p.initialFleet, qt.Equals, 9)
}

// TestInitialFleetIsKeptWithoutReclaimable checks that the initial fleet is kept on demand if the
// service uses no reclaimable servers.
func TestInitialFleetIsKeptWithoutReclaimable(t *testing.T) {
	c := qt.New(t)
	s := stateWithServers(3, 0)
	s.Scaling.SpotPriceRatio, s.Load, s.MinServers = 0, demand.Load{}, 9
	onDemand, reclaimable := countTargets(Plan(s))
	c.Check(onDemand, qt.Equals, 9)
	c.Check(reclaimable, qt.Equals, 0)
}

// TestServersAtTheirLimitsAreReplacedOnce guards against servers that count as full capacity
// although they accept few requests, and against repeated orders to replace them.
func TestServersAtTheirLimitsAreReplacedOnce(t *testing.T) {
	c := qt.New(t)
	orderedWith := func(atLimit int) (counts []int) {
		p := plannerInReclaimWave(startTime)
		running := 1
		for tick := range 200 {
			at := startTime.Add(time.Duration(tick) * 300 * time.Millisecond)
			s := stateWithServers(1, running)
			s.Zones[0].ReclaimableAtLimit = atLimit
			market := Market{s.Zones[0].Name, true}
			for _, o := range orderAndReply(p, s, at, ReplyAccepted) {
				if o.Market == market {
					counts = append(counts, o.Count)
				}
			}
			if last := p.lastOrders[market]; last.accepted && at.Sub(last.placedAt) >= s.Scaling.BootTime {
				running = last.count
			}
		}
		return counts
	}
	c.Check(orderedWith(0), qt.HasLen, 0, qt.Commentf("the present servers match the target"))
	c.Check(orderedWith(2), qt.DeepEquals, []int{3})
}

func TestReplacementsStayWithinZoneMaximum(t *testing.T) {
	c := qt.New(t)
	target := Target{Zone: "z", OnDemand: 1, Reclaimable: 3}
	z := Zone{Name: "z", OnDemand: 1, Reclaimable: 3, OnDemandAtLimit: 1, ReclaimableAtLimit: 3}
	c.Check(withLimitReplacements(target, z, 4), qt.Equals, target)
	c.Check(withLimitReplacements(target, z, 6), qt.Equals, Target{Zone: "z", OnDemand: 1, Reclaimable: 5})
	c.Check(withLimitReplacements(target, z, 20), qt.Equals, Target{Zone: "z", OnDemand: 2, Reclaimable: 6})
	c.Check(withLimitReplacements(target, z, 2), qt.Equals, target)
}

// TestServersAreKeptWhileDemandIsIncomplete guards against a holder that removes servers because daemons
// have restarted and not measured the demand yet.
func TestServersAreKeptWhileDemandIsIncomplete(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	busy := stateWithServers(1, 3)
	busy.Load = prefillLoad(6)
	orderAndReply(p, busy, startTime, ReplyAccepted)
	before := map[Market]int{}
	for market, held := range p.heldCounts {
		before[market] = held.count
	}
	low := stateWithServers(1, 3)
	low.Load, low.DemandIncomplete = prefillLoad(0.2), true
	for second := range 60 {
		for _, o := range orderAndReply(p, low, startTime.Add(time.Duration(second+1)*time.Second), ReplyAccepted) {
			c.Check(o.Count >= before[o.Market], qt.IsTrue, qt.Commentf("%+v, before %d", o, before[o.Market]))
		}
	}
	low.DemandIncomplete = false
	orderAndReply(p, low, startTime.Add(61*time.Second), ReplyAccepted)
	removed := orderAndReply(p, low, startTime.Add(61*time.Second+reclaimableScaleDownDelay(4*time.Second)), ReplyAccepted)
	c.Check(len(removed) > 0, qt.IsTrue, qt.Commentf("the demand is complete and low"))
}

// TestReclaimWithoutAnnouncedTimeIsDetected guards against a planner that goes on counting on the reclaimable
// servers of a zone while all of them drain, because the cloud did not say when they leave.
func TestReclaimWithoutAnnouncedTimeIsDetected(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := stateWithServers(0, 4)
	s.Load = prefillLoad(5)
	orderAndReply(p, s, startTime, ReplyAccepted)
	s = stateWithServers(0, 4)
	s.Load = prefillLoad(5)
	s.Zones[0].Reclaimable, s.Zones[0].ReclaimableDraining = 0, 4
	onDemand := 0
	for _, o := range orderAndReply(p, s, startTime.Add(time.Second), ReplyAccepted) {
		c.Check(o.Market, qt.Not(qt.Equals), Market{"a", true}, qt.Commentf("there are none"))
		if !o.Reclaimable {
			onDemand += o.Count
		}
	}
	c.Check(onDemand >= 4, qt.IsTrue, qt.Commentf("%d on demand", onDemand))
	s = stateWithServers(0, 4)
	s.Load = prefillLoad(5)
	s.Zones[0].Reclaimable, s.Zones[0].OnDemand = 0, 4
	ordered := orderAndReply(p, s, startTime.Add(time.Second+exhaustedRetryDelay), ReplyDeclined)
	c.Check(len(ordered) > 0 && ordered[len(ordered)-1].Reclaimable, qt.IsTrue, qt.Commentf("they are asked for again: %+v", ordered))
}

// TestServersThatAreRemovedAreNoReclaim guards against on-demand servers that substitute for servers which the
// planner itself has removed.
func TestServersThatAreRemovedAreNoReclaim(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	s := stateWithServers(1, 0)
	s.Load = prefillLoad(0)
	for i := range s.Zones {
		s.Zones[i].ReclaimableDraining = 4
	}
	p.detectReclaims(s, startTime)
	c.Check(p.exhaustedUntil, qt.HasLen, 0)
}
