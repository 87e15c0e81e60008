package router

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/rollup"
)

// TestAskedByClassIsSmall guards against reports that grow by more than tens of bytes per workspace with what is
// requested by class, and against classes that are mixed up on the way.
func TestAskedByClassIsSmall(t *testing.T) {
	c := qt.New(t)
	asked := make([]float64, allowance.ClassCount)
	asked[allowance.ClassOf(0, 2400)], asked[allowance.ClassOf(0, 6000)] = 4e9, 2e9
	asked[allowance.ClassOf(2, 200)], asked[allowance.ClassOf(2, 12_000)], asked[allowance.ClassOf(2, 50_000)] = 1e8, 9e9, 1e9
	counts := rollup.NewCounts()
	counts.Spent["w"], counts.Refused["w"] = 1e9, 1e9
	without := proto.Size(encodeCounts(counts))
	counts.Asked["w"] = asked
	encoded := encodeCounts(counts)
	c.Check(proto.Size(encoded)-without <= 40, qt.IsTrue, qt.Commentf("%d bytes more", proto.Size(encoded)-without))
	c.Check(decodeCounts(encoded).Asked["w"], qt.DeepEquals, asked)
}

// TestAskedOfOtherVersions guards against counts of daemons that know no classes, or more of them.
func TestAskedOfOtherVersions(t *testing.T) {
	c := qt.New(t)
	c.Check(encodeAsked(nil), qt.IsNil)
	c.Check(decodeAsked(nil), qt.IsNil)
	c.Check(encodeAsked([]float64{0, 1.4, 0, -3, 0}), qt.DeepEquals, []uint64{0, 1})
	c.Check(decodeAsked(make([]uint64, allowance.ClassCount+5)), qt.HasLen, allowance.ClassCount)
	counts := rollup.NewCounts()
	counts.Refused["w"] = 5
	c.Check(decodeCounts(encodeCounts(counts)).Asked, qt.HasLen, 0)
}
