package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/rollup"
)

// TestLoadsAreBounded: what a lead tells of 3,000 busy servers has a tenth of the bytes
// that it would have with each of them, and servers without load are told as such.
func TestLoadsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := testRouter(t).state
	sums := rollup.NewCounts()
	idle := map[uint32]bool{}
	var entries []backend.Entry
	for i := range 3000 {
		entry := backend.Entry{ID: fmt.Sprintf("i-%05d", i), Service: "s", Slots: 48}
		entries = append(entries, entry)
		key := backend.KeyOf(entry)
		if i%100 == 0 {
			idle[key] = true
			continue
		}
		sums.Loads[key] = backend.Load{Running: 12 + i%3, PendingTokens: 2000 + i%500}
	}
	s.view.Replace(entries, backend.Observed(time.Now()))
	whole := proto.Size(encodeCounts(sums))
	told := s.encodeSums(sums)
	t.Logf("%d bytes with all servers, %d told", whole, proto.Size(told))
	c.Check(proto.Size(told) < whole/8, qt.IsTrue, qt.Commentf("%d of %d bytes", proto.Size(told), whole))
	heard := s.decodeSums(told)
	c.Check(heard.Loads, qt.HasLen, 3000)
	for key := range idle {
		c.Check(heard.Loads[key], qt.Equals, backend.Load{})
	}
}
