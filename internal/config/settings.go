package config

import (
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/finding"
	"github.com/plankridge/plankridge/internal/inbound"
	"github.com/plankridge/plankridge/internal/strictyaml"
)

// Settings are the settings of one daemon.
type Settings struct {
	Daemon    DaemonIdentity   `yaml:"daemon,required"`
	Listen    Listen           `yaml:"listen,required"`
	Platform  PlatformSettings `yaml:"platform,required"`
	Peers     PeerSettings     `yaml:"peers"`
	Operators OperatorSettings `yaml:"operators"`
	Limits    RequestLimits    `yaml:"limits"`
	Drain     Drain            `yaml:"drain"`
}

// DaemonIdentity identifies the daemon and its zone.
type DaemonIdentity struct {
	// ID is the ID of the daemon's VM in the VM list.
	ID   string `yaml:"id,required"`
	Zone string `yaml:"zone,required"`
}

// Listen holds the addresses that the daemon listens on, as IP:port.
type Listen struct {
	Callers   string `yaml:"callers,required"`
	Peers     string `yaml:"peers,required"`
	Operators string `yaml:"operators,required"`
}

// PlatformSettings holds the platform's endpoints and the token for them.
type PlatformSettings struct {
	Objects string `yaml:"objects,required"`
	VMs     string `yaml:"vms,required"`
	Cloud   string `yaml:"cloud,required"`
	Token   Secret `yaml:"token"`
}

// PeerSettings configures the security of traffic between daemons. Either TLS is set
// or Plaintext is true.
type PeerSettings struct {
	Plaintext bool     `yaml:"plaintext"`
	TLS       *PeerTLS `yaml:"tls"`
}

// PeerTLS holds the file names for mutual TLS between daemons. The files are
// reloaded when they change.
type PeerTLS struct {
	CertFile string `yaml:"cert_file,required"`
	KeyFile  string `yaml:"key_file,required"`
	CAFile   string `yaml:"ca_file,required"`
}

// OperatorSettings holds the bearer token of the operator API.
type OperatorSettings struct {
	Token Secret `yaml:"token"`
}

// Secret refers to a secret in a file or in an environment variable.
type Secret struct {
	File string `yaml:"file"`
	Env  string `yaml:"env"`
}

// Read returns the secret, or the empty string if neither source is set.
func (s Secret) Read() (string, error) {
	if s.Env != "" {
		value := os.Getenv(s.Env)
		if value == "" {
			return "", eris.Errorf("environment variable %s is not set", s.Env)
		}
		return value, nil
	}
	if s.File == "" {
		return "", nil
	}
	raw, err := os.ReadFile(s.File)
	if err != nil {
		return "", eris.Wrap(err, "read secret")
	}
	return strings.TrimSpace(string(raw)), nil
}

// RequestLimits bounds the memory and time of requests.
type RequestLimits struct {
	// MemoryMB is the memory in units of 1e6 bytes beyond which the process is killed, and MaxDescriptors the
	// number of descriptors that it may open. If either is unset, the defaults of package inbound apply.
	MemoryMB       float64 `yaml:"memory_mb"`
	MaxDescriptors int     `yaml:"max_descriptors"`

	BodyBytes    int      `yaml:"body_bytes"`
	HeaderBytes  int      `yaml:"header_bytes"`
	AnswerBytes  int      `yaml:"answer_bytes"`
	ReadTimeout  Duration `yaml:"read_timeout"`
	WriteTimeout Duration `yaml:"write_timeout"`
	// HeldAnswerBytes bounds the memory of finished answers that are kept to be
	// read later.
	HeldAnswerBytes int `yaml:"held_bytes"`
	// RequestCopyBytes bounds the memory of request copies kept for other daemons.
	RequestCopyBytes int `yaml:"copy_bytes"`
	// AnswerRetention is how long a finished answer can be read again.
	AnswerRetention Duration `yaml:"answer_kept"`
	// ResumeGrace is how long an idempotent request continues after its last reader
	// has disconnected.
	ResumeGrace Duration `yaml:"resume_grace"`
	// MaxRequestTime is the longest time from acceptance to the end of a request.
	MaxRequestTime Duration `yaml:"max_work"`
	// AttemptIdleTimeout is the longest time without output from an engine within
	// one attempt.
	AttemptIdleTimeout Duration `yaml:"try_timeout"`
	// PlainAttemptTimeout is the longest duration of one attempt at a plain service.
	PlainAttemptTimeout Duration `yaml:"plain_try_limit"`
	// RetryRatio and ExtraRetries are how often the requests of a service may be retried by all daemons
	// together in each RetryWindow: RetryRatio for each request, and ExtraRetries more.
	RetryRatio   float64  `yaml:"retry_ratio"`
	ExtraRetries float64  `yaml:"extra_retries"`
	RetryWindow  Duration `yaml:"retry_window"`
}

// Resources returns what the VM gives the process.
func (l RequestLimits) Resources() inbound.Resources {
	return inbound.Resources{MemoryBytes: int64(l.MemoryMB * bytesPerMB), Descriptors: l.MaxDescriptors}
}

// maxKeptShare is the part of the memory that kept answers, and copies for other daemons, may each take.
const maxKeptShare = 0.125

// BoundByMemory returns the limits with those on kept answers and copies lowered to what the memory allows.
func (l RequestLimits) BoundByMemory() RequestLimits {
	bound := int(maxKeptShare * float64(l.Resources().WithDefaults().MemoryBytes))
	l.HeldAnswerBytes = min(l.HeldAnswerBytes, bound)
	l.RequestCopyBytes = min(l.RequestCopyBytes, bound)
	return l
}

// CallerLimits returns the limits on requests of callers and operators.
func (l RequestLimits) CallerLimits() catalog.CallerLimits {
	return catalog.CallerLimits{
		HeaderBytes: l.HeaderBytes, BodyBytes: int64(l.BodyBytes), HeaderTimeout: l.ReadTimeout.Std(), IdleTimeout: max(l.ReadTimeout.Std(), l.WriteTimeout.Std()),
	}
}

// Drain configures how a daemon shuts down.
type Drain struct {
	// Delay is how long the daemon still accepts requests after it reports itself
	// as not ready.
	Delay Duration `yaml:"delay"`
}

// LoadSettings reads a daemon's settings from a file.
func LoadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return ParseSettings(path, raw)
}

// ParseSettings decodes and validates a daemon's settings. The name is used as the
// file name in findings.
func ParseSettings(name string, raw []byte) (Settings, error) {
	settings := DefaultSettings()
	var findings finding.List
	source := strictyaml.Decode(name, raw, &settings, &findings)
	settings.check(source, &findings)
	return settings, findings.Err()
}

func (s *Settings) check(source *strictyaml.Source, findings *finding.List) {
	if s.Peers.Plaintext && s.Peers.TLS != nil {
		findings.Addf(source.Place("peers.plaintext"), "peers: plaintext and tls contradict each other")
	}
	if !s.Peers.Plaintext && s.Peers.TLS == nil {
		findings.Addf(source.Place("peers"), "peers: set tls, or plaintext: true to do without it")
	}
	secrets := []struct {
		path   string
		secret Secret
	}{{"platform.token", s.Platform.Token}, {"operators.token", s.Operators.Token}}
	for _, item := range secrets {
		if item.secret.File != "" && item.secret.Env != "" {
			findings.Addf(source.Place(item.path), "%s: file and env contradict each other", item.path)
		}
	}
	sizes := map[string]int{
		"limits.body_bytes":   s.Limits.BodyBytes,
		"limits.header_bytes": s.Limits.HeaderBytes,
		"limits.answer_bytes": s.Limits.AnswerBytes,
		"limits.held_bytes":   s.Limits.HeldAnswerBytes,
		"limits.copy_bytes":   s.Limits.RequestCopyBytes,
	}
	for path, size := range sizes {
		if size <= 0 {
			findings.Addf(source.Place(path), "%s: must be greater than zero", path)
		}
	}
	if s.Limits.MemoryMB < 0 || s.Limits.MaxDescriptors < 0 {
		findings.Addf(source.Place("limits"), "limits.memory_mb and limits.max_descriptors: must not be negative")
	}
	s.Limits.checkRetries(source, findings)
}

// minRetryWindow and maxRetryWindow bound the window of the retry budget.
const (
	minRetryWindow = time.Second
	maxRetryWindow = 10 * time.Minute
)

func (l *RequestLimits) checkRetries(source *strictyaml.Source, findings *finding.List) {
	for path, number := range map[string]float64{"limits.retry_ratio": l.RetryRatio, "limits.extra_retries": l.ExtraRetries} {
		if number < 0 {
			findings.Addf(source.Place(path), "%s: must not be negative", path)
		}
	}
	if window := l.RetryWindow.Std(); window < minRetryWindow || window > maxRetryWindow {
		findings.Addf(source.Place("limits.retry_window"), "limits.retry_window: must be between %s and %s", minRetryWindow, maxRetryWindow)
	}
}
