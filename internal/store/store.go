// Package store is the narrow interface at the platform's object store, and
// what follows a kind of objects through its watches.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Errors of a call.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object is at another revision, or exists.
	ErrConflict = errors.New("object was changed by another")
	// ErrCompacted means that the history that a watch asks for is gone.
	ErrCompacted = errors.New("history of the watch is gone")
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("store refused the call")
	// ErrOutcomeUnknown means that a call got no answer: it may have been carried out,
	// or may be later.
	ErrOutcomeUnknown = errors.New("store gave no answer")
)

// Object is one object.
type Object struct {
	Name string
	// Revision is the store's revision at the object's last change, Created the one at which
	// it was made.
	Revision int64
	Created  int64
	Spec     json.RawMessage
	Status   json.RawMessage
}

// Page is every object of a kind at a revision of the store.
type Page struct {
	Objects  []Object
	Revision int64
	// SkippedObjects is the number of objects left out since not even their name could be read.
	SkippedObjects int
}

// Event is a change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Changes are what a watch saw, and the revision to go on from.
type Changes struct {
	Events   []Event
	Revision int64
	// SkippedEvents is the number of events left out since the name of their object could not
	// be read.
	SkippedEvents int
}

// Store is the object store.
type Store interface {
	// List returns all objects of a kind, not older than the call.
	List(ctx context.Context, kind string) (Page, error)
	// ListStale returns all objects of a kind as they were some seconds ago at most, at a
	// tenth of the price and beside the store's rate.
	ListStale(ctx context.Context, kind string) (Page, error)
	// Ping returns nil if the store is reached, at a tenth of the price of another call. A watch
	// that waits on a connection that is dead does not tell.
	Ping(ctx context.Context) error
	// Watch waits at most that long for changes after a revision.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error)
	// Get returns one object, not older than the call.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create makes an object. ErrConflict means that it exists.
	Create(ctx context.Context, kind, name string, spec any) (Object, error)
	// Replace writes the spec of an object that is at the revision.
	Replace(ctx context.Context, kind, name string, revision int64, spec any) (Object, error)
	// ReplaceStatus writes the status of an object that is at the revision.
	ReplaceStatus(ctx context.Context, kind, name string, revision int64, status any) (Object, error)
	// Delete removes an object that is at the revision.
	Delete(ctx context.Context, kind, name string, revision int64) error
}

// Overwrite writes an object whatever stands there, and makes it where there is none.
func Overwrite(ctx context.Context, s Store, kind, name string, spec any) error {
	_, err := s.Replace(ctx, kind, name, 0, spec)
	if errors.Is(err, ErrNotFound) {
		_, err = s.Create(ctx, kind, name, spec)
	}
	return err
}
