package onplatform

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// restAsked is how long servers that decline want no requests from a daemon. restGrace is how
	// long after the answer requests may still be on their way, and restAllowed how many may come.
	restAsked   = 3 * time.Second
	restGrace   = 500 * time.Millisecond
	restAllowed = 2
)

// restingAnswer is that of a server that declines and asks for rest.
func restingAnswer(since time.Duration) fake.Behaviour {
	if since < adviceFrom || since >= adviceUntil {
		return fake.Behaviour{Delay: 80 * time.Millisecond}
	}
	return fake.Behaviour{Decline: true, Header: map[string]string{"Retry-After": "3"}}
}

// checkRests checks that servers get their rests from each daemon, and are used again afterwards.
func checkRests(c *qt.C, l *limitsBed) {
	broken, after := 0, 0
	for _, s := range l.servers {
		asked := map[int][]time.Time{}
		for _, a := range s.Arrivals() {
			from := l.sender(c, a)
			if l.between(a.At, adviceUntil+restAsked+time.Second, limitPlay) {
				after++
			}
			for _, at := range asked[from] {
				if a.At.After(at.Add(restGrace)) && a.At.Before(at.Add(restAsked)) && !within(l.touched[from], a.At, a.At) {
					broken++
					break
				}
			}
			if l.between(a.At, adviceFrom, adviceUntil) {
				asked[from] = append(asked[from], a.At)
			}
		}
	}
	refused := 0
	for _, r := range l.replies {
		if r.status == http.StatusServiceUnavailable {
			refused++
			c.Check(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
	c.Logf("%d daemons: %d requests within rests, %d afterwards, %d of %d callers got 503", len(l.daemons), broken, after, refused, len(l.replies))
	c.Check(broken <= restAllowed, qt.IsTrue, qt.Commentf("%d requests within the rests that servers had asked for", broken))
	c.Check(after > 0, qt.IsTrue, qt.Commentf("servers are not used again"))
	if len(l.sound) > 0 && l.play.trouble == nil {
		c.Check(refused <= len(l.replies)/50, qt.IsTrue, qt.Commentf("%d of %d callers refused while sound servers stood beside", refused, len(l.replies)))
	}
}

// TestServersGetTheRestTheyAskFor guards against daemons that send to servers that rest, and against
// callers that are refused for it.
func TestServersGetTheRestTheyAskFor(t *testing.T) {
	p := advicePlay{daemons: 8, advising: 2, sound: 2, each: 130 * time.Millisecond, behave: restingAnswer}
	t.Run("two of four servers", func(t *testing.T) { p.run(t, checkRests) })
	p.advising, p.sound = 3, 0
	t.Run("all servers", func(t *testing.T) { p.run(t, checkRests) })
}

// TestAdviceBesideTrouble guards both while daemons die, start, are cut off, and the store is away.
func TestAdviceBesideTrouble(t *testing.T) {
	if raceDetector {
		return
	}
	for name, trouble := range leavingPlays {
		p := advicePlay{daemons: 9, advising: 2, sound: 2, each: 130 * time.Millisecond, trouble: trouble}
		p.behave = leavingAnswer
		t.Run("leaving, "+name, func(t *testing.T) { p.run(t, checkNothingLate) })
		p.behave = restingAnswer
		t.Run("rest, "+name, func(t *testing.T) { p.run(t, checkRests) })
	}
}
