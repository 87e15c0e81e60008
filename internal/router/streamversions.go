package router

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plankridge/plankridge/internal/forward"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
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

// streamVersions holds the assignment of resumable streams to the versions of their service. It
// implements forward.StreamVersions.
type streamVersions struct {
	*Router

	mu sync.Mutex
	// assignment is the newest assignment known, or nil before it has been read. adoptedAt is when it
	// was adopted, and confirmation the last time at which it is known to have been the newest one.
	// Both are times of the steady clock.
	assignment   *streamversion.Assignment
	adoptedAt    time.Time
	confirmation streamversion.Confirmation
	// loaded is closed when the assignment is first known.
	loaded chan struct{}
	// begun holds the versions of streams that have begun lately.
	begun *streamversion.Begun
	// wasUnconfirmed is set if the assignment was not confirmed at the last report.
	wasUnconfirmed atomic.Bool

	// stored is what this daemon knows of the object in the store. Only maintain uses it.
	stored storedAssignment
}

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

func newStreamVersions(r *Router) *streamVersions {
	s := &streamVersions{Router: r, loaded: make(chan struct{}), begun: streamversion.NewBegun()}
	s.wasUnconfirmed.Store(true)
	return s
}

// get returns the newest assignment known, or nil.
func (s *streamVersions) get() *streamversion.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment
}

// maxConfirmationAgeMs bounds the age that a peer reports, in milliseconds.
const maxConfirmationAgeMs = int64(time.Hour / time.Millisecond)

// adopted returns one more than the serial of the assignment that this daemon has adopted, or zero.
func (s *streamVersions) adopted() int64 {
	if a := s.get(); a != nil {
		return a.Serial + 1
	}
	return 0
}

// confirmed returns the newest assignment known, and whether streams may be resumed as it says. The
// clock is read last: a daemon that is paused in between finds its assignment expired.
func (s *streamVersions) confirmed() (*streamversion.Assignment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment, s.assignment != nil && s.confirmation.Valid(s.assignment.Serial, steady.Now())
}

// adoptedWithAge returns one more than the serial of the assignment that this daemon has adopted, or
// zero, and the time in milliseconds since it was last known to be the newest one, or zero.
func (s *streamVersions) adoptedWithAge() (adopted, ageMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment == nil {
		return 0, 0
	}
	age, known := s.confirmation.Age(s.assignment.Serial, steady.Now())
	if !known {
		return s.assignment.Serial + 1, 0
	}
	return s.assignment.Serial + 1, max(1, age.Milliseconds()+1)
}

// confirm evaluates what a peer's report, which it cannot have written before a time, says of the
// newest assignment.
func (s *streamVersions) confirm(status *gossippb.Status, notBefore time.Time) {
	if notBefore.IsZero() || status.GetStreamAssignmentAgeMs() <= 0 {
		return
	}
	age := time.Duration(min(status.GetStreamAssignmentAgeMs(), maxConfirmationAgeMs)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment != nil && status.GetStreamAssignment() == s.assignment.Serial+1 {
		s.confirmation.Observe(s.assignment.Serial, notBefore.Add(-age))
	}
}

// adopt puts an assignment in force if it is newer than the current one.
func (s *streamVersions) adopt(a *streamversion.Assignment, source string) {
	s.mu.Lock()
	before := s.assignment
	if before != nil && a.Serial <= before.Serial {
		s.mu.Unlock()
		return
	}
	s.assignment, s.adoptedAt = a, steady.Now()
	if before != nil {
		s.confirmation.Observe(a.Serial, time.Time{})
	}
	if before == nil {
		close(s.loaded)
	}
	s.mu.Unlock()
	s.logger.Info("assignment of streams to versions in force", "serial", a.Serial, "source", source, "buckets", a.Summary())
	s.node.TriggerReport()
}

// Draw implements forward.StreamVersions.
func (s *streamVersions) Draw(streamID string) float64 { return streamversion.Draw(streamID) }

// Sources of a stream's version, for logs.
const (
	fromAssignment  = "assignment"
	fromOnlyVersion = "only version"
	fromReport      = "report of the daemon that began it"
)

// Begin implements forward.StreamVersions.
func (s *streamVersions) Begin(service, streamID string, candidate bool) (forward.StreamVersion, error) {
	a := s.get()
	if a == nil {
		return forward.StreamVersion{}, streamversion.ErrNotLoaded
	}
	bucket, found := a.Bucket(service, streamID)
	if !found {
		return forward.StreamVersion{}, streamversion.ErrUnassigned
	}
	candidateVersion := s.candidateVersion(service)
	if candidate && candidateVersion != "" && bucket.Allows(candidateVersion) {
		return forward.StreamVersion{Version: candidateVersion, Candidate: true, Source: fromAssignment}, nil
	}
	return forward.StreamVersion{Version: bucket.Version, Candidate: bucket.Version == candidateVersion, Source: fromAssignment}, nil
}

// Resume implements forward.StreamVersions.
func (s *streamVersions) Resume(service, streamID string, begunAfter time.Time) (forward.StreamVersion, error) {
	a, confirmed := s.confirmed()
	if a == nil {
		return forward.StreamVersion{}, streamversion.ErrNotLoaded
	}
	bucket, found := a.Bucket(service, streamID)
	switch {
	case !found:
		return forward.StreamVersion{}, streamversion.ErrUnassigned
	case !confirmed:
		return s.resumeReported(service, streamID, streamversion.ErrUnconfirmed)
	case streamID == "":
		// The caller does not tell which stream it takes up.
		versions := a.Services[service].Versions(begunAfter)
		if len(versions) > 1 {
			return forward.StreamVersion{}, streamversion.ErrAmbiguous
		}
		return forward.StreamVersion{Version: versions[0], Source: fromOnlyVersion}, nil
	}
	version, err := bucket.Began(begunAfter)
	if err != nil {
		return s.resumeReported(service, streamID, err)
	}
	if s.begun.Contradicts(service, streamID, version, time.Now()) {
		return forward.StreamVersion{}, streamversion.ErrAmbiguous
	}
	return forward.StreamVersion{Version: version, Candidate: version == s.candidateVersion(service), Source: fromAssignment}, nil
}

// resumeReported returns the version of a stream that the assignment does not tell, for the given
// reason, if this daemon or one that has reported it began the stream.
func (s *streamVersions) resumeReported(service, streamID string, reason error) (forward.StreamVersion, error) {
	version, found := s.begun.Version(service, streamID, time.Now())
	if !found {
		return forward.StreamVersion{}, reason
	}
	return forward.StreamVersion{Version: version, Candidate: version == s.candidateVersion(service), Source: fromReport}, nil
}

// Began implements forward.StreamVersions.
func (s *streamVersions) Began(service, streamID, version string) {
	if s.begun.Record(service, streamID, version, time.Now()) {
		s.logger.Info("version of a stream is not known any more", "service", service, "stream", streamID, "version", version)
		s.node.TriggerReport()
	}
}

// report returns the streams for this daemon's report of a sequence number. Other statuses, whose
// sequence number is zero, contain none.
func (s *streamVersions) report(sequence uint64, now time.Time) []*gossippb.BegunStreams {
	a, confirmed := s.confirmed()
	if a == nil || sequence == 0 {
		return nil
	}
	s.recordConfirmed(a, confirmed)
	// While the assignment is not confirmed, only reports tell the version of a stream.
	undetermined := a.UndeterminedBuckets(now)
	if !confirmed {
		undetermined = a.AllBuckets()
	}
	var encoded []*gossippb.BegunStreams
	for _, r := range s.begun.Report(undetermined, sequence, now) {
		begun := &gossippb.BegunStreams{Service: r.Service, Version: r.Version}
		for _, key := range r.Streams {
			begun.Streams = append(begun.Streams, uint64(key))
		}
		encoded = append(encoded, begun)
	}
	return encoded
}

// recordConfirmed records whether the assignment is confirmed. What was reported while it was not may
// have reached nobody.
func (s *streamVersions) recordConfirmed(a *streamversion.Assignment, confirmed bool) {
	switch wasUnconfirmed := s.wasUnconfirmed.Swap(!confirmed); {
	case !wasUnconfirmed && !confirmed:
		s.logger.Warn("assignment of streams to versions may be outdated, only reported streams are resumed", "serial", a.Serial)
	case wasUnconfirmed && confirmed:
		s.begun.ReportAgain()
		s.logger.Info("assignment of streams to versions is confirmed", "serial", a.Serial)
	}
}

// mergeReport adds the streams that a peer reports. Relays pass on those of their zone.
func (s *streamVersions) mergeReport(status *gossippb.Status, now time.Time) {
	if len(status.GetBegun()) == 0 {
		return
	}
	var reports []streamversion.Report
	for _, begun := range status.GetBegun() {
		r := streamversion.Report{Service: begun.GetService(), Version: begun.GetVersion()}
		for _, key := range begun.GetStreams() {
			r.Streams = append(r.Streams, streamversion.Key(key))
		}
		reports = append(reports, r)
	}
	forward := status.GetOwn() != nil && status.GetZone() == s.settings.VM.Zone && s.plan(now).Relay
	s.begun.Merge(reports, forward, now)
}

// MayBegin implements forward.StreamVersions.
func (s *streamVersions) MayBegin(service, streamID, version string, now time.Time) bool {
	a := s.get()
	if a == nil {
		return false
	}
	bucket, found := a.Bucket(service, streamID)
	return found && bucket.MayHaveBegunAt(version, now)
}

// candidateVersion returns the candidate of the service's roll-out, or empty.
func (s *streamVersions) candidateVersion(service string) string {
	if !s.rollOuts.Enabled() {
		return ""
	}
	return s.rollOuts.Versions(time.Now())[service].Candidate
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

// packed returns the assignment for a peer that has adopted an earlier one, or nil.
func (s *streamVersions) packed(peerAdopted int64) []byte {
	a := s.get()
	if a == nil || a.Serial+1 <= peerAdopted {
		return nil
	}
	raw, err := json.Marshal(a)
	if err != nil {
		s.logger.Error("failed to encode the assignment of streams to versions", "error", err)
		return nil
	}
	return pack(raw)
}

// applyPacked applies the assignment that a peer has sent.
func (s *streamVersions) applyPacked(reply *gossippb.PullReply) {
	if len(reply.GetPackedStreamAssignment()) == 0 {
		return
	}
	var a *streamversion.Assignment
	raw, err := unpack(reply.GetPackedStreamAssignment())
	if err == nil {
		a, err = streamversion.Decode(raw)
	}
	if err != nil {
		s.logger.Error("failed to decode the assignment of streams to versions from peer", "error", err, "from", reply.GetVm())
		return
	}
	s.adopt(a, reply.GetVm())
}
