package router

import (
	"strings"
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

// serverConsumer takes the backend servers from the store.
type serverConsumer struct{ *state }

// Replace implements store.Consumer.
func (c serverConsumer) Replace(page store.Page, outage bool) {
	now := time.Now()
	if outage || c.isStoreFailing() {
		c.storeReturned(now)
	}
	c.replaceServers(page.Objects, page.Revision, sourceStore, now)
}

// isStoreFailing reports whether the store gave no answer of late.
func (s *state) isStoreFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeFailingLocked()
}

// storeReturned notes when the store has come back from an outage.
func (s *state) storeReturned(at time.Time) {
	s.mu.Lock()
	s.storeReturnedAt = at
	s.mu.Unlock()
	s.view.StoreReturned(at)
}

// sourceStore stands in the log for the store where a peer may have told a change.
const sourceStore = "store"

// serversRevision returns the store's revision up to which the servers are known.
func (s *state) serversRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serverList.revision
}

// replaceServers takes over a whole list, from the store or a peer.
func (s *state) replaceServers(objects []store.Object, revision int64, from string, now time.Time) {
	s.mu.Lock()
	before := s.serverList.revision
	entries, broken, taken := s.serverList.replace(objects, revision, now)
	if !taken {
		s.mu.Unlock()
		s.router.logger.Info("list of servers is behind what is known", "from", from, "revision_before", before, "revision", revision)
		return
	}
	s.pullFullList = false
	// Under the lock, so that the view gets changes in the order of the list.
	ended := s.view.Replace(entries, s.observation(now))
	s.mu.Unlock()
	for _, err := range broken {
		s.router.badObjects.record(err, now)
	}
	s.handleRestarts(ended)
	s.router.applyVersions(now)
	s.router.logger.Info("servers listed", "servers", len(entries), "from", from, "revision_before", before, "revision", revision)
	s.router.node.TriggerReport()
}

// serverChanges are what has come of the servers since the last time.
type serverChanges struct {
	// put are the objects that are new or different, removed those that are not listed any more.
	put     []store.Object
	removed []removedServer
	// from is the peer that told them, or the store.
	from string
	// upTo is the revision up to which they are all that there were, for a list that was known
	// up to where they begin. Zero is not known.
	upTo int64
}

// updateServers takes over changes.
func (s *state) updateServers(c serverChanges, now time.Time) {
	s.mu.Lock()
	at := revisionStep{from: c.from, before: s.serverList.revision}
	entries, left, broken := s.serverList.merge(c, now)
	at.to = max(c.upTo, s.serverList.revision)
	// Under the lock, so that the view gets changes in the order of the list.
	ended := s.view.Update(entries, left, s.observation(now))
	s.mu.Unlock()
	for _, err := range broken {
		s.router.badObjects.record(err, now)
	}
	s.handleRestarts(ended)
	s.router.applyVersions(now)
	for _, entry := range entries {
		s.checkService(entry, now)
	}
	s.logServers(entries, left, at)
}

// revisionStep is between which revisions of the list something has changed, and who told it.
type revisionStep struct {
	from       string
	before, to int64
}

// maxServerLogLines is the number of servers up to which a change of each gets a line of its
// own. When 900 of 1,000 left at once, each of 100 daemons wrote two lines for each.
const maxServerLogLines = 8

// logServers writes down what has changed of the servers.
func (s *state) logServers(entries []backend.Entry, gone []string, at revisionStep) {
	if len(entries)+len(gone) > maxServerLogLines {
		s.logManyServers(entries, gone, at)
		return
	}
	for _, e := range entries {
		s.router.logger.Info("server listed", "server", e.ID, "service", e.Service, "zone", e.Zone,
			"draining", e.Draining, "reclaimable", e.Reclaimable, "version", e.Version, "born_ms", e.StartTimeMs, "from", at.from, "revision_before", at.before, "revision", at.to)
	}
	for _, id := range gone {
		s.router.logger.Info("server gone from the list", "server", id, "from", at.from, "revision_before", at.before, "revision", at.to)
	}
}

// logManyServers writes down in one line which servers came, drain and are gone.
func (s *state) logManyServers(entries []backend.Entry, gone []string, at revisionStep) {
	var ready, draining []string
	for _, e := range entries {
		if e.Draining {
			draining = append(draining, e.ID)
			continue
		}
		ready = append(ready, e.ID)
	}
	s.router.logger.Info("servers changed", "from", at.from, "revision_before", at.before, "revision", at.to,
		"ids_ready", strings.Join(ready, " "), "ids_draining", strings.Join(draining, " "), "ids_gone", strings.Join(gone, " "))
}

// handleRestarts lets go of what belonged to earlier incarnations of servers.
func (s *state) handleRestarts(ended []backend.Entry) {
	for _, e := range ended {
		s.router.pool.CloseIdle(e.Address)
		s.router.logger.Info("server has started again", "server", e.ID, "service", e.Service, "ended_born_ms", e.StartTimeMs)
	}
}

// checkService notes an entry whose service no configuration names. It stays listed: the
// configuration that names it may be on its way.
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

// latestChanges returns what the events of the store up to a revision leave of each object. The event
// of a removal may bear the entry's last revision, before it.
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
		// The daemons of the zone wait for it.
		c.router.node.TriggerReport()
	}
}

// resetStoreAnswered notes that this daemon begins to follow the store, or stops.
func (s *state) resetStoreAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAnswered = false
}

// Freshness implements forward.Options' question.
func (s *state) Freshness() (serversAge time.Duration, storeFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serversAge(time.Now()), s.storeFailingLocked()
}

// serversAge returns how long ago the store was last known to list just the servers that this
// daemon believes in, or since its start. The caller holds the lock.
func (s *state) serversAge(now time.Time) time.Duration {
	if s.listConfirmedAt.IsZero() {
		return now.Sub(s.started)
	}
	return now.Sub(s.listConfirmedAt)
}

// observation returns that of changes of the list that are received now: the list was known to be
// complete until then. The caller holds the lock.
func (s *state) observation(now time.Time) backend.Observation {
	return backend.Observation{ReceivedAt: now, NotBefore: s.listConfirmedAt}
}

// confirmList takes over that a peer has the same list of servers, which the store was known to have
// so long ago, in milliseconds; zero is not known. The caller holds the lock.
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

// listAgeMs returns the age of the list for a peer, in milliseconds; zero is not known. The caller
// holds the lock.
func (s *state) listAgeMs(now time.Time) int64 {
	if s.listConfirmedAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(s.listConfirmedAt).Milliseconds())
}
