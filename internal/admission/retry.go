package admission

import "time"

const (
	// retryShare is the admitted share below which a retry is refused, and retryOfferShare the one from which
	// on a caller is asked to try again. The distance keeps a caller from being asked back and then refused
	// because the share has changed a little.
	retryShare      = 0.5
	retryOfferShare = 0.7
	// calmTime is how long the demand must be below the capacity before callers are asked to retry.
	// After daemons have restarted, the measured demand is too low for about as long.
	calmTime = time.Second
	// minRetryAfter is the time after which the level may have changed: the sums arrive every 400 ms.
	// Callers are spread over retrySpread beyond it, so that they do not return at once.
	minRetryAfter = 300 * time.Millisecond
	retrySpread   = 400 * time.Millisecond
)

// retryAfter returns when a refused caller should try again, or zero if its retry would probably be in
// vain: while callers ask for more than the servers can do, no time is known at which there will be
// capacity. Once they ask for less, the level rises at riseRate.
func (l *level) retryAfter(r Request, share float64) time.Duration {
	if l.utilization >= bindUtilization || l.updatedAt.Sub(l.overloadedAt) < calmTime {
		return 0
	}
	wait := max(minRetryAfter, time.Duration((retryOfferShare-share)/riseRate*float64(time.Second)))
	// The draws of refused callers lie between share and one.
	wait += time.Duration((r.Draw - share) / (1 - share) * float64(retrySpread))
	if wait > r.MaxRetryWait {
		return 0
	}
	return wait
}
