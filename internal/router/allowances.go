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

// serverTolerance is how far above its limit a backend server may get: in 4 s half of the limit
// and 5 requests, of which 2 are kept in reserve.
var serverTolerance = allowance.Tolerance{Window: 4 * time.Second, Fraction: 0.5, Tokens: 3}

// limiters are the limiters by a clock that goes on while the VM is suspended: that of the
// workspaces, and that of the backend servers that name a limit. Whoever uses them
// after the process has stood still, paused or suspended, first tells the limiters so: what is
// read from sockets then has waited there, and would be admitted by what was known before.
type limiters struct {
	limiter *allowance.Limiter
	servers *allowance.Limiter
	logger  *slog.Logger
	// onStall is called when the process has stood still.
	onStall func()

	mu sync.Mutex
	// lastRunAt is when the process was last seen to run.
	lastRunAt time.Time
}

func newLimiters(tolerance allowance.Tolerance, logger *slog.Logger, behind func()) *limiters {
	now := steady.Now()
	return &limiters{
		limiter: allowance.NewLimiter(tolerance, now, rand.Float64), servers: allowance.NewLimiter(serverTolerance, now, rand.Float64),
		logger: logger, onStall: behind, lastRunAt: now,
	}
}

// now returns the time, and tells the limiter if the process has stood still.
func (a *limiters) now() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	stood := now.Sub(a.lastRunAt)
	a.lastRunAt = now
	if stood < allowance.StallThreshold {
		return now
	}
	a.limiter.ResumeAfterStall(now)
	a.servers.ResumeAfterStall(now)
	a.logger.Warn("process stood still, others are asked what was used", "for_ms", stood.Milliseconds())
	go a.onStall()
	return now
}

// Admit implements forward.Limiter.
func (a *limiters) Admit(workspace string, tokens float64) allowance.Verdict {
	return a.limiter.Admit(workspace, tokens, a.now())
}

// Repeat implements forward.Limiter.
func (a *limiters) Repeat(workspace string, tokens float64) allowance.Verdict {
	return a.limiter.AdmitRetry(workspace, tokens, a.now())
}

// Refund implements forward.Limiter.
func (a *limiters) Refund(workspace string, tokens float64, admitted time.Time) {
	a.limiter.Refund(workspace, tokens, admitted)
}

// ownCounters returns what this daemon has admitted and refused, of workspaces and servers. It is asked
// for in each round of reports, which shows that the process runs.
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

// applyCatalog takes over the allowances of a configuration, and logs those that it changes.
func (a *limiters) applyCatalog(c *catalog.Catalog) {
	for _, change := range a.limiter.ApplyCatalog(c, a.now()) {
		a.logger.Info("allowance changed", "workspace", change.Workspace, "config_version", c.Version,
			"allowance_limit_before", int64(change.PreviousLimit), "allowance_limit", int64(change.Limit), "allowance_used", int64(change.Used))
	}
}

// setReachable takes over how many of the known daemons are heard.
func (a *limiters) setReachable(heard, known int) {
	now := a.now()
	a.limiter.SetReachable(heard, known, now)
	a.servers.SetReachable(heard, known, now)
}

// applyReport takes over a report. Each limiter knows its own accounts in it.
func (a *limiters) applyReport(r allowance.Report) {
	now := a.now()
	a.limiter.ApplyReport(r, now)
	a.servers.ApplyReport(r, now)
}

// adoptFromPeer takes over what a daemon tells that has counted for a time.
func (a *limiters) adoptFromPeer(uses map[string]allowance.Usage, asked map[string]float64, counted time.Duration) {
	a.limiter.AdoptFromPeer(uses, asked, counted, a.now())
}
