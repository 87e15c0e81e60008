package router

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/rollup"
)

func TestServerLimitEncoding(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	limited := advice.LimitRecord{Server: 7, Limit: advice.Limit{Rate: 1.2, Limited: true, ObservedAt: now.Add(-time.Second)}}
	lifted := advice.LimitRecord{Server: 8, Limit: advice.Limit{ObservedAt: now}}
	c.Check(decodeLimits(encodeLimits([]advice.LimitRecord{limited, lifted}, now), now), qt.DeepEquals, []advice.LimitRecord{limited, lifted})
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		c.Check(decodeLimits([]*gossippb.ServerLimit{{Server: 7, Named: true, RequestsPerSecond: rate}}, now), qt.HasLen, 0)
	}
	future := decodeLimits([]*gossippb.ServerLimit{{Server: 7, Named: true, RequestsPerSecond: 1, AgeMs: -5000}}, now)
	c.Check(future[0].ObservedAt, qt.Equals, now)
}

func TestServerAccountNames(t *testing.T) {
	c := qt.New(t)
	server, found := serverOf(accountOf(0xab))
	c.Check(found, qt.IsTrue)
	c.Check(server, qt.Equals, uint32(0xab))
	for _, workspace := range []string{"quarry", "server/", "server/xyz"} {
		_, found := serverOf(workspace)
		c.Check(found, qt.IsFalse)
	}
}

// TestSumsOmitServersWithoutLimit guards against reports that grow with each server that ever had a
// limit.
func TestSumsOmitServersWithoutLimit(t *testing.T) {
	c := qt.New(t)
	s := newTestRouter(t).state
	entry := backend.Entry{ID: "i-1", Service: "s"}
	s.view.Put(entry, time.Now())
	sums := func() map[string]float64 {
		counts := rollup.NewCounts()
		counts.Spent["quarry"], counts.Spent[accountOf(backend.KeyOf(entry))], counts.Spent[accountOf(99)] = 5, 6, 7
		return s.decodeSums(s.encodeSums(counts)).Spent
	}
	c.Check(sums(), qt.DeepEquals, map[string]float64{"quarry": 5})
	s.view.MergeLimits([]advice.LimitRecord{{Server: backend.KeyOf(entry), Limit: advice.Limit{Rate: 1, Limited: true, ObservedAt: time.Now()}}})
	c.Check(sums(), qt.DeepEquals, map[string]float64{"quarry": 5, accountOf(backend.KeyOf(entry)): 6})
}
