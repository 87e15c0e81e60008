package router

import (
	"encoding/json"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
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
	if outage {
		c.view.StoreReturned(now)
	}
	specs := map[string]json.RawMessage{}
	for _, object := range page.Objects {
		specs[object.Name] = object.Spec
	}
	c.takeServers(specs, page.Revision, now)
}

// takeServers takes over a whole list.
func (s *state) takeServers(specs map[string]json.RawMessage, revision int64, now time.Time) {
	entries := make([]backend.Entry, 0, len(specs))
	for id, spec := range specs {
		entry, err := platform.DecodeServer(id, spec)
		if err != nil {
			s.router.logger.Error("entry of a server cannot be decoded", "server", id, "error", err)
			continue
		}
		entries = append(entries, entry)
	}
	s.mu.Lock()
	s.specs, s.serversRevision = specs, revision
	s.serversDigest = digestOf(specs)
	s.mu.Unlock()
	s.view.Replace(entries, now)
	s.router.logger.Info("servers listed", "servers", len(entries), "revision", revision)
}

// Apply implements store.Consumer.
func (c serverConsumer) Apply(event store.Event) {
	now := time.Now()
	id := event.Object.Name
	c.mu.Lock()
	if event.Deleted {
		delete(c.specs, id)
	} else {
		c.specs[id] = event.Object.Spec
	}
	c.serversDigest = digestOf(c.specs)
	c.mu.Unlock()
	if event.Deleted {
		c.view.Remove(id, now)
		c.router.logger.Info("server gone from the list", "server", id)
		return
	}
	entry, err := platform.DecodeServer(id, event.Object.Spec)
	if err != nil {
		c.router.logger.Error("entry of a server cannot be decoded", "server", id, "error", err)
		return
	}
	c.view.Put(entry, now)
	c.router.logger.Info("server listed", "server", id, "service", entry.Service, "zone", entry.Zone,
		"draining", entry.Draining, "reclaimable", entry.Reclaimable, "revision", event.Object.Revision)
}

// Advance implements store.Consumer.
func (c serverConsumer) Advance(revision int64, failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serversRevision, c.storeFailing = max(c.serversRevision, revision), failing
	if !failing {
		c.seenAt = time.Now()
	}
}

// Freshness implements forward.Options' question.
func (s *state) Freshness() (serversAge time.Duration, storeFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.seenAt), s.storeFailing
}
