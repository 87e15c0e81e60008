package keys

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/store"
)

// slowStore holds one value, and each write takes effect after a delay.
type slowStore struct {
	store.Values
	value store.Value
}

// Put implements store.Values.
func (s *slowStore) Put(_ context.Context, _ string, data []byte, expected int64) (store.Value, error) {
	time.Sleep(time.Second)
	if expected != s.value.Version {
		return store.Value{}, store.ErrConflict
	}
	s.value = store.Value{Data: data, Version: expected + 1}
	return s.value, nil
}

// List implements store.Values.
func (s *slowStore) List(context.Context, string) ([]store.Value, error) { return nil, nil }

// onlyZonePeers are the peers of a daemon that is alone in its availability zone.
type onlyZonePeers struct{ Peers }

// SelfListed implements Peers.
func (onlyZonePeers) SelfListed() (int64, bool) { return 1, true }

// Dead implements Peers.
func (onlyZonePeers) Dead(Holder) bool { return false }

// Zones implements Peers.
func (onlyZonePeers) Zones() map[string][]string { return map[string][]string{"zone-1": {"vm-1"}} }

// TestSlotsClaimedDuringReleaseAreReleased guards against slots that nobody serves because their claim was in flight when
// the daemon was stopped.
func TestSlotsClaimedDuringReleaseAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &slowStore{}
		self := Holder{Daemon: "vm-1", Incarnation: 1}
		m := NewManager(Options{Self: self, Zone: "zone-1", Store: s, Peers: onlyZonePeers{}, Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry()})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		go m.claimSlots(ctx)
		time.Sleep(500 * time.Millisecond)
		m.Release(ctx)
		synctest.Wait()
		var homes Homes
		c.Assert(json.Unmarshal(s.value.Data, &homes), qt.IsNil)
		c.Check(homes.HeldBy(self), qt.HasLen, 0)
		c.Check(homes.Enrolled, qt.HasLen, 0)
	})
}
