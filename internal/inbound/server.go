package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// maxHeadBytes is the size of a head that the HTTP server itself bounds. The limits in force are lower.
const maxHeadBytes = 1 << 20

// Protect configures an HTTP server that serves on a listener of Listen. The server needs no timeouts of its
// own.
func (g *Guard) Protect(s *http.Server) {
	handler := s.Handler
	s.MaxHeaderBytes = maxHeadBytes
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			c.headRead()
		case http.StateIdle:
			c.requestEnded()
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil {
			defer c.answered(w, r)
			if r.ContentLength == 0 && !g.options.Interruptible && !g.ledger.enter(&c.account, running, time.Now()) {
				refuseNoMemory(w)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// refuseNoMemory answers a request without a body that is not served.
func refuseNoMemory(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter.Seconds())))
	http.Error(w, reasonNoMemory, http.StatusServiceUnavailable)
}

// answered is called when the handler of a request has ended. The HTTP server may still write the answer, and
// read the rest of a body that the handler has not read.
func (c *Conn) answered(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ContentLength == 0 || c.body == bodyRead:
	case c.body == bodyFailed:
		_ = http.NewResponseController(w).SetReadDeadline(longAgo)
	default:
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxDiscardTime))
	}
	c.guard.ledger.enter(&c.account, answering, time.Now())
}

// maxDiscardTime is how long a client may take to send the rest of a body that is not needed any more.
const maxDiscardTime = 500 * time.Millisecond

type connKey struct{}

// connOf returns the connection of a request, or nil if its server has no Guard.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Errors of ReadBody. The request has not run.
var (
	ErrBodyTooLarge = errors.New("body is too large")
	ErrBodyTimeout  = errors.New("body takes too long")
	ErrNoMemory     = errors.New(reasonNoMemory)
)

// BodyLimits bound the body of one request.
type BodyLimits struct {
	MaxBytes int64
	// IdleTimeout bounds the time without a byte.
	IdleTimeout time.Duration
	// Deadline is when the whole body must have arrived, or zero.
	Deadline time.Time
}

// ReadBody reads the body of a request. Once it has returned without an error, the request counts as running:
// its connection is not closed to make room. A request without a body does so from the start.
func ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	b := bodyReader{request: r, control: http.NewResponseController(w), conn: connOf(r), limits: limits}
	body, err := b.read()
	if err != nil {
		return nil, err
	}
	return body, b.beginRun()
}

// bodyReader reads one body.
type bodyReader struct {
	request *http.Request
	control *http.ResponseController
	// conn is nil if the server has no Guard.
	conn   *Conn
	limits BodyLimits
	// reserved is the memory that is accounted for the body.
	reserved int64
}

func (b *bodyReader) read() ([]byte, error) {
	length := b.request.ContentLength
	switch {
	case length == 0:
		return nil, nil
	case length > b.limits.MaxBytes, b.conn != nil && length > b.conn.guard.ledger.maxReservation():
		return nil, ErrBodyTooLarge
	}
	if b.conn != nil {
		b.conn.guard.ledger.enter(&b.conn.account, reading, time.Now())
	}
	body, err := b.readAll(length)
	if err != nil {
		return nil, err
	}
	// Trailers are not forwarded.
	b.request.Trailer = nil
	if b.conn != nil {
		b.conn.body = bodyRead
		b.conn.bodyBytes = max(0, length)
	}
	_ = b.control.SetReadDeadline(time.Time{})
	return body, nil
}

// minBodyBuffer is the size of the first buffer for a body of unknown length.
const minBodyBuffer = 4 << 10

// readAll reads a body of the given length, or to its end if the length is negative.
func (b *bodyReader) readAll(length int64) ([]byte, error) {
	buffer, err := b.grow(nil, length)
	if err != nil {
		return nil, err
	}
	for {
		n, err := b.readSome(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) < cap(buffer):
			continue
		}
		if length >= 0 {
			return buffer, b.expectEnd()
		}
		if buffer, err = b.grow(buffer, -1); err != nil {
			return nil, err
		}
	}
}

// expectEnd reads the end of a body of known length.
func (b *bodyReader) expectEnd() error {
	if _, err := b.readSome(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// grow returns a larger buffer with the same content, and accounts it.
func (b *bodyReader) grow(buffer []byte, length int64) ([]byte, error) {
	size := length
	if size < 0 {
		if int64(len(buffer)) > b.limits.MaxBytes {
			return nil, ErrBodyTooLarge
		}
		// One byte more than the limit shows that the body is too large.
		size = min(max(minBodyBuffer, 2*int64(cap(buffer))), b.limits.MaxBytes+1)
	}
	if b.conn != nil && !b.conn.guard.reserve(&b.conn.account, size, time.Now()) {
		return nil, ErrNoMemory
	}
	larger := append(make([]byte, 0, size), buffer...)
	if b.conn != nil {
		b.conn.guard.ledger.release(&b.conn.account, b.reserved)
	}
	b.reserved = size
	return larger, nil
}

// readSome reads some bytes within the limits on time.
func (b *bodyReader) readSome(p []byte) (int, error) {
	deadline := time.Now().Add(b.limits.IdleTimeout)
	if !b.limits.Deadline.IsZero() && b.limits.Deadline.Before(deadline) {
		deadline = b.limits.Deadline
	}
	// A response writer without deadlines is one of a test.
	_ = b.control.SetReadDeadline(deadline)
	n, err := b.request.Body.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if b.conn != nil {
			b.conn.body = bodyFailed
		}
		if b.conn != nil && b.conn.interrupted.Load() {
			return n, ErrNoMemory
		}
		if b.conn != nil {
			b.conn.guard.report(closedSlowBody)
		}
		return n, ErrBodyTimeout
	}
	return n, err
}

// beginRun makes the request count as running.
func (b *bodyReader) beginRun() error {
	if b.conn != nil && !b.conn.guard.ledger.enter(&b.conn.account, running, time.Now()) {
		return ErrNoMemory
	}
	return nil
}

// Detach returns a function that must be called when nothing holds the body of the request any more. Without
// it, the body counts as released once the request is answered.
func Detach(r *http.Request, bodyBytes int) (release func()) {
	c := connOf(r)
	if c == nil {
		return func() {}
	}
	return c.guard.ledger.detach(&c.account, int64(bodyBytes))
}
