package rollup

import (
	"cmp"
	"slices"

	"github.com/plankridge/plankridge/internal/backend"
)

// MaxListedLoads is the number of servers whose loads are sent individually. The loads of a
// deployment of 160 servers are sent in full. For 3,000 servers the message shrinks from 36 KB to
// 2.5 KB; a leader sends it to each daemon of its zone 2.5 times a second (TestLoadsAreBounded).
const MaxListedLoads = 256

// CompressLoads reduces the loads of all servers to those that differ most from the mean, and the
// mean of the rest. It returns loads unchanged if there are at most MaxListedLoads. The function
// servers returns the keys of all servers.
func CompressLoads(loads map[uint32]backend.Load, servers func() []uint32) (listed map[uint32]backend.Load, restMean backend.Load) {
	if len(loads) <= MaxListedLoads {
		return loads, backend.Load{}
	}
	all := make([]serverLoad, 0, len(loads))
	for _, key := range servers() {
		all = append(all, serverLoad{key, loads[key]})
	}
	mean := meanLoad(all)
	listed = make(map[uint32]backend.Load, MaxListedLoads)
	for _, diff := range []func(serverLoad) int{
		func(k serverLoad) int { return absDiff(k.load.Running, mean.Running) },
		func(k serverLoad) int { return absDiff(k.load.PendingTokens, mean.PendingTokens) },
	} {
		slices.SortFunc(all, func(a, b serverLoad) int { return cmp.Or(cmp.Compare(diff(b), diff(a)), cmp.Compare(a.key, b.key)) })
		for _, k := range all[:min(len(all), MaxListedLoads/2)] {
			listed[k.key] = k.load
		}
	}
	return listed, meanLoad(slices.DeleteFunc(all, func(k serverLoad) bool {
		_, ok := listed[k.key]
		return ok
	}))
}

// serverLoad is the load of one server.
type serverLoad struct {
	key  uint32
	load backend.Load
}

func meanLoad(all []serverLoad) backend.Load {
	if len(all) == 0 {
		return backend.Load{}
	}
	var sum backend.Load
	for _, k := range all {
		sum = sum.Plus(k.load)
	}
	return sum.Divided(len(all))
}

func absDiff(a, b int) int { return max(a-b, b-a) }

// ExpandLoads reverses CompressLoads: it adds the mean of the rest for each server that is not
// listed.
func ExpandLoads(listed map[uint32]backend.Load, restMean backend.Load, servers []uint32) {
	if restMean == (backend.Load{}) {
		return
	}
	for _, key := range servers {
		if _, ok := listed[key]; !ok {
			listed[key] = restMean
		}
	}
}
