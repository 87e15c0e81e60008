//go:build review2

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = extraAnswers }

// The largest dose of extra answers on the pages: kind garble, how "extra late". One of three servers sends
// them, which is less than the share of 0.6 there.
const (
	// extraShare is the share of its answers after which a faulty server sends an extra one.
	extraShare = 0.03
	// extraTime is how long it does so, and extraPause the time until it does again.
	extraTime  = 5 * time.Second
	extraPause = 2 * time.Second
	extraTimes = 4
)

// shed is the answer of a server that sheds, as fleetbench wire prints it.
const shed = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// faulty is a plain server on raw channels. After some of its answers it sends an extra one, late: at the
// point where the next answer on the channel is expected.
type faulty struct {
	*runner
	extra atomic.Bool
}

func (f *faulty) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *faulty) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	owed := false
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if req.Header.Get("Expect-Instance") != f.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", f.id)
			continue
		}
		f.count(f.ran, id)
		f.note("server %s runs %s %s", f.id, req.URL.Path, id)
		if owed {
			f.note("server %s sends an extra answer on the channel", f.id)
			_, _ = io.WriteString(conn, shed)
		}
		time.Sleep(f.work)
		body := "answer of " + f.id
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, f.id, id, len(body), body)
		if err != nil {
			return
		}
		f.count(f.ended, id)
		owed = f.extra.Load() && rand.Float64() < extraShare
	}
}

func extraAnswers(s *scene) {
	s.configure(3, []string{key}, route{prefix: "/commande/", kind: "non_idempotent", service: plainService, attempts: 1, timeoutMs: 600, targetMs: 100})
	address := s.serve(s.store)
	var servers []*faulty
	for _, zone := range zones {
		f := &faulty{runner: newRunner("i-plain-"+zone, plainService, s.record)}
		f.work = 15 * time.Millisecond
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		s.must(err)
		s.onEnd(func() { _ = listener.Close() })
		go f.accept(listener)
		s.list(f.runner, listener.Addr().String(), zone, "ready", nil)
		servers = append(servers, f)
	}
	s.startDaemons(3, func(int) string { return address })
	var all sync.WaitGroup
	var ended atomic.Bool
	for i := range 9 {
		all.Go(func() {
			for !ended.Load() {
				s.order(s.daemons[i%len(s.daemons)], servers)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for range extraTimes {
		if s.trouble {
			s.record("server %s sends extra answers from now on", servers[0].id)
			servers[0].extra.Store(true)
		}
		time.Sleep(extraTime)
		servers[0].extra.Store(false)
		time.Sleep(extraPause)
	}
	ended.Store(true)
	all.Wait()
}

// order sends one order, and once more if its answer says that it has not run, as the requesters of the
// pages do.
func (s *scene) order(d *daemon, servers []*faulty) {
	r := request{id: requestID(), method: http.MethodPost, path: "/commande/x", body: "40 slabs", limit: 600 * time.Millisecond}
	got := ask(d, r)
	// The server has begun before the answer; what it notes is read a little later.
	time.Sleep(30 * time.Millisecond)
	runs := runsOf(servers, r.id)
	switch {
	case runs > 1:
		s.breaks("TWICE: order %s has run %d times: %v", r.id, runs, got)
	case runs > 0 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests):
		s.breaks("REFUSED: order %s was refused and has run: %v", r.id, got)
		again := request{id: requestID(), method: http.MethodPost, path: r.path, body: r.body, limit: 400 * time.Millisecond}
		s.record("client sends the order again as %s and gets %v", again.id, ask(d, again))
	case got.status != http.StatusOK:
		s.record("order %s ran %d times: %v", r.id, runs, got)
	}
}

// runsOf returns how often a request has run.
func runsOf(servers []*faulty, id string) (runs int) {
	for _, f := range servers {
		ran, _ := f.runs(id)
		runs += ran
	}
	return runs
}
