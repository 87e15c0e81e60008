package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/rollup"
	"github.com/plankridge/plankridge/internal/usage"
)

func encodeReach(r rollup.Reach) *gossippb.Reach {
	return &gossippb.Reach{Heard: int32(r.Heard), Known: int32(r.Known), Fence: r.Fence, BehindMs: r.Behind.Milliseconds()}
}

func decodeReach(r *gossippb.Reach) rollup.Reach {
	return rollup.Reach{Heard: int(r.GetHeard()), Known: int(r.GetKnown()), Fence: r.GetFence(), Behind: time.Duration(r.GetBehindMs()) * time.Millisecond}
}

func encodeCounts(c rollup.Counts) *gossippb.Counts {
	counts := &gossippb.Counts{}
	for workspace, tokens := range c.Spent {
		counts.Spent = append(counts.Spent, &gossippb.Spent{Workspace: workspace, Tokens: tokens, Refused: c.Refused[workspace]})
	}
	for workspace, tokens := range c.Refused {
		if _, spent := c.Spent[workspace]; !spent {
			counts.Spent = append(counts.Spent, &gossippb.Spent{Workspace: workspace, Refused: tokens})
		}
	}
	for key, load := range c.Loads {
		if load.Running > 0 || load.PendingTokens > 0 {
			counts.Loads = append(counts.Loads, &gossippb.Load{Key: key, Running: int32(load.Running), PendingTokens: int32(load.PendingTokens)})
		}
	}
	for service, load := range c.Demand {
		counts.Demands = append(counts.Demands, &gossippb.Demand{
			Service: service, Reading: load.Reading, Places: load.Places, Memory: load.Memory,
		})
	}
	for service, learned := range c.Paces {
		counts.Paces = append(counts.Paces, &gossippb.Pace{
			Service: service, First: encodeFigures(learned.First), Step: encodeFigures(learned.Step), Made: encodeFigures(learned.Made), Hinted: encodeFigures(learned.Hinted),
		})
	}
	return counts
}

func encodeFigures(f pace.Figures) *gossippb.Figures {
	return &gossippb.Figures{Coefficients: f.Coefficients, Seen: f.Seen}
}

func decodeFigures(f *gossippb.Figures) pace.Figures {
	return pace.Figures{Coefficients: f.GetCoefficients(), Seen: f.GetSeen()}
}

func decodeCounts(c *gossippb.Counts) rollup.Counts {
	counts := rollup.NewCounts()
	for _, item := range c.GetSpent() {
		counts.Spent[item.GetWorkspace()] = item.GetTokens()
		counts.Refused[item.GetWorkspace()] = item.GetRefused()
	}
	for _, l := range c.GetLoads() {
		counts.Loads[l.GetKey()] = backend.Load{Running: int(l.GetRunning()), PendingTokens: int(l.GetPendingTokens())}
	}
	for _, d := range c.GetDemands() {
		counts.Demand[d.GetService()] = demand.Load{Reading: d.GetReading(), Places: d.GetPlaces(), Memory: d.GetMemory()}
	}
	for _, p := range c.GetPaces() {
		counts.Paces[p.GetService()] = pace.EngineFigures{
			First: decodeFigures(p.GetFirst()), Step: decodeFigures(p.GetStep()), Made: decodeFigures(p.GetMade()), Hinted: decodeFigures(p.GetHinted()),
		}
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

func encodeUses(uses map[string]allowance.Use) *gossippb.Uses {
	told := &gossippb.Uses{}
	for workspace, use := range uses {
		told.Use = append(told.Use, &gossippb.Use{Workspace: workspace, Spans: use[:]})
	}
	return told
}

func decodeUses(told *gossippb.Uses) map[string]allowance.Use {
	uses := map[string]allowance.Use{}
	for _, item := range told.GetUse() {
		var use allowance.Use
		copy(use[:], item.GetSpans())
		uses[item.GetWorkspace()] = use
	}
	return uses
}
