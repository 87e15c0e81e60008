package router

import (
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/rollup"
	"github.com/plankridge/plankridge/internal/usage"
)

func encodeReach(r rollup.Reach) *gossippb.Reach {
	return &gossippb.Reach{Heard: int32(r.Heard), Known: int32(r.Known), Fence: r.Fence}
}

func decodeReach(r *gossippb.Reach) rollup.Reach {
	return rollup.Reach{Heard: int(r.GetHeard()), Known: int(r.GetKnown()), Fence: r.GetFence()}
}

func encodeCounts(c rollup.Counts) *gossippb.Counts {
	counts := &gossippb.Counts{}
	for workspace, tokens := range c.Spent {
		counts.Spent = append(counts.Spent, &gossippb.Spent{Workspace: workspace, Tokens: tokens})
	}
	for key, load := range c.Loads {
		if load.Running > 0 || load.PendingTokens > 0 {
			counts.Loads = append(counts.Loads, &gossippb.Load{Key: key, Running: int32(load.Running), PendingTokens: int32(load.PendingTokens)})
		}
	}
	for service, unread := range c.Unread {
		counts.Demands = append(counts.Demands, &gossippb.Demand{Service: service, Unread: unread})
	}
	return counts
}

func decodeCounts(c *gossippb.Counts) rollup.Counts {
	counts := rollup.Counts{Spent: map[string]float64{}, Loads: map[uint32]backend.Load{}, Unread: map[string]float64{}}
	for _, item := range c.GetSpent() {
		counts.Spent[item.GetWorkspace()] = item.GetTokens()
	}
	for _, l := range c.GetLoads() {
		counts.Loads[l.GetKey()] = backend.Load{Running: int(l.GetRunning()), PendingTokens: int(l.GetPendingTokens())}
	}
	for _, d := range c.GetDemands() {
		counts.Unread[d.GetService()] = d.GetUnread()
	}
	return counts
}

func encodeWindows(windows map[int64]usage.Counts) []*gossippb.Window {
	var told []*gossippb.Window
	for id, counts := range windows {
		told = append(told, &gossippb.Window{Id: id, Counts: counts})
	}
	return told
}

func decodeWindows(told []*gossippb.Window) map[int64]usage.Counts {
	windows := map[int64]usage.Counts{}
	for _, w := range told {
		windows[w.GetId()] = w.GetCounts()
	}
	return windows
}
