package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/route"
)

// TestCrossZoneLatencyIsLearned checks that the latency follows the connect times, and that the
// occasional connection with a lost packet has little effect.
func TestCrossZoneLatencyIsLearned(t *testing.T) {
	c := qt.New(t)
	v := plainView("a", "b")
	c.Check(v.crossZoneLatency("z-b", "z-a"), qt.Equals, route.DefaultCrossZoneLatency)
	for i := range 50 {
		v.RecordDial("a:80", time.Millisecond)
		took := 40 * time.Millisecond
		if i%10 == 9 {
			took = 3 * time.Second
		}
		v.RecordDial("b:80", took)
	}
	latency := v.crossZoneLatency("z-b", "z-a")
	c.Check(latency > 30*time.Millisecond && latency < 60*time.Millisecond, qt.IsTrue, qt.Commentf("%v", latency))
	c.Check(v.crossZoneLatency("z-a", "z-b"), qt.Equals, time.Duration(0))
	v.RecordDial("unknown:80", time.Second)
	c.Check(v.connectTimes, qt.HasLen, 2)
}
