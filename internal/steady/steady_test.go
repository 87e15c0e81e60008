package steady

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspensionsAddUp checks that the result grows with each suspension, and that small
// differences between two readings and a reading that was delayed change nothing.
func TestSuspensionsAddUp(t *testing.T) {
	c := qt.New(t)
	var longest atomic.Int64
	for _, step := range []struct{ reading, want time.Duration }{
		{0, 0}, {300, 0}, {-40 * time.Millisecond, 0}, {5 * time.Second, 5 * time.Second},
		{5*time.Second + 800, 5 * time.Second}, {4 * time.Second, 5 * time.Second}, {9 * time.Second, 9 * time.Second},
	} {
		c.Check(raiseTo(&longest, step.reading), qt.Equals, step.want)
	}
}

// TestRunningMachineIsNotSuspended checks that no suspension is reported on the machine
// that runs the test.
func TestRunningMachineIsNotSuspended(t *testing.T) {
	qt.New(t).Check(Suspended(), qt.Equals, time.Duration(0))
}
