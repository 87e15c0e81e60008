package forward

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/admission"
)

const reasonAboveLevel = "service has too little capacity for requests of this rank and workspace"

// retryWaitShare is the part of its remaining time that a caller waits before a retry.
const retryWaitShare = 1.0 / 3

// checkLevel refuses a call that the admission level of its service excludes. A caller that resumes a
// stream is not refused, because it would lose what it already has.
func (r *run) checkLevel(now time.Time) *Refusal {
	if r.options.Admission == nil || r.call.Prompt == nil {
		return nil
	}
	verdict, ok := r.options.Admission.Decide(r.call.Service, admission.Request{
		Class: r.rankClass(), Workspace: r.call.Workspace, Retry: r.isRetry, Draw: admissionDraw(r.call.ID), MaxRetryWait: r.maxRetryWait(now),
	})
	if !ok {
		return nil
	}
	if r.resumed() {
		verdict.Admitted = true
	}
	r.level = &verdict
	if verdict.Binding {
		r.options.Metrics.countLevel(r.call.Service, r.rankClass(), verdict.Admitted)
	}
	if verdict.Admitted {
		return nil
	}
	if !r.isRetry {
		// What callers ask for counts even if it is refused. Otherwise the level would rise with each
		// refusal. A retry was counted before.
		r.countDemand(r.options.View.EstimateLoad(r.need()), now)
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonAboveLevel, RetryAfter: verdict.RetryAfter}
}

// maxRetryWait returns how long the caller waits at most before a retry.
func (r *run) maxRetryWait(now time.Time) time.Duration {
	return time.Duration(retryWaitShare * float64(r.call.CallerDeadline().Sub(now)))
}

// retryAfterWait returns the Retry-After value for a wait, or zero if the caller would not wait for
// so long. Services without a level state each wait.
func (r *run) retryAfterWait(wait time.Duration, now time.Time) time.Duration {
	if r.level != nil && wait > r.maxRetryWait(now) {
		return 0
	}
	return wait
}

// admissionSalt makes the draw independent of other draws by the ID of a call.
const admissionSalt = "admission|"

// admissionDraw returns a number in [0, 1) that is uniform over the calls.
func admissionDraw(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(admissionSalt+id)>>(64-bits)) / (1 << bits)
}
