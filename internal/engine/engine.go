// Package engine is the narrow interface at the model engines that run on
// backend servers.
package engine

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/plankridge/plankridge/internal/advice"
)

// Errors of an attempt at an engine. They say whether the attempt can have
// reached the engine.
var (
	// ErrNotSent means that the engine was not reached.
	ErrNotSent = errors.New("engine not reached")
	// ErrRefused means that the engine declined the attempt and did not run it.
	ErrRefused = errors.New("engine refused the attempt")
	// ErrBroken means that the attempt ended before its last token.
	ErrBroken = errors.New("engine stream broke")
	// ErrInvalid means that the engine rejected the request itself.
	ErrInvalid = errors.New("engine rejected the request")
	// ErrStaleFence means that an order carried an old fencing number.
	ErrStaleFence = errors.New("order carries an old fencing number")
)

// Priority orders the requests inside an engine; lower runs first.
type Priority int

// The priorities in use.
const (
	PriorityAwaited    Priority = 0
	PriorityDeferrable Priority = 10
)

// Attempt is one try of a request at one engine.
type Attempt struct {
	RequestID string `json:"request_id"`
	Number    int    `json:"attempt"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	// CacheSalt separates the prompt caches of workspaces.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Resume holds the tokens that earlier attempts have produced. The engine
	// continues after them.
	Resume    []string `json:"resume,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	Priority  Priority `json:"priority"`
	// Parameters are the sampling parameters of the caller, passed on as they
	// came.
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
	// OnAdvice, if not nil, gets the advice in the response.
	OnAdvice func(advice.Advice) `json:"-"`
}

// Usage counts the tokens of one attempt.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the part of PromptTokens that was not computed again.
	CachedTokens int `json:"cached_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// Event is one message of an engine's stream: a token, or the end.
type Event struct {
	RequestID string `json:"request_id"`
	Number    int    `json:"attempt"`
	// Index counts the tokens of the whole answer, resumed ones included.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// FinishReason is set on the last event only.
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
}

// Load is an engine's report of its own load. It lags behind.
type Load struct {
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	QueuedTokens int `json:"queued_tokens"`
	CachedBlocks int `json:"cached_blocks"`
}

// CacheEvent tells that a prompt block entered or left an engine's cache. A
// step of more than one between sequence numbers is a gap.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind names what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order states what an engine shall have loaded or be. Repeating an order is
// harmless.
type Order struct {
	Fence   int64     `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// Engine is a model engine, reached by its address (IP:port).
type Engine interface {
	// Generate runs an attempt and passes each event to sink. It returns nil
	// after the last event. An error of sink ends the attempt and is returned.
	Generate(ctx context.Context, address string, attempt Attempt, sink func(Event) error) error
	// Cancel ends a request at the engine. An unknown request is no error.
	Cancel(ctx context.Context, address, requestID string) error
	// Load returns the engine's latest load report.
	Load(ctx context.Context, address string) (Load, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// ExportKV returns the KV cache of a prompt's blocks.
	ExportKV(ctx context.Context, address, requestID string) ([]byte, error)
	// ImportKV puts an exported KV cache into the engine.
	ImportKV(ctx context.Context, address string, blob []byte) error
	// Order gives an order.
	Order(ctx context.Context, address string, order Order) error
}
