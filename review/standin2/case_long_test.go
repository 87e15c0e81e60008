//go:build review2

package standin2

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-server"] = slowServer }

// The answer of a lookup: 160 KB in parts, in 96 ms from a server that is not slow.
const (
	answerParts = 16
	partBytes   = 10 << 10
	partTime    = 6 * time.Millisecond
)

// The dose of srv_slow in fleetbench kinds: a share of 0.15 of the servers work 4 times as long, for 5 s.
const (
	slowServers = 6
	slowFactor  = 4
	slowTime    = 5 * time.Second
	// warmTime is how long lookups are made before.
	warmTime = 2 * time.Second
)

// lookups is a sound server whose answers are long. It may turn slow.
type lookups struct {
	id   string
	slow atomic.Bool
	s    *scene
}

// ServeHTTP implements http.Handler.
func (l *lookups) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	if req.Header.Get("Expect-Instance") != l.id {
		w.Header().Set("Instance-Id", l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", "stamp."+l.id+"."+id)
	each := partTime
	if l.slow.Load() {
		each *= slowFactor
		l.s.record("server %s, which is slow, runs %s", l.id, id)
	}
	for i := range answerParts {
		if !pause(req, each) {
			l.s.record("server %s was left by the caller of %s after %d of %d parts", l.id, id, i, answerParts)
			return
		}
		if _, err := w.Write([]byte(strings.Repeat("x", partBytes))); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// slowServer turns one server of six slow while lookups with long answers are made on kept channels.
func slowServer(s *scene) {
	s.configure(3, []string{key}, route{prefix: "/pesee/", kind: "idempotent", service: plainService, attempts: 2, timeoutMs: 600, targetMs: 100})
	address := s.serve(s.store)
	var servers []*lookups
	for i := range slowServers {
		l := &lookups{id: "i-plain-" + string(rune('1'+i)), s: s}
		s.list(newRunner(l.id, plainService, s.record), s.serve(l), zones[i%len(zones)], "ready", nil)
		servers = append(servers, l)
	}
	s.startDaemons(3, func(int) string { return address })
	end := time.Now().Add(warmTime + slowTime)
	var all sync.WaitGroup
	var cut atomic.Int64
	for i := range 24 {
		all.Go(func() {
			d := s.daemons[i%len(s.daemons)]
			for time.Now().Before(end) {
				cut.Add(s.lookUp(d, end))
			}
		})
	}
	time.Sleep(warmTime)
	servers[0].slow.Store(s.trouble)
	s.record("server %s is slow: %v", servers[0].id, s.trouble)
	all.Wait()
	s.record("%d requests from kept channels were cut", cut.Load())
	// The rule allows three.
	if cut.Load() > 3 {
		s.breaks("LOST: %d requests from kept channels were passed on to a sound server, and their channels were closed without a whole answer", cut.Load())
	}
}

// lookUp makes lookups on one channel until it is closed, and returns one if it was cut after the first.
func (s *scene) lookUp(d *daemon, end time.Time) (cut int64) {
	c, err := dial(d.callers)
	if err != nil {
		s.record("no channel to %s: %v", d.name, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	for n := 0; time.Now().Before(end); n++ {
		r := request{id: requestID(), method: http.MethodGet, path: "/pesee/x", limit: 600 * time.Millisecond}
		began := time.Now()
		got := c.do(r)
		s.record("client of lookup %s, number %d on its channel to %s, got %v after %v", r.id, n+1, d.name, got, got.at.Sub(began).Round(time.Millisecond))
		if !got.complete {
			return int64(min(n, 1))
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0
}
