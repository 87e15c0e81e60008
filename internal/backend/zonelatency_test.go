package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/route"
)

// TestCrossZoneLatencyIsLearned: from how long connections take to open; one whose packet
// was lost says little.
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
	away := v.crossZoneLatency("z-b", "z-a")
	c.Check(away > 30*time.Millisecond && away < 60*time.Millisecond, qt.IsTrue, qt.Commentf("%v", away))
	c.Check(v.crossZoneLatency("z-a", "z-b"), qt.Equals, time.Duration(0))
	v.RecordDial("unknown:80", time.Second)
	c.Check(v.connectTimes, qt.HasLen, 2)
}
