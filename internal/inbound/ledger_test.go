package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// at returns a time that is so many milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// testAccount is an account that records how it was ended.
type testAccount struct {
	account
	closed, interrupted bool
}

func newTestAccount() *testAccount {
	a := &testAccount{}
	a.close = func() { a.closed = true }
	a.interrupt = func() { a.interrupted = true }
	return a
}

func (a *testAccount) ended() bool { return a.closed || a.interrupted }

// testLedger is a ledger with room for four connections, and for 4 MB that they hold.
type testLedger struct {
	*qt.C
	*ledger
}

const megabyte = 1 << 20

func newTestLedger(t *testing.T) *testLedger {
	return &testLedger{qt.New(t), newLedger(Limits{Connections: 4, Bytes: 4 * megabyte, MinLag: 100 * time.Millisecond, AnswerGrace: 2 * time.Second})}
}

// reading opens a connection that reads a request.
func (l *testLedger) reading(ms int) *testAccount {
	a := newTestAccount()
	l.Assert(l.open(&a.account, at(ms)), qt.Not(qt.Equals), full)
	l.Assert(l.enter(&a.account, reading, at(ms)), qt.IsTrue)
	return a
}

// serving opens a connection whose request is being served.
func (l *testLedger) serving(ms int) *testAccount {
	a := l.reading(ms)
	l.Assert(l.enter(&a.account, running, at(ms)), qt.IsTrue)
	return a
}

func TestConnectionThatIsFurthestBehindIsClosedForAnother(t *testing.T) {
	l := newTestLedger(t)
	served := l.serving(0)
	stalled := l.reading(0)
	trickling := l.reading(0)
	fast := l.reading(0)
	for ms := 0; ms <= 1000; ms += 100 {
		l.progress(&trickling.account, 1, at(ms))
		l.progress(&fast.account, megabyte/10, at(ms))
	}
	l.Check(l.open(&newTestAccount().account, at(1000)), qt.Equals, replaced)
	l.Check(l.open(&newTestAccount().account, at(1000)), qt.Equals, replaced)
	l.Check(stalled.closed && trickling.closed, qt.IsTrue)
	l.Check(fast.ended() || served.ended(), qt.IsFalse)
}

func TestConnectionsThatMakeProgressAreNotClosed(t *testing.T) {
	l := newTestLedger(t)
	for range 4 {
		l.reading(0)
	}
	l.Check(l.open(&newTestAccount().account, at(50)), qt.Equals, crowded)
	l.Check(l.open(&newTestAccount().account, at(150)), qt.Equals, replaced)
}

func TestRequestsThatAreServedAreNeverEnded(t *testing.T) {
	l := newTestLedger(t)
	var served []*testAccount
	for range 4 {
		a := l.serving(0)
		l.hold(&a.account, megabyte)
		served = append(served, a)
	}
	l.Check(l.open(&newTestAccount().account, at(60_000)), qt.Equals, full)
	_, ok := l.reserve(&served[0].account, megabyte, at(60_000))
	l.Check(ok, qt.IsFalse)
	l.Check(l.evictStalled(time.Second, at(60_000)), qt.Equals, 0)
	for _, a := range served {
		l.Check(a.ended(), qt.IsFalse)
	}
}

func TestClientsThatDoNotReadTheirAnswersGiveWay(t *testing.T) {
	l := newTestLedger(t)
	unread, slow := l.serving(0), l.serving(0)
	l.serving(0)
	l.serving(0)
	l.setWriting(&unread.account, true, at(0))
	l.Check(l.open(&newTestAccount().account, at(2000)), qt.Equals, full)
	// A part of the answer was read meanwhile.
	l.setWriting(&slow.account, false, at(1500))
	l.setWriting(&slow.account, true, at(1500))
	l.Check(l.open(&newTestAccount().account, at(2100)), qt.Equals, replaced)
	l.Check(unread.closed, qt.IsTrue)
	l.Check(slow.ended(), qt.IsFalse)
}

func TestMemoryIsTakenFromTheStalledFirst(t *testing.T) {
	l := newTestLedger(t)
	stalled, active := l.reading(0), l.reading(0)
	for _, a := range []*testAccount{stalled, active} {
		_, ok := l.reserve(&a.account, megabyte+megabyte/4, at(0))
		l.Assert(ok, qt.IsTrue)
	}
	l.progress(&active.account, megabyte, at(1000))
	evicted, ok := l.reserve(&l.reading(1000).account, megabyte, at(1000))
	l.Check(ok, qt.IsTrue)
	l.Check(evicted, qt.Equals, 1)
	l.Check(stalled.interrupted, qt.IsTrue)
	l.Check(active.ended(), qt.IsFalse)
}

func TestSmallRequestsFindRoomBesideLargeOnes(t *testing.T) {
	l := newTestLedger(t)
	for range 3 {
		l.reserve(&l.serving(0).account, megabyte-connectionBytes, at(0))
	}
	small := l.reading(0)
	_, ok := l.reserve(&small.account, megabyte, at(0))
	l.Check(ok, qt.IsFalse)
	_, ok = l.reserve(&small.account, smallAccountBytes-connectionBytes, at(0))
	l.Check(ok, qt.IsTrue)
}

func TestRequestThatWasEvictedIsNotServed(t *testing.T) {
	l := newTestLedger(t)
	a := l.reading(0)
	l.Check(l.evictStalled(time.Second, at(2000)), qt.Equals, 1)
	l.Check(l.enter(&a.account, running, at(2000)), qt.IsFalse)
	_, ok := l.reserve(&a.account, 1, at(2000))
	l.Check(ok, qt.IsFalse)
}

func TestWhatAnEndedRequestHeldIsFree(t *testing.T) {
	l := newTestLedger(t)
	a := l.serving(0)
	_, ok := l.reserve(&a.account, megabyte, at(0))
	l.Assert(ok, qt.IsTrue)
	release := l.detach(&a.account, megabyte/2)
	l.idleAgain(&a.account, 0, at(10))
	_, bytes := l.usage()
	l.Check(bytes, qt.Equals, int64(connectionBytes+megabyte/2))
	release()
	release()
	l.close(&a.account)
	connections, bytes := l.usage()
	l.Check(connections, qt.Equals, 0)
	l.Check(bytes, qt.Equals, int64(0))
}

func TestLimitsFollowTheResources(t *testing.T) {
	c := qt.New(t)
	for _, r := range []Resources{{}, {MemoryBytes: 144e6, Descriptors: 3075}, {MemoryBytes: 284e6, Descriptors: 4100}, {MemoryBytes: 536e6, Descriptors: 10_250}} {
		memory, descriptors := int64(0), 0
		for _, limits := range []Limits{r.Callers(), r.Peers(), r.Status(), r.Status()} {
			memory += limits.Bytes
			descriptors += limits.Connections
		}
		of := r.WithDefaults()
		c.Check(memory+of.MemoryBytes/5 < r.GoMemoryLimit(), qt.IsTrue, qt.Commentf("%+v", r))
		c.Check(descriptors <= of.Descriptors*3/4, qt.IsTrue, qt.Commentf("%+v: %d", r, descriptors))
		// A body of the size that callers may send must fit.
		c.Check(r.Callers().Bytes > 8*megabyte, qt.IsTrue, qt.Commentf("%+v", r))
	}
}
