package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

func TestPeerCompactionIsAppliedOnce(t *testing.T) {
	c := qt.New(t)
	s := newTestRouter(t).state
	now := time.Now()
	report := func(ago time.Duration) *gossippb.Status {
		return &gossippb.Status{HistoryGoneMs: ago.Milliseconds()}
	}
	c.Check(s.recordPeerCompaction(report(0), now), qt.IsFalse, qt.Commentf("no compaction is reported"))
	c.Check(s.recordPeerCompaction(report(10*time.Millisecond), now), qt.IsTrue)
	c.Check(s.recordPeerCompaction(report(400*time.Millisecond), now.Add(500*time.Millisecond)), qt.IsFalse, qt.Commentf("same compaction, reported later"))
	c.Check(s.recordPeerCompaction(report(10*time.Millisecond), now.Add(time.Second)), qt.IsTrue, qt.Commentf("a later compaction"))
	c.Check(s.recordPeerCompaction(report(time.Hour), now.Add(2*time.Hour)), qt.IsFalse, qt.Commentf("too long ago"))
}

func TestOnlyDetectedCompactionIsReported(t *testing.T) {
	c := qt.New(t)
	s := newTestRouter(t).state
	now := time.Now()
	c.Check(s.compactionAgeMs(now), qt.Equals, int64(0))
	c.Check(s.recordPeerCompaction(&gossippb.Status{HistoryGoneMs: 1}, now), qt.IsTrue)
	c.Check(s.compactionAgeMs(now), qt.Equals, int64(0), qt.Commentf("another daemon detected it"))
	s.recordCompaction(now.Add(time.Second))
	c.Check(s.compactionAgeMs(now.Add(1100*time.Millisecond)), qt.Equals, int64(100))
	c.Check(s.compactionAgeMs(now.Add(time.Second+compactionReportedFor)), qt.Equals, int64(0))
}
