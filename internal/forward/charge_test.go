package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetryAfterOnlyInTime guards against inviting callers to a retry for which they do not wait, or that comes too
// late for them.
func TestRetryAfterOnlyInTime(t *testing.T) {
	c := qt.New(t)
	c.Check(retryAfterInTime(900*time.Millisecond, 3*time.Second), qt.Equals, 900*time.Millisecond)
	c.Check(retryAfterInTime(1100*time.Millisecond, 3*time.Second), qt.Equals, time.Duration(0))
	c.Check(retryAfterInTime(time.Millisecond, -time.Second), qt.Equals, time.Duration(0))
	c.Check(retryAfterInTime(0, time.Second), qt.Equals, time.Duration(0))
}
