package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/store"
)

// heldKind is the kind of the objects through which zones that do not hear each other tell of
// requests that end servers.
const heldKind = "plankridge-held"

// heldExchangeInterval is the time between two looks at what others have written, while a zone is not
// heard. Without them each side of a cut has to lose three servers of its own to one request,
// which reached servers up to five times too late (plays of 8, 70 and 300 daemons). A cut of
// 8 s costs 16 reads a zone.
const heldExchangeInterval = 500 * time.Millisecond

// heldRecord is a daemon's object.
type heldRecord struct {
	Reports []quarantine.Report `json:"words"`
	// WrittenMs is the time of day as of which they are told, in milliseconds since 1970.
	WrittenMs int64 `json:"written_ms"`
}

// exchangeHeld passes on what is known of requests that end servers through the store, while
// this daemon leads its zone and another zone is not heard.
func (r *Router) exchangeHeld(ctx context.Context) {
	ticker := time.NewTicker(heldExchangeInterval)
	defer ticker.Stop()
	written := 0
	for {
		select {
		case now := <-ticker.C:
			if _, complete := r.state.reach(now); complete || !r.plan(now).Leader {
				continue
			}
			changes := r.state.quarantine.ChangeCount()
			if changes != written && r.publishHeld(ctx, now) {
				written = changes
			}
			r.collectHeld(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// publishHeld writes what this daemon knows.
func (r *Router) publishHeld(ctx context.Context, now time.Time) bool {
	own := heldRecord{Reports: r.state.quarantine.Reports(now), WrittenMs: now.UnixMilli()}
	err := store.Overwrite(ctx, r.objectStore, heldKind, r.settings.VM.ID, own)
	if err != nil {
		r.logger.Warn("requests that are held back not published", "error", err)
	}
	return err == nil
}

// collectHeld takes over what others have written.
func (r *Router) collectHeld(ctx context.Context) {
	page, err := r.objectStore.List(ctx, heldKind)
	if err != nil {
		r.logger.Warn("published requests that are held back cannot be read", "error", err)
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
