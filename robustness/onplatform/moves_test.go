package onplatform

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
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
	m.list(s, "draining", 6, leavesIn)
}

// list lists a server.
func (m *moveBed) list(s *fake.Server, state string, slots int, leavesIn time.Duration) {
	m.store.Put("servers", s.ID, map[string]any{
		"service": model, "address": m.serverAddress(s.ID), "zone": "zone-1", "slots": slots, "state": state, "seq": 2, "version": "v1", "coldLeftMs": 0, "leaves_ms": leavesIn.Milliseconds(),
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
	attempts := 1
	if resumable {
		attempts = 2
	}
	m := &moveBed{moves: fake.Moves{CopyTime: 20 * time.Millisecond, Keep: 5 * time.Second}}
	run(t, daemons, func(b *bed) {
		m.bed = b
		b.engine = map[string]any{"moves": true, "handleS": 5, "kvTokenBytes": 35136, "linkMbps": 260000}
		for i := range servers {
			m.addMoving(fmt.Sprint("i-", i+1))
		}
		b.configure(routes{streamRoute("/s/", resumable, attempts)})
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

// moveBehaviour is the behaviour of sources in a test.
type moveBehaviour func(m *moveBed, n int, call fake.MoveCall) fake.MoveBehaviour

// movePlay is a stream whose server leaves beside a failure.
type movePlay struct {
	name   string
	behave moveBehaviour
	// meanwhile happens right after the notice. It returns when the source is gone.
	meanwhile func(m *moveBed, source *fake.Server, others []*fake.Server)
	// cut is set if the caller's stream is cut.
	cut bool
}

// firstCall returns the behaviour in which the first call, or the first one for a last copy, is special.
func firstCall(last bool, b fake.MoveBehaviour) moveBehaviour {
	return firstCallDoes(last, b, func(*moveBed, fake.MoveCall) {})
}

// firstCallDoes is firstCall beside which something happens.
func firstCallDoes(last bool, b fake.MoveBehaviour, beside func(m *moveBed, call fake.MoveCall)) moveBehaviour {
	var done sync.Map
	return func(m *moveBed, _ int, call fake.MoveCall) fake.MoveBehaviour {
		if call.Last != last {
			return fake.MoveBehaviour{}
		}
		if _, again := done.LoadOrStore(m, true); again {
			return fake.MoveBehaviour{}
		}
		beside(m, call)
		return b
	}
}

// byAddress returns the server at an address.
func (m *moveBed) byAddress(address string) *fake.Server {
	i := slices.IndexFunc(m.servers, func(s *fake.Server) bool { return s.Address == address })
	return m.servers[i]
}

// endSoon ends a server in a moment.
func (m *moveBed) endSoon(s *fake.Server, in time.Duration) { time.AfterFunc(in, func() { m.end(s) }) }

var movePlays = []movePlay{
	{name: "nothing fails"},
	{name: "the target declines", behave: firstCall(false, fake.MoveBehaviour{NoRoom: true})},
	{name: "the first copy answers 404", behave: firstCall(false, fake.MoveBehaviour{Status: 404})},
	{name: "the first copy answers 409", behave: firstCall(false, fake.MoveBehaviour{Status: 409})},
	{name: "the first copy is lost", behave: firstCall(false, fake.MoveBehaviour{LoseCall: true})},
	{name: "the answer of the first copy is lost", behave: firstCall(false, fake.MoveBehaviour{LoseAnswer: true})},
	{name: "the last copy is lost, the source goes on until it is gone", behave: firstCall(true, fake.MoveBehaviour{LoseCall: true})},
	{name: "the answer of the last copy is lost", behave: firstCall(true, fake.MoveBehaviour{LoseAnswer: true})},
	{name: "the answer of the last copy is late", behave: firstCall(true, fake.MoveBehaviour{Delay: time.Second})},
	{name: "the last copy answers 404", behave: firstCall(true, fake.MoveBehaviour{Status: 404})},
	{name: "the last copy answers 409", behave: firstCall(true, fake.MoveBehaviour{Status: 409})},
	{name: "the last copy finds no room", behave: firstCall(true, fake.MoveBehaviour{NoRoom: true})},
	{name: "all targets decline", cut: true, behave: func(*moveBed, int, fake.MoveCall) fake.MoveBehaviour { return fake.MoveBehaviour{NoRoom: true} }},
	{name: "the source is gone in the middle of the first copy", cut: true, behave: firstCallDoes(false, fake.MoveBehaviour{CopyTime: 300 * time.Millisecond}, func(m *moveBed, _ fake.MoveCall) {
		source, _ := m.at()
		m.endSoon(source, 150*time.Millisecond)
	})},
	{name: "the source is gone in the middle of the last copy", behave: firstCallDoes(true, fake.MoveBehaviour{CopyTime: 100 * time.Millisecond}, func(m *moveBed, _ fake.MoveCall) {
		source, _ := m.at()
		m.endSoon(source, 50*time.Millisecond)
	})},
	{name: "the target is gone before the first copy", behave: firstCallDoes(false, fake.MoveBehaviour{}, func(m *moveBed, call fake.MoveCall) {
		m.end(m.byAddress(call.To))
	})},
	{name: "the target is gone before it is used", behave: firstCallDoes(true, fake.MoveBehaviour{Delay: 100 * time.Millisecond}, func(m *moveBed, call fake.MoveCall) {
		m.endSoon(m.byAddress(call.To), 70*time.Millisecond)
	})},
	{name: "the target has lost the copy", behave: firstCallDoes(true, fake.MoveBehaviour{Delay: 100 * time.Millisecond}, func(m *moveBed, call fake.MoveCall) {
		target := m.byAddress(call.To)
		time.AfterFunc(70*time.Millisecond, target.LoseCopies)
	})},
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
	{name: "the link to the source is cut and the last copy is lost", behave: firstCallDoes(true, fake.MoveBehaviour{LoseCall: true}, func(m *moveBed, _ fake.MoveCall) {
		source, others := m.at()
		ip, _, _ := strings.Cut(source.Address, ":")
		m.net.Silence(m.daemons[0].ip, ip)
		time.AfterFunc(time.Second, func() {
			// The source is at work.
			for _, s := range others {
				m.Check(s.Arrivals(), qt.HasLen, 0)
			}
		})
	})},
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
				m.endSoon(s, leavesAfter)
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
				if p.behave != nil {
					m.moves.Behave = func(n int, call fake.MoveCall) fake.MoveBehaviour { return p.behave(m, n, call) }
				}
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

// TestUnusedCopyIsFreed guards against copies that occupy a slot of the target although the stream has
// ended by itself meanwhile.
func TestUnusedCopyIsFreed(t *testing.T) {
	runMoves(t, 1, 2, false, func(m *moveBed) {
		m.moves.Behave = func(int, fake.MoveCall) fake.MoveBehaviour {
			return fake.MoveBehaviour{CopyTime: 600 * time.Millisecond}
		}
		wait := m.streams(1)
		source, others := m.at()
		time.Sleep(movedEvents*movedInterval - 600*time.Millisecond - 400*time.Millisecond)
		m.announce(source, leavesAfter)
		m.checkWhole(wait()[0])
		time.Sleep(700 * time.Millisecond)
		m.Check(others[0].Arrivals(), qt.HasLen, 0)
		m.Check(others[0].CopiesTaken(), qt.Equals, 1)
		m.Check(others[0].Copies(), qt.Equals, 0)
	})
}

// TestStoppedStreamIsNotTakenForComplete guards against the end of a stopped run being taken for the end
// of the answer: a stream with neither length nor chunks ends in the same way.
func TestStoppedStreamIsNotTakenForComplete(t *testing.T) {
	for name, behave := range map[string]moveBehaviour{
		"answered":   func(*moveBed, int, fake.MoveCall) fake.MoveBehaviour { return fake.MoveBehaviour{} },
		"unanswered": firstCall(true, fake.MoveBehaviour{LoseAnswer: true}),
		"late":       firstCall(true, fake.MoveBehaviour{Delay: time.Second}),
	} {
		t.Run(name, func(t *testing.T) {
			runMoves(t, 1, 3, false, func(m *moveBed) {
				for _, s := range m.servers {
					s.EndWithConnection = true
				}
				m.moves.Behave = func(n int, call fake.MoveCall) fake.MoveBehaviour { return behave(m, n, call) }
				wait := m.streams(1)
				source, _ := m.at()
				m.announce(source, leavesAfter)
				time.Sleep(leavesAfter)
				m.end(source)
				m.checkWhole(wait()[0])
			})
		})
	}
}

// TestResumableStreamIsResumedBeforeItsServerIsGone guards against a resumable stream that waits for the
// end of its server where it cannot be moved.
func TestResumableStreamIsResumedBeforeItsServerIsGone(t *testing.T) {
	runMoves(t, 1, 2, true, func(m *moveBed) {
		m.moves.Behave = func(int, fake.MoveCall) fake.MoveBehaviour { return fake.MoveBehaviour{NoRoom: true} }
		wait := m.streams(1)
		source, others := m.at()
		m.announce(source, leavesAfter)
		time.Sleep(leavesAfter)
		m.Assert(others[0].Arrivals(), qt.HasLen, 1)
		m.Check(others[0].Arrivals()[0].Header.Get("Kv-From"), qt.Equals, "")
		m.end(source)
		got := wait()
		m.checkWhole(got[0])
	})
}

// TestDaemonKilledDuringMoves guards against a second run of a request whose daemon is killed in the
// middle of a move: its caller sees a cut stream, the copies end by their time, and the servers serve on.
func TestDaemonKilledDuringMoves(t *testing.T) {
	for _, after := range []time.Duration{10, 25, 35, 45, 100} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			runMoves(t, 2, 3, false, func(m *moveBed) {
				wait := m.streams(2)
				source, _ := m.at()
				m.announce(source, leavesAfter)
				time.Sleep(after * time.Millisecond)
				m.daemons[0].kill()
				time.Sleep(leavesAfter - after*time.Millisecond)
				m.end(source)
				got := wait()
				m.Check(got[0].cut, qt.IsTrue)
				m.checkWhole(got[1])
				m.checkWhole(m.stream(1))
				m.checkRuns(got)
				time.Sleep(m.moves.Keep)
				for _, s := range m.servers {
					m.Check(s.Copies(), qt.Equals, 0)
				}
			})
		})
	}
}

// wave is a wave at several daemons in which half of the servers leave.
type wave struct {
	daemons, servers, slots, streams int
	copyTime                         time.Duration
}

// play begins streams all over the servers, lets half of the servers leave, and returns the replies and
// the number of streams at leaving servers.
func (w wave) play(m *moveBed) (replies []reply, affected int) {
	m.moves.Room, m.moves.CopyTime = w.slots, w.copyTime
	for _, s := range m.servers {
		m.list(s, "ready", w.slots, 0)
	}
	time.Sleep(time.Second)
	var all sync.WaitGroup
	replies = make([]reply, w.streams)
	for i := range w.streams {
		all.Go(func() {
			replies[i] = m.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,800", to: i % len(m.daemons),
				header: map[string]string{"Prefix-Hash": fmt.Sprintf("p%d:100,%d:50", i%w.servers, i)}})
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	leaving := m.servers[:w.servers/2]
	for _, s := range leaving {
		affected += len(s.Arrivals())
		m.list(s, "draining", w.slots, leavesAfter)
	}
	time.Sleep(leavesAfter)
	for _, s := range leaving {
		m.end(s)
	}
	all.Wait()
	m.Check(affected > w.streams/4, qt.IsTrue)
	m.checkRuns(replies)
	return replies, affected
}

// pauses returns how many moves the daemons have made, and how many of them with a pause of at most
// 400 ms.
func (m *moveBed) pauses() (moves, short int) {
	number := func(metrics, name string) int {
		_, rest, found := strings.Cut(metrics, "\nplankridge_stream_move_pause_seconds_"+name+" ")
		if !found {
			return 0
		}
		value, _, _ := strings.Cut(rest, "\n")
		n, err := strconv.Atoi(value)
		m.Assert(err, qt.IsNil)
		return n
	}
	for _, d := range m.daemons {
		told := m.metrics(d)
		moves += number(told, `count{service="llm"}`)
		short += number(told, `bucket{service="llm",le="0.4"}`)
	}
	return moves, short
}

// maxCutInWave is the share of the streams of leaving servers that may be cut in a wave that takes half
// of the servers while these and the others are half full. The retry budget of these few requests may
// not suffice at each daemon: one stream was cut in 7 of 60 waves.
const maxCutInWave = 0.1

// checkWave checks that callers got every event once or a stream that is cut, and returns the number of
// cut streams, which is bounded.
func (m *moveBed) checkWave(replies []reply, affected int) (cut int) {
	for _, r := range replies {
		if r.cut {
			cut++
			continue
		}
		m.checkWhole(r)
	}
	m.Check(float64(cut) <= maxCutInWave*float64(affected), qt.IsTrue, qt.Commentf("%d of %d", cut, affected))
	return cut
}

// TestWaveAtSeveralDaemons guards against daemons that evacuate at once and send each other's streams to
// the same targets: half of the servers leave, and the others have just enough room.
func TestWaveAtSeveralDaemons(t *testing.T) {
	w := wave{daemons: 6, servers: 12, slots: 10, streams: 60, copyTime: 26 * time.Millisecond}
	runMoves(t, w.daemons, w.servers, false, func(m *moveBed) {
		replies, affected := w.play(m)
		cut := m.checkWave(replies, affected)
		t.Logf("%d of %d streams of leaving servers were cut", cut, affected)
	})
}

// TestWaveOnBusyLinks guards against pauses above what routes allow, 400 ms, where the copies of many
// streams queue on the links of few servers.
func TestWaveOnBusyLinks(t *testing.T) {
	w := wave{daemons: 12, servers: 4, slots: 40, streams: 48, copyTime: 26 * time.Millisecond}
	runMoves(t, w.daemons, w.servers, false, func(m *moveBed) {
		replies, affected := w.play(m)
		cut := m.checkWave(replies, affected)
		moves, short := m.pauses()
		t.Logf("%d streams of leaving servers, %d cut, %d moves, %d with a pause of at most 400 ms", affected, cut, moves, short)
		m.Check(moves >= affected-cut, qt.IsTrue)
		m.Check(short, qt.Equals, moves)
	})
}
