package onplatform

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// TestPassesRequestAndAnswerUnchanged: what is the caller's goes on as it came,
// what is ours is set by us alone, and the key goes no further.
func TestPassesRequestAndAnswerUnchanged(t *testing.T) {
	var server *fake.Server
	run(t, 1, func(b *bed) {
		server = b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "non_idempotent", 1), plainRoute("/a/b/", "idempotent", 2)})
	}, func(b *bed) {
		got := b.send(call{
			method: "POST", path: "/a/x%2Fy?q=1&q=2", key: testKey, body: "exact bytes", deadline: 500 * time.Millisecond,
			header: map[string]string{"X-Own": "kept", "Tenant": "forged", "Expect-Instance": "forged", "Kv-From": "forged"},
		})
		b.Assert(got.status, qt.Equals, 200)
		b.Assert(got.body, qt.Equals, "answer to "+got.id)
		b.Assert(got.header.Get("Response-Stamp"), qt.Equals, "stamp-of-i-1")
		arrived := server.Arrivals()[0]
		b.Assert(arrived.Target, qt.Equals, "/a/x%2Fy?q=1&q=2")
		b.Assert(arrived.Body, qt.Equals, "exact bytes")
		b.Assert(arrived.Header.Get("X-Own"), qt.Equals, "kept")
		b.Assert(arrived.Header.Get("Tenant"), qt.Equals, workspace)
		b.Assert(arrived.Header.Get("Expect-Instance"), qt.Equals, "i-1")
		b.Assert(arrived.Header.Get("Authorization"), qt.Equals, "")
		b.Assert(arrived.Header.Get("Kv-From"), qt.Equals, "")
		left, err := strconv.Atoi(arrived.Header.Get("Deadline-Ms"))
		b.Assert(err, qt.IsNil)
		b.Assert(left > 0 && left <= 500, qt.IsTrue, qt.Commentf("left %d", left))
	})
}

// TestRefusesAtTheDoor: unknown keys, routes and large bodies are told apart.
func TestRefusesAtTheDoor(t *testing.T) {
	run(t, 1, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "non_idempotent", 1)})
	}, func(b *bed) {
		b.Check(b.send(call{method: "POST", path: "/a/x", key: "unknown"}).status, qt.Equals, 401)
		b.Check(b.send(call{method: "POST", path: "/a/x"}).status, qt.Equals, 401)
		b.Check(b.send(call{method: "POST", path: "/b/x", key: testKey}).status, qt.Equals, 404)
		b.Check(b.send(call{method: "POST", path: "/a/x", key: testKey, body: string(make([]byte, 100001))}).status, qt.Equals, 413)
	})
}

// TestSaysNothingFalseBeforeConfiguration: a daemon that knows no configuration
// refuses with 503, never with 401 or 404, and is not ready.
func TestSaysNothingFalseBeforeConfiguration(t *testing.T) {
	run(t, 1, func(*bed) {}, func(b *bed) {
		b.Check(b.ready(b.daemons[0]), qt.IsFalse)
		got := b.send(call{method: "POST", path: "/a/x", key: testKey})
		b.Check(got.status, qt.Equals, 503)
		b.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	})
}

// TestNonIdempotentRunsOnce: after a lost answer the request is not sent again
// and is not called not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	var one, two *fake.Server
	run(t, 1, func(b *bed) {
		lose := func(int, *http.Request) fake.Behaviour { return fake.Behaviour{LoseAnswer: true} }
		one = b.addServer("i-1", plain, &fake.Server{Behave: lose})
		two = b.addServer("i-2", plain, &fake.Server{Behave: lose})
		b.configure(routes{plainRoute("/a/", "non_idempotent", 3)})
	}, func(b *bed) {
		got := b.send(call{method: "POST", path: "/a/x", key: testKey, body: "order"})
		b.Check(got.status, qt.Equals, 502)
		b.Check(one.RunCount(got.id)+two.RunCount(got.id), qt.Equals, 1)
	})
}

// TestDeclinedGoesToAnotherServer: a server's word that it has not run the
// request lets a non-idempotent one go on.
func TestDeclinedGoesToAnotherServer(t *testing.T) {
	var one, two *fake.Server
	run(t, 1, func(b *bed) {
		first := func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Decline: true} }
		one = b.addServer("i-1", plain, &fake.Server{Behave: first})
		two = b.addServer("i-2", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "non_idempotent", 2)})
	}, func(b *bed) {
		got := b.send(call{method: "POST", path: "/a/x", key: testKey, body: "order"})
		b.Check(got.status, qt.Equals, 200)
		b.Check(one.RunCount(got.id), qt.Equals, 0)
		b.Check(two.RunCount(got.id), qt.Equals, 1)
	})
}

// TestRefusalIsTrue: when every server declines, the caller is told that the
// request has not run and when to come back.
func TestRefusalIsTrue(t *testing.T) {
	var server *fake.Server
	run(t, 1, func(b *bed) {
		server = b.addServer("i-1", plain, &fake.Server{Behave: func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Decline: true} }})
		b.configure(routes{plainRoute("/a/", "non_idempotent", 2)})
	}, func(b *bed) {
		got := b.send(call{method: "POST", path: "/a/x", key: testKey, body: "order"})
		b.Check(got.status, qt.Equals, 503)
		b.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		b.Check(server.RunCount(got.id), qt.Equals, 0)
		b.Check(got.took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", got.took))
	})
}

// TestIdempotentIsSentAgain: a lost answer, an unsigned one and a failure of the
// server are mended by another server.
func TestIdempotentIsSentAgain(t *testing.T) {
	faults := map[string]fake.Behaviour{
		"answer lost": {LoseAnswer: true},
		"unsigned":    {Unsigned: true},
		"failure":     {Status: 500},
		"silence":     {Delay: time.Minute},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(b *bed) {
				b.addServer("i-1", plain, &fake.Server{Behave: func(int, *http.Request) fake.Behaviour { return fault }})
				b.addServer("i-2", plain, &fake.Server{})
				b.configure(routes{plainRoute("/a/", "idempotent", 2)})
			}, func(b *bed) {
				got := b.send(call{method: "GET", path: "/a/x", key: testKey})
				b.Check(got.status, qt.Equals, 200)
				b.Check(got.header.Get("Response-Stamp"), qt.Equals, "stamp-of-i-2")
			})
		})
	}
}

// TestMaxAttemptsBinds: a route with one attempt has one.
func TestMaxAttemptsBinds(t *testing.T) {
	var one, two *fake.Server
	run(t, 1, func(b *bed) {
		lose := func(int, *http.Request) fake.Behaviour { return fake.Behaviour{LoseAnswer: true} }
		one = b.addServer("i-1", plain, &fake.Server{Behave: lose})
		two = b.addServer("i-2", plain, &fake.Server{Behave: lose})
		b.configure(routes{plainRoute("/a/", "idempotent", 1)})
	}, func(b *bed) {
		got := b.send(call{method: "GET", path: "/a/x", key: testKey})
		b.Check(got.status, qt.Equals, 502)
		b.Check(one.RunCount(got.id)+two.RunCount(got.id), qt.Equals, 1)
	})
}

// TestAnswersAtRouteTimeout: a silent server's request gets its final answer at
// the route's timeout, not later.
func TestAnswersAtRouteTimeout(t *testing.T) {
	run(t, 1, func(b *bed) {
		b.addServer("i-1", plain, &fake.Server{Behave: func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: time.Minute} }})
		b.configure(routes{plainRoute("/a/", "non_idempotent", 1)})
	}, func(b *bed) {
		got := b.send(call{method: "POST", path: "/a/x", key: testKey, deadline: 10 * time.Second})
		b.Check(got.status, qt.Equals, 504)
		b.Check(got.took >= 600*time.Millisecond && got.took < 700*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", got.took))
	})
}

// TestCallerThatLeavesCancels: the server learns within half a second.
func TestCallerThatLeavesCancels(t *testing.T) {
	var server *fake.Server
	run(t, 1, func(b *bed) {
		server = b.addServer("i-1", model, &fake.Server{EventCount: 50, Behave: func(int, *http.Request) fake.Behaviour {
			return fake.Behaviour{Delay: 100 * time.Millisecond}
		}})
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(b *bed) {
		ctx, leave := context.WithTimeout(context.Background(), 350*time.Millisecond)
		defer leave()
		b.sendCtx(ctx, call{method: "POST", path: "/s/x", key: testKey, tokens: "150,30"})
		time.Sleep(400 * time.Millisecond)
		b.Check(server.Arrivals()[0].Cancelled, qt.IsTrue)
		b.Check(server.Arrivals(), qt.HasLen, 1)
	})
}

// TestAddressOfAnotherServer: a server that is not the expected one does not run
// the request, which goes on elsewhere.
func TestAddressOfAnotherServer(t *testing.T) {
	var other *fake.Server
	run(t, 1, func(b *bed) {
		other = b.addServer("i-1", plain, &fake.Server{})
		b.addServer("i-2", plain, &fake.Server{})
		b.configure(routes{plainRoute("/a/", "non_idempotent", 2)})
	}, func(b *bed) {
		other.ID = "i-9"
		got := b.send(call{method: "POST", path: "/a/x", key: testKey})
		b.Check(got.status, qt.Equals, 200)
		b.Check(got.header.Get("Response-Stamp"), qt.Equals, "stamp-of-i-2")
		b.Check(other.RunCount(got.id), qt.Equals, 0)
	})
}

// TestRetryBudgetBinds: repeats stay within the deployment's budget.
func TestRetryBudgetBinds(t *testing.T) {
	var one, two *fake.Server
	run(t, 2, func(b *bed) {
		lose := func(int, *http.Request) fake.Behaviour { return fake.Behaviour{LoseAnswer: true} }
		one = b.addServer("i-1", plain, &fake.Server{Behave: lose})
		two = b.addServer("i-2", plain, &fake.Server{Behave: lose})
		b.configure(routes{plainRoute("/a/", "idempotent", 2)})
	}, func(b *bed) {
		const requests = 200
		b.burst(requests, func(i int) call { return call{method: "GET", path: "/a/x", key: testKey, to: i % 2} })
		repeats := len(one.Arrivals()) + len(two.Arrivals()) - requests
		b.Check(repeats > 0, qt.IsTrue)
		b.Check(repeats <= requests/5+50, qt.IsTrue, qt.Commentf("%d repeats", repeats))
	})
}
