package router

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/steady"
	"github.com/plankridge/plankridge/internal/streamversion"
)

// assigned returns an assignment of a serial that assigns all streams of a service to one version.
func assigned(serial int64, service, version string) *streamversion.Assignment {
	buckets := make([]streamversion.Bucket, streamversion.BucketCount)
	for i := range buckets {
		buckets[i].Version = version
	}
	return &streamversion.Assignment{Serial: serial, Services: map[string]streamversion.Service{service: {Buckets: buckets}}}
}

// withAssignment runs a test of a router that has adopted an assignment of the service llm to v1.
func withAssignment(t *testing.T, test func(c *qt.C, s *streamVersions)) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestRouter(t).state.streamVersions
		s.adopt(assigned(3, "llm", "v1"), "test")
		test(qt.New(t), s)
	})
}

func TestPausedDaemonResumesOnlyStreamsThatItKnows(t *testing.T) {
	withAssignment(t, func(c *qt.C, s *streamVersions) {
		s.confirmAsOf(3, steady.Now())
		s.Began("llm", "own", "v1")
		got, err := s.Resume("llm", "other", time.Now().Add(-time.Minute))
		c.Assert(err, qt.IsNil)
		c.Check(got.Version, qt.Equals, "v1")
		time.Sleep(streamversion.ConfirmationBound + time.Second)
		_, err = s.Resume("llm", "other", time.Now().Add(-time.Minute))
		c.Check(err, qt.ErrorIs, streamversion.ErrUnconfirmed)
		_, err = s.Resume("llm", "", time.Now().Add(-time.Minute))
		c.Check(err, qt.ErrorIs, streamversion.ErrUnconfirmed)
		got, err = s.Resume("llm", "own", time.Now().Add(-time.Minute))
		c.Assert(err, qt.IsNil)
		c.Check(got.Version, qt.Equals, "v1")
	})
}

func TestOnlyAnAnswerToAReportConfirmsTheAssignment(t *testing.T) {
	withAssignment(t, func(c *qt.C, s *streamVersions) {
		resumes := func() bool {
			_, err := s.Resume("llm", "other", time.Now())
			return err == nil
		}
		sent := steady.Now()
		s.confirm(&gossippb.Status{StreamAssignment: 4, StreamAssignmentAgeMs: 1}, time.Time{})
		c.Check(resumes(), qt.IsFalse, qt.Commentf("it may have been written at any time"))
		s.confirm(&gossippb.Status{StreamAssignment: 3, StreamAssignmentAgeMs: 1}, sent)
		c.Check(resumes(), qt.IsFalse, qt.Commentf("the peer has an earlier assignment"))
		s.confirm(&gossippb.Status{StreamAssignment: 4}, sent)
		c.Check(resumes(), qt.IsFalse, qt.Commentf("the peer does not know the age"))
		s.confirm(&gossippb.Status{StreamAssignment: 4, StreamAssignmentAgeMs: streamversion.ConfirmationBound.Milliseconds() + 1}, sent)
		c.Check(resumes(), qt.IsFalse)
		s.confirm(&gossippb.Status{StreamAssignment: 4, StreamAssignmentAgeMs: 1}, sent)
		c.Check(resumes(), qt.IsTrue)
		adopted, ageMs := s.adoptedWithAge()
		c.Check(adopted, qt.Equals, int64(4))
		c.Check(ageMs > 0 && ageMs < 100, qt.IsTrue, qt.Commentf("%d", ageMs))
	})
}

// TestStreamThatIsSaidToHaveBegunElsewhereIsNotResumedByTheAssignment guards against a stream that goes on at
// the version of its bucket although this daemon, or a report, knows that it began at another one.
func TestStreamThatIsSaidToHaveBegunElsewhereIsNotResumedByTheAssignment(t *testing.T) {
	withAssignment(t, func(c *qt.C, s *streamVersions) {
		s.confirmAsOf(3, steady.Now())
		s.Began("llm", "own", "v2")
		s.mergeReport(&gossippb.Status{Begun: []*gossippb.BegunStreams{
			{Service: "llm", Version: "v2", Streams: []uint64{uint64(streamversion.KeyOf("reported"))}},
			{Service: "llm", Version: "v1", Streams: []uint64{uint64(streamversion.KeyOf("same"))}},
		}}, time.Now())
		s.Began("chat", "same", "v2")
		for _, id := range []string{"own", "reported"} {
			_, err := s.Resume("llm", id, time.Now())
			c.Check(err, qt.ErrorIs, streamversion.ErrAmbiguous, qt.Commentf(id))
		}
		for _, id := range []string{"same", "unknown"} {
			got, err := s.Resume("llm", id, time.Now())
			c.Assert(err, qt.IsNil, qt.Commentf(id))
			c.Check(got.Version, qt.Equals, "v1")
		}
	})
}

// TestRedirectsDoNotCountAsReportsOfStreams guards against begun streams that no relay has received, since
// daemons which report to the wrong one were redirected meanwhile.
func TestRedirectsDoNotCountAsReportsOfStreams(t *testing.T) {
	withAssignment(t, func(c *qt.C, s *streamVersions) {
		s.Began("llm", "own", "v1")
		for range 5 {
			redirect := &gossippb.Status{}
			s.state.FillStatus(redirect)
			c.Check(redirect.GetBegun(), qt.HasLen, 0)
		}
		for sequence := range uint64(2) {
			report := &gossippb.Status{Sequence: sequence + 1}
			s.state.FillStatus(report)
			c.Check(report.GetBegun(), qt.HasLen, 1, qt.Commentf("%d", sequence))
		}
	})
}

// TestLeaderThatKnowsFewDaemonsVouchesForNoAdoption guards against a move that counts as adopted by all
// although the leader of a zone has just started and does not know the daemons of its zone.
func TestLeaderThatKnowsFewDaemonsVouchesForNoAdoption(t *testing.T) {
	withAssignment(t, func(c *qt.C, s *streamVersions) {
		c.Check(s.state.zoneReach(time.Now()).StreamAssignment, qt.Equals, int64(0))
		s.registered.Store(true)
		c.Check(s.state.zoneReach(time.Now()).StreamAssignment, qt.Equals, int64(4))
		s.registered.Store(false)
		time.Sleep(reportedDaemonsFor)
		c.Check(s.state.zoneReach(time.Now()).StreamAssignment, qt.Equals, int64(4), qt.Commentf("a store that is away must not stop all moves"))
	})
}
