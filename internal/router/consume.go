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
		c.take(object)
	}
}

// Apply implements store.Consumer.
func (c configConsumer) Apply(events []store.Event, _ int64) {
	for _, event := range events {
		if !event.Deleted {
			c.take(event.Object)
		}
	}
}

func (c configConsumer) take(object store.Object) {
	if object.Name == platform.ConfigName {
		c.takeConfig(object.Spec, "store")
	}
}

// Advance implements store.Consumer.
func (c configConsumer) Advance(int64, time.Time, bool) {}

// serverConsumer takes the backend servers from the store.
type serverConsumer struct{ *state }

// Replace implements store.Consumer.
func (c serverConsumer) Replace(page store.Page, outage bool) {
	now := time.Now()
	if outage || c.away() {
		c.storeReturned(now)
	}
	c.takeServers(page.Objects, page.Revision, fromStore, now)
}

// away reports whether the store gave no answer of late.
func (s *state) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeFailing()
}

// storeReturned notes when the store has come back from an outage.
func (s *state) storeReturned(at time.Time) {
	s.mu.Lock()
	s.storeBackAt = at
	s.mu.Unlock()
	s.view.StoreReturned(at)
}

// fromStore stands in the log for the store where a peer may have told a change.
const fromStore = "store"

// serversRevision returns the store's revision up to which the servers are known.
func (s *state) serversRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing.revision
}

// takeServers takes over a whole list, from the store or a peer.
func (s *state) takeServers(objects []store.Object, revision int64, from string, now time.Time) {
	s.mu.Lock()
	before := s.listing.revision
	entries, broken, taken := s.listing.replace(objects, revision, now)
	if !taken {
		s.mu.Unlock()
		s.router.logger.Info("list of servers is behind what is known", "from", from, "revision_before", before, "revision", revision)
		return
	}
	s.wantAll = false
	// Under the lock, so that the view gets changes in the order of the list.
	ended := s.view.Replace(entries, s.observation(now))
	s.mu.Unlock()
	for _, err := range broken {
		s.router.bad.note(err, now)
	}
	s.restarted(ended)
	s.router.useVersions(now)
	s.router.logger.Info("servers listed", "servers", len(entries), "from", from, "revision_before", before, "revision", revision)
	s.router.node.TriggerReport()
}

// changes are what has come of the servers since the last time.
type changes struct {
	// put are the objects that are new or different, removed those that are not listed any more.
	put     []store.Object
	removed []gone
	// from is the peer that told them, or the store.
	from string
	// upTo is the revision up to which they are all that there were, for a list that was known
	// up to where they begin. Zero is not known.
	upTo int64
}

// changeServers takes over changes.
func (s *state) changeServers(c changes, now time.Time) {
	s.mu.Lock()
	at := step{from: c.from, before: s.listing.revision}
	entries, left, broken := s.listing.merge(c, now)
	at.to = max(c.upTo, s.listing.revision)
	// Under the lock, so that the view gets changes in the order of the list.
	ended := s.view.Update(entries, left, s.observation(now))
	s.mu.Unlock()
	for _, err := range broken {
		s.router.bad.note(err, now)
	}
	s.restarted(ended)
	s.router.useVersions(now)
	for _, entry := range entries {
		s.checkService(entry, now)
	}
	s.logServers(entries, left, at)
}

// step is between which revisions of the list something has changed, and who told it.
type step struct {
	from       string
	before, to int64
}

// mostServerLines is the number of servers up to which a change of each gets a line of its
// own. When 900 of 1,000 left at once, each of 100 daemons wrote two lines for each.
const mostServerLines = 8

// logServers writes down what has changed of the servers.
func (s *state) logServers(entries []backend.Entry, gone []string, at step) {
	if len(entries)+len(gone) > mostServerLines {
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
func (s *state) logManyServers(entries []backend.Entry, gone []string, at step) {
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

// restarted lets go of what belonged to earlier incarnations of servers.
func (s *state) restarted(ended []backend.Entry) {
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
		s.router.bad.note(&store.BadObject{Kind: platform.KindServers, Name: e.ID, Fault: store.FaultUnknownService, Field: e.Service}, now)
	}
}

// Apply implements store.Consumer.
func (c serverConsumer) Apply(events []store.Event, revision int64) {
	c.changeServers(lastOf(events, revision), time.Now())
}

// lastOf returns what the events of the store up to a revision leave of each object. The event
// of a removal may bear the entry's last revision, before it.
func lastOf(events []store.Event, revision int64) changes {
	last := map[string]int{}
	for i := range events {
		last[events[i].Object.Name] = i
	}
	c := changes{from: fromStore}
	for i, event := range events {
		switch name := event.Object.Name; {
		case last[name] != i:
		case event.Deleted:
			c.removed = append(c.removed, gone{id: name, revision: revision})
		default:
			c.put = append(c.put, event.Object)
		}
	}
	return c
}

// Advance implements store.Consumer.
func (c serverConsumer) Advance(revision int64, asOf time.Time, failing bool) {
	c.mu.Lock()
	ahead := revision > c.listing.revision
	c.listing.revision = max(c.listing.revision, revision)
	if failing {
		c.failingAt = time.Now()
	} else {
		c.failingAt, c.unreachedAt, c.answered = time.Time{}, time.Time{}, true
		c.provenAt = later(c.provenAt, asOf)
	}
	c.mu.Unlock()
	if ahead {
		// The daemons of the zone wait for it.
		c.router.node.TriggerReport()
	}
}

// beginRole notes that this daemon begins to follow the store, or stops.
func (s *state) beginRole() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = false
}

// Freshness implements forward.Options' question.
func (s *state) Freshness() (serversAge time.Duration, storeFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serversAge(time.Now()), s.storeFailing()
}

// serversAge returns how long ago the store was last known to list just the servers that this
// daemon believes in, or since its start. The caller holds the lock.
func (s *state) serversAge(now time.Time) time.Duration {
	if s.provenAt.IsZero() {
		return now.Sub(s.started)
	}
	return now.Sub(s.provenAt)
}

// observation returns that of changes of the list that are received now: the list was known to be
// complete until then. The caller holds the lock.
func (s *state) observation(now time.Time) backend.Observation {
	return backend.Observation{ReceivedAt: now, NotBefore: s.provenAt}
}

// agree takes over that a peer has the same list of servers, which the store was known to have
// so long ago, in milliseconds; zero is not known. The caller holds the lock.
func (s *state) agree(digest uint64, ageMs int64, now time.Time) {
	if ageMs <= 0 || digest != s.listing.digest {
		return
	}
	s.provenAt = later(s.provenAt, now.Add(-time.Duration(ageMs)*time.Millisecond))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// tellAge returns the age of the list for a peer, in milliseconds; zero is not known. The caller
// holds the lock.
func (s *state) tellAge(now time.Time) int64 {
	if s.provenAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(s.provenAt).Milliseconds())
}
