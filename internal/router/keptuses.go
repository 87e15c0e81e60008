package router

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/store"
)

// usesKind is the kind of the objects in which zone leaders record the usage of the workspaces
// while no daemon holds the lease. Otherwise the record of the lease contains it. An object is
// named after its zone.
const usesKind = "plankridge-uses"

const (
	// noHolderTimeout is how long no lease holder must be reachable before usage is recorded. A
	// holder renews the lease twice a second, and reports show it within 0.4 s.
	noHolderTimeout = time.Second
	// usesWriteInterval is the time between two writes. It equals the time between two renewals.
	usesWriteInterval = 500 * time.Millisecond
	// recentRecordAge is the age up to which the record of the lease is used without reading
	// usesKind. It covers the time between two renewals and the 1.4 s for which machines are away
	// after a loss of power. A daemon that starts while there is a holder, or after the usual loss
	// of all daemons, therefore makes no additional call.
	recentRecordAge = 2 * time.Second
	// usesMergeWindow is the maximum difference in age between the records of several zone leaders
	// that are merged: two writes of each.
	usesMergeWindow = 2 * usesWriteInterval
	// maxClockSkew is how far the clock of another zone leader may be ahead.
	maxClockSkew = time.Minute
)

// usesRecord is the usage that a zone leader records.
type usesRecord struct {
	Uses map[string]allowance.Usage `json:"uses"`
	// DemandRates is the total demand at all daemons by workspace, in tokens per second.
	DemandRates map[string]float64 `json:"asked"`
	// Warmup is set if the leader had just started to count Uses.
	Warmup bool `json:"warmup,omitempty"`
	// WrittenMs is the wall-clock time of the record, in milliseconds since 1970.
	WrittenMs int64 `json:"written_ms"`
}

// recordUses writes the usage of the workspaces to the store while this daemon leads its zone and
// no daemon holds the lease. The record of an expired lease grows old until the lease is acquired
// again. If all daemons stop during that time, and once more before they have watched the lease for
// its duration, the record is older than the allowance window: a workspace whose load had risen in
// the meantime got 2.1 times its allowance (TestAllDieWhileNobodyHoldsTheLease).
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
		r.logger.Warn("failed to record usage of workspaces", "error", err)
	}
}

// latestUses returns the snapshot of the lease. If it is old, it is updated by newer usage that
// zone leaders have recorded.
func (r *Router) latestUses(ctx context.Context, snapshot lease.Snapshot) (lease.Snapshot, error) {
	if snapshot.WrittenAtMs == 0 || r.state.started.Sub(time.UnixMilli(snapshot.WrittenAtMs)) < recentRecordAge {
		return snapshot, nil
	}
	page, err := r.objectStore.List(ctx, usesKind)
	if err != nil {
		return snapshot, err
	}
	var records []usesRecord
	for _, object := range page.Objects {
		var record usesRecord
		if err := json.Unmarshal(object.Spec, &record); err != nil {
			r.badObjects.record(&store.BadObject{Kind: usesKind, Name: object.Name, Fault: store.FaultUnreadable}, time.Now())
			continue
		}
		records = append(records, record)
	}
	latest := mergeUses(plausibleRecords(records, time.Now()))
	if latest.WrittenMs > snapshot.WrittenAtMs {
		snapshot.RecentUses, snapshot.DemandRates, snapshot.Warmup, snapshot.WrittenAtMs = latest.Uses, latest.DemandRates, latest.Warmup, latest.WrittenMs
	}
	return snapshot, nil
}

// plausibleRecords returns the records that zone leaders can have written by now. One from the future
// would make all others count as old.
func plausibleRecords(records []usesRecord, now time.Time) []usesRecord {
	return slices.DeleteFunc(records, func(r usesRecord) bool {
		return r.WrittenMs < 0 || r.WrittenMs > now.Add(maxClockSkew).UnixMilli()
	})
}

// mergeUses merges the newest records of the zone leaders. Each leader may have received only part
// of the reports, so the larger usage of each workspace counts.
func mergeUses(records []usesRecord) usesRecord {
	newest := int64(0)
	for _, record := range records {
		newest = max(newest, record.WrittenMs)
	}
	merged := usesRecord{Uses: map[string]allowance.Usage{}, WrittenMs: newest}
	for _, record := range records {
		if newest-record.WrittenMs > usesMergeWindow.Milliseconds() {
			continue
		}
		merged.Warmup = merged.Warmup || record.Warmup
		merged.DemandRates = mergeDemandRates(merged.DemandRates, plausibleRates(record.DemandRates))
		for workspace, use := range record.Uses {
			if use.Sum() > merged.Uses[workspace].Sum() {
				merged.Uses[workspace] = use
			}
		}
	}
	return merged
}

// mergeDemandRates returns the larger rate of each workspace, or nil if no rate is known.
func mergeDemandRates(merged, rates map[string]float64) map[string]float64 {
	if merged == nil {
		return maps.Clone(rates)
	}
	for workspace, rate := range rates {
		merged[workspace] = max(merged[workspace], rate)
	}
	return merged
}
