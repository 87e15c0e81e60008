package demand

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSteadyDemandIsMeasured(t *testing.T) {
	c := qt.New(t)
	m := NewMeter()
	now := time.Unix(1000, 0)
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		m.Asked("s", 500, 50, now)
	}
	rate := m.Rates(now)["s"]
	c.Check(math.Abs(rate.Requests-10) < 0.5, qt.IsTrue, qt.Commentf("%v", rate))
	c.Check(math.Abs(rate.Unread-5000) < 250, qt.IsTrue, qt.Commentf("%v", rate))
	later := m.Rates(now.Add(5 * memory))["s"]
	c.Check(later.Requests < 0.1, qt.IsTrue, qt.Commentf("%v", later))
}
