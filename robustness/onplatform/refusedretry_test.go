package onplatform

import (
	"cmp"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// refusedRetry is a play in which something refuses the attempt that would follow the running one.
type refusedRetry struct {
	// servers is the number of servers; without it there are three. allLeave is set if all of them leave.
	servers  int
	allLeave bool
	// withoutRetries is set if the retry budget is empty.
	withoutRetries bool
	// workspace is the caller's, in place of one without an allowance.
	workspace map[string]any
	// firstEvent is the time to the first event, in place of that between events.
	firstEvent time.Duration
}

// tokensOfStream is what a stream of these tests takes from an allowance, by moveBed.stream.
const tokensOfStream = 950

var refusedRetries = map[string]refusedRetry{
	"the retry budget is spent":               {withoutRetries: true},
	"the retry budget is spent, no event yet": {withoutRetries: true, firstEvent: 3500 * time.Millisecond},
	"the allowance is used up":                {workspace: limited(1, tokensOfStream)},
	"there is no other server":                {servers: 1},
	"all servers leave":                       {allLeave: true},
}

// run plays a resumable stream whose server leaves. No server takes copies of running streams.
func (p refusedRetry) run(t *testing.T, test func(m *moveBed, source *fake.Server, wait func() []reply)) {
	m := &moveBed{moves: fake.Moves{CopyTime: 20 * time.Millisecond, Keep: 5 * time.Second}}
	m.moves.Behave = func(int, fake.MoveCall) fake.MoveBehaviour { return fake.MoveBehaviour{NoRoom: true} }
	run(t, 1, func(b *bed) {
		m.bed = b
		b.withoutRetries = p.withoutRetries
		b.engine = map[string]any{"moves": true, "handleS": 5, "kvTokenBytes": 35136, "linkMbps": 260000}
		for i := range cmp.Or(p.servers, 3) {
			s := m.addMoving(fmt.Sprint("i-", i+1))
			s.FirstEvent = p.firstEvent
		}
		var workspaces []map[string]any
		if p.workspace != nil {
			workspaces = append(workspaces, p.workspace)
		}
		b.configure(routes{streamRoute("/s/", true, 2)}, workspaces...)
	}, func(*bed) {
		wait := m.streams(1)
		source, others := m.at()
		m.announce(source, leavesAfter)
		if p.allLeave {
			for _, s := range others {
				m.announce(s, leavesAfter)
			}
		}
		test(m, source, wait)
	})
}

// TestStreamIsNotGivenUpWithoutNextAttempt guards against streams that are taken from a leaving server that
// still runs them, and then cut because the attempt to resume them is refused.
func TestStreamIsNotGivenUpWithoutNextAttempt(t *testing.T) {
	for name, p := range refusedRetries {
		t.Run(name, func(t *testing.T) {
			p.run(t, func(m *moveBed, source *fake.Server, wait func() []reply) {
				got := wait()[0]
				m.checkWhole(got)
				m.Check(source.RunCount(got.id), qt.Equals, 1)
				for _, s := range m.servers {
					m.Check(s == source || len(s.Arrivals()) == 0, qt.IsTrue, qt.Commentf("%s was asked", s.ID))
				}
			})
		})
	}
}

// refusedPlay is a play of an idempotent request. Its first server behaves in one way, the others in another.
type refusedPlay struct {
	// servers is the number of servers; without it there are three.
	servers int
	// withoutRetries is set if the retry budget is empty.
	withoutRetries bool
	// workspace is the caller's, in place of one without an allowance.
	workspace map[string]any
	// first and next are the behaviours of the server that gets the request first, and of those that get it later.
	first, next fake.Behaviour
	// status is what the caller gets, and attempts is how often the request arrives at servers.
	status, attempts int
}

// check plays the request and checks that the caller gets a server's whole answer.
func (p refusedPlay) check(t *testing.T) {
	var asked atomic.Int64
	run(t, 1, func(b *bed) {
		b.withoutRetries = p.withoutRetries
		for i := range cmp.Or(p.servers, 3) {
			b.addServer(fmt.Sprint("i-", i+1), plain, &fake.Server{Behave: func(int, *http.Request) fake.Behaviour {
				if asked.Add(1) == 1 {
					return p.first
				}
				return p.next
			}})
		}
		var workspaces []map[string]any
		if p.workspace != nil {
			workspaces = append(workspaces, p.workspace)
		}
		b.configure(routes{plainRoute("/a/", "idempotent", 2)}, workspaces...)
	}, func(b *bed) {
		got := b.send(call{method: "GET", path: "/a/x", key: testKey})
		b.Check(got.status, qt.Equals, p.status)
		b.Check(got.body, qt.Equals, "answer to "+got.id)
		b.Check(got.header.Get("Response-Stamp"), qt.Not(qt.Equals), "")
		b.Check(int(asked.Load()), qt.Equals, p.attempts)
	})
}

// TestServersErrorIsNotReplacedByOurOwn guards against whole error answers of servers that are discarded for
// a retry that is refused, or that brings no answer.
func TestServersErrorIsNotReplacedByOurOwn(t *testing.T) {
	const failed = http.StatusInternalServerError
	for name, p := range map[string]refusedPlay{
		"the retry budget is spent":        {withoutRetries: true, status: failed, attempts: 1},
		"the allowance is used up":         {workspace: limited(1, 200), status: failed, attempts: 1},
		"the next server declines":         {next: fake.Behaviour{Decline: true}, status: failed, attempts: 2},
		"the next server loses its answer": {next: fake.Behaviour{LoseAnswer: true}, status: failed, attempts: 2},
		"the next server stays silent":     {next: fake.Behaviour{Delay: time.Minute}, status: failed, attempts: 2},
		"the only server answers again":    {servers: 1, status: http.StatusOK, attempts: 2},
		"the next server answers":          {status: http.StatusOK, attempts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			p.first = fake.Behaviour{Status: failed}
			p.check(t)
		})
	}
}

// TestSlowAnswerIsNotGivenUpWithoutNextAttempt guards against idempotent requests that are taken from a server
// which works on them longer than usual, and then fail because the next attempt is refused.
func TestSlowAnswerIsNotGivenUpWithoutNextAttempt(t *testing.T) {
	slow, slower := fake.Behaviour{Delay: 350 * time.Millisecond}, fake.Behaviour{Delay: 550 * time.Millisecond}
	for name, p := range map[string]refusedPlay{
		"the retry budget is spent":                  {withoutRetries: true, first: slow, attempts: 1},
		"the retry budget is spent, for a long time": {withoutRetries: true, first: slower, attempts: 1},
		"the allowance is used up":                   {workspace: limited(1, 200), first: slow, attempts: 1},
		"nothing refuses it":                         {first: slow, attempts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			p.status = http.StatusOK
			p.check(t)
		})
	}
}

// TestFirstEventOfAMovedVersionIsNotForwarded guards against a stream that begins at a version at which streams begin no
// more, because the attempt at another version is refused.
func TestFirstEventOfAMovedVersionIsNotForwarded(t *testing.T) {
	const firstEvent = 5 * time.Second
	p := refusedRetry{firstEvent: firstEvent, withoutRetries: true}
	p.run(t, func(m *moveBed, source *fake.Server, wait func() []reply) {
		for _, s := range m.servers {
			if s != source {
				m.setVersion(s, "v2")
			}
		}
		m.store.Remove("servers", source.ID)
		got := wait()[0]
		m.Check(got.status, qt.Equals, http.StatusBadGateway)
		m.Check(got.took < firstEvent+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got.took))
	})
}

// setVersion lists a server with another version of its software.
func (m *moveBed) setVersion(s *fake.Server, version string) {
	m.store.Put("servers", s.ID, map[string]any{
		"service": model, "address": m.serverAddress(s.ID), "zone": "zone-1", "slots": 6, "state": "ready", "seq": 3, "version": version, "coldLeftMs": 0,
	})
}
