package inbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/standin/memnet"
)

// served is a guarded server in a bubble of synctest, with a client.
type served struct {
	*qt.C
	guard  *Guard
	client *memnet.Host

	mu sync.Mutex
	// bodies are the bodies that the handler has got.
	bodies []string
	// release ends the answers of requests for /held.
	release chan struct{}
}

const (
	serverAddress = "10.0.0.1:80"
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	bodyTimeout   = 40 * time.Second
)

// inBubble runs a test with a server whose guard has the given limits.
func inBubble(t *testing.T, limits Limits, test func(s *served)) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		s := &served{C: qt.New(t), client: n.Host("10.0.0.2"), release: make(chan struct{})}
		s.guard = NewGuard(Options{
			Listener: "callers", Limits: limits, Logger: slog.New(slog.DiscardHandler), CallerLimits: func() catalog.CallerLimits {
				return catalog.CallerLimits{HeaderBytes: 1024, BodyBytes: megabyte, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
			},
		})
		listener, err := n.Host("10.0.0.1").Listen(serverAddress)
		s.Assert(err, qt.IsNil)
		server := &http.Server{Handler: http.HandlerFunc(s.handle)}
		s.guard.Protect(server)
		go func() { _ = server.Serve(s.guard.Listen(listener)) }()
		test(s)
		_ = server.Close()
		// The server closes refused connections a little later.
		time.Sleep(time.Second)
	})
}

// roomy are limits that no test meets by chance.
var roomy = Limits{Connections: 100, Bytes: 64 * megabyte, MinLag: 100 * time.Millisecond}

func (s *served) handle(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, BodyLimits{MaxBytes: megabyte, IdleTimeout: idleTimeout, Deadline: time.Now().Add(bodyTimeout)})
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrBodyTimeout):
		w.WriteHeader(http.StatusRequestTimeout)
	case errors.Is(err, ErrNoMemory):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	}
	if err != nil {
		return
	}
	s.mu.Lock()
	s.bodies = append(s.bodies, string(body))
	s.mu.Unlock()
	if r.URL.Path == "/held" {
		<-s.release
	}
	if r.URL.Path == "/long" {
		_, _ = w.Write(make([]byte, 8*megabyte))
	}
}

func (s *served) dial() net.Conn {
	conn, err := s.client.Dial(context.Background(), serverAddress)
	s.Assert(err, qt.IsNil)
	s.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send sends text on a new connection.
func (s *served) send(text string) net.Conn {
	conn := s.dial()
	_, _ = io.WriteString(conn, text)
	return conn
}

// answer returns the status of the answer on a connection, or zero if it is closed without one.
func (s *served) answer(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func TestTimesOfRequestsAreBounded(t *testing.T) {
	inBubble(t, roomy, func(s *served) {
		for _, test := range []struct {
			name, text string
			status     int
			after      time.Duration
		}{
			{"nothing", "", 0, idleTimeout + timeoutGrace},
			{"a head without its end", "GET / HTTP/1.1\r\nA: b\r\n", http.StatusRequestTimeout, headerTimeout + timeoutGrace},
			{"a body without its end", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx", http.StatusRequestTimeout, idleTimeout},
			{"chunks without an end", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n", http.StatusRequestTimeout, idleTimeout},
			{"a head over the limit", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 2000), http.StatusRequestHeaderFieldsTooLarge, 0},
			{"a body over the limit", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n", http.StatusRequestEntityTooLarge, 0},
		} {
			began := time.Now()
			conn := s.send(test.text)
			s.Check(s.answer(conn), qt.Equals, test.status, qt.Commentf(test.name))
			s.Check(time.Since(began), qt.Equals, test.after, qt.Commentf(test.name))
		}
		s.Check(s.bodies, qt.HasLen, 0)
	})
}

func TestTricklingBodyEndsAtItsDeadline(t *testing.T) {
	inBubble(t, roomy, func(s *served) {
		conn := s.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")
		go func() {
			for {
				if _, err := conn.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		began := time.Now()
		s.Check(s.answer(conn), qt.Equals, http.StatusRequestTimeout)
		s.Check(time.Since(began), qt.Equals, bodyTimeout)
		_ = conn.Close()
	})
}

func TestAnswerThatIsNotReadIsGivenUp(t *testing.T) {
	inBubble(t, roomy, func(s *served) {
		s.send("GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(2 * idleTimeout)
		connections, _ := s.guard.ledger.usage()
		s.Check(connections, qt.Equals, 0)
	})
}

func TestAnswerThatIsNotReadGivesWay(t *testing.T) {
	inBubble(t, Limits{Connections: 1, Bytes: 8 * megabyte, MinLag: 100 * time.Millisecond, AnswerGrace: 2 * time.Second}, func(s *served) {
		s.send("GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(time.Second)
		s.Check(s.answer(s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), qt.Equals, http.StatusServiceUnavailable)
		time.Sleep(2 * time.Second)
		s.Check(s.answer(s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), qt.Equals, http.StatusOK)
	})
}

func TestRequestsBehindEachOtherAreServedInOrder(t *testing.T) {
	inBubble(t, roomy, func(s *served) {
		conn := s.dial()
		go func() {
			for _, body := range []string{"one", "two", "three"} {
				_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "+string(rune('0'+len(body)))+"\r\n\r\n"+body)
			}
		}()
		answers := bufio.NewReader(conn)
		for range 3 {
			resp, err := http.ReadResponse(answers, nil)
			s.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			s.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		}
		s.Check(s.bodies, qt.DeepEquals, []string{"one", "two", "three"})
	})
}

func TestIdleConnectionIsKeptForTheIdleTimeout(t *testing.T) {
	inBubble(t, roomy, func(s *served) {
		conn := s.dial()
		answers := bufio.NewReader(conn)
		for range 3 {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			s.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(answers, nil)
			s.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			time.Sleep(idleTimeout * 4 / 5)
		}
	})
}

func TestStalledBodiesGiveWayAndAreToldThatNothingRan(t *testing.T) {
	inBubble(t, Limits{Connections: 100, Bytes: 2 * megabyte, MinLag: 100 * time.Millisecond}, func(s *served) {
		stalled := s.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n")
		time.Sleep(time.Second)
		another := s.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000))
		s.Check(s.answer(another), qt.Equals, http.StatusOK)
		s.Check(s.answer(stalled), qt.Equals, http.StatusServiceUnavailable)
		s.Check(s.bodies, qt.HasLen, 1)
	})
}

func TestRequestsInFlightStayWhileOthersAreRefused(t *testing.T) {
	inBubble(t, Limits{Connections: 2, Bytes: 8 * megabyte, MinLag: 100 * time.Millisecond}, func(s *served) {
		first, second := s.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n"), s.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(time.Minute)
		s.Check(s.answer(s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), qt.Equals, http.StatusServiceUnavailable)
		close(s.release)
		s.Check(s.answer(first), qt.Equals, http.StatusOK)
		s.Check(s.answer(second), qt.Equals, http.StatusOK)
	})
}

func TestStalledRequestsDoNotHoldUpAShutdown(t *testing.T) {
	inBubble(t, roomy, func(s *served) {
		stalled := s.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
		held := s.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n")
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s.guard.CloseStalled(ctx, time.Second)
		s.Check(s.answer(stalled), qt.Equals, http.StatusServiceUnavailable)
		close(s.release)
		s.Check(s.answer(held), qt.Equals, http.StatusOK)
	})
}
