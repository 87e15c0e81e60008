package store

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

const (
	// watchWait is how long one watch waits, in the store's whole milliseconds.
	// Each call is paid for; a dead connection is found by its own timeouts.
	watchWait = 15 * time.Second
	// firstRetry follows a failed call; it doubles up to lastRetry. A change has
	// to be in force within 2 s of the store's return.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

// Consumer takes over the objects of a kind.
type Consumer interface {
	// Replace takes over the whole list. outage is true for the first list after
	// calls that failed.
	Replace(page Page, outage bool)
	// Apply takes over one change.
	Apply(event Event)
	// Advance notes up to which revision of the store the consumer has seen
	// everything, and whether the store fails to answer.
	Advance(revision int64, failing bool)
}

// Follower keeps a consumer up to date with one kind of object.
type Follower struct {
	store    Store
	kind     string
	consumer Consumer
	logger   *slog.Logger
	// next is the revision to watch from; zero asks for a list.
	next   int64
	failed bool
	retry  time.Duration
}

// NewFollower returns a follower of one kind of object.
func NewFollower(s Store, kind string, consumer Consumer, logger *slog.Logger) *Follower {
	return &Follower{store: s, kind: kind, consumer: consumer, logger: logger, retry: firstRetry}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.pause(ctx, err)
			continue
		}
		f.recovered()
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if f.next == 0 {
		return f.list(ctx)
	}
	changes, err := f.store.Watch(ctx, f.kind, f.next, watchWait)
	if errors.Is(err, ErrCompacted) {
		f.logger.Info("history of the watch is gone, listing anew", "kind", f.kind, "revision", f.next)
		f.next = 0
		return nil
	}
	if err != nil {
		// The list finds what lapsed meanwhile.
		f.next = 0
		return err
	}
	for _, event := range changes.Events {
		f.consumer.Apply(event)
	}
	f.next = changes.Revision
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	page, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.consumer.Replace(page, f.failed)
	f.next = page.Revision
	return nil
}

func (f *Follower) recovered() {
	if f.failed {
		f.logger.Info("store answers again", "kind", f.kind, "revision", f.next)
	}
	f.failed, f.retry = false, firstRetry
	f.consumer.Advance(f.next, false)
}

func (f *Follower) pause(ctx context.Context, err error) {
	if !f.failed {
		f.logger.Warn("store does not answer", "kind", f.kind, "error", err)
	}
	f.failed = true
	f.consumer.Advance(0, true)
	timer := time.NewTimer(f.retry)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	f.retry = min(lastRetry, 2*f.retry)
}
