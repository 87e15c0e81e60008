// Package httpjson is the small HTTP/JSON exchange that the clients of the
// outside systems share: one call, one JSON answer, and an error that says
// whether the call may have taken effect.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// maxResponseBytes bounds the size of an answer in bytes.
const maxResponseBytes = 16 << 20

// StatusError is an answer whose status is not 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error names the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// ErrNotSent means that no byte of the call has left this process, so that it
// cannot have taken effect.
var ErrNotSent = errors.New("call was not sent")

// RawBody takes an answer as it is, for a caller that decodes it itself.
type RawBody []byte

// Client calls one endpoint.
type Client struct {
	// Base is the endpoint's URL without a trailing slash.
	Base string
	// Token is sent as a bearer token when it is not empty.
	Token string
	// HTTP is the client used; http.DefaultClient when nil.
	HTTP *http.Client
}

// Call sends in as JSON, when it is not nil, and decodes the answer into out,
// when that is not nil. It returns a *StatusError for other statuses than 2xx.
// An error that wraps ErrNotSent had no effect; any other error may have had.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	return c.CallWithHeader(ctx, method, path, nil, in, out)
}

// CallWithHeader is Call with headers of the caller's.
func (c *Client) CallWithHeader(ctx context.Context, method, path string, header http.Header, in, out any) error {
	ctx, sent := traceSent(ctx)
	req, err := c.newRequest(ctx, method, path, header, in)
	if err != nil {
		return err
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		if !sent.Load() {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return eris.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(resp, out)
}

func (c *Client) newRequest(ctx context.Context, method, path string, header http.Header, in any) (*http.Request, error) {
	var body io.Reader
	var size int64
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, eris.Wrap(err, "encode call")
		}
		body, size = opaqueReader{bytes.NewReader(raw)}, int64(len(raw))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "make call")
	}
	req.ContentLength = size
	for name, values := range header {
		req.Header[name] = values
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return req, nil
}

func decodeResponse(resp *http.Response, out any) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return &StatusError{Status: resp.StatusCode, Body: string(bytes.TrimSpace(raw))}
	}
	if out == nil || len(raw) == 0 {
		return nil
	}
	if whole, ok := out.(*RawBody); ok {
		*whole = raw
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return eris.Wrap(err, "decode answer")
	}
	return nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// traceSent returns a context that records whether a connection was obtained;
// before that nothing can have been sent.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}

// opaqueReader hides the concrete reader, so that the HTTP transport cannot
// rewind the body and send a call a second time by itself.
type opaqueReader struct{ io.Reader }

// IsStatus reports whether err is an answer with the given status.
func IsStatus(err error, status int) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) && statusErr.Status == status
}
