package network

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	maxIdleConnsPerHost = 64
	idleConnTimeout     = time.Minute
	// maxResponseHeadBytes bounds the head of a response.
	maxResponseHeadBytes = 64 << 10
)

// HTTPTransport is an http.Transport that returns an error in place of the end of a response that a reset has cut.
type HTTPTransport struct{ *http.Transport }

// Transport returns an HTTP transport that dials through n. With newConnPerRequest,
// connections are not reused, and so the transport never retries a request.
func Transport(n Network, newConnPerRequest bool) *HTTPTransport {
	return &HTTPTransport{&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
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
			end := BeginSending(info.Conn)
			x.endSending.Store(&end)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if end := x.endSending.Swap(nil); end != nil {
				(*end)()
			}
		},
	}
}
