package router

import (
	"strings"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/platform"
)

// configConsumer applies the configuration that is read from the store.
type configConsumer struct{ *state }

// Replace implements store.Consumer.
func (c configConsumer) Replace(page store.Page, _ bool) {
	for _, object := range page.Objects {
		c.applyObject(object)
	}
}

// Apply implements store.Consumer.
func (c configConsumer) Apply(events []store.Event, _ int64) {
	for _, event := range events {
		if !event.Deleted {
			c.applyObject(event.Object)
		}
	}
}

func (c configConsumer) applyObject(object store.Object) {
	if object.Name == platform.ConfigName {
		c.applyConfig(object.Spec, "store")
	}
}

// Advance implements store.Consumer.
func (c configConsumer) Advance(int64, time.Time, bool) {}

// serverConsumer applies the list of backend servers that is read from the store.
type serverConsumer struct{ *state }

// Replace implements store.Consumer.
func (c serverConsumer) Replace(page store.Page, outage bool) {
	now := time.Now()
	if outage || c.isStoreFailing() || store.EraOf(page.Revision) > store.EraOf(c.serversRevision()) {
		c.storeReturned(now)
	}
	c.replaceServers(page.Objects, page.Revision, sourceStore, now)
}

// isStoreFailing reports whether the store has recently failed to answer this daemon.
func (s *state) isStoreFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeFailingLocked()
}

// storeReturned records when the store has returned from an outage.
func (s *state) storeReturned(at time.Time) {
	s.mu.Lock()
	s.storeReturnedAt = at
	s.mu.Unlock()
	s.view.StoreReturned(at)
}

// sourceStore is logged as the source of changes that come from the store rather than from a peer.
const sourceStore = "store"

// serversRevision returns the store revision up to which the list of servers is complete.
func (s *state) serversRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serverList.revision
}

// replaceServers replaces the whole list by one from the store or a peer, unless the new
// list is outdated.
func (s *state) replaceServers(objects []store.Object, revision int64, from string, now time.Time) {
	s.mu.Lock()
	before := s.serverList.revision
	entries, invalid, applied := s.serverList.replace(objects, revision, now)
	if !applied {
		s.mu.Unlock()
		s.router.logger.Info("ignoring outdated list of servers", "from", from, "revision_before", before, "revision", revision)
		return
	}
	s.pullFullList = false
	// The lock is held so that the view receives changes in the order of the list.
	restarted := s.view.Replace(entries, s.observation(now))
	s.mu.Unlock()
	for _, err := range invalid {
		s.router.badObjects.record(err, now)
	}
	s.handleRestarts(restarted)
	s.router.versionsUnused.Store(true)
	s.router.applyVersions(now)
	s.router.logger.Info("servers listed", "servers", len(entries), "from", from, "revision_before", before, "revision", revision)
	s.router.node.TriggerReport()
}

// serverChanges is a set of changes to the list of servers.
type serverChanges struct {
	// put holds the new and changed objects, removed the objects that are no longer listed.
	put     []store.Object
	removed []removedServer
	// from is the VM of the peer that sent the changes, or sourceStore.
	from string
	// upTo is the revision up to which the changes are complete, for a list that was complete up to
	// the revision at which they begin. It is zero if unknown.
	upTo int64
}

// updateServers applies changes to the list of servers.
func (s *state) updateServers(c serverChanges, now time.Time) {
	s.mu.Lock()
	step := revisionStep{from: c.from, before: s.serverList.revision}
	entries, removed, invalid := s.serverList.merge(c, now)
	step.to = max(c.upTo, s.serverList.revision)
	// The lock is held so that the view receives changes in the order of the list.
	restarted := s.view.Update(entries, removed, s.observation(now))
	s.mu.Unlock()
	for _, err := range invalid {
		s.router.badObjects.record(err, now)
	}
	s.handleRestarts(restarted)
	s.router.versionsUnused.Store(true)
	s.router.applyVersions(now)
	for _, entry := range entries {
		s.checkService(entry, now)
	}
	s.logServers(entries, removed, step)
}

// revisionStep is the revisions of the list before and after a change, and the source of the
// change.
type revisionStep struct {
	from       string
	before, to int64
}

// maxServerLogLines is the number of changed servers up to which each one is logged on a line of
// its own. Otherwise, when 900 of 1,000 servers left at once, each of 100 daemons wrote two lines
// for each server.
const maxServerLogLines = 8

// logServers logs the changes to the list of servers.
func (s *state) logServers(entries []backend.Entry, removed []string, step revisionStep) {
	if len(entries)+len(removed) > maxServerLogLines {
		s.logManyServers(entries, removed, step)
		return
	}
	for _, e := range entries {
		s.router.logger.Info("server listed", "server", e.ID, "service", e.Service, "zone", e.Zone,
			"draining", e.Draining, "reclaimable", e.Reclaimable, "version", e.Version, "born_ms", e.StartTimeMs, "from", step.from, "revision_before", step.before, "revision", step.to)
	}
	for _, id := range removed {
		s.router.logger.Info("server gone from the list", "server", id, "from", step.from, "revision_before", step.before, "revision", step.to)
	}
}

// logManyServers logs all servers that became ready, are draining or are gone on one line.
func (s *state) logManyServers(entries []backend.Entry, removed []string, step revisionStep) {
	var ready, draining []string
	for _, e := range entries {
		if e.Draining {
			draining = append(draining, e.ID)
			continue
		}
		ready = append(ready, e.ID)
	}
	s.router.logger.Info("servers changed", "from", step.from, "revision_before", step.before, "revision", step.to,
		"ids_ready", strings.Join(ready, " "), "ids_draining", strings.Join(draining, " "), "ids_gone", strings.Join(removed, " "))
}

// handleRestarts closes the idle connections to earlier incarnations of servers.
func (s *state) handleRestarts(restarted []backend.Entry) {
	for _, e := range restarted {
		s.router.pool.CloseIdle(e.Address)
		s.router.logger.Info("server has started again", "server", e.ID, "service", e.Service, "ended_born_ms", e.StartTimeMs)
	}
}

// checkService records an entry whose service is not in the configuration. The entry stays listed,
// because the configuration that adds the service may arrive later.
func (s *state) checkService(e backend.Entry, now time.Time) {
	c := s.Catalog()
	if c == nil {
		return
	}
	if _, known := c.Services[e.Service]; !known {
		s.router.badObjects.record(&store.BadObject{Kind: platform.KindServers, Name: e.ID, Fault: store.FaultUnknownService, Field: e.Service}, now)
	}
}

// Apply implements store.Consumer.
func (c serverConsumer) Apply(events []store.Event, revision int64) {
	c.updateServers(latestChanges(events, revision), time.Now())
}

// latestChanges returns the last change of each object in events, which extend up to the given
// revision. The event of a removal may carry the entry's last revision instead of its own, so
// removals are recorded as of the given revision.
func latestChanges(events []store.Event, revision int64) serverChanges {
	last := map[string]int{}
	for i := range events {
		last[events[i].Object.Name] = i
	}
	c := serverChanges{from: sourceStore}
	for i, event := range events {
		switch name := event.Object.Name; {
		case last[name] != i:
		case event.Deleted:
			c.removed = append(c.removed, removedServer{id: name, revision: revision})
		default:
			c.put = append(c.put, event.Object)
		}
	}
	return c
}

// Advance implements store.Consumer.
func (c serverConsumer) Advance(revision int64, asOf time.Time, failing bool) {
	c.mu.Lock()
	ahead := revision > c.serverList.revision
	c.serverList.revision = max(c.serverList.revision, revision)
	if failing {
		c.storeFailedAt = time.Now()
	} else {
		c.storeFailedAt, c.storeUnreachableAt, c.storeAnswered = time.Time{}, time.Time{}, true
		c.listConfirmedAt = later(c.listConfirmedAt, asOf)
	}
	c.mu.Unlock()
	if ahead {
		// The other daemons of the zone fetch the changes once the revision is reported.
		c.router.node.TriggerReport()
	}
}

// resetStoreAnswered is called when this daemon starts or stops following the store.
func (s *state) resetStoreAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAnswered = false
}

// Freshness returns the age of the list of servers and whether the store is failing, for
// forward.Options.
func (s *state) Freshness() (serversAge time.Duration, storeFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serversAge(time.Now()), s.storeFailingLocked()
}

// serversAge returns the time since the store was last known to list exactly the servers that this
// daemon has or, if that never was the case, since the start. The caller holds the lock.
func (s *state) serversAge(now time.Time) time.Duration {
	if s.listConfirmedAt.IsZero() {
		return now.Sub(s.started)
	}
	return now.Sub(s.listConfirmedAt)
}

// observation returns the observation for changes that are received now. They happened after the
// list was last known to be complete. The caller holds the lock.
func (s *state) observation(now time.Time) backend.Observation {
	return backend.Observation{ReceivedAt: now, NotBefore: s.listConfirmedAt}
}

// confirmList records that the store had the same list of servers as this daemon ageMs milliseconds
// ago, as reported by a peer with an equal digest. An age of zero is unknown. The caller holds the
// lock.
func (s *state) confirmList(digest uint64, ageMs int64, now time.Time) {
	if ageMs <= 0 || digest != s.serverList.digest {
		return
	}
	s.listConfirmedAt = later(s.listConfirmedAt, now.Add(-time.Duration(ageMs)*time.Millisecond))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// listAgeMs returns the age of the list to report to peers, in milliseconds, or zero if it is
// unknown. The caller holds the lock.
func (s *state) listAgeMs(now time.Time) int64 {
	if s.listConfirmedAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(s.listConfirmedAt).Milliseconds())
}
