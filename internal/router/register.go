package router

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/store"
)

// daemonKind is the kind of the daemons' own entries in the store, by which
// they find each other.
const daemonKind = "plankridge-daemons"

// daemonEntry is a daemon's entry.
type daemonEntry struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// SinceMs is the time of day at which the VM's first process started, in milliseconds since 1970.
	SinceMs int64 `json:"since_ms,omitempty"`
}

// registerRetryDelay follows a failed try to register.
const registerRetryDelay = time.Second

// registration is the progress of register: what was known is recalled, and the allowances are opened.
type registration struct {
	snapshotLoaded, allowancesRestored bool
}

// register learns of the other daemons and of what was known before, and writes this
// daemon's entry, once.
func (r *Router) register(ctx context.Context) {
	var done registration
	for ctx.Err() == nil {
		err := r.tryRegister(ctx, &done)
		if err == nil {
			return
		}
		r.logger.Warn("daemon not registered yet", "error", err)
		select {
		case <-time.After(registerRetryDelay):
		case <-ctx.Done():
		}
	}
}

// tryRegister tries once. Until what was used before can be read, allowances count as used
// up, unless another daemon tells it.
func (r *Router) tryRegister(ctx context.Context, done *registration) error {
	page, err := r.listDaemons(ctx)
	if err != nil {
		return err
	}
	var unread error
	if !done.snapshotLoaded {
		memory, err := r.elector.LoadMemory(ctx)
		if err == nil {
			memory, err = r.latestUses(ctx, memory)
		}
		if err == nil {
			done.allowancesRestored = r.state.restoreSnapshot(memory, len(page.Objects), time.Now())
			done.snapshotLoaded = true
		}
		unread = err
	}
	if err := r.writeEntry(ctx, page); err != nil {
		return err
	}
	if done.snapshotLoaded && !done.allowancesRestored {
		unread = r.restoreWithoutRecord(ctx)
		done.allowancesRestored = unread == nil
	}
	return unread
}

// restoreWithoutRecord counts the most that the workspaces may have used since the first daemon started:
// all that ran before may have died without writing a record.
func (r *Router) restoreWithoutRecord(ctx context.Context) error {
	page, err := r.objectStore.List(ctx, daemonKind)
	if err != nil {
		return err
	}
	begun, known := earliestStart(page)
	if !known {
		r.logger.Warn("no record of what the workspaces use: allowances count as used up for a window, unless a peer tells more")
		return nil
	}
	r.state.limiter.restore(allowance.Snapshot{Unrecorded: true, Age: max(0, r.state.started.Sub(begun))})
	return nil
}

// earliestStart returns when the first of the listed daemons started. It returns false if an entry does not
// tell.
func earliestStart(page store.Page) (time.Time, bool) {
	first := int64(math.MaxInt64)
	for _, object := range page.Objects {
		var entry daemonEntry
		if err := json.Unmarshal(object.Spec, &entry); err != nil || entry.SinceMs == 0 {
			return time.Time{}, false
		}
		first = min(first, entry.SinceMs)
	}
	return time.UnixMilli(first), len(page.Objects) > 0
}

// listDaemons lists the other daemons' entries. Daemons that have been there for seconds
// are enough to find all others, but for the first start.
func (r *Router) listDaemons(ctx context.Context) (store.Page, error) {
	if r.settings.Peers.Bootstrap {
		return r.objectStore.List(ctx, daemonKind)
	}
	return r.objectStore.ListStale(ctx, daemonKind)
}

// writeEntry learns of the listed daemons and writes this one's entry if it is missing.
func (r *Router) writeEntry(ctx context.Context, page store.Page) error {
	standing, revision := r.learnMembers(page, time.Now())
	own := daemonEntry{Zone: r.settings.VM.Zone, Address: r.settings.Listen.Peers, SinceMs: standing.SinceMs}
	if revision == 0 {
		own.SinceMs = r.state.started.UnixMilli()
	}
	defer func() {
		r.registered.Store(true)
		select {
		case r.peersLearned <- struct{}{}:
		default:
		}
		r.state.applyReach(time.Now())
		r.node.TriggerReport()
	}()
	if standing == own {
		return nil
	}
	var err error
	if revision == 0 {
		_, err = r.objectStore.Create(ctx, daemonKind, r.settings.VM.ID, own)
	} else {
		_, err = r.objectStore.Replace(ctx, daemonKind, r.settings.VM.ID, revision, own)
	}
	if errors.Is(err, store.ErrConflict) {
		return errors.New("entry was written by another process")
	}
	return err
}

// learnMembers takes over who the other daemons are, all of them: a lead that knows a part of its
// zone is heard by that part alone. It returns this daemon's own entry with its revision,
// or zero.
func (r *Router) learnMembers(page store.Page, now time.Time) (own daemonEntry, revision int64) {
	for _, object := range page.Objects {
		var entry daemonEntry
		if err := json.Unmarshal(object.Spec, &entry); err != nil {
			r.badObjects.record(&store.BadObject{Kind: daemonKind, Name: object.Name, Fault: store.FaultUnreadable}, now)
			continue
		}
		if object.Name == r.settings.VM.ID {
			own, revision = entry, object.Revision
			continue
		}
		r.members.Learn(object.Name, entry.Zone, entry.Address, now)
	}
	return own, revision
}
