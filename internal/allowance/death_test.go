package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDeathOfMostWhileAWorkspaceIsHot: those that are left and those that start again share
// the allowance, with and without a cut that has just ended.
func TestDeathOfMostWhileAWorkspaceIsHot(t *testing.T) {
	for name, cut := range map[string]bool{"alone": false, "after a cut": true} {
		t.Run(name, func(t *testing.T) {
			runScenarios(t, 8, func(r *rand.Rand) scenario {
				hot := randMs(r, 12_000, 15_000)
				at := hot + randMs(r, 0, 4000)
				events := []fault{{at: at, until: at + randMs(r, 500, 2000), deadShare: 0.6}}
				if cut {
					healed := hot - randMs(r, 0, 3000)
					events = append(events, fault{at: healed - 5*time.Second, until: healed, partition: true, zone: 1})
				}
				return scenario{jumpAt: hot, jumpFactor: 3 + 1.5*r.Float64(), faults: events}
			}, func(c *qt.C, name string, worst, refused float64) { checkLimitKept(c, name, worst, refused) })
		})
	}
}
