package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/rollout"
)

// versionSalt makes the draw of the version independent of the draw of servers.
const versionSalt = "version|"

// chooseVersion decides whether the first attempt goes to the candidate version of a roll-out.
func (r *run) chooseVersion() {
	if r.options.RollOuts == nil {
		return
	}
	draw := float64(xxhash.Sum64String(versionSalt+r.call.ID)) / math.MaxUint64
	r.candidate = r.options.RollOuts.AssignRequest(r.call.Service, r.call.Route.Name, !r.call.Route.Retryable(), draw, time.Now())
}

// chooseRetryVersion decides whether a retry goes to the candidate version. Retries use the
// stable version unless all requests have moved to the candidate.
func (r *run) chooseRetryVersion() {
	if r.options.RollOuts != nil {
		r.candidate = r.options.RollOuts.FullyShifted(r.call.Service, time.Now())
	}
}

// reportToRollOut reports the result of an answer for the comparison of versions.
func (r *run) reportToRollOut(choice *backend.Choice, ended result, took time.Duration) {
	if r.options.RollOuts == nil || ended.signal == signalNone {
		return
	}
	answer := rollout.Answer{
		Service: r.call.Service, Route: r.call.Route.Name, Failed: ended.signal == signalBad, Latency: took,
	}
	if choice.Candidate {
		answer.Server = max(1, backend.KeyOf(choice.Entry))
	}
	if first, each := choice.Timing(); first > 0 {
		answer.Latency, answer.EventInterval = first, each
	}
	if choice.Calibrated {
		answer.ExpectedLatency = choice.Wait
	}
	r.options.RollOuts.RecordAnswer(answer)
}
