package onplatform

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// endlessHeads are bytes without end that are no answer.
var endlessHeads = map[string]fake.Endless{
	"noise":            {Repeat: "x"},
	"header line":      {Begin: "HTTP/1.1 200 OK\r\nRequest-Id: ", Repeat: "1"},
	"header lines":     {Begin: "HTTP/1.1 200 OK\r\n", Repeat: "A: b\r\n"},
	"another response": {Begin: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", Repeat: "x"},
}

// withSickServer serves orders, lookups and streams by two servers of each service, of which one sends bytes without end.
func withSickServer(endless fake.Endless) (prepare func(b *bed), servers map[string]*fake.Server) {
	servers = map[string]*fake.Server{}
	sick := func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Endless: &endless} }
	return func(b *bed) {
		servers["i-1"] = b.addServer("i-1", plain, &fake.Server{Behave: sick})
		servers["i-2"] = b.addServer("i-2", plain, &fake.Server{})
		servers["m-1"] = b.addServer("m-1", model, &fake.Server{Behave: sick, EventCount: 3})
		servers["m-2"] = b.addServer("m-2", model, &fake.Server{EventCount: 3})
		b.configure(routes{plainRoute("/o/", "non_idempotent", 1), plainRoute("/l/", "idempotent", 2), streamRoute("/s/", true, 2)})
	}, servers
}

// TestServersThatSendWithoutEndAreGivenUp guards against requests that wait until their time limit, or run twice, because
// their server sends bytes without end that are no answer.
func TestServersThatSendWithoutEndAreGivenUp(t *testing.T) {
	for name, endless := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			prepare, servers := withSickServer(endless)
			run(t, 2, prepare, func(b *bed) {
				for i := range 60 {
					order := b.send(call{method: "POST", path: "/o/x", key: testKey, body: "one", to: i % 2})
					lookup := b.send(call{method: "GET", path: "/l/x", key: testKey, to: i % 2})
					stream := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,90", to: i % 2})
					b.Check(servers["i-1"].RunCount(order.id)+servers["i-2"].RunCount(order.id), qt.Equals, 1)
					b.Check(order.status == 200 || order.status == 502 || order.status == 504, qt.IsTrue, qt.Commentf("%d", order.status))
					b.Check(lookup.status, qt.Equals, 200)
					b.Check(stream.body, qt.Equals, events(1, 3))
					for _, r := range []reply{order, lookup, stream} {
						b.Check(r.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", r.took))
					}
					time.Sleep(100 * time.Millisecond)
				}
				b.Check(len(servers["i-1"].Arrivals()) < len(servers["i-2"].Arrivals())/2, qt.IsTrue,
					qt.Commentf("%d requests at the sick server, %d at the other", len(servers["i-1"].Arrivals()), len(servers["i-2"].Arrivals())))
			})
		})
	}
}

// TestEventWithoutEndIsCut guards against a daemon that keeps an event without end in memory, and against a stream that ends
// as complete in one.
func TestEventWithoutEndIsCut(t *testing.T) {
	endless := fake.Endless{Begin: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nResponse-Stamp: s\r\n\r\nid: 1\ndata: token 1\n\nid: 2\ndata: ", Repeat: "x"}
	prepare, _ := withSickServer(endless)
	run(t, 1, prepare, func(b *bed) {
		for range 20 {
			got := b.send(call{method: "POST", path: "/s/x", key: testKey, tokens: "150,90"})
			b.Check(got.cut || got.status >= 500 || got.body == events(1, 3), qt.IsTrue, qt.Commentf("%d, %d bytes", got.status, len(got.body)))
			b.Check(len(got.body) <= len(events(1, 3)), qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestBodyWithoutEndIsPassedOnUntilTheTimeLimit guards against a body without end that ends as complete, or is kept in memory.
func TestBodyWithoutEndIsPassedOnUntilTheTimeLimit(t *testing.T) {
	for name, form := range map[string]struct{ head, repeat string }{
		"until the connection ends": {"\r\n", "x"},
		"in chunks":                 {"Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(b *bed) {
				b.addServer("i-1", plain, &fake.Server{Behave: func(_ int, r *http.Request) fake.Behaviour {
					begin := "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\n" + form.head
					return fake.Behaviour{Endless: &fake.Endless{Begin: begin, Repeat: form.repeat, Pause: 20 * time.Millisecond}}
				}})
				b.configure(routes{plainRoute("/l/", "idempotent", 2)})
			}, func(b *bed) {
				got := b.send(call{method: "GET", path: "/l/x", key: testKey})
				b.Check(got.cut, qt.IsTrue, qt.Commentf("status %d", got.status))
				b.Check(len(got.body) > 64<<10, qt.IsTrue, qt.Commentf("%d bytes", len(got.body)))
			})
		})
	}
}
