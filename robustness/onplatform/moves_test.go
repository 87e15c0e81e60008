package onplatform

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// movedEvents is the number of events of a stream in these tests, one each movedInterval.
	movedEvents   = 80
	movedInterval = 50 * time.Millisecond
	// leavesAfter is how long after its notice a server is gone.
	leavesAfter = 2 * time.Second
)

// moveBed is a deployment whose engines offer moves.
type moveBed struct {
	*bed
	moves   fake.Moves
	servers []*fake.Server
}

// addMoving adds a server that offers moves.
func (m *moveBed) addMoving(id string) *fake.Server {
	s := &fake.Server{EventCount: movedEvents, Behave: func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: movedInterval} }}
	m.moves.Add(m.serverAddress(id), s)
	m.servers = append(m.servers, m.addServer(id, model, s))
	return s
}

// announce lists a server as draining, with the time until it is gone if that is not zero.
func (m *moveBed) announce(s *fake.Server, leavesIn time.Duration) {
	m.store.Put("servers", s.ID, map[string]any{
		"service": model, "address": m.serverAddress(s.ID), "zone": "zone-1", "slots": 6, "state": "draining", "seq": 2, "version": "v1", "coldLeftMs": 0, "leaves_ms": leavesIn.Milliseconds(),
	})
}

// end ends a server's process.
func (m *moveBed) end(s *fake.Server) {
	s.TakeDown()
	ip, _, _ := strings.Cut(s.Address, ":")
	for _, d := range m.daemons {
		m.net.RefuseNew(d.ip, ip)
	}
}

// stream makes a call whose answer is a stream.
func (m *moveBed) stream(to int) reply {
	return m.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,800", to: to})
}

// streams begins streams and returns a function that waits for their replies.
func (m *moveBed) streams(count int) (wait func() []reply) {
	replies := make([]reply, count)
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() { replies[i] = m.stream(i % len(m.daemons)) })
	}
	time.Sleep(500 * time.Millisecond)
	return func() []reply {
		all.Wait()
		return replies
	}
}

// at returns the server that works on the only stream, and the others.
func (m *moveBed) at() (source *fake.Server, others []*fake.Server) {
	for _, s := range m.servers {
		if len(s.Arrivals()) > 0 {
			source = s
			continue
		}
		others = append(others, s)
	}
	return source, others
}

// checkRuns checks that each stream ran once, and that no two servers worked on it at the same time.
func (m *moveBed) checkRuns(replies []reply) {
	for _, r := range replies {
		first := 0
		for _, s := range m.servers {
			for _, a := range s.Arrivals() {
				if a.ID == r.id && a.Ran && a.Header.Get("Kv-From") == "" {
					first++
				}
			}
		}
		m.Check(first <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", r.id, first))
	}
	for _, s := range m.servers {
		m.Check(s.Overlaps(), qt.Equals, 0, qt.Commentf("%s", s.ID))
	}
}

// checkWhole checks that a caller got every event once.
func (m *moveBed) checkWhole(r reply) {
	m.Check(r.cut, qt.IsFalse)
	m.Check(r.body, qt.Equals, events(1, movedEvents))
	m.Check(r.header.Get("Request-Id"), qt.Equals, r.id)
}

// runMoves runs a test with servers that offer moves.
func runMoves(t *testing.T, daemons, servers int, resumable bool, test func(m *moveBed)) {
	m := &moveBed{moves: fake.Moves{CopyTime: 20 * time.Millisecond, Keep: 5 * time.Second}}
	run(t, daemons, func(b *bed) {
		m.bed = b
		b.engine = map[string]any{"moves": true, "handleS": 5, "kvTokenBytes": 35136, "linkMbps": 260000}
		for i := range servers {
			m.addMoving(fmt.Sprint("i-", i+1))
		}
		b.configure(routes{streamRoute("/s/", resumable, 1)})
	}, func(*bed) { test(m) })
}

// TestNoticeOnACalmDay guards against streams that are cut because their server leaves: all of them go
// on elsewhere, each caller gets every event once, and the header is the first server's.
func TestNoticeOnACalmDay(t *testing.T) {
	runMoves(t, 3, 3, false, func(m *moveBed) {
		wait := m.streams(9)
		leaving, _ := m.at()
		moved := len(leaving.Arrivals())
		m.announce(leaving, leavesAfter)
		time.Sleep(leavesAfter)
		m.end(leaving)
		replies := wait()
		stamped := 0
		for _, r := range replies {
			m.checkWhole(r)
			if r.header.Get("Response-Stamp") == "stamp-of-"+leaving.ID {
				stamped++
			}
		}
		m.Check(stamped, qt.Equals, moved)
		m.checkRuns(replies)
	})
}

// movePlay is a stream whose server leaves beside a failure.
type movePlay struct {
	name   string
	behave func(n int, call fake.MoveCall) fake.MoveBehaviour
	// meanwhile happens right after the notice. It returns when the source is gone.
	meanwhile func(m *moveBed, source *fake.Server, others []*fake.Server)
	// cut is set if the caller's stream is cut.
	cut bool
}

// once returns a behaviour of the first call to make the last copy.
func onceLast(b fake.MoveBehaviour) func(int, fake.MoveCall) fake.MoveBehaviour {
	done := false
	return func(_ int, call fake.MoveCall) fake.MoveBehaviour {
		if !call.Last || done {
			return fake.MoveBehaviour{}
		}
		done = true
		return b
	}
}

func firstCall(b fake.MoveBehaviour) func(int, fake.MoveCall) fake.MoveBehaviour {
	return func(n int, _ fake.MoveCall) fake.MoveBehaviour {
		if n == 1 {
			return b
		}
		return fake.MoveBehaviour{}
	}
}

var movePlays = []movePlay{
	{name: "nothing fails"},
	{name: "the target declines", behave: firstCall(fake.MoveBehaviour{NoRoom: true})},
	{name: "the first copy answers 404", behave: firstCall(fake.MoveBehaviour{Status: 404})},
	{name: "the first copy answers 409", behave: firstCall(fake.MoveBehaviour{Status: 409})},
	{name: "the first copy is lost", behave: firstCall(fake.MoveBehaviour{LoseCall: true})},
	{name: "the answer of the first copy is lost", behave: firstCall(fake.MoveBehaviour{LoseAnswer: true})},
	{name: "the last copy is lost, the source goes on until it is gone", behave: onceLast(fake.MoveBehaviour{LoseCall: true})},
	{name: "the answer of the last copy is lost", behave: onceLast(fake.MoveBehaviour{LoseAnswer: true})},
	{name: "the answer of the last copy is late", behave: onceLast(fake.MoveBehaviour{Delay: time.Second})},
	{name: "the last copy answers 404", behave: onceLast(fake.MoveBehaviour{Status: 404})},
	{name: "the last copy answers 409", behave: onceLast(fake.MoveBehaviour{Status: 409})},
	{name: "the last copy finds no room", behave: onceLast(fake.MoveBehaviour{NoRoom: true})},
	{name: "all targets decline", behave: func(int, fake.MoveCall) fake.MoveBehaviour { return fake.MoveBehaviour{NoRoom: true} }, cut: true},
	{name: "the source is gone in the middle of the first copy", cut: true, meanwhile: func(m *moveBed, source *fake.Server, _ []*fake.Server) {
		m.moves.CopyTime = 300 * time.Millisecond
		time.Sleep(150 * time.Millisecond)
		m.end(source)
	}},
	{name: "the server that was said to leave stays", meanwhile: func(m *moveBed, source *fake.Server, _ []*fake.Server) {
		time.Sleep(10 * time.Millisecond)
		m.listServer(source.ID, model, "ready")
		time.Sleep(4 * time.Second)
	}},
	{name: "a server that drains without a stated time", meanwhile: func(m *moveBed, source *fake.Server, _ []*fake.Server) {
		m.announce(source, 0)
		time.Sleep(2900 * time.Millisecond)
		m.end(source)
	}},
	{name: "a second notice, for the target", meanwhile: func(m *moveBed, source *fake.Server, others []*fake.Server) {
		time.Sleep(time.Second)
		for _, s := range others {
			if len(s.Arrivals()) > 0 {
				m.announce(s, leavesAfter)
				defer func() {
					time.Sleep(time.Second)
					m.end(s)
				}()
			}
		}
		time.Sleep(time.Second)
		m.end(source)
	}},
	{name: "the target is gone while it continues", cut: true, meanwhile: func(m *moveBed, source *fake.Server, others []*fake.Server) {
		time.Sleep(time.Second)
		for _, s := range others {
			if len(s.Arrivals()) > 0 {
				m.end(s)
			}
		}
		time.Sleep(time.Second)
		m.end(source)
	}},
}

// TestMovesBesideFailures guards against streams that are cut where they could go on, against events
// that are missing or come twice, against two servers at work on one request, and against copies that
// stay at the target.
func TestMovesBesideFailures(t *testing.T) {
	for _, p := range movePlays {
		t.Run(p.name, func(t *testing.T) {
			runMoves(t, 1, 3, false, func(m *moveBed) {
				m.moves.Behave = p.behave
				wait := m.streams(1)
				source, others := m.at()
				m.announce(source, leavesAfter)
				if p.meanwhile != nil {
					p.meanwhile(m, source, others)
				} else {
					time.Sleep(leavesAfter)
					m.end(source)
				}
				got := wait()
				m.checkRuns(got)
				if p.cut {
					m.Check(got[0].cut, qt.IsTrue)
					m.Check(strings.HasPrefix(events(1, movedEvents), got[0].body), qt.IsTrue, qt.Commentf("%q", got[0].body))
					return
				}
				m.checkWhole(got[0])
				time.Sleep(m.moves.Keep)
				for _, s := range others {
					m.Check(s.Copies(), qt.Equals, 0)
				}
			})
		})
	}
}
