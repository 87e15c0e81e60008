package capacity

import (
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
)

const (
	// confirmMargin is how much longer than the boot time an order may take to
	// show in the list before it is given again.
	confirmMargin = 3 * time.Second
	// dryFor is how long no reclaimable servers are asked for in a zone after
	// the cloud had none.
	dryFor = 4 * time.Second
	// fallBoots times the boot time is how long fewer reclaimable servers must have been
	// wanted before fewer are asked for: demand is uneven, and a server that leaves takes
	// its cache along, and its successor boots before it reads all that again. Half of
	// that (6 s at 4 s of boot) cost 0.015 on the newest users' days, twice brought
	// nothing. leastFall and mostFall bound it.
	fallBoots = 3
	leastFall = 6 * time.Second
	mostFall  = 30 * time.Second
	// fallDelayOnDemand is the same for servers on demand, which cost several times as
	// much to keep.
	fallDelayOnDemand = 2 * time.Second
	// learnFor is how long after the first request the demand is not known yet: two
	// times the memory of the meters.
	learnFor = 6 * time.Second
	// lookFor is how long a planner looks at the servers before it orders any,
	// unless there is demand: when a deployment starts, its servers are listed one
	// after the other within two of their heartbeats (1.2 s).
	lookFor = 3 * time.Second
	// foundShare is the part of the servers found that is kept until then. In the
	// model's grown day, half of those set up at the start are busy at 0.4.
	foundShare = 1.0
	// unansweredFor is how soon an order without an answer is given again.
	unansweredFor = 1500 * time.Millisecond
)

// Market is one kind of server in one zone.
type Market struct {
	Zone        string
	Reclaimable bool
}

// Order asks for a number of servers in a market.
type Order struct {
	Market
	Count int
	// Present is the number of such servers that take new work.
	Present int
}

// Reply is how the cloud answered an order.
type Reply int

// The answers to an order.
const (
	// ReplyTaken: the order is being carried out.
	ReplyTaken Reply = iota
	// ReplyDeclined: there are no such servers, or another holder acts.
	ReplyDeclined
	// ReplyNone: no answer came; the order may have been taken.
	ReplyNone
)

// Planner turns the plans for one service into orders over time: not each
// change of a plan is worth an order, and not each order takes effect.
type Planner struct {
	given map[Market]given
	held  map[Market]wanted
	// dry is until when the cloud is taken to have no servers of a market.
	dry map[Market]time.Time
	// found is the highest number of servers seen before there was any demand, asked
	// when there was first some.
	found int
	asked time.Time
	// since is when the planner began to look.
	since time.Time
	// succeeds is set for a planner that takes over from an earlier holder's.
	succeeds bool
	// reclaimed is when a zone last had no reclaimable servers to give.
	reclaimed time.Time
}

// given is the last order in a market.
type given struct {
	count    int
	at       time.Time
	answered bool
}

// wanted is the number of servers that is held on to, and since when.
type wanted struct {
	count int
	at    time.Time
}

// NewPlanner returns a planner that knows of no earlier order.
func NewPlanner() *Planner {
	return &Planner{given: map[Market]given{}, held: map[Market]wanted{}, dry: map[Market]time.Time{}}
}

// Orders returns the orders to give now. Each must be followed by Answered.
func (p *Planner) Orders(s State, now time.Time) []Order {
	for i := range s.Zones {
		if _, dry := p.dry[Market{s.Zones[i].Name, true}]; dry {
			s.Zones[i].Dry = true
		}
	}
	s.Wave = p.wave(s, now)
	s.Least = p.least(s, now)
	if p.since.IsZero() {
		p.since = now
	}
	if p.asked.IsZero() && now.Sub(p.since) < lookFor {
		return nil
	}
	return p.OrdersFor(Plan(s), s, now)
}

// least returns the number of servers to keep until the demand is known: a part of
// those that were found, which somebody took for enough.
func (p *Planner) least(s State, now time.Time) int {
	if p.since.IsZero() && s.Load != (demand.Load{}) {
		// An earlier holder has given up its orders; the demand is known.
		p.asked = now.Add(-learnFor)
		p.succeeds = true
	}
	if p.asked.IsZero() {
		if len(p.given) == 0 {
			// Later, servers that are to be replaced and those that replace them are there.
			p.found = max(p.found, s.present())
		}
		if s.Load != (demand.Load{}) {
			p.asked = now
		}
	}
	if p.asked.IsZero() || now.Sub(p.asked) < learnFor {
		return int(math.Ceil(foundShare * float64(p.found)))
	}
	return 0
}

// waveFor is how long after a zone last had none to give a wave of reclaims is taken to
// go on: the next zone's turn comes some seconds later, and a server takes as long to
// boot.
const waveFor = 15 * time.Second

// wave reports whether reclaimable servers are being taken away, or were lately.
func (p *Planner) wave(s State, now time.Time) bool {
	for _, z := range s.Zones {
		if z.Dry {
			p.reclaimed = now
		}
	}
	return !p.reclaimed.IsZero() && now.Sub(p.reclaimed) < waveFor
}

func (s *State) present() int {
	sum := 0
	for _, z := range s.Zones {
		sum += z.OnDemand + z.Reclaimable
	}
	return sum
}

// OrdersFor returns the orders that lead to the targets.
func (p *Planner) OrdersFor(targets []Target, s State, now time.Time) []Order {
	var orders []Order
	for _, target := range targets {
		present := s.zone(target.Zone)
		target.OnDemand = untilReplaced(target, present, s.Scaling.BootTime)
		target = besideLimited(target, present, s.Scaling.Max)
		orders = p.add(orders, Order{Market{target.Zone, false}, target.OnDemand, present.OnDemand}, s.Scaling, now)
		if s.Scaling.SpotPrice > 0 {
			orders = p.add(orders, Order{Market{target.Zone, true}, target.Reclaimable, present.Reclaimable}, s.Scaling, now)
		}
	}
	return orders
}

// besideLimited adds a server for each that takes fewer requests than it is asked for, as far as
// the zone may have so many.
func besideLimited(target Target, present Zone, most int) Target {
	room := max(0, most-target.OnDemand-target.Reclaimable)
	reclaimable := min(room, present.ReclaimableAtLimit)
	target.Reclaimable += reclaimable
	target.OnDemand += min(room-reclaimable, present.OnDemandAtLimit)
	return target
}

func (s *State) zone(name string) Zone {
	for _, z := range s.Zones {
		if z.Name == name {
			return z
		}
	}
	return Zone{Name: name}
}

// add appends an order when it differs from the last one, or when that one has
// not taken effect in time.
func (p *Planner) add(orders []Order, order Order, scaling catalog.Scaling, now time.Time) []Order {
	order.Count = p.hold(order, scaling.BootTime, now)
	last, known := p.given[order.Market]
	wait := scaling.BootTime + confirmMargin
	if !last.answered {
		wait = unansweredFor
	}
	settled := order.Present == order.Count && last.answered
	if order.Present >= order.Count {
		delete(p.dry, order.Market)
	}
	repeated := known && last.count == order.Count
	retry, dry := p.dry[order.Market]
	switch {
	case repeated && (settled || now.Sub(last.at) < wait):
	case !known && order.Present == order.Count:
	case dry && now.Before(retry):
	default:
		orders = append(orders, order)
	}
	return orders
}

// hold returns the number to ask for: a higher one at once, a lower one when it
// has been wanted for a while.
func (p *Planner) hold(order Order, boot time.Duration, now time.Time) int {
	delay := fallDelayOnDemand
	if order.Reclaimable {
		delay = fallDelay(boot)
	}
	held, known := p.held[order.Market]
	if !known && p.succeeds && order.Present > order.Count {
		// Why an earlier holder wanted them is not known: a zone that has none to give
		// shows when it is asked.
		held, known = wanted{count: order.Present, at: now}, true
		p.held[order.Market] = held
	}
	if !known || order.Count >= held.count || now.Sub(held.at) >= delay {
		p.held[order.Market] = wanted{count: order.Count, at: now}
		return order.Count
	}
	return held.count
}

// longBoot is the boot time from which on servers on demand stay until those that
// replace them are there. A gap of 4 s costs less than to keep them (paired, 4 seeds a
// day: -0.001 and -0.009 on two users' days); one of 20 s lost a third of the requests
// in the model.
const longBoot = 8 * time.Second

// untilReplaced returns the number of servers on demand to keep in a zone while
// reclaimable ones that are to replace them boot.
func untilReplaced(target Target, present Zone, boot time.Duration) int {
	missing := target.Reclaimable - present.Reclaimable
	if boot < longBoot || missing <= 0 || present.Dry {
		return target.OnDemand
	}
	return max(target.OnDemand, min(present.OnDemand, target.OnDemand+missing))
}

// fallDelay returns how long fewer reclaimable servers must have been wanted.
func fallDelay(boot time.Duration) time.Duration {
	return max(leastFall, min(mostFall, fallBoots*boot))
}

// Answered takes over how the cloud answered an order.
func (p *Planner) Answered(order Order, reply Reply, now time.Time) {
	p.given[order.Market] = given{count: order.Count, at: now, answered: reply == ReplyTaken}
	switch reply {
	case ReplyDeclined:
		p.dry[order.Market] = now.Add(dryFor)
	case ReplyTaken:
		delete(p.dry, order.Market)
	}
}
