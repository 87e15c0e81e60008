package onplatform

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// breaking breaks the first stream that arrives, in the middle of an event.
func breaking(after int) func(int, *http.Request) fake.Behaviour {
	return func(int, *http.Request) fake.Behaviour {
		return fake.Behaviour{BreakAfter: after, Delay: 10 * time.Millisecond}
	}
}

// TestStreamGoesOnAtAnotherServer: no event is missing, twice or torn, and the
// answer keeps the head of its first server.
func TestStreamGoesOnAtAnotherServer(t *testing.T) {
	var one, two *fake.Server
	run(t, 1, func(b *bed) {
		// Whichever server is picked first breaks.
		broken := false
		behave := func(int, *http.Request) fake.Behaviour {
			if broken {
				return fake.Behaviour{}
			}
			broken = true
			return breaking(7)(1, nil)
		}
		one = b.addServer("i-1", model, &fake.Server{EventCount: 20, Behave: behave})
		two = b.addServer("i-2", model, &fake.Server{EventCount: 20, Behave: behave})
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(b *bed) {
		got := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,60"})
		b.Check(got.cut, qt.IsFalse)
		b.Check(got.body, qt.Equals, events(1, 20))
		first, second := one, two
		if len(one.Arrivals()) == 0 || (len(two.Arrivals()) > 0 && two.Arrivals()[0].At.Before(one.Arrivals()[0].At)) {
			first, second = two, one
		}
		b.Check(got.header.Get("Response-Stamp"), qt.Equals, "stamp-of-"+first.ID)
		b.Check(second.Arrivals()[0].Header.Get("Last-Event-Id"), qt.Equals, "7")
	})
}

// TestStreamThatMayNotResumeLooksCut: it is not run again, and what the caller
// has does not look complete.
func TestStreamThatMayNotResumeLooksCut(t *testing.T) {
	var one, two *fake.Server
	run(t, 1, func(b *bed) {
		one = b.addServer("i-1", model, &fake.Server{EventCount: 20, Behave: breaking(7)})
		two = b.addServer("i-2", model, &fake.Server{EventCount: 20, Behave: breaking(7)})
		b.configure(routes{streamRoute("/s/", false, 2)})
	}, func(b *bed) {
		got := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,60"})
		b.Check(got.cut, qt.IsTrue)
		b.Check(strings.HasPrefix(events(1, 20), got.body), qt.IsTrue, qt.Commentf("%q", got.body))
		b.Check(one.RunCount(got.id)+two.RunCount(got.id), qt.Equals, 1)
	})
}

// TestStreamWithMissingEventIsNotPassedOn: the gap is mended by another server.
func TestStreamWithMissingEventIsNotPassedOn(t *testing.T) {
	run(t, 1, func(b *bed) {
		n := 0
		behave := func(int, *http.Request) fake.Behaviour {
			if n++; n == 1 {
				return fake.Behaviour{SkipEvent: 5}
			}
			return fake.Behaviour{}
		}
		b.addServer("i-1", model, &fake.Server{EventCount: 12, Behave: behave})
		b.addServer("i-2", model, &fake.Server{EventCount: 12, Behave: behave})
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(b *bed) {
		got := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,60"})
		b.Check(got.cut, qt.IsFalse)
		b.Check(got.body, qt.Equals, events(1, 12))
	})
}

// TestCallerResumes: a caller that has events already gets the rest.
func TestCallerResumes(t *testing.T) {
	run(t, 1, func(b *bed) {
		b.addServer("i-1", model, &fake.Server{EventCount: 12})
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(b *bed) {
		got := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,60", header: map[string]string{"Last-Event-Id": "9"}})
		b.Check(got.body, qt.Equals, events(10, 12))
	})
}

// slowly sends an event every tenth of a second.
func slowly(int, *http.Request) fake.Behaviour {
	return fake.Behaviour{Delay: 100 * time.Millisecond}
}

// TestFailureAfterEventsIsNotTheEnd: a server that fails when it is asked to go
// on with a stream does not end the answer as if it were whole.
func TestFailureAfterEventsIsNotTheEnd(t *testing.T) {
	for name, attempts := range map[string]int{"no attempt left": 2, "one more attempt": 3} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(b *bed) {
				n := 0
				behave := func(int, *http.Request) fake.Behaviour {
					switch n++; n {
					case 1:
						return breaking(7)(1, nil)
					case 2:
						return fake.Behaviour{Status: 500}
					}
					return fake.Behaviour{}
				}
				b.addServer("i-1", model, &fake.Server{EventCount: 12, Behave: behave})
				b.addServer("i-2", model, &fake.Server{EventCount: 12, Behave: behave})
				b.addServer("i-3", model, &fake.Server{EventCount: 12, Behave: behave})
				b.configure(routes{streamRoute("/s/", true, attempts)})
			}, func(b *bed) {
				got := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,60"})
				b.Check(got.cut, qt.Equals, attempts == 2)
				b.Check(got.body, qt.Equals, events(1, map[int]int{2: 7, 3: 12}[attempts]))
			})
		})
	}
}
