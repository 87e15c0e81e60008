package onplatform

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// declinedMove is a play in which the target of a move has lost the copy of the stopped run.
type declinedMove struct {
	// retries is the retry budget of a window.
	retries float64
	// leavesIn is the time that the source states; without it, it says only that it leaves.
	leavesIn time.Duration
	// othersRetry is set if another stream asks for a retry between the stop and the continuation.
	othersRetry bool
	// moved is set if the stream is stopped at the source.
	moved bool
}

// TestStoppedRunCanGoBackToItsServer guards against streams that are stopped for a move and then cut: the target
// declines the continuation, and the retry to continue at the server that has stopped is refused.
func TestStoppedRunCanGoBackToItsServer(t *testing.T) {
	for name, p := range map[string]declinedMove{
		"one retry is left, the server states no time": {retries: 1.2},
		"another stream takes the second retry":        {retries: 2.2, leavesIn: leavesAfter, othersRetry: true, moved: true},
		"retries are left":                             {retries: extraRetries, leavesIn: leavesAfter, moved: true},
	} {
		t.Run(name, func(t *testing.T) { p.run(t) })
	}
}

func (p declinedMove) run(t *testing.T) {
	m := &moveBed{moves: fake.Moves{CopyTime: 20 * time.Millisecond, Keep: 5 * time.Second}}
	asked := make(chan reply, 1)
	lose := firstCallDoes(true, fake.MoveBehaviour{Delay: 100 * time.Millisecond}, func(m *moveBed, call fake.MoveCall) {
		time.AfterFunc(70*time.Millisecond, m.byAddress(call.To).LoseCopies)
		if p.othersRetry {
			go func() { asked <- m.send(brokenStream()) }()
		}
	})
	run(t, 1, func(b *bed) {
		m.bed = b
		b.retryExtra = p.retries
		b.engine = map[string]any{"moves": true, "handleS": 5, "kvTokenBytes": 35136, "linkMbps": 260000}
		for i := range 3 {
			s := m.addMoving(fmt.Sprint("i-", i+1))
			s.Behave = func(_ int, r *http.Request) fake.Behaviour {
				if strings.HasPrefix(r.URL.Path, "/broken/") {
					return fake.Behaviour{Delay: 10 * time.Millisecond, BreakAfter: 1}
				}
				return fake.Behaviour{Delay: movedInterval}
			}
		}
		m.moves.Behave = func(n int, call fake.MoveCall) fake.MoveBehaviour { return lose(m, n, call) }
		b.configure(routes{streamRoute("/s/", false, 1), streamRoute("/broken/", true, 3)})
	}, func(*bed) {
		wait := m.streams(1)
		source, _ := m.at()
		m.announce(source, p.leavesIn)
		got := wait()
		m.checkWhole(got[0])
		m.checkRuns(got)
		wentBack := 0
		for _, a := range source.Arrivals() {
			if a.Header.Get("Kv-From") != "" {
				wentBack++
			}
		}
		m.Check(wentBack > 0, qt.Equals, p.moved)
		if p.othersRetry {
			<-asked
		}
	})
}

// brokenStream is a call whose servers break off its answer.
func brokenStream() call {
	return call{method: "POST", path: "/broken/x", key: testKey, tokens: "150,800"}
}

// TestStreamsOfAServerDoNotTakeEachOthersRetries guards against streams that are cut with their server, because others of
// the server hold two retries each while they are copied.
func TestStreamsOfAServerDoNotTakeEachOthersRetries(t *testing.T) {
	const (
		streams  = 4
		leavesIn = 450 * time.Millisecond
		// retries allows a move of each stream: 0.92 of the sum of this number and of a fifth of the streams.
		retries = 3.8
	)
	m := &moveBed{moves: fake.Moves{CopyTime: 20 * time.Millisecond, Keep: 5 * time.Second}}
	run(t, 1, func(b *bed) {
		m.bed = b
		b.retryExtra = retries
		b.engine = map[string]any{"moves": true, "handleS": 5, "kvTokenBytes": 35136, "linkMbps": 260000}
		m.addMoving("i-1")
		b.configure(routes{streamRoute("/s/", false, 1)})
	}, func(*bed) {
		wait := m.streams(streams)
		m.addMoving("i-2")
		m.addMoving("i-3")
		time.Sleep(500 * time.Millisecond)
		m.announce(m.servers[0], leavesIn)
		time.Sleep(leavesIn)
		m.end(m.servers[0])
		for _, r := range wait() {
			m.checkWhole(r)
		}
	})
}
