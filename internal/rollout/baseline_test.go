package rollout

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fixedPolicy is a simpler policy than the board's, with counts that are always up to date.
type fixedPolicy struct {
	name string
	// share goes to the candidate until the end, when all of it does.
	share float64
	// maxFailureShare is the share of failures, of 20 answers at least, above which it is rolled back;
	// none where it is zero.
	maxFailureShare float64
}

var fixedPolicies = []fixedPolicy{
	{"all at once", 1, 0}, {"a tenth, back above 5 in 100 failures", 0.1, 0.05}, {"a tenth, back above 20 in 100 failures", 0.1, 0.2},
}

// simulateFixedPolicy plays one roll-out by a baseline, in a calm deployment.
func simulateFixedPolicy(policy fixedPolicy, v candidateModel, seed uint64) simResult {
	p := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), model: v}
	answers, failed := 0, 0
	r := simResult{state: StateRunning}
	for p.age = 0; p.age < simDuration; p.age += simTick {
		for _, route := range simRoutes {
			n := int(route.requestsPerSecond*simTick.Seconds() + p.rng.Float64())
			for range n {
				r.requests++
				if r.state == StateRolledBack || p.rng.Float64() >= policy.share {
					continue
				}
				r.exposed++
				fails := route.failureRate
				if p.age >= v.activeFrom && (v.route == "" || v.route == route.name) && (!v.underLoad || policy.share >= 0.5) {
					fails += (1 - fails) * v.failureRate
				}
				answers++
				if p.rng.Float64() < fails {
					failed++
				}
			}
		}
		if policy.maxFailureShare > 0 && answers >= 20 && float64(failed) > policy.maxFailureShare*float64(answers) {
			r.state = StateRolledBack
		}
	}
	if r.state == StateRunning {
		r.state = StateCompleted
	}
	return r
}

// TestBaselines: a fixed share with a threshold either rolls back sound versions, of which
// one route fails by itself, or completes bad ones; all at once gives bad ones everything.
func TestBaselines(t *testing.T) {
	c := qt.New(t)
	const plays = 20
	for _, policy := range fixedPolicies {
		wrong, broken := 0, 0
		for _, v := range candidateModels {
			if v.latencyFactor > 1 {
				// They look at failures alone.
				continue
			}
			for seed := range plays {
				r := simulateFixedPolicy(policy, v, uint64(seed+1))
				if v.isBad() && r.exceedsBounds() {
					broken++
				}
				if v.isBad() != (r.state == StateRolledBack) && !undetectable[v.name] {
					wrong++
				}
			}
		}
		t.Logf("%-40s %3d wrong, %3d over what a bad version may get", policy.name, wrong, broken)
		c.Check(wrong > 0, qt.IsTrue, qt.Commentf("%s", policy.name))
	}
	wrong, broken := 0, 0
	for _, v := range candidateModels {
		if v.latencyFactor > 1 || undetectable[v.name] {
			continue
		}
		for seed := range plays {
			r := simulate(8, v, fault{name: "calm"}, uint64(seed+1))
			if v.isBad() && r.exceedsBounds() {
				broken++
			}
			if v.isBad() != (r.state == StateRolledBack) {
				wrong++
			}
		}
	}
	t.Logf("%-40s %3d wrong, %3d over what a bad version may get", "the board", wrong, broken)
	c.Check(broken, qt.Equals, 0)
	c.Check(wrong <= 2, qt.IsTrue, qt.Commentf("%d", wrong))
}
