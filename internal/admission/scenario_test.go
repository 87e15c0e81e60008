package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// quarter is the part of the share of all calls that every route and workspace gets.
const quarter = 0.25

// checkFloors checks that no route or workspace starves, that urgent calls are served first, and that
// most callers that are told to try again are served then.
func checkFloors(c *qt.C, w *world) {
	all := w.all.share()
	c.Check(w.byClass[0].share() >= w.least().share(), qt.IsTrue, qt.Commentf("%.2f of the urgent calls, %.2f of the others", w.byClass[0].share(), w.least().share()))
	c.Check(w.least().share() >= quarter*all, qt.IsTrue, qt.Commentf("%.2f of the least urgent route, %.2f of all", w.least().share(), all))
	c.Check(w.told.asked < 10 || w.told.share() >= 0.5, qt.IsTrue, qt.Commentf("%.2f of %.0f callers that were told to try again were served", w.told.share(), w.told.asked))
	for i, t := range w.byWorkspace {
		c.Check(t.share() >= quarter*all, qt.IsTrue, qt.Commentf("%.2f of workspace %d, %.2f of all", t.share(), i, all))
	}
}

// calm returns the tally of all workspaces that send their usual demand.
func (w *world) calm() tally {
	var sum tally
	for _, t := range w.byWorkspace[1:] {
		sum.asked += t.asked
		sum.served += t.served
	}
	return sum
}

// least returns the tally of the least urgent route.
func (w *world) least() tally { return w.byClass[w.kinds[len(w.kinds)-1].class] }

func (w *world) log(t *testing.T) {
	t.Logf("in time: %.2f of all, %.2f urgent, %.2f not, %.2f hot, %.2f calm, worth %.2f; %.3f late; %d refusals, %d outside of the burst; %.0f told to retry, %.2f served",
		w.all.share(), w.byClass[0].share(), w.least().share(), w.byWorkspace[0].share(), w.calm().share(), w.worth/w.worthAsked, w.late.share(), w.refused, w.refusedCalm, w.told.asked, w.told.share())
}

// TestUrgentCallsAreServedFirst plays bursts to 1.1 to 2 times the capacity in deployments of all sizes.
// It guards against urgent calls that are refused or late for others, against routes and workspaces
// that starve, and against capacity that is left idle or spent on late answers.
func TestUrgentCallsAreServedFirst(t *testing.T) {
	bursts := map[string]scenario{"hot workspace": {hot: 6.6, long: 1}, "less urgent burst": {hot: 1, long: 4}, "both": {hot: 6.6, long: 2.4}}
	for _, daemons := range []int{8, 67, 300} {
		for name, s := range bursts {
			if daemons > 67 && name != "both" {
				continue
			}
			t.Run(fmt.Sprint(name, " ", daemons), func(t *testing.T) {
				c := qt.New(t)
				s.daemons = daemons
				w := play(s)
				w.log(t)
				checkFloors(c, w)
				c.Check(w.byClass[0].share() >= 0.97, qt.IsTrue)
				if s.hot > 1 {
					c.Check(w.calm().share() >= w.byWorkspace[0].share()-0.01, qt.IsTrue)
				}
				c.Check(w.worth/w.worthAsked >= 0.7, qt.IsTrue)
				c.Check(w.late.share() <= 0.03, qt.IsTrue)
			})
		}
	}
}

// TestFloodOfUrgentCalls guards against a workspace that crowds others out with urgent calls alone: 25
// times its usual demand is 2.5 times what the servers can do.
func TestFloodOfUrgentCalls(t *testing.T) {
	c := qt.New(t)
	s := scenario{daemons: 67, hot: 25, long: 1}
	w := play(s)
	w.log(t)
	checkFloors(c, w)
	c.Check(w.calm().share() >= 0.75, qt.IsTrue)
	s.uncontrolled = true
	without := play(s)
	without.log(t)
	c.Check(without.calm().share() < 0.65 && without.byClass[2].share() < 0.05, qt.IsTrue, qt.Commentf("the test shows what the level is for"))
}

// TestLevelInTrouble guards against worse decisions than without a level while the sums are old, half
// of the daemons have just restarted, are in another part of a partition, or are of an earlier version.
func TestLevelInTrouble(t *testing.T) {
	for name, s := range map[string]scenario{
		"old sums":          {sumsAge: 2 * time.Second},
		"half restarted":    {restartAt: 10 * time.Second},
		"partition":         {partitionedAt: 6 * time.Second},
		"partition midway":  {partitionedAt: 10 * time.Second},
		"half not upgraded": {old: 0.5},
		"unknown retries":   {unrecognized: true},
		"little time":       {kinds: tightStreams},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s.daemons, s.hot, s.long = 67, 6.6, 2.4
			w := play(s)
			w.log(t)
			checkFloors(c, w)
			c.Check(w.byClass[0].share() >= 0.95, qt.IsTrue)
			s.uncontrolled = true
			without := play(s)
			without.log(t)
			c.Check(w.worth/w.worthAsked >= without.worth/without.worthAsked-0.05, qt.IsTrue)
		})
	}
}

// TestNothingIsRefusedWithoutOverload guards against a level that binds at the usual demand, or at a
// burst that the servers can take.
func TestNothingIsRefusedWithoutOverload(t *testing.T) {
	for _, s := range []scenario{{daemons: 67, hot: 1, long: 1}, {daemons: 67, hot: 3, long: 1}, {daemons: 8, hot: 1, long: 1.5, sumsAge: 2 * time.Second}, {daemons: 88, hot: 2, long: 1, kinds: tightStreams}} {
		w := play(s)
		w.log(t)
		qt.Check(t, w.refused, qt.Equals, 0)
	}
}
