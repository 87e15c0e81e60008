package store

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// oddStore answers each call after callTime. It counts the lists and watches.
type oddStore struct {
	Store
	watch          func() (Changes, error)
	lists, watches int
	revision       int64
}

const callTime = 10 * time.Millisecond

func (s *oddStore) List(context.Context, string) (Page, error) {
	time.Sleep(callTime)
	s.lists++
	return Page{Revision: s.revision}, nil
}

func (s *oddStore) Watch(context.Context, string, int64, time.Duration) (Changes, error) {
	time.Sleep(callTime)
	s.watches++
	return s.watch()
}

// follow runs a follower for some time.
func follow(t *testing.T, s Store, consumer Consumer, batchDelay, duration time.Duration) {
	t.Helper()
	f := NewFollower(s, "kind", consumer, slog.New(slog.DiscardHandler), FollowOptions{
		WatchTimeout: func() time.Duration { return 10 * time.Second }, BatchDelay: batchDelay, OnCompacted: func() {},
	})
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	f.Run(ctx)
}

// TestUndecodableEventsCauseFewLists guards against a list for each change of an object that cannot be decoded.
func TestUndecodableEventsCauseFewLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &oddStore{revision: 1}
		s.watch = func() (Changes, error) {
			s.revision++
			return Changes{Events: []Event{{Object: Object{Name: "a", Revision: s.revision}}}, Revision: s.revision, SkippedEvents: 1}, nil
		}
		consumer := &recordingConsumer{}
		follow(t, s, consumer, 200*time.Millisecond, 30*time.Second)
		c.Check(s.lists <= 7, qt.IsTrue, qt.Commentf("%d lists in 30 s", s.lists))
		c.Check(s.lists >= 6, qt.IsTrue, qt.Commentf("%d lists in 30 s", s.lists))
		c.Check(s.watches <= 30*5, qt.IsTrue, qt.Commentf("%d watches in 30 s", s.watches))
		c.Check(len(consumer.applied), qt.Equals, s.watches, qt.Commentf("the other events are applied"))
	})
}

// TestUndecodableEventsOnlyAreBatched guards against watches without a delay where no event can be decoded.
func TestUndecodableEventsOnlyAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &oddStore{revision: 1}
		s.watch = func() (Changes, error) {
			s.revision++
			return Changes{Revision: s.revision, SkippedEvents: 1}, nil
		}
		follow(t, s, &recordingConsumer{}, 200*time.Millisecond, 30*time.Second)
		qt.Check(t, s.lists+s.watches <= 7+30*5, qt.IsTrue, qt.Commentf("%d lists, %d watches in 30 s", s.lists, s.watches))
	})
}

// TestUndecodableWatchesCauseFewLists guards against lists without a growing delay while no watch can be decoded.
func TestUndecodableWatchesCauseFewLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &oddStore{revision: 1}
		decodesFrom := time.Now().Add(30 * time.Second)
		s.watch = func() (Changes, error) {
			if time.Now().Before(decodesFrom) {
				return Changes{}, errors.Join(ErrOutcomeUnknown, ErrInvalidResponse)
			}
			time.Sleep(time.Second)
			s.revision++
			return Changes{Events: []Event{{Object: Object{Name: "a", Revision: s.revision}}}, Revision: s.revision}, nil
		}
		consumer := &recordingConsumer{}
		follow(t, s, consumer, 0, 40*time.Second)
		c.Check(s.lists <= 35, qt.IsTrue, qt.Commentf("%d lists in 30 s", s.lists))
		c.Check(len(consumer.applied) >= 8, qt.IsTrue, qt.Commentf("%d changes applied in the 10 s after", len(consumer.applied)))
	})
}

// TestEmptyStoreIsListedWithDelay guards against lists without a delay while the store has no revision.
func TestEmptyStoreIsListedWithDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &oddStore{}
		follow(t, s, &recordingConsumer{}, 0, 10*time.Second)
		qt.Check(t, s.lists <= 100, qt.IsTrue, qt.Commentf("%d lists in 10 s", s.lists))
	})
}

func TestRelistSchedule(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var r relistSchedule
	c.Check(r.isDue(start), qt.IsFalse)
	c.Check(r.limit(time.Minute, start), qt.Equals, time.Minute)
	r.request(start)
	c.Check(r.isDue(start), qt.IsTrue)
	r.listed(start)
	c.Check(r.isDue(start.Add(time.Hour)), qt.IsFalse)
	r.request(start.Add(time.Second))
	r.request(start.Add(2 * time.Second))
	c.Check(r.isDue(start.Add(2*time.Second)), qt.IsFalse)
	c.Check(r.limit(time.Minute, start.Add(2*time.Second)), qt.Equals, minRelistInterval-2*time.Second)
	c.Check(r.isDue(start.Add(minRelistInterval)), qt.IsTrue)
	c.Check(r.limit(time.Minute, start.Add(time.Minute)), qt.Equals, time.Duration(0))
}
