package vmlist

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/httpjson"
)

// Client accesses the VM list over HTTP and JSON. It implements VMLister.
type Client struct{ api httpjson.Client }

// NewClient returns a client for the endpoint.
func NewClient(endpoint, token string, client *http.Client) *Client {
	return &Client{api: httpjson.Client{Base: endpoint, Token: token, HTTP: client}}
}

// ErrUnavailable means that the VM list could not be read.
var ErrUnavailable = errors.New("VM list unavailable")

// ListVMs implements VMLister.
func (c *Client) ListVMs(ctx context.Context, after int64, wait time.Duration) (VMChanges, error) {
	var changes VMChanges
	path := fmt.Sprintf("/vms?after=%d&wait=%s", after, wait)
	if err := c.api.Call(ctx, http.MethodGet, path, nil, &changes); err != nil {
		return changes, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return changes, nil
}
