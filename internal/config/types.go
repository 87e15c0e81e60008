// Package config defines the two kinds of YAML file that operators write: the
// settings of one daemon, and the deployment (services, workspaces, routes)
// that is applied as a whole. It decodes them strictly, sets defaults and reports
// all mistakes with their positions.
package config

import (
	"encoding/hex"
	"fmt"
	"time"
)

// Duration is a time.Duration written in Go's notation, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses Go's notation for durations. Negative values are
// rejected.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a duration such as 1.5s or 250ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// parseOneOf sets out to the allowed value that equals text.
func parseOneOf[T ~string](text []byte, out *T, allowed ...T) error {
	for _, word := range allowed {
		if string(text) == string(word) {
			*out = word
			return nil
		}
	}
	return fmt.Errorf("%q is not one of %v", text, allowed)
}

// ServiceKind is the kind of backend of a service.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// UnmarshalText accepts the known kinds only.
func (k *ServiceKind) UnmarshalText(text []byte) error {
	return parseOneOf(text, k, KindModel, KindPlain)
}

// Market is the pricing model under which a VM is bought.
type Market string

// The markets of the cloud API.
const (
	MarketReclaimable Market = "reclaimable"
	MarketOnDemand    Market = "on-demand"
)

// UnmarshalText accepts the known markets only.
func (m *Market) UnmarshalText(text []byte) error {
	return parseOneOf(text, m, MarketReclaimable, MarketOnDemand)
}

// Class states whether a caller waits for the answer.
type Class string

// The classes of requests.
const (
	ClassAwaited    Class = "awaited"
	ClassDeferrable Class = "deferrable"
)

// UnmarshalText accepts the known classes only.
func (c *Class) UnmarshalText(text []byte) error {
	return parseOneOf(text, c, ClassAwaited, ClassDeferrable)
}

// Fencing states whether the backend servers of a service check the fencing token
// of an order.
type Fencing string

// The ways in which backend servers treat fencing tokens.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// UnmarshalText accepts the known values only.
func (f *Fencing) UnmarshalText(text []byte) error {
	return parseOneOf(text, f, FencingChecked, FencingIgnored)
}

// KeyDigest is the SHA-256 digest of a bearer key, in hexadecimal. Deployment files
// never contain the keys themselves.
type KeyDigest string

// UnmarshalText accepts 64 hexadecimal digits.
func (k *KeyDigest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != 32 {
		return fmt.Errorf("want the SHA-256 digest of a key, as 64 hexadecimal digits")
	}
	*k = KeyDigest(hex.EncodeToString(raw))
	return nil
}

// Deployment is the configuration that operators apply as a whole.
type Deployment struct {
	Zones      []Zone      `yaml:"zones" json:"zones"`
	VMClasses  []VMClass   `yaml:"vm_classes" json:"vm_classes"`
	Services   []Service   `yaml:"services" json:"services"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	Routes     []Route     `yaml:"routes" json:"routes"`
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   string `yaml:"name,required" json:"name"`
	Region string `yaml:"region,required" json:"region"`
}

// VMClass is a class of VM with its prices.
type VMClass struct {
	Name         string  `yaml:"name,required" json:"name"`
	Accelerators int     `yaml:"accelerators" json:"accelerators"`
	Prices       []Price `yaml:"prices,required" json:"prices"`
}

// Price is the hourly price of a VM class in one availability zone and market.
type Price struct {
	Zone    string  `yaml:"zone,required" json:"zone"`
	Market  Market  `yaml:"market,required" json:"market"`
	PerHour float64 `yaml:"per_hour,required" json:"per_hour"`
}

// Service is a model or a plain service with its desired runners.
type Service struct {
	Name    string       `yaml:"name,required" json:"name"`
	Kind    ServiceKind  `yaml:"kind,required" json:"kind"`
	Model   *Model       `yaml:"model" json:"model,omitempty"`
	Runners []RunnerPool `yaml:"runners,required" json:"runners"`
	Fencing Fencing      `yaml:"fencing" json:"fencing"`
}

// Model describes the model that the engines of a service run and its performance.
type Model struct {
	Name     string   `yaml:"name,required" json:"name"`
	Version  string   `yaml:"version,required" json:"version"`
	Adapters []string `yaml:"adapters" json:"adapters,omitempty"`
	// PrefillRate is the rate of one runner in prompt tokens per second.
	PrefillRate float64 `yaml:"prefill_rate" json:"prefill_rate"`
	// DecodeInterval is the time between two tokens of one stream on an idle
	// runner.
	DecodeInterval Duration `yaml:"decode_interval" json:"decode_interval"`
	// MaxBatch is the number of requests that a runner decodes concurrently.
	MaxBatch int `yaml:"max_batch" json:"max_batch"`
	// MaxTokens caps the tokens generated for one request.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens"`
}

// RunnerPool is a number of identical runners in one availability zone.
type RunnerPool struct {
	Zone   string `yaml:"zone,required" json:"zone"`
	Class  string `yaml:"class,required" json:"class"`
	Market Market `yaml:"market,required" json:"market"`
	Count  int    `yaml:"count,required" json:"count"`
}

// Workspace is a customer with its keys, weight and limits.
type Workspace struct {
	Name      string      `yaml:"name,required" json:"name"`
	KeySHA256 []KeyDigest `yaml:"key_sha256,required" json:"key_sha256"`
	Weight    int         `yaml:"weight" json:"weight"`
	Limits    Limits      `yaml:"limits" json:"limits"`
	Services  []string    `yaml:"services,required" json:"services"`
	// HomeZone is the availability zone in which the idempotency keys of the
	// workspace are stored.
	HomeZone string `yaml:"home_zone" json:"home_zone,omitempty"`
}

// Limits bounds one workspace across the whole deployment. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	InFlight          int     `yaml:"in_flight" json:"in_flight"`
}

// Route defines how calls under one path prefix of a service are handled.
type Route struct {
	Service string `yaml:"service,required" json:"service"`
	// Path is a path prefix relative to the service. It is empty for models.
	Path       string   `yaml:"path" json:"path"`
	Methods    []string `yaml:"methods" json:"methods,omitempty"`
	Idempotent bool     `yaml:"idempotent,required" json:"idempotent"`
	Class      Class    `yaml:"class,required" json:"class"`
	Targets    Targets  `yaml:"targets" json:"targets"`
}

// Targets holds the latency targets of a route.
type Targets struct {
	FirstToken    Duration `yaml:"first_token" json:"first_token"`
	BetweenTokens Duration `yaml:"between_tokens" json:"between_tokens"`
	// Answer is the time to the complete answer of a plain service.
	Answer Duration `yaml:"answer" json:"answer"`
	// QueueWait is the longest predicted wait at which a request is still
	// accepted.
	QueueWait Duration `yaml:"queue_wait" json:"queue_wait"`
	// Objective is the fraction of requests that has to meet the targets.
	Objective float64 `yaml:"objective" json:"objective"`
}
