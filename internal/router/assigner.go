package router

import (
	"context"
	"errors"
	"time"

	"github.com/plankridge/plankridge/internal/steady"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/streamversion"
)

const (
	// assignmentKind and assignmentName name the object in the store that holds the assignment of
	// streams to versions.
	assignmentKind = "plankridge-stream-versions"
	assignmentName = "assignment"
	// assignmentInterval is the time between two evaluations of the assignment.
	assignmentInterval = 100 * time.Millisecond
	// assignmentRetryInterval is the time between two calls while the store refuses or does not answer.
	assignmentRetryInterval = 500 * time.Millisecond
	// assigningReadAge is the age of the confirmation from which on the daemon that assigns reads the
	// store, and followingReadAge that of the other daemons that follow the store, in case its
	// reports do not arrive.
	assigningReadAge = 700 * time.Millisecond
	followingReadAge = 1200 * time.Millisecond
)

// storedAssignment is the state of the object in the store.
type storedAssignment struct {
	// current is set while revision is known to be that of the object. Zero means that it does not
	// exist.
	current  bool
	revision int64
	serial   int64
	// era is the era of the store as of the last call.
	era      int64
	failedAt time.Time
}

// maintain reads the assignment from the store and, at one daemon, changes it as the versions of the
// servers change.
func (s *streamVersions) maintain(ctx context.Context) {
	ticker := time.NewTicker(assignmentInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.evaluate(ctx, now)
		case <-s.followBegun:
			s.evaluate(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (s *streamVersions) evaluate(ctx context.Context, now time.Time) {
	if !s.following.Load() || now.Sub(s.stored.failedAt) < assignmentRetryInterval {
		return
	}
	demands := s.demands(now)
	if len(demands) == 0 {
		return
	}
	assigns := s.shouldAssign(now)
	if s.needsConfirmation(assigns) && !s.state.storeUnavailable() {
		s.read(ctx)
	}
	if !assigns {
		return
	}
	wentBack := s.objectStore.Era() != s.stored.era
	if wentBack {
		s.stored.era, s.stored.current = s.objectStore.Era(), false
	}
	if s.get() == nil || wentBack {
		s.read(ctx)
	}
	if a := s.get(); a != nil {
		s.change(ctx, a, demands, now)
	}
}

// change writes the assignment that follows, if it differs or the store holds an older one. Calls to
// the store cost money, so its object is read only then.
func (s *streamVersions) change(ctx context.Context, a *streamversion.Assignment, demands map[string]streamversion.Demand, now time.Time) {
	if a.Lost && s.peerHasAssignment(now) {
		return
	}
	next, changed := a.Plan(demands, s.progress(a, now), now)
	if !changed && (!s.stored.current || s.stored.serial >= a.Serial && a.Era >= s.objectStore.Era()) {
		return
	}
	if !s.stored.current {
		s.read(ctx)
	}
	if s.stored.current && s.get() == a {
		s.write(ctx, next)
	}
}

// peerHasAssignment reports whether a reachable daemon has adopted an assignment that is not lost. It is
// about to arrive here.
func (s *streamVersions) peerHasAssignment(now time.Time) bool {
	for _, peer := range s.members.Reachable(now) {
		if peer.StreamAssignment > 1 {
			return true
		}
	}
	return false
}

// shouldAssign reports whether this daemon is the first one by name among the reachable daemons that
// follow the store. Daemons of an earlier release, which know no assignments, do not count.
// Conditional writes keep several such daemons apart.
func (s *streamVersions) shouldAssign(now time.Time) bool {
	if s.state.storeUnavailable() || s.draining.Load() {
		return false
	}
	justStarted := now.Sub(s.state.started) < justStartedFor
	for _, peer := range s.members.Reachable(now) {
		mayAssign := peer.FollowsStore && !peer.Draining && !peer.StoreFailing && (justStarted || peer.StreamAssignment > 0)
		if mayAssign && peer.VM < s.settings.VM.ID {
			return false
		}
	}
	return true
}

// read reads the assignment from the store.
func (s *streamVersions) read(ctx context.Context) {
	begun := steady.Now()
	object, err := s.objectStore.Get(ctx, assignmentKind, assignmentName)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		s.fail("failed to read the assignment of streams to versions", err)
		return
	}
	a := s.fromStore(object, err == nil)
	s.stored.current, s.stored.revision, s.stored.serial = true, object.Revision, a.Serial
	s.adopt(a, sourceStore)
	s.confirmAsOf(a.Serial, begun)
}

// fromStore returns the assignment in the store. If it is lost, nothing of it is used unless this daemon
// has adopted it before.
func (s *streamVersions) fromStore(object store.Object, found bool) *streamversion.Assignment {
	if !found {
		return &streamversion.Assignment{Lost: s.ranBefore.Load() || !s.registered.Load() || s.objectStore.Era() > 0}
	}
	a, err := streamversion.DecodeStored(object.Spec)
	if err != nil {
		s.logger.Error("failed to decode the assignment of streams to versions", "revision", object.Revision, "error", err)
		s.badObjects.record(&store.BadObject{Kind: assignmentKind, Name: assignmentName, Fault: store.FaultUnreadable}, time.Now())
		return streamversion.Lost()
	}
	if known := s.get(); a.Era < s.objectStore.Era() && (known == nil || known.Lost) {
		return streamversion.Lost()
	}
	return a
}

// confirmAsOf records that the store held the assignment of a serial after a time.
func (s *streamVersions) confirmAsOf(serial int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment != nil && s.assignment.Serial == serial {
		s.confirmation.Observe(serial, at)
	}
}

// write writes an assignment to the store, and puts it in force if the store has taken it.
func (s *streamVersions) write(ctx context.Context, a *streamversion.Assignment) {
	var object store.Object
	var err error
	begun := steady.Now()
	a.Era = s.objectStore.Era()
	if s.stored.revision == 0 {
		object, err = s.objectStore.Create(ctx, assignmentKind, assignmentName, a)
	} else {
		object, err = s.objectStore.Replace(ctx, assignmentKind, assignmentName, s.stored.revision, a)
	}
	if err != nil {
		// Another daemon may have written, or the answer was lost.
		s.stored.current = false
		s.fail("failed to write the assignment of streams to versions", err)
		return
	}
	s.stored.revision, s.stored.serial = object.Revision, a.Serial
	s.adopt(a, "own write")
	s.confirmAsOf(a.Serial, begun)
}

func (s *streamVersions) fail(message string, err error) {
	s.stored.failedAt = time.Now()
	s.logger.Warn(message, "error", err)
}

// demands returns what the assignment has to follow, for the services with resumable streams.
func (s *streamVersions) demands(now time.Time) map[string]streamversion.Demand {
	c := s.state.Catalog()
	if c == nil || !s.state.view.ListReceived() {
		return nil
	}
	demands := map[string]streamversion.Demand{}
	for service := range c.ResumableServices() {
		demands[service] = streamversion.Demand{Capacity: map[string]streamversion.Capacity{}, Trial: s.trial(service, now)}
	}
	for _, v := range s.state.view.VersionCapacities(now) {
		if demand, found := demands[v.Service]; found {
			demand.Capacity[v.Version] = streamversion.Capacity{Slots: v.Slots, Leaving: v.Leaving}
		}
	}
	return demands
}

// trial returns the trial of a service's roll-out.
func (s *streamVersions) trial(service string, now time.Time) streamversion.Trial {
	if !s.rollOuts.Enabled() {
		return streamversion.Trial{}
	}
	version, moved, shared := s.rollOuts.StreamTrial(service, now)
	return streamversion.Trial{Version: version, Moved: moved, Shared: shared}
}

// needsConfirmation reports whether this daemon, which follows the store, should read the assignment
// to learn whether it is still the newest one.
func (s *streamVersions) needsConfirmation(assigns bool) bool {
	maxAge := followingReadAge
	if assigns {
		maxAge = assigningReadAge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment == nil {
		return false
	}
	now := steady.Now()
	age, known := s.confirmation.Age(s.assignment.Serial, now)
	if !known {
		age = now.Sub(s.adoptedAt)
	}
	return age >= maxAge
}

// progress returns how far an assignment has spread.
func (s *streamVersions) progress(a *streamversion.Assignment, now time.Time) streamversion.Progress {
	s.mu.Lock()
	since := s.adoptedAt
	s.mu.Unlock()
	return streamversion.ProgressOf(s.adoptedByAll(a, now), since, steady.Now())
}

// adoptedByAll reports whether all daemons of the deployment have adopted an assignment. A daemon that
// has not read the list of daemons since its start does not know all of them.
func (s *streamVersions) adoptedByAll(a *streamversion.Assignment, now time.Time) bool {
	reach, complete := s.state.reach(now)
	return s.registered.Load() && complete && reach.Known > len(s.members.Known(now)) && reach.StreamAssignment > a.Serial
}
