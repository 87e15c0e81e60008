package admission

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/route"
)

// overload returns a state with a demand of the given multiple of the capacity, of which six tenths are
// least urgent, and with a full backlog.
func overload(multiple float64) State {
	total := 10 * multiple
	return State{
		Demand: demand.Load{Prefill: total}, Coverage: 1, Servers: 10, Target: 2 * time.Second, Backlog: time.Second,
		Parts: demand.Parts{
			ByClass:     demand.ByClass{{Prefill: 0.4 * total}, {}, {Prefill: 0.6 * total}},
			ByWorkspace: map[string]float64{"a": 0.5 * total, "b": 0.5 * total},
		},
	}
}

func newController() *Controller {
	c := NewController()
	c.SetServices(map[string]bool{"s": true, "one": false})
	return c
}

// run updates a level for a time with the same state.
func run(c *Controller, s State, from time.Time, d time.Duration) time.Time {
	for until := from.Add(d); from.Before(until); from = from.Add(400 * time.Millisecond) {
		c.Update("s", s, from)
	}
	return from
}

// TestServicesWithOneRankAreNotDecidedOn guards against any change at a service whose requests have one
// rank, and at a daemon that has just started.
func TestServicesWithOneRankAreNotDecidedOn(t *testing.T) {
	c := qt.New(t)
	controller := newController()
	run(controller, overload(3), epoch, 5*time.Second)
	_, ok := controller.Decide("one", Request{Class: 2, Draw: 0.99})
	c.Check(ok, qt.IsFalse)
	_, ok = controller.Decide("unknown", Request{Class: 2, Draw: 0.99})
	c.Check(ok, qt.IsFalse)
	verdict, ok := newController().Decide("s", Request{Class: 2, Draw: 0.99})
	c.Check(ok && verdict.Admitted, qt.IsTrue, qt.Commentf("a daemon that starts admits until it has sums"))
}

// TestLevelNeedsABacklog guards against refusals because of a wrong prediction while the servers keep
// up, and against a level that ignores servers that do not.
func TestLevelNeedsABacklog(t *testing.T) {
	c := qt.New(t)
	controller, state := newController(), overload(1.5)
	state.Backlog = 10 * time.Millisecond
	run(controller, state, epoch, 5*time.Second)
	c.Check(controller.Statuses()["s"].Binding, qt.IsFalse)
	controller, state = newController(), overload(0.8)
	run(controller, state, epoch, 5*time.Second)
	c.Check(controller.Statuses()["s"].Binding, qt.IsTrue)
	controller, state = newController(), overload(0.3)
	run(controller, state, epoch, 5*time.Second)
	c.Check(controller.Statuses()["s"].Binding, qt.IsFalse, qt.Commentf("some prompts that wait are no overload"))
}

// TestLateCallsDoNotMakeTheLevelBind guards against a wait that is computed for the few calls that are
// late in any case, at a service whose least urgent route is of class 1: they wait for almost all
// others.
func TestLateCallsDoNotMakeTheLevelBind(t *testing.T) {
	c := qt.New(t)
	state := overload(1.1)
	state.Parts.ByClass = demand.ByClass{{Prefill: 4}, {Prefill: 6.8}, {Prefill: 0.2}}
	state.Backlog = 100 * time.Millisecond
	c.Check(state.lastWait().Round(time.Millisecond), qt.Equals, 167*time.Millisecond, qt.Commentf("0.4 of the time goes to class 0"))
	controller := newController()
	run(controller, state, epoch, 5*time.Second)
	c.Check(controller.Statuses()["s"].Binding, qt.IsFalse)
}

// TestLevelMovesWithinBounds guards against a level that follows one wrong sum at once: a leader that
// starts may send sums that lack most of the demand, or count it twice.
func TestLevelMovesWithinBounds(t *testing.T) {
	c := qt.New(t)
	controller := newController()
	now := run(controller, overload(2), epoch, 8*time.Second)
	before := controller.Statuses()["s"].Share
	controller.Update("s", overload(50), now)
	after := controller.Statuses()["s"].Share
	c.Check(before-after <= fallRate*0.41 && after < before, qt.IsTrue, qt.Commentf("%.2f to %.2f", before, after))
	controller.Update("s", State{Coverage: 1, Servers: 10, Target: 2 * time.Second}, now.Add(400*time.Millisecond))
	c.Check(controller.Statuses()["s"].Share-after <= riseRate*0.41, qt.IsTrue)
}

// TestLevelSettles guards against oscillation: a level that acts on a backlog and a demand that are two
// seconds old must keep the backlog between an idle server and a lost target, for predictions that are
// a quarter too low or too high.
func TestLevelSettles(t *testing.T) {
	for _, predictionError := range []float64{0.75, 1, 1.25} {
		c := qt.New(t)
		controller, now := newController(), epoch
		state := overload(1.6 * predictionError)
		backlogs := []time.Duration{0, 0, 0, 0, 0, 0}
		backlog, least, most := 0.0, math.Inf(1), 0.0
		for i := range 150 {
			state.Backlog = backlogs[len(backlogs)-6]
			controller.Update("s", state, now)
			now = now.Add(400 * time.Millisecond)
			backlog = max(0, min(1.2, backlog+0.4*(1.6*controller.Statuses()["s"].Share-1)))
			backlogs = append(backlogs, time.Duration(backlog*float64(time.Second)))
			if i > 75 {
				least, most = min(least, backlog), max(most, backlog)
			}
		}
		c.Check(least > 0.05 && most < 1, qt.IsTrue, qt.Commentf("backlog of %.2f to %.2f s at a prediction of %.2f", least, most, predictionError))
	}
}

// TestPartsOfTheDeploymentDecideAlike guards against a part of a partition that takes its own demand
// for all, and thus sees no overload.
func TestPartsOfTheDeploymentDecideAlike(t *testing.T) {
	c := qt.New(t)
	whole, part, state := newController(), newController(), overload(2)
	run(whole, state, epoch, 5*time.Second)
	state.Coverage, state.Demand = 0.25, state.Demand.Scaled(0.25)
	for class := range state.Parts.ByClass {
		state.Parts.ByClass[class] = state.Parts.ByClass[class].Scaled(0.25)
	}
	run(part, state, epoch, 5*time.Second)
	c.Check(math.Abs(part.Statuses()["s"].Share-whole.Statuses()["s"].Share) < 1e-9, qt.IsTrue)
}

// TestUrgentCallsAreAdmittedIfRanksAreUnknown guards against a panic or a refusal of urgent calls while only daemons
// of an earlier version report demand.
func TestUrgentCallsAreAdmittedIfRanksAreUnknown(t *testing.T) {
	c := qt.New(t)
	controller, state := newController(), overload(2)
	state.Parts = demand.Parts{}
	run(controller, state, epoch, 5*time.Second)
	urgent, _ := controller.Decide("s", Request{Class: 0, Draw: 0.999})
	c.Check(urgent.Admitted, qt.IsTrue)
	other, _ := controller.Decide("s", Request{Class: 2, Draw: 0.999})
	c.Check(other.Admitted, qt.IsFalse)
}

// TestRetryAfter guards against callers that are told to come back at a time at which there is no
// capacity, or later than they wait, and against callers that all come back at once.
func TestRetryAfter(t *testing.T) {
	c := qt.New(t)
	controller := newController()
	now := run(controller, overload(3), epoch, 5*time.Second)
	refused := Request{Class: 2, Workspace: "a", Draw: 0.9, MaxRetryWait: time.Minute}
	during, _ := controller.Decide("s", refused)
	c.Check(during.Admitted, qt.IsFalse)
	c.Check(during.RetryAfter, qt.Equals, time.Duration(0), qt.Commentf("no time is known"))

	now = run(controller, overload(0.7), now, calmTime+400*time.Millisecond)
	told, _ := controller.Decide("s", refused)
	c.Assert(told.Admitted, qt.IsFalse)
	c.Check(told.RetryAfter >= minRetryAfter, qt.IsTrue)
	later := refused
	later.Draw = 0.999
	other, _ := controller.Decide("s", later)
	c.Check(other.RetryAfter > told.RetryAfter, qt.IsTrue, qt.Commentf("callers are spread"))
	impatient := refused
	impatient.MaxRetryWait = told.RetryAfter - time.Millisecond
	in, _ := controller.Decide("s", impatient)
	c.Check(in.RetryAfter, qt.Equals, time.Duration(0))
	state := overload(0.7)
	state.Backlog = 0
	run(controller, state, now, told.RetryAfter)
	refused.Retry = true
	back, _ := controller.Decide("s", refused)
	c.Check(back.Share >= retryShare, qt.IsTrue, qt.Commentf("share %.2f", back.Share))
}

// TestAllocate checks that any division by urgency admits what the level says, keeps the floor and
// admits no class less often than a less urgent one.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var mix classVector
		total := 0.0
		for class := range mix {
			mix[class] = rapid.Float64Range(0, 1).Draw(t, "mix")
			total += mix[class]
		}
		if total == 0 {
			t.Skip("no demand")
		}
		for class := range mix {
			mix[class] /= total
		}
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		shares, admitted := allocate(mix, share), 0.0
		for class := range mix {
			admitted += mix[class] * shares[class]
			if shares[class] < min(floorShare, floorOfLevel*share)-1e-9 || shares[class] > 1+1e-9 {
				t.Fatalf("%v of %v at %.3f", shares, mix, share)
			}
			if class > 0 && shares[class] > shares[class-1]+1e-9 {
				t.Fatalf("class %d goes first: %v", class, shares)
			}
		}
		if math.Abs(admitted-share) > 1e-9 {
			t.Fatalf("%.4f admitted instead of %.4f", admitted, share)
		}
	})
}

// TestDivideClass checks that any division among workspaces admits what the class may get, keeps the
// floor, and is max-min: a workspace that gets less than it asks for gets no less per weight than
// another one that is above its floor.
func TestDivideClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := make([]workspaceDemand, rapid.IntRange(1, 20).Draw(t, "workspaces"))
		for i := range demands {
			demands[i].weight = rapid.Float64Range(0.1, 10).Draw(t, "weight")
			for class := range demands[i].engines {
				demands[i].engines[class] = rapid.Float64Range(0, 1).Draw(t, "engines")
			}
		}
		for class := range route.RankClasses {
			share := rapid.Float64Range(0.05, 1).Draw(t, "share")
			divideClass(demands, class, share)
			asked, admitted, fair := 0.0, 0.0, 0.0
			for _, d := range demands {
				asked += d.engines[class]
				admitted += d.engines[class] * d.shares[class]
				if d.shares[class] < workspaceFloor*share-1e-6 || d.shares[class] > 1+1e-9 {
					t.Fatalf("%+v at %.3f", d, share)
				}
				if d.engines[class] > 0 && d.shares[class] > workspaceFloor*share+1e-6 {
					fair = max(fair, d.granted/d.weight)
				}
			}
			if math.Abs(admitted-share*asked) > 1e-6*(1+asked) {
				t.Fatalf("%.6f admitted instead of %.6f", admitted, share*asked)
			}
			for _, d := range demands {
				if d.engines[class] > 0 && d.shares[class] < 1-1e-6 && d.granted/d.weight < fair-1e-5 {
					t.Fatalf("%+v gets less than %.6f per weight", d, fair)
				}
			}
		}
	})
}

// BenchmarkDecide measures a decision.
func BenchmarkDecide(b *testing.B) {
	controller := newController()
	run(controller, overload(2), epoch, 5*time.Second)
	for b.Loop() {
		controller.Decide("s", Request{Class: 2, Workspace: "a", Draw: 0.9, MaxRetryWait: time.Second})
	}
}

// BenchmarkUpdate measures an update with 16 workspaces.
func BenchmarkUpdate(b *testing.B) {
	controller, state := newController(), overload(2)
	for i := range 16 {
		state.Parts.ByWorkspace[string(rune('c'+i))] = float64(i)
	}
	now := run(controller, state, epoch, 5*time.Second)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		controller.Update("s", state, now)
	}
}
