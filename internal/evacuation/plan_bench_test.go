package evacuation

import (
	"fmt"
	"testing"
)

// BenchmarkPlan plans the streams of one daemon in a wave at the design size.
func BenchmarkPlan(b *testing.B) {
	for _, servers := range []int{60, 2600} {
		b.Run(fmt.Sprint(servers, " servers"), func(b *testing.B) {
			var streams []Stream
			for i := range 30 {
				streams = append(streams, stream(fmt.Sprint(i), nil))
			}
			targets := targets(make([]int, servers)...)
			for b.Loop() {
				Plan(streams, targets, now)
			}
		})
	}
}
