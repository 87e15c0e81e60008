package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/route"
)

// kind is a kind of request, as in the deployments that the design is for.
type kind struct {
	class         int
	perSecond     float64
	prefill       time.Duration
	target, limit time.Duration
	worth         float64
}

var (
	shortStreams = kind{class: 0, perSecond: 520, prefill: 27 * time.Millisecond, target: 500 * time.Millisecond, limit: 3 * time.Second, worth: 2.8}
	longStreams  = kind{class: 2, perSecond: 127, prefill: 100 * time.Millisecond, target: 2 * time.Second, limit: 15 * time.Second, worth: 2.5}
	// tightStreams are those of the other deployment, whose least urgent route has less time.
	tightStreams = []kind{
		{class: 0, perSecond: 435, prefill: 16 * time.Millisecond, target: 500 * time.Millisecond, limit: 3 * time.Second, worth: 1.6},
		{class: 1, perSecond: 189, prefill: 59 * time.Millisecond, target: 800 * time.Millisecond, limit: 15 * time.Second, worth: 5.3},
	}
)

const (
	tick = 10 * time.Millisecond
	// workspaces is the number of workspaces. The first one has hotShare of the usual demand, and the
	// others share the rest.
	workspaces = 16
	hotShare   = 0.12
	// usualUse is the use of the servers by the usual demand, as a plan for it would have it.
	usualUse     = 0.65
	sumsInterval = 400 * time.Millisecond
)

// scenario is a load and its trouble. The burst lasts from burstFrom to burstTo, as in the days that
// were measured.
type scenario struct {
	daemons int
	// kinds are the usual kinds of requests, shortStreams and longStreams if empty.
	kinds []kind
	// hot and long are the factors of the first workspace's demand and of the long streams' rate.
	hot, long float64
	// sumsAge is the age of the sums.
	sumsAge time.Duration
	// uncontrolled is set for a deployment whose daemons have no admission level.
	uncontrolled bool
	// restartAt is when half of the daemons restart, and partitionedAt when the deployment falls into
	// halves. Zero means never.
	restartAt, partitionedAt time.Duration
	// old is the share of daemons of an earlier version.
	old float64
	// unrecognized is set if daemons do not see that a call is a retry, because it follows at once.
	unrecognized bool
}

const (
	burstFrom = 8 * time.Second
	burstTo   = 14 * time.Second
	duration  = 20 * time.Second
)

// call is one caller's request.
type call struct {
	kind      kind
	workspace int
	arrived   time.Duration
	// retried is set once the caller has tried twice, and told if the refusal said when to.
	retried, told bool
	remaining     time.Duration
}

// tally counts the calls that arrived in the burst, and those that were served in time.
type tally struct{ asked, served float64 }

func (t tally) share() float64 { return t.served / max(1, t.asked) }

// daemon is what a daemon's decisions depend on.
type daemon struct {
	meter      *demand.Meter
	controller *Controller
	half       int
	old        bool
}

// snapshot is the state of the deployment that reports tell, by half of a partition.
type snapshot struct {
	at      time.Duration
	load    [2]demand.Load
	parts   [2]demand.Parts
	own     []demand.Load
	ownPart []demand.Parts
	backlog time.Duration
}

// world plays a scenario. Every server processes one prompt at a time, the most urgent class first.
type world struct {
	scenario
	random  *rand.Rand
	now     time.Duration
	list    []*daemon
	queues  [][route.RankClasses][]*call
	sums    []snapshot
	retries map[time.Duration][]*call

	all                  tally
	byClass              [route.RankClasses]tally
	byWorkspace          [workspaces]tally
	worth, worthAsked    float64
	refused, refusedCalm int
	late                 tally
	told                 tally
}

var epoch = time.Unix(1000, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func newDaemon(index int) *daemon {
	d := &daemon{meter: demand.NewMeter(), controller: NewController(), half: index % 2}
	d.controller.SetServices(map[string]bool{"s": true})
	return d
}

// play plays a scenario.
func play(s scenario) *world {
	if s.kinds == nil {
		s.kinds = []kind{shortStreams, longStreams}
	}
	w := &world{scenario: s, random: rand.New(rand.NewPCG(1, uint64(s.daemons))), retries: map[time.Duration][]*call{}}
	for i := range s.daemons {
		w.list = append(w.list, newDaemon(i))
		w.list[i].old = float64(i) < s.old*float64(s.daemons)
	}
	usual := 0.0
	for _, k := range s.kinds {
		usual += k.perSecond * k.prefill.Seconds()
	}
	w.queues = make([][route.RankClasses][]*call, int(usual/usualUse))
	for w.now = 0; w.now < duration; w.now += tick {
		if w.now == s.restartAt && s.restartAt > 0 {
			for i := 0; i < len(w.list); i += 2 {
				w.list[i] = newDaemon(i / 2)
			}
		}
		if w.now%sumsInterval == 0 {
			w.gossip()
		}
		for _, c := range w.retries[w.now] {
			w.arrive(c)
		}
		w.callersArrive()
		w.serve()
	}
	return w
}

func (w *world) inBurst() bool { return w.now >= burstFrom && w.now < burstTo }

func (w *world) callersArrive() {
	for _, k := range w.kinds {
		for workspace := range workspaces {
			share := (1 - hotShare) / (workspaces - 1)
			if workspace == 0 {
				share = hotShare
			}
			rate := k.perSecond * share
			if w.inBurst() && workspace == 0 {
				rate *= w.hot
			}
			if w.inBurst() && k.class > 0 {
				rate *= w.long
			}
			for range w.poisson(rate * tick.Seconds()) {
				w.arrive(&call{kind: k, workspace: workspace, arrived: w.now})
			}
		}
	}
}

func (w *world) poisson(mean float64) int {
	n, p, limit := 0, w.random.Float64(), math.Exp(-mean)
	for ; p > limit; n++ {
		p *= w.random.Float64()
	}
	return n
}

// count counts a call of the burst. The first second is left out, in which no daemon knows of it yet.
func (w *world) count(c *call, served bool) {
	if c.arrived < burstFrom+time.Second || c.arrived >= burstTo {
		return
	}
	for _, t := range []*tally{&w.all, &w.byClass[c.kind.class], &w.byWorkspace[c.workspace]} {
		if served {
			t.served++
			continue
		}
		t.asked++
	}
	if served {
		w.worth += c.kind.worth
		return
	}
	w.worthAsked += c.kind.worth
}

func (w *world) arrive(c *call) {
	if !c.retried {
		w.count(c, false)
	}
	d := w.list[w.random.IntN(len(w.list))]
	origin := demand.Origin{Class: c.kind.class, Workspace: fmt.Sprint("w", c.workspace)}
	age := w.now - c.arrived
	if route.Overdue(age, c.kind.target) {
		origin.Class = route.LeastUrgent
	}
	// The estimates of an attempt's load differ from what it takes.
	work := c.kind.prefill.Seconds() * (0.8 + 0.4*w.random.Float64())
	record := func() {
		d.meter.RecordRequest("s", origin, demand.Load{Prefill: work, Batch: work / 4, Memory: work / 3}, w.clock())
	}
	if !w.uncontrolled && !d.old {
		request := Request{Class: origin.Class, Workspace: origin.Workspace, Retry: c.retried && !w.unrecognized, Draw: w.random.Float64(), MaxRetryWait: (c.kind.limit - age) / 3}
		if verdict, ok := d.controller.Decide("s", request); ok && !verdict.Admitted {
			if !c.retried || w.unrecognized {
				record()
			}
			w.refuse(c, verdict.RetryAfter)
			return
		}
	}
	record()
	server, wait := w.pick(origin.Class)
	use := d.controller.UrgentUse("s")
	wait = time.Duration(wait.Seconds() / (1 - use[origin.Class]) * float64(time.Second))
	timing := route.Timing{Age: age, Wait: wait + c.kind.prefill, IdleWait: c.kind.prefill, Target: c.kind.target, Remaining: c.kind.limit - age}
	if timing.ShouldRefuse() {
		w.refuse(c, 0)
		return
	}
	c.remaining = c.kind.prefill
	w.queues[server][origin.Class] = append(w.queues[server][origin.Class], c)
}

// refuse lets the caller retry once: when it is told to, or else at once.
func (w *world) refuse(c *call, after time.Duration) {
	if !w.inBurst() {
		w.refusedCalm++
	}
	w.refused++
	if c.retried {
		return
	}
	c.retried, c.told = true, after > 0
	if c.told {
		w.told.asked++
	}
	at := (w.now + max(tick, after)).Truncate(tick)
	w.retries[at] = append(w.retries[at], c)
}

// pick returns the better one of two servers and the wait for a class there.
func (w *world) pick(class int) (server int, wait time.Duration) {
	a, b := w.random.IntN(len(w.queues)), w.random.IntN(len(w.queues))
	waitA, waitB := w.waitAt(a, class), w.waitAt(b, class)
	if waitB < waitA {
		return b, waitB
	}
	return a, waitA
}

func (w *world) waitAt(server, class int) time.Duration {
	var wait time.Duration
	for _, queue := range w.queues[server][:class+1] {
		for _, c := range queue {
			wait += c.remaining
		}
	}
	return wait
}

// serve lets every server work for one tick, the most urgent class first.
func (w *world) serve() {
	for i := range w.queues {
		left := tick
		for class := range w.queues[i] {
			for left > 0 && len(w.queues[i][class]) > 0 {
				c := w.queues[i][class][0]
				done := min(left, c.remaining)
				c.remaining -= done
				left -= done
				if c.remaining > 0 {
					break
				}
				w.queues[i][class] = w.queues[i][class][1:]
				w.finish(c)
			}
		}
	}
}

// finish counts a call that has its first event.
func (w *world) finish(c *call) {
	w.late.asked++
	if c.told {
		w.told.served++
	}
	if w.now+tick-c.arrived <= c.kind.target {
		w.count(c, true)
		return
	}
	w.late.served++
}

// gossip takes a snapshot of all demand and applies the latest one that is old enough.
func (w *world) gossip() {
	snap := snapshot{at: w.now}
	for _, d := range w.list {
		load := d.meter.Rates(w.clock())["s"]
		parts := d.meter.Parts("s", w.clock())
		if d.old {
			parts = demand.Parts{}
		}
		snap.own, snap.ownPart = append(snap.own, load), append(snap.ownPart, parts)
		snap.load[d.half] = snap.load[d.half].Add(load)
		snap.parts[d.half].Add(parts)
	}
	for server := range w.queues {
		snap.backlog += w.waitAt(server, route.LeastUrgent) / time.Duration(len(w.queues))
	}
	w.sums = append(w.sums, snap)
	for len(w.sums) > 1 && w.sums[1].at <= w.now-w.sumsAge {
		w.sums = w.sums[1:]
	}
	w.update(w.sums[0])
}

func (w *world) update(snap snapshot) {
	weights := map[string]float64{}
	for workspace := range workspaces {
		weights[fmt.Sprint("w", workspace)] = (1 - hotShare) / (workspaces - 1)
	}
	weights["w0"] = hotShare
	for i, d := range w.list {
		sumLoad, coverage := snap.load[0].Add(snap.load[1]), 1.0
		var sumParts demand.Parts
		sumParts.Add(snap.parts[0])
		sumParts.Add(snap.parts[1])
		if w.partitionedAt > 0 && w.now >= w.partitionedAt {
			sumLoad, sumParts, coverage = snap.load[d.half], snap.parts[d.half], 0.5
		}
		parts := d.meter.Parts("s", w.clock())
		parts.Add(sumParts.Minus(snap.ownPart[i]))
		d.controller.Update("s", State{
			Demand: d.meter.Rates(w.clock())["s"].Add(sumLoad.Minus(snap.own[i])), Parts: parts, Own: d.meter.Origins("s", w.clock()),
			Coverage: coverage, Servers: len(w.queues), Target: w.kinds[len(w.kinds)-1].target, Backlog: snap.backlog, Weights: weights,
		}, w.clock())
	}
}
