package backend

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStatedSlotsDoNotDisplaceOtherVersions guards against one entry with a large number of slots whose version gets all streams.
func TestStatedSlotsDoNotDisplaceOtherVersions(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.SetTraits(map[string]Traits{"s": {Slots: 16, CacheTokens: 1000}})
	for id, slots := range map[string]int{"a": 16, "b": 16, "c": 6, "odd": 1 << 20} {
		e := entry(id, "z-a")
		e.Version, e.Slots = "v1", slots
		if id == "odd" {
			e.Version = "v9"
		}
		v.Put(e, start)
	}
	c.Check(v.VersionCapacities(start), qt.DeepEquals, []VersionCapacity{
		{Service: "s", Version: "v1", Slots: 38}, {Service: "s", Version: "v9", Slots: 16},
	})
}
