package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/httpjson"
)

// Client calls the operator API of a daemon.
type Client struct {
	api httpjson.Client
}

// NewClient returns a client of the daemon at the URL.
func NewClient(url, token string) *Client {
	return &Client{api: httpjson.Client{Base: url, Token: token}}
}

// FailureError is a Failure that a daemon has answered.
type FailureError struct {
	Status  int
	Failure Failure
}

// Error returns the daemon's message.
func (e *FailureError) Error() string { return e.Failure.Message }

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	err := c.api.Call(ctx, method, path, in, out)
	var status *httpjson.StatusError
	if !errors.As(err, &status) {
		return err
	}
	failure := &FailureError{Status: status.Status}
	if json.Unmarshal([]byte(status.Body), &failure.Failure) != nil || failure.Failure.Message == "" {
		return err
	}
	return failure
}

// Apply makes files the next generation.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (ApplyResponse, error) {
	var response ApplyResponse
	err := c.call(ctx, http.MethodPost, "/v1/apply", request, &response)
	return response, err
}

// Diff compares files with the current deployment.
func (c *Client) Diff(ctx context.Context, request DiffRequest) (DiffResponse, error) {
	var response DiffResponse
	err := c.call(ctx, http.MethodPost, "/v1/diff", request, &response)
	return response, err
}

// Deployment returns the current deployment.
func (c *Client) Deployment(ctx context.Context) (generation.Document, error) {
	var document generation.Document
	err := c.call(ctx, http.MethodGet, "/v1/deployment", nil, &document)
	return document, err
}

// Status returns the status of the whole system.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var response StatusResponse
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &response)
	return response, err
}

// Burn returns the counts of good and bad requests.
func (c *Client) Burn(ctx context.Context) (BurnResponse, error) {
	var response BurnResponse
	err := c.call(ctx, http.MethodGet, "/v1/burn", nil, &response)
	return response, err
}
