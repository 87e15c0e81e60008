// Package network defines the interface through which daemons listen and dial. The
// same daemon can run on TCP and on the in-memory network of the failure tests.
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network listens on and dials addresses in the form IP:port.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
	// ListenPacket opens a socket for datagrams. Destination addresses must come
	// from ResolvePacket.
	ListenPacket(address string) (net.PacketConn, error)
	ResolvePacket(address string) (net.Addr, error)
}

// dialTimeout bounds the establishment of a TCP connection.
const dialTimeout = 2 * time.Second

// TCP is the operating system's network: TCP for connections, UDP for datagrams.
type TCP struct{}

// ReceiveBufferBytes bounds the unread bytes of a connection that the kernel keeps. Without it, the kernel
// lets the buffer of a fast client grow to several megabytes.
const ReceiveBufferBytes = 64 << 10

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setReceiveBuffer}
	return config.Listen(context.Background(), "tcp", address)
}

// setReceiveBuffer sets the size of the receive buffer, which accepted connections inherit. It is a
// precaution, and a system that refuses it is served without.
func setReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBufferBytes)
	})
}

// ListenPacket implements Network.
func (TCP) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// ResolvePacket implements Network.
func (TCP) ResolvePacket(address string) (net.Addr, error) {
	return net.ResolveUDPAddr("udp", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveProbes, Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{socket: raw.(*net.TCPConn)}, nil
}

// A host that is partitioned or has lost power does not close its connections. Both
// settings detect this within about two seconds: keepAliveProbes on an idle
// connection, unacknowledgedTimeout on one with unacknowledged data.
const unacknowledgedTimeout = 2 * time.Second

var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent data may stay
// unacknowledged.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	err := conn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}
