package streamversion

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSnapshotHoldsTheLatestStreams guards against streams whose version is lost with all daemons.
func TestSnapshotHoldsTheLatestStreams(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000_000, 0)
	all := Buckets{"llm": {}}
	for i := range BucketCount {
		all["llm"][i] = true
	}
	before := NewBegun()
	for i := range 2 * maxSnapshot {
		before.Record("llm", fmt.Sprint(i), fmt.Sprintf("v%d", i%2), now.Add(time.Duration(i)*time.Millisecond))
	}
	before.Record("other", "0", "v1", now)
	now = now.Add(2 * maxSnapshot * time.Millisecond)
	c.Check(before.Snapshot(nil, now), qt.HasLen, 0)

	after := NewBegun()
	after.Merge(before.Snapshot(all, now), false, now)
	for i := range 2 * maxSnapshot {
		version, found := after.Version("llm", fmt.Sprint(i), now)
		c.Check(found, qt.Equals, i >= maxSnapshot)
		c.Check(!found || version == fmt.Sprintf("v%d", i%2), qt.IsTrue)
	}
	_, found := after.Version("other", "0", now)
	c.Check(found, qt.IsFalse)
}
