package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/httpjson"
	"github.com/plankridge/plankridge/internal/network"
)

// Client is a client of a daemon's operator API. A rejected call returns a
// *FailureError.
type Client struct {
	api httpjson.Client
}

// NewClient returns a client of the daemon at the URL. An empty token sends no
// Authorization header.
func NewClient(url, token string) *Client {
	transport := network.Transport(network.TCP{}, false)
	transport.Proxy = http.ProxyFromEnvironment
	return &Client{api: httpjson.Client{Base: url, Token: token, HTTP: &http.Client{Transport: transport}}}
}

// FailureError is a Failure returned by a daemon, with the HTTP status.
type FailureError struct {
	Status  int
	Failure Failure
}

// Error implements error. It returns the daemon's message.
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

// Apply applies files as the next generation.
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

// Status returns the status of all daemons and the backend server counts.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var response StatusResponse
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &response)
	return response, err
}

// Burn returns the counts of good and bad requests by service and workspace.
func (c *Client) Burn(ctx context.Context) (BurnResponse, error) {
	var response BurnResponse
	err := c.call(ctx, http.MethodGet, "/v1/burn", nil, &response)
	return response, err
}
