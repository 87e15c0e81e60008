// Package rollout decides how the traffic of a service moves to servers of another version:
// which versions may be used at all, how much a version gets before it is known to be sound,
// when it is bad, and what is written down about it. It does no I/O; the time is passed in,
// from a clock that only moves forward.
//
// While a roll-out runs there are two versions: the stable one, and the candidate that the
// operator asks for. Each daemon sends the candidate a small share of its own requests and
// counts how its answers were. The counts travel with the other sums, so that every daemon
// compares both versions over the whole deployment and stops at once when the candidate is
// worse. The holder of the lease alone moves on from the share to all requests, and writes
// the outcome.
package rollout

import "time"

// State is how far a roll-out is, as the store has it.
type State int

// The states of a roll-out.
const (
	// StateNew: nothing is written about the order yet.
	StateNew State = iota
	StateRunning
	StateCompleted
	StateRolledBack
	// StateWithdrawn: the operator has removed the order.
	StateWithdrawn
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"new", "running", "completed", "rolled back", "withdrawn"}[s]
}

// Ended reports whether nothing is to be decided any more.
func (s State) Ended() bool { return s >= StateCompleted }

// Order asks for the traffic of a service to move to servers of a version.
type Order struct {
	Service string
	Version string
	// Duration is the time within which the roll-out has to end.
	Duration time.Duration
	// Created and Revision are the store's revisions of the order's creation and of its last
	// change.
	Created, Revision int64
	// State is what stands in the store about this version.
	State State
}

// same reports whether two words are about one order: an order for another version, or one
// that was made anew, is another.
func (o Order) same(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Created == other.Created
}

// Bounds are what the operator allows for a bad version.
type Bounds struct {
	// Share is the largest share, of all requests that reach the service between the order
	// and its time limit, that a bad version may get, and Slack a number of requests besides.
	Share float64
	Slack int
	// Stop is how long after the 50th bad answer of a bad version the last request may be
	// sent to it.
	Stop time.Duration
}

// Enabled reports whether roll-outs are allowed at all.
func (b Bounds) Enabled() bool { return b.Share > 0 && b.Stop > 0 }

// Step is what the holder of the lease asks all daemons to do.
type Step struct {
	// Share is the share of all requests that go to the candidate, or zero for the share that
	// each daemon keeps by itself.
	Share float64
	// Fence is the fencing number of the holder that asks; a later holder's word replaces an
	// earlier one's.
	Fence int64
	// Serial orders the words of one holder.
	Serial int64
}

// newer reports whether a step replaces another one.
func (s Step) newer(other Step) bool {
	return s.Fence > other.Fence || (s.Fence == other.Fence && s.Serial > other.Serial)
}

// OrderStatus is what daemons tell each other about one order.
type OrderStatus struct {
	Order
	// Stable is the version that the service had before.
	Stable string
	// Age is how long the order has been known.
	Age time.Duration
	// Halted is set once a daemon has found the version to be bad.
	Halted bool
	Step   Step
}
