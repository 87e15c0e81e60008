package forward

import (
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/backend"
)

// advised takes what an answer says of its server. Another server that has the address now says
// nothing of the one that was chosen.
func (r *run) advised(choice *backend.Choice, answer *Answer) {
	if answer.WrongServer {
		return
	}
	before, after := choice.Advised(answer.Advice, time.Now())
	if err := answer.Advice.LimitErr; err != nil {
		r.options.Logger.Debug("server's limit cannot be read", "server", choice.ID, "service", choice.Service, "request_id", r.call.ID, "error", err)
	}
	if after.Same(before) {
		return
	}
	r.logLimit(choice, before, after)
	if after.Named != before.Named && r.options.Limited != nil {
		r.options.Limited()
	}
}

func (r *run) logLimit(choice *backend.Choice, before, after advice.Limit) {
	r.options.Logger.Info("server's limit changed", "server", choice.ID, "service", choice.Service, "zone", choice.Zone, "request_id", r.call.ID,
		"limited", after.Named, "requests_per_second", after.Rate, "limited_before", before.Named, "requests_per_second_before", before.Rate, "from", "answer")
}
