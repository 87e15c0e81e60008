package router

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/store"
)

// usesKind is the kind of the objects in which leads keep what the workspaces use while nobody
// holds the lease, whose record keeps it otherwise. One is named after its zone.
const usesKind = "plankridge-uses"

const (
	// noHolderTimeout is how long nobody has to be known to hold the lease: a holder renews it
	// twice a second, and reports tell of it within 0.4 s.
	noHolderTimeout = time.Second
	// usesWriteInterval is the time between two writes, as between two renewals.
	usesWriteInterval = 500 * time.Millisecond
	// recentRecordAge is the age up to which the lease's record is gone by alone: the time between
	// two renewals, and the 1.4 s for which machines without power are away. A daemon that
	// starts beside a holder or after a usual death of all so makes no further call.
	recentRecordAge = 2 * time.Second
	// usesMergeWindow is how far apart what leads of several zones keep may be to count as of the
	// same moment: two writes of each.
	usesMergeWindow = 2 * usesWriteInterval
)

// usesRecord is what a lead keeps.
type usesRecord struct {
	Uses map[string]allowance.Usage `json:"uses"`
	// DemandRates is how fast all daemons are asked, by workspace, in tokens a second.
	DemandRates map[string]float64 `json:"asked"`
	// Warmup is set when the lead had just started to count them.
	Warmup bool `json:"warmup,omitempty"`
	// WrittenMs is the time of day at which this was known, in milliseconds since 1970.
	WrittenMs int64 `json:"written_ms"`
}

// recordUses writes down what the workspaces use while this daemon leads its zone and nobody holds
// the lease. Until a lapsed lease is taken its record grows old, and if all daemons die then, and
// again before they have watched the lease for its duration, it is older than a window: a
// workspace that had become hot meanwhile got 2.1 times its allowance
// (TestAllDieWhileNobodyHoldsTheLease).
func (r *Router) recordUses(ctx context.Context) {
	ticker := time.NewTicker(usesWriteInterval)
	defer ticker.Stop()
	holderAt := time.Now()
	for {
		select {
		case now := <-ticker.C:
			if r.state.ownFence() != 0 || (dutyPeers{r}).HolderReachable() {
				holderAt = now
			}
			if now.Sub(holderAt) >= noHolderTimeout && r.plan(now).Leader {
				r.writeUses(ctx, now)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *Router) writeUses(ctx context.Context, now time.Time) {
	uses, known := r.state.limiter.usage()
	if !known || len(uses) == 0 {
		return
	}
	err := store.Overwrite(ctx, r.objectStore, usesKind, r.settings.VM.Zone, usesRecord{
		Uses: uses, DemandRates: r.state.limiter.demand(), Warmup: r.state.limiter.warmup(), WrittenMs: now.UnixMilli(),
	})
	if err != nil {
		r.logger.Warn("what the workspaces use is not written", "error", err)
	}
}

// latestUses returns the record of the lease with what leads have kept since, where it is old.
func (r *Router) latestUses(ctx context.Context, memory lease.Snapshot) (lease.Snapshot, error) {
	if memory.WrittenAtMs == 0 || r.state.started.Sub(time.UnixMilli(memory.WrittenAtMs)) < recentRecordAge {
		return memory, nil
	}
	page, err := r.objectStore.List(ctx, usesKind)
	if err != nil {
		return memory, err
	}
	var kept []usesRecord
	for _, object := range page.Objects {
		var one usesRecord
		if err := json.Unmarshal(object.Spec, &one); err != nil {
			r.badObjects.record(&store.BadObject{Kind: usesKind, Name: object.Name, Fault: store.FaultUnreadable}, time.Now())
			continue
		}
		kept = append(kept, one)
	}
	latest := mergeUses(kept)
	if latest.WrittenMs > memory.WrittenAtMs {
		memory.RecentUses, memory.DemandRates, memory.Warmup, memory.WrittenAtMs = latest.Uses, latest.DemandRates, latest.Warmup, latest.WrittenMs
	}
	return memory, nil
}

// mergeUses returns the newest of what leads kept. Where several are of the same moment, each
// may have heard of a part alone: the larger use of a workspace counts.
func mergeUses(kept []usesRecord) usesRecord {
	newest := int64(0)
	for _, one := range kept {
		newest = max(newest, one.WrittenMs)
	}
	merged := usesRecord{Uses: map[string]allowance.Usage{}, WrittenMs: newest}
	for _, one := range kept {
		if newest-one.WrittenMs > usesMergeWindow.Milliseconds() {
			continue
		}
		merged.Warmup = merged.Warmup || one.Warmup
		merged.DemandRates = mergeDemandRates(merged.DemandRates, one.DemandRates)
		for workspace, use := range one.Uses {
			if use.Sum() > merged.Uses[workspace].Sum() {
				merged.Uses[workspace] = use
			}
		}
	}
	return merged
}

// mergeDemandRates returns the larger rate of each workspace, or nil if none is known.
func mergeDemandRates(merged, asked map[string]float64) map[string]float64 {
	if merged == nil {
		return maps.Clone(asked)
	}
	for workspace, rate := range asked {
		merged[workspace] = max(merged[workspace], rate)
	}
	return merged
}
