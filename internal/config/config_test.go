package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/plankridge/plankridge/internal/finding"
	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

// findingLines loads an invalid text and returns its findings as lines.
func findingLines(c *qt.C, text string) []string {
	_, err := Load([]File{{Name: "a.yaml", Content: []byte(text)}})
	c.Assert(err, qt.IsNotNil)
	var lines []string
	for _, f := range err.(*finding.Error).Findings {
		lines = append(lines, f.String())
	}
	return lines
}

func TestFiveMistakesAreFoundInOnePass(t *testing.T) {
	c := qt.New(t)
	raw, err := os.ReadFile("../../testdata/five-mistakes.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(findingLines(c, string(raw)), qt.DeepEquals, []string{
		`a.yaml:8:5: services[0]: missing field "kind"`,
		`a.yaml:10:5: services[0]: unknown field "runers" (did you mean "runners"?)`,
		`a.yaml:11:5: services[0]: field "name" is given twice`,
		`a.yaml:14:12: routes[0].class: "urgent" is not one of [awaited deferrable]`,
		`a.yaml:20:16: service "modele-devis" is not defined under services`,
	})
}

func TestContradictionsAreFound(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]string{
		"zones: [{name: a, region: r}, {name: a, region: r}]":                                                                                          `availability zone "a" is defined twice`,
		"services: [{name: m, kind: model, runners: []}]":                                                                                              "has no model",
		"services: [{name: p, kind: plain, runners: [], model: {name: m, version: \"1\"}}]":                                                            "has a model",
		"services: [{name: p, kind: plain, runners: [{zone: z, class: k, market: reclaimable, count: 1}]}]":                                            `availability zone "z" is not defined`,
		"services: [{name: m, kind: model, runners: [], model: {name: m, version: \"1\"}}]\nroutes: [{service: m, idempotent: false, class: awaited}]": "cannot be non-idempotent",
		"routes: [{service: s, idempotent: true, class: awaited, targets: {objective: 1.5}}]":                                                          "objective must lie between 0 and 1",
		"routes: [{service: s, idempotent: true, class: awaited, targets: {answer: soon}}]":                                                            "is not a duration",
		"workspaces: [{name: w, key_sha256: [abc], services: []}]":                                                                                     "64 hexadecimal digits",
		"zones: 3": "want a list",
		"zones: [": "invalid YAML",
		"":         "file is empty",
	} {
		c.Check(strings.Join(findingLines(c, text), "\n"), qt.Contains, want)
	}
}

func TestSamplesAreValid(t *testing.T) {
	c := qt.New(t)
	for sample, runners := range map[string][2]int{"ndiaye": {9, 3}, "amakusa": {9, 3}} {
		files, err := ReadFiles([]string{filepath.Join("../../examples", sample)})
		c.Assert(err, qt.IsNil)
		d, err := Load(files)
		c.Assert(err, qt.IsNil)
		c.Check(d.Workspaces, qt.HasLen, 5)
		c.Check(d.Zones, qt.HasLen, 3)
		for i, service := range d.Services {
			total := 0
			for _, pool := range service.Runners {
				total += pool.Count
			}
			c.Check(total, qt.Equals, runners[i])
		}
		c.Check(Diff(d, d), qt.HasLen, 0)
	}
}

func TestLongestPrefixRouteWins(t *testing.T) {
	c := qt.New(t)
	service := Service{Name: "s", Kind: KindPlain}
	index := NewIndex(&Deployment{Services: []Service{service}, Routes: []Route{
		{Service: "s", Path: "/", Idempotent: true},
		{Service: "s", Path: "/orders", Methods: []string{"POST"}, Idempotent: false},
	}})
	c.Check(index.Route(&service, "POST", "/orders/7").Idempotent, qt.IsFalse)
	c.Check(index.Route(&service, "GET", "/orders/7").Idempotent, qt.IsTrue)
	c.Check(index.Route(&service, "POST", "/ordersheet").Idempotent, qt.IsTrue)
	other := Service{Name: "t", Kind: KindPlain}
	c.Check(index.Route(&other, "POST", "/x").Idempotent, qt.IsFalse)
	c.Check(index.Route(&other, "PUT", "/x").Idempotent, qt.IsTrue)
}

func TestSettings(t *testing.T) {
	c := qt.New(t)
	_, err := ParseSettings("s.yaml", []byte(`
daemon: {id: a, zone: z}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3"}
platform: {objects: u, vms: u, cloud: u, token: {file: f, env: E}}
limits: {body_bytes: 0}
`))
	c.Check(err, qt.ErrorMatches, `(?s)s.yaml:1:1: peers: set tls.*s.yaml:4:42: platform.token: file and env contradict.*s.yaml:5:10: limits.body_bytes: must be.*`)
}

// TestSettingsOfTheRetryBudget guards against budgets that mean nothing.
func TestSettingsOfTheRetryBudget(t *testing.T) {
	c := qt.New(t)
	valid := `
daemon: {id: a, zone: z}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3"}
platform: {objects: u, vms: u, cloud: u}
peers: {plaintext: true}
`
	settings, err := ParseSettings("s.yaml", []byte(valid+"limits: {retry_ratio: 0, extra_retries: 0, retry_window: 1s}\n"))
	c.Assert(err, qt.IsNil)
	c.Check(settings.Limits.ExtraRetries, qt.Equals, 0.0)
	for limits, fault := range map[string]string{
		"retry_ratio: -0.1": "limits.retry_ratio: must not be negative",
		"extra_retries: -1": "limits.extra_retries: must not be negative",
		"retry_ratio: .nan": "limits.retry_ratio: want a number",
		"retry_window: 0s":  "limits.retry_window: must be between 1s and 10m0s",
	} {
		_, err := ParseSettings("s.yaml", []byte(valid+"limits: {"+limits+"}\n"))
		c.Check(err, qt.ErrorMatches, "(?s)s.yaml:6:.*"+fault+".*")
	}
}

// TestEditedSampleNeverPanics loads a sample file with random single-byte edits.
func TestEditedSampleNeverPanics(t *testing.T) {
	sample, err := os.ReadFile("../../examples/ndiaye/services.yaml")
	qt.New(t).Assert(err, qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(string(sample))
		for range rapid.IntRange(1, 6).Draw(t, "edits") {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			text[at] = rapid.SampledFrom([]byte(" \n:-[]{}#&*!|>'\"ax0")).Draw(t, "byte")
		}
		_, _ = Load([]File{{Name: "a.yaml", Content: text}})
	})
}
