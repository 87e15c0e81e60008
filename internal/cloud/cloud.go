// Package cloud is the narrow interface at the cloud API: starting and
// stopping VMs, and the notices that announce a reclaim.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/httpjson"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// ErrRefused means that the cloud has no such VM to give at present.
var ErrRefused = errors.New("cloud refused to start a VM")

// StartOrder asks for a VM. The same order ID never starts a second VM.
type StartOrder struct {
	OrderID string        `json:"order_id"`
	Zone    string        `json:"zone"`
	Class   string        `json:"class"`
	Market  config.Market `json:"market"`
	Service string        `json:"service"`
}

// Notice announces that a VM is reclaimed at the deadline.
type Notice struct {
	Sequence int64     `json:"sequence"`
	VM       string    `json:"vm"`
	Deadline time.Time `json:"deadline"`
}

// Provider is the cloud API.
type Provider interface {
	// Start orders a VM. It returns ErrRefused when there is none to have.
	Start(ctx context.Context, order StartOrder) (vmlist.VM, error)
	// Stop gives a VM back. Stopping a VM that is gone is no error.
	Stop(ctx context.Context, vm string) error
	// Notices returns the notices after a sequence number, waiting at most
	// that long for one.
	Notices(ctx context.Context, after int64, wait time.Duration) ([]Notice, error)
}

// Client speaks to the cloud API over HTTP/JSON. It implements Provider.
type Client struct {
	api httpjson.Client
}

// NewClient returns a client of the endpoint.
func NewClient(endpoint, token string, client *http.Client) *Client {
	return &Client{api: httpjson.Client{Base: endpoint, Token: token, HTTP: client}}
}

// Start implements Provider.
func (c *Client) Start(ctx context.Context, order StartOrder) (vmlist.VM, error) {
	var vm vmlist.VM
	err := c.api.Call(ctx, http.MethodPost, "/vms", order, &vm)
	if httpjson.IsStatus(err, http.StatusServiceUnavailable) {
		return vm, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return vm, err
}

// Stop implements Provider.
func (c *Client) Stop(ctx context.Context, vm string) error {
	return c.api.Call(ctx, http.MethodDelete, "/vms/"+vm, nil, nil)
}

// Notices implements Provider.
func (c *Client) Notices(ctx context.Context, after int64, wait time.Duration) ([]Notice, error) {
	var notices []Notice
	path := fmt.Sprintf("/notices?after=%d&wait=%s", after, wait)
	err := c.api.Call(ctx, http.MethodGet, path, nil, &notices)
	return notices, err
}
