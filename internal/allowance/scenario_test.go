package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testTolerance is the tolerance of today's users.
var testTolerance = Tolerance{Window: 8 * time.Second, Fraction: 0.1, Tokens: 72_000}

// usualDemand is what a workspace asks for, as a share of its allowance's rate: users allow
// theirs 1.8 times what they ask for on average.
const usualDemand = 0.55

// scenario makes a history of one kind of trouble. hot is when the workspace jumps to x
// times its allowance's rate, for 8 s.
type scenario struct {
	jumpAt     time.Duration
	jumpFactor float64
	faults     []fault
}

// randMs returns a time by chance between two bounds, in whole ticks.
func randMs(r *rand.Rand, from, to int) time.Duration {
	return (time.Duration(from+r.IntN(to-from)) * time.Millisecond).Truncate(simulationTick)
}

func (s scenario) simulation(seed uint64, daemons int, rate float64) simulation {
	return simulation{
		seed: seed, daemons: daemons, zones: 4, rate: rate, duration: 32 * time.Second,
		tolerance: testTolerance, meanTokens: 5000, digestLoss: 0.03, faults: s.faults,
		demand: func(at time.Duration) float64 {
			if s.jumpFactor == 0 || at < s.jumpAt || at > s.jumpAt+8*time.Second {
				return usualDemand * rate
			}
			return s.jumpFactor * rate
		},
	}
}

func allDie(at, down time.Duration) fault { return fault{at: at, until: at + down, deadShare: 1} }

// runScenarios plays a kind of history on several seeds and sizes, and returns the worst window
// and the mean share of first tries that were refused within the allowance.
func runScenarios(t *testing.T, seeds int, draw func(r *rand.Rand) scenario, check func(c *qt.C, name string, worst, refused float64)) {
	for _, daemons := range []int{8, 77, 300} {
		for _, rate := range []float64{18_000, 750_000} {
			name := fmt.Sprintf("%d-daemons-%.0f-a-second", daemons, rate)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				worst, refused := 0.0, 0.0
				for seed := range uint64(seeds) {
					s := draw(rand.New(rand.NewPCG(seed, 7)))
					o := s.simulation(seed, daemons, rate).run()
					if o.worstWindow > worst {
						worst = o.worstWindow
					}
					refused += o.refusedWithin / o.offered / float64(seeds)
				}
				t.Logf("worst window %.3f of what the rule allows; %.4f refused within the allowance", worst, refused)
				check(c, name, worst, refused)
			})
		}
	}
}

// checkLimitKept checks that no window got more than the rule allows.
func checkLimitKept(c *qt.C, name string, worst, _ float64) {
	c.Check(worst <= 1, qt.IsTrue, qt.Commentf("%s: %.3f of what the rule allows", name, worst))
}

// TestNothingWithinTheAllowanceIsRefused: on a calm day, also when it asks for a third
// more than usual. Buckets that filled at the allowance's rate refused 0.16 to 0.45 of it
// with 77 and 300 daemons.
func TestNothingWithinTheAllowanceIsRefused(t *testing.T) {
	calm := func(r *rand.Rand) scenario { return scenario{jumpAt: randMs(r, 9000, 18_000), jumpFactor: 0.7} }
	runScenarios(t, 4, calm, func(c *qt.C, name string, worst, refused float64) {
		checkLimitKept(c, name, worst, refused)
		c.Check(refused < 0.01, qt.IsTrue, qt.Commentf("%s: %.4f", name, refused))
	})
}

// TestJumpsStayWithin: a workspace suddenly asks for three to seven times its allowance.
func TestJumpsStayWithin(t *testing.T) {
	runScenarios(t, 6, func(r *rand.Rand) scenario {
		return scenario{jumpAt: randMs(r, 9000, 18_000), jumpFactor: 3 + 4*r.Float64()}
	}, checkLimitKept)
}

// TestDeathOfAllRefusesLittle: a workspace that asks for its usual is served on.
func TestDeathOfAllRefusesLittle(t *testing.T) {
	death := func(r *rand.Rand) scenario {
		return scenario{faults: []fault{allDie(randMs(r, 9000, 16_000), 1500*time.Millisecond)}}
	}
	runScenarios(t, 4, death, func(c *qt.C, name string, worst, refused float64) {
		checkLimitKept(c, name, worst, refused)
		// Of 32 s; the window before the death was up to 1.9 s long when it was written.
		c.Check(refused < 0.12, qt.IsTrue, qt.Commentf("%s: %.4f", name, refused))
	})
}

// TestDeathOfHalfRefusesLittle, too. Those that are left count on their part, and where the
// lead of a zone is among the dead, on less until another leads.
func TestDeathOfHalfRefusesLittle(t *testing.T) {
	half := func(r *rand.Rand) scenario {
		at := randMs(r, 9000, 16_000)
		return scenario{faults: []fault{{at: at, until: at + 2*time.Second, deadShare: 0.55}}}
	}
	runScenarios(t, 4, half, func(c *qt.C, name string, worst, refused float64) {
		checkLimitKept(c, name, worst, refused)
		c.Check(refused < 0.06, qt.IsTrue, qt.Commentf("%s: %.4f", name, refused))
	})
}

// TestDeathOfAllWhileAWorkspaceIsHot: by then the record tells so.
func TestDeathOfAllWhileAWorkspaceIsHot(t *testing.T) {
	runScenarios(t, 6, func(r *rand.Rand) scenario {
		hot := randMs(r, 9000, 14_000)
		at := hot + randMs(r, 1500, 6000)
		return scenario{jumpAt: hot, jumpFactor: 3 + 1.5*r.Float64(), faults: []fault{allDie(at, randMs(r, 300, 2000))}}
	}, checkLimitKept)
}

// TestJumpJustBeforeTheDeathOfAll: what was used in the last 0.5 to 1.3 s is known to
// nobody any more.
func TestJumpJustBeforeTheDeathOfAll(t *testing.T) {
	runScenarios(t, 8, func(r *rand.Rand) scenario {
		hot := randMs(r, 9000, 14_000)
		return scenario{jumpAt: hot, jumpFactor: 3 + 1.5*r.Float64(), faults: []fault{allDie(hot+randMs(r, 0, 1500), randMs(r, 300, 2000))}}
	}, checkLimitKept)
}

// TestTwoDeathsWithinAWindow: the second while the first one's window is not over.
func TestTwoDeathsWithinAWindow(t *testing.T) {
	runScenarios(t, 6, func(r *rand.Rand) scenario {
		hot := randMs(r, 9000, 12_000)
		first := hot + randMs(r, 1500, 4000)
		second := first + 500*time.Millisecond + randMs(r, 1000, 6000)
		return scenario{jumpAt: hot, jumpFactor: 3 + 1.5*r.Float64(), faults: []fault{allDie(first, 500*time.Millisecond), allDie(second, 500*time.Millisecond)}}
	}, checkLimitKept)
}

// TestZoneCutWhileAWorkspaceIsHot: it begins before, with or after the jump.
func TestZoneCutWhileAWorkspaceIsHot(t *testing.T) {
	runScenarios(t, 6, func(r *rand.Rand) scenario {
		hot := randMs(r, 11_000, 14_000)
		at := hot + randMs(r, 0, 4000) - 2*time.Second
		return scenario{jumpAt: hot, jumpFactor: 3 + 1.5*r.Float64(), faults: []fault{{at: at, until: at + 5*time.Second, partition: true, zone: 1}}}
	}, checkLimitKept)
}

// TestCutOfAZoneRefusesLittle: neither while it lasts nor after it a workspace that asks for
// its usual is refused much.
func TestCutOfAZoneRefusesLittle(t *testing.T) {
	cut := func(r *rand.Rand) scenario {
		at := randMs(r, 9000, 14_000)
		return scenario{faults: []fault{{at: at, until: at + 5*time.Second, partition: true, zone: 1}}}
	}
	runScenarios(t, 4, cut, func(c *qt.C, name string, worst, refused float64) {
		checkLimitKept(c, name, worst, refused)
		c.Check(refused < 0.03, qt.IsTrue, qt.Commentf("%s: %.4f", name, refused))
	})
}

// TestRecordThatCannotBeRead: daemons that all start know nothing of before.
func TestRecordThatCannotBeRead(t *testing.T) {
	runScenarios(t, 4, func(r *rand.Rand) scenario {
		hot := randMs(r, 9000, 14_000)
		death := allDie(hot+randMs(r, 0, 4000), time.Second)
		death.snapshotUnreadable = true
		return scenario{jumpAt: hot, jumpFactor: 3 + 1.5*r.Float64(), faults: []fault{death}}
	}, checkLimitKept)
}

// TestRecordThatIsReadLate: what daemons use until then is little.
func TestRecordThatIsReadLate(t *testing.T) {
	runScenarios(t, 4, func(r *rand.Rand) scenario {
		hot := randMs(r, 9000, 14_000)
		death := allDie(hot+randMs(r, 0, 4000), time.Second)
		death.snapshotDelay = randMs(r, 200, 2500)
		return scenario{jumpAt: hot, jumpFactor: 3 + 1.5*r.Float64(), faults: []fault{death}}
	}, checkLimitKept)
}

// TestAllDieWhileTheStoreIsAway: nobody can write down what was used, a workspace becomes hot, and
// all daemons die. Starts reckon with the rate of before, for as long as the record is old, and one
// burst. The soak showed it: seed 380042, the store down and cut off by turns, all daemons killed,
// 1.17 of what the rule allows.
func TestAllDieWhileTheStoreIsAway(t *testing.T) {
	runScenarios(t, 4, func(r *rand.Rand) scenario {
		away := randMs(r, 9000, 12_000)
		hot := away + randMs(r, 500, 1500)
		death := hot + randMs(r, 2000, 3000)
		return scenario{jumpAt: hot, jumpFactor: 3 + 1.5*r.Float64(), faults: []fault{
			{at: away, until: death + 500*time.Millisecond, storeDown: true}, allDie(death, 500*time.Millisecond),
		}}
	}, checkLimitKept)
}

// TestMistakesShow: histories break the rule when daemons do not count what others have
// used, when they forget at their start what was used before, and when those on both sides
// of a cut take themselves for all.
func TestMistakesShow(t *testing.T) {
	deaths := []fault{allDie(12*time.Second, 500*time.Millisecond), allDie(15*time.Second, 500*time.Millisecond)}
	cut := []fault{{at: 10 * time.Second, until: 22 * time.Second, partition: true, zone: 1}}
	for _, one := range []struct {
		name    string
		mistake func(h *simulation)
		events  []fault
	}{
		{"others are not counted", func(h *simulation) { h.ignorePeers = true }, nil},
		{"starts forget", func(h *simulation) { h.forgetUsage = true }, deaths},
		{"sides of a cut are whole", func(h *simulation) { h.ignorePartition = true }, cut},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			right, wrong := 0.0, 0.0
			for seed := range uint64(4) {
				h := scenario{jumpAt: 9 * time.Second, jumpFactor: 4, faults: one.events}.simulation(seed, 8, 750_000)
				right = max(right, h.run().worstWindow)
				one.mistake(&h)
				wrong = max(wrong, h.run().worstWindow)
			}
			c.Check(right <= 1, qt.IsTrue, qt.Commentf("%.3f of what the rule allows", right))
			c.Check(wrong > 1, qt.IsTrue, qt.Commentf("%.3f of what the rule allows", wrong))
		})
	}
}

// TestDeathOfMostAsACutEnds guards against what the other side of a cut has used being told by nobody.
func TestDeathOfMostAsACutEnds(t *testing.T) {
	runScenarios(t, 60, func(r *rand.Rand) scenario {
		hot := randMs(r, 14_000, 18_000)
		dies := hot + randMs(r, 2_000, 4_500)
		return scenario{jumpAt: hot, jumpFactor: 3 + 4*r.Float64(), faults: []fault{
			{at: hot - randMs(r, 5_000, 8_000), until: dies + randMs(r, 0, 1_500), partition: true, zone: r.IntN(4)},
			{at: dies, until: dies + time.Second, deadShare: 0.6},
		}}
	}, checkLimitKept)
}
