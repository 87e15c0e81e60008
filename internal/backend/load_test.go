package backend

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// rankedView returns a view of engines that get requests of several ranks.
func rankedView(ids ...string) *View {
	v := modelView(ids...)
	v.SetTraits(map[string]Traits{"s": {CacheTokens: 100000, Ranked: true}})
	return v
}

// waitOf returns the predicted wait of a prompt of a class.
func waitOf(v *View, class int, deferred bool) time.Duration {
	need := prompt(1)
	need.Class, need.Deferred = class, deferred
	choice, _ := v.Begin(need, start)
	choice.End(OutcomeNeutral, start)
	return choice.Wait
}

// TestUrgentPromptsDoNotWaitForOthers guards against the refusal of urgent calls for a wait that the
// engine does not impose, and against the admission of less urgent ones that do wait.
func TestUrgentPromptsDoNotWaitForOthers(t *testing.T) {
	c := qt.New(t)
	v := rankedView("a")
	idle := waitOf(v, 0, false)
	key := KeyOf(Entry{ID: "a"})
	waiting := Load{Running: 4, PendingTokens: 60_000, Pending: LessUrgent{20_000, 40_000}}
	v.SetPeerLoads(map[uint32]Load{key: waiting}, start)
	first, second, third, overdue := waitOf(v, 0, false), waitOf(v, 1, false), waitOf(v, 2, false), waitOf(v, 0, true)
	c.Check(first, qt.Equals, idle)
	c.Check(second > first, qt.IsTrue)
	c.Check(third-second, qt.Equals, 2*(second-first), qt.Commentf("40,000 tokens after 20,000"))
	c.Check(overdue, qt.Equals, third, qt.Commentf("an overdue call comes after all others"))

	v.SetTraits(map[string]Traits{"s": {CacheTokens: 100000}})
	for class := range 3 {
		c.Check(waitOf(v, class, false), qt.Equals, third, qt.Commentf("ranks make no difference at a service with one rank"))
	}
}

// TestLoadOfUnknownRankIsAhead guards against the neglect of prompts that daemons of an earlier
// version have sent: their reports lack the ranks.
func TestLoadOfUnknownRankIsAhead(t *testing.T) {
	c := qt.New(t)
	v := rankedView("a")
	v.SetPeerLoads(map[uint32]Load{KeyOf(Entry{ID: "a"}): Load{PendingTokens: 60_000}.WithUrgency(0)}, start)
	c.Check(waitOf(v, 0, false), qt.Equals, waitOf(v, 2, false))
}

// TestLessUrgentPromptsWaitForLaterOnes guards against the admission of less urgent calls that are then
// late: prompts that arrive while they wait go before them too.
func TestLessUrgentPromptsWaitForLaterOnes(t *testing.T) {
	c := qt.New(t)
	v := rankedView("a")
	idle := waitOf(v, 2, false)
	v.SetPeerLoads(map[uint32]Load{KeyOf(Entry{ID: "a"}): {PendingTokens: 40_000, Pending: LessUrgent{0, 40_000}}}, start)
	alone := waitOf(v, 2, false)
	v.SetUrgentUse("s", [3]float64{0, 0.5, 0.5})
	c.Check(waitOf(v, 2, false)-idle, qt.Equals, 2*(alone-idle))
	v.SetTraits(map[string]Traits{"s": {CacheTokens: 100000}})
	c.Check(waitOf(v, 2, false), qt.Equals, alone, qt.Commentf("ranks make no difference at a service with one rank"))
}

// TestFullBatchYieldsToUrgentCalls guards against the refusal of urgent calls at engines whose batch
// is full of attempts that they preempt.
func TestFullBatchYieldsToUrgentCalls(t *testing.T) {
	c := qt.New(t)
	v := rankedView("a")
	v.servers["a"].serviceTime = time.Second
	key := KeyOf(Entry{ID: "a"})
	v.SetPeerLoads(map[uint32]Load{key: {Running: 6, Started: LessUrgent{0, 6}}}, start)
	yielding := waitOf(v, 0, false)
	c.Check(waitOf(v, 2, false) > yielding, qt.IsTrue)
	v.SetPeerLoads(map[uint32]Load{key: {Running: 6}}, start)
	c.Check(waitOf(v, 0, false) > yielding, qt.IsTrue, qt.Commentf("equally urgent attempts do not yield"))
}

// TestOwnAttemptsAreCountedByClass checks that an attempt's class is removed with it, so that loads do
// not drift over the life of a daemon.
func TestOwnAttemptsAreCountedByClass(t *testing.T) {
	c := qt.New(t)
	v := rankedView("a")
	var choices []*Choice
	for i := range 6 {
		need := prompt(i)
		need.Class, need.Deferred = i%3, i > 3
		choice, _ := v.Begin(need, start)
		choices = append(choices, choice)
	}
	tokens := choices[0].PrefillTokens
	c.Check(v.OwnLoads()[KeyOf(Entry{ID: "a"})], qt.Equals, Load{
		Running: 6, PendingTokens: 4 * tokens, Pending: LessUrgent{tokens, tokens}, Started: LessUrgent{1, 3},
	}, qt.Commentf("overdue attempts run in the last class, and their prompts delay none"))
	for i, choice := range choices {
		if i%2 == 0 {
			choice.RecordEvent(start.Add(time.Second))
		}
		choice.End(OutcomeNeutral, start.Add(time.Second))
	}
	c.Check(v.OwnLoads(), qt.HasLen, 0)
}

// TestPredictionFollowsEnginesThatIgnoreRanks guards against urgent calls that are admitted again and
// again behind less urgent ones at engines that serve in order of arrival, and against a return to
// that prediction at engines that do not.
func TestPredictionFollowsEnginesThatIgnoreRanks(t *testing.T) {
	for name, ignores := range map[string]bool{"ignore": true, "honor": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v := rankedView("a")
			random := rand.New(rand.NewPCG(1, 2))
			key := KeyOf(Entry{ID: "a"})
			now := start
			var lastRatio float64
			for i := range 80 {
				now = now.Add(100 * time.Millisecond)
				v.SetPeerLoads(map[uint32]Load{key: {Running: 2, PendingTokens: 20_000, Pending: LessUrgent{0, 20_000}}}, now)
				choice, _ := v.Begin(prompt(1000+i), now)
				took := choice.IdleWait
				if ignores {
					took += v.engines["s"].QueueTime(20_000)
				}
				took = time.Duration(float64(took) * math.Exp(0.2*random.NormFloat64()))
				lastRatio = took.Seconds() / choice.Wait.Seconds()
				choice.RecordEvent(now.Add(took))
				choice.End(OutcomeServed, now.Add(took))
			}
			c.Check(lastRatio > 0.5 && lastRatio < 2, qt.IsTrue, qt.Commentf("took %.1f times as long as predicted", lastRatio))
			share := v.yields["s"].share()
			c.Check(share > 0.5, qt.Equals, ignores, qt.Commentf("share %.2f", share))
		})
	}
}

// TestUrgencyIsReportedClosely checks that no class is misreported by more than a fourteenth of the
// total, for all loads that occur, and that a report fits into two bytes.
func TestUrgencyIsReportedClosely(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		total := 1 + random.IntN(200_000)
		first := random.IntN(total + 1)
		load := Load{PendingTokens: total, Pending: LessUrgent{first, random.IntN(total - first + 1)}, Running: 1 + random.IntN(60)}
		load.Started = LessUrgent{random.IntN(load.Running + 1), load.Running}.within(load.Running)
		urgency := load.Urgency()
		c.Assert(urgency < 1<<14, qt.IsTrue)
		got := Load{Running: load.Running, PendingTokens: total}.WithUrgency(urgency)
		for i := range load.Pending {
			c.Assert(math.Abs(float64(got.Pending[i]-load.Pending[i])) <= float64(total)/shareUnits+1, qt.IsTrue, qt.Commentf("%+v as %+v", load, got))
			c.Assert(math.Abs(float64(got.Started[i]-load.Started[i])) <= float64(load.Running)/shareUnits+1, qt.IsTrue, qt.Commentf("%+v as %+v", load, got))
		}
		c.Assert(got.Pending.behind(0) <= total && got.Started.behind(0) <= load.Running, qt.IsTrue)
	}
	c.Check(Load{Running: 5, PendingTokens: 900}.Urgency(), qt.Equals, uint32(0), qt.Commentf("one rank costs no byte"))
	invalid := Load{Running: 5, PendingTokens: 900}.WithUrgency(math.MaxUint32)
	c.Check(invalid, qt.Equals, Load{Running: 5, PendingTokens: 900}, qt.Commentf("an invalid report counts as unknown"))
}

// TestDifferenceStaysWithinTotals guards against negative parts: a leader's sums hold rounded parts,
// from which a daemon subtracts its own exact ones.
func TestDifferenceStaysWithinTotals(t *testing.T) {
	c := qt.New(t)
	sum := Load{Running: 3, PendingTokens: 3000, Pending: LessUrgent{0, 2900}, Started: LessUrgent{1, 2}}
	rest := sum.Minus(Load{Running: 2, PendingTokens: 1000, Pending: LessUrgent{100, 0}, Started: LessUrgent{2, 0}})
	c.Check(rest, qt.Equals, Load{Running: 1, PendingTokens: 2000, Pending: LessUrgent{0, 2000}, Started: LessUrgent{0, 1}})
	older := sum.Minus(Load{Running: 5, PendingTokens: 4000})
	c.Check(older, qt.Equals, Load{Running: -2, PendingTokens: -1000})
}
