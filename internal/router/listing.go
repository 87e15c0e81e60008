package router

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/platform"
)

// removalRetention is how long the removal of an entry is remembered, so that a peer that
// is behind by less can be told just what has changed.
const removalRetention = 30 * time.Second

// serverList is the list of backend servers as daemons exchange it.
type serverList struct {
	entries map[string]listEntry
	// removals holds the removals, by ID.
	removals map[string]removal
	// revision is the store's revision up to which everything is known.
	revision int64
	// removalsSince is the revision from which on removals are known.
	removalsSince int64
	// digest is a digest of what servers are listed and how, whatever their order.
	digest uint64
}

// listEntry is an entry with what it adds to the digest, and what was decoded of it.
type listEntry struct {
	spec     json.RawMessage
	revision int64
	digest   uint64
	entry    backend.Entry
	err      error
}

// removal is the revision by which an entry was gone, and when this daemon heard of it.
type removal struct {
	revision int64
	at       time.Time
}

func newServerList() *serverList {
	return &serverList{entries: map[string]listEntry{}, removals: map[string]removal{}}
}

// replace takes over a whole list as of a revision and returns the entries that can be decoded.
// What is missing there was removed since, so that a peer that is behind by less still gets the
// changes alone. It returns false for a list that is behind this one: what a call returned may
// arrive after later words.
func (l *serverList) replace(objects []store.Object, revision int64, now time.Time) (entries []backend.Entry, broken []error, taken bool) {
	if revision < l.revision {
		return nil, nil, false
	}
	if l.revision == 0 {
		l.removalsSince = revision
	}
	present := map[string]bool{}
	for _, object := range objects {
		present[object.Name] = true
		if one, known := l.entries[object.Name]; known && one.revision > revision {
			// It has changed since.
			continue
		}
		l.putEntry(object)
	}
	for id, one := range l.entries {
		if !present[id] && one.revision <= revision {
			l.deleteEntry(id)
			l.removals[id] = removal{revision: revision, at: now}
		}
	}
	l.revision = revision
	entries, broken = l.decodedEntries()
	return entries, broken, true
}

// decodedEntries returns the entries that name a server to use, and what is wrong with the others.
func (l *serverList) decodedEntries() (entries []backend.Entry, broken []error) {
	for _, one := range l.entries {
		if one.err != nil {
			broken = append(broken, one.err)
			continue
		}
		entries = append(entries, one.entry)
	}
	return entries, broken
}

// applyEntry takes over an entry as of its revision. It returns false for one that is no news: the
// same is known, or a later word, be it that the entry is gone. Peers tell what the store tells
// too, in any order.
func (l *serverList) applyEntry(object store.Object) bool {
	one, listed := l.entries[object.Name]
	last := one.revision
	if gone, removed := l.removals[object.Name]; removed && !listed {
		last = gone.revision
	}
	if object.Revision > 0 && last >= object.Revision {
		return false
	}
	l.putEntry(object)
	return true
}

// putEntry writes down one entry. What cannot be decoded is passed on all the same, but is no part
// of the digest.
func (l *serverList) putEntry(object store.Object) {
	l.deleteEntry(object.Name)
	delete(l.removals, object.Name)
	entry, err := platform.DecodeServer(object.Name, object.Spec)
	entry.Revision = object.Revision
	one := listEntry{spec: object.Spec, revision: object.Revision, entry: entry, err: err}
	if err == nil {
		one.digest = xxhash.Sum64String(object.Name + "|" + entry.Address + "|" + entry.Version + "|" +
			strconv.FormatInt(entry.StartTimeMs, 16) + "|" + strconv.FormatBool(entry.Draining))
	}
	l.entries[object.Name] = one
	l.digest += one.digest
}

func (l *serverList) deleteEntry(id string) {
	l.digest -= l.entries[id].digest
	delete(l.entries, id)
}

// applyRemoval takes over that an entry was gone by a revision, and not there again. It returns false
// where that is no news, or where the entry is known to have come back since. The revision is no
// earlier than that of the removal: a peer that knows the list up to one between the two asks
// for later changes alone, and would never be told.
func (l *serverList) applyRemoval(id string, revision int64, now time.Time) bool {
	one, listed := l.entries[id]
	if listed && one.revision > revision {
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

// merge takes over changes. It returns what is news: the entries that name a server to use, the
// IDs of servers that are none any more, and what is wrong with the others.
//
// An entry that cannot be decoded names no server any more. One that was in use leaves as if its
// entry were gone: it gets nothing new while there is another, and what is in flight ends. To keep
// it would trust a writer that nobody knows; to cut it off at once would fail what runs there for
// a slip of that writer.
func (l *serverList) merge(c serverChanges, now time.Time) (entries []backend.Entry, left []string, broken []error) {
	for _, object := range c.put {
		if !l.applyEntry(object) {
			continue
		}
		one := l.entries[object.Name]
		if one.err != nil {
			broken = append(broken, one.err)
			left = append(left, object.Name)
			continue
		}
		entries = append(entries, one.entry)
	}
	for _, one := range c.removed {
		if l.applyRemoval(one.id, one.revision, now) {
			left = append(left, one.id)
		}
	}
	if c.from != sourceStore {
		// Of the store's, Advance tells.
		l.revision = max(l.revision, c.upTo)
	}
	return entries, left, broken
}

// expireRemovals lets go of removals that no peer is behind any more.
func (l *serverList) expireRemovals(now time.Time) {
	for id, r := range l.removals {
		if now.Sub(r.at) >= removalRetention {
			delete(l.removals, id)
			l.removalsSince = max(l.removalsSince, r.revision)
		}
	}
}

// removedServer is a server that is not listed any more, with the revision by which it was not.
type removedServer struct {
	id       string
	revision int64
}

// changesSince returns what has changed after a revision. It returns false when removals
// since then are not all known, so that the whole list is needed.
func (l *serverList) changesSince(revision int64) (changed []store.Object, removed []removedServer, ok bool) {
	if revision < l.removalsSince {
		return l.allObjects(), nil, false
	}
	for id, one := range l.entries {
		if one.revision > revision {
			changed = append(changed, store.Object{Name: id, Spec: one.spec, Revision: one.revision})
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
	for id, one := range l.entries {
		objects = append(objects, store.Object{Name: id, Spec: one.spec, Revision: one.revision})
	}
	return objects
}
