package clients

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	service = "desk"
	model   = "llm"
	host    = "calls.example"
	// The limits of the configuration, in bytes and milliseconds.
	maxHeaderBytes  = 16384
	maxBodyBytes    = 4 << 20
	headerTimeoutMs = 3000
	idleTimeoutMs   = 15000
	// longAnswer is the size of the answer to a request for pathLong, and heldFor how long an answer to a
	// request for pathHeld takes.
	pathLong, longAnswer = "/a/long", 4 << 20
	pathHeld, heldFor    = "/a/held", 20 * time.Second
)

const platformSettings = `kind: router
vm: {id: vm-1, zone: zone-1, memory_mb: %d, max_descriptors: %d}
listen: {callers: "%s:8080", readiness: "%s:8081", peers: "%s:8082", metrics: "%s:8083"}
peers: {seeds: []}
store: {address: "%s"}
cloud: {address: "%s"}
bounds: {drain: 8s, lease: 3s, retry_ratio: 0.2, retry_window: 10s, retry_extra: 50, usage_window: 5s, usage_due: 10s}
`

// platformDaemon is a daemon on the platform, with stand-ins for the store, the cloud and one backend server.
type platformDaemon struct {
	*process
	store   *fake.Store
	version int
	// furtherRoutes are in the configuration besides those of the tests.
	furtherRoutes []map[string]any
}

func startPlatformDaemon(t *testing.T, b bounds) *platformDaemon {
	c := qt.New(t)
	d := &platformDaemon{store: fake.NewStore()}
	server := serve(c, http.HandlerFunc(serveBackend))
	d.configure(maxHeaderBytes, maxBodyBytes)
	for _, name := range []string{service, model} {
		d.store.Put("servers", name+"-1", map[string]any{
			"service": name, "address": server, "zone": "zone-1", "slots": 128, "state": "ready", "seq": 1, "version": "v1", "coldLeftMs": 0,
		})
	}
	ip := nextIP()
	settings := fmt.Sprintf(platformSettings, b.memoryMB, b.descriptors, ip, ip, ip, ip, serve(c, d.store), serve(c, fake.NewCloud()))
	d.process = startProcess(t, ip, settings, b)
	c.Assert(eventually(func() bool { return d.alive() && get(d.readiness()) == nil }), qt.IsTrue)
	c.Assert(d.ordinary(), qt.IsNil)
	return d
}

// configure writes a version of the configuration with the given limits on heads and bodies, in bytes.
func (d *platformDaemon) configure(headerBytes, bodyBytes int) {
	d.version++
	d.store.Put("config", "main", map[string]any{
		"version": d.version,
		"routes": append(d.furtherRoutes, []map[string]any{{
			"name": "a", "host": host, "pathPrefix": "/a/", "kind": "idempotent", "timeoutMs": 60000, "targetLatencyMs": 1000,
			"service": service, "maxAttempts": 2,
		}, {
			"name": "m", "host": host, "pathPrefix": "/m/", "kind": "idempotent", "timeoutMs": 60000, "targetLatencyMs": 1000,
			"service": model, "maxAttempts": 2, "sticky": true,
		}}...),
		"services": []map[string]any{
			{"name": service, "healthPath": "/healthz", "maxConns": 2000},
			{"name": model, "healthPath": "/healthz", "maxConns": 2000, "engine": map[string]any{"slots": 128, "kvCapacityTokens": 1 << 30, "stride": 3}},
		},
		"limits": map[string]any{
			"maxHeaderBytes": headerBytes, "maxBodyBytes": bodyBytes, "headerTimeoutMs": headerTimeoutMs, "idleTimeoutMs": idleTimeoutMs,
		},
	})
}

// addRoutes makes the configuration large, and waits until the daemon has it.
func (d *platformDaemon) addRoutes(n int) {
	for i := range n {
		name := fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
		d.furtherRoutes = append(d.furtherRoutes, map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": "idempotent", "timeoutMs": 60000, "targetLatencyMs": 1000,
			"service": service, "maxAttempts": 2,
		})
	}
	d.configure(maxHeaderBytes, maxBodyBytes)
	last := post("/"+d.furtherRoutes[n-1]["name"].(string)+"/", 2, false, "")
	d.Assert(eventually(func() bool { return d.send(last) == nil }), qt.IsTrue)
}

var subnet = 0

// nextIP returns a loopback address that no other daemon of this run, or of another one on this machine, has.
func nextIP() string {
	subnet++
	return fmt.Sprintf("127.%d.%d.1", 100+os.Getpid()%150, subnet)
}

// serve serves a handler until the test ends and returns its address.
func serve(c *qt.C, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(listener) }()
	c.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String()
}

// serveBackend is a backend server that keeps nothing of what it reads.
func serveBackend(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == pathHeld {
		select {
		case <-time.After(heldFor):
		case <-r.Context().Done():
		}
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Stamp", "stamp")
	if r.URL.Path == pathLong {
		w.Header().Set("Content-Length", strconv.Itoa(longAnswer))
		_, _ = w.Write(make([]byte, longAnswer))
		return
	}
	_, _ = fmt.Fprintf(w, "%d bytes", n)
}

func (d *platformDaemon) callers() string   { return d.ip + ":8080" }
func (d *platformDaemon) readiness() string { return "http://" + d.ip + ":8081/readyz" }

// request is a request of a caller, as bytes: the head without its end, and the body.
type request struct{ head, body []byte }

// whole returns the bytes of the request.
func (r request) whole() []byte {
	return slicesOf(r.head, []byte("\r\n"), r.body)
}

// unfinished returns the bytes of the request but the last one.
func (r request) unfinished() []byte {
	whole := r.whole()
	return whole[:len(whole)-1]
}

func slicesOf(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// post returns a request with a body of the given size, in chunks or with a length, and with further lines
// in its head.
func post(path string, size int, chunked bool, lines string) request {
	head := "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: r1\r\n" + lines
	if !chunked {
		return request{[]byte(head + "Content-Length: " + strconv.Itoa(size) + "\r\n"), bytes.Repeat([]byte("x"), size)}
	}
	const part = 32 << 10
	var body bytes.Buffer
	for left := size; left > 0; left -= part {
		n := min(left, part)
		fmt.Fprintf(&body, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	body.WriteString("0\r\n\r\n")
	return request{[]byte(head + "Transfer-Encoding: chunked\r\n"), body.Bytes()}
}

// headOfLines returns lines of a head that together take at most size bytes.
func headOfLines(size int, line func(n int) string) string {
	var lines strings.Builder
	for n := 0; ; n++ {
		next := line(n)
		if lines.Len()+len(next) > size {
			return lines.String()
		}
		lines.WriteString(next)
	}
}

func shortLine(n int) string              { return strconv.FormatInt(int64(36*36+n), 36) + ":\r\n" }
func equalLine(int) string                { return "a:\r\n" }
func promptPartOf(int) string             { return "a:1," }
func legalLines() string                  { return headOfLines(maxHeaderBytes-400, shortLine) }
func (d *platformDaemon) ordinary() error { return d.send(post("/a/x", 2, false, "")) }

// A caller makes up to maxTries tries, each on a new connection and no longer than tryTimeout.
const (
	maxTries   = 8
	tryTimeout = 5 * time.Second
)

// send makes a request as a caller does, who tries again after a refusal or a closed connection.
func (d *platformDaemon) send(r request) error {
	return retry(func() (time.Duration, error) { return try(d.callers(), r.whole()) })
}

// retry tries until there is an answer.
func retry(once func() (wait time.Duration, err error)) error {
	var last error
	for range maxTries {
		wait, err := once()
		if err == nil {
			return nil
		}
		last = err
		time.Sleep(max(wait, 50*time.Millisecond))
	}
	return fmt.Errorf("not answered in %d tries: %w", maxTries, last)
}

// try sends a request on a new connection. After a refusal it returns how long to wait.
func try(address string, request []byte) (time.Duration, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(tryTimeout))
	// An answer may come before all was sent.
	_, writeErr := conn.Write(request)
	status, header, err := readAnswer(conn)
	switch {
	case err != nil:
		return 0, errors.Join(writeErr, err)
	case status == http.StatusOK:
		return 0, nil
	}
	seconds, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), fmt.Errorf("status %d", status)
}

// get returns nil if the URL is answered with status 200.
func get(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	// Each try opens a connection, as a new caller does.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

func getEventually(url string) error {
	return retry(func() (time.Duration, error) { return 0, get(url) })
}

// sendInPieces sends a request in n pieces with pauses between them. If text is a head without its end,
// a body of two bytes follows.
func (d *platformDaemon) sendInPieces(text []byte, n int, pause time.Duration) error {
	conn, err := net.Dial("tcp", d.callers())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for i := range n {
		if _, err := conn.Write(text[i*len(text)/n : (i+1)*len(text)/n]); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	if !bytes.Contains(text, []byte("\r\n\r\n")) {
		write(conn, []byte("\r\nxx"))
	}
	return expectOK(conn)
}

// sendAfterIdling makes two requests on one connection that is idle between them for as long as callers keep
// one.
func (d *platformDaemon) sendAfterIdling() error {
	conn, err := net.Dial("tcp", d.callers())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	r := post("/a/x", 2, false, "").whole()
	write(conn, r)
	if err := expectOK(conn); err != nil {
		return err
	}
	time.Sleep(11 * time.Second)
	write(conn, r)
	return expectOK(conn)
}

func expectOK(conn net.Conn) error {
	_ = conn.SetReadDeadline(time.Now().Add(tryTimeout))
	status, _, err := readAnswer(conn)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}
