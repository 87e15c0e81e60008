package backend

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/plankridge/plankridge/internal/pace"
)

// BenchmarkChoice measures Begin and End for services with many servers. It took 7, 6 and 31 µs on
// one core; 10, 137 and 3,170 µs when each call collected and sorted all servers.
func BenchmarkChoice(b *testing.B) {
	for _, servers := range []int{16, 160, 2600} {
		b.Run(fmt.Sprintf("%d", servers), func(b *testing.B) { benchmarkChoice(b, servers, func(int) float64 { return 1 }) })
	}
	// Picks among servers of different speeds.
	b.Run("2600 uneven", func(b *testing.B) { benchmarkChoice(b, 2600, unevenSpeeds) })
}

func benchmarkChoice(b *testing.B, servers int, speed func(i int) float64) {
	now := time.Unix(1000, 0)
	v := benchmarkView(servers, speed, now)
	b.ReportAllocs()
	for i := range b.N {
		need := Need{Service: "s", Zone: "z1", PromptTokens: 3000, Parts: []PromptPart{{ID: "a", Tokens: 1000}, {ID: fmt.Sprintf("p%d", i%500), Tokens: 2000}}, SampleSeed: uint64(i)}
		choice, ok := v.Begin(need, now)
		if !ok {
			b.Fatal("no server")
		}
		choice.End(OutcomeServed, now)
	}
}

func benchmarkView(servers int, speed func(i int) float64, now time.Time) *View {
	v := NewView()
	v.SetTraits(map[string]Traits{"s": {CacheTokens: 250_000}})
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{ID: fmt.Sprintf("i-%08x", i*7919), Service: "s", Zone: fmt.Sprintf("z%d", i%5), Slots: 48}
	}
	v.Replace(entries, Observed(now))
	for i, e := range entries {
		known := pace.SpeedObservations{Log2: math.Log2(speed(i)), Count: 200}
		v.servers[e.ID].speeds.prefill.known.Adopt(known)
		v.servers[e.ID].speeds.step.known.Adopt(known)
	}
	return v
}

// BenchmarkRefreshSpeeds measures what a daemon with so many servers does every second.
func BenchmarkRefreshSpeeds(b *testing.B) {
	now := time.Unix(1000, 0)
	v := benchmarkView(2600, unevenSpeeds, now)
	for range b.N {
		now = now.Add(time.Minute)
		v.refreshSpeeds(now)
	}
}

// BenchmarkKnownSpeeds measures what a relay does for each report.
func BenchmarkKnownSpeeds(b *testing.B) {
	now := time.Unix(1000, 0)
	v := benchmarkView(2600, unevenSpeeds, now)
	for range b.N {
		now = now.Add(400 * time.Millisecond)
		v.KnownSpeeds(true, now)
	}
}
