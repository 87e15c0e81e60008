package router

import (
	"math"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// resources is the number of values that a load has in Demand.by_rank.
const resources = 3

// encodeDemandParts adds the parts of a service's demand whose origin is known. Nothing is added if no
// origin is known.
func encodeDemandParts(encoded *gossippb.Demand, parts demand.Parts) {
	if parts.ByClass != (demand.ByClass{}) {
		for _, load := range parts.ByClass {
			encoded.ByRank = append(encoded.ByRank, float32(load.Prefill), float32(load.Batch), float32(load.Memory))
		}
	}
	for workspace, engines := range demand.LargestWorkspaces(parts.ByWorkspace) {
		encoded.ByWorkspace = append(encoded.ByWorkspace, &gossippb.WorkspaceDemand{Workspace: workspace, Engines: float32(engines)})
	}
}

// decodeDemandParts reverses encodeDemandParts. Daemons of an earlier version report no origins, and
// invalid values count as unknown.
func decodeDemandParts(d *gossippb.Demand) (parts demand.Parts, known bool) {
	parts.ByWorkspace = make(map[string]float64, len(d.GetByWorkspace()))
	if values := d.GetByRank(); len(values) >= resources*len(parts.ByClass) {
		for class := range parts.ByClass {
			v := values[resources*class:]
			parts.ByClass[class] = demand.Load{Prefill: amount(v[0]), Batch: amount(v[1]), Memory: amount(v[2])}
		}
		known = true
	}
	for _, w := range d.GetByWorkspace() {
		parts.ByWorkspace[w.GetWorkspace()] += amount(w.GetEngines())
		known = true
	}
	return parts, known
}

// amount returns a received amount, or zero if it is invalid.
func amount(value float32) float64 {
	if v := float64(value); v > 0 && !math.IsInf(v, 1) {
		return v
	}
	return 0
}
