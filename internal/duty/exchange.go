package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/usage"
)

// usageKind is the kind of the objects through which daemons that do not hear
// each other exchange what they have counted.
const usageKind = "plankridge-usage"

// publishedCounts is a daemon's object.
type publishedCounts struct {
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	// WholeZone is set when the counts are those of the whole zone.
	WholeZone bool                   `json:"sums"`
	Windows   map[int64]usage.Counts `json:"windows"`
}

const (
	// publishDelay is how long after a window's end its counts are written.
	publishDelay = 500 * time.Millisecond
	// publishWindows is the number of windows written: the one that has ended
	// and one before it, whose write may have failed.
	publishWindows = 3
)

// Exchange passes counts through the store: of a daemon that no lead hears, and of
// a zone that others do not hear.
type Exchange struct {
	Self        string
	Incarnation uint64
	Store       store.Store
	Ledger      *usage.Ledger
	Peers       Peers
	Logger      *slog.Logger
}

// Run publishes this daemon's counts after each window during which others may not
// have heard them, and collects those of its zone.
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

// exchange does what a window that has ended asks for. It returns false when that
// has to be tried again.
func (e *Exchange) exchange(ctx context.Context, window int64) bool {
	_, sums, cut := e.Peers.Zone()
	if cut {
		if err := e.publish(ctx); err != nil {
			e.Logger.Warn("counts not published", "window", window, "error", err)
			return false
		}
	}
	if sums && !e.Peers.AllReachable() {
		e.Collect(ctx)
	}
	return true
}

func (e *Exchange) publish(ctx context.Context) error {
	zone, sums, _ := e.Peers.Zone()
	own := publishedCounts{Incarnation: e.Incarnation, Zone: zone, WholeZone: sums, Windows: e.Ledger.Own(publishWindows)}
	if sums {
		own.Windows = e.Ledger.Zone(publishWindows)
	}
	return store.Overwrite(ctx, e.Store, usageKind, e.Self, own)
}

// Collect takes over what others have published: daemons of this zone, and the
// sums of other zones.
func (e *Exchange) Collect(ctx context.Context) {
	page, err := e.Store.List(ctx, usageKind)
	if err != nil {
		e.Logger.Warn("published counts cannot be read", "error", err)
		return
	}
	zone, _, _ := e.Peers.Zone()
	for _, object := range page.Objects {
		var c publishedCounts
		if err := json.Unmarshal(object.Spec, &c); err != nil {
			e.Logger.Error("published counts cannot be decoded", "daemon", object.Name, "error", err)
			continue
		}
		switch {
		case object.Name == e.Self:
		case c.WholeZone && c.Zone != zone:
			e.Ledger.HeardZone(c.Zone, c.Windows)
		case !c.WholeZone && c.Zone == zone:
			e.Ledger.Heard(object.Name, c.Incarnation, c.Windows)
		}
	}
}
