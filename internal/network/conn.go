package network

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resetPollInterval is the time between two checks for a reset that the peer may send after the end of its data,
	// and maxResetPolls the number of these checks. Together they exceed the round-trip time between VMs. It is their
	// number that counts, so that a sender gets to run between them on a busy VM.
	resetPollInterval = time.Millisecond
	maxResetPolls     = 50
)

// errReset means that the peer ended its data and did not take the data that it was being sent.
var errReset = fmt.Errorf("peer has reset the connection: %w", syscall.ECONNRESET)

// socket has the methods of a TCP connection that its users need. Embedding it, unlike *net.TCPConn, adds no methods
// that read other than Read.
type socket interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// conn is a dialed TCP connection whose reads return io.EOF only if the peer has ended its data in an orderly way.
//
// The kernel reports a reset once, to whichever call meets it first. If that is a write, the kernel lets reads see the
// end of the data. A peer that closes while it is sent data ends its data as well if it has read all that had arrived
// by then, and resets the connection when more arrives.
type conn struct {
	socket

	// senders is the number of calls of BeginSending that have not been ended.
	senders atomic.Int64
}

// BeginSending declares that data, such as a request, is being sent on a connection, until end is called. Reads of a
// connection that TCP has dialed do not take the end of the peer's data for an orderly one meanwhile until they have
// waited for a reset. It has no effect on other connections.
func BeginSending(c net.Conn) (end func()) {
	dialed, ok := c.(*conn)
	if !ok {
		return func() {}
	}
	dialed.senders.Add(1)
	return func() { dialed.senders.Add(-1) }
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if err == io.EOF {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the peer, which has ended its data, has not reset the connection, and otherwise an error.
func (c *conn) checkEnd() error {
	for polls := 0; ; polls++ {
		// In this order: a sender that has ended leaves unacknowledged data.
		sending := c.senders.Load() > 0
		state, err := c.state()
		switch {
		case err != nil:
			return err
		case state.reset:
			return errReset
		case !sending && !state.unacknowledged, polls == maxResetPolls:
			return io.EOF
		}
		time.Sleep(resetPollInterval)
	}
}

// connState is the state of a connection after the end of the peer's data.
type connState struct {
	// reset is set if the kernel has closed both directions. The end of the peer's data closes that of reads only.
	reset bool
	// unacknowledged is set if the peer's kernel has not received all data.
	unacknowledged bool
}

func (c *conn) state() (state connState, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return state, err
	}
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd)}}
		if _, err := unix.Poll(poll, 0); err == nil {
			state.reset = poll[0].Revents&unix.POLLHUP != 0
		}
		if size, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			state.unacknowledged = size > 0
		}
	})
	return state, err
}
