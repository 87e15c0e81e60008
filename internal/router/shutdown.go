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
	// shutdownMargin is how long before the process is killed the shutdown ends.
	shutdownMargin = 600 * time.Millisecond
)

// shutDown shuts down without cutting requests off: the daemon stays reachable until the load
// balancer has removed it, and answers all requests that it has read.
func (r *Router) shutDown(kill context.Context) {
	deadline := time.Now().Add(r.settings.Bounds.DrainTimeout.Std() - shutdownMargin)
	r.logger.Info("shutting down", "until", deadline)
	r.draining.Store(true)
	ctx, cancel := context.WithDeadline(kill, deadline)
	defer cancel()
	var tunnels sync.WaitGroup
	tunnels.Go(func() {
		r.logShutdownStep("drain connections of peers", func() { r.detours.Drain(ctx) })
	})
	defer tunnels.Wait()
	r.logShutdownStep("release lease", func() { r.elector.Release(ctx) })
	r.node.TriggerReport()
	select {
	case <-time.After(unreadyDelay):
	case <-ctx.Done():
	}
	r.logShutdownStep("drain callers", func() { r.drainCallers(ctx) })
}

// drainCallers accepts no more connections and waits until the requests in flight have ended.
func (r *Router) drainCallers(ctx context.Context) {
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
