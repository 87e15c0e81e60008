package request

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

var allSteps = []Step{StepDispatch, StepNotSent, StepDeclined, StepLost, StepToken, StepAnswer, StepGiveUp, StepCancel, StepHandOver}

// TestLifeKeepsPromises applies random steps and compares the state machine with a direct model of
// its guarantees. It guards against repeated runs of non-idempotent requests and against outcomes
// that the attempts do not prove.
func TestLifeKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		lifecycle := NewLifecycle(idempotent)
		reached := 0 // attempts that may have reached a backend server
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
			case StepNotSent, StepDeclined:
				reached--
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
