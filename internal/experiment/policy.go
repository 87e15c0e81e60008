package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/capacity"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/route"
)

// Policy decides which engine gets a request.
type Policy struct {
	// Name is what the policy is asked for by.
	Name string
	// Text says in a line what it does.
	Text string
	// choose returns the ID of one of the ready servers; nil stands for the
	// product's own decision.
	choose func(d *daemon, r *request, ready []backend.Status) string
	// anyOrder lets callers that are late already go with the others, to see what the
	// product's order is worth.
	anyOrder bool
}

// Policies are all policies, the product's first.
func Policies() []Policy {
	return []Policy{
		{Name: "product", Text: "what the daemons do: least predicted wait with cached parts, early refusal"},
		{Name: "random", Text: "any engine", choose: pickRandom},
		{Name: "round-robin", Text: "one after the other, at each daemon", choose: pickInTurn},
		{Name: "least-outstanding", Text: "fewest requests in flight, as far as the daemon knows", choose: pickLeast},
		{Name: "two-choices", Text: "the less busy of two engines drawn at random", choose: pickOfTwo},
		{Name: "bounded-hash", Text: "rendezvous hash of the last shared part, at most 1.25 times the mean load", choose: pickHash},
	}
}

// PolicyNamed returns the policy with a name.
func PolicyNamed(name string) (Policy, error) {
	var names []string
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return Policy{}, fmt.Errorf("%q is not one of %s", name, strings.Join(names, ", "))
}

// pick returns the engine for a request, the ID of one to copy from, and false
// when the request is refused.
func (p Policy) pick(d *daemon, r *request) (choice *backend.Choice, from string, ok bool) {
	now := d.world.now
	age := now.Sub(r.arrived)
	need := backend.Need{
		Service: service, Zone: d.zone, PromptTokens: r.tokens, Parts: r.parts, Target: r.kind.Target.Std(),
		SampleSeed: d.world.random.Uint64(), Answer: pace.AnswerSize{MaxTokens: r.output},
	}
	need.Deferred = p.choose == nil && !p.anyOrder && route.Overdue(age, need.Target)
	r.deferred = need.Deferred
	if p.choose != nil {
		ready := slices.DeleteFunc(d.view.Servers(now), func(s backend.Status) bool { return !s.Ready })
		if len(ready) == 0 {
			return nil, "", false
		}
		need.ServerID = p.choose(d, r, ready)
	}
	choice, ok = d.view.Begin(need, now)
	if !ok {
		return nil, "", false
	}
	if r.tries == 1 {
		d.demand.RecordRequest(service, demand.Origin{}, choice.Load, now)
	}
	if p.choose != nil {
		return choice, "", true
	}
	if p.anyOrder {
		age = 0
	}
	timing := route.Timing{Age: age, Wait: choice.Wait, IdleWait: choice.IdleWait, Target: need.Target, Remaining: r.kind.Limit.Std() - age}
	if choice.Calibrated && timing.ShouldRefuse() {
		choice.End(backend.OutcomeNeutral, now)
		return nil, "", false
	}
	return choice, choice.FetchFrom, true
}

func pickRandom(d *daemon, _ *request, ready []backend.Status) string {
	return ready[d.world.random.IntN(len(ready))].ID
}

func pickInTurn(d *daemon, _ *request, ready []backend.Status) string {
	d.turn++
	return ready[d.turn%len(ready)].ID
}

func byRunning(a, b backend.Status) int { return cmp.Compare(a.Running, b.Running) }

func pickLeast(_ *daemon, _ *request, ready []backend.Status) string {
	return slices.MinFunc(ready, byRunning).ID
}

func pickOfTwo(d *daemon, _ *request, ready []backend.Status) string {
	two := []backend.Status{ready[d.world.random.IntN(len(ready))], ready[d.world.random.IntN(len(ready))]}
	return slices.MinFunc(two, byRunning).ID
}

// hashBound is how far above the mean an engine's load may get before its keys
// go to the next one, as in consistent hashing with bounded loads.
const hashBound = 1.25

func pickHash(_ *daemon, r *request, ready []backend.Status) string {
	key := ""
	if len(r.parts) > 1 {
		key = r.parts[len(r.parts)-2].ID
	}
	total := 1
	for _, s := range ready {
		total += s.Running
	}
	bound := int(hashBound*float64(total)/float64(len(ready))) + 1
	ranked := slices.SortedFunc(slices.Values(ready), func(a, b backend.Status) int {
		return cmp.Compare(xxhash.Sum64String(key+"|"+b.ID), xxhash.Sum64String(key+"|"+a.ID))
	})
	for _, s := range ranked {
		if s.Running < bound {
			return s.ID
		}
	}
	return ranked[0].ID
}

// Sizing decides how many engines there are.
type Sizing struct {
	// Name is what the sizing is asked for by.
	Name string
	// byDemand is the product's own plan; otherwise each zone has the fixed
	// numbers.
	byDemand              bool
	onDemand, reclaimable int
}

// byDemandName names the product's own sizing.
const byDemandName = "demand"

// SizingNamed returns the product's sizing for "demand", and fixed sizes a zone
// for "2+1": two on demand and one reclaimable.
func SizingNamed(name string) (Sizing, error) {
	if name == byDemandName {
		return Sizing{Name: name, byDemand: true}, nil
	}
	first, second, found := strings.Cut(name, "+")
	onDemand, err := strconv.Atoi(first)
	reclaimable, err2 := strconv.Atoi(second)
	if !found || err != nil || err2 != nil || onDemand < 0 || reclaimable < 0 {
		return Sizing{}, fmt.Errorf("%q is neither %q nor ON-DEMAND+RECLAIMABLE, as in 2+1", name, byDemandName)
	}
	return Sizing{Name: name, onDemand: onDemand, reclaimable: reclaimable}, nil
}

func (s Sizing) orders(planner *capacity.Planner, state capacity.State, now time.Time) []capacity.Order {
	if s.byDemand {
		return planner.Orders(state, now)
	}
	var targets []capacity.Target
	for _, z := range state.Zones {
		targets = append(targets, capacity.Target{Zone: z.Name, OnDemand: s.onDemand, Reclaimable: s.reclaimable})
	}
	return planner.OrdersFor(targets, state, now)
}
