package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
)

// refuseNoServer refuses a call for which no server can be picked.
func (r *run) refuseNoServer(need backend.Need, now time.Time) *Refusal {
	wait, found := r.options.View.RetryAfter(need, now)
	if !found && r.resumed() {
		// Servers of this version may never come back.
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no backend server of the stream's version is left"}
	}
	if !found {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "service has no backend server", RetryAfter: retryAfterNoServer}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "backend servers rest or are at the limits that they name", RetryAfter: max(retryAfterTransient, wait)}
}

// countDemand counts the call as demand for its service, once.
func (r *run) countDemand(load demand.Load, now time.Time) {
	if r.demandCounted {
		return
	}
	r.demandCounted = true
	r.options.Demand.RecordRequest(r.call.Service, demand.Origin{Class: r.rankClass(), Workspace: r.call.Workspace}, load, now)
}

// countUnplacedDemand counts a call for which no server can be picked. Otherwise the loss of all servers
// would look like the loss of all callers, and no new servers would be ordered. A caller that comes back
// after a refusal is not counted again.
func (r *run) countUnplacedDemand(now time.Time) {
	if !r.isRetry {
		r.countDemand(r.options.View.EstimateLoad(r.need()), now)
	}
}

// refuseTooLate refuses a call whose predicted first answer is so late that the capacity
// is better used for another caller.
func (r *run) refuseTooLate(choice *backend.Choice, now time.Time) *Refusal {
	if r.call.Prompt == nil || r.mayHaveRun() || !choice.Calibrated {
		return nil
	}
	timing := route.Timing{
		Age: r.callerAge + now.Sub(r.call.Arrived), Wait: choice.Wait, IdleWait: choice.IdleWait,
		Target: r.call.Route.LatencyTarget, Remaining: r.call.CallerDeadline().Sub(now),
	}
	if choice.EndsLate {
		// Without a time for a retry, because the caller will have even less time left.
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no server can end the answer in time"}
	}
	if !timing.ShouldRefuse() {
		return nil
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: "predicted wait is too long",
		RetryAfter: r.retryAfterWait(max(retryAfterTransient, choice.Wait-r.call.Route.LatencyTarget/2), now),
	}
}

// giveUp ends a call without another attempt. If a server has answered with an error, the caller gets that.
// Otherwise the status says whether the request may have run: only one that has not is refused with 503.
func (r *run) giveUp(ctx context.Context, refusal *Refusal) error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		_ = r.step(request.StepCancel)
		return errCallerLeft
	}
	_ = r.step(request.StepGiveUp)
	if r.kept != nil && !r.headerSent {
		r.notRetried = refusal.Reason
		return r.forwardKept()
	}
	switch {
	case r.headerSent:
		return ErrTruncated
	case !r.mayHaveRun():
		refusal.Status = http.StatusServiceUnavailable
	case ctx.Err() != nil:
		refusal.Status, refusal.RetryAfter = http.StatusGatewayTimeout, 0
	default:
		refusal.Status, refusal.RetryAfter = http.StatusBadGateway, 0
	}
	return refusal
}
