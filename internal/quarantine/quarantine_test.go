package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

const settleDelay = 400 * time.Millisecond

// at returns the time that many seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// content is the fingerprint of a request without parts of a prompt.
func content(digest Digest) Fingerprint { return Fingerprint{Content: digest} }

// isBlocked reports whether a request without parts of a prompt is blocked.
func isBlocked(q *Quarantine, digest Digest, now time.Time) bool {
	_, blocked := q.Blocked(content(digest), now)
	return blocked
}

// exitServer records the exit of a server under requests that were each sent 0.1 s before.
func exitServer(q *Quarantine, server ServerInstance, seconds float64, digests ...Digest) {
	var lost []LostRequest
	for _, digest := range digests {
		lost = append(lost, LostRequest{Fingerprint: content(digest), SentAt: at(seconds - 0.1)})
	}
	q.RecordExit(server, lost, at(seconds), at(seconds))
}

// blockedAfterSettling evaluates twice, settleDelay apart, and returns the digests blocked
// then.
func blockedAfterSettling(q *Quarantine, seconds float64) []Digest {
	q.Evaluate(at(seconds), settleDelay)
	blocked, _ := q.Evaluate(at(seconds).Add(settleDelay), settleDelay)
	var digests []Digest
	for _, verdict := range blocked {
		digests = append(digests, verdict.Digest)
	}
	return digests
}

// TestThreeServersInARow checks that a request is blocked after three consecutive sends that
// each ended with the exit of the server, but not before the settle time for other daemons'
// reports.
func TestThreeServersInARow(t *testing.T) {
	c := qt.New(t)
	q := New()
	exitServer(q, 1, 1, 7)
	exitServer(q, 2, 2, 7)
	c.Check(blockedAfterSettling(q, 2), qt.HasLen, 0)
	exitServer(q, 3, 3, 7)
	blocked, retryIn := q.Evaluate(at(3), settleDelay)
	c.Check(blocked, qt.HasLen, 0)
	c.Check(retryIn, qt.Equals, settleDelay)
	c.Check(isBlocked(q, 7, at(3)), qt.IsFalse)
	c.Check(q.Suspected(content(7)), qt.IsTrue)
	c.Check(blockedAfterSettling(q, 3.1), qt.DeepEquals, []Digest{7})
	c.Check(isBlocked(q, 7, at(4)), qt.IsTrue)
	c.Check(isBlocked(q, 8, at(4)), qt.IsFalse)
	c.Check(isBlocked(q, 7, at(5).Add(blockDuration)), qt.IsFalse)
}

// TestCopiesAtOnceCountOnce guards against blocking a request that many callers send at once,
// when one rack is lost and then another. Concurrent copies count as one send.
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

// TestAnsweredRequestIsNeverTheCause checks that a request answered at any daemon is not
// blocked, whether the answer came before, between or after the exits.
func TestAnsweredRequestIsNeverTheCause(t *testing.T) {
	for name, answered := range map[string]float64{"before": 0.5, "between": 2.5, "after": 3.2} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q, other := New(), New()
			other.RecordAnswer(content(7), true, at(answered))
			for i := range 3 {
				exitServer(q, ServerInstance(i), float64(i+1), 7)
			}
			q.Evaluate(at(3), settleDelay)
			// The reports from q make the other daemon send its answer.
			other.Merge(q.Reports(at(3.3)), 0, at(3.3))
			q.Merge(other.Reports(at(3.3)), 0, at(3.3))
			c.Check(blockedAfterSettling(q, 3.5), qt.HasLen, 0)
			c.Check(blockedAfterSettling(other, 3.5), qt.HasLen, 0)
		})
	}
}

// TestAnswerUnblocksRequest checks that an answer to a blocked request unblocks it for good at
// all daemons.
func TestAnswerUnblocksRequest(t *testing.T) {
	c := qt.New(t)
	q, other := New(), New()
	for i := range 3 {
		exitServer(q, ServerInstance(i), float64(i+1), 7)
	}
	c.Check(blockedAfterSettling(q, 3), qt.HasLen, 1)
	other.Merge(q.Reports(at(4)), 0, at(4))
	c.Check(isBlocked(other, 7, at(4)), qt.IsTrue)
	// A copy that was in flight before the block completes.
	c.Check(other.RecordAnswer(content(7), true, at(5)), qt.IsTrue)
	q.Merge(other.Reports(at(5)), 0, at(5))
	other.Merge(q.Reports(at(5)), 0, at(5))
	for _, each := range []*Quarantine{q, other} {
		c.Check(isBlocked(each, 7, at(5.1)), qt.IsFalse)
		c.Check(isBlocked(each, 7, at(6).Add(answerTrustDuration)), qt.IsFalse)
	}
}

// TestWhoWasThereIsNotHeldBack guards against blocking harmless requests whose servers exited
// under a poison request. Two of them lose four servers, by the two attempts of each of two
// calls.
func TestWhoWasThereIsNotHeldBack(t *testing.T) {
	c := qt.New(t)
	q := New()
	exitServer(q, 1, 1.0, 7, 20, 21, 22)
	exitServer(q, 2, 1.2, 7, 20, 23)
	exitServer(q, 3, 1.4, 7, 20, 21)
	// The poison request and one that lost the same three servers cannot be distinguished yet.
	c.Check(blockedAfterSettling(q, 1.5), qt.HasLen, 0)
	c.Check(q.Suspected(content(7)) && q.Suspected(content(20)), qt.IsTrue)
	c.Check(q.Suspected(content(21)), qt.IsFalse)
	exitServer(q, 4, 2.0, 7, 21, 30)
	exitServer(q, 5, 2.3, 7, 21, 20)
	c.Check(blockedAfterSettling(q, 2.4), qt.DeepEquals, []Digest{7})
	for _, harmless := range []Digest{20, 21, 22, 23, 30} {
		c.Check(isBlocked(q, harmless, at(3)) || q.Suspected(content(harmless)), qt.IsFalse)
	}
	c.Check(blockedAfterSettling(q, 4), qt.HasLen, 0)
}

// TestUnrelatedExitsRaiseThreshold checks that a request needs one more exit where as many
// servers exit without it.
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

// TestWordsAddUp checks that three daemons that each saw one exit reach the same result,
// whatever the order of the reports and however often they are merged.
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

// TestInvalidReportsAreBounded guards against reports from other writers of the store object:
// negative ages do not put events into the future, and only maxReports reports are merged at
// once.
func TestInvalidReportsAreBounded(t *testing.T) {
	c := qt.New(t)
	q := New()
	var reports []Report
	for i := range 1000 {
		reports = append(reports, Report{Digest: Digest(i), Exits: []ServerExit{{Server: ServerInstance(i), Age: -time.Hour, SentBefore: -time.Hour}}, Answered: true, AnsweredAge: -time.Hour})
	}
	q.Merge(reports, 0, at(1))
	c.Check(len(q.records) <= maxReports, qt.IsTrue)
	for _, exitedAt := range q.exitedAt {
		c.Check(exitedAt, qt.Equals, at(1))
	}
	for _, r := range q.records {
		c.Check(r.answeredAt.After(at(1)), qt.IsFalse)
	}
}

// TestMemoryOutlivesAllDaemons checks that a daemon that starts from the snapshot alone keeps
// blocks, and needs only one more exit for a request that lost two servers before.
func TestMemoryOutlivesAllDaemons(t *testing.T) {
	c := qt.New(t)
	q := New()
	for i := range 3 {
		exitServer(q, ServerInstance(i), float64(i+1), 7)
	}
	c.Check(blockedAfterSettling(q, 3), qt.HasLen, 1)
	exitServer(q, 10, 5, 8, 30)
	exitServer(q, 11, 6, 8, 31)
	snapshot := q.Snapshot(at(7))
	restarted := New()
	restarted.Merge(snapshot, 2*time.Second, at(9))
	c.Check(isBlocked(restarted, 7, at(9)), qt.IsTrue)
	exitServer(restarted, 12, 10, 8)
	c.Check(blockedAfterSettling(restarted, 10), qt.DeepEquals, []Digest{8})
	c.Check(restarted.records[30], qt.IsNil)
}

// TestLostRacksAreBounded checks that stored and reported data stay within their limits however
// many servers exit, and that a poison request is still found among the lost ones.
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
	reports := q.Reports(at(7))
	servers := 0
	for _, w := range reports {
		servers += len(w.Exits)
	}
	c.Check(len(reports) <= maxReports && servers <= maxReportedExits, qt.IsTrue)
	c.Check(reports[0].Digest, qt.Equals, Digest(7))
	c.Check(blockedAfterSettling(q, 7), qt.DeepEquals, []Digest{7})
}

// requestWith returns the fingerprint of a request that no other is like, with parts of a prompt.
func requestWith(request Digest, parts ...Digest) Fingerprint {
	return Fingerprint{Content: 10000 + request, Parts: parts}
}

// exitUnder records the exit of a server under requests with parts, each sent 0.1 s before.
func exitUnder(q *Quarantine, server ServerInstance, seconds float64, requests ...Fingerprint) {
	var lost []LostRequest
	for _, f := range requests {
		lost = append(lost, LostRequest{Fingerprint: f, SentAt: at(seconds - 0.1)})
	}
	q.RecordExit(server, lost, at(seconds), at(seconds))
}

// refused reports whether a request is blocked.
func refused(q *Quarantine, f Fingerprint, seconds float64) bool {
	_, blocked := q.Blocked(f, at(seconds))
	return blocked
}

// TestPartOfDifferentRequestsIsBlocked guards against a part of prompts that ends servers under
// requests of which no two are alike.
func TestPartOfDifferentRequestsIsBlocked(t *testing.T) {
	c := qt.New(t)
	q := New()
	const bad, wide = 7, 8
	q.RecordAnswer(requestWith(1, wide), true, at(0.5))
	for i := range 3 {
		exitUnder(q, ServerInstance(i), float64(i+1), requestWith(Digest(10+i), wide, bad), requestWith(Digest(20+i), wide))
	}
	c.Check(blockedAfterSettling(q, 3), qt.DeepEquals, []Digest{bad})
	block, blocked := q.Blocked(requestWith(30, wide, bad), at(4))
	c.Check(blocked, qt.IsTrue)
	c.Check(block, qt.DeepEquals, Block{Digest: bad, IsPart: true, Servers: 3, Since: at(3).Add(settleDelay)})
	c.Check(refused(q, requestWith(31, wide), 4), qt.IsFalse)
}

// TestPartsThatAlwaysComeTogetherAreBlockedTogether guards against refusing sound requests with one
// of two parts that lost the same servers, and against letting the bad one pass once it comes alone.
func TestPartsThatAlwaysComeTogetherAreBlockedTogether(t *testing.T) {
	c := qt.New(t)
	q := New()
	const bad, companion = 7, 8
	for i := range 3 {
		exitUnder(q, ServerInstance(i), float64(i+1), requestWith(Digest(10+i), companion, bad))
	}
	c.Check(blockedAfterSettling(q, 3), qt.HasLen, 2)
	c.Check(refused(q, requestWith(30, companion, bad), 4), qt.IsTrue)
	c.Check(refused(q, requestWith(31, companion), 4), qt.IsFalse)
	c.Check(refused(q, requestWith(32, bad), 4), qt.IsFalse)

	other := New()
	other.Merge(q.Reports(at(4)), 0, at(4))
	exitUnder(other, 10, 5, requestWith(33, bad))
	exitUnder(other, 11, 6, requestWith(34, bad))
	blockedAfterSettling(other, 6)
	q.Merge(other.Reports(at(6.5)), 0, at(6.5))
	for _, each := range []*Quarantine{q, other} {
		c.Check(refused(each, requestWith(35, bad), 7), qt.IsTrue)
		c.Check(refused(each, requestWith(36, companion), 7), qt.IsFalse)
	}
	q.RecordAnswer(requestWith(37, companion), true, at(8))
	c.Check(refused(q, requestWith(38, companion, bad), 9), qt.IsTrue)
}

// TestAnswerMustBeGeneratedToProvePartsHarmless checks that a server which generates an answer proves
// the parts harmless, also before the answer is complete, and that an answer that was not generated
// proves nothing of them.
func TestAnswerMustBeGeneratedToProvePartsHarmless(t *testing.T) {
	const part = 7
	for name, play := range map[string]struct {
		record  func(q *Quarantine)
		blocked bool
	}{
		"generated":     {func(q *Quarantine) { q.RecordAnswer(requestWith(1, part), true, at(0.5)) }, false},
		"not generated": {func(q *Quarantine) { q.RecordAnswer(requestWith(1, part), false, at(0.5)) }, true},
		"progress":      {func(q *Quarantine) { q.RecordProgress(requestWith(1, part), at(0.5)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			q := New()
			play.record(q)
			for i := range 3 {
				exitUnder(q, ServerInstance(i), float64(i+1), requestWith(Digest(10+i), part))
			}
			qt.New(t).Check(len(blockedAfterSettling(q, 3)) > 0, qt.Equals, play.blocked)
		})
	}
}

// TestPartUnderSeveralContentsIsNotBlocked guards against blocking a part that two requests share
// which were both there each time: either of them may be the cause.
func TestPartUnderSeveralContentsIsNotBlocked(t *testing.T) {
	c := qt.New(t)
	q := New()
	for i := range 3 {
		exitUnder(q, ServerInstance(i), float64(i+1), requestWith(1, 7), requestWith(2, 7))
	}
	c.Check(blockedAfterSettling(q, 3), qt.HasLen, 0)
	exitUnder(q, 5, 5, requestWith(1, 7))
	c.Check(blockedAfterSettling(q, 5), qt.Not(qt.HasLen), 0)
	c.Check(refused(q, requestWith(1, 7), 6), qt.IsTrue)
	c.Check(refused(q, requestWith(2, 7), 6), qt.IsFalse)
}

// TestQueuedRequestsWithAPartCount guards against counting one exit where servers exited one after
// the other under requests that were all sent before the first of them did.
func TestQueuedRequestsWithAPartCount(t *testing.T) {
	c := qt.New(t)
	q := New()
	for i := range 3 {
		q.RecordExit(ServerInstance(i), []LostRequest{{Fingerprint: requestWith(Digest(i), 7), SentAt: at(0.5)}}, at(1+float64(i)/4), at(2))
	}
	c.Check(blockedAfterSettling(q, 2), qt.DeepEquals, []Digest{7})
}

// TestOneExitRenewsABlockThatHasEnded guards against a part that ends three more servers each time
// its block ends.
func TestOneExitRenewsABlockThatHasEnded(t *testing.T) {
	c := qt.New(t)
	q := New()
	for i := range 3 {
		exitUnder(q, ServerInstance(i), float64(i+1), requestWith(Digest(10+i), 7))
	}
	c.Check(blockedAfterSettling(q, 3), qt.DeepEquals, []Digest{7})
	ended := 5 + blockDuration.Seconds()
	c.Check(refused(q, requestWith(20, 7), ended), qt.IsFalse)
	exitUnder(q, 9, ended+1, requestWith(20, 7))
	c.Check(refused(q, requestWith(21, 7), ended+2), qt.IsTrue)
}
