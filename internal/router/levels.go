package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/admission"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/gossip"
)

// rankedEngines returns the services of model engines that get requests of several ranks. The load of
// plain services is not measured.
func rankedEngines(c *catalog.Catalog, ranked map[string]bool) map[string]bool {
	engines := map[string]bool{}
	for name, service := range c.Services {
		engines[name] = service.Engine != nil && ranked[name]
	}
	return engines
}

// ownDemandParts returns the origins of this daemon's demand, to report to others: the classes of
// services that have a level, and the workspaces only of those that are near overload, because they
// take more bytes.
func (s *state) ownDemandParts(now time.Time) map[string]demand.Parts {
	parts := map[string]demand.Parts{}
	for _, service := range s.admission.Services() {
		own := s.demand.Parts(service, now)
		if !s.admission.Near(service) {
			own.ByWorkspace = nil
		}
		parts[service] = own
	}
	return parts
}

// minLevelInterval is the minimum time between two updates of the levels. A relay sums up ten times a
// second, and the backlog of 2,600 servers takes some tenths of a millisecond.
const minLevelInterval = 300 * time.Millisecond

// updateLevels updates the admission levels with the demand of all other daemons.
func (s *state) updateLevels(others func(service string) (demand.Load, demand.Parts), now time.Time) {
	services := s.admission.Services()
	if len(services) == 0 || !s.levelsDue(now) {
		return
	}
	weights := s.workspaceWeights()
	coverage, age := s.sumsCoverage(now)
	own, targets := s.demand.Rates(now), s.leastUrgentTargets()
	for _, service := range services {
		load, parts := others(service)
		all := s.demand.Parts(service, now)
		all.Add(parts)
		backlog := s.view.Backlog(service, now)
		s.admission.Update(service, admission.State{
			Demand: own[service].Add(load), Parts: all, Own: s.demand.Origins(service, now),
			Coverage: coverage, Servers: backlog.Servers, Backlog: backlog.Mean, Target: targets[service], Weights: weights, Age: age,
		}, now)
		s.view.SetUrgentUse(service, s.admission.UrgentUse(service))
	}
}

// leastUrgentTargets returns, by service, the shortest target for the first event of the routes of the
// highest rank.
func (s *state) leastUrgentTargets() map[string]time.Duration {
	targets, ranks := map[string]time.Duration{}, map[string]int{}
	c := s.Catalog()
	if c == nil {
		return targets
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, split := range r.Splits {
			known, found := targets[split.Service]
			if !found || r.Rank > ranks[split.Service] || r.Rank == ranks[split.Service] && r.LatencyTarget < known {
				targets[split.Service], ranks[split.Service] = r.LatencyTarget, r.Rank
			}
		}
	}
	return targets
}

// levelsDue reports whether the levels are to be updated, and records that they are.
func (s *state) levelsDue(now time.Time) bool {
	s.levelsMu.Lock()
	defer s.levelsMu.Unlock()
	if now.Sub(s.levelsAt) < minLevelInterval {
		return false
	}
	s.levelsAt = now
	return true
}

// othersDemand returns the demand of all other daemons in the sums of the leader.
func (l leaderTotals) othersDemand(service string) (demand.Load, demand.Parts) {
	return l.demand[service].Minus(l.ownDemand[service]), l.demandParts[service].Minus(l.ownDemandParts[service])
}

// sumsCoverage returns the share of the known daemons whose demand is in the sums, and the age of the
// sums.
func (s *state) sumsCoverage(now time.Time) (coverage float64, age time.Duration) {
	reach, _ := s.reach(now)
	included := s.aggregator.Included(now)
	if s.currentLeader(now) != "" {
		included = reach.Reachable
	}
	interval := s.router.node.ReportInterval(now)
	return float64(included) / float64(max(1, included, reach.Known)), max(interval, reach.MaxAge) + gossip.ReportLeadTime
}

// workspaceWeights returns the allowances by which the workspaces share a capacity that is too small.
// Allowances in requests cannot be compared with those in tokens and do not count.
func (s *state) workspaceWeights() map[string]float64 {
	weights := map[string]float64{}
	c := s.Catalog()
	if c == nil {
		return weights
	}
	for i := range c.Workspaces {
		if w := &c.Workspaces[i]; w.ByTokens && w.RatePerSecond > 0 {
			weights[w.Name] = w.RatePerSecond
		}
	}
	return weights
}
