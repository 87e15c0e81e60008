//go:build review2

package standin2

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["reclaimed"] = reclaimed
	cases["frozen-helper"] = frozenHelper
}

// wholeStream is the body of a whole stream.
func wholeStream(events int) string {
	var b strings.Builder
	for id := 1; id <= events; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// stream sends a stream and checks that it does not end as complete before its last event.
func (s *scene) stream(d *daemon, path string, events int, limit time.Duration) {
	r := request{id: requestID(), method: http.MethodPost, path: path, body: "how heavy is block 12?", limit: limit, prompt: true}
	s.record("client sends stream %s %s to %s", path, r.id, d.name)
	got := ask(d, r)
	s.record("client of stream %s got %v", r.id, got)
	if whole := wholeStream(events); got.status == http.StatusOK && got.complete && got.body != whole {
		s.breaks("MIXED, ORDER: stream %s ended as complete with %d events of %d", r.id, strings.Count(got.body, "\n\n"), events)
	}
}

// reclaimed ends a reclaimable server at the time that its notice has named. Its answers have no length.
func reclaimed(s *scene) {
	const events = 30
	s.configure(3, []string{key}, route{prefix: "/termes/", kind: "streaming", service: modelService, attempts: 1, timeoutMs: 4000, targetMs: 1000})
	address := s.serve(s.store)
	command, runnerAddress := s.startRunner("i-spot", events, 120*time.Millisecond)
	spot := &runner{id: "i-spot", service: modelService}
	s.list(spot, runnerAddress, zones[0], "ready", map[string]any{"spot": true})
	s.startDaemons(3, func(int) string { return address })
	var all sync.WaitGroup
	for _, d := range s.daemons {
		all.Go(func() { s.stream(d, "/termes/q", events, 4*time.Second) })
	}
	time.Sleep(200 * time.Millisecond)
	// Other servers of the service are there, and have no room for copies of running streams.
	for _, zone := range zones {
		other := newRunner("i-model-"+zone, modelService, s.record)
		other.events, other.each = events, 120*time.Millisecond
		s.addRunner(other, zone)
	}
	if s.trouble {
		s.list(spot, runnerAddress, zones[0], "draining", map[string]any{"spot": true, "leaves_ms": 2500, "seq": 2})
		time.Sleep(2500 * time.Millisecond)
		s.record("server i-spot is gone")
		_ = command.Process.Signal(syscall.SIGKILL)
		s.store.Remove("servers", "i-spot")
	}
	all.Wait()
}

// frozenHelper ends a server while another daemon stands still. Its answers have no length. With FREEZE=0
// the server ends and no daemon stands still.
func frozenHelper(s *scene) {
	const events = 60
	s.configure(3, []string{key}, route{prefix: "/macon/", kind: "streaming", service: modelService, attempts: 2, timeoutMs: 15000, targetMs: 800, resume: true})
	address := s.serve(s.store)
	command, runnerAddress := s.startRunner("i-model", events, 50*time.Millisecond)
	model := &runner{id: "i-model", service: modelService}
	s.list(model, runnerAddress, zones[0], "ready", nil)
	s.startDaemons(3, func(int) string { return address })
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() { s.stream(s.daemons[0], "/macon/q", events, 15*time.Second) })
	}
	time.Sleep(200 * time.Millisecond)
	// One server of six crashes, a share of 0.17.
	for i := range 5 {
		other := newRunner(fmt.Sprintf("i-model-%d", i+1), modelService, s.record)
		other.events, other.each = events, 50*time.Millisecond
		s.addRunner(other, zones[i%len(zones)])
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		if os.Getenv("FREEZE") != "0" {
			s.signal(s.daemons[1], syscall.SIGSTOP)
		}
		time.Sleep(300 * time.Millisecond)
		s.record("server i-model crashes")
		_ = command.Process.Signal(syscall.SIGKILL)
	}
	all.Wait()
	if s.trouble {
		s.signal(s.daemons[1], syscall.SIGCONT)
	}
}
