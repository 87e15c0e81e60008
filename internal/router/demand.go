package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/demand"
)

// maxRecordedDemandAge is the age up to which the demand in the lease's record is used after the death
// of all daemons. An older one says little about the callers of today.
const maxRecordedDemandAge = time.Minute

// Demand returns the demand for a service over all reachable daemons, in engines.
func (s *state) Demand(service string) demand.Reading {
	now := time.Now()
	sum, coverage := s.demandSum(service, now)
	return s.demandHistory.Read(service, sum, coverage)
}

// demandSum returns the summed demand for a service and which daemons it covers.
func (s *state) demandSum(service string, now time.Time) (demand.Load, demand.Coverage) {
	own := s.demand.Rates(now)[service]
	reach, _ := s.reach(now)
	coverage := demand.Coverage{Known: reach.Known, Reachable: reach.Reachable}
	if s.currentLeader(now) == "" {
		others := s.aggregator.Others(now)
		coverage.Warm = others.Warm + s.warmMeters(now)
		return own.Add(others.Demand[service]), coverage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	coverage.Warm = s.leader.warm
	return own.Add(s.leader.demand[service].Minus(s.leader.ownDemand[service])), coverage
}

// warmMeters returns one if this daemon has measured the demand for long enough, otherwise zero.
func (s *state) warmMeters(now time.Time) int {
	if now.Sub(s.started) < s.demand.Warmup() {
		return 0
	}
	return 1
}

// retainDemand evaluates the demand for all services, so that each daemon knows the last complete one
// when it acquires the lease.
func (s *state) retainDemand() {
	c := s.Catalog()
	if c == nil {
		return
	}
	for name, service := range c.Services {
		if service.Scaling != nil {
			s.Demand(name)
		}
	}
}

// restoreDemand restores the last complete demand from the lease's record.
func (s *state) restoreDemand(demands map[string]demand.Load, writtenAtMs int64) {
	if s.started.Sub(time.UnixMilli(writtenAtMs)) < maxRecordedDemandAge {
		s.demandHistory.Restore(demands)
	}
}
