//go:build review

package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/plankridge/plankridge/platform/fake"
)

func init() {
	cases["case2"], cases["server"] = cutAnswerOfLeavingServer, runStreamServer
}

const (
	// streamEvents, eventPause and streamTimeout are within the sheet of order-history-digest of
	// swanbourne-orders: up to 160 events, pauses of 250 ms, a timeoutMs and time limit of 12 s.
	streamEvents  = 40
	eventPause    = 100 * time.Millisecond
	streamTimeout = 12000
	// streams are begun shortly before one of the servers reports that it leaves: 1 of 8 is within the
	// share of scale_in on the site, 0.13.
	streams, streamServers = 480, 8
	// perUnframed is how many answers of the server that leaves there are to one without a length: the
	// site has x 0.05 for garble "unframed".
	perUnframed = 20
	// drainBound is drainMs, and servesOn the "little longer" that the server serves after it.
	drainBound = 2 * time.Second
	servesOn   = 500 * time.Millisecond
)

// streamServer is a model server in a process of its own.
type streamServer struct {
	id, address string
	command     *exec.Cmd
	exited      chan struct{}
}

// startServer starts a model server as a process. Some answers of one that is unframed have no length.
func (d *deployment) startServer(id, ip string, unframed bool) (*streamServer, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &streamServer{id: id, address: listener.Addr().String(), exited: make(chan struct{})}
	_ = listener.Close()
	s.command = exec.Command(os.Args[0])
	s.command.Env = append(os.Environ(), "REVIEW_PROGRAM=server", "REVIEW_ID="+id, "REVIEW_LISTEN="+s.address, fmt.Sprintf("REVIEW_UNFRAMED=%v", unframed))
	output, err := s.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			d.line("server %s: %s", id, lines.Text())
		}
		_ = s.command.Wait()
		close(s.exited)
	}()
	d.closers = append(d.closers, func() {
		_ = s.command.Process.Kill()
		<-s.exited
	})
	for range 50 {
		if conn, err := net.Dial("tcp", s.address); err == nil {
			return s, conn.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("server %s does not listen", id)
}

// runStreamServer is the process of a model server. SIGTERM ends it.
func runStreamServer() (int, error) {
	newServer := func(unframed bool) *fake.Server {
		return &fake.Server{
			ID: os.Getenv("REVIEW_ID"), EventCount: streamEvents, EndWithConnection: unframed,
			Behave: func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: eventPause} },
		}
	}
	framed, unframed := newServer(false), newServer(true)
	var answers atomic.Int64
	listener, err := net.Listen("tcp", os.Getenv("REVIEW_LISTEN"))
	if err != nil {
		return notRun, err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv-move" {
			// There is no room for a copy.
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		server, form := framed, "with chunks"
		if os.Getenv("REVIEW_UNFRAMED") == "true" && answers.Add(1)%perUnframed == 0 {
			server, form = unframed, "without a length"
		}
		fmt.Println("runs", r.Header.Get("Request-Id"), form)
		server.ServeHTTP(w, r)
		fmt.Println("has ended", r.Header.Get("Request-Id"))
	})
	return notRun, (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(listener)
}

// stream is what a requester saw of one stream.
type stream struct {
	id     string
	status int
	events int
	// complete is set if the answer ended as a complete one does.
	complete bool
	err      error
}

// cutAnswerOfLeavingServer lets a server leave while a few of its streams have no length and end with
// their channels. Without the disruption it leaves too, and all its streams have chunks.
func cutAnswerOfLeavingServer() (int, error) {
	r, err := newRecord()
	if err != nil {
		return notRun, err
	}
	var leaving *streamServer
	d, err := startDeployment(r, 3, func(d *deployment) error {
		d.putConfig(1, resumable(route("order-history-digest", "/digest/", "streaming", streamService, streamTimeout)))
		for i := range streamServers {
			zone := fmt.Sprintf("perth-%c", 'a'+i%4)
			s, err := d.startServer(fmt.Sprintf("loom-llm-%d", i+1), fmt.Sprintf("127.83.9.%d", i+1), i == 0 && troubled())
			if err != nil {
				return err
			}
			if leaving == nil {
				leaving = s
			}
			d.putServer(s.id, streamService, s.address, zone, "ready", 1)
		}
		return nil
	})
	defer d.close()
	if err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	seen := make([]stream, streams)
	var wait sync.WaitGroup
	for n := range seen {
		wait.Go(func() { seen[n] = d.readStream(d.daemons[n%len(d.daemons)], n) })
	}
	time.Sleep(300 * time.Millisecond)
	d.putServer(leaving.id, streamService, leaving.address, "perth-a", "draining", 2)
	time.Sleep(drainBound + servesOn)
	if err := leaving.command.Process.Signal(syscall.SIGTERM); err != nil {
		return notRun, err
	}
	<-leaving.exited
	d.store.Remove("servers", leaving.id)
	d.line("server %s has exited, and its entry is gone", leaving.id)
	wait.Wait()
	return d.judgeStreams(seen), nil
}

// readStream sends a request and reads the stream to its end.
func (d *deployment) readStream(to *daemon, n int) stream {
	s := stream{id: fmt.Sprintf("c%015x", n+1)}
	conn, err := net.Dial("tcp", to.callers)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = conn.Close() }()
	body := "sum up the orders of the mill"
	_, _ = fmt.Fprintf(conn, "POST /digest/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\nModel: m\r\nToken-Counts: 11992,280\r\nPrefix-Hash: %x:5382,%x:6610\r\nContent-Length: %d\r\n\r\n%s",
		host, s.id, streamTimeout, key, 77, 1000+n, len(body), body)
	d.line("request %s is sent to %s", s.id, to.id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.err = err
		return s
	}
	s.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	s.events, s.complete, s.err = strings.Count(string(text), "\n\n"), err == nil, err
	d.line("request %s: status %d, %d of %d events, ends as complete %v, transfer encoding %v, %v", s.id, s.status, s.events, streamEvents, s.complete, resp.TransferEncoding, err)
	return s
}

// judgeStreams applies the rule ORDER: no stream ends as complete before its last event.
func (d *deployment) judgeStreams(seen []stream) int {
	whole, cut, short, refused := 0, 0, 0, 0
	for _, s := range seen {
		switch {
		case s.status != http.StatusOK:
			refused++
		case !s.complete:
			cut++
		case s.events < streamEvents:
			short++
		default:
			whole++
		}
	}
	return d.verdict(short > 0, "of %d streams %d were whole, %d were seen to be cut, %d were refused or failed, %d ended as complete before their last event",
		len(seen), whole, cut, refused, short)
}
