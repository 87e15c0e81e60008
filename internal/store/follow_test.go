package store

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// busyStore answers each watch immediately with one change.
type busyStore struct {
	Store
	watched []time.Time
}

func (s *busyStore) List(context.Context, string) (Page, error) { return Page{Revision: 1}, nil }

func (s *busyStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) (Changes, error) {
	s.watched = append(s.watched, time.Now())
	return Changes{Events: []Event{{Object: Object{Name: "a", Revision: after + 1}}}, Revision: after + 1}, nil
}

// recordingConsumer records when changes were applied and when the revision was advanced.
type recordingConsumer struct{ applied, advanced []time.Time }

func (r *recordingConsumer) Replace(Page, bool) {}

func (r *recordingConsumer) Apply([]Event, int64) { r.applied = append(r.applied, time.Now()) }

func (r *recordingConsumer) Advance(revision int64, _ time.Time, _ bool) {
	if revision > 1 {
		r.advanced = append(r.advanced, time.Now())
	}
}

// TestRevisionAdvancesBeforeBatchDelay checks that the revision is advanced together with
// the changes. Other daemons fetch a change once the revision is advanced, so this must not
// wait for the next call.
func TestRevisionAdvancesBeforeBatchDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, consumer := &busyStore{}, &recordingConsumer{}
		f := NewFollower(store, "kind", consumer, slog.New(slog.DiscardHandler), FollowOptions{
			WatchTimeout: func() time.Duration { return time.Second }, BatchDelay: 200 * time.Millisecond, OnCompacted: func() {},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		f.Run(ctx)
		c.Assert(consumer.applied, qt.HasLen, 5, qt.Commentf("one call every 200 ms"))
		c.Check(consumer.advanced, qt.DeepEquals, consumer.applied)
		for i := 1; i < len(store.watched); i++ {
			c.Check(store.watched[i].Sub(store.watched[i-1]), qt.Equals, 200*time.Millisecond)
		}
	})
}

// silentStore answers the first list and no later call.
type silentStore struct {
	Store
	lists int
}

func (s *silentStore) List(ctx context.Context, _ string) (Page, error) {
	s.lists++
	if s.lists == 1 {
		return Page{Revision: 1}, nil
	}
	<-ctx.Done()
	return Page{}, ctx.Err()
}

func (s *silentStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (Changes, error) {
	<-ctx.Done()
	return Changes{}, ctx.Err()
}

// answerCounter counts the calls of Advance that report an answer of the store.
type answerCounter struct{ count int }

func (a *answerCounter) Replace(Page, bool) {}

func (a *answerCounter) Apply([]Event, int64) {}

func (a *answerCounter) Advance(_ int64, _ time.Time, failing bool) {
	if !failing {
		a.count++
	}
}

func TestRefreshedWatchIsNotCountedAsAnswer(t *testing.T) {
	for _, relist := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			consumer := &answerCounter{}
			f := NewFollower(&silentStore{}, "kind", consumer, slog.New(slog.DiscardHandler), FollowOptions{
				WatchTimeout: func() time.Duration { return time.Minute }, OnCompacted: func() {},
			})
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { f.Run(ctx) })
			synctest.Wait()
			c.Assert(consumer.count, qt.Equals, 1, qt.Commentf("the list was answered"))
			f.Refresh(relist)
			synctest.Wait()
			c.Check(consumer.count, qt.Equals, 1)
			cancel()
			running.Wait()
		})
	}
}

// deafStore has one change at revision 2. Its watches do not return it before they hear again.
type deafStore struct {
	Store
	hearsAt  time.Time
	watched  []int64
	revision int64
}

func (s *deafStore) List(context.Context, string) (Page, error) {
	return Page{Revision: 1}, nil
}

func (s *deafStore) Watch(_ context.Context, _ string, after int64, wait time.Duration) (Changes, error) {
	s.watched = append(s.watched, after)
	if after < 2 && !time.Now().Before(s.hearsAt) {
		return Changes{Events: []Event{{Object: Object{Name: "a", Revision: 2}}}, Revision: s.revision}, nil
	}
	time.Sleep(wait)
	s.revision++
	return Changes{Revision: s.revision}, nil
}

// TestChangesDuringDeafWatchesAreApplied guards against changes that are lost because watches return none of
// them and a later revision.
func TestChangesDuringDeafWatchesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		deaf := &deafStore{hearsAt: time.Now().Add(3 * time.Second), revision: 2}
		consumer := &recordingConsumer{}
		f := NewFollower(deaf, "kind", consumer, slog.New(slog.DiscardHandler), FollowOptions{
			WatchTimeout: func() time.Duration { return 400 * time.Millisecond }, OnCompacted: func() {},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		f.Run(ctx)
		c.Check(consumer.applied, qt.HasLen, 1)
		c.Check(deaf.watched[len(deaf.watched)-1] > 50, qt.IsTrue, qt.Commentf("the revision does not advance: %v", deaf.watched))
	})
}
