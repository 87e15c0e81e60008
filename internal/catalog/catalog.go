// Package catalog holds the routing configuration that operators publish: routes, services,
// workspaces and limits for callers. A Catalog is immutable once built; a new version is a new
// Catalog.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Catalog is one version of the configuration, with lookup tables.
type Catalog struct {
	// Version is the operator's version number. It increases, but not always by one.
	Version int64
	Routes  []Route
	// Services holds the services by name.
	Services map[string]Service
	Limits   CallerLimits
	// Workspaces is empty if callers need no key.
	Workspaces []Workspace
	// AppliedAt is when this daemon applied the version.
	AppliedAt time.Time
	// Raw is the encoded form that the catalog was decoded from. Daemons send it to each other
	// unchanged.
	Raw []byte

	byHost map[string][]*Route
	byKey  map[[sha256.Size]byte]*Workspace
}

// RouteKind determines how often a request of a route may run.
type RouteKind int

// The route kinds.
const (
	// NonIdempotent requests run at most once, even if the answer is lost.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// EventStream requests are answered by a stream of events. They run at most once, unless the
	// route is Resumable.
	EventStream
)

// Route determines where requests for a host and path are sent and how they are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams may continue on another backend server, after the last event that the
	// caller received.
	Resumable bool
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream, within which a
	// request counts as on time.
	LatencyTarget time.Duration
	// EventGapTarget is the longest gap between two events that counts as on time.
	EventGapTarget time.Duration
	// Rank is the urgency of the route's requests; zero is the most urgent.
	Rank int
	// MaxAttempts limits the number of backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// PrefixCached routes carry prompts whose common prefixes are cached by backend servers.
	PrefixCached bool
	Splits       []Split
}

// Split is a service that receives a weighted share of a route's requests.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable backend servers that routes send requests to.
type Service struct {
	Name string
	// HealthPath is the URL path for health checks.
	HealthPath string
	// MaxConns limits the connections of all daemons together to one backend server.
	MaxConns int
	// Engine is set for services that run model engines.
	Engine *Engine
	// Scaling is set for services that are scaled automatically.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest batch size: the number of requests that an engine can run concurrently.
	Slots int
	// CacheTokens is the size of the KV cache in tokens. Running requests and cached prompt prefixes
	// share it.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// KVBytesPerToken is the size of the KV cache of one token. LinkBytesPerSecond is the bandwidth
	// of an engine's network link. If either is zero, engines do not fetch cached
	// prompt prefixes from each other.
	KVBytesPerToken    int
	LinkBytesPerSecond float64
	// Moves is set if an engine can copy the memory of a running request to another engine, which then
	// continues the request. CopyRetention is how long an unused copy is kept.
	Moves         bool
	CopyRetention time.Duration
}

// CopyTime returns how long a copy of some tokens of KV cache takes within a zone.
func (e *Engine) CopyTime(tokens int) time.Duration {
	if e.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * float64(e.KVBytesPerToken) / e.LinkBytesPerSecond * float64(time.Second))
}

// Scaling holds the limits and prices of a service's backend servers.
type Scaling struct {
	// MinPerZone and MaxPerZone limit the number of servers in one availability zone, on-demand and
	// reclaimable ones together.
	MinPerZone, MaxPerZone int
	BootTime               time.Duration
	// SpotPriceRatio is the price of a reclaimable server divided by the price of an on-demand one.
	// Zero means that no reclaimable servers are offered.
	SpotPriceRatio float64
	ZonePrices     map[string]float64
}

// CallerLimits limit the size of callers' requests and the time that callers may take. Zero fields mean the
// defaults.
type CallerLimits struct {
	// HeaderBytes bounds the request line and the header together.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a header to its end.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a byte between requests, within a body, and while the caller does
	// not read its answer.
	IdleTimeout time.Duration
}

// Defaults of CallerLimits.
const (
	DefaultHeaderBytes   = 64 << 10
	DefaultBodyBytes     = 8 << 20
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 75 * time.Second
)

// WithDefaults returns the limits with the defaults for those that are unset.
func (l CallerLimits) WithDefaults() CallerLimits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Workspace is a customer, with its keys and its allowance.
type Workspace struct {
	Name string
	// KeyDigests are the SHA-256 digests of the workspace's keys.
	KeyDigests [][sha256.Size]byte
	// Rank overrides the rank of the route if it is set.
	Rank *int
	// RatePerSecond and Burst are the allowance over all daemons together; zero means no limit. The
	// unit is tokens if ByTokens is set, otherwise requests.
	RatePerSecond float64
	Burst         float64
	ByTokens      bool
	// PlainRequestTokens is the number of tokens charged for a request without token counts.
	PlainRequestTokens int
}

// Build creates the lookup tables. It must be called once, before the catalog is shared between
// goroutines.
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

// Match returns the route of the host with the longest prefix that matches the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route need a key.
func (c *Catalog) NeedsKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Public }

// WorkspaceByKey returns the workspace that the key belongs to, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.byKey[sha256.Sum256([]byte(key))] }

// PickService selects one of the route's services by weight. point is uniform in [0, 1). If all
// weights are zero, it selects the last service.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Retryable reports whether a request of the route may be sent again after an attempt that may have
// run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == EventStream && r.Resumable)
}

// ResumableServices returns the services that streams of resumable routes go to.
func (c *Catalog) ResumableServices() map[string]bool {
	services := map[string]bool{}
	for i := range c.Routes {
		if !c.Routes[i].ResumableStream() {
			continue
		}
		for _, split := range c.Routes[i].Splits {
			services[split.Service] = true
		}
	}
	return services
}

// ResumableStream reports whether the route's answers are streams that may be resumed.
func (r *Route) ResumableStream() bool { return r.Kind == EventStream && r.Resumable }
