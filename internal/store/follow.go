package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"
)

const (
	// firstRetry follows a failed call; it doubles up to lastRetry. A change has
	// to be in force within 2 s of the store's return.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// answerWay is how long the answer of a watch may be on its way.
	answerWay = 100 * time.Millisecond
)

// Consumer takes over the objects of a kind.
type Consumer interface {
	// Replace takes over the whole list. outage is true for the first list after
	// calls that failed.
	Replace(page Page, outage bool)
	// Apply takes over the changes that one call has brought, in their order: all that there
	// were up to a revision of the store.
	Apply(events []Event, revision int64)
	// Advance notes up to which revision of the store the consumer has seen
	// everything, as of when, and whether the store fails to answer.
	Advance(revision int64, asOf time.Time, failing bool)
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
	// asOf is when the store said at the earliest what the last call has brought.
	asOf time.Time
	// changed is set when the last call brought changes.
	changed bool
	retry   time.Duration
	options FollowOptions

	// wake ends a rest.
	wake chan struct{}

	mu sync.Mutex
	// cancel ends the watch that waits; relist asks for a list after it.
	cancel context.CancelFunc
	relist bool
}

// FollowOptions tie the followers of one daemon together.
type FollowOptions struct {
	// Wait returns how long the next watch may wait. A watch can go deaf without
	// a sign, so that the daemon on which others rely asks often.
	Wait func() time.Duration
	// Active reports whether this daemon should follow at all now. Nil is always.
	Active func() bool
	// Gather is how long the follower waits after changes before it asks for more: the
	// store ends a watch at the first change, and each call is paid for.
	Gather time.Duration
	// OnCompacted is called when the store has dropped history: what other
	// watches wait for may be gone too.
	OnCompacted func()
}

// NewFollower returns a follower of one kind of object.
func NewFollower(s Store, kind string, consumer Consumer, logger *slog.Logger, options FollowOptions) *Follower {
	return &Follower{store: s, kind: kind, consumer: consumer, logger: logger, retry: firstRetry, options: options, wake: make(chan struct{}, 1)}
}

// Refresh ends the watch that waits, so that the next one waits as long as is
// right now, or the rest of a follower that was not active. relist asks for the whole list
// first.
func (f *Follower) Refresh(relist bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relist = f.relist || relist
	if f.cancel != nil {
		f.cancel()
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// watching prepares a watch that Refresh can end.
func (f *Follower) watching(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, f.cancel = context.WithCancel(ctx)
	if f.relist {
		f.next, f.relist = 0, false
	}
	return ctx, f.cancel
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.options.Active != nil && !f.options.Active() {
			f.rest(ctx)
			continue
		}
		err := f.step(ctx)
		switch {
		case err == nil:
			f.recovered()
			f.gather(ctx)
		case ctx.Err() == nil && !errors.Is(err, errRefreshed):
			f.pause(ctx, err)
		}
	}
}

// rest waits until it is time to look again whether to follow. What was missed
// meanwhile is listed then.
func (f *Follower) rest(ctx context.Context) {
	f.next, f.failed, f.retry = 0, false, firstRetry
	timer := time.NewTimer(firstRetry)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

// errRefreshed ends a watch that Refresh has cancelled. The store has not answered it.
var errRefreshed = errors.New("watch ended by a refresh")

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	waiting, cancel := f.watching(ctx)
	defer cancel()
	if f.next == 0 {
		return f.list(ctx)
	}
	changes, err := f.store.Watch(waiting, f.kind, f.next, f.options.Wait())
	switch {
	case errors.Is(err, ErrCompacted):
		f.logger.Info("history of the watch is gone, listing anew", "kind", f.kind, "revision", f.next)
		f.next = 0
		f.options.OnCompacted()
		return nil
	case err != nil && waiting.Err() != nil:
		return errRefreshed
	case err != nil:
		// The list finds what lapsed meanwhile.
		f.next = 0
		return err
	}
	f.asOf = time.Now().Add(-answerWay)
	if len(changes.Events) > 0 {
		f.consumer.Apply(changes.Events, changes.Revision)
	}
	f.next, f.changed = changes.Revision, len(changes.Events) > 0
	if changes.Nameless > 0 {
		// Whose events they were, the list tells: who is missing there.
		f.logger.Warn("events of a watch cannot be read, listing anew", "kind", f.kind, "events", changes.Nameless, "revision", f.next)
		f.next = 0
	}
	return nil
}

// gather lets further changes come together after some. What has come is told by then.
func (f *Follower) gather(ctx context.Context) {
	if !f.changed || f.options.Gather <= 0 {
		return
	}
	f.changed = false
	timer := time.NewTimer(f.options.Gather)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) list(ctx context.Context) error {
	begun := time.Now()
	page, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	if page.Nameless > 0 {
		f.logger.Warn("objects of a list cannot be read", "kind", f.kind, "objects", page.Nameless, "revision", page.Revision)
	}
	f.consumer.Replace(page, f.failed)
	f.next, f.asOf = page.Revision, begun
	return nil
}

func (f *Follower) recovered() {
	if f.failed {
		f.logger.Info("store answers again", "kind", f.kind, "revision", f.next)
	}
	f.failed, f.retry = false, firstRetry
	f.consumer.Advance(f.next, f.asOf, false)
}

func (f *Follower) pause(ctx context.Context, err error) {
	if !f.failed {
		f.logger.Warn("store does not answer", "kind", f.kind, "error", err)
	}
	f.failed = true
	f.consumer.Advance(0, time.Time{}, true)
	timer := time.NewTimer(f.retry)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	f.retry = min(lastRetry, 2*f.retry)
}
