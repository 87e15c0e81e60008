package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/httpjson"
)

// Client speaks to engines over HTTP with JSON lines. It implements Engine.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses the given HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{http: client}
}

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, address string, attempt Attempt, sink func(Event) error) error {
	raw, err := json.Marshal(attempt)
	if err != nil {
		return eris.Wrap(err, "encode attempt")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/generate", bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "make attempt")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if attempt.OnAdvice != nil {
		attempt.OnAdvice(advice.FromHeader(resp.Header, declines(resp.StatusCode)))
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return readEvents(resp.Body, sink)
}

// declines reports whether an engine with a status has declined an attempt for now.
func declines(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func refusal(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusTooManyRequests {
		return fmt.Errorf("%w: status %d: %s", ErrInvalid, resp.StatusCode, bytes.TrimSpace(text))
	}
	return fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
}

// errOversizedEvent means that an engine sent more bytes than an event may have.
var errOversizedEvent = fmt.Errorf("event has more than %d bytes", maxEventBytes)

// maxEventBytes bounds the bytes that are read for one event of a stream.
const maxEventBytes = 1 << 20

// readEvents passes the events of a stream on until the last one.
func readEvents(body io.Reader, sink func(Event) error) error {
	limited := &io.LimitedReader{R: body, N: maxEventBytes}
	decoder := json.NewDecoder(limited)
	for {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			if limited.N <= 0 {
				err = errOversizedEvent
			}
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
		limited.N = maxEventBytes
		if err := sink(event); err != nil {
			return err
		}
		if event.FinishReason != "" {
			return nil
		}
	}
}

func (c *Client) api(address string) *httpjson.Client {
	return &httpjson.Client{Base: "http://" + address, HTTP: c.http}
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.api(address).Call(ctx, http.MethodDelete, "/generate/"+url.PathEscape(requestID), nil, nil)
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.api(address).Call(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/cache-events?after=" + strconv.FormatInt(after, 10)
	err := c.api(address).Call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// kvBlob is the wire form of an exported KV cache.
type kvBlob struct {
	Data []byte `json:"data"`
}

// ExportKV implements Engine.
func (c *Client) ExportKV(ctx context.Context, address, requestID string) ([]byte, error) {
	var blob kvBlob
	err := c.api(address).Call(ctx, http.MethodPost, "/kv/export/"+url.PathEscape(requestID), nil, &blob)
	return blob.Data, err
}

// ImportKV implements Engine.
func (c *Client) ImportKV(ctx context.Context, address string, data []byte) error {
	return c.api(address).Call(ctx, http.MethodPost, "/kv/import", kvBlob{Data: data}, nil)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	err := c.api(address).Call(ctx, http.MethodPost, "/orders", order, nil)
	if httpjson.IsStatus(err, http.StatusConflict) {
		return ErrStaleFence
	}
	if errors.Is(err, httpjson.ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}
