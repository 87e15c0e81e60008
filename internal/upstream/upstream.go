// Package upstream keeps HTTP/1.1 connections to backend servers and makes one
// exchange at a time on each. Unlike http.Transport it never sends a request
// twice on its own, says whether a failed request can have reached the server,
// and gives up a connection on which bytes arrive that nobody asked for.
package upstream

import (
	"bufio"
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

// Errors of an exchange. They say whether the request can have run.
var (
	// ErrNotSent means that no byte of the request has left.
	ErrNotSent = errors.New("request was not sent")
	// ErrSendDenied means that the request was called off before it was sent.
	ErrSendDenied = errors.New("request was called off")
	// ErrNoAnswer means that the request was sent, at least in part, and no
	// head of an answer came back.
	ErrNoAnswer = errors.New("no answer to a request that was sent")
)

const (
	// defaultIdleLimit is how long an idle connection is kept when the server does
	// not state its own limit.
	defaultIdleLimit = 10 * time.Second
	// idleLimitMargin is left of a stated idle limit, so that the server does not
	// close the connection while a request is on its way.
	idleLimitMargin = time.Second
	// maxIdlePerServer bounds the idle connections to one address. A daemon has
	// a few requests at one server at a time; bursts open more.
	maxIdlePerServer = 16
	// readBufferSize and writeBufferSize are the sizes, in bytes, of a connection's
	// buffers; a request head is about 600 bytes, an event about 50.
	readBufferSize  = 4096
	writeBufferSize = 4096
	// maxBodyBeforeRead is the size in bytes up to which a body is written before the
	// answer is read: as much as fits the buffers of a connection, so that a
	// server that does not read cannot hold the writer.
	maxBodyBeforeRead = 8 << 10
)

// Pool holds connections by address.
type Pool struct {
	network     network.Network
	dialTimeout time.Duration
	// OnDial, where it is set, is told how long each connection took to open. It is set
	// before the pool is used.
	OnDial func(address string, took time.Duration)

	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
	closed bool
}

// NewPool returns a pool that dials through the network. dialTimeout bounds the
// opening of one connection.
func NewPool(n network.Network, dialTimeout time.Duration) *Pool {
	return &Pool{network: n, dialTimeout: dialTimeout, idle: map[string][]*conn{}}
}

// Reuse says which idle connections an exchange may use.
type Reuse struct {
	// MaxIdle is the longest idle time; zero opens a connection.
	MaxIdle time.Duration
	// Matches tells whether an answer belongs to this request. Others, left over
	// from an earlier request, are skipped. Nil takes any.
	Matches func(*http.Response) bool
	// MaySend is asked once a connection is there, right before the request is sent. Nil sends it.
	MaySend func() bool
}

// Response is the head of an answer and a reader of its body. Close must be
// called; it keeps the connection when the body was read to its end.
type Response struct {
	*http.Response
	exchange *exchange
}

// conn is one connection with its reader.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration
}

// abort closes the connection and discards what has not left yet. Bytes that a
// partition holds up would otherwise arrive when it heals, and be run for a
// caller that has gone.
func (c *conn) abort() {
	if lingers, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// A connection that is closed already has nothing to discard.
		_ = lingers.SetLinger(0)
	}
	_ = c.Close()
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// written gets the end of writing the request.
	written chan error
	// stopWatch ends the watch on the caller's context; it returns false when that
	// has closed the connection already.
	stopWatch func() bool
	once      sync.Once
	// bodyRead is set once the body was read to its end, reuse when the server
	// keeps the connection.
	bodyRead  bool
	keepAlive bool
}

// Do sends a request and reads the head of its answer. A long body goes out while
// the answer is awaited, since a server may answer early. When the context ends,
// the connection is closed.
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
	resp, err := readHead(c.reader, req, reuse.Matches)
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
	w := bufio.NewWriterSize(c, writeBufferSize)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// maxSkippedAnswers bounds the answers of other requests that are read past.
const maxSkippedAnswers = 3

// errOtherRequests means that only answers of other requests came.
var errOtherRequests = errors.New("answers belong to other requests")

// readHead reads the head of an answer, past interim ones and past answers of
// other requests.
func readHead(r *bufio.Reader, req *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	for range maxSkippedAnswers {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if mine == nil || mine(resp) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errOtherRequests
}

// idleLimit returns how long the server keeps the connection, from Keep-Alive:
// timeout=N in seconds.
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

// acquire returns an idle connection that may be used, or a new one.
func (p *Pool) acquire(ctx context.Context, address string, reuse Reuse) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if idle <= reuse.MaxIdle && idle < c.idleLimit && isQuiet(c.Conn) {
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
	begun := time.Now()
	raw, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial(address, time.Since(begun))
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
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

// putUnused puts back a connection on which nothing was sent.
func (p *Pool) putUnused(c *conn) {
	if c.idleLimit == 0 {
		c.idleLimit = defaultIdleLimit
	}
	p.put(c)
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that have been idle for too long. It is called from
// time to time.
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

// CloseIdle closes the idle connections to an address whose server has started again: what
// is sent on one is lost, and it stays open whether it has run.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.abort()
	}
	delete(p.idle, address)
}

// ConnectionRefused opens a connection to an address and reports whether nobody listens there. An
// address that does not answer refuses nothing. The connection is kept for a request.
func (p *Pool) ConnectionRefused(ctx context.Context, address string) bool {
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return false
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	p.putUnused(c)
	return false
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections; later ones are closed when their exchange
// ends.
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

// Close ends the exchange. The connection is kept when the answer was read to
// its end, the request was written whole and the server keeps it too.
func (r *Response) Close() { r.exchange.end() }

// Drop ends the exchange and the connection, which tells the server that
// nobody waits any more.
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
		// An answer that came before the whole request was read ends the
		// connection, so that nothing else is taken for the rest of the request.
		x.conn.abort()
	})
}

// wroteAll reports whether the whole request has left.
func (x *exchange) wroteAll() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// body notes when an answer was read to its end.
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

// Close implements io.Closer. The exchange owns the connection, so that an
// unread rest is not drained here.
func (b *body) Close() error { return nil }
