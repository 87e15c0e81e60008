// Package weights is the narrow interface at the weight store, from which
// engines load models. The store is rate-limited, so a load asks it first when
// the transfer may begin.
package weights

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/plankridge/plankridge/internal/httpjson"
)

// Artifact describes the weights of one version of a model.
type Artifact struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	// WaitSeconds is how long the store's rate limit holds this transfer back.
	WaitSeconds float64 `json:"wait_seconds"`
}

// Wait returns how long the transfer is held back.
func (a Artifact) Wait() time.Duration {
	return time.Duration(a.WaitSeconds * float64(time.Second))
}

// Store is the weight store.
type Store interface {
	// Reserve books the transfer of an artifact within the store's rate.
	Reserve(ctx context.Context, model, version string) (Artifact, error)
}

// Client speaks to the weight store over HTTP/JSON. It implements Store.
type Client struct {
	api httpjson.Client
}

// NewClient returns a client of the endpoint.
func NewClient(endpoint, token string, client *http.Client) *Client {
	return &Client{api: httpjson.Client{Base: endpoint, Token: token, HTTP: client}}
}

// Reserve implements Store.
func (c *Client) Reserve(ctx context.Context, model, version string) (Artifact, error) {
	var artifact Artifact
	path := "/artifacts/" + url.PathEscape(model) + "/" + url.PathEscape(version) + "/reserve"
	err := c.api.Call(ctx, http.MethodPost, path, nil, &artifact)
	return artifact, err
}
