//go:build review2

package standin2

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["second-term"] = secondTerm }

// secondTerm sends SIGTERM a second time while the shutdown waits for requests in flight.
func secondTerm(s *scene) {
	s.configure(3, []string{key}, route{prefix: "/macon/", kind: "streaming", service: modelService, attempts: 2, timeoutMs: 15000, targetMs: 800, resume: true})
	address := s.serve(s.store)
	var servers []*runner
	for _, zone := range zones {
		model := newRunner("i-model-"+zone, modelService, s.record)
		model.events, model.each = 60, 50*time.Millisecond
		s.addRunner(model, zone)
		servers = append(servers, model)
	}
	s.startDaemons(3, func(int) string { return address })
	d := s.daemons[0]
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			r := request{id: requestID(), method: http.MethodPost, path: "/macon/q", body: "how heavy is block 12?", limit: 15 * time.Second, prompt: true}
			s.record("client sends stream %s to %s", r.id, d.name)
			got := ask(d, r)
			s.record("client of stream %s got %v", r.id, got)
			ran := 0
			for _, server := range servers {
				n, _ := server.runs(r.id)
				ran += n
			}
			if ran > 0 && !got.complete {
				s.breaks("LOST: stream %s was passed on, and its channel ended without a complete answer", r.id)
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	s.signal(d, syscall.SIGTERM)
	if s.trouble {
		time.Sleep(800 * time.Millisecond)
		s.signal(d, syscall.SIGTERM)
	}
	all.Wait()
}
