package onplatform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/router"
	"github.com/plankridge/plankridge/internal/standin/rawserver"
	"github.com/plankridge/plankridge/platform/fake"
)

// socketBed is a deployment on TCP sockets: daemons, and one backend server that writes bytes as they are.
type socketBed struct {
	*qt.C
	server *rawserver.Server
	// respond returns what the server answers to the request with an ID.
	respond func(id string) rawserver.Response
	// arrived is the ID of the last request that the server got.
	arrived atomic.Value
	// direct is the address of a daemon, and detoured that of one that reaches the server through the first one only.
	direct, detoured string
	next             int
	// given are the addresses that freeAddress has returned.
	given map[string]bool
}

// cutNetwork is a network on which one address cannot be reached.
type cutNetwork struct {
	network.TCP
	unreachable string
}

// Dial implements network.Network.
func (n cutNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if address == n.unreachable {
		return nil, syscall.EHOSTUNREACH
	}
	return n.TCP.Dial(ctx, address)
}

// Routes of a socketBed, by their prefixes.
const (
	orderPath  = "/o/"
	lookupPath = "/l/"
	streamPath = "/s/"
)

var socketPaths = []string{orderPath, lookupPath, streamPath}

// newSocketBed starts a deployment. The server answers requests as sound servers do until respond is set.
func newSocketBed(t *testing.T) *socketBed {
	b := &socketBed{C: qt.New(t), respond: soundResponse, given: map[string]bool{}}
	var err error
	b.server, err = rawserver.Start(func(r *http.Request) rawserver.Response {
		id := r.Header.Get("Request-Id")
		b.arrived.Store(id)
		return b.respond(id)
	})
	b.Assert(err, qt.IsNil)
	b.Cleanup(b.server.Stop)
	store := fake.NewStore()
	for _, service := range []string{plain, model} {
		store.Put("servers", service+"-1", map[string]any{
			"service": service, "address": b.server.Address(), "zone": "zone-1", "slots": 128, "state": "ready", "seq": 1, "version": "v1", "coldLeftMs": 0,
		})
	}
	patient := func(route map[string]any) map[string]any {
		route["timeoutMs"], route["targetLatencyMs"] = 20000, 5000
		return route
	}
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes":  routes{patient(plainRoute(orderPath, "non_idempotent", 2)), patient(plainRoute(lookupPath, "idempotent", 2)), patient(streamRoute(streamPath, true, 2))},
		"services": []map[string]any{
			{"name": plain, "healthPath": "/healthz", "maxConns": 2000},
			{"name": model, "healthPath": "/healthz", "maxConns": 2000, "engine": map[string]any{"slots": 128, "kvCapacityTokens": 1 << 30, "stride": 3}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	settings := config.RouterSettings{
		Kind:  config.RouterKind,
		Peers: config.RouterPeers{Seeds: []string{b.freeAddress(), b.freeAddress()}},
		Store: config.RouterAddress{Address: b.serve(store)},
		Cloud: config.RouterAddress{Address: b.serve(fake.NewCloud())},
		Bounds: config.RouterBounds{
			DrainTimeout: config.Duration(8 * time.Second), Lease: config.Duration(3 * time.Second),
			RetryRatio: 1, RetryWindow: config.Duration(10 * time.Second), RetryExtra: 10000,
			UsageWindow: config.Duration(5 * time.Second), UsageDue: config.Duration(10 * time.Second),
		},
	}
	b.direct = b.startDaemon(settings, 0, network.TCP{})
	b.detoured = b.startDaemon(settings, 1, cutNetwork{unreachable: b.server.Address()})
	for _, address := range []string{b.direct, b.detoured} {
		// A daemon that has no versions for streams yet answers other requests.
		for _, path := range []string{lookupPath, streamPath} {
			b.Assert(b.eventually(func() bool { return b.call(address, path, 0).status == http.StatusOK }), qt.IsTrue)
		}
	}
	return b
}

// eventually waits until something holds, or a minute has passed.
func (b *socketBed) eventually(holds func() bool) bool {
	for range 600 {
		if holds() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// serve serves a handler until the test ends and returns its address.
func (b *socketBed) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	b.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// freeAddress returns a loopback address that nothing listens on, another one at each call. Its IP is that of this process
// alone, so that no other one takes the port meanwhile.
func (b *socketBed) freeAddress() string {
	const span = 250
	pid := os.Getpid()
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.98.%d.%d:0", pid/span%span, pid%span+1))
		b.Assert(err, qt.IsNil)
		address := listener.Addr().String()
		b.Assert(listener.Close(), qt.IsNil)
		if !b.given[address] {
			b.given[address] = true
			return address
		}
	}
}

// startDaemon starts the daemon of a seed and returns its address for callers.
func (b *socketBed) startDaemon(settings config.RouterSettings, seed int, n network.Network) string {
	settings.VM = config.RouterVM{ID: fmt.Sprintf("vm-%d", seed+1), Zone: "zone-1"}
	settings.Listen = config.RouterListen{Callers: b.freeAddress(), Readiness: b.freeAddress(), Peers: settings.Peers.Seeds[seed]}
	r, err := router.New(router.Options{
		Settings: settings, Network: n, Logger: slog.New(slog.NewTextHandler(logOutput(), nil)),
		OnViolation: func(err error) { b.Errorf("invariant violated: %v", err) },
	})
	b.Assert(err, qt.IsNil)
	kill, end := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(context.Background(), kill) }()
	b.Cleanup(func() {
		end()
		<-done
	})
	return settings.Listen.Callers
}

// fieldsOf returns the header lines that a sound response to a request has.
func fieldsOf(id string) string {
	return "Request-Id: " + id + "\r\nResponse-Stamp: stamp\r\n"
}

// soundResponse is a response that comes after the upload.
func soundResponse(id string) rawserver.Response {
	return rawserver.Response{Text: soundText(id), AfterRequest: true}
}

func soundText(id string) string {
	return "HTTP/1.1 200 OK\r\n" + fieldsOf(id) + "Content-Length: 5\r\n\r\nother"
}

// call sends a request with a body of the given size to a daemon and reads its answer.
func (b *socketBed) call(address, path string, size int) reply {
	b.next++
	id := fmt.Sprintf("%016x", b.next)
	got := reply{id: id, cut: true}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", path, host, id, size)
	if path == streamPath {
		head += "Token-Counts: 150,24\r\nPrefix-Hash: aa:100," + id + ":50\r\n"
	}
	go func() { _, _ = conn.Write(append([]byte(head+"\r\n"), make([]byte, size)...)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		got.err = err
		return got
	}
	body, err := io.ReadAll(resp.Body)
	return reply{id: id, status: resp.StatusCode, header: resp.Header, body: string(body), cut: err != nil, err: err}
}

// callUntilArrived is like call, and repeats it while the server does not get the request: a server that does not say that
// it closes the connection of its answer may do so just as the next request is sent on it.
func (b *socketBed) callUntilArrived(address, path string, size int) reply {
	const maxCalls = 10
	for range maxCalls {
		got := b.call(address, path, size)
		if b.arrived.Load() == got.id {
			return got
		}
		b.Check(got.status, qt.Equals, http.StatusBadGateway)
	}
	b.Fatalf("%d requests with %d bytes to %s have not reached the server", maxCalls, size, path)
	return reply{}
}

// through are the ways to the server of a socketBed.
func (b *socketBed) through() map[string]string {
	return map[string]string{"direct": b.direct, "through a peer": b.detoured}
}

// mayHaveRun are the statuses that promise nothing about a request.
var mayHaveRun = []int{http.StatusBadGateway, http.StatusGatewayTimeout}

// checkBroken checks an answer to a request that the server got and answered with broken bytes.
func (b *socketBed) checkBroken(got reply, comment qt.Comment) {
	b.Helper()
	if !b.Check(b.arrived.Load(), qt.Equals, got.id, comment) || got.cut {
		return
	}
	b.Check(slices.Contains(mayHaveRun, got.status), qt.IsTrue, qt.Commentf("%s: status %d, %q", comment, got.status, got.body))
	b.Check(got.header.Get("Response-Stamp"), qt.Equals, "", comment)
}

// TestBytesWithoutAHeadReachNoCaller guards against bytes that are no answer, or a part of them, that callers get as one.
func TestBytesWithoutAHeadReachNoCaller(t *testing.T) {
	b := newSocketBed(t)
	for i, form := range invalidHeads("") {
		b.respond = func(id string) rawserver.Response {
			return rawserver.Response{Text: invalidHeads(id)[i].Text, AfterRequest: true, End: rawserver.Close}
		}
		for way, address := range b.through() {
			for _, path := range socketPaths {
				b.checkBroken(b.call(address, path, 8), qt.Commentf("%s, %s, %s", form.Name, path, way))
			}
		}
	}
}

// invalidHeads returns the invalid and the cut heads of responses to a request.
func invalidHeads(id string) []rawserver.Form {
	return append(rawserver.InvalidHeads(fieldsOf(id), soundText(id)), rawserver.CutHeads(fieldsOf(id))...)
}

// TestUnusualHeadsReachCallers guards against answers of sound servers that are not passed on.
func TestUnusualHeadsReachCallers(t *testing.T) {
	b := newSocketBed(t)
	for i, form := range rawserver.SoundHeads("") {
		b.respond = func(id string) rawserver.Response {
			return rawserver.Response{Text: rawserver.SoundHeads(fieldsOf(id))[i].Text, AfterRequest: true}
		}
		for way, address := range b.through() {
			got := b.call(address, orderPath, 8)
			b.Check(got.status, qt.Equals, form.Status, qt.Commentf("%s, %s", form.Name, way))
			b.Check(got.body, qt.Equals, form.Body, qt.Commentf("%s, %s", form.Name, way))
		}
	}
}

// withoutLength is an answer to a request that ends with its connection: that of a plain service, or a stream.
func withoutLength(id string, stream bool) string {
	if stream {
		return "HTTP/1.1 200 OK\r\n" + fieldsOf(id) + "Content-Type: text/event-stream\r\n\r\n" + events(1, 2)
	}
	return "HTTP/1.1 200 OK\r\n" + fieldsOf(id) + "\r\nanswer"
}

// TestAnswersCutByAResetAreNotWhole guards against callers that get a part of an answer without a length as all of it, because
// the server reset the connection during the upload.
func TestAnswersCutByAResetAreNotWhole(t *testing.T) {
	const tries = 20
	b := newSocketBed(t)
	for name, end := range map[string]rawserver.Response{
		"closed with the upload unread": {End: rawserver.CloseUnread},
		"closed midway":                 {End: rawserver.CloseMidway},
		"reset":                         {End: rawserver.Reset},
		"reset 5 ms later":              {End: rawserver.Reset, Delay: 5 * time.Millisecond},
	} {
		for way, address := range b.through() {
			for _, path := range socketPaths {
				b.respond = func(id string) rawserver.Response {
					end.Text = withoutLength(id, path == streamPath)
					return end
				}
				for _, size := range []int{200_000, 3 << 20} {
					for range tries {
						b.checkBroken(b.call(address, path, size), qt.Commentf("%s, %s, %d bytes, %s", name, path, size, way))
					}
				}
			}
		}
	}
}

// TestSoundEarlyAnswersAreWhole guards against whole answers that callers do not get because they come during the upload.
func TestSoundEarlyAnswersAreWhole(t *testing.T) {
	const tries = 5
	b := newSocketBed(t)
	framed := "Content-Length: 6\r\n\r\nanswer"
	chunked := "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"
	for name, response := range map[string]rawserver.Response{
		"length, upload read on":         {Text: framed},
		"length, unread and reset":       {Text: framed, End: rawserver.CloseUnread},
		"chunks, upload read on":         {Text: chunked},
		"chunks, unread and reset":       {Text: chunked, End: rawserver.CloseUnread},
		"no length, sending side shut":   {End: rawserver.HalfClose},
		"no length, closed after upload": {End: rawserver.Close},
	} {
		for way, address := range b.through() {
			for _, path := range socketPaths {
				want := "answer"
				if path == streamPath && response.Text == "" {
					want = events(1, 2)
				}
				b.respond = func(id string) rawserver.Response {
					r := response
					if r.Text = withoutLength(id, path == streamPath); response.Text != "" {
						r.Text = "HTTP/1.1 200 OK\r\n" + fieldsOf(id) + response.Text
					}
					return r
				}
				for _, size := range []int{9 << 10, 1_000_000, 3 << 20} {
					for range tries {
						got := b.callUntilArrived(address, path, size)
						comment := qt.Commentf("%s, %s, %d bytes, %s: status %d, %v", name, path, size, way, got.status, got.err)
						b.Check(got.cut, qt.IsFalse, comment)
						b.Check(got.body, qt.Equals, want, comment)
					}
				}
			}
		}
	}
}
