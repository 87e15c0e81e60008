package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/usage"
)

// usageKind is the kind of the objects through which daemons that cannot reach each other
// exchange their usage counts.
const usageKind = "plankridge-usage"

// publishedCounts is the object of one daemon.
type publishedCounts struct {
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	// WholeZone is set when the counts are those of the whole zone.
	WholeZone bool                   `json:"sums"`
	Windows   map[int64]usage.Counts `json:"windows"`
}

const (
	// publishDelay is the time from a window's end to the write of its counts.
	publishDelay = 500 * time.Millisecond
	// publishWindows is the number of windows written: the current one, the one that has ended,
	// and the one before it, whose write may have failed.
	publishWindows = 3
)

// Exchange passes usage counts through the store: those of a daemon that no leader can reach, and
// those of a zone that other zones cannot reach.
type Exchange struct {
	Self        string
	Incarnation uint64
	Store       store.Store
	Ledger      *usage.Ledger
	Peers       Peers
	Logger      *slog.Logger
}

// Run publishes this daemon's counts after each window in which other daemons may not have
// received them, and collects those of its zone.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(reportTick)
	defer ticker.Stop()
	handled := e.Ledger.WindowAt(time.Now())
	for {
		select {
		case now := <-ticker.C:
			ended := e.Ledger.WindowAt(now.Add(-publishDelay)) - 1
			if ended > handled && e.exchange(ctx, ended) {
				handled = ended
			}
		case <-ctx.Done():
			return
		}
	}
}

// exchange publishes and collects the counts due after a window. It returns false when that has
// to be retried.
func (e *Exchange) exchange(ctx context.Context, window int64) bool {
	_, sumsZone, isolated := e.Peers.Zone()
	if isolated {
		if err := e.publish(ctx); err != nil {
			e.Logger.Warn("failed to publish usage counts", "window", window, "error", err)
			return false
		}
	}
	if sumsZone && !e.Peers.AllReachable() {
		e.Collect(ctx)
	}
	return true
}

func (e *Exchange) publish(ctx context.Context) error {
	zone, sumsZone, _ := e.Peers.Zone()
	published := publishedCounts{Incarnation: e.Incarnation, Zone: zone, WholeZone: sumsZone, Windows: e.Ledger.Own(publishWindows)}
	if sumsZone {
		published.Windows = e.Ledger.Zone(publishWindows)
	}
	return store.Overwrite(ctx, e.Store, usageKind, e.Self, published)
}

// Collect adds the published counts of the daemons of this zone and the sums of other zones to
// the ledger.
func (e *Exchange) Collect(ctx context.Context) {
	page, err := e.Store.List(ctx, usageKind)
	if err != nil {
		e.Logger.Warn("failed to list published usage counts", "error", err)
		return
	}
	zone, _, _ := e.Peers.Zone()
	for _, object := range page.Objects {
		var counts publishedCounts
		if err := json.Unmarshal(object.Spec, &counts); err != nil {
			e.Logger.Error("failed to decode published usage counts", "daemon", object.Name, "error", err)
			continue
		}
		windows := e.Ledger.Plausible(counts.Windows, time.Now())
		switch {
		case object.Name == e.Self:
		case counts.WholeZone && counts.Zone != zone:
			e.Ledger.MergeZone(counts.Zone, windows)
		case !counts.WholeZone && counts.Zone == zone:
			e.Ledger.MergePeer(object.Name, counts.Incarnation, windows)
		}
	}
}
