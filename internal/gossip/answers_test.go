package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// TestReportReadAfterAPauseIsNotTakenAsRecent guards against a daemon that was paused and takes a
// datagram that waited in its socket as written when it was read.
func TestReportReadAfterAPauseIsNotTakenAsRecent(t *testing.T) {
	c := qt.New(t)
	n := &Node{options: Options{Incarnation: 7}}
	sent := time.Unix(1000, 0)
	n.sentTimes.record(1, sent)
	n.sentTimes.record(2, sent.Add(time.Second))
	answer := &gossippb.Status{}
	answered{incarnation: 7, sequence: 1}.encode(answer)
	c.Check(n.notBefore(answer), qt.Equals, sent)
	answer.AnsweredIncarnation = 6
	c.Check(n.notBefore(answer).IsZero(), qt.IsTrue, qt.Commentf("an answer to the process before"))
	c.Check(n.notBefore(&gossippb.Status{AnsweredIncarnation: 7, AnsweredSequence: 99}).IsZero(), qt.IsTrue)
	c.Check(n.notBefore(&gossippb.Status{}).IsZero(), qt.IsTrue, qt.Commentf("a daemon of an earlier version answers nothing"))
}

func TestSentTimesAreBounded(t *testing.T) {
	c := qt.New(t)
	var times sentTimes
	for sequence := range uint64(10 * maxSentTimes) {
		times.record(sequence+1, time.Unix(int64(sequence), 0))
	}
	c.Check(len(times.at) <= maxSentTimes, qt.IsTrue)
	c.Check(times.get(10*maxSentTimes), qt.Equals, time.Unix(10*maxSentTimes-1, 0))
	c.Check(times.get(1).IsZero(), qt.IsTrue)
}

func TestAnswerNamesTheLastReportOfEachPeer(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Identity{VM: "vm-1"}, nil)
	now := time.Unix(1000, 0)
	m.recordReport(Peer{VM: "vm-2", Incarnation: 5}, 8, now)
	m.recordReport(Peer{VM: "vm-2", Incarnation: 6}, 2, now)
	m.Learn(Listed{VM: "vm-3"}, now)
	c.Check(m.answeredReports()["vm-2"], qt.Equals, answered{incarnation: 6, sequence: 2})
	_, found := m.answeredReports()["vm-3"]
	c.Check(found, qt.IsFalse)
}
