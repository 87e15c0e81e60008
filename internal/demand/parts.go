package demand

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/route"
)

// Origin is what the load of a request is attributed to.
type Origin struct {
	// Class is the class of the request's rank; see route.RankClass.
	Class int
	// Workspace is empty for requests without a key.
	Workspace string
}

// Parts is the part of a service's load whose origin is known. Daemons of an earlier version do not
// report origins, so the parts may add up to less than the load.
type Parts struct {
	ByClass ByClass
	// ByWorkspace holds the number of busy engines, by the resource that each request needs most of.
	// The empty name stands for requests without a key and for workspaces that are not listed.
	ByWorkspace map[string]float64
}

// ByClass is a load for each class of rank, the most urgent one first.
type ByClass [route.RankClasses]Load

// Engines returns the number of engines that the load occupies of the resource that it needs most of.
func (l Load) Engines() float64 { return max(l.Prefill, l.Batch, l.Memory) }

// Add adds parts. It may change ByWorkspace in place.
func (p *Parts) Add(more Parts) {
	for class := range p.ByClass {
		p.ByClass[class] = p.ByClass[class].Add(more.ByClass[class])
	}
	if p.ByWorkspace == nil && len(more.ByWorkspace) > 0 {
		p.ByWorkspace = make(map[string]float64, len(more.ByWorkspace))
	}
	for workspace, engines := range more.ByWorkspace {
		p.ByWorkspace[workspace] += engines
	}
}

// Minus returns the parts reduced by others. Nothing becomes negative.
func (p Parts) Minus(part Parts) Parts {
	rest := Parts{ByWorkspace: make(map[string]float64, len(p.ByWorkspace))}
	for class := range p.ByClass {
		rest.ByClass[class] = p.ByClass[class].Minus(part.ByClass[class])
	}
	for workspace, engines := range p.ByWorkspace {
		rest.ByWorkspace[workspace] = max(0, engines-part.ByWorkspace[workspace])
	}
	return rest
}

// MaxListedWorkspaces is the number of workspaces whose demand is reported individually. At 19 bytes
// each they take 300 bytes of a report.
const MaxListedWorkspaces = 16

// LargestWorkspaces returns the demand of the largest workspaces, and that of all others under the
// empty name.
func LargestWorkspaces(byWorkspace map[string]float64) map[string]float64 {
	if len(byWorkspace) <= MaxListedWorkspaces {
		return byWorkspace
	}
	names := make([]string, 0, len(byWorkspace))
	for name := range byWorkspace {
		if name != "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(byWorkspace[b], byWorkspace[a]), cmp.Compare(a, b)) })
	listed := map[string]float64{"": byWorkspace[""]}
	for i, name := range names {
		if i < MaxListedWorkspaces-1 {
			listed[name] = byWorkspace[name]
			continue
		}
		listed[""] += byWorkspace[name]
	}
	return listed
}

// originRate is the decaying rate of one origin, in busy engines.
type originRate struct {
	engines   float64
	updatedAt time.Time
}

// decayed returns the rate at a later time.
func (r originRate) decayed(timeConstant time.Duration, now time.Time) float64 {
	return r.engines * math.Exp(-max(0, now.Sub(r.updatedAt).Seconds())/timeConstant.Seconds())
}

// forgetRate is the rate in engines below which an origin is forgotten, so that workspaces that are
// gone take no memory.
const forgetRate = 1e-6

// recordOrigin attributes a request's load to its origin. The caller has decayed the estimate.
func (g *rateEstimate) recordOrigin(from Origin, rate Load, now time.Time) {
	if from.Class < 0 || from.Class >= len(g.byClass) {
		return
	}
	g.byClass[from.Class] = g.byClass[from.Class].Add(rate)
	if g.origins == nil {
		g.origins = map[Origin]originRate{}
	}
	g.origins[from] = originRate{engines: g.origins[from].decayed(g.timeConstant, now) + rate.Engines(), updatedAt: now}
}

// Origins returns the current rates of a service's origins, in busy engines.
func (m *Meter) Origins(service string, now time.Time) map[Origin]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.services[service]
	if g == nil {
		return nil
	}
	rates := make(map[Origin]float64, len(g.origins))
	for origin, rate := range g.origins {
		engines := rate.decayed(g.timeConstant, now)
		if engines < forgetRate {
			delete(g.origins, origin)
			continue
		}
		rates[origin] = engines
	}
	return rates
}

// Parts returns the current load of a service by class and workspace.
func (m *Meter) Parts(service string, now time.Time) Parts {
	parts := Parts{ByWorkspace: map[string]float64{}}
	for origin, engines := range m.Origins(service, now) {
		parts.ByWorkspace[origin.Workspace] += engines
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.services[service]; g != nil {
		g.decay(now)
		parts.ByClass = g.byClass
	}
	return parts
}
