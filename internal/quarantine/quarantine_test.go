package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

const settleDelay = 400 * time.Millisecond

// at returns a time of a test.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// exitServer lets a server end under some requests, each sent a tenth of a second before.
func exitServer(q *Quarantine, server ServerInstance, seconds float64, contents ...Digest) {
	var lost []LostRequest
	for _, content := range contents {
		lost = append(lost, LostRequest{Digest: content, SentAt: at(seconds - 0.1)})
	}
	q.RecordExit(server, lost, at(seconds), at(seconds))
}

// blockedAfterSettling returns what is held back after all that is known has settled.
func blockedAfterSettling(q *Quarantine, seconds float64) []Digest {
	q.Evaluate(at(seconds), settleDelay)
	held, _ := q.Evaluate(at(seconds).Add(settleDelay), settleDelay)
	var contents []Digest
	for _, v := range held {
		contents = append(contents, v.Digest)
	}
	return contents
}

// TestThreeServersInARow: a request is held back when it was sent three times and each time
// its server ended, and not before others had the time to tell what they know.
func TestThreeServersInARow(t *testing.T) {
	c := qt.New(t)
	q := New()
	exitServer(q, 1, 1, 7)
	exitServer(q, 2, 2, 7)
	c.Check(blockedAfterSettling(q, 2), qt.HasLen, 0)
	exitServer(q, 3, 3, 7)
	held, again := q.Evaluate(at(3), settleDelay)
	c.Check(held, qt.HasLen, 0)
	c.Check(again, qt.Equals, settleDelay)
	c.Check(q.Blocked(7, at(3)), qt.IsFalse)
	c.Check(q.Suspected(7), qt.IsTrue)
	c.Check(blockedAfterSettling(q, 3.1), qt.DeepEquals, []Digest{7})
	c.Check(q.Blocked(7, at(4)), qt.IsTrue)
	c.Check(q.Blocked(8, at(4)), qt.IsFalse)
	c.Check(q.Blocked(7, at(5).Add(blockDuration)), qt.IsFalse)
}

// TestCopiesAtOnceCountOnce: many callers ask the same when a rack is lost, and again when
// the next one is.
func TestCopiesAtOnceCountOnce(t *testing.T) {
	c := qt.New(t)
	q := New()
	for server := range ServerInstance(10) {
		exitServer(q, server, 1+float64(server)/200, 7)
	}
	for server := range ServerInstance(10) {
		exitServer(q, 20+server, 5+float64(server)/200, 7)
	}
	c.Check(blockedAfterSettling(q, 6), qt.HasLen, 0)
}

// TestAnsweredRequestIsNeverTheCause: at whichever daemon, before or after servers ended.
func TestAnsweredRequestIsNeverTheCause(t *testing.T) {
	for name, answered := range map[string]float64{"before": 0.5, "between": 2.5, "after": 3.2} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q, other := New(), New()
			other.RecordAnswer(7, at(answered))
			for i := range 3 {
				exitServer(q, ServerInstance(i), float64(i+1), 7)
			}
			q.Evaluate(at(3), settleDelay)
			// What the other daemon hears makes it tell what it knows.
			other.Merge(q.Reports(at(3.3)), 0, at(3.3))
			q.Merge(other.Reports(at(3.3)), 0, at(3.3))
			c.Check(blockedAfterSettling(q, 3.5), qt.HasLen, 0)
			c.Check(blockedAfterSettling(other, 3.5), qt.HasLen, 0)
		})
	}
}

// TestAnswerUnblocksRequest: everywhere, and for good.
func TestAnswerUnblocksRequest(t *testing.T) {
	c := qt.New(t)
	q, other := New(), New()
	for i := range 3 {
		exitServer(q, ServerInstance(i), float64(i+1), 7)
	}
	c.Check(blockedAfterSettling(q, 3), qt.HasLen, 1)
	other.Merge(q.Reports(at(4)), 0, at(4))
	c.Check(other.Blocked(7, at(4)), qt.IsTrue)
	// One that was under way ends well.
	c.Check(other.RecordAnswer(7, at(5)), qt.IsTrue)
	q.Merge(other.Reports(at(5)), 0, at(5))
	other.Merge(q.Reports(at(5)), 0, at(5))
	for _, each := range []*Quarantine{q, other} {
		c.Check(each.Blocked(7, at(5.1)), qt.IsFalse)
		c.Check(each.Blocked(7, at(6).Add(answerTrustDuration)), qt.IsFalse)
	}
}

// TestWhoWasThereIsNotHeldBack: requests whose servers ended under another one, with the two
// attempts of each of two calls.
func TestWhoWasThereIsNotHeldBack(t *testing.T) {
	c := qt.New(t)
	q := New()
	exitServer(q, 1, 1.0, 7, 20, 21, 22)
	exitServer(q, 2, 1.2, 7, 20, 23)
	exitServer(q, 3, 1.4, 7, 20, 21)
	// The cause and one that met the same three cannot be told apart yet.
	c.Check(blockedAfterSettling(q, 1.5), qt.HasLen, 0)
	c.Check(q.Suspected(7) && q.Suspected(20), qt.IsTrue)
	c.Check(q.Suspected(21), qt.IsFalse)
	exitServer(q, 4, 2.0, 7, 21, 30)
	exitServer(q, 5, 2.3, 7, 21, 20)
	c.Check(blockedAfterSettling(q, 2.4), qt.DeepEquals, []Digest{7})
	for _, innocent := range []Digest{20, 21, 22, 23, 30} {
		c.Check(q.Blocked(innocent, at(3)) || q.Suspected(innocent), qt.IsFalse)
	}
	c.Check(blockedAfterSettling(q, 4), qt.HasLen, 0)
}

// TestUnrelatedExitsRaiseThreshold: where as many servers end without the request, one more is needed.
func TestUnrelatedExitsRaiseThreshold(t *testing.T) {
	c := qt.New(t)
	q := New()
	for i := range 3 {
		exitServer(q, ServerInstance(i), float64(i+1), 7)
		exitServer(q, ServerInstance(10+i), float64(i+1)-0.3, Digest(50+i))
		exitServer(q, ServerInstance(20+i), float64(i+1)-0.5, Digest(60+i))
	}
	c.Check(blockedAfterSettling(q, 3), qt.HasLen, 0)
	exitServer(q, 4, 4, 7)
	c.Check(blockedAfterSettling(q, 4), qt.DeepEquals, []Digest{7})
}

// TestWordsAddUp: three daemons that saw one server each agree, in whichever order they hear
// of each other and however often.
func TestWordsAddUp(t *testing.T) {
	c := qt.New(t)
	daemons := []*Quarantine{New(), New(), New()}
	for i, q := range daemons {
		exitServer(q, ServerInstance(i), float64(i+1), 7, Digest(100+i))
	}
	for round := range 3 {
		now := at(3 + float64(round)/5)
		for i := range daemons {
			from, to := daemons[(i+round)%3], daemons[(i+1)%3]
			to.Merge(from.Reports(now), 0, now)
			to.Merge(from.Reports(now), 0, now)
		}
	}
	for _, q := range daemons {
		c.Check(blockedAfterSettling(q, 4), qt.DeepEquals, []Digest{7})
	}
}

// TestInvalidReportsAreBounded: whatever stands in the store in place of a daemon's words, nothing is
// yet to come, and few words are taken at once.
func TestInvalidReportsAreBounded(t *testing.T) {
	c := qt.New(t)
	q := New()
	var words []Report
	for i := range 1000 {
		words = append(words, Report{Digest: Digest(i), Exits: []ServerExit{{Server: ServerInstance(i), Age: -time.Hour, SentBefore: -time.Hour}}, Answered: true, AnsweredAge: -time.Hour})
	}
	q.Merge(words, 0, at(1))
	c.Check(len(q.records) <= maxReports, qt.IsTrue)
	for _, ended := range q.exitedAt {
		c.Check(ended, qt.Equals, at(1))
	}
	for _, r := range q.records {
		c.Check(r.answeredAt.After(at(1)), qt.IsFalse)
	}
}

// TestMemoryOutlivesAllDaemons: what is held back stays so, and what two servers have ended
// under needs one more, though nobody is left who saw it.
func TestMemoryOutlivesAllDaemons(t *testing.T) {
	c := qt.New(t)
	q := New()
	for i := range 3 {
		exitServer(q, ServerInstance(i), float64(i+1), 7)
	}
	c.Check(blockedAfterSettling(q, 3), qt.HasLen, 1)
	exitServer(q, 10, 5, 8, 30)
	exitServer(q, 11, 6, 8, 31)
	kept := q.Snapshot(at(7))
	started := New()
	started.Merge(kept, 2*time.Second, at(9))
	c.Check(started.Blocked(7, at(9)), qt.IsTrue)
	exitServer(started, 12, 10, 8)
	c.Check(blockedAfterSettling(started, 10), qt.DeepEquals, []Digest{8})
	c.Check(started.records[30], qt.IsNil)
}

// TestLostRacksAreBounded: however many servers end and requests are lost, what is kept and
// told stays small, and a request that ends servers is found among them.
func TestLostRacksAreBounded(t *testing.T) {
	c := qt.New(t)
	q := New()
	for server := range ServerInstance(2000) {
		var lost []Digest
		for i := range 20 {
			lost = append(lost, Digest(1000+int(server)*20+i))
		}
		exitServer(q, 1000+server, 1+float64(server)/1000, lost...)
	}
	for i := range 5 {
		exitServer(q, ServerInstance(i), 4+float64(i)/2, 7)
	}
	c.Check(len(q.records) <= maxRecords, qt.IsTrue)
	c.Check(len(q.exitedAt) <= maxExitedServers, qt.IsTrue)
	words := q.Reports(at(7))
	servers := 0
	for _, w := range words {
		servers += len(w.Exits)
	}
	c.Check(len(words) <= maxReports && servers <= maxReportedExits, qt.IsTrue)
	c.Check(words[0].Digest, qt.Equals, Digest(7))
	c.Check(blockedAfterSettling(q, 7), qt.DeepEquals, []Digest{7})
}
