package experiment

import (
	"fmt"
	"time"

	"github.com/plankridge/plankridge/internal/capacity"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
)

// start adds an engine.
func (w *world) start(zone Zone, reclaimable bool) {
	w.started++
	e := newEngine(w, fmt.Sprintf("engine-%03d", w.started), zone, reclaimable)
	w.engines = append(w.engines, e)
	for _, d := range w.daemons {
		d.view.Put(e.entry(), w.now)
	}
}

// reclaim takes a zone's reclaimable engines away.
func (w *world) reclaim(r Reclaim) {
	w.dryUntil[r.Zone] = w.now.Add(r.Dry.Std())
	for _, e := range w.engines {
		if e.reclaimable && e.zone.Name == r.Zone && !e.ended {
			w.leave(e, r.Notice.Std())
		}
	}
}

// leave lets an engine drain and end.
func (w *world) leave(e *engine, notice time.Duration) {
	if e.draining {
		return
	}
	e.draining = true
	for _, d := range w.daemons {
		d.view.Put(e.entry(), w.now)
	}
	w.after(notice, func() { w.end(e) })
}

func (w *world) end(e *engine) {
	if e.ended {
		return
	}
	w.bill(e)
	for _, j := range e.end() {
		w.broken(j)
	}
	for _, d := range w.daemons {
		d.view.Remove(e.id, w.now)
	}
}

// bill adds an engine's time to the cost.
func (w *world) bill(e *engine) {
	if e.ended {
		return
	}
	price := e.zone.Price
	if e.reclaimable {
		price *= w.day.Engine.SpotPrice
	}
	w.result.ServerSeconds += price * w.now.Sub(e.since).Seconds()
}

// scale gives the orders of the sizing.
func (w *world) scale() {
	var load demand.Load
	for _, d := range w.daemons {
		load = load.Add(d.demand.Rates(w.now)[service])
	}
	state := capacity.State{Scaling: w.scaling(), Load: load}
	for _, z := range w.day.Zones {
		state.Zones = append(state.Zones, w.zoneState(z.Name))
	}
	for _, o := range w.sizing.orders(w.planner, state, w.now) {
		w.planner.RecordReply(o, w.carryOut(o), w.now)
	}
}

func (w *world) scaling() catalog.Scaling {
	s := catalog.Scaling{
		MinPerZone: w.day.Engine.Min, MaxPerZone: w.day.Engine.Max, BootTime: w.day.Engine.Boot.Std(),
		SpotPriceRatio: w.day.Engine.SpotPrice, ZonePrices: map[string]float64{},
	}
	for _, z := range w.day.Zones {
		s.ZonePrices[z.Name] = z.Price
	}
	return s
}

func (w *world) zoneState(name string) capacity.Zone {
	zone := capacity.Zone{Name: name, ReclaimableExhausted: w.now.Before(w.dryUntil[name])}
	for _, e := range w.engines {
		switch {
		case e.zone.Name != name || e.draining || e.ended:
		case e.reclaimable:
			zone.Reclaimable++
		default:
			zone.OnDemand++
		}
	}
	return zone
}

// carryOut starts or drains engines so that the market has the number ordered.
func (w *world) carryOut(o capacity.Order) capacity.Reply {
	missing := o.Count - o.Present
	if missing > 0 && o.Reclaimable && w.now.Before(w.dryUntil[o.Zone]) {
		return capacity.ReplyDeclined
	}
	zone := w.zone(o.Zone)
	for range missing {
		w.after(w.day.Engine.Boot.Std(), func() { w.start(zone, o.Reclaimable) })
	}
	for i := len(w.engines) - 1; i >= 0 && missing < 0; i-- {
		if e := w.engines[i]; e.zone.Name == o.Zone && e.reclaimable == o.Reclaimable && !e.draining && !e.ended {
			w.leave(e, settled)
			missing++
		}
	}
	return capacity.ReplyAccepted
}

func (w *world) zone(name string) Zone {
	for _, z := range w.day.Zones {
		if z.Name == name {
			return z
		}
	}
	return Zone{Name: name}
}
