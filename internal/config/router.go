package config

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/finding"
	"github.com/plankridge/plankridge/internal/inbound"
	"github.com/plankridge/plankridge/internal/strictyaml"
)

// RouterSettings are the settings of a daemon that serves on the users'
// platform.
type RouterSettings struct {
	// Kind distinguishes these settings from those of other daemons.
	Kind   SettingsKind  `yaml:"kind,required"`
	VM     RouterVM      `yaml:"vm,required"`
	Listen RouterListen  `yaml:"listen,required"`
	Peers  RouterPeers   `yaml:"peers"`
	Store  RouterAddress `yaml:"store,required"`
	// Cloud is empty if the daemon neither orders servers nor reports usage.
	Cloud  RouterAddress `yaml:"cloud"`
	Bounds RouterBounds  `yaml:"bounds,required"`
}

// SettingsKind is the kind of a settings file.
type SettingsKind string

// RouterKind marks the settings of a daemon on the users' platform.
const RouterKind SettingsKind = "router"

// UnmarshalText accepts the known kinds only.
func (k *SettingsKind) UnmarshalText(text []byte) error { return parseOneOf(text, k, RouterKind) }

// RouterVM identifies the daemon's VM and its location.
type RouterVM struct {
	ID     string `yaml:"id,required"`
	Zone   string `yaml:"zone,required"`
	Region string `yaml:"region"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s, and CPUShare the share of a core that it
	// has. If either is unset, it is not known how much the daemon can relay for others.
	LinkMbps float64 `yaml:"link_mbps"`
	CPUShare float64 `yaml:"cpu_share"`
	// MemoryMB is the memory in units of 1e6 bytes beyond which the process is killed, and MaxDescriptors the
	// number of descriptors that it may open. If either is unset, the defaults of package inbound apply.
	MemoryMB       float64 `yaml:"memory_mb"`
	MaxDescriptors int     `yaml:"max_descriptors"`
}

// relayMbpsPerCore is how much a core can relay: a leader of 100 daemons used 0.3 of a core for 60 Mbit/s.
const relayMbpsPerCore = 200

// RelayCapacity returns how many Mbit/s the daemon can relay, at least one, or zero if that is not known.
func (v RouterVM) RelayCapacity() uint32 {
	if v.LinkMbps <= 0 || v.CPUShare <= 0 {
		return 0
	}
	return uint32(max(1, min(v.LinkMbps, v.CPUShare*relayMbpsPerCore, math.MaxUint16)))
}

// Resources returns what the VM gives the process.
func (v RouterVM) Resources() inbound.Resources {
	return inbound.Resources{MemoryBytes: int64(v.MemoryMB * bytesPerMB), Descriptors: v.MaxDescriptors}
}

// bytesPerMB is the unit of memory in the settings.
const bytesPerMB = 1e6

// RouterListen holds the addresses that the daemon listens on, as IP:port.
type RouterListen struct {
	Callers   string `yaml:"callers,required"`
	Readiness string `yaml:"readiness,required"`
	// Peers is used both for calls (TCP) and for datagrams (UDP).
	Peers   string `yaml:"peers,required"`
	Metrics string `yaml:"metrics"`
}

// RouterPeers holds the settings for joining the other daemons. The daemons at the
// seed addresses may be down or gone.
type RouterPeers struct {
	Seeds []string `yaml:"seeds"`
	// Bootstrap is set when all daemons start for the first time, so that the store holds
	// no entry of any of them yet.
	Bootstrap bool `yaml:"bootstrap"`
}

// RouterAddress is an endpoint of the platform, as IP:port.
type RouterAddress struct {
	Address string `yaml:"address"`
}

// RouterBounds holds the time limits and shares that the platform's operator sets.
type RouterBounds struct {
	// DrainTimeout is the time from the stop request until the process is killed.
	DrainTimeout Duration `yaml:"drain,required"`
	Lease        Duration `yaml:"lease,required"`
	// RetryRatio and RetryExtra bound the attempts beyond the first in any
	// RetryWindow: RetryRatio for each request plus RetryExtra.
	RetryRatio  float64  `yaml:"retry_ratio"`
	RetryWindow Duration `yaml:"retry_window"`
	RetryExtra  float64  `yaml:"retry_extra"`
	// UsageWindow is the length of the windows for which usage is reported. UsageDue
	// is the time after the end of a window by which its report is due.
	UsageWindow Duration `yaml:"usage_window"`
	UsageDue    Duration `yaml:"usage_due"`
	// QuotaOverShare and QuotaSlackTokens bound how far a workspace may exceed its
	// allowance in any QuotaWindow: by a share of the allowance plus a number of tokens.
	QuotaWindow      Duration `yaml:"quota_window"`
	QuotaOverShare   float64  `yaml:"quota_over"`
	QuotaSlackTokens float64  `yaml:"quota_slack"`
	// DrainBound is how long requests may still be sent to a leaving backend server, from
	// when the store has recorded that it leaves. If unset, DefaultDrainBound applies.
	DrainBound Duration `yaml:"leaving"`
	// RollOutShare and RollOutSlack bound the requests sent to a bad version during its
	// roll-out: a share of all requests plus a fixed number. RollOutStop is the time after the
	// 50th bad answer of a version by which it gets its last request. If they are unset, the
	// versions of servers are ignored.
	RollOutShare float64  `yaml:"rollout_share"`
	RollOutSlack int      `yaml:"rollout_slack"`
	RollOutStop  Duration `yaml:"rollout_stop"`
}

// DefaultDrainBound applies if the settings have no DrainBound. It is the shortest
// time for which draining a server is useful.
const DefaultDrainBound = 2 * time.Second

// EffectiveDrainBound returns DrainBound, or DefaultDrainBound if it is unset.
func (b RouterBounds) EffectiveDrainBound() time.Duration {
	if b.DrainBound <= 0 {
		return DefaultDrainBound
	}
	return b.DrainBound.Std()
}

// LoadRouterSettings reads a router's settings from a file.
func LoadRouterSettings(path string) (RouterSettings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return RouterSettings{}, eris.Wrap(err, "read settings")
	}
	return ParseRouterSettings(path, raw)
}

// ParseRouterSettings decodes and validates a router's settings. The name is used
// as the file name in findings.
func ParseRouterSettings(name string, raw []byte) (RouterSettings, error) {
	var settings RouterSettings
	var findings finding.List
	source := strictyaml.Decode(name, raw, &settings, &findings)
	durations := map[string]Duration{
		"bounds.drain": settings.Bounds.DrainTimeout,
		"bounds.lease": settings.Bounds.Lease,

		"bounds.retry_window": settings.Bounds.RetryWindow,
	}
	if settings.Cloud.Address != "" {
		durations["bounds.usage_window"] = settings.Bounds.UsageWindow
		durations["bounds.usage_due"] = settings.Bounds.UsageDue
	}
	for path, d := range durations {
		if d <= 0 {
			findings.Addf(source.Place(path), "%s: must be greater than zero", path)
		}
	}
	if settings.Bounds.DrainBound < 0 {
		findings.Addf(source.Place("bounds.leaving"), "bounds.leaving: must not be negative")
	}
	settings.checkAddresses(source, &findings)
	if settings.VM.LinkMbps < 0 || settings.VM.CPUShare < 0 {
		findings.Addf(source.Place("vm"), "vm.link_mbps and vm.cpu_share: must not be negative")
	}
	if settings.VM.MemoryMB < 0 || settings.VM.MaxDescriptors < 0 {
		findings.Addf(source.Place("vm"), "vm.memory_mb and vm.max_descriptors: must not be negative")
	}
	if settings.Bounds.RetryRatio < 0 || settings.Bounds.RetryExtra < 0 {
		findings.Addf(source.Place("bounds.retry_ratio"), "bounds.retry_ratio and bounds.retry_extra: must not be negative")
	}
	if share := settings.Bounds.RollOutShare; share < 0 || share > 1 || settings.Bounds.RollOutSlack < 0 {
		findings.Addf(source.Place("bounds.rollout_share"), "bounds.rollout_share must lie between 0 and 1, and bounds.rollout_slack must not be negative")
	}
	if settings.Bounds.RollOutShare > 0 && settings.Bounds.RollOutStop <= 0 {
		findings.Addf(source.Place("bounds.rollout_stop"), "bounds.rollout_stop: must be greater than zero if bounds.rollout_share is set")
	}
	return settings, findings.Err()
}

// checkAddresses reports addresses that are not of the form IP:port.
func (s *RouterSettings) checkAddresses(source *strictyaml.Source, findings *finding.List) {
	addresses := map[string]string{
		"listen.callers": s.Listen.Callers, "listen.readiness": s.Listen.Readiness, "listen.peers": s.Listen.Peers,
		"listen.metrics": s.Listen.Metrics, "store.address": s.Store.Address, "cloud.address": s.Cloud.Address,
	}
	for i, seed := range s.Peers.Seeds {
		addresses[fmt.Sprintf("peers.seeds[%d]", i)] = seed
	}
	for path, address := range addresses {
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			findings.Addf(source.Place(path), "%s: %q is not of the form IP:port", path, address)
		}
	}
}

// CheckSettingsFile validates a settings file of any kind.
func CheckSettingsFile(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	if IsRouterSettings(raw) {
		_, err = ParseRouterSettings(path, raw)
		return err
	}
	_, err = ParseSettings(path, raw)
	return err
}

// IsRouterSettings reports whether a file holds a router's settings. It decodes
// only the top-level kind field and ignores all findings.
func IsRouterSettings(raw []byte) bool {
	var head struct {
		Kind string `yaml:"kind"`
	}
	var findings finding.List
	strictyaml.Decode("", raw, &head, &findings)
	return head.Kind == string(RouterKind)
}

// Equal reports whether two settings are equal.
func (s RouterSettings) Equal(other RouterSettings) bool { return reflect.DeepEqual(s, other) }
