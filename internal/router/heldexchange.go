package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/store"
)

// heldKind is the kind of the objects through which zones that cannot reach each other exchange
// what they know of poison requests.
const heldKind = "plankridge-held"

// heldExchangeInterval is the time between two reads of what other daemons have written, while a
// zone is unreachable. Without this exchange each side of a partition has to lose three servers of
// its own to a poison request, and the request reached servers up to five more times after it should
// have been blocked (in test runs of 8, 70 and 300 daemons). A partition of 8 s costs 16 reads per
// zone.
const heldExchangeInterval = 500 * time.Millisecond

// heldRecord is the object that a daemon writes.
type heldRecord struct {
	Reports []quarantine.Report `json:"words"`
	// WrittenMs is the wall-clock time as of which the reports are valid, in milliseconds since
	// 1970.
	WrittenMs int64 `json:"written_ms"`
}

// exchangeHeld exchanges reports of poison requests through the store while this daemon leads its
// zone and another zone is unreachable.
func (r *Router) exchangeHeld(ctx context.Context) {
	ticker := time.NewTicker(heldExchangeInterval)
	defer ticker.Stop()
	published := 0
	for {
		select {
		case now := <-ticker.C:
			if _, complete := r.state.reach(now); complete || !r.plan(now).Leader {
				continue
			}
			changes := r.state.quarantine.ChangeCount()
			if changes != published && r.publishHeld(ctx, now) {
				published = changes
			}
			r.collectHeld(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// publishHeld writes the reports of this daemon to the store. It returns false if that fails.
func (r *Router) publishHeld(ctx context.Context, now time.Time) bool {
	own := heldRecord{Reports: r.state.quarantine.Reports(now), WrittenMs: now.UnixMilli()}
	err := store.Overwrite(ctx, r.objectStore, heldKind, r.settings.VM.ID, own)
	if err != nil {
		r.logger.Warn("failed to publish reports of poison requests", "error", err)
	}
	return err == nil
}

// collectHeld reads and merges the reports that other daemons have written.
func (r *Router) collectHeld(ctx context.Context) {
	page, err := r.objectStore.List(ctx, heldKind)
	if err != nil {
		r.logger.Warn("failed to read published reports of poison requests", "error", err)
		return
	}
	now := time.Now()
	for _, object := range page.Objects {
		var other heldRecord
		if err := json.Unmarshal(object.Spec, &other); err != nil {
			r.badObjects.record(&store.BadObject{Kind: heldKind, Name: object.Name, Fault: store.FaultUnreadable}, now)
			continue
		}
		if object.Name != r.settings.VM.ID {
			r.state.quarantine.Merge(other.Reports, max(0, now.Sub(time.UnixMilli(other.WrittenMs))), now)
		}
	}
}
