package allowance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// drawSuspensions draws histories in which a share of the daemons, or nearly all, is suspended for
// seconds, once or twice, while a workspace becomes hot.
func drawSuspensions(r *rand.Rand) scenario {
	hot := randMs(r, 10_000, 12_000)
	share := []float64{0.2, 0.5, 0.9}[r.IntN(3)]
	first := hot + randMs(r, -1000, 3000)
	second := first + randMs(r, 6000, 8000)
	return scenario{jumpAt: hot, jumpFactor: 3 + 2*r.Float64(), faults: []fault{
		{at: first, until: first + randMs(r, 1000, 6000), suspendedShare: share},
		{at: second, until: second + randMs(r, 500, 4000), suspendedShare: share / 2},
	}}
}

// TestSuspendedDaemonsStayWithin: a suspended VM's clock stands still, so that what was used
// before counts for longer.
func TestSuspendedDaemonsStayWithin(t *testing.T) {
	runScenarios(t, 12, withClocks(drawSuspensions, true), checkLimitKept)
}

// TestPausedDaemonsStayWithin: a paused process's clock goes on, and what it heard last is old.
func TestPausedDaemonsStayWithin(t *testing.T) {
	runScenarios(t, 12, withClocks(drawSuspensions, false), checkLimitKept)
}

// TestSuspendedBesideACut: the same while a zone is cut off.
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

// withClocks returns a script whose suspended daemons' clocks stand still, or go on.
func withClocks(draw func(r *rand.Rand) scenario, still bool) func(r *rand.Rand) scenario {
	return func(r *rand.Rand) scenario {
		s := draw(r)
		for i := range s.faults {
			s.faults[i].clockStops = still
		}
		return s
	}
}
