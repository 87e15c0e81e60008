package network

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
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

// HTTPTransport is an http.Transport that returns an InvalidHeadError in place of a response with an invalid head.
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
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), x.trace())))
	if err != nil {
		return nil, err
	}
	if err := CheckResponseHead(resp); err != nil {
		_ = x.conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// exchange is a request and its response.
type exchange struct {
	// conn is the connection of the last attempt.
	conn net.Conn
	// endSending is called once the request is written.
	endSending atomic.Pointer[func()]
}

// trace returns hooks that declare the sending of the request and check the fields of interim responses.
func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.conn = info.Conn
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
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			return checkFieldNames(http.Header(header))
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
