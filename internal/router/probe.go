package router

import (
	"context"
	"time"

	"github.com/plankridge/plankridge/internal/store"
)

const (
	// probeFraction is the part of the operators' bound for leaving servers within which a probe of
	// the store has to be answered, and the part between two probes. What is found out by them
	// leaves a quarter for another daemon to list the servers and to tell the zone.
	probeFraction = 1.0 / 8
	// minProbeInterval and maxProbeInterval bound that time.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = time.Second
	// probeTimeoutFactor times the usual time of an answer is how long one is waited for where that is
	// more: a store that is slow for all is no reason to change roles.
	probeTimeoutFactor = 4
	// latencyWeight is the weight of an answer in the usual time.
	latencyWeight = 0.2
)

// prober decides when a store that was probed counts as out of reach. It is used by one
// goroutine.
type prober struct {
	interval    time.Duration
	meanLatency time.Duration
}

func newProber(leaving time.Duration) *prober {
	return &prober{interval: max(minProbeInterval, min(maxProbeInterval, time.Duration(probeFraction*float64(leaving))))}
}

// timeout returns how long the next answer is waited for.
func (p *prober) timeout() time.Duration {
	return max(p.interval, min(maxProbeInterval, probeTimeoutFactor*p.meanLatency))
}

// recordLatency takes over how long an answer took. One that came too late counts for as long as it
// was waited for, so that patience grows where the store is slow.
func (p *prober) recordLatency(took time.Duration) {
	p.meanLatency += time.Duration(latencyWeight * float64(took-p.meanLatency))
}

// probeStore finds out, while this daemon follows the store for its zone, that the store does not
// reach it any more. A watch that waits says nothing of that for seconds, and meanwhile the zone
// hears of no server that leaves.
func (r *Router) probeStore(ctx context.Context) {
	probes := newProber(r.settings.Bounds.EffectiveLeavingLimit())
	ticker := time.NewTicker(probes.interval)
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
		err := probeOnce(ctx, r.objectStore, probes)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.logger.Warn("store is out of reach", "error", err, "waited_ms", probes.timeout().Milliseconds())
		r.state.recordUnreachable()
		r.relist()
		r.node.TriggerReport()
	}
}

// probeOnce makes one probe.
func probeOnce(ctx context.Context, objects store.Store, probes *prober) error {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probes.timeout())
	defer cancel()
	err := objects.Ping(ctx)
	probes.recordLatency(time.Since(begun))
	return err
}
