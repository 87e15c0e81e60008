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
		m.RecordRequest("s", Origin{}, Load{Prefill: 0.05, Batch: 0.2, Memory: 0.01}, now)
	}
	rate := m.Rates(now)["s"]
	c.Check(math.Abs(rate.Prefill-0.5) < 0.025, qt.IsTrue, qt.Commentf("%v", rate))
	c.Check(math.Abs(rate.Batch-2) < 0.1, qt.IsTrue, qt.Commentf("%v", rate))
	c.Check(math.Abs(rate.Memory-0.1) < 0.005, qt.IsTrue, qt.Commentf("%v", rate))
	later := m.Rates(now.Add(5 * defaultTimeConstant))["s"]
	c.Check(later.Batch < 0.02, qt.IsTrue, qt.Commentf("%v", later))
}

// TestTimeConstantFollowsBootTime checks that a step of the demand shows earlier for services whose
// servers boot faster, within the limits of the time constant.
func TestTimeConstantFollowsBootTime(t *testing.T) {
	c := qt.New(t)
	measured := func(boot time.Duration) float64 {
		m := NewMeter()
		now := time.Unix(1000, 0)
		m.SetBootTime("s", boot, now)
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			m.RecordRequest("s", Origin{}, Load{Prefill: 0.1}, now)
		}
		return m.Rates(now)["s"].Prefill
	}
	c.Check(measured(2*time.Second) > measured(4*time.Second), qt.IsTrue)
	c.Check(measured(4*time.Second) > measured(20*time.Second), qt.IsTrue)
	c.Check(measured(20*time.Second), qt.Equals, measured(time.Hour))
}
