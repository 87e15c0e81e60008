package router

import (
	"context"
	"time"

	"github.com/plankridge/plankridge/internal/store"
)

const (
	// probeShare is the part of the operators' bound for leaving servers within which a probe of
	// the store has to be answered, and the part between two probes. What is found out by them
	// leaves a quarter for another daemon to list the servers and to tell the zone.
	probeShare = 1.0 / 8
	// shortestProbe and longestProbe bound that time.
	shortestProbe = 100 * time.Millisecond
	longestProbe  = time.Second
	// slowFactor times the usual time of an answer is how long one is waited for where that is
	// more: a store that is slow for all is no reason to change roles.
	slowFactor = 4
	// usualWeight is the weight of an answer in the usual time.
	usualWeight = 0.2
)

// probes decides when a store that was probed counts as out of reach. It is used by one
// goroutine.
type probes struct {
	every time.Duration
	usual time.Duration
}

func newProbes(leaving time.Duration) *probes {
	return &probes{every: max(shortestProbe, min(longestProbe, time.Duration(probeShare*float64(leaving))))}
}

// patience returns how long the next answer is waited for.
func (p *probes) patience() time.Duration {
	return max(p.every, min(longestProbe, slowFactor*p.usual))
}

// answered takes over how long an answer took. One that came too late counts for as long as it
// was waited for, so that patience grows where the store is slow.
func (p *probes) answered(took time.Duration) {
	p.usual += time.Duration(usualWeight * float64(took-p.usual))
}

// probeStore finds out, while this daemon follows the store for its zone, that the store does not
// reach it any more. A watch that waits says nothing of that for seconds, and meanwhile the zone
// hears of no server that leaves.
func (r *Router) probeStore(ctx context.Context) {
	probes := newProbes(r.settings.Bounds.EffectiveLeavingLimit())
	ticker := time.NewTicker(probes.every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !r.following.Load() || r.state.failing() {
			continue
		}
		err := reach(ctx, r.objects, probes)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.logger.Warn("store is out of reach", "error", err, "waited_ms", probes.patience().Milliseconds())
		r.state.outOfReach()
		r.relist()
		r.node.TriggerReport()
	}
}

// reach makes one probe.
func reach(ctx context.Context, objects store.Store, probes *probes) error {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probes.patience())
	defer cancel()
	err := objects.Ping(ctx)
	probes.answered(time.Since(begun))
	return err
}
