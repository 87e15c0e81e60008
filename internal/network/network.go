// Package network is the interface through which daemons listen and dial, so
// that the same daemon runs over TCP and over the in-memory network of the
// failure tests.
package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network listens on and dials addresses of the form IP:port.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
	// ListenPacket opens a port for datagrams. They are sent to addresses as
	// ResolvePacket returns them.
	ListenPacket(address string) (net.PacketConn, error)
	ResolvePacket(address string) (net.Addr, error)
}

// dialTimeout bounds the opening of a TCP connection.
const dialTimeout = 2 * time.Second

// TCP is the network of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
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
	return dialer.DialContext(ctx, "tcp", address)
}

// A peer behind a partition, or without power, says nothing. These find it out
// within about two seconds on a connection that waits (probes) and on one that
// has sent (unacknowledged).
const unacknowledgedTimeout = 2 * time.Second

var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

const (
	maxIdleConnsPerHost = 64
	idleConnTimeout     = time.Minute
)

// Transport returns an HTTP transport that dials through n. A fresh transport
// opens a connection for each request and never sends a request twice.
func Transport(n Network, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}
}
