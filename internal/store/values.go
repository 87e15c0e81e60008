package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of Values, in addition to those of the store.
var (
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = errors.New("value unchanged")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("value too large for the store")
)

// MaxValueBytes is the size limit of a value in the store.
const MaxValueBytes = 1 << 20

// Value holds the bytes stored under a key.
type Value struct {
	Key  string
	Data []byte
	// Version is the store's revision at the last change, which grows with each
	// change of any object. Zero means that the value does not exist.
	Version int64
	// Err is set in a list if the value cannot be decoded. Then there is no data.
	Err error
}

// Values is a key-value view of the objects of one kind.
type Values interface {
	// Get returns the value, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes the value if it still has the expected version, and returns
	// ErrConflict otherwise. It returns ErrOutcomeUnknown if the write may or may
	// not have taken effect.
	Put(ctx context.Context, key string, data []byte, expected int64) (Value, error)
	// List returns the values whose keys begin with the prefix. One that cannot be decoded, because
	// another program wrote it, has an error and leaves the others as they are.
	List(ctx context.Context, prefix string) ([]Value, error)
	// Delete removes a value. It returns nil if the value does not exist.
	Delete(ctx context.Context, key string) error
	// Watch waits until the value has a version above after and returns it. It
	// returns ErrUnchanged if wait passes first.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error)
}

// KindValues implements Values. It stores each value as the spec of an object of
// one kind.
type KindValues struct {
	store Store
	kind  string
}

// NewValues returns the values stored in objects of the given kind.
func NewValues(s Store, kind string) *KindValues { return &KindValues{store: s, kind: kind} }

func decodeValue(object Object) (Value, error) {
	value := Value{Key: object.Name, Version: object.Revision}
	var data []byte
	if err := json.Unmarshal(object.Spec, &data); err != nil {
		return value, fmt.Errorf("decode value %s: %w", object.Name, err)
	}
	value.Data = data
	return value, nil
}

// Get implements Values.
func (v *KindValues) Get(ctx context.Context, key string) (Value, error) {
	object, err := v.store.Get(ctx, v.kind, key)
	if err != nil {
		return Value{}, err
	}
	return decodeValue(object)
}

// Put implements Values.
func (v *KindValues) Put(ctx context.Context, key string, data []byte, expected int64) (Value, error) {
	if len(data) > MaxValueBytes {
		return Value{}, fmt.Errorf("%w: %s has %d bytes", ErrTooLarge, key, len(data))
	}
	var object Object
	var err error
	if expected == 0 {
		object, err = v.store.Create(ctx, v.kind, key, data)
	} else {
		object, err = v.store.Replace(ctx, v.kind, key, expected, data)
	}
	if errors.Is(err, ErrNotFound) {
		// Another writer has deleted the object.
		err = fmt.Errorf("%w: %w", ErrConflict, err)
	}
	return Value{Key: key, Data: data, Version: object.Revision}, err
}

// List implements Values.
func (v *KindValues) List(ctx context.Context, prefix string) ([]Value, error) {
	page, err := v.store.List(ctx, v.kind)
	if err != nil {
		return nil, err
	}
	var values []Value
	for _, object := range page.Objects {
		if !strings.HasPrefix(object.Name, prefix) {
			continue
		}
		value, err := decodeValue(object)
		value.Err = err
		values = append(values, value)
	}
	return values, nil
}

// Delete implements Values.
func (v *KindValues) Delete(ctx context.Context, key string) error {
	err := v.store.Delete(ctx, v.kind, key, 0)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch implements Values. A watch of the store covers the whole kind, so changes
// of other keys are ignored.
func (v *KindValues) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error) {
	deadline := time.Now().Add(wait)
	value, next, err := v.currentValue(ctx, key, after)
	if err != nil || value.Version > after {
		return value, err
	}
	for remaining := time.Until(deadline); remaining >= time.Millisecond; remaining = time.Until(deadline) {
		changes, err := v.store.Watch(ctx, v.kind, next, remaining)
		if errors.Is(err, ErrCompacted) {
			return v.Get(ctx, key)
		}
		if err != nil {
			return Value{}, err
		}
		if object, found := latestObject(changes.Events, key); found {
			return decodeValue(object)
		}
		next = changes.Revision
	}
	return Value{}, ErrUnchanged
}

// currentValue returns the revision to watch from. If after is zero, it also lists
// the kind and returns the current value, which is zero if the key does not exist.
func (v *KindValues) currentValue(ctx context.Context, key string, after int64) (Value, int64, error) {
	if after > 0 {
		return Value{}, after, nil
	}
	page, err := v.store.List(ctx, v.kind)
	if err != nil {
		return Value{}, 0, err
	}
	for _, object := range page.Objects {
		if object.Name == key {
			value, err := decodeValue(object)
			return value, page.Revision, err
		}
	}
	return Value{}, page.Revision, nil
}

// latestObject returns the object of the last event with the given name. It
// returns false if there is none or if the event is a deletion.
func latestObject(events []Event, name string) (Object, bool) {
	for i := len(events) - 1; i >= 0; i-- {
		if events[i].Object.Name == name {
			return events[i].Object, !events[i].Deleted
		}
	}
	return Object{}, false
}
