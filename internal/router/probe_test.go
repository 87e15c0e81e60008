package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowStoreIsNotOutOfReach checks that the timeout adapts to a slow store. A probe without an
// answer must be detected within an eighth of the drain bound.
func TestSlowStoreIsNotOutOfReach(t *testing.T) {
	c := qt.New(t)
	p := newProber(2 * time.Second)
	for range 20 {
		p.recordLatency(4 * time.Millisecond)
	}
	c.Check(p.timeout(), qt.Equals, 250*time.Millisecond)
	const slow = 400 * time.Millisecond
	missed := 0
	for range 20 {
		if p.timeout() < slow {
			missed++
		}
		p.recordLatency(min(slow, p.timeout()))
	}
	c.Check(missed <= 4, qt.IsTrue, qt.Commentf("%d of 20 answers of a slow store missed", missed))
	c.Check(p.timeout(), qt.Equals, maxProbeInterval)
	for bound, every := range map[time.Duration]time.Duration{
		100 * time.Millisecond: minProbeInterval, 4 * time.Second: 500 * time.Millisecond, time.Minute: maxProbeInterval,
	} {
		c.Check(newProber(bound).timeout(), qt.Equals, every)
	}
}
