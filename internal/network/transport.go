package network

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxIdleConnsPerHost = 64
	idleConnTimeout     = time.Minute
	// maxResponseHeadBytes bounds the head of a response.
	maxResponseHeadBytes = 64 << 10
	// maxWriteDelay bounds how long a failed write waits for the response that may have come before.
	maxWriteDelay = time.Second
)

// HTTPTransport is an http.Transport that returns an error in place of the end of a response that a reset has cut.
type HTTPTransport struct{ *http.Transport }

// Transport returns an HTTP transport that dials through n. With newConnPerRequest,
// connections are not reused, and so the transport never retries a request.
func Transport(n Network, newConnPerRequest bool) *HTTPTransport {
	return &HTTPTransport{&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := n.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &responseFirstConn{Conn: conn, readsEnded: make(chan struct{})}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   newConnPerRequest,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t *HTTPTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var x exchange
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), x.trace())))
}

// exchange is a request and its response.
type exchange struct {
	// endSending is called once the request is written.
	endSending atomic.Pointer[func()]
}

// trace returns hooks that declare the sending of the request.
func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*responseFirstConn); ok {
				end := BeginSending(conn.Conn)
				x.endSending.Store(&end)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if end := x.endSending.Swap(nil); end != nil {
				(*end)()
			}
		},
	}
}

// responseFirstConn is a connection whose failed writes return once its reads have ended. http.Transport closes a
// connection on which a write fails, and loses a response that a server sent before it reset the connection.
type responseFirstConn struct {
	net.Conn
	endReads   sync.Once
	readsEnded chan struct{}
}

// Write implements net.Conn.
func (c *responseFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	timeout := time.NewTimer(maxWriteDelay)
	defer timeout.Stop()
	select {
	case <-c.readsEnded:
	case <-timeout.C:
	}
	return n, err
}

// Read implements net.Conn.
func (c *responseFirstConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.setReadsEnded()
	}
	return n, err
}

// Close implements net.Conn.
func (c *responseFirstConn) Close() error {
	c.setReadsEnded()
	return c.Conn.Close()
}

func (c *responseFirstConn) setReadsEnded() {
	c.endReads.Do(func() { close(c.readsEnded) })
}
