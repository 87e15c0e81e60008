package forward

import (
	"errors"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/backend"
)

// advised applies the advice in a response, unless another server has the address now.
func (r *run) advised(choice *backend.Choice, answer *Answer) {
	if answer.WrongServer {
		return
	}
	change := choice.Advised(answer.Advice, time.Now())
	r.logAdvice(choice, answer.Advice)
	limited := !change.After.Same(change.Before)
	if limited {
		r.logLimit(choice, change.Before, change.After)
	}
	if change.Leaves {
		r.options.Logger.Info("server leaves by its own announcement", "server", choice.ID, "service", choice.Service, "zone", choice.Zone, "request_id", r.call.ID, "from", "answer")
	}
	if (change.Leaves || limited && change.After.Named != change.Before.Named) && r.options.Advised != nil {
		r.options.Advised()
	}
}

func (r *run) logLimit(choice *backend.Choice, before, after advice.Limit) {
	r.options.Logger.Info("server's limit changed", "server", choice.ID, "service", choice.Service, "zone", choice.Zone, "request_id", r.call.ID,
		"limited", after.Named, "requests_per_second", after.Rate, "limited_before", before.Named, "requests_per_second_before", before.Rate, "from", "answer")
}

// logAdvice logs a rest, and advice that cannot be decoded.
func (r *run) logAdvice(choice *backend.Choice, a advice.Advice) {
	if a.LimitErr == nil && a.RestErr == nil && a.Rest == 0 {
		return
	}
	logger := r.options.Logger.With("server", choice.ID, "service", choice.Service, "zone", choice.Zone, "request_id", r.call.ID)
	if err := errors.Join(a.LimitErr, a.RestErr); err != nil {
		logger.Debug("server's advice cannot be read", "error", err)
	}
	if a.Rest > 0 {
		logger.Info("server declined and asked for rest", "rest_ms", a.Rest.Milliseconds())
	}
}
