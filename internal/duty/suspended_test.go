package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/store"
)

// leaseStore is a store that holds only the lease object.
type leaseStore struct {
	store.Store
	object store.Object
}

// Era implements store.Store.
func (s *leaseStore) Era() int64 { return 0 }

// Get implements store.Store.
func (s *leaseStore) Get(context.Context, string, string) (store.Object, error) {
	if s.object.Revision == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return s.object, nil
}

// Create implements store.Store.
func (s *leaseStore) Create(_ context.Context, _, _ string, spec any) (store.Object, error) {
	return s.write(spec)
}

// Replace implements store.Store.
func (s *leaseStore) Replace(_ context.Context, _, _ string, _ int64, spec any) (store.Object, error) {
	return s.write(spec)
}

func (s *leaseStore) write(spec any) (store.Object, error) {
	raw, err := json.Marshal(spec)
	s.object.Spec, s.object.Revision = raw, s.object.Revision+1
	return s.object, err
}

// TestRightEndsWhileTheVMIsSuspended guards against a holder that acts with an expired lease
// after its VM was suspended for some seconds, during which the process's own clock stood
// still.
func TestRightEndsWhileTheVMIsSuspended(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	elector := NewElector(Options{
		Self: "vm-1", Incarnation: 1, Duration: 3 * time.Second, Store: &leaseStore{}, Logger: slog.New(slog.DiscardHandler),
		Now: func() time.Time { return now },
	})
	elector.tryAcquire(context.Background())
	_, holds := elector.Token()
	c.Assert(holds, qt.IsTrue)
	now = now.Add(5 * time.Second)
	_, holds = elector.Token()
	c.Check(holds, qt.IsFalse)
}
