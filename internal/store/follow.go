package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"
)

const (
	// minRetryDelay follows a failed call; it doubles up to maxRetryDelay. A change has
	// to be in force within 2 s of the store's return.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// maxAnswerDelay is how long the answer of a watch may be on its way.
	maxAnswerDelay = 100 * time.Millisecond
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
	changed    bool
	retryDelay time.Duration
	options    FollowOptions

	// wake ends a rest.
	wake chan struct{}

	mu sync.Mutex
	// cancel ends the watch that waits; relist asks for a list after it.
	cancel context.CancelFunc
	relist bool
}

// FollowOptions tie the followers of one daemon together.
type FollowOptions struct {
	// WatchTimeout returns how long the next watch may wait. A watch can go deaf without
	// a sign, so that the daemon on which others rely asks often.
	WatchTimeout func() time.Duration
	// Active reports whether this daemon should follow at all now. Nil is always.
	Active func() bool
	// BatchDelay is how long the follower waits after changes before it asks for more: the
	// store ends a watch at the first change, and each call is paid for.
	BatchDelay time.Duration
	// OnCompacted is called when the store has dropped history: what other
	// watches wait for may be gone too.
	OnCompacted func()
}

// NewFollower returns a follower of one kind of object.
func NewFollower(s Store, kind string, consumer Consumer, logger *slog.Logger, options FollowOptions) *Follower {
	return &Follower{store: s, kind: kind, consumer: consumer, logger: logger, retryDelay: minRetryDelay, options: options, wake: make(chan struct{}, 1)}
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

// newWatchContext prepares a watch that Refresh can end.
func (f *Follower) newWatchContext(ctx context.Context) (context.Context, context.CancelFunc) {
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
			f.waitInactive(ctx)
			continue
		}
		err := f.poll(ctx)
		switch {
		case err == nil:
			f.recovered()
			f.delayNextPoll(ctx)
		case ctx.Err() == nil && !errors.Is(err, errRefreshed):
			f.backOff(ctx, err)
		}
	}
}

// waitInactive waits until it is time to look again whether to follow. What was missed
// meanwhile is listed then.
func (f *Follower) waitInactive(ctx context.Context) {
	f.next, f.failed, f.retryDelay = 0, false, minRetryDelay
	timer := time.NewTimer(minRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

// errRefreshed ends a watch that Refresh has cancelled. The store has not answered it.
var errRefreshed = errors.New("watch ended by a refresh")

// poll makes one call.
func (f *Follower) poll(ctx context.Context) error {
	waiting, cancel := f.newWatchContext(ctx)
	defer cancel()
	if f.next == 0 {
		return f.list(ctx)
	}
	changes, err := f.store.Watch(waiting, f.kind, f.next, f.options.WatchTimeout())
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
	f.asOf = time.Now().Add(-maxAnswerDelay)
	if len(changes.Events) > 0 {
		f.consumer.Apply(changes.Events, changes.Revision)
	}
	f.next, f.changed = changes.Revision, len(changes.Events) > 0
	if changes.SkippedEvents > 0 {
		// Whose events they were, the list tells: who is missing there.
		f.logger.Warn("events of a watch cannot be read, listing anew", "kind", f.kind, "events", changes.SkippedEvents, "revision", f.next)
		f.next = 0
	}
	return nil
}

// delayNextPoll lets further changes come together after some. What has come is told by then.
func (f *Follower) delayNextPoll(ctx context.Context) {
	if !f.changed || f.options.BatchDelay <= 0 {
		return
	}
	f.changed = false
	timer := time.NewTimer(f.options.BatchDelay)
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
	if page.SkippedObjects > 0 {
		f.logger.Warn("objects of a list cannot be read", "kind", f.kind, "objects", page.SkippedObjects, "revision", page.Revision)
	}
	f.consumer.Replace(page, f.failed)
	f.next, f.asOf = page.Revision, begun
	return nil
}

func (f *Follower) recovered() {
	if f.failed {
		f.logger.Info("store answers again", "kind", f.kind, "revision", f.next)
	}
	f.failed, f.retryDelay = false, minRetryDelay
	f.consumer.Advance(f.next, f.asOf, false)
}

func (f *Follower) backOff(ctx context.Context, err error) {
	if !f.failed {
		f.logger.Warn("store does not answer", "kind", f.kind, "error", err)
	}
	f.failed = true
	f.consumer.Advance(0, time.Time{}, true)
	timer := time.NewTimer(f.retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	f.retryDelay = min(maxRetryDelay, 2*f.retryDelay)
}
