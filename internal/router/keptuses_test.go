package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/allowance"
)

// TestMergeUsesKeepsNewest checks that records of about the same time are merged to the larger
// usage, and that older records are ignored.
func TestMergeUsesKeepsNewest(t *testing.T) {
	c := qt.New(t)
	merged := mergeUses([]usesRecord{
		{WrittenMs: 10_000, Uses: map[string]allowance.Usage{"a": {100}, "b": {0, 7}}},
		{WrittenMs: 9_400, Uses: map[string]allowance.Usage{"a": {0, 300}, "c": {5}}},
		{WrittenMs: 2_000, Uses: map[string]allowance.Usage{"a": {900}, "d": {1}}},
	})
	c.Check(merged, qt.DeepEquals, usesRecord{WrittenMs: 10_000, Uses: map[string]allowance.Usage{"a": {0, 300}, "b": {0, 7}, "c": {5}}})
	c.Check(mergeUses(nil).WrittenMs, qt.Equals, int64(0))
	merged = mergeUses([]usesRecord{{WrittenMs: 10_000}, {WrittenMs: 9_400, Warmup: true}})
	c.Check(merged.Warmup, qt.IsTrue, qt.Commentf("one of the leaders has just started"))
	merged = mergeUses([]usesRecord{{WrittenMs: 10_000}, {WrittenMs: 2_000, Warmup: true}})
	c.Check(merged.Warmup, qt.IsFalse, qt.Commentf("the older one does not count"))
}
