package rollout

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fixedPolicy is a simpler policy than the tracker's. Its counts have no delay.
type fixedPolicy struct {
	name string
	// share is the candidate's share of the requests until the end, when it gets all of them.
	share float64
	// maxFailureShare is the share of failures, among at least 20 answers, above which the
	// version is rolled back. With zero it never is.
	maxFailureShare float64
}

var fixedPolicies = []fixedPolicy{
	{"all at once", 1, 0}, {"a tenth, back above 5 in 100 failures", 0.1, 0.05}, {"a tenth, back above 20 in 100 failures", 0.1, 0.2},
}

// simulateFixedPolicy runs one roll-out by a fixed policy, in a deployment without faults.
func simulateFixedPolicy(policy fixedPolicy, model candidateModel, seed uint64) simResult {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), model: model}
	answers, failed := 0, 0
	r := simResult{state: StateRunning}
	for sim.age = 0; sim.age < simDuration; sim.age += simTick {
		for _, route := range simRoutes {
			n := int(route.requestsPerSecond*simTick.Seconds() + sim.rng.Float64())
			for range n {
				r.requests++
				if r.state == StateRolledBack || sim.rng.Float64() >= policy.share {
					continue
				}
				r.exposed++
				failureRate := route.failureRate
				if sim.age >= model.activeFrom && (model.route == "" || model.route == route.name) && (!model.underLoad || policy.share >= 0.5) {
					failureRate += (1 - failureRate) * model.failureRate
				}
				answers++
				if sim.rng.Float64() < failureRate {
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

// TestBaselines compares the tracker with fixed policies. A fixed share with a threshold rolls
// back sound versions with one route that fails by itself, or completes bad versions. A switch
// of all requests at once exposes all of them to a bad version.
func TestBaselines(t *testing.T) {
	c := qt.New(t)
	const runs = 20
	for _, policy := range fixedPolicies {
		wrongOutcomes, overBounds := 0, 0
		for _, model := range candidateModels {
			if model.latencyFactor > 1 {
				// The policies count failures alone.
				continue
			}
			for seed := range runs {
				r := simulateFixedPolicy(policy, model, uint64(seed+1))
				if model.isBad() && r.exceedsBounds() {
					overBounds++
				}
				if model.isBad() != (r.state == StateRolledBack) && !undetectable[model.name] {
					wrongOutcomes++
				}
			}
		}
		t.Logf("%-40s %3d wrong outcomes, %3d over the bounds for a bad version", policy.name, wrongOutcomes, overBounds)
		c.Check(wrongOutcomes > 0, qt.IsTrue, qt.Commentf("%s", policy.name))
	}
	wrongOutcomes, overBounds := 0, 0
	for _, model := range candidateModels {
		if model.latencyFactor > 1 || undetectable[model.name] {
			continue
		}
		for seed := range runs {
			r := simulate(8, model, fault{name: "calm"}, uint64(seed+1))
			if model.isBad() && r.exceedsBounds() {
				overBounds++
			}
			if model.isBad() != (r.state == StateRolledBack) {
				wrongOutcomes++
			}
		}
	}
	t.Logf("%-40s %3d wrong outcomes, %3d over the bounds for a bad version", "the tracker", wrongOutcomes, overBounds)
	c.Check(overBounds, qt.Equals, 0)
	c.Check(wrongOutcomes <= 2, qt.IsTrue, qt.Commentf("%d", wrongOutcomes))
}
