package onplatform

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// repeatingServer declines each request once. When the request comes again on the same connection, it sends a copy of the
// refusal first, as if that had been late, and then runs the request.
type repeatingServer struct {
	id   string
	mu   sync.Mutex
	seen map[string]bool
	runs map[string]int
}

// repeatedConn is a connection to a repeatingServer, with its last refusal.
type repeatedConn struct {
	net.Conn
	refusal string
}

type connKey struct{}

// ServeHTTP implements http.Handler.
func (s *repeatingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*repeatedConn)
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	if strings.Contains(conn.refusal, id) {
		_, _ = io.WriteString(conn, conn.refusal)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Request-Id", id)
	if !s.seen[id] {
		s.seen[id] = true
		conn.refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.runs[id]++
	w.Header().Set("Response-Stamp", "stamp-of-"+s.id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// listen serves on the in-memory network until the test ends.
func (s *repeatingServer) listen(b *bed, address string) {
	ip, _, _ := strings.Cut(address, ":")
	listener, err := b.net.Host(ip).Listen(address)
	b.Assert(err, qt.IsNil)
	server := &http.Server{
		Handler: s, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &repeatedConn{Conn: conn})
		},
	}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
}

// TestLateCopyOfARefusalIsNotTheAnswerToTheNextAttempt guards against orders that are refused as not run and run, because a
// late copy of the first attempt's refusal is taken for the answer to the second one at the same server.
func TestLateCopyOfARefusalIsNotTheAnswerToTheNextAttempt(t *testing.T) {
	s := &repeatingServer{id: "i-1", seen: map[string]bool{}, runs: map[string]int{}}
	run(t, 1, func(b *bed) {
		s.listen(b, b.serverAddress(s.id))
		b.listServer(s.id, plain, "ready")
		b.configure(routes{plainRoute("/o/", "non_idempotent", 3)})
	}, func(b *bed) {
		for range 20 {
			got := b.send(call{method: "POST", path: "/o/x", key: testKey, body: "one"})
			b.Check(s.runs[got.id] <= 1, qt.IsTrue)
			b.Check(got.status == 200, qt.Equals, s.runs[got.id] == 1, qt.Commentf("status %d, %d runs", got.status, s.runs[got.id]))
			time.Sleep(time.Second)
		}
		b.Check(len(s.runs) > 0, qt.IsTrue)
	})
}
