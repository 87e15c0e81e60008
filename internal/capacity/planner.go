package capacity

import (
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/demand"
)

const (
	// orderConfirmMargin is added to the boot time to get the time after which an order that has
	// not taken effect in the VM list is repeated.
	orderConfirmMargin = 3 * time.Second
	// exhaustedRetryDelay is how long no reclaimable servers are ordered in a zone after the cloud
	// had none available.
	exhaustedRetryDelay = 4 * time.Second
	// scaleDownBootFactor is how long, in boot times, the demand for reclaimable servers must stay
	// lower before they are scaled down. Demand fluctuates, a removed server loses its cache, and
	// its replacement must boot before it can fill its cache again. With half of this factor,
	// callers are served worse, and twice the factor brings no gain. minScaleDownDelay and
	// maxScaleDownDelay limit the delay.
	scaleDownBootFactor = 3
	minScaleDownDelay   = 6 * time.Second
	maxScaleDownDelay   = 30 * time.Second
	// onDemandScaleDownDelay is the same delay for on-demand servers, which cost several times as
	// much to keep.
	onDemandScaleDownDelay = 2 * time.Second
	// demandWarmup is how long after the first request the demand is considered unknown: twice the
	// default time constant of the demand meter.
	demandWarmup = 6 * time.Second
	// discoveryPeriod is how long a planner observes the servers before its first order, unless
	// there is demand. When a deployment starts, its servers are listed one after the other within
	// two heartbeats (1.2 s).
	discoveryPeriod = 3 * time.Second
	// initialFleetShare is the share of the initial fleet that is kept until the demand is known.
	// In a simulated large deployment, half of the initial servers would run at a utilization of
	// 0.4.
	initialFleetShare = 1.0
	// unansweredRetryDelay is the delay after which an order without a reply is repeated.
	unansweredRetryDelay = 1500 * time.Millisecond
)

// Market is one kind of server, on demand or reclaimable, in one availability zone.
type Market struct {
	Zone        string
	Reclaimable bool
}

// Order sets the number of servers in a market.
type Order struct {
	Market
	Count int
	// Present is the number of servers of the market that accept new requests.
	Present int
}

// Reply is the cloud's reply to an order.
type Reply int

// The replies to an order.
const (
	// ReplyAccepted: the order is being carried out.
	ReplyAccepted Reply = iota
	// ReplyDeclined: no such servers are available, or another daemon holds the lease.
	ReplyDeclined
	// ReplyNone: no reply arrived, and the order may have been accepted.
	ReplyNone
)

// Planner turns the plans for one service into orders over time. It suppresses orders for
// short-lived changes of the plan, and repeats orders that have not taken effect.
type Planner struct {
	lastOrders map[Market]placedOrder
	heldCounts map[Market]heldCount
	// exhaustedUntil is the time until which the cloud is assumed to have no servers of a market.
	exhaustedUntil map[Market]time.Time
	// initialFleet is the highest number of servers seen before the first demand and the first
	// order. firstDemandAt is the time of the first demand.
	initialFleet  int
	firstDemandAt time.Time
	// startedAt is the time of the first call of Orders.
	startedAt time.Time
	// tookOver is set if the planner continues the work of an earlier lease holder's planner.
	tookOver bool
	// lastReclaimAt is when a zone last had no reclaimable servers available.
	lastReclaimAt time.Time
}

// placedOrder is the last order in a market.
type placedOrder struct {
	count    int
	placedAt time.Time
	accepted bool
}

// heldCount is the number of servers ordered in a market, and the last time at which the plan
// wanted at least that many.
type heldCount struct {
	count        int
	lastWantedAt time.Time
}

// NewPlanner returns a planner without earlier orders.
func NewPlanner() *Planner {
	return &Planner{lastOrders: map[Market]placedOrder{}, heldCounts: map[Market]heldCount{}, exhaustedUntil: map[Market]time.Time{}}
}

// Orders returns the orders to place now. RecordReply must be called for each of them.
func (p *Planner) Orders(s State, now time.Time) []Order {
	p.detectReclaims(s, now)
	for i := range s.Zones {
		if _, exhausted := p.exhaustedUntil[Market{s.Zones[i].Name, true}]; exhausted {
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

// minReclaimedTogether is the number of reclaimable servers that must drain together to show a reclaim. A
// single one may be replaced by its operator.
const minReclaimedTogether = 2

// detectReclaims detects reclaims by the servers themselves: a zone's reclaimable servers all drain although
// none of them was to be removed. The cloud need not announce when they leave. There are no more of them in
// the zone for a while, and the order that they belonged to is void.
func (p *Planner) detectReclaims(s State, now time.Time) {
	for _, z := range s.Zones {
		market := Market{z.Name, true}
		if z.Reclaimable > 0 || z.ReclaimableDraining < minReclaimedTogether || p.heldCounts[market].count == 0 {
			continue
		}
		p.exhaustedUntil[market] = now.Add(exhaustedRetryDelay)
		delete(p.lastOrders, market)
	}
}

// minServers returns the number of servers to keep until the demand is known: a share of the
// initial fleet, which the operator considered sufficient.
func (p *Planner) minServers(s State, now time.Time) int {
	if p.startedAt.IsZero() && s.Load != (demand.Load{}) {
		// An earlier lease holder placed orders before, so that the demand is known already.
		p.firstDemandAt = now.Add(-demandWarmup)
		p.tookOver = true
	}
	if p.firstDemandAt.IsZero() {
		if len(p.lastOrders) == 0 {
			// After the first order, the count would include both the replaced servers and their
			// replacements.
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

// reclaimWaveDuration is how long a reclaim wave is assumed to continue after a zone last had no
// reclaimable servers available. The wave reaches the next zone some seconds later, and a server
// takes as long to boot.
const reclaimWaveDuration = 15 * time.Second

// inReclaimWave reports whether reclaimable servers are being reclaimed or recently were.
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

// OrdersFor returns the orders that lead to the targets. RecordReply must be called for each of
// them.
func (p *Planner) OrdersFor(targets []Target, s State, now time.Time) []Order {
	var orders []Order
	for _, target := range targets {
		present := s.zone(target.Zone)
		target.OnDemand = onDemandUntilReplaced(target, present, s.Scaling.BootTime)
		target = withLimitReplacements(target, present, s.Scaling.MaxPerZone)
		orders = p.appendOrder(orders, Order{Market{target.Zone, false}, target.OnDemand, present.OnDemand}, s, now)
		if s.Scaling.SpotPriceRatio > 0 {
			orders = p.appendOrder(orders, Order{Market{target.Zone, true}, target.Reclaimable, present.Reclaimable}, s, now)
		}
	}
	return orders
}

// withLimitReplacements adds a server for each one whose request limit is below the demand, within
// the maximum of the zone.
func withLimitReplacements(target Target, present Zone, maxPerZone int) Target {
	room := max(0, maxPerZone-target.OnDemand-target.Reclaimable)
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

// appendOrder appends the order if it differs from the last one, or if the last one has not taken
// effect in time.
func (p *Planner) appendOrder(orders []Order, order Order, s State, now time.Time) []Order {
	order.Count = p.delayScaleDown(order, s, now)
	last, known := p.lastOrders[order.Market]
	wait := s.Scaling.BootTime + orderConfirmMargin
	if !last.accepted {
		wait = unansweredRetryDelay
	}
	settled := order.Present == order.Count && last.accepted
	if order.Present >= order.Count {
		delete(p.exhaustedUntil, order.Market)
	}
	repeated := known && last.count == order.Count
	retryAt, exhausted := p.exhaustedUntil[order.Market]
	switch {
	case repeated && (settled || now.Sub(last.placedAt) < wait):
	case !known && order.Present == order.Count:
	case exhausted && now.Before(retryAt):
	default:
		orders = append(orders, order)
	}
	return orders
}

// delayScaleDown returns the number of servers to order. An increase applies immediately, a
// decrease after the scale-down delay, which starts anew while the demand is incomplete.
func (p *Planner) delayScaleDown(order Order, s State, now time.Time) int {
	delay := onDemandScaleDownDelay
	if order.Reclaimable {
		delay = reclaimableScaleDownDelay(s.Scaling.BootTime)
	}
	held, known := p.heldCounts[order.Market]
	uncertain := s.DemandIncomplete && !p.firstDemandAt.IsZero()
	if !known && (p.tookOver || uncertain) && order.Present > order.Count {
		// The reason for the earlier lease holder's surplus is unknown. It may substitute for
		// servers of a zone that has no reclaimable ones, which shows only when they are ordered.
		held, known = heldCount{count: order.Present, lastWantedAt: now}, true
		p.heldCounts[order.Market] = held
	}
	if known && uncertain && order.Count < held.count {
		held.lastWantedAt = now
		p.heldCounts[order.Market] = held
		return held.count
	}
	if !known || order.Count >= held.count || now.Sub(held.lastWantedAt) >= delay {
		p.heldCounts[order.Market] = heldCount{count: order.Count, lastWantedAt: now}
		return order.Count
	}
	return held.count
}

// longBootTime is the boot time from which on-demand servers are kept until their replacements have
// booted. A gap of 4 s costs less than paying for both the on-demand servers and their
// replacements. A gap of 20 s can lose a third of the requests.
const longBootTime = 8 * time.Second

// onDemandUntilReplaced returns the number of on-demand servers to keep in a zone while the
// reclaimable servers that replace them boot.
func onDemandUntilReplaced(target Target, present Zone, boot time.Duration) int {
	missing := target.Reclaimable - present.Reclaimable
	if boot < longBootTime || missing <= 0 || present.ReclaimableExhausted {
		return target.OnDemand
	}
	return max(target.OnDemand, min(present.OnDemand, target.OnDemand+missing))
}

// reclaimableScaleDownDelay returns how long fewer reclaimable servers must be wanted before they
// are scaled down.
func reclaimableScaleDownDelay(boot time.Duration) time.Duration {
	return max(minScaleDownDelay, min(maxScaleDownDelay, scaleDownBootFactor*boot))
}

// RecordReply records the cloud's reply to an order.
func (p *Planner) RecordReply(order Order, reply Reply, now time.Time) {
	p.lastOrders[order.Market] = placedOrder{count: order.Count, placedAt: now, accepted: reply == ReplyAccepted}
	switch reply {
	case ReplyDeclined:
		p.exhaustedUntil[order.Market] = now.Add(exhaustedRetryDelay)
	case ReplyAccepted:
		delete(p.exhaustedUntil, order.Market)
	}
}
