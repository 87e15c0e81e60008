package allowance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// drawSuspensions draws scenarios in which some or nearly all daemons are suspended for seconds,
// once or twice, around a jump in demand.
func drawSuspensions(r *rand.Rand) scenario {
	jumpAt := randMs(r, 10_000, 12_000)
	share := []float64{0.2, 0.5, 0.9}[r.IntN(3)]
	first := jumpAt + randMs(r, -1000, 3000)
	second := first + randMs(r, 6000, 8000)
	return scenario{jumpAt: jumpAt, jumpFactor: 3 + 2*r.Float64(), faults: []fault{
		{at: first, until: first + randMs(r, 1000, 6000), suspendedShare: share},
		{at: second, until: second + randMs(r, 500, 4000), suspendedShare: share / 2},
	}}
}

// TestSuspendedDaemonsStayWithin guards against exceeding the bound when VMs are suspended. Their
// clocks stop, so earlier usage counts for longer.
func TestSuspendedDaemonsStayWithin(t *testing.T) {
	runScenarios(t, 12, withClocks(drawSuspensions, true), checkLimitKept)
}

// TestPausedDaemonsStayWithin guards against exceeding the bound when processes are paused. Their
// clocks go on, so the last reports they received are old.
func TestPausedDaemonsStayWithin(t *testing.T) {
	runScenarios(t, 12, withClocks(drawSuspensions, false), checkLimitKept)
}

// TestSuspendedBesideACut guards against exceeding the bound when daemons are suspended or paused
// during a partition.
func TestSuspendedBesideACut(t *testing.T) {
	for name, still := range map[string]bool{"suspended": true, "paused": false} {
		t.Run(name, func(t *testing.T) {
			runScenarios(t, 6, withClocks(func(r *rand.Rand) scenario {
				s := drawSuspensions(r)
				at := s.jumpAt + randMs(r, -2000, 2000)
				s.faults = append(s.faults, fault{at: at, until: at + 5*time.Second, partition: true, zone: 1})
				return s
			}, still), checkLimitKept)
		})
	}
}

// withClocks returns a scenario in which the clocks of suspended daemons stop or go on.
func withClocks(draw func(r *rand.Rand) scenario, clockStops bool) func(r *rand.Rand) scenario {
	return func(r *rand.Rand) scenario {
		s := draw(r)
		for i := range s.faults {
			s.faults[i].clockStops = clockStops
		}
		return s
	}
}
