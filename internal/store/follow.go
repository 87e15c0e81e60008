package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"
)

const (
	// minRetryDelay is the delay after the first failed call. It doubles up to
	// maxRetryDelay. A change has to be in force within 2 s after the store recovers.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// maxAnswerDelay is the assumed upper bound for the transit time of a watch's answer.
	maxAnswerDelay = 100 * time.Millisecond
	// watchOverlap is how long a revision that came without changes has to be known before watches begin
	// there. A watch that hears nothing may miss the changes before the revision that it returns.
	watchOverlap = 5 * time.Second
)

// Consumer receives the objects of a kind and their changes.
type Consumer interface {
	// Replace replaces all objects by those of a list. outage is true for the first
	// list after failed calls.
	Replace(page Page, outage bool)
	// Apply applies the changes that one watch call returned, in order. They are complete up
	// to the given revision of the store.
	Apply(events []Event, revision int64)
	// Advance records the revision up to which the consumer has received all
	// changes, the time as of which this holds, and whether calls to the store fail.
	Advance(revision int64, asOf time.Time, failing bool)
}

// Follower keeps a consumer up to date with one kind of object.
type Follower struct {
	store    Store
	kind     string
	consumer Consumer
	logger   *slog.Logger
	// next is the revision to watch from; zero asks for a list.
	next int64
	// quiet is a later revision that a watch has returned without changes.
	quiet  quietRevision
	failed bool
	// asOf is the earliest time at which the store can have produced the last answer.
	asOf time.Time
	// changed reports whether the last watch call returned events.
	changed bool
	// empty reports whether the last list had no revision to watch from.
	empty      bool
	retryDelay time.Duration
	// undecodable reports whether the response to the last watch could not be decoded.
	undecodable bool
	// relists limits the lists because of events that cannot be decoded.
	relists relistSchedule
	options FollowOptions

	// wake ends the wait of an inactive follower.
	wake chan struct{}

	mu sync.Mutex
	// cancel ends the current watch. relist requests a list before the next one.
	cancel context.CancelFunc
	relist bool
}

// FollowOptions holds the callbacks and delays of a follower.
type FollowOptions struct {
	// WatchTimeout returns how long the next watch may wait. A watch can stop delivering
	// events without an error, so a daemon that others depend on uses a short timeout.
	WatchTimeout func() time.Duration
	// Active reports whether this daemon should follow the kind now. Nil means always.
	Active func() bool
	// BatchDelay is how long the follower waits after changes before the next watch. The
	// store ends a watch at the first change and each call costs money, so batching saves calls.
	BatchDelay time.Duration
	// OnCompacted is called when the store has compacted its history, because the
	// revisions that other watches need may be gone too.
	OnCompacted func()
}

// NewFollower returns a follower of one kind of object.
func NewFollower(s Store, kind string, consumer Consumer, logger *slog.Logger, options FollowOptions) *Follower {
	return &Follower{store: s, kind: kind, consumer: consumer, logger: logger, retryDelay: minRetryDelay, options: options, wake: make(chan struct{}, 1)}
}

// Refresh ends the current watch, so that the next one uses the current
// WatchTimeout, or ends the wait of an inactive follower. If relist is true, a full
// list precedes the next watch. It is safe for concurrent use.
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

// newWatchContext returns a context for the next call that Refresh can cancel. It
// also applies a pending relist.
func (f *Follower) newWatchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, f.cancel = context.WithCancel(ctx)
	if f.relist {
		f.next, f.relist = 0, false
	}
	return ctx, f.cancel
}

// Run follows the kind until the context ends.
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

// waitInactive waits until Active should be checked again. It resets the revision, so
// that a list returns the changes missed meanwhile.
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

// errRefreshed is returned for a watch that Refresh cancelled. It does not count as
// an answer of the store.
var errRefreshed = errors.New("watch cancelled by a refresh")

// poll makes one list or watch call and passes the result to the consumer.
func (f *Follower) poll(ctx context.Context) error {
	watchCtx, cancel := f.newWatchContext(ctx)
	defer cancel()
	begun := time.Now()
	if f.next == 0 || f.relists.isDue(begun) {
		return f.list(ctx)
	}
	changes, err := f.store.Watch(watchCtx, f.kind, f.next, f.relists.limit(f.options.WatchTimeout(), begun))
	f.undecodable = errors.Is(err, ErrInvalidResponse)
	switch {
	case errors.Is(err, ErrCompacted):
		f.logger.Info("watch history was compacted, listing again", "kind", f.kind, "revision", f.next)
		f.next = 0
		f.options.OnCompacted()
		return nil
	case err != nil && watchCtx.Err() != nil:
		return errRefreshed
	case err != nil:
		// A list also shows objects that expired meanwhile.
		f.next = 0
		return err
	}
	f.apply(changes, begun, time.Now())
	return nil
}

// apply applies what a watch that began at the given time has returned.
func (f *Follower) apply(changes Changes, begun, now time.Time) {
	f.asOf = now.Add(-maxAnswerDelay)
	f.changed = len(changes.Events)+changes.SkippedEvents > 0
	if !f.changed {
		f.advanceQuietly(changes.Revision, begun, now)
		return
	}
	if len(changes.Events) > 0 {
		f.consumer.Apply(changes.Events, changes.Revision)
	}
	f.next, f.quiet = changes.Revision, quietRevision{}
	if changes.SkippedEvents > 0 {
		// The list shows which objects are affected: they are missing there.
		f.logger.Warn("watch events cannot be decoded, listing again", "kind", f.kind, "events", changes.SkippedEvents, "revision", f.next)
		f.relists.request(now)
	}
}

// quietRevision is a revision of the store that a watch has returned without changes, and when.
type quietRevision struct {
	revision int64
	at       time.Time
}

// advanceQuietly advances the revision to watch from after a watch that has returned no changes.
func (f *Follower) advanceQuietly(revision int64, begun, now time.Time) {
	if now.Sub(begun) >= watchOverlap {
		// An overlap that is added to a long watch would reach beyond the history of the store.
		f.next, f.quiet = revision, quietRevision{}
		return
	}
	if f.quiet.at.IsZero() {
		f.quiet = quietRevision{revision: revision, at: now}
		return
	}
	if now.Sub(f.quiet.at) >= watchOverlap {
		f.next, f.quiet = f.quiet.revision, quietRevision{revision: revision, at: now}
	}
}

// delayNextPoll waits for BatchDelay after changes, so that the next watch returns
// several at once. The consumer has already received the earlier ones. After a list of a
// store that holds nothing it waits for minRetryDelay.
func (f *Follower) delayNextPoll(ctx context.Context) {
	var delay time.Duration
	switch {
	case f.empty:
		delay = minRetryDelay
	case f.changed:
		delay = f.options.BatchDelay
	}
	f.changed, f.empty = false, false
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) list(ctx context.Context) error {
	start := time.Now()
	page, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	if page.SkippedObjects > 0 {
		f.logger.Warn("list objects cannot be decoded", "kind", f.kind, "objects", page.SkippedObjects, "revision", page.Revision)
	}
	f.consumer.Replace(page, f.failed)
	f.relists.listed(start)
	f.next, f.quiet, f.asOf, f.empty = page.Revision, quietRevision{}, start, page.Revision == 0
	return nil
}

func (f *Follower) recovered() {
	if f.failed {
		f.logger.Info("store answers again", "kind", f.kind, "revision", f.next)
	}
	f.failed = false
	if !f.undecodable {
		// Where lists can be decoded and watches can't, the delay grows all the same.
		f.retryDelay = minRetryDelay
	}
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
