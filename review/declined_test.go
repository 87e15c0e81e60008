//go:build review

package review

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["declined"] = extraRefusalOfTheSameRequest }

const (
	deskSlots, deskRunTime = 6, 60 * time.Millisecond
	desks, deskAttempts    = 2, 3
	deskRequesters         = 18
	deskLoadTime           = 15 * time.Second
)

// desk is a plain server that declines requests while it is full, and repeats some refusals.
type desk struct {
	d       *deployment
	id      string
	mu      sync.Mutex
	busy    int
	runs    map[string]int
	answers int
	extras  int
}

// deskConn is a channel to a desk. refusal is its last answer if that was a refusal, of request id.
type deskConn struct {
	net.Conn
	refusal []byte
	id      string
}

// ServeHTTP implements http.Handler.
func (s *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*deskConn)
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	full, isExtra := s.begin(conn, id)
	if isExtra {
		s.d.line("server %s: extra copy of the refusal of %s where its next answer is expected", s.id, id)
		_, _ = conn.Write(conn.refusal)
	}
	conn.refusal, conn.id = nil, id
	w.Header().Set("Request-Id", id)
	if full {
		conn.refusal = []byte(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", id))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "full")
		return
	}
	s.d.line("server %s: runs %s", s.id, id)
	time.Sleep(deskRunTime)
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
	w.Header().Set("Response-Stamp", "stamp-of-"+s.id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// begin decides whether a request runs, and whether the refusal before it on its channel, of the same
// request, comes again.
func (s *desk) begin(conn *deskConn, id string) (full, isExtra bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	isExtra = troubled() && conn.refusal != nil && conn.id == id && float64(s.extras+1) <= extraShare*float64(s.answers)
	if isExtra {
		s.extras++
	}
	if full = s.busy >= deskSlots; !full {
		s.busy++
		s.runs[id]++
	}
	return full, isExtra
}

// extraRefusalOfTheSameRequest loads two servers beyond what they take, on a route whose requests run
// once and may be sent three times.
func extraRefusalOfTheSameRequest() (int, error) {
	r, err := newRecord()
	if err != nil {
		return notRun, err
	}
	var servers []*desk
	d, err := startDeployment(r, 3, func(d *deployment) error {
		once := route("yarn-reserve", "/reserve/", "non_idempotent", plainService, orderTimeout)
		once["maxAttempts"] = deskAttempts
		d.putConfig(1, once)
		for n := range desks {
			s := &desk{d: d, id: fmt.Sprintf("mill-desk-%d", n+1), runs: map[string]int{}}
			listener, err := net.Listen("tcp", "127.83.9.1:0")
			if err != nil {
				return err
			}
			server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, &deskConn{Conn: c})
			}}
			go func() { _ = server.Serve(listener) }()
			d.closers = append(d.closers, func() { _ = server.Close() })
			d.putServer(s.id, plainService, listener.Addr().String(), "perth-a", "ready", 1)
			servers = append(servers, s)
		}
		return nil
	})
	defer d.close()
	if err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	return d.judgeRefusals(d.loadDesks(), servers), nil
}

// loadDesks sends orders, each on a channel of its own, and returns their statuses.
func (d *deployment) loadDesks() map[string]int {
	stop := time.Now().Add(deskLoadTime)
	statuses := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for c := range deskRequesters {
		wait.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				id := fmt.Sprintf("a%03d%06d", c, n)
				status := d.sendOrder(d.daemons[c%len(d.daemons)], id)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	time.Sleep(5 * deskRunTime)
	return statuses
}

func (d *deployment) sendOrder(to *daemon, id string) (status int) {
	conn, err := net.Dial("tcp", to.callers)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /reserve/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Token %s\r\nContent-Length: 3\r\n\r\nabc", host, id, key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// judgeRefusals applies the rules REFUSED and TWICE.
func (d *deployment) judgeRefusals(statuses map[string]int, servers []*desk) int {
	twice, refused, extras, answers := 0, 0, 0, 0
	for _, s := range servers {
		extras, answers = extras+s.extras, answers+s.answers
	}
	for id, status := range statuses {
		runs := 0
		for _, s := range servers {
			runs += s.runs[id]
		}
		if runs > 1 {
			twice++
		}
		if runs > 0 && status == http.StatusServiceUnavailable {
			refused++
			d.line("order %s: status 503, runs %d", id, runs)
		}
	}
	return d.verdict(refused+twice > 0, "%d of %d answers came twice; of %d orders %d were answered 503 and ran, %d ran more than once",
		extras, answers, len(statuses), refused, twice)
}
