package request

import (
	"errors"
	"fmt"
)

// State is the state of an accepted request.
type State string

// The states. Answered, Failed, Unknown, Cancelled and HandedOver are final.
const (
	// StateAccepted means that the request was admitted and no attempt is in flight.
	StateAccepted State = "accepted"
	// StateDispatched means that an attempt is being sent or is running.
	StateDispatched State = "dispatched"
	// StateStreaming means that a part of the answer has arrived.
	StateStreaming State = "streaming"
	// StateStopping means that the server was asked to stop the run, so that another server can continue
	// it, and that it is not known whether it has.
	StateStopping State = "stopping"
	// StateStopped means that the run has stopped at its server and that no server works on it.
	StateStopped   State = "stopped"
	StateAnswered  State = "answered"
	StateFailed    State = "failed"
	StateUnknown   State = "unknown"
	StateCancelled State = "cancelled"
	// StateHandedOver means that another daemon now owns the request.
	StateHandedOver State = "handed-over"
)

// Final reports whether the state has no successor.
func (s State) Final() bool {
	switch s {
	case StateAnswered, StateFailed, StateUnknown, StateCancelled, StateHandedOver:
		return true
	}
	return false
}

// Errors of the state machine.
var (
	// ErrMayHaveRun means that a non-idempotent request must not be sent again, because an earlier
	// attempt may have run.
	ErrMayHaveRun = errors.New("an earlier attempt may have run")
	// ErrInvariant means that a step is not valid in the current state. It indicates a programming
	// error.
	ErrInvariant = errors.New("request invariant violated")
)

// Step is an event in the lifecycle of a request.
type Step string

// The steps.
const (
	StepDispatch Step = "dispatch"
	// StepNotSent: the attempt has provably not reached a backend server.
	StepNotSent Step = "not-sent"
	// StepDeclined: the backend server reported that it did not run the request.
	StepDeclined Step = "declined"
	// StepLost: the attempt may have run, but its answer is lost.
	StepLost   Step = "lost"
	StepToken  Step = "token"
	StepAnswer Step = "answer"
	StepGiveUp Step = "give-up"
	StepCancel Step = "cancel"
	// StepHandOver transfers the right to dispatch to another daemon.
	StepHandOver Step = "hand-over"
	// StepStop: the server is asked to stop the run. Only a run that has streamed can be stopped.
	StepStop Step = "stop"
	// StepNotStopped: the server stated that it has not stopped the run.
	StepNotStopped Step = "not-stopped"
	// StepStopped: the stream of a run that was asked to stop has ended before its last event.
	StepStopped Step = "stopped"
	// StepContinue: a server is asked to continue the stopped run from a copy of its memory.
	StepContinue Step = "continue"
)

// Lifecycle is the state machine of one accepted request. It is not safe for concurrent use.
type Lifecycle struct {
	idempotent bool
	state      State
	attempts   int
	// mayHaveRun is true if an attempt may have reached a backend server.
	mayHaveRun bool
	// continuing is true while the attempt in flight continues a stopped run. continuations counts the
	// attempts to continue it since it stopped.
	continuing    bool
	continuations int
	history       []Step
}

// maxContinuations limits the servers that are asked to continue a stopped run: the one that holds the
// copy and, if that one declines, the one that has stopped.
const maxContinuations = 2

// maxHistory limits the recorded steps. Consecutive token steps are recorded once, and StepLost is
// recorded even beyond the limit.
const maxHistory = 64

// NewLifecycle returns the lifecycle of a request that has just been accepted.
func NewLifecycle(idempotent bool) *Lifecycle {
	return &Lifecycle{idempotent: idempotent, state: StateAccepted}
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// Attempts returns the number of attempts started.
func (l *Lifecycle) Attempts() int { return l.attempts }

// History returns the recorded steps.
func (l *Lifecycle) History() []Step { return l.history }

// MayDispatch returns nil if another attempt may be started. Otherwise it returns ErrMayHaveRun or
// an error that wraps ErrInvariant.
func (l *Lifecycle) MayDispatch() error {
	if l.state != StateAccepted {
		return l.invariantError(StepDispatch)
	}
	if l.mayHaveRun && !l.idempotent {
		return ErrMayHaveRun
	}
	return nil
}

// MayContinue reports whether a server may be asked to continue the stopped run.
func (l *Lifecycle) MayContinue() bool {
	return l.state == StateStopped && l.continuations < maxContinuations
}

// Apply performs a step. It returns ErrMayHaveRun if a dispatch or hand-over is not allowed because
// an earlier attempt may have run, and an error that wraps ErrInvariant if the step is not valid in
// the current state. The state does not change if an error is returned.
func (l *Lifecycle) Apply(step Step) error {
	next, err := l.nextState(step)
	if err != nil {
		return err
	}
	switch step {
	case StepDispatch:
		l.attempts++
		l.mayHaveRun, l.continuing = true, false
	case StepStopped:
		l.continuations = 0
	case StepContinue:
		l.continuations++
		l.continuing = true
	case StepNotSent, StepDeclined:
		l.mayHaveRun = l.continuing || l.earlierAttemptLost()
	}
	l.state = next
	l.recordStep(step)
	return nil
}

// earlierAttemptLost reports whether an attempt before the current one may have run. Every such
// attempt ended in StepLost.
func (l *Lifecycle) earlierAttemptLost() bool {
	for _, step := range l.history {
		if step == StepLost {
			return true
		}
	}
	return false
}

func (l *Lifecycle) recordStep(step Step) {
	if step == StepToken && len(l.history) > 0 && l.history[len(l.history)-1] == StepToken {
		return
	}
	if len(l.history) < maxHistory || step == StepLost {
		l.history = append(l.history, step)
	}
}

func (l *Lifecycle) nextState(step Step) (State, error) {
	running := l.state == StateDispatched || l.state == StateStreaming || l.state == StateStopping
	switch {
	case step == StepDispatch:
		return StateDispatched, l.MayDispatch()
	case l.state.Final():
	case step == StepCancel:
		return StateCancelled, nil
	case step == StepHandOver && l.state == StateAccepted:
		return StateHandedOver, l.MayDispatch()
	case step == StepGiveUp && (l.state == StateAccepted || l.state == StateStopped):
		return l.stateAfterGiveUp(), nil
	case (step == StepNotSent || step == StepDeclined) && l.state == StateDispatched:
		return l.stateAfterNoRun(), nil
	case step == StepLost && (running || l.state == StateStopped):
		return StateAccepted, nil
	case step == StepToken && l.state == StateStopping:
		return StateStopping, nil
	case step == StepToken && running:
		return StateStreaming, nil
	case step == StepAnswer && running:
		return StateAnswered, nil
	}
	return l.nextMoveState(step)
}

// nextMoveState is nextState for the steps by which a run is moved to another server.
func (l *Lifecycle) nextMoveState(step Step) (State, error) {
	switch {
	case step == StepStop && l.state == StateStreaming:
		return StateStopping, nil
	case step == StepNotStopped && l.state == StateStopping:
		return StateStreaming, nil
	case step == StepStopped && l.state == StateStopping:
		return StateStopped, nil
	case step == StepContinue && l.MayContinue():
		return StateDispatched, nil
	}
	return l.state, l.invariantError(step)
}

// stateAfterNoRun returns the state after an attempt that has not run. A stopped run stays stopped.
func (l *Lifecycle) stateAfterNoRun() State {
	if l.continuing {
		return StateStopped
	}
	return StateAccepted
}

// stateAfterGiveUp returns the final state when no further attempt is made.
func (l *Lifecycle) stateAfterGiveUp() State {
	if l.mayHaveRun && !l.idempotent {
		return StateUnknown
	}
	return StateFailed
}

func (l *Lifecycle) invariantError(step Step) error {
	return fmt.Errorf("%w: step %s in state %s after %v", ErrInvariant, step, l.state, l.history)
}

// Outcome returns the outcome that may be reported to the caller in the current state.
func (l *Lifecycle) Outcome() Outcome {
	switch {
	case l.state == StateAnswered:
		return OutcomeOK
	case !l.mayHaveRun:
		return OutcomeNotRun
	case l.idempotent && l.state == StateFailed:
		return OutcomeFailed
	}
	return OutcomeUnknown
}
