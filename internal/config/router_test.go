package config

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/inbound"
)

// renderedSettings is deploy/settings.yaml.tmpl as rendered by the platform.
const renderedSettings = `kind: router
vm:
  id: front-hall-nord-1
  zone: hall-nord
  region: thies
listen:
  callers: "10.1.0.14:8221"
  readiness: "10.1.0.14:8224"
  peers: "10.1.0.14:8229"
  metrics: "10.1.0.14:9464"
peers:
  seeds: ["10.1.0.14:8229","10.2.0.4:8229"]
store:
  address: "10.200.1.7:8225"
cloud:
  address: "10.200.0.35:8225"
bounds:
  drain: 8s
  lease: 3000ms
  retry_ratio: 0.2
  retry_window: 10s
  retry_extra: 52
  usage_window: 5s
  usage_due: 10s
  quota_window: 8s
  quota_over: 0.1
  quota_slack: 72000
`

func TestRouterSettings(t *testing.T) {
	c := qt.New(t)
	c.Assert(IsRouterSettings([]byte(renderedSettings)), qt.IsTrue)
	got, err := ParseRouterSettings("s.yaml", []byte(renderedSettings))
	c.Assert(err, qt.IsNil)
	c.Check(got.VM.ID, qt.Equals, "front-hall-nord-1")
	c.Check(got.Bounds.Lease.Std(), qt.Equals, 3*time.Second)
	c.Check(got.Bounds.RetryExtra, qt.Equals, 52.0)
	c.Check(got.Peers.Seeds, qt.HasLen, 2)
	other, err := ParseRouterSettings("s.yaml", []byte(renderedSettings))
	c.Assert(err, qt.IsNil)
	c.Check(got.Equal(other), qt.IsTrue)
}

func TestRouterSettingsFindings(t *testing.T) {
	c := qt.New(t)
	bad := strings.NewReplacer(
		"  zone: hall-nord\n", "",
		`"10.1.0.14:8224"`, `"somewhere"`,
		"drain: 8s", "drain: 0s",
		"retry_ratio: 0.2", "retry_ratio: -1",
		"retry_window: 10s", "retry_window: 0s",
		"  usage_window: 5s\n", "  usage_windw: 5s\n",
	).Replace(renderedSettings)
	_, err := ParseRouterSettings("s.yaml", []byte(bad))
	c.Assert(err, qt.IsNotNil)
	for _, want := range []string{"zone", "s.yaml:7:", "bounds.drain", "retry_ratio", "bounds.retry_window", "usage_windw", "bounds.usage_window"} {
		c.Check(err.Error(), qt.Contains, want)
	}
}

func TestSettingsOfOtherDaemons(t *testing.T) {
	c := qt.New(t)
	c.Check(IsRouterSettings([]byte("daemon:\n  id: x\n")), qt.IsFalse)
	c.Check(IsRouterSettings([]byte("{")), qt.IsFalse)
}

func TestResourcesOfTheVM(t *testing.T) {
	c := qt.New(t)
	with := func(lines string) (RouterSettings, error) {
		return ParseRouterSettings("node.yaml", []byte(strings.Replace(renderedSettings, "  region: thies\n", "  region: thies\n"+lines, 1)))
	}
	got, err := with("  memory_mb: 284\n  max_descriptors: 4100\n")
	c.Assert(err, qt.IsNil)
	c.Check(got.VM.Resources(), qt.Equals, inbound.Resources{MemoryBytes: 284_000_000, Descriptors: 4100})
	got, err = with("")
	c.Assert(err, qt.IsNil)
	c.Check(got.VM.Resources().WithDefaults(), qt.Equals, inbound.Resources{MemoryBytes: inbound.DefaultMemoryBytes, Descriptors: inbound.DefaultDescriptors})
	_, err = with("  memory_mb: -1\n")
	c.Check(err, qt.ErrorMatches, `(?s).*vm.memory_mb and vm.max_descriptors: must not be negative.*`)
}

// TestRelayCapacity checks that a VM relays as much as the smaller of its link and its processor allows, and that
// nothing is assumed if either is not set.
func TestRelayCapacity(t *testing.T) {
	c := qt.New(t)
	c.Check(RouterVM{LinkMbps: 10, CPUShare: 0.2}.RelayCapacity(), qt.Equals, uint32(10))
	c.Check(RouterVM{LinkMbps: 1000, CPUShare: 0.4}.RelayCapacity(), qt.Equals, uint32(80))
	c.Check(RouterVM{LinkMbps: 0.5, CPUShare: 0.4}.RelayCapacity(), qt.Equals, uint32(1))
	c.Check(RouterVM{LinkMbps: 10}.RelayCapacity(), qt.Equals, uint32(0))
}
