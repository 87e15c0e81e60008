package router

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/steady"
)

// serverTolerance is how far a backend server may be taken above its limit: by half of the limit
// and 5 requests within 4 s. 2 of the 5 requests are kept in reserve.
var serverTolerance = allowance.Tolerance{Window: 4 * time.Second, Fraction: 0.5, Tokens: 3}

// limiters holds two limiters: limiter for the workspaces, and servers for the backend servers
// that state a limit. Both use a clock that continues while the VM is suspended. Whenever the
// clock is read, a preceding pause or suspension of the process is detected first, and the limiters
// are reset: requests read from the sockets after that have waited there, and the outdated usage
// counts would admit them.
type limiters struct {
	limiter *allowance.Limiter
	servers *allowance.Limiter
	logger  *slog.Logger
	// onStall is called in its own goroutine after the process has stalled.
	onStall func()

	mu sync.Mutex
	// lastRunAt is when the process was last known to run.
	lastRunAt time.Time
}

func newLimiters(tolerance allowance.Tolerance, logger *slog.Logger, behind func()) *limiters {
	now := steady.Now()
	return &limiters{
		limiter: allowance.NewLimiter(tolerance, now, rand.Float64), servers: allowance.NewLimiter(serverTolerance, now, rand.Float64),
		logger: logger, onStall: behind, lastRunAt: now,
	}
}

// now returns the current time. If the process has stalled since the last call, it first resets the
// limiters.
func (a *limiters) now() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	stalled := now.Sub(a.lastRunAt)
	a.lastRunAt = now
	if stalled < allowance.StallThreshold {
		return now
	}
	a.limiter.ResumeAfterStall(now)
	a.servers.ResumeAfterStall(now)
	a.logger.Warn("process stalled, requesting usage from peers", "for_ms", stalled.Milliseconds())
	go a.onStall()
	return now
}

// Admit implements forward.Limiter.
func (a *limiters) Admit(workspace string, tokens float64) allowance.Verdict {
	return a.limiter.Admit(workspace, tokens, a.now())
}

// AdmitRetry implements forward.Limiter.
func (a *limiters) AdmitRetry(workspace string, tokens float64) allowance.Verdict {
	return a.limiter.AdmitRetry(workspace, tokens, a.now())
}

// Refund implements forward.Limiter.
func (a *limiters) Refund(workspace string, tokens float64, admitted time.Time) {
	a.limiter.Refund(workspace, tokens, admitted)
}

// ownCounters returns the tokens and requests that this daemon has admitted and refused, for
// workspaces and servers. It is called once per report interval, which also serves to detect
// stalls.
func (a *limiters) ownCounters() allowance.Counters {
	a.now()
	own, servers := a.limiter.OwnCounters(), a.servers.OwnCounters()
	maps.Copy(own.Spent, servers.Spent)
	maps.Copy(own.Refused, servers.Refused)
	return own
}

func (a *limiters) restore(o allowance.Snapshot)              { a.limiter.Restore(o, a.now()) }
func (a *limiters) countedFor() time.Duration                 { return a.limiter.CountedFor(a.now()) }
func (a *limiters) warmup() bool                              { return a.limiter.Warmup(a.now()) }
func (a *limiters) usage() (map[string]allowance.Usage, bool) { return a.limiter.Usage(a.now()) }
func (a *limiters) demand() map[string]float64                { return a.limiter.Demand(a.now()) }

// applyCatalog applies the allowances of a configuration and logs those that change.
func (a *limiters) applyCatalog(c *catalog.Catalog) {
	for _, change := range a.limiter.ApplyCatalog(c, a.now()) {
		a.logger.Info("allowance changed", "workspace", change.Workspace, "config_version", c.Version,
			"allowance_limit_before", int64(change.PreviousLimit), "allowance_limit", int64(change.Limit), "allowance_used", int64(change.Used))
	}
}

// setReachable sets how many of the known daemons are reachable.
func (a *limiters) setReachable(reachable, known int) {
	now := a.now()
	a.limiter.SetReachable(reachable, known, now)
	a.servers.SetReachable(reachable, known, now)
}

// applyReport applies a report to both limiters. Each limiter uses only the accounts that it has.
func (a *limiters) applyReport(r allowance.Report) {
	now := a.now()
	a.limiter.ApplyReport(r, now)
	a.servers.ApplyReport(r, now)
}

// adoptFromPeer adopts the usage from a peer that has counted it for the given time.
func (a *limiters) adoptFromPeer(uses map[string]allowance.Usage, demandRates map[string]float64, counted time.Duration) {
	a.limiter.AdoptFromPeer(uses, demandRates, counted, a.now())
}
