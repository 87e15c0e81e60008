package duty

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/capacity"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
)

// scaleTick is the time between two capacity decisions.
const scaleTick = 300 * time.Millisecond

// Scaler orders the backend servers that the capacity plan requires.
type Scaler struct {
	Elector *Elector
	Cloud   Cloud
	View    *backend.View
	Catalog func() *catalog.Catalog
	// Demand returns the demand for a service, as the number of servers that it keeps busy.
	Demand func(service string) demand.Reading
	// VersionUnsettled reports whether a service may have servers of two versions. It is then
	// open which of them an order would count, so no servers are ordered until the roll-out has
	// ended.
	VersionUnsettled func(service string) bool
	Logger           *slog.Logger

	planners map[string]*capacity.Planner
	fence    int64
}

// Run orders servers until the context ends.
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
	token, holds := s.Elector.Token()
	c := s.Catalog()
	if !holds || c == nil || !s.View.ListReceived() {
		return
	}
	if token.Fence != s.fence {
		// The orders of earlier holders are not known.
		s.fence, s.planners = token.Fence, map[string]*capacity.Planner{}
	}
	for name, service := range c.Services {
		if service.Scaling != nil && !s.VersionUnsettled(name) {
			s.scale(ctx, name, *service.Scaling, now)
		}
	}
}

func (s *Scaler) scale(ctx context.Context, service string, scaling catalog.Scaling, now time.Time) {
	planner := s.planners[service]
	if planner == nil {
		planner = capacity.NewPlanner()
		s.planners[service] = planner
	}
	reading := s.Demand(service)
	// The demand is in mean servers. Which kind an order brings is unknown, so the present mix counts.
	reading.Load = reading.Load.Scaled(1 / s.View.MeanCapacity(service, now))
	state := capacity.State{Scaling: scaling, Zones: s.zones(service, scaling, now), Load: reading.Load, DemandIncomplete: reading.Incomplete}
	for _, order := range planner.Orders(state, now) {
		s.order(ctx, service, planner, order, reading)
	}
}

// zones counts the ready servers of a service by zone.
func (s *Scaler) zones(service string, scaling catalog.Scaling, now time.Time) []capacity.Zone {
	var zones []capacity.Zone
	for name := range scaling.ZonePrices {
		zones = append(zones, capacity.Zone{Name: name})
	}
	for _, server := range s.View.Servers(now) {
		i := slices.IndexFunc(zones, func(z capacity.Zone) bool { return z.Name == server.Zone })
		if server.Service != service || i < 0 || server.Barred {
			continue
		}
		if server.Draining && server.Reclaimable && server.LeavesIn > 0 {
			// A reclaim notice takes all reclaimable servers of a zone, and no more are
			// available there for a while.
			zones[i].ReclaimableExhausted = true
		}
		if server.Draining && server.Reclaimable {
			zones[i].ReclaimableDraining++
		}
		if server.Ready {
			countReady(&zones[i], server)
		}
	}
	return zones
}

// countReady counts one ready server.
func countReady(zone *capacity.Zone, server backend.Status) {
	all, atLimit := &zone.OnDemand, &zone.OnDemandAtLimit
	if server.Reclaimable {
		all, atLimit = &zone.Reclaimable, &zone.ReclaimableAtLimit
	}
	*all++
	if server.AtLimit {
		*atLimit++
	}
}

// order sends an order to the cloud if this daemon still holds the lease.
func (s *Scaler) order(ctx context.Context, service string, planner *capacity.Planner, order capacity.Order, reading demand.Reading) {
	token, holds := s.Elector.Token()
	if !holds {
		return
	}
	err := s.Cloud.Scale(ctx, token, Order{Service: service, Zone: order.Zone, Reclaimable: order.Reclaimable, Count: order.Count})
	planner.RecordReply(order, replyOf(err), time.Now())
	s.Logger.Info("servers ordered", "service", service, "zone", order.Zone, "reclaimable", order.Reclaimable,
		"count", order.Count, "present", order.Present, "reading", reading.Load.Prefill, "places", reading.Load.Batch, "memory", reading.Load.Memory, "demand_complete", !reading.Incomplete,
		"mean_capacity", s.View.MeanCapacity(service, time.Now()), "fence", token.Fence, "error", errorText(err))
}

func replyOf(err error) capacity.Reply {
	switch {
	case err == nil:
		return capacity.ReplyAccepted
	case errors.Is(err, ErrDeclined):
		return capacity.ReplyDeclined
	}
	return capacity.ReplyNone
}
