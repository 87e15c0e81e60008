package request

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

var allSteps = []Step{StepDispatch, StepNotSent, StepDeclined, StepLost, StepToken, StepAnswer, StepGiveUp, StepCancel, StepHandOver}

// TestLifeKeepsPromises drives the state machine by random steps and compares
// it with the plain meaning of the promises.
func TestLifeKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		life := NewLifecycle(idempotent)
		reached := 0 // attempts that may have reached a backend server
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			step := rapid.SampledFrom(allSteps).Draw(t, "step")
			before := life.State()
			err := life.Apply(step)
			if err != nil {
				if life.State() != before {
					t.Fatalf("refused step %s changed %s to %s", step, before, life.State())
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
			if life.Outcome() == OutcomeNotRun && reached > 0 {
				t.Fatalf("told not-run after %v", life.History())
			}
			if life.State() == StateFailed && !idempotent && reached > 0 {
				t.Fatalf("told failed though it may have run: %v", life.History())
			}
		}
	})
}

func TestNonIdempotentIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	life := NewLifecycle(false)
	for _, step := range []Step{StepDispatch, StepNotSent, StepDispatch, StepLost} {
		c.Assert(life.Apply(step), qt.IsNil)
	}
	c.Check(errors.Is(life.Apply(StepDispatch), ErrMayHaveRun), qt.IsTrue)
	c.Assert(life.Apply(StepGiveUp), qt.IsNil)
	c.Check(life.Outcome(), qt.Equals, OutcomeUnknown)
	c.Check(errors.Is(life.Apply(StepAnswer), ErrInvariant), qt.IsTrue)
}
