package rollup

import (
	"cmp"
	"slices"

	"github.com/plankridge/plankridge/internal/backend"
)

// MaxListedLoads is the number of servers whose loads are told one by one. A deployment of 160
// servers is told whole; of 3,000 the message has 2.5 KB in place of 36 KB, which a lead
// sends to each daemon of its zone 2.5 times a second (TestLoadsAreBounded).
const MaxListedLoads = 256

// CompressLoads returns loads that say nearly as much as those of all servers in fewer words: of
// the servers whose loads differ most from the mean, and the mean of the others. It returns
// the loads themselves where there are few. servers returns the keys of all servers.
func CompressLoads(loads map[uint32]backend.Load, servers func() []uint32) (told map[uint32]backend.Load, rest backend.Load) {
	if len(loads) <= MaxListedLoads {
		return loads, backend.Load{}
	}
	all := make([]serverLoad, 0, len(loads))
	for _, key := range servers() {
		all = append(all, serverLoad{key, loads[key]})
	}
	mean := meanLoad(all)
	told = make(map[uint32]backend.Load, MaxListedLoads)
	for _, apart := range []func(serverLoad) int{
		func(k serverLoad) int { return absDiff(k.load.Running, mean.Running) },
		func(k serverLoad) int { return absDiff(k.load.PendingTokens, mean.PendingTokens) },
	} {
		slices.SortFunc(all, func(a, b serverLoad) int { return cmp.Or(cmp.Compare(apart(b), apart(a)), cmp.Compare(a.key, b.key)) })
		for _, k := range all[:min(len(all), MaxListedLoads/2)] {
			told[k.key] = k.load
		}
	}
	return told, meanLoad(slices.DeleteFunc(all, func(k serverLoad) bool {
		_, listed := told[k.key]
		return listed
	}))
}

// serverLoad is the load of a server.
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
		sum.Running += k.load.Running
		sum.PendingTokens += k.load.PendingTokens
	}
	return backend.Load{Running: sum.Running / len(all), PendingTokens: sum.PendingTokens / len(all)}
}

func absDiff(a, b int) int { return max(a-b, b-a) }

// ExpandLoads adds the servers to loads that were told in few words.
func ExpandLoads(told map[uint32]backend.Load, rest backend.Load, servers []uint32) {
	if rest == (backend.Load{}) {
		return
	}
	for _, key := range servers {
		if _, listed := told[key]; !listed {
			told[key] = rest
		}
	}
}
