package forward

import (
	"errors"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/backend"
)

// applyAdvice applies the load advice in a response, unless the address now belongs to another server.
func (r *run) applyAdvice(choice *backend.Choice, answer *Answer) {
	if answer.WrongServer {
		return
	}
	change := choice.ApplyAdvice(answer.Advice, time.Now())
	r.logAdvice(choice, answer.Advice)
	urgent := change.After.IsUrgent(change.Before)
	if urgent {
		r.logLimit(choice, change.Before, change.After)
	}
	if change.LeavingAnnounced {
		r.options.Logger.Info("server leaves by its own announcement", "server", choice.ID, "service", choice.Service, "zone", choice.Zone, "request_id", r.call.ID, "from", "answer")
	}
	if (change.LeavingAnnounced || urgent && (change.After.Estimated || change.After.Limited != change.Before.Limited)) && r.options.OnAdviceChanged != nil {
		r.options.OnAdviceChanged()
	}
}

func (r *run) logLimit(choice *backend.Choice, before, after advice.Limit) {
	r.options.Logger.Info("server's limit changed", "server", choice.ID, "service", choice.Service, "zone", choice.Zone, "request_id", r.call.ID,
		"limited", after.Limited, "estimated", after.Estimated, "requests_per_second", after.Rate, "limited_before", before.Limited, "requests_per_second_before", before.Rate, "from", "answer")
}

// logAdvice logs a request for rest, and advice that cannot be decoded.
func (r *run) logAdvice(choice *backend.Choice, a advice.Advice) {
	if a.LimitError == nil && a.BrittleError == nil && a.RetryAfterError == nil && a.RetryAfter == 0 {
		return
	}
	logger := r.options.Logger.With("server", choice.ID, "service", choice.Service, "zone", choice.Zone, "request_id", r.call.ID)
	if err := errors.Join(a.LimitError, a.BrittleError, a.RetryAfterError); err != nil {
		logger.Debug("cannot decode the load advice of a server", "error", err)
	}
	if a.RetryAfter > 0 {
		logger.Info("server declined and asked for rest", "rest_ms", a.RetryAfter.Milliseconds())
	}
}
