package request

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

var allSteps = []Step{StepDispatch, StepNotSent, StepDeclined, StepLost, StepToken, StepAnswer, StepGiveUp, StepCancel, StepHandOver, StepStop, StepNotStopped, StepStopped, StepContinue}

// TestLifeKeepsPromises applies random steps and compares the state machine with a direct model of
// its guarantees. It guards against repeated runs of non-idempotent requests and against outcomes
// that the attempts do not prove.
func TestLifeKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		lifecycle := NewLifecycle(idempotent)
		reached := 0 // attempts that may have reached a backend server
		// stopped is true while no server can be at work on the run, continuing while the attempt in
		// flight continues it.
		stopped, continuing := false, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			step := rapid.SampledFrom(allSteps).Draw(t, "step")
			before := lifecycle.State()
			err := lifecycle.Apply(step)
			if err != nil {
				if lifecycle.State() != before {
					t.Fatalf("invalid step %s changed %s to %s", step, before, lifecycle.State())
				}
				continue
			}
			if before.Final() {
				t.Fatalf("step %s left the final state %s", step, before)
			}
			switch step {
			case StepDispatch:
				if !idempotent && reached > 0 {
					t.Fatal("non-idempotent request dispatched after an attempt that may have run")
				}
				reached++
				stopped, continuing = false, false
			case StepNotSent, StepDeclined:
				if !continuing {
					reached--
				}
				stopped = continuing
			case StepStopped:
				stopped = true
			case StepContinue:
				if !stopped {
					t.Fatalf("run continued while its server may be at work on it: %v", lifecycle.History())
				}
				stopped, continuing = false, true
			case StepHandOver:
				if !idempotent && reached > 0 {
					t.Fatal("non-idempotent request handed over after an attempt that may have run")
				}
			}
			if lifecycle.Outcome() == OutcomeNotRun && reached > 0 {
				t.Fatalf("outcome not-run although an attempt may have run: %v", lifecycle.History())
			}
			if lifecycle.State() == StateFailed && !idempotent && reached > 0 {
				t.Fatalf("state failed although an attempt may have run: %v", lifecycle.History())
			}
		}
	})
}

// TestRunIsContinuedOnlyOnceStopped guards against two servers at work on one run, against a third
// server that is asked to continue it, and against a second run after a continuation that is lost.
func TestRunIsContinuedOnlyOnceStopped(t *testing.T) {
	c := qt.New(t)
	lifecycle := NewLifecycle(false)
	refused := func(step Step) {
		c.Check(errors.Is(lifecycle.Apply(step), ErrInvariant), qt.IsTrue, qt.Commentf("%s", step))
	}
	apply := func(steps ...Step) {
		for _, step := range steps {
			c.Assert(lifecycle.Apply(step), qt.IsNil, qt.Commentf("%s", step))
		}
	}
	apply(StepDispatch)
	refused(StepStop)
	apply(StepToken, StepStop, StepToken)
	refused(StepContinue)
	apply(StepStopped, StepContinue, StepDeclined)
	c.Check(lifecycle.Outcome(), qt.Equals, OutcomeUnknown)
	apply(StepContinue, StepNotSent)
	refused(StepContinue)
	apply(StepLost)
	c.Check(errors.Is(lifecycle.Apply(StepDispatch), ErrMayHaveRun), qt.IsTrue)
	c.Check(lifecycle.Attempts(), qt.Equals, 1)
}

func TestNonIdempotentIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	lifecycle := NewLifecycle(false)
	for _, step := range []Step{StepDispatch, StepNotSent, StepDispatch, StepLost} {
		c.Assert(lifecycle.Apply(step), qt.IsNil)
	}
	c.Check(errors.Is(lifecycle.Apply(StepDispatch), ErrMayHaveRun), qt.IsTrue)
	c.Assert(lifecycle.Apply(StepGiveUp), qt.IsNil)
	c.Check(lifecycle.Outcome(), qt.Equals, OutcomeUnknown)
	c.Check(errors.Is(lifecycle.Apply(StepAnswer), ErrInvariant), qt.IsTrue)
}
