package router

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/platform"
)

// removalRetention is how long the removal of an entry is kept, so that a peer that lags by less
// can be sent only the changes.
const removalRetention = 30 * time.Second

// serverList is the list of backend servers in the form that daemons exchange.
type serverList struct {
	entries map[string]listEntry
	// removals holds the recent removals by server ID.
	removals map[string]removal
	// revision is the store revision up to which the list is complete.
	revision int64
	// removalsSince is the revision from which on all removals are known.
	removalsSince int64
	// digest is a digest of the listed servers and their state. It does not depend on their order.
	digest uint64
	// ownAddresses are the addresses at which this daemon listens. No server is there.
	ownAddresses []string
}

// listEntry is an entry with its contribution to the digest and its decoded form.
type listEntry struct {
	spec     json.RawMessage
	revision int64
	digest   uint64
	entry    backend.Entry
	err      error
}

// removal is the revision as of which an entry was gone, and when this daemon learned of it.
type removal struct {
	revision int64
	at       time.Time
}

func newServerList(ownAddresses ...string) *serverList {
	return &serverList{entries: map[string]listEntry{}, removals: map[string]removal{}, ownAddresses: ownAddresses}
}

// replace replaces the list by one as of the given revision and returns the entries that can be
// decoded. Entries that are missing from it are recorded as removed, so that a peer that lags by
// less can still be sent only the changes. It returns false for a list that is older than this one:
// the response to a call may arrive after later changes.
func (l *serverList) replace(objects []store.Object, revision int64, now time.Time) (entries []backend.Entry, invalid []error, applied bool) {
	if revision < l.revision {
		return nil, nil, false
	}
	if l.revision == 0 {
		l.removalsSince = revision
	}
	present := map[string]bool{}
	for _, object := range objects {
		present[object.Name] = true
		if e, known := l.entries[object.Name]; known && e.revision > revision {
			// The entry has changed since.
			continue
		}
		l.putEntry(object)
	}
	for id, e := range l.entries {
		if !present[id] && e.revision <= revision {
			l.deleteEntry(id)
			l.removals[id] = removal{revision: revision, at: now}
		}
	}
	l.revision = revision
	entries, invalid = l.decodedEntries()
	return entries, invalid, true
}

// decodedEntries returns the entries that can be decoded, and the errors of the others.
func (l *serverList) decodedEntries() (entries []backend.Entry, invalid []error) {
	for _, e := range l.entries {
		if e.err != nil {
			invalid = append(invalid, e.err)
			continue
		}
		entries = append(entries, e.entry)
	}
	return entries, invalid
}

// applyEntry adds or replaces an entry as of its revision. It returns false if the same or a later
// revision of the entry is known, or a later removal. Peers send the same changes as the store, in
// any order.
func (l *serverList) applyEntry(object store.Object) bool {
	e, listed := l.entries[object.Name]
	last := e.revision
	if gone, removed := l.removals[object.Name]; removed && !listed {
		last = gone.revision
	}
	if object.Revision > 0 && last >= object.Revision {
		return false
	}
	l.putEntry(object)
	return true
}

// putEntry stores one entry. An entry that cannot be decoded is still passed on to peers, but is
// not part of the digest.
func (l *serverList) putEntry(object store.Object) {
	l.deleteEntry(object.Name)
	delete(l.removals, object.Name)
	entry, err := platform.DecodeServer(object.Name, object.Spec)
	entry.Revision = object.Revision
	e := listEntry{spec: object.Spec, revision: object.Revision, entry: entry, err: err}
	if err == nil {
		e.digest = xxhash.Sum64String(object.Name + "|" + entry.Address + "|" + entry.Version + "|" +
			strconv.FormatInt(entry.StartTimeMs, 16) + "|" + strconv.FormatBool(entry.Draining))
	}
	if err == nil && slices.Contains(l.ownAddresses, entry.Address) {
		// Its requests would come back to this daemon. The digest is that of the daemons that list it.
		e.err = &store.BadObject{Kind: platform.KindServers, Name: object.Name, Fault: store.FaultWrongValue, Field: "address"}
	}
	l.entries[object.Name] = e
	l.digest += e.digest
}

func (l *serverList) deleteEntry(id string) {
	l.digest -= l.entries[id].digest
	delete(l.entries, id)
}

// applyRemoval removes an entry that was gone as of the given revision. It returns false if the
// removal is known already, or if the entry was listed again later. The given revision must not be
// earlier than that of the removal: a peer whose list is at a revision between the two would
// request only later changes and never receive the removal.
func (l *serverList) applyRemoval(id string, revision int64, now time.Time) bool {
	e, listed := l.entries[id]
	if listed && e.revision > revision {
		return false
	}
	if known, removed := l.removals[id]; removed && known.revision >= revision {
		return false
	}
	l.deleteEntry(id)
	l.expireRemovals(now)
	l.removals[id] = removal{revision: revision, at: now}
	return listed
}

// merge applies changes. It returns those that had an effect: the new entries that can be decoded,
// the IDs of the servers that must not be used any more, and the errors of the entries that cannot
// be decoded.
//
// A server whose entry becomes undecodable is treated as if the entry was removed: it gets no new
// requests while there is another server, and requests in flight finish. Keeping it would mean
// trusting an unknown writer, and cutting it off at once would fail its requests because of a
// mistake of that writer.
func (l *serverList) merge(c serverChanges, now time.Time) (entries []backend.Entry, removed []string, invalid []error) {
	for _, object := range c.put {
		if !l.applyEntry(object) {
			continue
		}
		e := l.entries[object.Name]
		if e.err != nil {
			invalid = append(invalid, e.err)
			removed = append(removed, object.Name)
			continue
		}
		entries = append(entries, e.entry)
	}
	for _, e := range c.removed {
		if l.applyRemoval(e.id, e.revision, now) {
			removed = append(removed, e.id)
		}
	}
	if c.from != sourceStore {
		// For changes from the store, Advance sets the revision.
		l.revision = max(l.revision, c.upTo)
	}
	return entries, removed, invalid
}

// expireRemovals deletes the removals that no peer is assumed to lack any more.
func (l *serverList) expireRemovals(now time.Time) {
	for id, r := range l.removals {
		if now.Sub(r.at) >= removalRetention {
			delete(l.removals, id)
			l.removalsSince = max(l.removalsSince, r.revision)
		}
	}
}

// removedServer is a server that is no longer listed, with the revision as of which it was gone.
type removedServer struct {
	id       string
	revision int64
}

// changesSince returns the changes after a revision. If it does not know all removals since then,
// it returns the whole list and false.
func (l *serverList) changesSince(revision int64) (changed []store.Object, removed []removedServer, ok bool) {
	if revision < l.removalsSince {
		return l.allObjects(), nil, false
	}
	for id, e := range l.entries {
		if e.revision > revision {
			changed = append(changed, store.Object{Name: id, Spec: e.spec, Revision: e.revision})
		}
	}
	for id, r := range l.removals {
		if r.revision > revision {
			removed = append(removed, removedServer{id: id, revision: r.revision})
		}
	}
	return changed, removed, true
}

func (l *serverList) allObjects() []store.Object {
	var objects []store.Object
	for id, e := range l.entries {
		objects = append(objects, store.Object{Name: id, Spec: e.spec, Revision: e.revision})
	}
	return objects
}
