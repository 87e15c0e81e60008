package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/retrybudget"
	"github.com/plankridge/plankridge/internal/steady"
)

// NewRetries returns the share of the retry budgets that the limits set. It has no extra retries until the
// number of daemons is set.
func NewRetries(limits config.RequestLimits) *retrybudget.Share {
	return retrybudget.NewShare(retrybudget.Bounds{
		RetryRatio: limits.RetryRatio, ExtraRetries: limits.ExtraRetries, Window: limits.RetryWindow.Std(),
	}, steady.Now(), rand.Float64)
}

// attemptCharge is what an attempt has taken from the retry budget of its service.
type attemptCharge struct {
	// retry is set if the attempt counts as a retry, by which charge was taken.
	retry  bool
	charge retrybudget.Charge
}

// retryHistory is what the attempts of a request mean for the retry budget. Only the goroutine that runs
// the request uses it.
type retryHistory struct {
	// counted is set once the request counts as one of its service, sent once it may have reached a server.
	counted, sent bool
	// moving is set if the next attempt follows a decision of the daemons and not a failure: the server or
	// the daemon of the last one leaves. It counts as a retry but is not held back, because the server
	// will be gone before long.
	moving bool
	// delayed is set once an attempt had to wait for the budget.
	delayed bool
}

// chargeAttempt counts an attempt in the retry budget of its service. It returns false if the attempt is a
// retry that the budget does not allow now.
func (d *Dispatcher) chargeAttempt(flight *Flight, now time.Time) (attemptCharge, bool) {
	service, retries := flight.spec.Service, &flight.retries
	if !retries.sent {
		if !retries.counted {
			retries.counted = true
			d.options.Retries.CountRequest(service, now)
		}
		return attemptCharge{}, true
	}
	charge, allowed := d.chargeRetry(flight, retries.moving, now)
	if !allowed {
		d.recordDelay(flight, now)
	}
	return charge, allowed
}

// chargeRetry counts a retry in the budget of its service. It returns false if the budget does not allow it
// now. One that is made because a server or daemon leaves is always allowed.
func (d *Dispatcher) chargeRetry(flight *Flight, moving bool, now time.Time) (attemptCharge, bool) {
	if moving {
		return attemptCharge{retry: true, charge: d.options.Retries.CountRetry(flight.spec.Service, now)}, true
	}
	charge, allowed := d.options.Retries.TryRetry(flight.spec.Service, now)
	return attemptCharge{retry: true, charge: charge}, allowed
}

// recordDelay records that a retry has to wait. Only the first time of a request is logged.
func (d *Dispatcher) recordDelay(flight *Flight, now time.Time) {
	d.metrics.delayedRetries.WithLabelValues(flight.spec.Service).Inc()
	if flight.retries.delayed {
		return
	}
	flight.retries.delayed = true
	extra := d.options.Retries.ExtraState(flight.spec.Service, now)
	d.log(flight).Info("retry waits for the retry budget", "own_extra_allowed", extra.Allowed, "own_extra_spent", extra.Spent)
}

// settleCharge returns the charge of an attempt that has not reached a server.
func (d *Dispatcher) settleCharge(flight *Flight, charge attemptCharge, outcome result) {
	if outcome.step != request.StepNotSent {
		flight.retries.sent, flight.retries.moving = true, outcome.evacuated
		return
	}
	d.refundCharge(flight, charge)
}

func (d *Dispatcher) refundCharge(flight *Flight, charge attemptCharge) {
	if charge.retry {
		d.options.Retries.Refund(flight.spec.Service, charge.charge)
	}
}
