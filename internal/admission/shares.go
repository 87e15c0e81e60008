package admission

import (
	"cmp"
	"maps"
	"slices"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/route"
)

const (
	// floorShare is the share of each class that is admitted whatever the others need. Every route must
	// be served a quarter as often as all requests; the margin covers requests that are refused later
	// for other reasons. floorOfLevel bounds it as a part of the level, so that there is something to
	// divide by urgency however low the level is. With 0.5, a flood of urgent calls left the least urgent
	// route less than a quarter (TestFloodOfUrgentCalls).
	floorShare   = 0.3
	floorOfLevel = 0.6
	// workspaceFloor is the part of a class's share that each workspace gets in any case.
	workspaceFloor = 0.6
	// priorEngines is the weight, as a part of the mean workspace's demand at this daemon, with which
	// a workspace is assumed to have the classes of the whole service. Otherwise a daemon's few
	// requests of a small workspace would decide.
	priorEngines = 0.3
)

// classVector holds a value for each class of rank.
type classVector = [route.RankClasses]float64

// allocate divides the admitted share of a demand among the classes, the most urgent one first, after
// a floor for each. mix is the part of each class in the demand and adds up to one. The result is the
// admitted share of each class, and no class gets less than a less urgent one.
func allocate(mix classVector, share float64) classVector {
	floor := min(floorShare, floorOfLevel*share)
	remaining := share - floor
	var shares classVector
	above := 1.0
	for class, part := range mix {
		extra := (1 - floor) * part
		if extra > remaining {
			above = min(above, floor+remaining/part)
		}
		shares[class] = above
		remaining = max(0, remaining-extra)
		if remaining == 0 && extra > 0 {
			above = min(above, floor)
		}
	}
	return shares
}

// divide sets the shares by workspace and class for the level's share of the whole demand. Classes come
// before workspaces: capacity is first divided by urgency, and then within each class.
func (l *level) divide() {
	mix := classMix(l.state)
	l.classes = allocate(mix, l.share)
	demands := l.workspaceDemands(mix)
	l.workspaces = make(map[string]classVector, len(demands))
	// A workspace that the sums do not contain asks for little.
	l.others = classVector{1, 1, 1}
	if len(demands) == 0 {
		l.others = l.classes
	}
	for class, share := range l.classes {
		divideClass(demands, class, share)
	}
	for _, d := range demands {
		l.workspaces[d.workspace] = d.shares
		if d.workspace == "" {
			l.others = d.shares
		}
	}
}

// classMix returns the part of each class in the demand, by the resource that is used most. Demand of
// unknown rank, which daemons of an earlier version report, is assumed to have the same mix. Without
// any known rank all of it counts as least urgent.
func classMix(state State) classVector {
	var mix classVector
	total := 0.0
	for class, load := range state.Parts.ByClass {
		mix[class] = state.binding(load)
		total += mix[class]
	}
	if total <= 0 {
		return classVector{route.LeastUrgent: 1}
	}
	for class := range mix {
		mix[class] /= total
	}
	return mix
}

// binding returns a load's amount of the resource that the demand uses most.
func (s State) binding(load demand.Load) float64 {
	prefill, batch, memory := s.Demand.Prefill/usable.Prefill, s.Demand.Batch/usable.Batch, s.Demand.Memory/usable.Memory
	switch max(prefill, batch, memory) {
	case prefill:
		return load.Prefill
	case batch:
		return load.Batch
	}
	return load.Memory
}

// workspaceDemand is the demand of one workspace.
type workspaceDemand struct {
	workspace string
	weight    float64
	// engines is the demand by class, as parts of the whole demand, and shares are the admitted
	// shares of it.
	engines, shares classVector
	// granted is what the workspace gets in the classes that have been divided so far.
	granted float64
}

// workspaceDemands returns the demand of the workspaces, in order of name, so that all daemons round
// alike. Those that the sums do not list share one entry.
func (l *level) workspaceDemands(mix classVector) []workspaceDemand {
	total, known, weights := 0.0, 0, 0.0
	listed := slices.Sorted(maps.Keys(l.state.Parts.ByWorkspace))
	for _, workspace := range listed {
		total += l.state.Parts.ByWorkspace[workspace]
	}
	for _, workspace := range slices.Sorted(maps.Keys(l.state.Weights)) {
		if weight := l.state.Weights[workspace]; weight > 0 {
			weights += weight
			known++
		}
	}
	meanWeight := 1.0
	if known > 0 {
		meanWeight = weights / float64(known)
	}
	mixes := workspaceMixes(l.state.Own, mix)
	var demands []workspaceDemand
	for _, workspace := range listed {
		engines := l.state.Parts.ByWorkspace[workspace]
		if engines <= 0 {
			continue
		}
		own, found := mixes[workspace]
		if !found {
			own = mix
		}
		d := workspaceDemand{workspace: workspace, weight: l.state.weight(workspace, meanWeight)}
		for class := range own {
			d.engines[class] = own[class] * engines / total
		}
		demands = append(demands, d)
	}
	return demands
}

// divisionSteps is the number of halvings by which divideClass finds the fair part: enough for a
// thousandth of any demand.
const divisionSteps = 40

// divideClass divides the share of a class that is admitted among the workspaces, max-min by weight.
// What a workspace has got in more urgent classes counts towards its fair part, so that one that sends
// far more than the others gets little more than the floor of the less urgent classes. What some leave
// unused goes to the others at once.
func divideClass(demands []workspaceDemand, class int, share float64) {
	capacity, fairest := 0.0, 0.0
	for i := range demands {
		d := &demands[i]
		capacity += share * d.engines[class]
		fairest = max(fairest, (d.granted+d.engines[class])/d.weight)
	}
	low, high := 0.0, fairest
	for range divisionSteps {
		fair := (low + high) / 2
		sum := 0.0
		for i := range demands {
			sum += demands[i].grant(class, share, fair)
		}
		if sum > capacity {
			high = fair
		} else {
			low = fair
		}
	}
	for i := range demands {
		d := &demands[i]
		d.shares[class] = 1
		if granted := d.grant(class, share, high); d.engines[class] > 0 {
			d.shares[class] = granted / d.engines[class]
			d.granted += granted
		}
	}
}

// grant returns what a workspace gets of a class if every workspace may get fair times its weight in
// all.
func (d *workspaceDemand) grant(class int, share, fair float64) float64 {
	asked := d.engines[class]
	return max(workspaceFloor*share*asked, min(asked, fair*d.weight-d.granted))
}

// weight returns the weight of a workspace, or the sum of the weights of those that are not listed.
func (s State) weight(workspace string, mean float64) float64 {
	if workspace != "" {
		if weight := s.Weights[workspace]; weight > 0 {
			return weight
		}
		return mean
	}
	sum := 0.0
	for name, weight := range s.Weights {
		if _, listed := s.Parts.ByWorkspace[name]; !listed {
			sum += weight
		}
	}
	return max(mean, sum)
}

// workspaceMixes returns the part of each class in the demand of each workspace at this daemon. The
// daemons get random parts of the callers, so that their errors cancel out.
func workspaceMixes(own map[demand.Origin]float64, mix classVector) map[string]classVector {
	mixes := map[string]classVector{}
	total := 0.0
	origins := slices.SortedFunc(maps.Keys(own), func(a, b demand.Origin) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	for _, origin := range origins {
		engines := own[origin]
		if origin.Class < 0 || origin.Class >= len(mix) {
			continue
		}
		m := mixes[origin.Workspace]
		m[origin.Class] += engines
		mixes[origin.Workspace] = m
		total += engines
	}
	if total <= 0 {
		return nil
	}
	prior := priorEngines * total / float64(len(mixes))
	for workspace, m := range mixes {
		sum := prior
		for _, engines := range m {
			sum += engines
		}
		for class := range m {
			m[class] = (m[class] + prior*mix[class]) / sum
		}
		mixes[workspace] = m
	}
	return mixes
}
