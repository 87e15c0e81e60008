package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/usage"
)

// storedLease is a store that holds only the lease object, and whose calls may be slow or fail.
type storedLease struct {
	store.Store
	mu     sync.Mutex
	object store.Object
	// writes are the records that were sent.
	writes []lease.Record
	// onWrite and onGet are called before a call takes effect, if they are set. With an error the call
	// has no effect.
	onWrite, onGet func(ctx context.Context) error
}

// Era implements store.Store.
func (s *storedLease) Era() int64 { return 0 }

// Get implements store.Store.
func (s *storedLease) Get(ctx context.Context, _, _ string) (store.Object, error) {
	if s.onGet != nil {
		if err := s.onGet(ctx); err != nil {
			return store.Object{}, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.object.Revision == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return s.object, nil
}

// Create implements store.Store.
func (s *storedLease) Create(ctx context.Context, kind, name string, spec any) (store.Object, error) {
	return s.Replace(ctx, kind, name, 0, spec)
}

// Replace implements store.Store.
func (s *storedLease) Replace(ctx context.Context, _, _ string, revision int64, spec any) (store.Object, error) {
	s.mu.Lock()
	s.writes = append(s.writes, spec.(lease.Record))
	s.mu.Unlock()
	if s.onWrite != nil {
		if err := s.onWrite(ctx); err != nil {
			return store.Object{}, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision != s.object.Revision {
		return store.Object{}, store.ErrConflict
	}
	return s.applyLocked(spec)
}

// apply makes a write take effect whatever its condition.
func (s *storedLease) apply(spec any) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(spec)
}

// applyLocked is apply for a caller that holds the lock.
func (s *storedLease) applyLocked(spec any) (store.Object, error) {
	raw, err := json.Marshal(spec)
	s.object = store.Object{Spec: raw, Revision: s.object.Revision + 1}
	return s.object, err
}

// holder returns the holder by the stored record.
func (s *storedLease) holder(c *qt.C) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var record lease.Record
	c.Assert(json.Unmarshal(s.object.Spec, &record), qt.IsNil)
	return record.Holder
}

// errLost is the error of a call without an answer.
var errLost = fmt.Errorf("%w: no answer", store.ErrOutcomeUnknown)

// slowCall returns a hook that delays a call, and then fails it unless err is nil.
func slowCall(delay time.Duration, err error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(delay):
			return err
		case <-ctx.Done():
			return errLost
		}
	}
}

func newTestElector(s *storedLease) *Elector {
	return NewElector(Options{Self: "vm-1", Incarnation: 1, Duration: 3 * time.Second, Store: s, Logger: slog.New(slog.DiscardHandler), NotifyPeers: func() {}, Now: time.Now})
}

// testRelease runs a test in synctest time.
func testRelease(t *testing.T, test func(c *qt.C, s *storedLease, e *Elector)) {
	synctest.Test(t, func(t *testing.T) {
		s := &storedLease{}
		test(qt.New(t), s, newTestElector(s))
	})
}

// TestReportBehindReleaseDoesNotRenewLease guards against a daemon that takes the lease again after its release got no answer.
func TestReportBehindReleaseDoesNotRenewLease(t *testing.T) {
	testRelease(t, func(c *qt.C, s *storedLease, e *Elector) {
		e.tryAcquire(context.Background())
		s.onWrite, s.onGet = slowCall(time.Second, errLost), slowCall(time.Second, errLost)
		ctx, cancel := context.WithTimeout(context.Background(), 1900*time.Millisecond)
		defer cancel()
		go func() {
			time.Sleep(500 * time.Millisecond)
			_, recorded := e.RecordReport(context.Background(), 7, usage.Counts{"mill": 3})
			c.Check(recorded, qt.IsFalse)
		}()
		e.Release(ctx)
		s.onWrite, s.onGet = nil, nil
		time.Sleep(5 * time.Second)
		for _, record := range s.writes[1:] {
			c.Check(record.Holder, qt.Equals, "")
		}
	})
}

// TestLeaseAcquiredDuringReleaseIsReleased guards against a lease that expires unused because its claim was in flight when
// the daemon was stopped.
func TestLeaseAcquiredDuringReleaseIsReleased(t *testing.T) {
	testRelease(t, func(c *qt.C, s *storedLease, e *Elector) {
		s.onWrite = slowCall(time.Second, nil)
		go e.tryAcquire(context.Background())
		time.Sleep(500 * time.Millisecond)
		e.Release(context.Background())
		c.Check(s.holder(c), qt.Equals, "")
		_, holds := e.Token()
		c.Check(holds, qt.IsFalse)
	})
}

// TestReleaseAfterLateRenewalIsWrittenAgain guards against a lease that stays held because a renewal without an answer took
// effect just before the release.
func TestReleaseAfterLateRenewalIsWrittenAgain(t *testing.T) {
	testRelease(t, func(c *qt.C, s *storedLease, e *Elector) {
		e.tryAcquire(context.Background())
		s.onWrite, s.onGet = slowCall(0, errLost), slowCall(0, errLost)
		c.Assert(e.renew(context.Background(), nil), qt.IsFalse)
		s.onWrite, s.onGet = nil, nil
		_, err := s.apply(s.writes[1])
		c.Assert(err, qt.IsNil)
		e.Release(context.Background())
		c.Check(s.holder(c), qt.Equals, "")
	})
}

// TestReleaseThatIsRejectedIsWrittenAgain guards against a lease that stays held because the store rejected one write.
func TestReleaseThatIsRejectedIsWrittenAgain(t *testing.T) {
	testRelease(t, func(c *qt.C, s *storedLease, e *Elector) {
		e.tryAcquire(context.Background())
		s.onWrite = func(context.Context) error {
			s.onWrite = nil
			return store.ErrRefused
		}
		e.Release(context.Background())
		c.Check(s.holder(c), qt.Equals, "")
	})
}

// TestReleaseKeepsLeaseOfSuccessor guards against a release that frees the lease that another daemon has acquired meanwhile.
func TestReleaseKeepsLeaseOfSuccessor(t *testing.T) {
	testRelease(t, func(c *qt.C, s *storedLease, e *Elector) {
		e.tryAcquire(context.Background())
		s.onWrite = slowCall(time.Second, nil)
		go func() {
			time.Sleep(500 * time.Millisecond)
			_, _ = s.apply(lease.Record{Holder: "vm-2", Incarnation: 2, Renewals: 1})
		}()
		e.Release(context.Background())
		c.Check(s.holder(c), qt.Equals, "vm-2")
		c.Check(len(s.writes), qt.Equals, 2)
	})
}

// TestDaemonDoesNotReportFenceWhileReleasing guards against peers that do not acquire the lease while the holder's last
// renewal is in flight.
func TestDaemonDoesNotReportFenceWhileReleasing(t *testing.T) {
	testRelease(t, func(c *qt.C, s *storedLease, e *Elector) {
		e.tryAcquire(context.Background())
		s.onWrite = slowCall(time.Second, nil)
		go e.renew(context.Background(), nil)
		time.Sleep(100 * time.Millisecond)
		go e.Release(context.Background())
		synctest.Wait()
		token, holds := e.Token()
		c.Check(holds, qt.IsFalse)
		c.Check(token.Fence, qt.Equals, int64(0))
		time.Sleep(3 * time.Second)
		c.Check(s.holder(c), qt.Equals, "")
	})
}
