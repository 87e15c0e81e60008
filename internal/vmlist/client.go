package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/httpjson"
	"github.com/plankridge/plankridge/internal/jsonscan"
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
	var raw httpjson.RawBody
	path := fmt.Sprintf("/vms?after=%d&wait=%s", after, wait)
	err := c.api.Call(ctx, http.MethodGet, path, nil, &raw)
	if err != nil {
		return VMChanges{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	changes, err := decodeChanges(raw)
	if err != nil {
		return VMChanges{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return changes, nil
}

// decodeChanges decodes a response. VMs are decoded one by one, so that an entry that cannot be decoded,
// of any depth, does not hide the others.
func decodeChanges(raw []byte) (VMChanges, error) {
	var changes VMChanges
	var vms []byte
	var faults []error
	whole := jsonscan.Members(raw, func(m jsonscan.Member) {
		switch string(m.Key) {
		case "revision":
			faults = append(faults, json.Unmarshal(m.Value, &changes.Revision))
		case "full":
			faults = append(faults, json.Unmarshal(m.Value, &changes.Full))
		case "vms":
			vms = m.Value
		}
	})
	if err := errors.Join(faults...); err != nil || !whole {
		return VMChanges{}, fmt.Errorf("decode VM list: %w", errors.Join(errNotJSON, err))
	}
	if len(vms) < 2 || vms[0] != '[' {
		return changes, nil
	}
	for _, element := range jsonscan.Elements(vms[1:len(vms)-1], startsVM) {
		var vm VM
		if err := json.Unmarshal(element, &vm); err != nil || vm.ID == "" {
			changes.Skipped++
			continue
		}
		changes.VMs = append(changes.VMs, vm)
	}
	return changes, nil
}

// errNotJSON means that a response is not an object of the expected form.
var errNotJSON = errors.New("response is not a list of VMs")

// startsVM reports whether an entry of the list begins at a quote.
func startsVM(raw []byte, quote int) bool { return bytes.HasPrefix(raw[quote:], []byte(`"id"`)) }
