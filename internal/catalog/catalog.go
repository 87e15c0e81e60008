// Package catalog is the routing configuration that operators publish: routes,
// services, workspaces and what a caller may send. Values are immutable once
// built; a new version is a new Catalog.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Catalog is one version of the configuration with its lookup tables.
type Catalog struct {
	// Version is the operator's version number. It only grows, in uneven steps.
	Version int64
	Routes  []Route
	// Services by name.
	Services map[string]Service
	Limits   CallerLimits
	// Workspaces is empty when callers need no key.
	Workspaces []Workspace
	// AppliedAt is when this daemon put the version in force.
	AppliedAt time.Time
	// Raw is the encoded form that the catalog was decoded from, as daemons
	// pass it on to each other.
	Raw []byte

	byHost map[string][]*Route
	byKey  map[[sha256.Size]byte]*Workspace
}

// RouteKind says how often a request of a route may run.
type RouteKind int

// The kinds of route.
const (
	// NonIdempotent: at most one run, also when an answer is lost.
	NonIdempotent RouteKind = iota
	// Idempotent: idempotent, may run any number of times.
	Idempotent
	// Streams: an answer of events that runs once, unless it is Resumable.
	EventStream
)

// Route says where requests of a host and path go and how they are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams may go on at another backend server after the last
	// event that the caller has.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event, that earns full
	// credit.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between two events that is still on time.
	EventGapTarget time.Duration
	// Rank orders kinds of request by urgency; zero is the most urgent.
	Rank int
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// PrefixCached routes carry prompts whose shared parts backend servers cache.
	PrefixCached bool
	Splits       []Split
}

// Split is a service that gets a share of a route's requests.
type Split struct {
	Service string
	Weight  int
}

// Service is what stands behind routes.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConns bounds the connections to one backend server, of all daemons.
	MaxConns int
	// Engine is set for services of model engines.
	Engine *Engine
	// Scaling is set for services whose backend servers are ordered.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine batches.
	Slots int
	// CacheTokens is the memory for running requests and cached prompt parts.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// KVBytesPerToken is the size of one token's KV cache, in bytes, and LinkBytesPerSecond what
	// an engine's link carries a second. Zero means that engines do not fetch
	// prompt parts from each other.
	KVBytesPerToken    int
	LinkBytesPerSecond float64
}

// Scaling bounds and prices the backend servers of a service.
type Scaling struct {
	// MinPerZone and Max bound the servers of one availability zone, both markets
	// together.
	MinPerZone, MaxPerZone int
	BootTime               time.Duration
	// SpotPriceRatio is the price of a reclaimable server as a share of the price of
	// one on demand. Zero means that there are none.
	SpotPriceRatio float64
	ZonePrices     map[string]float64
}

// CallerLimits bound what a caller may send and how slowly.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with its keys and its allowance.
type Workspace struct {
	Name string
	// KeyDigests are the SHA-256 digests of the keys.
	KeyDigests [][sha256.Size]byte
	// Rank replaces the rank of the route when it is set.
	Rank *int
	// RatePerSecond and Burst are the allowance over all daemons together;
	// zero means no limit. ByTokens says whether it is counted in tokens or in
	// requests.
	RatePerSecond float64
	Burst         float64
	ByTokens      bool
	// PlainRequestTokens is what a request without token counts costs.
	PlainRequestTokens int
}

// Build makes the lookup tables. It is called once, before the catalog is
// shared.
func (c *Catalog) Build() *Catalog {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.byKey = map[[sha256.Size]byte]*Workspace{}
	for i := range c.Workspaces {
		for _, digest := range c.Workspaces[i].KeyDigests {
			c.byKey[digest] = &c.Workspaces[i]
		}
	}
	return c
}

// Match returns the route of a host whose prefix begins the path and is the
// longest, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route carry a key.
func (c *Catalog) NeedsKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Public }

// WorkspaceByKey returns the workspace that holds a key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.byKey[sha256.Sum256([]byte(key))] }

// PickService returns the service that a request goes to; point is uniform in
// [0, 1) and picks among the splits.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at := point * float64(total)
	for _, s := range r.Splits {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Retryable reports whether a request of the route may be sent again after an
// attempt that may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == EventStream && r.Resumable)
}
