//go:build review2

package standin2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"time"
)

// runner is a sound server. It does what the pages say of one; its fields say how long its work takes.
type runner struct {
	id, service string
	// events is the number of events of its streams, and each the time between two of them.
	events int
	each   time.Duration
	// work is the time that an answer without events takes.
	work time.Duration
	// unframed is set if its answers have no length and end with their channels.
	unframed bool
	// note is called with what the server sees.
	note func(format string, values ...any)

	mu sync.Mutex
	// ran is how often each request was begun, ended how often it was run to its end.
	ran, ended map[string]int
}

func newRunner(id, service string, note func(string, ...any)) *runner {
	return &runner{id: id, service: service, note: note, ran: map[string]int{}, ended: map[string]int{}}
}

func (r *runner) count(counts map[string]int, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts[id]++
}

func (r *runner) runs(id string) (ran, ended int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id], r.ended[id]
}

// event returns an event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d of the answer\n\n", id, id) }

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("Request-Id")
	switch {
	case req.URL.Path == "/kv-move":
		// There is no room at any other server.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case req.Header.Get("Expect-Instance") != "" && req.Header.Get("Expect-Instance") != r.id:
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.count(r.ran, id)
	r.note("server %s runs %s %s %s", r.id, req.Method, req.URL.Path, id)
	header := w.Header()
	header.Set("Request-Id", id)
	header.Set("Response-Stamp", "stamp."+r.id+"."+id)
	if r.events > 0 {
		header.Set("Content-Type", "text/event-stream")
	}
	if r.unframed {
		raw := newUnframed(w)
		defer raw.Close()
		w = raw
	}
	if !r.write(w, req) {
		r.note("server %s was left by the caller of %s", r.id, id)
		return
	}
	r.count(r.ended, id)
	r.note("server %s ends %s", r.id, id)
}

// write writes the answer, and returns false if the caller leaves.
func (r *runner) write(w http.ResponseWriter, req *http.Request) bool {
	if r.events == 0 {
		if !pause(req, r.work) {
			return false
		}
		_, err := fmt.Fprintf(w, "answer of %s", r.id)
		return err == nil
	}
	last := 0
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &last)
	for id := last + 1; id <= r.events; id++ {
		if !pause(req, r.each) {
			return false
		}
		if _, err := io.WriteString(w, event(id)); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
	}
	return true
}

func pause(req *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		return false
	}
}

// list writes the server's entry into the store.
func (s *scene) list(r *runner, address, zone, state string, more map[string]any) {
	entry := map[string]any{
		"service": r.service, "address": address, "zone": zone, "slots": 16, "state": state, "seq": 1, "version": "v1", "coldLeftMs": 0,
	}
	for name, value := range more {
		entry[name] = value
	}
	s.record("entry of server %s at %s: %s %v", r.id, address, state, more)
	s.store.Put("servers", r.id, entry)
}

// addRunner serves a server of the case's own process and lists it as ready.
func (s *scene) addRunner(r *runner, zone string) {
	s.list(r, s.serve(r), zone, "ready", nil)
}

// serveRunner serves a server whose process is a case's to kill. Its arguments are its ID, the
// number of events and the milliseconds between two.
func serveRunner(args []string) {
	var events, each int
	_, _ = fmt.Sscan(args[1], &events)
	_, _ = fmt.Sscan(args[2], &each)
	r := newRunner(args[0], "", func(format string, values ...any) { fmt.Fprintf(os.Stderr, format+"\n", values...) })
	r.events, r.each, r.unframed = events, time.Duration(each)*time.Millisecond, true
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(exitNotRun)
	}
	fmt.Println(listener.Addr())
	_ = (&http.Server{Handler: r, ReadHeaderTimeout: time.Minute}).Serve(listener)
}

// startRunner starts a server as a process and returns its address.
func (s *scene) startRunner(id string, events int, each time.Duration) (*exec.Cmd, string) {
	command := exec.Command(os.Args[0], "runner", id, fmt.Sprint(events), fmt.Sprint(each.Milliseconds()))
	out, err := command.StdoutPipe()
	s.must(err)
	s.must(command.Start())
	s.onEnd(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	var address string
	_, err = fmt.Fscan(out, &address)
	s.must(err)
	s.record("server %s is process %d at %s", id, command.Process.Pid, address)
	return command, address
}
