package router

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/allowance"
)

// TestUsesRecordFromTheFutureHidesNoOther guards against usage that is not restored because another writer left a record with a later time.
func TestUsesRecordFromTheFutureHidesNoOther(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	sound := usesRecord{Uses: map[string]allowance.Usage{"w": {7: 100}}, DemandRates: map[string]float64{"w": 10}, WrittenMs: now.UnixMilli()}
	for _, written := range []int64{math.MaxInt64, math.MinInt64, now.Add(time.Hour).UnixMilli()} {
		odd := usesRecord{DemandRates: map[string]float64{"w": 1e300}, WrittenMs: written}
		merged := mergeUses(plausibleRecords([]usesRecord{odd, sound}, now))
		c.Check(merged.Uses["w"].Sum(), qt.Equals, 100.0, qt.Commentf("%d", written))
		c.Check(merged.DemandRates["w"], qt.Equals, 10.0)
		c.Check(merged.WrittenMs, qt.Equals, sound.WrittenMs)
	}
}
