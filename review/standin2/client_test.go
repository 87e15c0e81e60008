//go:build review2

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// key is the API key of the only tenant.
const (
	key    = "i9n73hh2b9wu3fexd9dn"
	tenant = "hule930"
	host   = "ficu95.example"
)

// channel is a client's connection.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// request is a client's request.
type request struct {
	id, method, path, body string
	// limit is the time that the client waits.
	limit time.Duration
	// prompt is set for a request to a model.
	prompt bool
	// lastEvent is the last event that the client has, or empty.
	lastEvent string
}

// text returns the request on the wire.
func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", r.method, r.path, host, r.id, r.limit.Milliseconds(), key)
	if r.prompt {
		fmt.Fprintf(&b, "Model: m\r\nToken-Counts: 400,240\r\nPrefix-Hash: 5c1e07a2:300,%s:100\r\n", r.id[:8])
	}
	if r.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\n", r.lastEvent)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	// complete is set if the answer is complete by the rules of HTTP.
	complete bool
	err      error
	at       time.Time
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes, complete: %v, error: %v", a.status, a.stamp, len(a.body), a.complete, a.err)
}

// do sends a request and reads its answer.
func (c *channel) do(r request) answer {
	_ = c.SetDeadline(time.Now().Add(r.limit + 2*time.Second))
	if _, err := io.WriteString(c, r.text()); err != nil {
		return answer{err: err, at: time.Now()}
	}
	return c.read(r)
}

// read reads the answer to a request.
func (c *channel) read(r request) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("Response-Stamp"), body: string(body), complete: err == nil, err: err, at: time.Now()}
}

// ask sends a request on a channel of its own. It may be called from any goroutine.
func ask(d *daemon, r request) answer {
	c, err := dial(d.callers)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer func() { _ = c.Close() }()
	return c.do(r)
}
