// Package upstream maintains HTTP/1.1 connections to backend servers, with one exchange at a time
// on each. Unlike http.Transport, it never retries a request by itself, reports whether a failed
// request can have reached the server, and drops a connection on which unrequested bytes arrive.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plankridge/plankridge/internal/network"
)

// Errors of an exchange. They state whether the request can have run.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrSendDenied means that Reuse.MaySend denied the request before it was sent.
	ErrSendDenied = errors.New("sending the request was denied")
	// ErrNoAnswer means that the request was sent, at least in part, and no response header was
	// received.
	ErrNoAnswer = errors.New("no answer to a request that was sent")
)

const (
	// defaultIdleLimit is how long an idle connection is kept if the server states no limit.
	defaultIdleLimit = 10 * time.Second
	// idleLimitMargin is subtracted from a stated idle limit, so that the server does not close the
	// connection while a request is in transit.
	idleLimitMargin = time.Second
	// maxIdlePerServer bounds the idle connections to one address. A daemon usually has a few
	// concurrent requests at one server; bursts open more connections.
	maxIdlePerServer = 16
	// readBufferSize and writeBufferSize are the sizes in bytes of a connection's buffers. A
	// request header has about 600 bytes and an event about 50.
	readBufferSize  = 4096
	writeBufferSize = 4096
	// maxBodyBeforeRead is the size in bytes up to which a body is written before the response is
	// read. Such a body fits the buffers of a connection, so a server that does not read cannot
	// block the writer.
	maxBodyBeforeRead = 8 << 10
)

// Pool holds idle connections by address.
type Pool struct {
	network     network.Network
	dialTimeout time.Duration
	// OnDial, if not nil, is called with the duration of each successful direct dial. It must be
	// set before the pool is used.
	OnDial func(address string, took time.Duration)

	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
	closed bool
}

// NewPool returns a Pool that dials through n. dialTimeout bounds each dial.
func NewPool(n network.Network, dialTimeout time.Duration) *Pool {
	return &Pool{network: n, dialTimeout: dialTimeout, idle: map[string][]*conn{}}
}

// Reuse controls the connection that an exchange uses and the checks made on it.
type Reuse struct {
	// MaxIdle is the longest idle time of a reused connection; zero always opens a new one.
	MaxIdle time.Duration
	// New opens a new connection and leaves the idle ones to other requests.
	New bool
	// Matches reports whether a response belongs to this request. Other responses, left over
	// from an earlier request, are skipped. Nil accepts every response.
	Matches func(*http.Response) bool
	// MaySend is called right before the request is sent, once a connection is available.
	// Nil always sends.
	MaySend func() bool
}

// Response is a response header with a reader of the body. Close must be called; the connection
// is reused if the body was read to its end.
type Response struct {
	*http.Response
	exchange *exchange
}

// conn is a connection with its read buffer.
type conn struct {
	*limitedConn
	address string
	// via is the daemon through which the connection goes. Such a connection is used once, because
	// whether it is still open is known to that daemon only.
	via       string
	reader    *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration
}

// abort closes the connection and discards unsent data. Otherwise data that a network partition
// delays would arrive after it heals, and the server would run a request whose caller has gone.
func (c *conn) abort() {
	if lingers, ok := c.limitedConn.Conn.(interface{ SetLinger(sec int) error }); ok {
		// On a connection that is already closed there is nothing to discard.
		_ = lingers.SetLinger(0)
	}
	_ = c.Close()
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// written receives the result of writing the request.
	written chan error
	// stopWatch stops the watch on the caller's context. It returns false if the end of that
	// context has already closed the connection.
	stopWatch func() bool
	once      sync.Once
	// bodyRead is set once the body was read to its end. keepAlive is set if the server keeps
	// the connection open.
	bodyRead  bool
	keepAlive bool
}

// Do sends a request and reads the header of its response. A long body is written concurrently,
// since a server may respond early. The end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, reuse Reuse) (*Response, error) {
	c, err := p.acquire(ctx, address, reuse)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if reuse.MaySend != nil && !reuse.MaySend() {
		p.putUnused(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrSendDenied)
	}
	x := &exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stopWatch = context.AfterFunc(ctx, c.abort)
	if req.ContentLength <= maxBodyBeforeRead {
		x.written <- writeRequest(c, req)
	} else {
		go func() { x.written <- writeRequest(c, req) }()
	}
	resp, err := readHead(c, req, reuse.Matches)
	if err != nil {
		x.drop()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	c.idleLimit = idleLimit(resp)
	x.keepAlive = !resp.Close
	resp.Body = &body{ReadCloser: resp.Body, exchange: x}
	return &Response{Response: resp, exchange: x}, nil
}

func writeRequest(c *conn, req *http.Request) error {
	defer network.BeginSending(c.limitedConn.Conn)()
	w := bufio.NewWriterSize(c, writeBufferSize)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// maxResponsesRead is the number of response headers that are read in search of the matching
// one; interim responses count.
const maxResponsesRead = 3

// errOtherRequests means that all responses read belong to other requests.
var errOtherRequests = errors.New("answers belong to other requests")

// readHead reads the header of the response to req. It skips interim responses and responses to
// other requests.
func readHead(c *conn, req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	head, skipped := newPartLimit(PartHead, maxHeadBytes), newPartLimit(PartSkipped, maxSkippedBytes)
	defer func() { c.limit = nil }()
	for range maxResponsesRead {
		c.limit = head
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			// net/http replaces the error of a read in the middle of a header line.
			return nil, cmp.Or(head.exceeded(), err)
		}
		if err := network.CheckResponseHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if matches == nil || matches(resp) {
			return resp, nil
		}
		c.limit = skipped
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, cmp.Or(skipped.exceeded(), err)
		}
	}
	return nil, errOtherRequests
}

// idleLimit returns how long an idle connection can be kept, from the header
// "Keep-Alive: timeout=N", with N in seconds.
func idleLimit(resp *http.Response) time.Duration {
	for _, item := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleLimitMargin
		}
	}
	return defaultIdleLimit
}

// acquire returns an idle connection that may be reused, or a new one.
func (p *Pool) acquire(ctx context.Context, address string, reuse Reuse) (*conn, error) {
	now := time.Now()
	for !reuse.New {
		c := p.pop(address)
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if reuse.MaxIdle > 0 && idle <= reuse.MaxIdle && idle < c.idleLimit && isQuiet(c.limitedConn.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	began := time.Now()
	raw, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	via := viaOf(raw)
	if p.OnDial != nil && via == "" {
		p.OnDial(address, time.Since(began))
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	limited := &limitedConn{Conn: raw}
	return &conn{limitedConn: limited, address: address, via: via, reader: bufio.NewReaderSize(limited, readBufferSize)}, nil
}

// viaOf returns the daemon through which a connection goes, or "" for a direct connection.
func viaOf(c net.Conn) string {
	if tunnel, ok := c.(interface{ Via() string }); ok {
		return tunnel.Via()
	}
	return ""
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// putUnused returns to the pool a connection on which nothing was sent.
func (p *Pool) putUnused(c *conn) {
	if c.idleLimit == 0 {
		c.idleLimit = defaultIdleLimit
	}
	p.put(c)
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.via != "" || len(p.idle[c.address]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections whose idle limit has passed. It must be called periodically.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// CloseIdle closes the idle connections to an address whose server has restarted or cannot be
// reached. A request sent on one of them would be lost, and it would be unknown whether it ran.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(address)
}

// CloseAllIdle is CloseIdle for all addresses.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.idle {
		p.closeIdle(address)
	}
}

// closeIdle is CloseIdle for a caller that holds the lock.
func (p *Pool) closeIdle(address string) {
	for _, c := range p.idle[address] {
		c.abort()
	}
	delete(p.idle, address)
}

// Liveness is what a probe of a server showed.
type Liveness int

const (
	// LivenessUnknown means that the server did not answer in time.
	LivenessUnknown Liveness = iota
	// Listening means that the server accepts connections.
	Listening
	// NotListening means that no process listens at the server's address.
	NotListening
)

// Probe opens a connection to a server, which is kept for later requests.
func (p *Pool) Probe(ctx context.Context, address string) Liveness {
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return LivenessUnknown
	}
	c, err := p.dial(ctx, address)
	switch {
	case err == nil:
		p.putUnused(c)
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return NotListening
	}
	return LivenessUnknown
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections. Connections in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}

// Via returns the daemon through which the connection goes, or "" for a direct connection.
func (r *Response) Via() string { return r.exchange.conn.via }

// Close ends the exchange. The connection is reused if the response was read to its end, the
// request was written completely and the server keeps the connection open.
func (r *Response) Close() { r.exchange.end() }

// Drop ends the exchange and closes the connection, which cancels the request at the server.
func (r *Response) Drop() { r.exchange.drop() }

func (x *exchange) drop() {
	x.once.Do(func() {
		x.stopWatch()
		x.conn.abort()
	})
}

func (x *exchange) end() {
	x.once.Do(func() {
		open := x.stopWatch()
		if open && x.bodyRead && x.keepAlive && x.wroteAll() && x.conn.reader.Buffered() == 0 {
			x.pool.put(x.conn)
			return
		}
		// After a response that came before the whole request was written, close the connection,
		// so that later data is not taken for the rest of the request.
		x.conn.abort()
	})
}

// wroteAll reports whether the whole request has been written.
func (x *exchange) wroteAll() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// body records when a response was read to its end.
type body struct {
	io.ReadCloser
	exchange *exchange
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.bodyRead = true
	}
	return n, err
}

// Close implements io.Closer. The exchange owns the connection, so the unread rest is not
// drained here.
func (b *body) Close() error { return nil }
