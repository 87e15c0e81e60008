package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/network"
)

const (
	// readAheadBytes is the size of the buffer in which the HTTP server keeps bytes beyond a request.
	readAheadBytes = 4 << 10
	// writeStep is the number of bytes within which a client that reads its answer must make progress.
	writeStep = 64 << 10
	// timeoutGrace is how long after a timeout a connection is read once more. The bytes may have arrived in
	// time while the process was suspended.
	timeoutGrace = 100 * time.Millisecond
	// lingerTime is how long the input of a refused client is discarded after the refusal. Closing the
	// connection at once would reset it, and the client could lose the response.
	lingerTime = 200 * time.Millisecond
)

// Conn is a client's connection. It limits the heads of requests in size and time, and accounts what is held
// for the client. The HTTP server reads and writes it.
type Conn struct {
	net.Conn
	guard   *Guard
	account account
	// interrupted is set once the ledger has evicted the connection.
	interrupted atomic.Bool
	closeOnce   sync.Once

	// The goroutine that serves the connection uses these; the HTTP server does not read while it changes
	// the connection's state.
	limits catalog.CallerLimits
	inHead bool
	// waitingSince is when the wait for a head began, and headSince when its first byte arrived, or zero.
	waitingSince, headSince time.Time
	scanner                 headScanner
	head                    size
	// headBytes is the memory that is accounted for the head.
	headBytes int64
	// beyond is the number of bytes that have arrived behind the head, and tail the size of the last of them,
	// up to readAheadBytes.
	beyond int64
	tail   size
	// bodyBytes is the number of bytes behind the head that were read as its body.
	bodyBytes int64
	body      bodyState
	// refused is set once the client was refused on the connection itself, or its further requests are not read.
	// The connection is then closed only after the client could read the response.
	refused bool
	// lastRequest is set once no further request is read.
	lastRequest atomic.Bool
}

// bodyState is how far the handler of a request has read its body.
type bodyState int

const (
	bodyUnread bodyState = iota
	bodyRead
	// bodyFailed means that the rest of the body is not waited for.
	bodyFailed
)

func newConn(raw net.Conn, g *Guard) *Conn {
	c := &Conn{Conn: raw, guard: g, inHead: true, waitingSince: time.Now(), limits: g.callerLimits()}
	c.account.close = func() { _ = raw.Close() }
	c.account.interrupt = c.interrupt
	return c
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

func (c *Conn) interrupt() {
	c.interrupted.Store(true)
	_ = c.Conn.SetDeadline(longAgo)
}

// SetReadDeadline implements net.Conn. The deadline of an interrupted connection stays in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.interrupted.Load() {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.inHead {
		return c.readHead(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.guard.ledger.progress(&c.account, n, time.Now())
		c.addTail(p[:n])
	}
	if n > 0 && len(p) == 1 {
		c.holdInput()
	}
	return n, err
}

// addTail records bytes behind the head.
func (c *Conn) addTail(part []byte) {
	c.beyond += int64(len(part))
	if len(part) >= readAheadBytes {
		c.tail = count(part[len(part)-readAheadBytes:])
		return
	}
	c.tail = c.tail.plus(count(part))
}

// readHead reads a part of a head.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.lastRequest.Load() {
		c.refused = true
		return 0, io.EOF
	}
	n, err := c.readUntil(p, c.headDeadline())
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.interrupted.Load() {
		n, err = c.readUntil(p, time.Now().Add(timeoutGrace))
	}
	if n > 0 {
		if status, reason := c.addHead(p[:n], time.Now()); status != 0 {
			c.refuse(status, reason)
			return 0, os.ErrDeadlineExceeded
		}
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.headSince.IsZero() {
		if c.interrupted.Load() {
			c.refuse(http.StatusServiceUnavailable, reasonNoMemory)
		} else {
			c.guard.report(closedSlowHead)
			c.refuse(http.StatusRequestTimeout, "header takes too long")
		}
	}
	return n, err
}

func (c *Conn) readUntil(p []byte, deadline time.Time) (int, error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *Conn) headDeadline() time.Time {
	if c.headSince.IsZero() {
		return c.waitingSince.Add(c.limits.IdleTimeout)
	}
	return c.headSince.Add(c.limits.HeaderTimeout)
}

// addHead accounts a part of a head. It returns the status to refuse the request with, or zero.
func (c *Conn) addHead(part []byte, now time.Time) (status int, reason string) {
	if c.headSince.IsZero() {
		c.headSince, c.limits = now, c.guard.callerLimits()
		c.guard.ledger.enter(&c.account, reading, now)
	}
	c.guard.ledger.progress(&c.account, len(part), now)
	n := c.scanner.scan(part)
	c.head = c.head.plus(count(part[:n]))
	c.addTail(part[n:])
	if c.head.bytes > c.limits.HeaderBytes {
		c.guard.report(refusedLargeHead)
		return http.StatusRequestHeaderFieldsTooLarge, "header is too large"
	}
	more := c.head.memory() - c.headBytes
	if !c.guard.reserve(&c.account, more, now) {
		return http.StatusServiceUnavailable, reasonNoMemory
	}
	c.headBytes += more
	return 0, ""
}

// headRead is called when the HTTP server has decoded a head.
func (c *Conn) headRead() { c.inHead = false }

// requestEnded is called when the HTTP server has written the answer and waits for the next request.
func (c *Conn) requestEnded() {
	now := time.Now()
	c.guard.ledger.idleAgain(&c.account, c.readAhead().memory(), now)
	c.inHead, c.waitingSince, c.headSince, c.limits = true, now, time.Time{}, c.guard.callerLimits()
	c.scanner, c.head, c.headBytes = headScanner{}, size{}, 0
	c.beyond, c.tail, c.bodyBytes, c.body = 0, size{}, 0, bodyUnread
}

// readAhead estimates what the HTTP server keeps of the next requests.
func (c *Conn) readAhead() size {
	ahead := c.tail
	ahead.bytes = int(min(readAheadBytes, max(0, c.beyond-c.bodyBytes)))
	if ahead.bytes == 0 {
		return size{}
	}
	return ahead
}

// holdInput accounts the input that arrives while a request is served, which the kernel keeps. If there is no
// room, the input is discarded, and the connection is closed after the answer.
func (c *Conn) holdInput() {
	if c.guard.reserve(&c.account, network.ReceiveBufferBytes, time.Now()) {
		return
	}
	c.lastRequest.Store(true)
	go func() {
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{c.Conn}, make([]byte, discardBufferBytes))
	}()
}

// discardBufferBytes is the size of the buffer in which input is discarded.
const discardBufferBytes = 1 << 10

// Write implements net.Conn. The client must read on within the idle timeout.
func (c *Conn) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(len(p), written+writeStep)]
		now := time.Now()
		if err := c.Conn.SetWriteDeadline(now.Add(c.limits.IdleTimeout)); err != nil {
			return written, err
		}
		if c.interrupted.Load() && !c.refused {
			// A refusal is short, and fits into the kernel's buffer.
			_ = c.Conn.SetWriteDeadline(now.Add(lingerTime))
		}
		c.guard.ledger.setWriting(&c.account, true, now)
		n, err := c.Conn.Write(part)
		written += n
		c.guard.ledger.setWriting(&c.account, false, time.Now())
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.guard.report(closedUnread)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite shuts down the sending side, if the connection can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// refuse answers a request whose head was not read to its end. It has not run.
func (c *Conn) refuse(status int, reason string) {
	c.refused = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = c.Conn.Write(refusal(status, reason))
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		if !c.refused {
			err = c.Conn.Close()
			c.guard.ledger.close(&c.account)
			return
		}
		go func() {
			linger(c.Conn)
			c.guard.ledger.close(&c.account)
		}()
	})
	return err
}

// linger closes a connection on which a refusal was sent.
func linger(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
	buffer := make([]byte, discardBufferBytes)
	for {
		if _, err := conn.Read(buffer); err != nil {
			_ = conn.Close()
			return
		}
	}
}
