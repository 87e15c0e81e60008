// Package plain is the narrow interface at plain services: HTTP applications
// that run beside the model engines, some of whose calls may not be repeated.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/network"
)

// Headers that carry the identity of an attempt to a plain service, and back
// from one that echoes them.
const (
	HeaderRequestID = "Plankridge-Request-Id"
	HeaderAttempt   = "Plankridge-Attempt"
	HeaderWorkspace = "Plankridge-Workspace"
)

// Errors of a call. They say whether the call can have reached the service.
var (
	// ErrNotSent means that the service was not reached, so that the call
	// cannot have run.
	ErrNotSent = errors.New("plain service not reached")
	// ErrNoAnswer means that the call may have run.
	ErrNoAnswer = errors.New("plain service gave no whole answer")
	// ErrAnswerTooLarge means that the call has run but its answer is above
	// the limit.
	ErrAnswerTooLarge = errors.New("answer of plain service too large")
	// ErrForeignAnswer means that the answer belongs to another request.
	ErrForeignAnswer = errors.New("answer of plain service has another identity")
)

// Call is one attempt at a plain service.
type Call struct {
	RequestID  string
	Attempt    int
	Workspace  string
	Idempotent bool
	Method     string
	// Path is the path below the service with its query.
	Path   string
	Header http.Header
	Body   []byte
	// OnAdvice, if not nil, gets the advice in the response.
	OnAdvice func(advice.Advice)
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// EndsWithConnection is set when the answer has neither a length nor chunks, so that it ends in
	// the same way if the server's process does.
	EndsWithConnection bool
}

// Service is a plain service, reached by its address (IP:port).
type Service interface {
	Do(ctx context.Context, address string, call Call) (Answer, error)
}

// Client calls plain services over HTTP. It implements Service.
type Client struct {
	pooled *http.Client
	// fresh opens a connection for each call. The transport sends some calls
	// a second time when a pooled connection turns out to be closed; on a new
	// connection it never does, and a failed dial proves that nothing ran.
	fresh     *http.Client
	maxAnswer int
}

// NewClient returns a client that dials through the network. maxAnswer bounds
// an answer's size in bytes.
func NewClient(dialer network.Network, maxAnswer int) *Client {
	return &Client{
		pooled:    noRedirects(network.Transport(dialer, false)),
		fresh:     noRedirects(network.Transport(dialer, true)),
		maxAnswer: maxAnswer,
	}
}

// noRedirects returns a client that hands redirects to the caller.
func noRedirects(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do implements Service.
func (c *Client) Do(ctx context.Context, address string, call Call) (Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	client := c.fresh
	if call.Idempotent {
		client = c.pooled
	}
	resp, err := client.Do(req)
	if err != nil {
		if !connected.Load() {
			return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return Answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readAnswer(resp, call)
}

func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, eris.Wrap(err, "make call")
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	req.Header.Set(HeaderWorkspace, call.Workspace)
	return req, nil
}

func (c *Client) readAnswer(resp *http.Response, call Call) (Answer, error) {
	if echoed := resp.Header.Get(HeaderRequestID); echoed != "" && echoed != call.RequestID {
		return Answer{}, ErrForeignAnswer
	}
	if call.OnAdvice != nil {
		call.OnAdvice(advice.FromHeader(resp.Header, false))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.maxAnswer)+1))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if len(body) > c.maxAnswer {
		return Answer{}, ErrAnswerTooLarge
	}
	return Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		EndsWithConnection: network.EndsWithConnection(resp),
	}, nil
}
