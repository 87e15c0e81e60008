// Package experiment plays a described day over the product's own decisions and
// over baselines, with a model of engines, in virtual time. The same day and
// seed always give the same result.
//
// The constants of the model come from the day's file; those of the users'
// sheets stand in examples/experiments.
package experiment

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/finding"
	"github.com/plankridge/plankridge/internal/strictyaml"
)

// Day describes a deployment and what happens to it. Times count from the moment
// at which callers come.
type Day struct {
	Length config.Duration `yaml:"length,required"`
	// Lead is how long the deployment runs before callers come.
	Lead config.Duration `yaml:"lead"`
	// Daemons is the number of daemons in each zone.
	Daemons int `yaml:"daemons,required"`
	// Gossip is the time between two reports of a daemon to the others.
	Gossip   config.Duration `yaml:"gossip,required"`
	Zones    []Zone          `yaml:"zones,required"`
	Engine   Engine          `yaml:"engine,required"`
	Requests []Kind          `yaml:"requests,required"`
	Traffic  Traffic         `yaml:"traffic"`
	Bursts   []Burst         `yaml:"bursts"`
	Reclaims []Reclaim       `yaml:"reclaims"`
	Deaths   []Death         `yaml:"deaths"`
	Cuts     []Cut           `yaml:"cuts"`
	Prices   Prices          `yaml:"prices"`
}

// Zone is an availability zone with the price of a server on demand there.
type Zone struct {
	Name  string  `yaml:"name,required"`
	Price float64 `yaml:"price,required"`
}

// Engine describes the model engines.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int `yaml:"slots,required"`
	// MemoryTokens holds running requests and cached parts of prompts.
	MemoryTokens int `yaml:"memory_tokens,required"`
	// First is the time from a request's arrival to its first step.
	First config.Duration `yaml:"first"`
	// Step is the time of one step, in which each running request generates a
	// token; StepEach is added for each of them.
	Step     config.Duration `yaml:"step,required"`
	StepEach config.Duration `yaml:"step_each"`
	// PrefillRate is in prompt tokens per second, Chunk the most that one step
	// reads.
	PrefillRate float64 `yaml:"prefill_rate,required"`
	// Pairs is the time for a million pairs of tokens: each token that is read looks at
	// all before it.
	Pairs config.Duration `yaml:"pairs"`
	Chunk int             `yaml:"chunk,required"`
	// EventTokens is the number of tokens in an event.
	EventTokens int `yaml:"event_tokens,required"`
	// CopyRate is in tokens per second that an engine copies from another one;
	// zero means that it cannot.
	CopyRate float64         `yaml:"copy_rate"`
	Boot     config.Duration `yaml:"boot,required"`
	// SpotPrice is the price of a reclaimable server as a share of one on demand.
	SpotPrice float64 `yaml:"spot_price"`
	// Min and Max bound the servers of a zone; Initial are there at the start.
	Min     int `yaml:"min"`
	Max     int `yaml:"max,required"`
	Initial int `yaml:"initial,required"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `yaml:"name,required"`
	// Rate is in requests per second over the whole deployment.
	Rate   float64         `yaml:"rate,required"`
	Target config.Duration `yaml:"target,required"`
	// Gap is the longest pause between events that is on time.
	Gap config.Duration `yaml:"gap,required"`
	// Limit is how long the caller waits.
	Limit config.Duration `yaml:"limit,required"`
	// Worth is what an answer on time earns, Late what a later one does.
	Worth  float64  `yaml:"worth,required"`
	Late   float64  `yaml:"late"`
	Shared []Shared `yaml:"shared"`
	// OwnTokens is the median size of a prompt's last part, OwnSpread the standard
	// deviation of its logarithm.
	OwnTokens float64 `yaml:"own_tokens,required"`
	OwnSpread float64 `yaml:"own_spread"`
	// Events is the mean number of events of an answer.
	Events float64 `yaml:"events,required"`
	Rank   int     `yaml:"rank"`
}

// Shared is a part that several prompts share: one of Count parts of that size.
type Shared struct {
	Tokens int `yaml:"tokens,required"`
	Count  int `yaml:"count,required"`
}

// Traffic is the shape of the load: a wave around the mean rate.
type Traffic struct {
	Swing  float64         `yaml:"swing"`
	Period config.Duration `yaml:"period"`
}

// Burst multiplies the rate for a while.
type Burst struct {
	At     config.Duration `yaml:"at,required"`
	For    config.Duration `yaml:"for,required"`
	Factor float64         `yaml:"factor,required"`
}

// Reclaim takes away all reclaimable servers of a zone on short notice; none are
// to be had there for a while.
type Reclaim struct {
	At     config.Duration `yaml:"at,required"`
	Zone   string          `yaml:"zone,required"`
	Notice config.Duration `yaml:"notice,required"`
	Dry    config.Duration `yaml:"dry"`
}

// Death ends all daemons at once, with what they have in flight. They start again
// after Down and know what the last ones had learned of the engines.
type Death struct {
	At   config.Duration `yaml:"at,required"`
	Down config.Duration `yaml:"down,required"`
}

// Cut parts a zone from all others for a while. What is sent across fails.
type Cut struct {
	At   config.Duration `yaml:"at,required"`
	For  config.Duration `yaml:"for,required"`
	Zone string          `yaml:"zone,required"`
}

// Prices are what is taken off what answers earn.
type Prices struct {
	// ServerSecond is the price of a second of a server at zone price one.
	ServerSecond float64 `yaml:"server_second"`
	// ReadAgain is the price of a thousand tokens of shared parts that some
	// server had read within Again.
	ReadAgain float64         `yaml:"read_again"`
	Again     config.Duration `yaml:"again"`
	// Copied is the price of a thousand tokens copied between engines.
	Copied float64 `yaml:"copied"`
}

// Load reads a day from a YAML file and reports every mistake with its place.
func Load(path string) (*Day, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read day")
	}
	return Parse(path, raw)
}

// Parse decodes a day. The name stands in the places of findings.
func Parse(name string, raw []byte) (*Day, error) {
	day := &Day{}
	var found finding.List
	source := strictyaml.Decode(name, raw, day, &found)
	day.check(source, &found)
	return day, found.Err()
}

// mostLength bounds a day, so that a mistyped length does not play for hours.
const mostLength = 24 * time.Hour

func (d *Day) check(source *strictyaml.Source, found *finding.List) {
	positive := map[string]float64{
		"daemons":              float64(d.Daemons),
		"gossip":               d.Gossip.Std().Seconds(),
		"length":               d.Length.Std().Seconds(),
		"engine.slots":         float64(d.Engine.Slots),
		"engine.memory_tokens": float64(d.Engine.MemoryTokens),
		"engine.step":          d.Engine.Step.Std().Seconds(),
		"engine.prefill_rate":  d.Engine.PrefillRate,
		"engine.chunk":         float64(d.Engine.Chunk),
		"engine.event_tokens":  float64(d.Engine.EventTokens),
		"engine.max":           float64(d.Engine.Max),
	}
	for path, value := range positive {
		if value <= 0 {
			found.Addf(source.Place(path), "%s: must be greater than zero", path)
		}
	}
	if d.Length.Std() > mostLength {
		found.Addf(source.Place("length"), "length: must be at most %s", mostLength)
	}
	if len(d.Zones) == 0 || len(d.Requests) == 0 {
		found.Addf(source.Place(""), "a day needs zones and requests")
	}
	for i, r := range d.Reclaims {
		if !d.hasZone(r.Zone) {
			found.Addf(source.Place(pathAt("reclaims", i, "zone")), "there is no zone %q", r.Zone)
		}
	}
	for i, cut := range d.Cuts {
		if !d.hasZone(cut.Zone) {
			found.Addf(source.Place(pathAt("cuts", i, "zone")), "there is no zone %q", cut.Zone)
		}
	}
}

// longestLimit is how long the most patient caller waits.
func (d *Day) longestLimit() time.Duration {
	var longest time.Duration
	for i := range d.Requests {
		longest = max(longest, d.Requests[i].Limit.Std())
	}
	return longest
}

func (d *Day) hasZone(name string) bool {
	for _, z := range d.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}
