package modelengine

import (
	"context"
	"slices"
	"sync"

	"github.com/plankridge/plankridge/internal/engine"
)

// slotQueue hands out the places in the batch, by priority and then in the
// order of arrival. Its fields are guarded by the engine's lock.
type slotQueue struct {
	free    int
	waiting []*slotWaiter
}

type slotWaiter struct {
	priority engine.Priority
	granted  chan struct{}
}

func (q *slotQueue) acquire(ctx context.Context, mu *sync.Mutex, priority engine.Priority) error {
	mu.Lock()
	if q.free > 0 {
		q.free--
		mu.Unlock()
		return nil
	}
	waiter := &slotWaiter{priority: priority, granted: make(chan struct{})}
	q.insert(waiter)
	mu.Unlock()
	select {
	case <-waiter.granted:
		return nil
	case <-ctx.Done():
		q.abandon(mu, waiter)
		return ctx.Err()
	}
}

func (q *slotQueue) insert(waiter *slotWaiter) {
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > waiter.priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, waiter)
}

// abandon gives up a wait. A place that was granted meanwhile is passed on.
func (q *slotQueue) abandon(mu *sync.Mutex, waiter *slotWaiter) {
	mu.Lock()
	at := slices.Index(q.waiting, waiter)
	if at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	mu.Unlock()
	if at < 0 {
		q.release(mu)
	}
}

func (q *slotQueue) release(mu *sync.Mutex) {
	mu.Lock()
	defer mu.Unlock()
	if len(q.waiting) == 0 {
		q.free++
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	close(next.granted)
}
