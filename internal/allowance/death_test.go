package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDeathOfMostWhileAWorkspaceIsHot guards against exceeding the bound when most daemons die
// after a jump in demand, with and without a partition that has just ended. The surviving and the
// restarting daemons share the allowance.
func TestDeathOfMostWhileAWorkspaceIsHot(t *testing.T) {
	for name, afterPartition := range map[string]bool{"alone": false, "after a cut": true} {
		t.Run(name, func(t *testing.T) {
			runScenarios(t, 8, func(r *rand.Rand) scenario {
				jumpAt := randMs(r, 12_000, 15_000)
				at := jumpAt + randMs(r, 0, 4000)
				faults := []fault{{at: at, until: at + randMs(r, 500, 2000), deadShare: 0.6}}
				if afterPartition {
					partitionEnd := jumpAt - randMs(r, 0, 3000)
					faults = append(faults, fault{at: partitionEnd - 5*time.Second, until: partitionEnd, partition: true, zone: 1})
				}
				return scenario{jumpAt: jumpAt, jumpFactor: 3 + 1.5*r.Float64(), faults: faults}
			}, func(c *qt.C, name string, worst, refused float64) { checkLimitKept(c, name, worst, refused) })
		})
	}
}
