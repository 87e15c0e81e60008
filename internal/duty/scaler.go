package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/capacity"
	"github.com/plankridge/plankridge/internal/catalog"
)

const (
	// scaleTick is how often capacity is decided.
	scaleTick = 300 * time.Millisecond
	// confirmMargin is how much longer than the boot time an order may take to
	// show in the list before it is given again.
	confirmMargin = 3 * time.Second
	// dryFor is how long no reclaimable servers are asked for in a zone after
	// the cloud had none.
	dryFor = 4 * time.Second
	// fallDelay is how long fewer servers must have been wanted before fewer are
	// asked for: demand is uneven, and a server that leaves takes its cache along.
	// Those on demand cost several times as much to keep.
	fallDelay         = 6 * time.Second
	fallDelayOnDemand = 2 * time.Second
	// unansweredFor is how soon an order without an answer is given again.
	unansweredFor = 1500 * time.Millisecond
)

// Scaler orders the backend servers that the plan asks for.
type Scaler struct {
	Holder  *Holder
	Cloud   Cloud
	View    *backend.View
	Catalog func() *catalog.Catalog
	// Demand returns the number of servers that the present demand of a service
	// keeps busy.
	Demand func(service string) float64
	Logger *slog.Logger

	given map[market]given
	held  map[market]wanted
	dry   map[market]time.Time
	fence int64
}

// market is one kind of server in one zone.
type market struct {
	service     string
	zone        string
	reclaimable bool
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

// Run orders until the context ends.
func (s *Scaler) Run(ctx context.Context) {
	ticker := time.NewTicker(scaleTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.step(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (s *Scaler) step(ctx context.Context, now time.Time) {
	right, holds := s.Holder.Right()
	c := s.Catalog()
	if !holds || c == nil {
		return
	}
	if right.Fence != s.fence {
		// What earlier holders ordered is not known.
		s.fence, s.given, s.held, s.dry = right.Fence, map[market]given{}, map[market]wanted{}, map[market]time.Time{}
	}
	for name, service := range c.Services {
		if service.Scaling != nil {
			s.scale(ctx, name, *service.Scaling, now)
		}
	}
}

func (s *Scaler) scale(ctx context.Context, service string, scaling catalog.Scaling, now time.Time) {
	zones := s.zones(service, scaling, now)
	plan := capacity.Plan(capacity.State{Scaling: scaling, Zones: zones, Load: s.Demand(service)})
	for _, target := range plan {
		present := zones[indexOf(zones, target.Zone)]
		s.order(ctx, Order{Service: service, Zone: target.Zone, Count: target.OnDemand}, present.OnDemand, scaling.BootTime)
		if scaling.SpotPrice > 0 {
			s.order(ctx, Order{Service: service, Zone: target.Zone, Reclaimable: true, Count: target.Reclaimable}, present.Reclaimable, scaling.BootTime)
		}
	}
}

// zones counts the servers that take new work.
func (s *Scaler) zones(service string, scaling catalog.Scaling, now time.Time) []capacity.Zone {
	var zones []capacity.Zone
	for name := range scaling.ZonePrices {
		_, dry := s.dry[market{service, name, true}]
		zones = append(zones, capacity.Zone{Name: name, Dry: dry})
	}
	for _, server := range s.View.Servers(now) {
		i := indexOf(zones, server.Zone)
		if server.Service != service || i < 0 {
			continue
		}
		if server.Draining && server.Reclaimable && server.LeavesIn > 0 {
			// A notice takes all reclaimable servers of a zone; no more are to be
			// had there for a while.
			zones[i].Dry = true
		}
		if !server.Ready {
			continue
		}
		if server.Reclaimable {
			zones[i].Reclaimable++
		} else {
			zones[i].OnDemand++
		}
	}
	return zones
}

func indexOf(zones []capacity.Zone, name string) int {
	for i := range zones {
		if zones[i].Name == name {
			return i
		}
	}
	return -1
}

// hold returns the number to ask for: a higher one at once, a lower one when it
// has been wanted for a while.
func (s *Scaler) hold(key market, count int, now time.Time) int {
	delay := fallDelayOnDemand
	if key.reclaimable {
		delay = fallDelay
	}
	held, known := s.held[key]
	if !known || count >= held.count || now.Sub(held.at) >= delay {
		s.held[key] = wanted{count: count, at: now}
		return count
	}
	return held.count
}

// order gives an order when it differs from the last one, or when that one has
// not taken effect in time.
func (s *Scaler) order(ctx context.Context, order Order, present int, boot time.Duration) {
	now := time.Now()
	key := market{order.Service, order.Zone, order.Reclaimable}
	order.Count = s.hold(key, order.Count, now)
	last, known := s.given[key]
	wait := boot + confirmMargin
	if !last.answered {
		wait = unansweredFor
	}
	settled := present == order.Count && last.answered
	if present >= order.Count {
		delete(s.dry, key)
	}
	if known && last.count == order.Count && (settled || now.Sub(last.at) < wait) {
		return
	}
	if !known && present == order.Count {
		return
	}
	if retry, dry := s.dry[key]; dry && now.Before(retry) {
		return
	}
	right, holds := s.Holder.Right()
	if !holds {
		return
	}
	err := s.Cloud.Scale(ctx, right, order)
	s.given[key] = given{count: order.Count, at: now, answered: err == nil}
	switch {
	case errors.Is(err, ErrDeclined):
		s.dry[key] = now.Add(dryFor)
	case err == nil:
		delete(s.dry, key)
	}
	s.Logger.Info("servers ordered", "service", order.Service, "zone", order.Zone, "reclaimable", order.Reclaimable,
		"count", order.Count, "present", present, "fence", right.Fence, "error", text(err))
}
