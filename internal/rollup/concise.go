package rollup

import (
	"cmp"
	"slices"

	"github.com/plankridge/plankridge/internal/backend"
)

// MostLoads is the number of servers whose loads are told one by one. A deployment of 160
// servers is told whole; of 3,000 the message has 2.5 KB in place of 36 KB, which a lead
// sends to each daemon of its zone 2.5 times a second (TestLoadsAreBounded).
const MostLoads = 256

// Concise returns loads that say nearly as much as those of all servers in fewer words: of
// the servers whose loads differ most from the mean, and the mean of the others. It returns
// the loads themselves where there are few. servers are the keys of all servers.
func Concise(loads map[uint32]backend.Load, servers []uint32) (told map[uint32]backend.Load, rest backend.Load) {
	if len(loads) <= MostLoads {
		return loads, backend.Load{}
	}
	mean := meanOf(loads, servers)
	keys := slices.Clone(servers)
	told = make(map[uint32]backend.Load, MostLoads)
	for _, measure := range []func(backend.Load) int{running, pending} {
		usual := measure(mean)
		byDifference := func(a, b uint32) int {
			return cmp.Or(cmp.Compare(apart(measure(loads[b]), usual), apart(measure(loads[a]), usual)), cmp.Compare(a, b))
		}
		slices.SortFunc(keys, byDifference)
		for _, key := range keys[:min(len(keys), MostLoads/2)] {
			told[key] = loads[key]
		}
	}
	others := make([]uint32, 0, len(servers))
	for _, key := range servers {
		if _, listed := told[key]; !listed {
			others = append(others, key)
		}
	}
	return told, meanOf(loads, others)
}

// Complete adds the servers to loads that were told in few words.
func Complete(told map[uint32]backend.Load, rest backend.Load, servers []uint32) {
	if rest == (backend.Load{}) {
		return
	}
	for _, key := range servers {
		if _, listed := told[key]; !listed {
			told[key] = rest
		}
	}
}

func meanOf(loads map[uint32]backend.Load, servers []uint32) backend.Load {
	if len(servers) == 0 {
		return backend.Load{}
	}
	var sum backend.Load
	for _, key := range servers {
		sum.Running += loads[key].Running
		sum.PendingTokens += loads[key].PendingTokens
	}
	return backend.Load{Running: sum.Running / len(servers), PendingTokens: sum.PendingTokens / len(servers)}
}

func running(l backend.Load) int { return l.Running }

func pending(l backend.Load) int { return l.PendingTokens }

func apart(a, b int) int { return max(a-b, b-a) }
