package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/rollout"
	"github.com/plankridge/plankridge/internal/rollup"
	"github.com/plankridge/plankridge/internal/usage"
)

func encodeReach(r rollup.Reach) *gossippb.Reach {
	return &gossippb.Reach{Heard: int32(r.Reachable), Known: int32(r.Known), Fence: r.Fence, BehindMs: r.MaxAge.Milliseconds()}
}

func decodeReach(r *gossippb.Reach) rollup.Reach {
	return rollup.Reach{Reachable: int(r.GetHeard()), Known: int(r.GetKnown()), Fence: r.GetFence(), MaxAge: time.Duration(r.GetBehindMs()) * time.Millisecond}
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
			Service: service, Reading: load.Prefill, Places: load.Batch, Memory: load.Memory,
		})
	}
	for service, learned := range c.Paces {
		counts.Paces = append(counts.Paces, &gossippb.Pace{
			Service: service, First: encodeFigures(learned.First), Step: encodeFigures(learned.Step), Made: encodeFigures(learned.OutputRatio), Hinted: encodeFigures(learned.HintRatio),
		})
	}
	for key, tally := range c.Versions.Answers {
		counts.Tallies = append(counts.Tallies, &gossippb.VersionTally{
			Service: key.Service, Route: key.Route, Server: key.Server, Answers: tally.Answers, Bad: tally.Bad,
			First: tally.LatencySum, Each: tally.EventIntervalSum,
		})
	}
	for service, sent := range c.Versions.Requests {
		counts.Sent = append(counts.Sent, &gossippb.VersionSent{Service: service, Requests: sent.Requests, Exposed: sent.Exposed})
	}
	return counts
}

func encodeFigures(f pace.Estimate) *gossippb.Figures {
	return &gossippb.Figures{Coefficients: f.Coefficients, Seen: f.Samples}
}

func decodeFigures(f *gossippb.Figures) pace.Estimate {
	return pace.Estimate{Coefficients: f.GetCoefficients(), Samples: f.GetSeen()}
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
		counts.Demand[d.GetService()] = demand.Load{Prefill: d.GetReading(), Batch: d.GetPlaces(), Memory: d.GetMemory()}
	}
	for _, p := range c.GetPaces() {
		counts.Paces[p.GetService()] = pace.EngineEstimates{
			First: decodeFigures(p.GetFirst()), Step: decodeFigures(p.GetStep()), OutputRatio: decodeFigures(p.GetMade()), HintRatio: decodeFigures(p.GetHinted()),
		}
	}
	for _, t := range c.GetTallies() {
		key := rollout.Key{Service: t.GetService(), Route: t.GetRoute(), Server: t.GetServer()}
		counts.Versions.Answers[key] = rollout.Tally{Answers: t.GetAnswers(), Bad: t.GetBad(), LatencySum: t.GetFirst(), EventIntervalSum: t.GetEach()}
	}
	for _, sent := range c.GetSent() {
		counts.Versions.Requests[sent.GetService()] = rollout.RequestCounts{Requests: sent.GetRequests(), Exposed: sent.GetExposed()}
	}
	return counts
}

// encodeRollOuts encodes what this daemon tells of the orders.
func encodeRollOuts(words []rollout.OrderStatus) []*gossippb.RollOut {
	var told []*gossippb.RollOut
	for _, w := range words {
		told = append(told, &gossippb.RollOut{
			Service: w.Service, Version: w.Version, DurationMs: w.Duration.Milliseconds(), Created: w.Created, Revision: w.Revision,
			State: int32(w.State), Stable: w.Stable, AgeMs: w.Age.Milliseconds(), Halted: w.Halted,
			Share: w.Step.Share, Fence: w.Step.Fence, Serial: w.Step.Serial,
		})
	}
	return told
}

// decodeRollOuts decodes what encodeRollOuts made. What no daemon tells is left out.
func decodeRollOuts(told []*gossippb.RollOut) []rollout.OrderStatus {
	var words []rollout.OrderStatus
	for _, w := range told {
		state := rollout.State(w.GetState())
		if state < rollout.StateNew || state > rollout.StateWithdrawn || w.GetService() == "" {
			continue
		}
		words = append(words, rollout.OrderStatus{
			Order: rollout.Order{
				Service: w.GetService(), Version: w.GetVersion(), Duration: time.Duration(w.GetDurationMs()) * time.Millisecond,
				Created: w.GetCreated(), Revision: w.GetRevision(), State: state,
			},
			Stable: w.GetStable(), Age: max(0, time.Duration(w.GetAgeMs())*time.Millisecond), Halted: w.GetHalted(),
			Step: rollout.Step{Share: w.GetShare(), Fence: w.GetFence(), Serial: w.GetSerial()},
		})
	}
	return words
}

// encodeHeld encodes what this daemon tells of requests under which servers have ended.
func encodeHeld(words []quarantine.Report) []*gossippb.Held {
	var told []*gossippb.Held
	for _, w := range words {
		held := &gossippb.Held{
			Content: uint64(w.Digest), Barred: w.Blocked, BarredMs: w.BlockedAge.Milliseconds(),
			Answered: w.Answered, AnsweredMs: w.AnsweredAge.Milliseconds(),
		}
		for _, e := range w.Exits {
			held.Servers = append(held.Servers, uint32(e.Server))
			held.EndedUs = append(held.EndedUs, e.Age.Microseconds())
			held.AfterUs = append(held.AfterUs, e.SentBefore.Microseconds())
		}
		told = append(told, held)
	}
	return told
}

// decodeHeld decodes what encodeHeld made. Ages are not below zero.
func decodeHeld(told []*gossippb.Held) []quarantine.Report {
	var words []quarantine.Report
	for _, held := range told {
		word := quarantine.Report{
			Digest: quarantine.Digest(held.GetContent()), Blocked: held.GetBarred(), BlockedAge: millis(held.GetBarredMs()),
			Answered: held.GetAnswered(), AnsweredAge: millis(held.GetAnsweredMs()),
		}
		for i, server := range held.GetServers() {
			if i < len(held.GetEndedUs()) && i < len(held.GetAfterUs()) {
				word.Exits = append(word.Exits, quarantine.ServerExit{
					Server: quarantine.ServerInstance(server), Age: micros(held.GetEndedUs()[i]), SentBefore: micros(held.GetAfterUs()[i]),
				})
			}
		}
		words = append(words, word)
	}
	return words
}

// millis and micros return an age that was told.
func millis(ms int64) time.Duration { return max(0, time.Duration(ms)*time.Millisecond) }

func micros(us int64) time.Duration { return max(0, time.Duration(us)*time.Microsecond) }

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

// encodeUses encodes what the workspaces have used, and how fast they ask.
func encodeUses(uses map[string]allowance.Usage, asked map[string]float64) *gossippb.Uses {
	told := &gossippb.Uses{}
	for workspace, use := range uses {
		told.Use = append(told.Use, &gossippb.Use{Workspace: workspace, Spans: use[:], Asked: asked[workspace]})
	}
	for workspace, rate := range asked {
		if _, used := uses[workspace]; !used {
			told.Use = append(told.Use, &gossippb.Use{Workspace: workspace, Asked: rate})
		}
	}
	return told
}

// decodeUses decodes what encodeUses made.
func decodeUses(told *gossippb.Uses) (uses map[string]allowance.Usage, asked map[string]float64) {
	uses, asked = map[string]allowance.Usage{}, map[string]float64{}
	for _, item := range told.GetUse() {
		var use allowance.Usage
		copy(use[:], item.GetSpans())
		uses[item.GetWorkspace()] = use
		asked[item.GetWorkspace()] = max(0, item.GetAsked())
	}
	return uses, asked
}
