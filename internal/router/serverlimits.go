package router

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/rollup"
)

// serverAccountPrefix distinguishes the accounts of servers from those of workspaces. The server
// key follows in hexadecimal.
const serverAccountPrefix = "server/"

// serverLimits shares the limits that servers state among all daemons. It implements
// backend.Limiter.
type serverLimits struct{ *limiters }

func accountOf(server uint32) string { return fmt.Sprintf("%s%08x", serverAccountPrefix, server) }

// serverOf returns the key of the server to which an account belongs.
func serverOf(account string) (server uint32, found bool) {
	text, found := strings.CutPrefix(account, serverAccountPrefix)
	if !found {
		return 0, false
	}
	key, err := strconv.ParseUint(text, 16, 32)
	return uint32(key), err == nil
}

// minServerRate is the minimum rate in requests per second. A server that states a lower limit, or
// zero, still gets this rate, so that a higher limit in its responses is noticed.
const minServerRate = 0.25

// SetLimit implements backend.Limiter.
func (l serverLimits) SetLimit(server uint32, requestsPerSecond float64) {
	l.servers.SetRate(accountOf(server), max(minServerRate, requestsPerSecond), l.now())
}

// Lift implements backend.Limiter.
func (l serverLimits) Lift(server uint32) { l.servers.SetRate(accountOf(server), 0, l.now()) }

// Forget implements backend.Limiter.
func (l serverLimits) Forget(server uint32) { l.servers.Remove(accountOf(server)) }

// Admit implements backend.Limiter.
func (l serverLimits) Admit(server uint32) (admitted time.Time, retryAfter time.Duration, ok bool) {
	verdict := l.servers.Admit(accountOf(server), 1, l.now())
	return verdict.At, verdict.RetryAfter, verdict.Admitted
}

// Refund implements backend.Limiter.
func (l serverLimits) Refund(server uint32, admitted time.Time) {
	l.servers.Refund(accountOf(server), 1, admitted)
}

// AtLimit implements backend.Limiter.
func (l serverLimits) AtLimit(server uint32) bool { return l.servers.Binds(accountOf(server), l.now()) }

// mergeLimits merges the limits that a peer reports.
func (s *state) mergeLimits(status *gossippb.Status, now time.Time) {
	changed := s.view.MergeLimits(decodeLimits(status.GetLimits(), now))
	urgent := false
	for _, c := range changed {
		if !c.Limit.IsUrgent(c.Before) {
			continue
		}
		urgent = true
		s.router.logger.Info("server's limit changed", "server", c.ID, "service", c.Service, "zone", c.Zone,
			"limited", c.Limit.Limited, "estimated", c.Limit.Estimated, "requests_per_second", c.Limit.Rate, "limited_before", c.Before.Limited, "requests_per_second_before", c.Before.Rate, "from", status.GetVm())
	}
	if urgent {
		s.router.node.TriggerReport()
	}
}

// dropUnlimitedAccounts deletes the accounts of servers that no longer have a limit. Totals never
// lose an account by themselves.
func (s *state) dropUnlimitedAccounts(sums rollup.Counts, now time.Time) {
	limited := s.view.LimitedKeys(now)
	unlimited := func(account string, _ float64) bool {
		server, found := serverOf(account)
		return found && !limited[server]
	}
	maps.DeleteFunc(sums.Spent, unlimited)
	maps.DeleteFunc(sums.Refused, unlimited)
}

func encodeLimits(records []advice.LimitRecord, now time.Time) []*gossippb.ServerLimit {
	var limits []*gossippb.ServerLimit
	for _, r := range records {
		limits = append(limits, &gossippb.ServerLimit{
			Server: r.Server, Named: r.Limited, RequestsPerSecond: r.Rate, Estimated: r.Estimated, AgeMs: now.Sub(r.ObservedAt).Milliseconds(),
		})
	}
	return limits
}

// decodeLimits reverses encodeLimits. It skips invalid rates.
func decodeLimits(limits []*gossippb.ServerLimit, now time.Time) []advice.LimitRecord {
	var records []advice.LimitRecord
	for _, l := range limits {
		if !advice.ValidNumber(l.GetRequestsPerSecond()) {
			continue
		}
		limit := advice.Limit{Rate: l.GetRequestsPerSecond(), Limited: l.GetNamed(), Estimated: l.GetEstimated(), ObservedAt: now.Add(-millis(l.GetAgeMs()))}
		records = append(records, advice.LimitRecord{Server: l.GetServer(), Limit: limit})
	}
	return records
}

var _ backend.Limiter = serverLimits{}
