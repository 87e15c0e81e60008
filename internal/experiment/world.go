package experiment

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/capacity"
	"github.com/plankridge/plankridge/internal/demand"
)

const (
	// service is the name of the one service that is played.
	service = "engines"
	// scaleTick is how often capacity is decided, as at the daemons.
	scaleTick = 300 * time.Millisecond
	// settled is how long a server that is told to leave goes on with what it has.
	settled = 10 * time.Second
	// comeBack is when a caller whose request was refused or broken off sends it
	// again; it does so once.
	comeBack = 150 * time.Millisecond
	// connectWait is how long a caller tries to connect before it tries again.
	connectWait = time.Second
)

// origin is the virtual time at which callers come.
var origin = time.Unix(0, 0)

// request is what a caller sends.
type request struct {
	kind   *Kind
	zone   string
	daemon *daemon
	tokens int
	parts  []backend.PromptPart
	output int
	// arrived is the caller's first sending; tries counts them.
	arrived time.Time
	tries   int
	// deferred is set for a request that goes behind those that are not overdue.
	deferred bool
	// late is set when the first event or a pause was over its target.
	late bool
}

// world is one play of a day.
type world struct {
	day     *Day
	policy  Policy
	sizing  Sizing
	random  *rand.Rand
	now     time.Time
	events  events
	order   int64
	daemons []*daemon
	engines []*engine
	started int
	planner *capacity.Planner
	// downUntil is until when no daemon runs.
	downUntil time.Time
	// dryUntil is until when a zone has no reclaimable servers to give.
	dryUntil map[string]time.Time
	// readAt is when some engine last read a part.
	readAt map[string]time.Time
	result *Result
}

// Play plays a day with a policy and a sizing.
func Play(day *Day, policy Policy, sizing Sizing, seed uint64) *Result {
	w := &world{
		day: day, policy: policy, sizing: sizing, random: rand.New(rand.NewPCG(seed, seed)), now: origin.Add(-day.Lead.Std()),
		planner: capacity.NewPlanner(), dryUntil: map[string]time.Time{}, readAt: map[string]time.Time{},
		result: newResult(day, policy, sizing),
	}
	w.build()
	w.runUntil(0)
	for i := range day.Requests {
		w.arriveNext(&day.Requests[i])
	}
	w.runUntil(day.Length.Std())
	for _, e := range w.engines {
		w.bill(e)
	}
	// What has arrived is still answered, at no further cost.
	cost := w.result.ServerSeconds
	w.runUntil(day.Length.Std() + day.longestLimit())
	w.result.ServerSeconds = cost
	return w.result
}

// runUntil lets everything happen up to a time of the day.
func (w *world) runUntil(length time.Duration) {
	end := origin.Add(length)
	for w.events.Len() > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(*event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// build makes the daemons, the first engines and what happens in the day.
func (w *world) build() {
	for _, zone := range w.day.Zones {
		for range w.day.Daemons {
			w.daemons = append(w.daemons, newDaemon(w, fmt.Sprintf("daemon-%d", len(w.daemons)+1), zone.Name))
		}
		for range w.day.Engine.Initial {
			w.start(zone, false)
		}
	}
	w.every(w.day.Gossip.Std(), 0, w.gossip)
	w.every(scaleTick, 0, w.scale)
	for _, d := range w.day.Deaths {
		w.after(origin.Add(d.At.Std()).Sub(w.now), func() { w.dieAll(d.Down.Std()) })
	}
	for _, r := range w.day.Reclaims {
		w.after(origin.Add(r.At.Std()).Sub(w.now), func() { w.reclaim(r) })
	}
}

// daemon is one daemon's part in the play.
type daemon struct {
	world *world
	id    string
	zone  string
	view  *backend.View
	// demand is what this daemon was asked for.
	demand *demand.Meter
	turn   int
}

func newDaemon(w *world, id, zone string) *daemon {
	d := &daemon{world: w, id: id, zone: zone, view: backend.NewView(), demand: demand.NewMeter()}
	d.demand.SetBootTime(service, w.day.Engine.Boot.Std(), w.now)
	d.view.SetTraits(map[string]backend.Traits{service: {
		CacheTokens: w.day.Engine.MemoryTokens, EventTokens: w.day.Engine.EventTokens, FetchRate: w.day.Engine.CopyRate,
	}})
	for _, e := range w.engines {
		d.view.Put(e.entry(), w.now)
	}
	return d
}

// gossip tells every daemon what all others have in flight.
func (w *world) gossip() {
	sum := map[uint32]backend.Load{}
	own := make([]map[uint32]backend.Load, len(w.daemons))
	for i, d := range w.daemons {
		own[i] = d.view.OwnLoads()
		for key, load := range own[i] {
			sum[key] = sum[key].Plus(load)
		}
	}
	for i, d := range w.daemons {
		others := maps.Clone(sum)
		for key, load := range own[i] {
			others[key] = others[key].Minus(load)
		}
		d.view.SetPeerLoads(others, w.now)
	}
}
