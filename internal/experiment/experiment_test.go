package experiment

import (
	"io/fs"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/config"
)

// sample reads one of the days that are shipped.
func sample(c *qt.C, name string) *Day {
	day, err := Load(filepath.Join("..", "..", "examples", "experiments", name))
	c.Assert(err, qt.IsNil)
	return day
}

func policy(c *qt.C, name string) Policy {
	p, err := PolicyNamed(name)
	c.Assert(err, qt.IsNil)
	return p
}

func sizing(c *qt.C, name string) Sizing {
	s, err := SizingNamed(name)
	c.Assert(err, qt.IsNil)
	return s
}

func TestAllSamplesAreValid(t *testing.T) {
	c := qt.New(t)
	root, files := filepath.Join("..", "..", "examples", "experiments"), 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		files++
		_, err = Load(path)
		c.Check(err, qt.IsNil, qt.Commentf("%s", path))
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Check(files >= 15, qt.IsTrue, qt.Commentf("three users' days and a suite of twelve and more: %d", files))
}

func TestSameSeedSameResult(t *testing.T) {
	c := qt.New(t)
	day := sample(c, "ndiaye.yaml")
	day.Length = config.Duration(12 * time.Second)
	first := Play(day, policy(c, "product"), sizing(c, "demand"), 7)
	again := Play(day, policy(c, "product"), sizing(c, "demand"), 7)
	other := Play(day, policy(c, "product"), sizing(c, "demand"), 8)
	c.Check(again.Net(), qt.Equals, first.Net())
	c.Check(again.Read, qt.Equals, first.Read)
	c.Check(other.Read, qt.Not(qt.Equals), first.Read)
}

// TestEveryRequestEndsOnce: whatever is reclaimed, each request is served, refused
// or failed.
func TestEveryRequestEndsOnce(t *testing.T) {
	c := qt.New(t)
	day := sample(c, "amakusa.yaml")
	for _, p := range Policies() {
		r := Play(day, p, sizing(c, "1+1"), 1)
		c.Check(r.OnTime+r.Late+r.Refused+r.Failed, qt.Equals, r.Asked, qt.Commentf("%s", p.Name))
		c.Check(r.Share() > 0 && r.Share() <= 1, qt.IsTrue, qt.Commentf("%s: %v", p.Name, r.Share()))
		c.Check(r.ServerSeconds > 0, qt.IsTrue)
	}
}

func TestProductBeatsBaselines(t *testing.T) {
	c := qt.New(t)
	day := sample(c, "amakusa.yaml")
	net := func(name string) float64 {
		sum := 0.0
		for seed := range uint64(3) {
			sum += Play(day, policy(c, name), sizing(c, "2+1"), seed).Net()
		}
		return sum / 3
	}
	product := net("product")
	for _, p := range Policies()[1:] {
		c.Check(net(p.Name) < product, qt.IsTrue, qt.Commentf("%s", p.Name))
	}
}

func TestReclaimTakesReclaimableServersOnly(t *testing.T) {
	c := qt.New(t)
	day := sample(c, "ndiaye.yaml")
	day.Reclaims = []Reclaim{{At: config.Duration(5 * time.Second), Zone: "hall-nord", Notice: config.Duration(time.Second), Dry: config.Duration(time.Minute)}}
	spot := Play(day, policy(c, "product"), sizing(c, "0+2"), 1)
	fixed := Play(day, policy(c, "product"), sizing(c, "2+0"), 1)
	day.Reclaims = nil
	c.Check(spot.ServerSeconds < Play(day, policy(c, "product"), sizing(c, "0+2"), 1).ServerSeconds, qt.IsTrue)
	c.Check(fixed.ServerSeconds, qt.Equals, Play(day, policy(c, "product"), sizing(c, "2+0"), 1).ServerSeconds)
}

func TestMistakesInADayAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("day.yaml", []byte(`length: 0s
daemons: 2
gossip: 400ms
colour: red
zones:
  - {name: a, price: 1}
engine: {slots: 1, memory_tokens: 1, step: 6ms, prefill_rate: 1, chunk: 1, event_tokens: 1, boot: 1s, max: 1, initial: 1}
requests:
  - {name: r, rate: 1, target: 1s, gap: 1s, limit: 1s, worth: 1, own_tokens: 1, events: 1}
reclaims:
  - {at: 1s, zone: b, notice: 1s}
`))
	c.Assert(err, qt.ErrorMatches, `(?s).*day.yaml:1:.*length: must be greater than zero.*`)
	c.Check(err, qt.ErrorMatches, `(?s).*day.yaml:4:1: .*colour.*`)
	c.Check(err, qt.ErrorMatches, `(?s).*there is no zone "b".*`)
}

func TestUnknownNamesAreRefused(t *testing.T) {
	c := qt.New(t)
	_, err := PolicyNamed("best")
	c.Check(err, qt.ErrorMatches, `"best" is not one of product, random, .*`)
	for _, name := range []string{"", "2", "a+b", "-1+2", "2+"} {
		_, err := SizingNamed(name)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}
