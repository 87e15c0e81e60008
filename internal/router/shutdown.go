package router

import (
	"context"
	"sync"
	"time"
)

const (
	// unreadyDelay is how long the daemon continues to accept requests after it has reported itself
	// as not ready. The load balancer checks once a second and removes the daemon after two failed
	// checks.
	unreadyDelay = 2300 * time.Millisecond
	// maxUnreadyShare bounds unreadyDelay to a share of the time of the shutdown. The rest is for the
	// requests in flight.
	maxUnreadyShare = 0.5
	// maxDrainLag is how far behind a caller may be with a request or with reading its answer while the
	// requests in flight are waited for.
	maxDrainLag = time.Second
	// shutdownMargin is how long before the process is killed the shutdown ends.
	shutdownMargin = 600 * time.Millisecond
)

// shutDown shuts down without cutting requests off: the daemon stays reachable until the load
// balancer has removed it, and answers all requests that it has read. No step that waits for another
// system comes before the drain of the callers.
func (r *Router) shutDown(kill context.Context) {
	timeout := r.settings.Bounds.DrainTimeout.Std() - shutdownMargin
	deadline := time.Now().Add(timeout)
	r.logger.Info("shutting down", "until", deadline)
	r.draining.Store(true)
	r.node.TriggerReport()
	ctx, cancel := context.WithDeadline(kill, deadline)
	defer cancel()
	var others sync.WaitGroup
	others.Go(func() {
		r.logShutdownStep("drain connections of peers", func() { r.detours.Drain(ctx) })
	})
	others.Go(func() {
		r.logShutdownStep("release lease", func() { r.releaseLease(ctx) })
	})
	select {
	case <-time.After(min(unreadyDelay, time.Duration(maxUnreadyShare*float64(timeout)))):
	case <-ctx.Done():
	}
	r.logShutdownStep("drain callers", func() { r.drainCallers(ctx) })
	others.Wait()
}

// releaseLease releases the lease if this daemon holds it. It takes no longer than the lease lasts:
// later the lease is free without a release.
func (r *Router) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Bounds.Lease.Std())
	defer cancel()
	r.elector.Release(ctx)
	r.node.TriggerReport()
}

// drainCallers accepts no more connections and waits until the requests in flight have ended.
func (r *Router) drainCallers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.callerGuard.CloseStalled(ctx, maxDrainLag)
	if err := r.callerHTTP.Shutdown(ctx); err != nil {
		r.logger.Warn("shutdown deadline exceeded, closing connections with requests in flight", "error", err)
	}
}

// logShutdownStep runs one step of the shutdown and logs how long it took.
func (r *Router) logShutdownStep(name string, step func()) {
	began := time.Now()
	step()
	r.logger.Info("shutdown step ended", "step", name, "took_ms", time.Since(began).Milliseconds())
}
