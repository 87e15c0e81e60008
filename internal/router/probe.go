package router

import (
	"context"
	"time"

	"github.com/plankridge/plankridge/internal/store"
)

const (
	// probeFraction is the fraction of the drain bound within which a probe of the store must be
	// answered, and also the time between two probes. After a failure is detected, a quarter of the
	// bound is left for another daemon to list the servers and to send the changes to the zone.
	probeFraction = 1.0 / 8
	// minProbeInterval and maxProbeInterval bound that time.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = time.Second
	// probeTimeoutFactor is the probe timeout as a multiple of the mean latency, where that is
	// longer than the probe interval: a store that is slow for all daemons is no reason to change
	// roles.
	probeTimeoutFactor = 4
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.2
)

// prober determines the interval and the timeout of probes of the store. It is not safe for
// concurrent use.
type prober struct {
	interval    time.Duration
	meanLatency time.Duration
}

func newProber(drainBound time.Duration) *prober {
	return &prober{interval: max(minProbeInterval, min(maxProbeInterval, time.Duration(probeFraction*float64(drainBound))))}
}

// timeout returns the timeout of the next probe.
func (p *prober) timeout() time.Duration {
	return max(p.interval, min(maxProbeInterval, probeTimeoutFactor*p.meanLatency))
}

// recordLatency adds the latency of a probe. A probe that timed out counts with its timeout, so the
// timeout grows while the store is slow.
func (p *prober) recordLatency(latency time.Duration) {
	p.meanLatency += time.Duration(latencyWeight * float64(latency-p.meanLatency))
}

// probeStore detects that the store has become unreachable, while this daemon follows the store for
// its zone. A watch that waits shows no error for seconds, and in the meantime the zone does not
// learn which servers leave.
func (r *Router) probeStore(ctx context.Context) {
	p := newProber(r.settings.Bounds.EffectiveDrainBound())
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !r.following.Load() || r.state.storeUnavailable() {
			continue
		}
		err := probeOnce(ctx, r.objectStore, p)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.logger.Warn("store is unreachable", "error", err, "waited_ms", p.timeout().Milliseconds())
		r.state.recordUnreachable()
		r.relist()
		r.node.TriggerReport()
	}
}

// probeOnce sends one probe and records its latency.
func probeOnce(ctx context.Context, objects store.Store, p *prober) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.timeout())
	defer cancel()
	err := objects.Ping(ctx)
	p.recordLatency(time.Since(start))
	return err
}
