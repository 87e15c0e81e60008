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

// leaseStore is a store with the lease alone.
type leaseStore struct {
	store.Store
	object store.Object
}

// Get implements store.Store.
func (o *leaseStore) Get(context.Context, string, string) (store.Object, error) {
	if o.object.Revision == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return o.object, nil
}

// Create implements store.Store.
func (o *leaseStore) Create(_ context.Context, _, _ string, spec any) (store.Object, error) {
	return o.write(spec)
}

// Replace implements store.Store.
func (o *leaseStore) Replace(_ context.Context, _, _ string, _ int64, spec any) (store.Object, error) {
	return o.write(spec)
}

func (o *leaseStore) write(spec any) (store.Object, error) {
	raw, err := json.Marshal(spec)
	o.object.Spec, o.object.Revision = raw, o.object.Revision+1
	return o.object, err
}

// TestRightEndsWhileTheVMIsSuspended: a holder that goes on after seconds does not act by a
// lease that has lapsed meanwhile, though the clock of the process stood still.
func TestRightEndsWhileTheVMIsSuspended(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	h := NewElector(Options{
		Self: "vm-1", Incarnation: 1, Duration: 3 * time.Second, Store: &leaseStore{}, Logger: slog.New(slog.DiscardHandler),
		Now: func() time.Time { return now },
	})
	h.tryAcquire(context.Background())
	_, holds := h.Token()
	c.Assert(holds, qt.IsTrue)
	now = now.Add(5 * time.Second)
	_, holds = h.Token()
	c.Check(holds, qt.IsFalse)
}
