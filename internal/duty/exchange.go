package duty

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/usage"
)

// usageKind is the kind of the objects through which daemons that do not hear
// each other exchange what they have counted.
const usageKind = "plankridge-usage"

// counted is a daemon's object.
type counted struct {
	Incarnation uint64                 `json:"incarnation"`
	Windows     map[int64]usage.Counts `json:"windows"`
}

const (
	// publishAfter is how long after a window's end its counts are written.
	publishAfter = 500 * time.Millisecond
	// publishWindows is the number of windows written: the one that has ended
	// and one before it, whose write may have failed.
	publishWindows = 3
)

// Exchange passes counts through the store while some daemon is not heard.
type Exchange struct {
	Self        string
	Incarnation uint64
	Store       store.Store
	Ledger      *usage.Ledger
	Peers       Peers
	Logger      *slog.Logger
}

// Run publishes this daemon's counts after each window during which some daemon
// was not heard.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(reportTick)
	defer ticker.Stop()
	published := e.Ledger.WindowAt(time.Now())
	for {
		select {
		case now := <-ticker.C:
			ended := e.Ledger.WindowAt(now.Add(-publishAfter)) - 1
			if ended <= published || e.Peers.AllHeard() {
				continue
			}
			if err := e.publish(ctx); err != nil {
				e.Logger.Warn("counts not published", "window", ended, "error", err)
				continue
			}
			published = ended
		case <-ctx.Done():
			return
		}
	}
}

func (e *Exchange) publish(ctx context.Context) error {
	own := counted{Incarnation: e.Incarnation, Windows: e.Ledger.Own(publishWindows)}
	_, err := e.Store.Replace(ctx, usageKind, e.Self, 0, own)
	if errors.Is(err, store.ErrNotFound) {
		_, err = e.Store.Create(ctx, usageKind, e.Self, own)
	}
	return err
}

// Collect takes over what others have published.
func (e *Exchange) Collect(ctx context.Context) {
	page, err := e.Store.List(ctx, usageKind)
	if err != nil {
		e.Logger.Warn("published counts cannot be read", "error", err)
		return
	}
	for _, object := range page.Objects {
		var c counted
		if err := json.Unmarshal(object.Spec, &c); err != nil {
			e.Logger.Error("published counts cannot be decoded", "daemon", object.Name, "error", err)
			continue
		}
		if object.Name != e.Self {
			e.Ledger.Heard(object.Name, c.Incarnation, c.Windows)
		}
	}
}
