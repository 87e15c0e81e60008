package router

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plankridge/plankridge/internal/forward"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/steady"
	"github.com/plankridge/plankridge/internal/streamversion"
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
