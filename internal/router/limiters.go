package router

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/retrybudget"
	"github.com/plankridge/plankridge/internal/steady"
)

// serverTolerance is how far a backend server may be taken above its limit: by half of the limit
// and 5 requests within 4 s. 2 of the 5 requests are kept in reserve.
var serverTolerance = allowance.Tolerance{Window: 4 * time.Second, Fraction: 0.5, Tokens: 3}

// limiters holds what daemons limit together: limiter for the workspaces, servers for the backend
// servers that state a limit, and retries for the retry budgets of the services. All use a clock that continues while the VM is suspended. Whenever the
// clock is read, a preceding pause or suspension of the process is detected first, and the limiters
// are reset: requests read from the sockets after that have waited there, and the outdated usage
// counts would admit them.
type limiters struct {
	limiter *allowance.Limiter
	servers *allowance.Limiter
	retries *retrybudget.Budget
	logger  *slog.Logger
	// onStall is called in its own goroutine after the process has stalled.
	onStall func()

	mu sync.Mutex
	// lastRunAt is when the process was last known to run.
	lastRunAt time.Time
}

func newLimiters(tolerance allowance.Tolerance, retries retrybudget.Bounds, logger *slog.Logger, behind func()) *limiters {
	now := steady.Now()
	return &limiters{
		limiter: allowance.NewLimiter(tolerance, now, rand.Float64), servers: allowance.NewLimiter(serverTolerance, now, rand.Float64),
		retries: retrybudget.New(retries, now, rand.Float64), logger: logger, onStall: behind, lastRunAt: now,
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
	a.retries.ResumeAfterStall(now)
	a.logger.Warn("process stalled, requesting usage from peers", "for_ms", stalled.Milliseconds())
	go a.onStall()
	return now
}

// Admit implements forward.Limiter.
func (a *limiters) Admit(workspace string, tokens float64, class allowance.Class) allowance.Verdict {
	return a.limiter.AdmitClass(workspace, tokens, class, a.now())
}

// AdmitRetry implements forward.Limiter.
func (a *limiters) AdmitRetry(workspace string, tokens float64) allowance.Verdict {
	return a.limiter.AdmitRetry(workspace, tokens, a.now())
}

// Refund implements forward.Limiter.
func (a *limiters) Refund(workspace string, tokens float64, admitted time.Time) {
	a.limiter.Refund(workspace, tokens, admitted)
}

// ownCounters returns the tokens, requests and retries that this daemon has admitted and refused, for
// workspaces, servers and services. It is called once per report interval, which also serves to detect
// stalls.
func (a *limiters) ownCounters() allowance.Counters {
	a.now()
	own := a.limiter.OwnCounters()
	for _, more := range []allowance.Counters{a.servers.OwnCounters(), a.retries.OwnCounters()} {
		maps.Copy(own.Spent, more.Spent)
		maps.Copy(own.Refused, more.Refused)
	}
	return own
}

// restore sets the usage from before the start, of workspaces and retry budgets.
func (a *limiters) restore(o allowance.Snapshot) {
	now := a.now()
	a.limiter.Restore(o, now)
	a.retries.Restore(o, now)
}

// usage returns the recent usage of workspaces and retry budgets, and whether it is known.
func (a *limiters) usage() (usage map[string]allowance.Usage, known bool) {
	now := a.now()
	usage, known = a.limiter.Usage(now)
	retries, retriesKnown := a.retries.Usage(now)
	maps.Copy(usage, retries)
	return usage, retriesKnown && (known || len(a.limiter.Names()) == 0)
}

// demand returns the demand at all daemons for the same.
func (a *limiters) demand() map[string]float64 {
	now := a.now()
	demand := a.limiter.Demand(now)
	maps.Copy(demand, a.retries.Demand(now))
	return demand
}

func (a *limiters) countedFor() time.Duration { return a.limiter.CountedFor(a.now()) }
func (a *limiters) warmup() bool              { return a.limiter.Warmup(a.now()) }

// applyCatalog applies the allowances of a configuration and logs those that change.
func (a *limiters) applyCatalog(c *catalog.Catalog) {
	for service := range c.Services {
		a.retries.AddService(service, a.now())
	}
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
	a.retries.SetReachable(reachable, known, now)
}

// applyReport applies a report to all limiters. Each limiter uses only the accounts that it has.
func (a *limiters) applyReport(r allowance.Report) {
	now := a.now()
	a.limiter.ApplyReport(r, now)
	a.servers.ApplyReport(r, now)
	a.retries.ApplyReport(r, now)
}

// adoptFromPeer adopts the usage from a peer that has counted it for the given time.
func (a *limiters) adoptFromPeer(uses map[string]allowance.Usage, demandRates map[string]float64, counted time.Duration) {
	now := a.now()
	a.limiter.AdoptFromPeer(uses, demandRates, counted, now)
	a.retries.AdoptFromPeer(uses, demandRates, counted, now)
}

// retryBudget implements forward.Budget.
type retryBudget struct{ *limiters }

// CountRequest implements forward.Budget.
func (b retryBudget) CountRequest(service string) { b.retries.CountRequest(service, b.now()) }

// TryRetry implements forward.Budget.
func (b retryBudget) TryRetry(service string) allowance.Verdict {
	return b.retries.TryRetry(service, b.now())
}

// Refund implements forward.Budget.
func (b retryBudget) Refund(service string, admitted time.Time) { b.retries.Refund(service, admitted) }

// retryStates returns the retry budgets by service.
func (a *limiters) retryStates() map[string]retrybudget.State { return a.retries.States(a.now()) }
