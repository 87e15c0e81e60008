package capacity

import (
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
)

const (
	// orderConfirmMargin is how much longer than the boot time an order may take to
	// show in the list before it is given again.
	orderConfirmMargin = 3 * time.Second
	// exhaustedRetryDelay is how long no reclaimable servers are asked for in a zone after
	// the cloud had none.
	exhaustedRetryDelay = 4 * time.Second
	// scaleDownBootFactor times the boot time is how long fewer reclaimable servers must have been
	// wanted before fewer are asked for: demand is uneven, and a server that leaves takes
	// its cache along, and its successor boots before it reads all that again. Half of
	// that (6 s at 4 s of boot) cost 0.015 on the newest users' days, twice brought
	// nothing. minScaleDownDelay and maxScaleDownDelay bound it.
	scaleDownBootFactor = 3
	minScaleDownDelay   = 6 * time.Second
	maxScaleDownDelay   = 30 * time.Second
	// onDemandScaleDownDelay is the same for servers on demand, which cost several times as
	// much to keep.
	onDemandScaleDownDelay = 2 * time.Second
	// demandWarmup is how long after the first request the demand is not known yet: two
	// times the memory of the meters.
	demandWarmup = 6 * time.Second
	// discoveryPeriod is how long a planner looks at the servers before it orders any,
	// unless there is demand: when a deployment starts, its servers are listed one
	// after the other within two of their heartbeats (1.2 s).
	discoveryPeriod = 3 * time.Second
	// initialFleetShare is the part of the servers found that is kept until then. In the
	// model's grown day, half of those set up at the start are busy at 0.4.
	initialFleetShare = 1.0
	// unansweredRetryDelay is how soon an order without an answer is given again.
	unansweredRetryDelay = 1500 * time.Millisecond
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
	// ReplyAccepted: the order is being carried out.
	ReplyAccepted Reply = iota
	// ReplyDeclined: there are no such servers, or another holder acts.
	ReplyDeclined
	// ReplyNone: no answer came; the order may have been taken.
	ReplyNone
)

// Planner turns the plans for one service into orders over time: not each
// change of a plan is worth an order, and not each order takes effect.
type Planner struct {
	lastOrders map[Market]placedOrder
	heldCounts map[Market]heldCount
	// exhaustedUntil is until when the cloud is taken to have no servers of a market.
	exhaustedUntil map[Market]time.Time
	// initialFleet is the highest number of servers seen before there was any demand, asked
	// when there was first some.
	initialFleet  int
	firstDemandAt time.Time
	// startedAt is when the planner began to look.
	startedAt time.Time
	// tookOver is set for a planner that takes over from an earlier holder's.
	tookOver bool
	// lastReclaimAt is when a zone last had no reclaimable servers to give.
	lastReclaimAt time.Time
}

// placedOrder is the last order in a market.
type placedOrder struct {
	count    int
	placedAt time.Time
	accepted bool
}

// heldCount is the number of servers that is held on to, and since when.
type heldCount struct {
	count int
	since time.Time
}

// NewPlanner returns a planner that knows of no earlier order.
func NewPlanner() *Planner {
	return &Planner{lastOrders: map[Market]placedOrder{}, heldCounts: map[Market]heldCount{}, exhaustedUntil: map[Market]time.Time{}}
}

// Orders returns the orders to give now. Each must be followed by Answered.
func (p *Planner) Orders(s State, now time.Time) []Order {
	for i := range s.Zones {
		if _, dry := p.exhaustedUntil[Market{s.Zones[i].Name, true}]; dry {
			s.Zones[i].ReclaimableExhausted = true
		}
	}
	s.ReclaimWave = p.inReclaimWave(s, now)
	s.MinServers = p.minServers(s, now)
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if p.firstDemandAt.IsZero() && now.Sub(p.startedAt) < discoveryPeriod {
		return nil
	}
	return p.OrdersFor(Plan(s), s, now)
}

// minServers returns the number of servers to keep until the demand is known: a part of
// those that were found, which somebody took for enough.
func (p *Planner) minServers(s State, now time.Time) int {
	if p.startedAt.IsZero() && s.Load != (demand.Load{}) {
		// An earlier holder has given up its orders; the demand is known.
		p.firstDemandAt = now.Add(-demandWarmup)
		p.tookOver = true
	}
	if p.firstDemandAt.IsZero() {
		if len(p.lastOrders) == 0 {
			// Later, servers that are to be replaced and those that replace them are there.
			p.initialFleet = max(p.initialFleet, s.presentServers())
		}
		if s.Load != (demand.Load{}) {
			p.firstDemandAt = now
		}
	}
	if p.firstDemandAt.IsZero() || now.Sub(p.firstDemandAt) < demandWarmup {
		return int(math.Ceil(initialFleetShare * float64(p.initialFleet)))
	}
	return 0
}

// reclaimWaveDuration is how long after a zone last had none to give a wave of reclaims is taken to
// go on: the next zone's turn comes some seconds later, and a server takes as long to
// boot.
const reclaimWaveDuration = 15 * time.Second

// inReclaimWave reports whether reclaimable servers are being taken away, or were lately.
func (p *Planner) inReclaimWave(s State, now time.Time) bool {
	for _, z := range s.Zones {
		if z.ReclaimableExhausted {
			p.lastReclaimAt = now
		}
	}
	return !p.lastReclaimAt.IsZero() && now.Sub(p.lastReclaimAt) < reclaimWaveDuration
}

func (s *State) presentServers() int {
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
		target.OnDemand = onDemandUntilReplaced(target, present, s.Scaling.BootTime)
		target = withLimitReplacements(target, present, s.Scaling.MaxPerZone)
		orders = p.appendOrder(orders, Order{Market{target.Zone, false}, target.OnDemand, present.OnDemand}, s.Scaling, now)
		if s.Scaling.SpotPriceRatio > 0 {
			orders = p.appendOrder(orders, Order{Market{target.Zone, true}, target.Reclaimable, present.Reclaimable}, s.Scaling, now)
		}
	}
	return orders
}

// withLimitReplacements adds a server for each that takes fewer requests than it is asked for, as far as
// the zone may have so many.
func withLimitReplacements(target Target, present Zone, most int) Target {
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

// appendOrder appends an order when it differs from the last one, or when that one has
// not taken effect in time.
func (p *Planner) appendOrder(orders []Order, order Order, scaling catalog.Scaling, now time.Time) []Order {
	order.Count = p.delayScaleDown(order, scaling.BootTime, now)
	last, known := p.lastOrders[order.Market]
	wait := scaling.BootTime + orderConfirmMargin
	if !last.accepted {
		wait = unansweredRetryDelay
	}
	settled := order.Present == order.Count && last.accepted
	if order.Present >= order.Count {
		delete(p.exhaustedUntil, order.Market)
	}
	repeated := known && last.count == order.Count
	retry, dry := p.exhaustedUntil[order.Market]
	switch {
	case repeated && (settled || now.Sub(last.placedAt) < wait):
	case !known && order.Present == order.Count:
	case dry && now.Before(retry):
	default:
		orders = append(orders, order)
	}
	return orders
}

// delayScaleDown returns the number to ask for: a higher one at once, a lower one when it
// has been wanted for a while.
func (p *Planner) delayScaleDown(order Order, boot time.Duration, now time.Time) int {
	delay := onDemandScaleDownDelay
	if order.Reclaimable {
		delay = reclaimableScaleDownDelay(boot)
	}
	held, known := p.heldCounts[order.Market]
	if !known && p.tookOver && order.Present > order.Count {
		// Why an earlier holder wanted them is not known: a zone that has none to give
		// shows when it is asked.
		held, known = heldCount{count: order.Present, since: now}, true
		p.heldCounts[order.Market] = held
	}
	if !known || order.Count >= held.count || now.Sub(held.since) >= delay {
		p.heldCounts[order.Market] = heldCount{count: order.Count, since: now}
		return order.Count
	}
	return held.count
}

// longBootTime is the boot time from which on servers on demand stay until those that
// replace them are there. A gap of 4 s costs less than to keep them (paired, 4 seeds a
// day: -0.001 and -0.009 on two users' days); one of 20 s lost a third of the requests
// in the model.
const longBootTime = 8 * time.Second

// onDemandUntilReplaced returns the number of servers on demand to keep in a zone while
// reclaimable ones that are to replace them boot.
func onDemandUntilReplaced(target Target, present Zone, boot time.Duration) int {
	missing := target.Reclaimable - present.Reclaimable
	if boot < longBootTime || missing <= 0 || present.ReclaimableExhausted {
		return target.OnDemand
	}
	return max(target.OnDemand, min(present.OnDemand, target.OnDemand+missing))
}

// reclaimableScaleDownDelay returns how long fewer reclaimable servers must have been wanted.
func reclaimableScaleDownDelay(boot time.Duration) time.Duration {
	return max(minScaleDownDelay, min(maxScaleDownDelay, scaleDownBootFactor*boot))
}

// RecordReply takes over how the cloud answered an order.
func (p *Planner) RecordReply(order Order, reply Reply, now time.Time) {
	p.lastOrders[order.Market] = placedOrder{count: order.Count, placedAt: now, accepted: reply == ReplyAccepted}
	switch reply {
	case ReplyDeclined:
		p.exhaustedUntil[order.Market] = now.Add(exhaustedRetryDelay)
	case ReplyAccepted:
		delete(p.exhaustedUntil, order.Market)
	}
}
