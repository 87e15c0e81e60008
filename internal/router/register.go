package router

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/plankridge/plankridge/internal/store"
)

// daemonKind is the kind of the daemons' own entries in the store, by which
// they find each other.
const daemonKind = "plankridge-daemons"

// daemonEntry is a daemon's entry.
type daemonEntry struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// registerRetry follows a failed try to register.
const registerRetry = time.Second

// register learns of the other daemons and writes this one's entry, once.
func (r *Router) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.tryRegister(ctx)
		if err == nil {
			return
		}
		r.logger.Warn("daemon not registered yet", "error", err)
		select {
		case <-time.After(registerRetry):
		case <-ctx.Done():
		}
	}
}

func (r *Router) tryRegister(ctx context.Context) error {
	page, err := r.objects.List(ctx, daemonKind)
	if err != nil {
		return err
	}
	r.state.recall(r.lastMemory(ctx), len(page.Objects), time.Now())
	own := daemonEntry{Zone: r.settings.VM.Zone, Address: r.settings.Listen.Peers}
	revision := int64(0)
	now := time.Now()
	defer func() {
		r.registered.Store(true)
		r.state.useReach(time.Now())
		r.node.Soon()
	}()
	for _, object := range page.Objects {
		var entry daemonEntry
		if err := json.Unmarshal(object.Spec, &entry); err != nil {
			r.logger.Error("entry of a daemon cannot be decoded", "daemon", object.Name, "error", err)
			continue
		}
		if object.Name != r.settings.VM.ID {
			r.members.Learn(object.Name, entry.Zone, entry.Address, now)
			continue
		}
		if entry == own {
			return nil
		}
		revision = object.Revision
	}
	if revision == 0 {
		_, err = r.objects.Create(ctx, daemonKind, r.settings.VM.ID, own)
	} else {
		_, err = r.objects.Replace(ctx, daemonKind, r.settings.VM.ID, revision, own)
	}
	if errors.Is(err, store.ErrConflict) {
		return errors.New("entry was written by another process")
	}
	return err
}
