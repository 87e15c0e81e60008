package detour

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/plankridge/plankridge/internal/detour/detourpb"
)

// frameBytes is the maximum number of bytes in one frame.
const frameBytes = 32 << 10

// stream is either end of a Connect call.
type stream interface {
	Send(*detourpb.Frame) error
	Recv() (*detourpb.Frame, error)
}

// Conn is a connection to a server through a helper. It supports no deadlines; closing it
// unblocks its reads and writes.
type Conn struct {
	stream  grpc.BidiStreamingClient[detourpb.Frame, detourpb.Frame]
	cancel  context.CancelFunc
	helper  Helper
	address string
	rest    []byte
	closed  atomic.Bool
}

// Via returns the daemon through which the connection goes.
func (c *Conn) Via() string { return c.helper.VM }

// Read implements net.Conn. It returns io.EOF only if the server closed the connection in an orderly
// way.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		frame, err := c.stream.Recv()
		switch {
		case err != nil && c.closed.Load():
			return 0, net.ErrClosed
		case err != nil:
			return 0, err
		}
		c.rest = frame.GetData()
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return writeFrames(c.stream, p)
}

func writeFrames(s stream, p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+frameBytes)]
		if err := s.Send(&detourpb.Frame{Data: part}); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

// Close implements net.Conn. The helper aborts its connection to the server.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.cancel()
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return tunnelAddr("") }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return tunnelAddr(c.address) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(time.Time) error { return errNoDeadlines }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(time.Time) error { return errNoDeadlines }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return errNoDeadlines }

// tunnelAddr is the address of an end of a tunnelled connection.
type tunnelAddr string

// Network implements net.Addr.
func (tunnelAddr) Network() string { return "tunnel" }

// String implements net.Addr.
func (a tunnelAddr) String() string { return string(a) }

// copyTo copies the data that arrives on s to w until the peer ends the call.
func copyTo(w io.Writer, s stream) error {
	for {
		frame, err := s.Recv()
		if err != nil {
			return err
		}
		if _, err := w.Write(frame.GetData()); err != nil {
			return err
		}
	}
}

// copyFrom copies the data that r returns to s. It returns nil at the end of the data.
func copyFrom(s stream, r io.Reader) error {
	buffer := make([]byte, frameBytes)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if _, err := writeFrames(s, buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
