// Package steady is a clock that goes on while the VM is suspended. The monotonic clock behind
// time.Now stands still then, so that by it a lease that has lapsed meanwhile still runs. It never
// goes back and does not follow steps of the time of day.
package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that counts: below, it is the time between two readings of
// the clocks.
const minSuspension = 10 * time.Millisecond

var (
	// initialOffset is how far the clocks were apart when the process started.
	initialOffset = clockOffset()
	// maxOffset is the longest that they have been seen apart since, in nanoseconds.
	maxOffset atomic.Int64
)

// Now returns the time by this clock. It compares with times of this clock alone.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Suspended returns how long the VM has been suspended since the process started.
func Suspended() time.Duration {
	return raiseTo(&maxOffset, clockOffset()-initialOffset)
}

// raiseTo takes over a reading and returns the longest one. The clock that stands still is read
// last, so that a pause between the readings never looks like a suspension.
func raiseTo(longest *atomic.Int64, reading time.Duration) time.Duration {
	for {
		known := longest.Load()
		if reading-time.Duration(known) < minSuspension {
			return time.Duration(known)
		}
		if longest.CompareAndSwap(known, int64(reading)) {
			return reading
		}
	}
}

// clockOffset returns how far the clock that counts suspensions is ahead of the one that does not.
func clockOffset() time.Duration {
	counts := read(unix.CLOCK_BOOTTIME)
	return counts - monotonic()
}

// monotonic reads the clock behind time.Now.
var monotonic = func() time.Duration { return read(unix.CLOCK_MONOTONIC) }

// read reads a clock. One that cannot be read shows nothing, for good.
func read(clock int32) time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(clock, &at); err != nil {
		return 0
	}
	return time.Duration(at.Nano())
}
