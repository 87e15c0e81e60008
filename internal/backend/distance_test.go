package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/route"
)

// TestDistanceOfZonesIsLearned: from how long connections take to open; one whose packet
// was lost says little.
func TestDistanceOfZonesIsLearned(t *testing.T) {
	c := qt.New(t)
	v := plainView("a", "b")
	c.Check(v.away("z-b", "z-a"), qt.Equals, route.StartAway)
	for i := range 50 {
		v.Dialed("a:80", time.Millisecond)
		took := 40 * time.Millisecond
		if i%10 == 9 {
			took = 3 * time.Second
		}
		v.Dialed("b:80", took)
	}
	away := v.away("z-b", "z-a")
	c.Check(away > 30*time.Millisecond && away < 60*time.Millisecond, qt.IsTrue, qt.Commentf("%v", away))
	c.Check(v.away("z-a", "z-b"), qt.Equals, time.Duration(0))
	v.Dialed("unknown:80", time.Second)
	c.Check(v.distances, qt.HasLen, 2)
}
