package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipeBytes is the number of bytes that one direction of a connection holds
// before its writer waits.
const pipeBytes = 256 << 10

// stream is one direction of a connection.
type stream struct {
	mu     sync.Mutex
	change *sync.Cond
	data   []byte
	// closed is set by the writer's end, broken by the reader's.
	closed bool
	broken bool
	// held keeps from the reader what has arrived, as a link that carries nothing does.
	held   bool
	reads  deadline
	writes deadline
}

// deadline is the deadline of one side of a stream.
type deadline struct {
	timer  *time.Timer
	passed bool
}

func newStream() *stream {
	s := &stream{}
	s.change = sync.NewCond(&s.mu)
	return s
}

// set moves a deadline and wakes whoever waits on the stream when it passes.
func (s *stream) set(d *deadline, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.passed = !at.IsZero() && !at.After(time.Now())
	if d.passed {
		s.change.Broadcast()
	}
	if at.IsZero() || d.passed {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Until(at), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if d.timer == timer {
			d.passed = true
			s.change.Broadcast()
		}
	})
	d.timer = timer
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.broken:
			return 0, net.ErrClosed
		case s.reads.passed:
			return 0, os.ErrDeadlineExceeded
		case s.held:
		case len(s.data) > 0:
			n := copy(p, s.data)
			s.data = s.data[n:]
			s.change.Broadcast()
			return n, nil
		case s.closed:
			return 0, io.EOF
		}
		s.change.Wait()
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for written < len(p) {
		switch {
		case s.closed:
			return written, net.ErrClosed
		case s.broken && !s.held:
			// A link that carries nothing does not say that the peer has closed either.
			return written, io.ErrClosedPipe
		case s.writes.passed:
			return written, os.ErrDeadlineExceeded
		}
		room := pipeBytes - len(s.data)
		if room == 0 {
			s.change.Wait()
			continue
		}
		n := min(room, len(p)-written)
		s.data = append(s.data, p[written:written+n]...)
		written += n
		s.change.Broadcast()
	}
	return written, nil
}

// hold holds the stream or lets it go on.
func (s *stream) hold(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
	s.change.Broadcast()
}

// end closes the stream from one side.
func (s *stream) end(mark *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*mark = true
	for _, d := range []*deadline{&s.reads, &s.writes} {
		if d.timer != nil {
			d.timer.Stop()
			d.timer = nil
		}
	}
	s.change.Broadcast()
}

// abort ends the stream for both sides and drops what it holds.
func (s *stream) abort() {
	s.end(&s.closed)
	s.end(&s.broken)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = nil
}

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	in, out       *stream
	local, remote address
	// here and there count the bytes of the local and of the remote host.
	here, there *Traffic
}

// newPair returns the two ends of a connection.
func newPair(client, server address, clientTraffic, serverTraffic *Traffic) (*conn, *conn) {
	up, down := newStream(), newStream()
	return &conn{in: down, out: up, local: client, remote: server, here: clientTraffic, there: serverTraffic},
		&conn{in: up, out: down, local: server, remote: client, here: serverTraffic, there: clientTraffic}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p)
	c.here.Sent.Add(int64(n))
	c.there.Received.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.out.end(&c.out.closed)
	c.in.end(&c.in.broken)
	return nil
}

// abort ends the connection on both sides. What has not been read is lost.
func (c *conn) abort() {
	c.in.abort()
	c.out.abort()
}

// hold holds both directions of the connection or lets them go on.
func (c *conn) hold(held bool) {
	c.in.hold(held)
	c.out.hold(held)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.set(&c.in.reads, t)
	c.out.set(&c.out.writes, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.set(&c.in.reads, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.set(&c.out.writes, t)
	return nil
}
