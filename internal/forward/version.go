package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/rollout"
)

// versionSalt keeps the draw of a version apart from the draw of servers.
const versionSalt = "version|"

// tryVersion decides whether the first attempt goes to the version that a roll-out tries.
func (r *run) tryVersion() {
	if r.options.RollOuts == nil {
		return
	}
	draw := float64(xxhash.Sum64String(versionSalt+r.call.ID)) / math.MaxUint64
	r.candidate = r.options.RollOuts.Asked(r.call.Service, r.call.Route.Name, !r.call.Route.MayRepeat(), draw, time.Now())
}

// tryAgain decides the same for a later attempt: it goes where the version is known, unless
// all requests have moved on.
func (r *run) tryAgain() {
	if r.options.RollOuts != nil {
		r.candidate = r.options.RollOuts.Moved(r.call.Service, time.Now())
	}
}

// judge tells how a server answered, for the comparison of versions.
func (r *run) judge(choice *backend.Choice, ended result, took time.Duration) {
	if r.options.RollOuts == nil || ended.answered == answeredNothing {
		return
	}
	answer := rollout.Answer{
		Service: r.call.Service, Route: r.call.Route.Name, Failed: ended.answered == answeredBadly, Took: took,
	}
	if choice.Candidate {
		answer.Server = max(1, backend.KeyOf(choice.Entry))
	}
	if first, each := choice.Timing(); first > 0 {
		answer.Took, answer.EachEvent = first, each
	}
	if choice.Calibrated {
		answer.Expected = choice.Wait
	}
	r.options.RollOuts.Answered(answer)
}
