package router

import (
	"math"
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
	return &gossippb.Reach{Heard: int32(r.Reachable), Known: int32(r.Known), Fence: r.Fence, BehindMs: r.MaxAge.Milliseconds(), StreamAssignment: r.StreamAssignment}
}

func decodeReach(r *gossippb.Reach) rollup.Reach {
	return rollup.Reach{Reachable: int(r.GetHeard()), Known: int(r.GetKnown()), Fence: r.GetFence(), MaxAge: time.Duration(r.GetBehindMs()) * time.Millisecond, StreamAssignment: r.GetStreamAssignment()}
}

func encodeCounts(c rollup.Counts) *gossippb.Counts {
	counts := &gossippb.Counts{Warm: int32(c.Warm)}
	for workspace, tokens := range c.Spent {
		counts.Spent = append(counts.Spent, &gossippb.Spent{
			Workspace: workspace, Tokens: tokens, Refused: c.Refused[workspace], Asked: encodeAsked(c.Asked[workspace]),
		})
	}
	for workspace, tokens := range c.Refused {
		if _, spent := c.Spent[workspace]; !spent {
			counts.Spent = append(counts.Spent, &gossippb.Spent{Workspace: workspace, Refused: tokens, Asked: encodeAsked(c.Asked[workspace])})
		}
	}
	for key, load := range c.Loads {
		if load.Running > 0 || load.PendingTokens > 0 {
			counts.Loads = append(counts.Loads, encodeLoad(key, load))
		}
	}
	for service, load := range c.Demand {
		encoded := &gossippb.Demand{Service: service, Reading: load.Prefill, Places: load.Batch, Memory: load.Memory}
		encodeDemandParts(encoded, c.DemandParts[service])
		counts.Demands = append(counts.Demands, encoded)
	}
	for service, figures := range c.EngineEstimates {
		counts.Paces = append(counts.Paces, &gossippb.Pace{
			Service: service, First: encodeFigures(figures.First), Step: encodeFigures(figures.Step), Made: encodeFigures(figures.OutputRatio), Hinted: encodeFigures(figures.HintRatio),
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

func encodeDemand(demands map[string]demand.Load) []*gossippb.Demand {
	var encoded []*gossippb.Demand
	for service, load := range demands {
		encoded = append(encoded, &gossippb.Demand{Service: service, Reading: load.Prefill, Places: load.Batch, Memory: load.Memory})
	}
	return encoded
}

func decodeDemand(encoded []*gossippb.Demand) map[string]demand.Load {
	demands := make(map[string]demand.Load, len(encoded))
	for _, d := range encoded {
		demands[d.GetService()] = demand.Load{Prefill: d.GetReading(), Batch: d.GetPlaces(), Memory: d.GetMemory()}
	}
	return demands
}

// encodeAsked encodes the tokens requested by class, without the classes at the end in which none were.
func encodeAsked(tokens []float64) []uint64 {
	var encoded []uint64
	for class, value := range tokens {
		rounded := uint64(math.Round(max(0, value)))
		if rounded == 0 {
			continue
		}
		for len(encoded) < class {
			encoded = append(encoded, 0)
		}
		encoded = append(encoded, rounded)
	}
	return encoded
}

// decodeAsked reverses encodeAsked. It skips classes that this version does not know.
func decodeAsked(encoded []uint64) []float64 {
	var tokens []float64
	for _, value := range encoded[:min(len(encoded), allowance.ClassCount)] {
		tokens = append(tokens, float64(value))
	}
	return tokens
}

func encodeLoad(key uint32, load backend.Load) *gossippb.Load {
	return &gossippb.Load{Key: key, Running: int32(load.Running), PendingTokens: int32(load.PendingTokens), Urgency: load.Urgency()}
}

func decodeLoad(l *gossippb.Load) backend.Load {
	return backend.Load{Running: int(l.GetRunning()), PendingTokens: int(l.GetPendingTokens())}.WithUrgency(l.GetUrgency())
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
		if asked := decodeAsked(item.GetAsked()); asked != nil {
			counts.Asked[item.GetWorkspace()] = asked
		}
	}
	for _, l := range c.GetLoads() {
		counts.Loads[l.GetKey()] = decodeLoad(l)
	}
	for _, d := range c.GetDemands() {
		counts.Demand[d.GetService()] = demand.Load{Prefill: d.GetReading(), Batch: d.GetPlaces(), Memory: d.GetMemory()}
		if parts, known := decodeDemandParts(d); known {
			counts.DemandParts[d.GetService()] = parts
		}
	}
	counts.Warm = int(c.GetWarm())
	for _, p := range c.GetPaces() {
		counts.EngineEstimates[p.GetService()] = pace.EngineEstimates{
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

// encodeRollOuts encodes the roll-out orders and their state.
func encodeRollOuts(statuses []rollout.OrderStatus) []*gossippb.RollOut {
	var encoded []*gossippb.RollOut
	for _, s := range statuses {
		encoded = append(encoded, &gossippb.RollOut{
			Service: s.Service, Version: s.Version, DurationMs: s.Duration.Milliseconds(), Created: s.Created, Revision: s.Revision,
			State: int32(s.State), Stable: s.Stable, AgeMs: s.Age.Milliseconds(), Halted: s.Halted,
			Share: s.Step.Share, Fence: s.Step.Fence, Serial: s.Step.Serial,
		})
	}
	return encoded
}

// decodeRollOuts reverses encodeRollOuts. It skips invalid items.
func decodeRollOuts(encoded []*gossippb.RollOut) []rollout.OrderStatus {
	var statuses []rollout.OrderStatus
	for _, s := range encoded {
		state := rollout.State(s.GetState())
		if state < rollout.StateNew || state > rollout.StateWithdrawn || s.GetService() == "" {
			continue
		}
		statuses = append(statuses, rollout.OrderStatus{
			Order: rollout.Order{
				Service: s.GetService(), Version: s.GetVersion(), Duration: time.Duration(s.GetDurationMs()) * time.Millisecond,
				Created: s.GetCreated(), Revision: s.GetRevision(), State: state,
			},
			Stable: s.GetStable(), Age: max(0, time.Duration(s.GetAgeMs())*time.Millisecond), Halted: s.GetHalted(),
			Step: rollout.Step{Share: s.GetShare(), Fence: s.GetFence(), Serial: s.GetSerial()},
		})
	}
	return statuses
}

// encodeHeld encodes the reports of requests during which servers have exited.
func encodeHeld(reports []quarantine.Report) []*gossippb.Held {
	var encoded []*gossippb.Held
	for _, r := range reports {
		held := &gossippb.Held{
			Content: uint64(r.Digest), Barred: r.Blocked, BarredMs: r.BlockedAge.Milliseconds(),
			Answered: r.Answered, AnsweredMs: r.AnsweredAge.Milliseconds(), Part: r.IsPart,
		}
		for _, companion := range r.Companions {
			held.With = append(held.With, uint64(companion))
		}
		for _, e := range r.Exits {
			held.Servers = append(held.Servers, uint32(e.Server))
			held.EndedUs = append(held.EndedUs, e.Age.Microseconds())
			held.AfterUs = append(held.AfterUs, e.SentBefore.Microseconds())
		}
		encoded = append(encoded, held)
	}
	return encoded
}

// decodeHeld reverses encodeHeld. Negative ages become zero.
func decodeHeld(encoded []*gossippb.Held) []quarantine.Report {
	var reports []quarantine.Report
	for _, held := range encoded {
		report := quarantine.Report{
			Digest: quarantine.Digest(held.GetContent()), Blocked: held.GetBarred(), BlockedAge: millis(held.GetBarredMs()),
			Answered: held.GetAnswered(), AnsweredAge: millis(held.GetAnsweredMs()), IsPart: held.GetPart(),
		}
		for _, companion := range held.GetWith() {
			report.Companions = append(report.Companions, quarantine.Digest(companion))
		}
		for i, server := range held.GetServers() {
			if i < len(held.GetEndedUs()) && i < len(held.GetAfterUs()) {
				report.Exits = append(report.Exits, quarantine.ServerExit{
					Server: quarantine.ServerInstance(server), Age: micros(held.GetEndedUs()[i]), SentBefore: micros(held.GetAfterUs()[i]),
				})
			}
		}
		reports = append(reports, report)
	}
	return reports
}

// millis and micros convert an age that was received. Negative ages become zero.
func millis(ms int64) time.Duration { return max(0, time.Duration(ms)*time.Millisecond) }

func micros(us int64) time.Duration { return max(0, time.Duration(us)*time.Microsecond) }

func encodeWindows(windows map[int64]usage.Counts) []*gossippb.Window {
	var encoded []*gossippb.Window
	for id, counts := range windows {
		encoded = append(encoded, &gossippb.Window{Id: id, Counts: counts})
	}
	return encoded
}

func decodeWindows(encoded []*gossippb.Window) map[int64]usage.Counts {
	windows := map[int64]usage.Counts{}
	for _, w := range encoded {
		windows[w.GetId()] = w.GetCounts()
	}
	return windows
}

// encodeUses encodes the recent usage and the demand rates of the workspaces.
func encodeUses(uses map[string]allowance.Usage, demandRates map[string]float64) *gossippb.Uses {
	encoded := &gossippb.Uses{}
	for workspace, use := range uses {
		encoded.Use = append(encoded.Use, &gossippb.Use{Workspace: workspace, Spans: use[:], Asked: demandRates[workspace]})
	}
	for workspace, rate := range demandRates {
		if _, used := uses[workspace]; !used {
			encoded.Use = append(encoded.Use, &gossippb.Use{Workspace: workspace, Asked: rate})
		}
	}
	return encoded
}

// decodeUses reverses encodeUses.
func decodeUses(encoded *gossippb.Uses) (uses map[string]allowance.Usage, demandRates map[string]float64) {
	uses, demandRates = map[string]allowance.Usage{}, map[string]float64{}
	for _, item := range encoded.GetUse() {
		var use allowance.Usage
		copy(use[:], item.GetSpans())
		uses[item.GetWorkspace()] = use
		demandRates[item.GetWorkspace()] = max(0, item.GetAsked())
	}
	return uses, demandRates
}
