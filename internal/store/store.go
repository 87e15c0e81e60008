// Package store defines the interface to the platform's object store and a
// follower that keeps a consumer up to date with one kind of object by list and
// watch calls.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Errors of store calls.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object is at another revision, or already exists.
	ErrConflict = errors.New("object was changed by another writer")
	// ErrCompacted means that the store no longer has the history since the revision
	// from which a watch starts, or went back to an older copy since.
	ErrCompacted = errors.New("watch history was compacted")
	// ErrRefused means that the call had no effect: it was not sent, or the store
	// rejected it.
	ErrRefused = errors.New("store refused the call")
	// ErrOutcomeUnknown means that a call got no usable answer. It may have taken
	// effect or may still do so later.
	ErrOutcomeUnknown = errors.New("store gave no answer")
	// ErrInvalidResponse means that the response to a list or a watch cannot be decoded. Such an
	// error also wraps ErrOutcomeUnknown.
	ErrInvalidResponse = errors.New("store gave an invalid response")
)

// Object is a stored object with its spec and status as JSON.
type Object struct {
	Name string
	// Revision is the store's revision at the object's last change. Created is the revision
	// at its creation. Both are qualified by the era of the answer; see QualifiedRevision.
	Revision int64
	Created  int64
	Spec     json.RawMessage
	Status   json.RawMessage
}

// Page holds all objects of a kind at one revision of the store.
type Page struct {
	Objects  []Object
	Revision int64
	// SkippedObjects is the number of objects left out because their name could not be
	// decoded.
	SkippedObjects int
}

// Event is a change or deletion of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Changes holds the events of one watch call and the revision to continue from.
type Changes struct {
	Events   []Event
	Revision int64
	// SkippedEvents is the number of events left out because the name of their object could
	// not be decoded.
	SkippedEvents int
}

// Store is the client interface of the object store.
type Store interface {
	// Era returns the newest known era of the store. It rises each time the store goes back
	// to an older copy.
	Era() int64
	// List returns all objects of a kind, at least as recent as the start of the call.
	List(ctx context.Context, kind string) (Page, error)
	// ListStale returns all objects of a kind, at most some seconds old. It costs a tenth of
	// the price of List and does not count against the store's rate limit.
	ListStale(ctx context.Context, kind string) (Page, error)
	// Ping returns nil if the store can be reached. It costs a tenth of the price of another
	// call. It is needed because a watch that waits on a dead connection reports no error.
	Ping(ctx context.Context) error
	// Watch waits for changes after a revision, at most for the given time.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error)
	// Get returns one object, at least as recent as the start of the call.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create creates an object. It returns ErrConflict if the object exists.
	Create(ctx context.Context, kind, name string, spec any) (Object, error)
	// Replace writes the spec of an object if it is at the given revision.
	Replace(ctx context.Context, kind, name string, revision int64, spec any) (Object, error)
	// ReplaceStatus writes the status of an object if it is at the given revision.
	ReplaceStatus(ctx context.Context, kind, name string, revision int64, status any) (Object, error)
	// Delete removes an object if it is at the given revision.
	Delete(ctx context.Context, kind, name string, revision int64) error
}

// Overwrite replaces an object at any revision, or creates it if it does not exist.
func Overwrite(ctx context.Context, s Store, kind, name string, spec any) error {
	_, err := s.Replace(ctx, kind, name, 0, spec)
	if errors.Is(err, ErrNotFound) {
		_, err = s.Create(ctx, kind, name, spec)
	}
	return err
}
