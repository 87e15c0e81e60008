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

// serverAccountPrefix begins the names of the accounts of servers among those of workspaces. A key in
// hexadecimal follows.
const serverAccountPrefix = "server/"

// serverLimits shares the limits that servers name among all daemons. It implements
// backend.Limiter.
type serverLimits struct{ *limiters }

func accountOf(server uint32) string { return fmt.Sprintf("%s%08x", serverAccountPrefix, server) }

// serverOf returns the key of the server that an account belongs to.
func serverOf(account string) (server uint32, found bool) {
	text, found := strings.CutPrefix(account, serverAccountPrefix)
	if !found {
		return 0, false
	}
	key, err := strconv.ParseUint(text, 16, 32)
	return uint32(key), err == nil
}

// minServerRate is in requests a second. A server that takes fewer, or none, gets as many, so that
// it is found out when it takes more.
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

// Binds implements backend.Limiter.
func (l serverLimits) Binds(server uint32) bool { return l.servers.Binds(accountOf(server), l.now()) }

// mergeLimits merges the limits that a peer reports.
func (s *state) mergeLimits(status *gossippb.Status, now time.Time) {
	changed := s.view.MergeLimits(decodeLimits(status.GetLimits(), now))
	for _, c := range changed {
		s.router.logger.Info("server's limit changed", "server", c.ID, "service", c.Service, "zone", c.Zone,
			"limited", c.Limit.Limited, "requests_per_second", c.Limit.Rate, "limited_before", c.Before.Limited, "requests_per_second_before", c.Before.Rate, "from", status.GetVm())
	}
	if len(changed) > 0 {
		s.router.node.TriggerReport()
	}
}

// dropUnlimitedAccounts leaves out the accounts of servers that have no limit any more: sums hold all
// that there ever were.
func (s *state) dropUnlimitedAccounts(sums rollup.Counts, now time.Time) {
	limited := s.view.LimitedKeys(now)
	ended := func(account string, _ float64) bool {
		server, found := serverOf(account)
		return found && !limited[server]
	}
	maps.DeleteFunc(sums.Spent, ended)
	maps.DeleteFunc(sums.Refused, ended)
}

func encodeLimits(records []advice.LimitRecord, now time.Time) []*gossippb.ServerLimit {
	var limits []*gossippb.ServerLimit
	for _, r := range records {
		limits = append(limits, &gossippb.ServerLimit{
			Server: r.Server, Named: r.Limited, RequestsPerSecond: r.Rate, AgeMs: now.Sub(r.ObservedAt).Milliseconds(),
		})
	}
	return limits
}

// decodeLimits decodes what encodeLimits made. Rates that no server can name are left out.
func decodeLimits(limits []*gossippb.ServerLimit, now time.Time) []advice.LimitRecord {
	var records []advice.LimitRecord
	for _, l := range limits {
		if !advice.ValidNumber(l.GetRequestsPerSecond()) {
			continue
		}
		limit := advice.Limit{Rate: l.GetRequestsPerSecond(), Limited: l.GetNamed(), ObservedAt: now.Add(-millis(l.GetAgeMs()))}
		records = append(records, advice.LimitRecord{Server: l.GetServer(), Limit: limit})
	}
	return records
}

var _ backend.Limiter = serverLimits{}
