package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/advice"
)

// answerAfter makes one attempt at the only server of a service and returns the change of its limit.
func answerAfter(c *qt.C, v *View, at time.Time, took time.Duration, a advice.Advice) AdviceChange {
	choice, ok := v.Begin(Need{Service: "desk"}, at)
	c.Assert(ok, qt.IsTrue)
	answered := at.Add(took)
	change := choice.ApplyAdvice(a, answered)
	outcome := OutcomeServed
	if a.Declined {
		outcome = OutcomeFull
	}
	choice.End(outcome, answered)
	return change
}

func TestLimitOfABrittleServerFollowsItsCapacityAndItsDeclines(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v.Put(Entry{ID: "a", Service: "desk", Slots: 6}, now)
	answerAfter(c, v, now, 100*time.Millisecond, advice.Advice{})
	brittle := advice.Advice{Brittle: true}
	first := answerAfter(c, v, now.Add(time.Second), 100*time.Millisecond, brittle).After
	c.Check(first.Limited && first.Estimated, qt.IsTrue)
	full := brittleUtilization * 6 / 0.1
	c.Check(first.Rate, qt.Equals, full)

	declined := advice.Advice{Brittle: true, Declined: true}
	change := answerAfter(c, v, now.Add(3*time.Second), 0, declined)
	c.Check(change.After.Rate, qt.Equals, declineFactor*full)
	c.Check(change.After.IsUrgent(change.Before), qt.IsTrue)
	_, ok := v.Begin(Need{Service: "desk"}, now.Add(3*time.Second+brittleBackoff-time.Millisecond))
	c.Check(ok, qt.IsFalse, qt.Commentf("sent to a brittle server that has just declined"))

	raised := answerAfter(c, v, now.Add(5*time.Second), 100*time.Millisecond, brittle)
	c.Check(raised.After.Rate, qt.Equals, raiseFactor*declineFactor*full)
	c.Check(raised.After.IsUrgent(raised.Before), qt.IsFalse)
	for i := range 10 {
		raised = answerAfter(c, v, now.Add(time.Duration(7+2*i)*time.Second), 100*time.Millisecond, brittle)
	}
	c.Check(raised.After.Rate, qt.Equals, full)
	ended := answerAfter(c, v, now.Add(40*time.Second), 100*time.Millisecond, advice.Advice{})
	c.Check(ended.After.Limited, qt.IsFalse)
}

func TestLimitOfABrittleEngineFollowsItsMemory(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v.SetTraits(map[string]Traits{"llm": {CacheTokens: 100_000}})
	v.Put(Entry{ID: "a", Service: "llm", Slots: 128}, now)
	v.requestSizes["llm"] = requestSizes{}.withAnswer(2*time.Second, 10_000)
	v.mu.Lock()
	defer v.mu.Unlock()
	c.Check(v.estimatedCapacity(v.servers["a"]), qt.Equals, 5.0)
}
