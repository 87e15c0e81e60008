// Package network is the interface through which daemons listen and dial, so
// that the same daemon runs over TCP and over the in-memory network of the
// failure tests.
package network

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network listens on and dials addresses of the form IP:port.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// dialTimeout bounds the opening of a TCP connection.
const dialTimeout = 2 * time.Second

// TCP is the network of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

const (
	maxIdlePerHost  = 64
	idleConnTimeout = time.Minute
)

// Transport returns an HTTP transport that dials through n. A fresh transport
// opens a connection for each request and never sends a request twice.
func Transport(n Network, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}
}
