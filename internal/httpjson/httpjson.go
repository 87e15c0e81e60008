// Package httpjson implements the HTTP/JSON calls that the clients of external
// systems share. A call's error shows whether the call may have taken effect.
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

	"github.com/plankridge/plankridge/internal/network"
)

// maxResponseBytes bounds how much of a response body is read.
const maxResponseBytes = 16 << 20

// StatusError is returned for a response whose status is not 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error. It returns the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// ErrNotSent means that no byte of the request has been sent, so that the call cannot
// have taken effect.
var ErrNotSent = errors.New("call was not sent")

// RawBody receives a response body without decoding it. Pass a *RawBody as out.
type RawBody []byte

// Client calls the HTTP API at a base URL.
type Client struct {
	// Base is the base URL without a trailing slash.
	Base string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// HTTP is the HTTP client. Its transport should be one of package network, which returns errors for responses
	// that are cut or not HTTP.
	HTTP *http.Client
}

// Call sends in as JSON unless it is nil, and decodes the response into out unless
// that is nil. It returns a *StatusError if the status is not 2xx. If the error wraps
// ErrNotSent, the call had no effect. After any other error it may have had one.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	return c.CallWithHeader(ctx, method, path, nil, in, out)
}

// CallWithHeader is like Call and sends additional request headers.
func (c *Client) CallWithHeader(ctx context.Context, method, path string, header http.Header, in, out any) error {
	_, err := c.CallForHeader(ctx, method, path, header, in, out)
	return err
}

// CallForHeader is like CallWithHeader and returns the response's header, which is nil if there was
// no response.
func (c *Client) CallForHeader(ctx context.Context, method, path string, header http.Header, in, out any) (http.Header, error) {
	ctx, sent := traceSent(ctx)
	req, err := c.newRequest(ctx, method, path, header, in)
	if err != nil {
		return nil, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		if !sent.Load() {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, eris.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.Header, decodeResponse(resp, out)
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
	if out == nil {
		return nil
	}
	if network.EndsWithConnection(resp) && isCut(raw) {
		return errCut
	}
	if len(raw) == 0 {
		return nil
	}
	if rawBody, ok := out.(*RawBody); ok {
		*rawBody = raw
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return eris.Wrap(err, "decode answer")
	}
	return nil
}

// errCut means that a response, which has no length, ended before its JSON value did.
var errCut = errors.New("answer was cut off")

// isCut reports whether a text ends before its JSON value does.
func isCut(raw []byte) bool {
	err := json.NewDecoder(bytes.NewReader(raw)).Decode(&json.RawMessage{})
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// traceSent returns a context that records whether a request using it obtained a
// connection. Before that, no byte can have been sent.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}

// opaqueReader hides the concrete type of a reader. The HTTP transport then cannot
// rewind the body, and so does not retry a request by itself.
type opaqueReader struct{ io.Reader }

// IsStatus reports whether err is a *StatusError with the given status.
func IsStatus(err error, status int) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) && statusErr.Status == status
}
