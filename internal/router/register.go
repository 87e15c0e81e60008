package router

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/gossip"
	"github.com/plankridge/plankridge/internal/store"
)

// daemonKind is the kind of the entries in the store through which daemons find each other.
const daemonKind = "plankridge-daemons"

// daemonEntry is the entry of one daemon.
type daemonEntry struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// SinceMs is the wall-clock time at which the VM's first process started, in milliseconds since
	// 1970.
	SinceMs int64 `json:"since_ms,omitempty"`
	// Capacity is how many Mbit/s the daemon can relay, or zero if it is not known.
	Capacity uint32 `json:"capacity,omitempty"`
}

// registerRetryDelay is the delay after a failed attempt to register.
const registerRetryDelay = time.Second

// registration is the progress of register: whether the snapshot has been loaded, and whether the
// allowances have been restored.
type registration struct {
	snapshotLoaded, allowancesRestored bool
}

// register learns the other daemons, restores the snapshot and writes this daemon's entry. It
// retries until all of this has succeeded.
func (r *Router) register(ctx context.Context) {
	var progress registration
	for ctx.Err() == nil {
		err := r.tryRegister(ctx, &progress)
		if err == nil {
			return
		}
		r.logger.Warn("failed to register daemon, retrying", "error", err)
		select {
		case <-time.After(registerRetryDelay):
		case <-ctx.Done():
		}
	}
}

// tryRegister makes one attempt. Until the earlier usage can be read, allowances count as used up,
// unless another daemon reports the usage.
func (r *Router) tryRegister(ctx context.Context, progress *registration) error {
	page, err := r.listDaemons(ctx)
	if err != nil {
		return err
	}
	var restoreErr error
	if !progress.snapshotLoaded {
		snapshot, err := r.elector.LoadSnapshot(ctx)
		if err == nil {
			snapshot, err = r.latestUses(ctx, snapshot)
		}
		if err == nil {
			progress.allowancesRestored = r.state.restoreSnapshot(snapshot, len(page.Objects), time.Now())
			progress.snapshotLoaded = true
		}
		restoreErr = err
	}
	if err := r.writeEntry(ctx, page); err != nil {
		return err
	}
	if progress.snapshotLoaded && !progress.allowancesRestored {
		restoreErr = r.restoreWithoutRecord(ctx)
		progress.allowancesRestored = restoreErr == nil
	}
	return restoreErr
}

// restoreWithoutRecord assumes the maximum usage that the workspaces can have had since the first
// daemon started. All earlier daemons may have stopped without writing a record.
func (r *Router) restoreWithoutRecord(ctx context.Context) error {
	page, err := r.objectStore.List(ctx, daemonKind)
	if err != nil {
		return err
	}
	start, known := earliestStart(page)
	if !known {
		r.logger.Warn("no record of workspace usage: allowances count as used up for one window unless a peer reports the usage")
		return nil
	}
	r.state.limiter.restore(allowance.Snapshot{Unrecorded: true, Age: max(0, r.state.started.Sub(start))})
	return nil
}

// earliestStart returns the earliest start of the listed daemons. It returns false if an entry
// lacks its start.
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

// firstStartSpread is the time within which the daemons of a deployment start for the first time.
const firstStartSpread = 2 * time.Second

// listDaemons lists the entries of the daemons. Except at the first start of the deployment, a list
// that is some seconds old contains enough daemons to find all others.
func (r *Router) listDaemons(ctx context.Context) (store.Page, error) {
	if r.settings.Peers.Bootstrap {
		return r.objectStore.List(ctx, daemonKind)
	}
	return r.objectStore.ListStale(ctx, daemonKind)
}

// writeEntry learns the listed daemons, and writes this daemon's entry if it is missing or differs.
func (r *Router) writeEntry(ctx context.Context, page store.Page) error {
	existing, revision := r.learnMembers(page, time.Now())
	own := daemonEntry{Zone: r.settings.VM.Zone, Address: r.settings.Listen.Peers, SinceMs: existing.SinceMs, Capacity: r.settings.VM.RelayCapacity()}
	if revision == 0 {
		own.SinceMs = r.state.started.UnixMilli()
	}
	if first, known := earliestStart(page); len(page.Objects) > 0 && (!known || r.state.started.Sub(first) > firstStartSpread) {
		r.ranBefore.Store(true)
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
	if existing == own {
		return nil
	}
	var err error
	if revision == 0 {
		_, err = r.objectStore.Create(ctx, daemonKind, r.settings.VM.ID, own)
	} else {
		_, err = r.objectStore.Replace(ctx, daemonKind, r.settings.VM.ID, revision, own)
	}
	if errors.Is(err, store.ErrConflict) {
		return errors.New("daemon entry was written by another process")
	}
	return err
}

// learnMembers adds all listed daemons to the members. It must not stop early: a leader that knows
// only part of its zone sends its totals only to that part. It returns this daemon's own entry with
// its revision, or a zero revision if there is none.
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
		r.members.Learn(gossip.Listed{VM: object.Name, Zone: entry.Zone, Address: entry.Address, Capacity: entry.Capacity}, now)
	}
	return own, revision
}
