package rollup

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/backend"
)

// testLoads returns the loads and keys of count servers. Every fifth server has no load.
func testLoads(count int) (map[uint32]backend.Load, []uint32) {
	random := rand.New(rand.NewPCG(1, uint64(count)))
	loads := map[uint32]backend.Load{}
	var keys []uint32
	for i := range count {
		key := uint32(i) * 2654435761
		keys = append(keys, key)
		if i%5 > 0 {
			loads[key] = backend.Load{Running: 8 + random.IntN(8), PendingTokens: int(random.ExpFloat64() * 3000)}
		}
	}
	return loads, keys
}

func TestFewLoadsAreNotCompressed(t *testing.T) {
	c := qt.New(t)
	loads, keys := testLoads(MaxListedLoads)
	listed, restMean := CompressLoads(loads, func() []uint32 { return keys })
	c.Check(listed, qt.DeepEquals, loads)
	c.Check(restMean, qt.Equals, backend.Load{})
}

// TestCompressedLoadsAreAccurate compresses the loads of 3,000 servers and expands them again. The
// total of running requests must stay within 10%, and no server's pending tokens may be understated
// by 10,000 or more.
func TestCompressedLoadsAreAccurate(t *testing.T) {
	c := qt.New(t)
	loads, keys := testLoads(3000)
	listed, restMean := CompressLoads(loads, func() []uint32 { return keys })
	c.Check(len(listed) <= MaxListedLoads, qt.IsTrue)
	total, expanded := 0, 0
	ExpandLoads(listed, restMean, keys)
	maxShortfall := backend.Load{}
	for _, key := range keys {
		total += loads[key].Running
		expanded += listed[key].Running
		maxShortfall.PendingTokens = max(maxShortfall.PendingTokens, loads[key].PendingTokens-listed[key].PendingTokens)
	}
	c.Check(float64(expanded) > 0.9*float64(total) && float64(expanded) < 1.1*float64(total), qt.IsTrue, qt.Commentf("%d running, %d after expansion", total, expanded))
	c.Check(maxShortfall.PendingTokens < 10_000, qt.IsTrue, qt.Commentf("a server with %d more pending tokens than after expansion", maxShortfall.PendingTokens))
}

func TestExpandLoadsWithoutMean(t *testing.T) {
	c := qt.New(t)
	listed := map[uint32]backend.Load{1: {Running: 2}}
	ExpandLoads(listed, backend.Load{}, []uint32{1, 2})
	c.Check(listed, qt.HasLen, 1)
}

// BenchmarkCompressLoads measures the work that a leader does twice per report interval: 1.4 ms of a
// core for 3,000 servers, against 2.9 ms when each comparison looked up both servers.
func BenchmarkCompressLoads(b *testing.B) {
	loads, keys := testLoads(3000)
	for b.Loop() {
		CompressLoads(loads, func() []uint32 { return keys })
	}
}
