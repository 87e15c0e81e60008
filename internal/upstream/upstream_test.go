package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/network"
)

// scriptedServer answers each request on a connection with the next of its texts. An empty text
// closes the connection.
type scriptedServer struct {
	listener net.Listener
	conns    chan int
}

func serve(c *qt.C, texts ...string) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &scriptedServer{listener: listener, conns: make(chan int, 16)}
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- n
			go s.answer(conn, texts)
		}
	}()
	return s
}

func (s *scriptedServer) answer(conn net.Conn, texts []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, text := range texts {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if text == "" {
			return
		}
		_, _ = io.WriteString(conn, text)
	}
	_, _ = io.Copy(io.Discard, reader)
}

func get(target string) *http.Request {
	return &http.Request{Method: http.MethodGet, Host: "h", URL: &url.URL{Opaque: target}, Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
}

const (
	answerOne = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 3\r\n\r\none"
	answerTwo = "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 3\r\n\r\ntwo"
)

// hasID returns a matcher for responses with the given Request-Id.
func hasID(id string) func(*http.Response) bool {
	return func(r *http.Response) bool { return r.Header.Get("Request-Id") == id }
}

func do(pool *Pool, s *scriptedServer, id string, idle time.Duration) (string, error) {
	resp, err := pool.Do(context.Background(), s.listener.Addr().String(), get("/x"), Reuse{MaxIdle: idle, Matches: hasID(id)})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	s := serve(c, answerOne, answerTwo)
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	one, err := do(pool, s, "1", time.Minute)
	c.Assert(err, qt.IsNil)
	two, err := do(pool, s, "2", time.Minute)
	c.Assert(err, qt.IsNil)
	c.Check(one+two, qt.Equals, "onetwo")
	c.Check(pool.Opened(), qt.Equals, int64(1))
}

func TestNewConnectionWhereReuseIsNotAllowed(t *testing.T) {
	c := qt.New(t)
	s := serve(c, answerOne)
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	for range 2 {
		_, err := do(pool, s, "1", 0)
		c.Assert(err, qt.IsNil)
	}
	c.Check(pool.Opened(), qt.Equals, int64(2))
}

// TestAnswerOfAnotherRequestIsSkipped checks that a duplicate response to one request is not
// taken as the response to the next.
func TestAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	c := qt.New(t)
	s := serve(c, answerOne+answerTwo)
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	body, err := do(pool, s, "2", time.Minute)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "two")
}

// TestBytesAfterAnAnswerCondemnTheConnection checks that a connection with bytes after the end of
// a response is not reused, because the bytes belong to no request.
func TestBytesAfterAnAnswerCondemnTheConnection(t *testing.T) {
	c := qt.New(t)
	s := serve(c, answerOne+answerOne, answerTwo)
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	_, err := do(pool, s, "1", time.Minute)
	c.Assert(err, qt.IsNil)
	_, err = do(pool, s, "1", time.Minute)
	c.Assert(err, qt.IsNil)
	c.Check(pool.Opened(), qt.Equals, int64(2))
}

func TestErrorsSayWhatMayHaveRun(t *testing.T) {
	c := qt.New(t)
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	s := serve(c, "")
	_, err := do(pool, s, "1", 0)
	c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%v", err))
	garbage := serve(c, "this is no answer\r\n\r\n")
	_, err = do(pool, garbage, "1", 0)
	c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%v", err))
	_ = s.listener.Close()
	_, err = do(pool, s, "1", 0)
	c.Check(errors.Is(err, ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
}

func TestShortAnswerIsAnError(t *testing.T) {
	c := qt.New(t)
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	s := serve(c, strings.Replace(answerOne, "Content-Length: 3", "Content-Length: 9", 1), "")
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithCancel(context.Background())
		resp, err := pool.Do(ctx, s.listener.Addr().String(), get("/x"), Reuse{})
		if err == nil {
			cancel()
			_, err = io.ReadAll(resp.Body)
			resp.Close()
		}
		cancel()
		done <- err
	}()
	c.Check(<-done, qt.IsNotNil)
}

func TestIdleLimitIsRead(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]time.Duration{
		"timeout=5":         4 * time.Second,
		"max=9, timeout=7":  6 * time.Second,
		"":                  defaultIdleLimit,
		"timeout=notnumber": defaultIdleLimit,
	} {
		resp := &http.Response{Header: http.Header{"Keep-Alive": {text}}}
		c.Check(idleLimit(resp), qt.Equals, want, qt.Commentf("%q", text))
	}
}

// TestAbandonedRequestIsDiscarded checks that the connection is reset when the caller has gone, so
// that nothing of the request arrives later.
func TestAbandonedRequestIsDiscarded(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	ended := make(chan error, 1)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		leave()
		_, err = reader.ReadByte()
		ended <- err
	}()
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	_, err = pool.Do(ctx, listener.Addr().String(), get("/x"), Reuse{})
	c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(errors.Is(<-ended, syscall.ECONNRESET), qt.IsTrue)
}
