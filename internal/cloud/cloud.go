// Package cloud is the narrow interface at the cloud API: starting and
// stopping VMs, and the notices that announce a reclaim.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/httpjson"
	"github.com/plankridge/plankridge/internal/jsonscan"
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
	// that long for one. Beside an error it returns those that it could decode.
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
	var raw httpjson.RawBody
	path := fmt.Sprintf("/notices?after=%d&wait=%s", after, wait)
	if err := c.api.Call(ctx, http.MethodGet, path, nil, &raw); err != nil {
		return nil, err
	}
	return decodeNotices(raw)
}

// errUnreadableNotices means that some notices of a response cannot be decoded.
var errUnreadableNotices = errors.New("notices cannot be decoded")

// decodeNotices decodes a response. Notices are decoded one by one: one that cannot be decoded, of any
// depth, does not hide the others, which are returned with an error.
func decodeNotices(raw []byte) ([]Notice, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	if len(raw) < 2 || raw[0] != '[' || raw[len(raw)-1] != ']' {
		return nil, errUnreadableNotices
	}
	var notices []Notice
	elements := jsonscan.Elements(raw[1:len(raw)-1], startsNotice)
	for _, element := range elements {
		var notice Notice
		if json.Unmarshal(element, &notice) == nil && notice.VM != "" {
			notices = append(notices, notice)
		}
	}
	if skipped := len(elements) - len(notices); skipped > 0 {
		return notices, fmt.Errorf("%w: %d of %d", errUnreadableNotices, skipped, len(elements))
	}
	return notices, nil
}

// startsNotice reports whether a notice begins at a quote.
func startsNotice(raw []byte, quote int) bool {
	return bytes.HasPrefix(raw[quote:], []byte(`"sequence"`))
}
