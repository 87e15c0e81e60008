// Package rollout decides how the traffic of a service moves to servers of another version:
// which versions may be used, how many requests a version gets before it is known to be sound,
// when it is bad, and which state is written to the store. It does no I/O; the time is passed
// in, from a monotonic clock.
//
// During a roll-out a service has two versions: the stable one, and the candidate that the
// operator requested. In the trial, each daemon sends the candidate a small share of its own
// requests and counts the answers. The counts are exchanged with the other gossip sums, so that
// every daemon compares both versions over the whole deployment and stops using the candidate
// at once when it is worse. In the shift that follows, the lease holder raises the share step
// by step to all requests. Only the lease holder writes the outcome.
package rollout

import "time"

// State is the state of a roll-out in the store.
type State int

// The states of a roll-out.
const (
	// StateNew means that no state has been written for the order yet.
	StateNew State = iota
	StateRunning
	StateCompleted
	StateRolledBack
	// StateWithdrawn means that the operator has removed the order.
	StateWithdrawn
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"new", "running", "completed", "rolled back", "withdrawn"}[s]
}

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= StateCompleted }

// Order requests that the traffic of a service move to servers of a version.
type Order struct {
	Service string
	Version string
	// Duration is the time within which the roll-out has to end.
	Duration time.Duration
	// Created and Revision are the store's revisions of the order's creation and of its last
	// change.
	Created, Revision int64
	// State is the state stored for this version.
	State State
}

// same reports whether both are the same order. An order for another version, or one that was
// deleted and created again, is a different one.
func (o Order) same(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Created == other.Created
}

// Bounds limit how many requests a bad version may get. The operator sets them.
type Bounds struct {
	// Share is the largest share that a bad version may get of all requests for the service
	// between the order and its time limit. Slack is a number of requests allowed in addition.
	Share float64
	Slack int
	// Stop is the time after the 50th bad answer within which requests to a bad version must
	// stop.
	Stop time.Duration
}

// Enabled reports whether roll-outs are allowed.
func (b Bounds) Enabled() bool { return b.Share > 0 && b.Stop > 0 }

// Step is the share that the lease holder requests from all daemons.
type Step struct {
	// Share is the share of all requests that go to the candidate. With zero each daemon uses
	// its own trial share.
	Share float64
	// Fence is the fencing number of the lease holder. A step with a higher number replaces one
	// with a lower number.
	Fence int64
	// Serial orders the steps of one lease holder.
	Serial int64
}

// newer reports whether the step replaces another one.
func (s Step) newer(other Step) bool {
	return s.Fence > other.Fence || (s.Fence == other.Fence && s.Serial > other.Serial)
}

// OrderStatus is what daemons report to each other about one order.
type OrderStatus struct {
	Order
	// Stable is the stable version of the service.
	Stable string
	// Age is how long the order has been known.
	Age time.Duration
	// Halted is set once a daemon has found the version to be bad.
	Halted bool
	Step   Step
}
