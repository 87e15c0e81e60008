package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/platform"
)

// configConsumer takes the configuration from the store.
type configConsumer struct{ *state }

// Replace implements store.Consumer.
func (c configConsumer) Replace(page store.Page, _ bool) {
	for _, object := range page.Objects {
		c.Apply(store.Event{Object: object})
	}
}

// Apply implements store.Consumer.
func (c configConsumer) Apply(event store.Event) {
	if !event.Deleted && event.Object.Name == platform.ConfigName {
		c.takeConfig(event.Object.Spec, "store")
	}
}

// Advance implements store.Consumer.
func (c configConsumer) Advance(int64, bool) {}

// serverConsumer takes the backend servers from the store.
type serverConsumer struct{ *state }

// Replace implements store.Consumer.
func (c serverConsumer) Replace(page store.Page, outage bool) {
	now := time.Now()
	if outage || c.failing() {
		c.storeReturned(now)
	}
	c.takeServers(page.Objects, page.Revision, now)
}

// storeReturned notes when the store has come back from an outage.
func (s *state) storeReturned(at time.Time) {
	s.mu.Lock()
	s.storeBackAt = at
	s.mu.Unlock()
	s.view.StoreReturned(at)
}

// takeServers takes over a whole list.
func (s *state) takeServers(objects []store.Object, revision int64, now time.Time) {
	s.mu.Lock()
	entries, err := s.listing.replace(objects, revision, now)
	s.mu.Unlock()
	if err != nil {
		s.router.logger.Error("entry of a server cannot be decoded", "error", err)
	}
	s.view.Replace(entries, now)
	s.router.logger.Info("servers listed", "servers", len(entries), "revision", revision)
	s.router.node.Soon()
}

// putServer takes over one entry.
func (s *state) putServer(object store.Object, now time.Time) {
	s.mu.Lock()
	entry, err := s.listing.put(object)
	s.mu.Unlock()
	if err != nil {
		s.router.logger.Error("entry of a server cannot be decoded", "server", object.Name, "error", err)
		return
	}
	s.view.Put(entry, now)
	s.router.logger.Info("server listed", "server", object.Name, "service", entry.Service, "zone", entry.Zone,
		"draining", entry.Draining, "reclaimable", entry.Reclaimable, "revision", object.Revision)
}

// removeServer takes over that an entry is gone.
func (s *state) removeServer(id string, revision int64, now time.Time) {
	s.mu.Lock()
	// An event of a removal may bear the entry's last revision, before it.
	revision = max(revision, s.listing.revision+1)
	s.listing.remove(id, revision, now)
	s.mu.Unlock()
	s.view.Remove(id, now)
	s.router.logger.Info("server gone from the list", "server", id, "revision", revision)
}

// Apply implements store.Consumer.
func (c serverConsumer) Apply(event store.Event) {
	if event.Deleted {
		c.removeServer(event.Object.Name, event.Object.Revision, time.Now())
		return
	}
	c.putServer(event.Object, time.Now())
}

// Advance implements store.Consumer.
func (c serverConsumer) Advance(revision int64, failing bool) {
	c.mu.Lock()
	ahead := revision > c.listing.revision
	c.listing.revision = max(c.listing.revision, revision)
	if failing {
		c.failingAt = time.Now()
	} else {
		c.failingAt, c.seenAt = time.Time{}, time.Now()
	}
	c.mu.Unlock()
	if ahead {
		// The daemons of the zone wait for it.
		c.router.node.Soon()
	}
}

// Freshness implements forward.Options' question.
func (s *state) Freshness() (serversAge time.Duration, storeFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.seenAt), s.storeFailing()
}
