// Package steady provides a monotonic clock that continues while the VM is suspended. The
// monotonic clock behind time.Now stops during a suspension, so a lease that has expired
// in the meantime would still seem valid. The clock of this package never goes back and
// does not follow changes of the wall clock.
package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is counted. Smaller differences can come
// from the time between the two clock readings.
const minSuspension = 10 * time.Millisecond

var (
	// initialOffset is the clock offset when the process started.
	initialOffset = clockOffset()
	// maxOffset is the largest increase of the clock offset since then, in nanoseconds.
	maxOffset atomic.Int64
)

// Now returns the current time. It is only comparable with other times from this clock.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Suspended returns how long the VM has been suspended since the process started.
func Suspended() time.Duration {
	return raiseTo(&maxOffset, clockOffset()-initialOffset)
}

// raiseTo stores a reading if it exceeds the longest one so far by minSuspension, and
// returns the longest one. The clock that stops during suspensions must be read last, so
// that a pause between the two readings never looks like a suspension.
func raiseTo(longest *atomic.Int64, reading time.Duration) time.Duration {
	for {
		current := longest.Load()
		if reading-time.Duration(current) < minSuspension {
			return time.Duration(current)
		}
		if longest.CompareAndSwap(current, int64(reading)) {
			return reading
		}
	}
}

// clockOffset returns how far CLOCK_BOOTTIME, which includes suspensions, is ahead of the
// monotonic clock, which does not.
func clockOffset() time.Duration {
	bootTime := read(unix.CLOCK_BOOTTIME)
	return bootTime - monotonic()
}

// monotonic reads the clock behind time.Now.
var monotonic = func() time.Duration { return read(unix.CLOCK_MONOTONIC) }

// read returns the time of a clock, or zero if the clock is unavailable. An unavailable
// clock stays so, and then no suspension is reported.
func read(clock int32) time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(clock, &at); err != nil {
		return 0
	}
	return time.Duration(at.Nano())
}
