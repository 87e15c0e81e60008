package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/rollout"
	"github.com/plankridge/plankridge/internal/streamversion"
)

// versionSalt makes the draw of the version independent of the draw of servers.
const versionSalt = "version|"

// chooseVersion chooses the version for the first attempt. It refuses a call whose version is not
// known.
func (r *run) chooseVersion() *Refusal {
	if r.options.RollOuts != nil {
		r.candidate = r.options.RollOuts.AssignRequest(r.call.Service, r.call.Route.Name, !r.call.Route.Retryable(), r.versionDraw(), time.Now())
	}
	version, refusal := r.streamVersion(attemptVersion{candidate: r.candidate, stream: r.stream})
	r.candidate, r.stream = version.candidate, version.stream
	return refusal
}

// versionDraw returns the number by which a roll-out assigns the call.
func (r *run) versionDraw() float64 {
	if r.hasStreamVersion() {
		return r.options.StreamVersions.Draw(r.call.ID)
	}
	return float64(xxhash.Sum64String(versionSalt+r.call.ID)) / math.MaxUint64
}

// attemptVersion is the version at which an attempt runs.
type attemptVersion struct {
	// candidate is set for the candidate version of a roll-out.
	candidate bool
	// stream is the version of a resumable stream.
	stream StreamVersion
}

// chooseRetryVersion chooses the version for a retry.
func (r *run) chooseRetryVersion() *Refusal {
	version, refusal := r.retryVersion(r.begunStream())
	r.candidate, r.stream = version.candidate, version.stream
	return refusal
}

// retryVersion returns the version for a retry. Retries use the stable version unless all requests have
// moved to the candidate, and streams that have begun go on at their version.
func (r *run) retryVersion(begun bool) (attemptVersion, *Refusal) {
	version := attemptVersion{candidate: r.candidate, stream: r.stream}
	if begun && r.hasStreamVersion() {
		if r.versionUncertain {
			return version, streamVersionRefusal(streamversion.ErrAmbiguous)
		}
		return version, nil
	}
	if r.options.RollOuts != nil {
		version.candidate = r.options.RollOuts.FullyShifted(r.call.Service, time.Now())
	}
	return r.streamVersion(version)
}

// reportToRollOut reports the result of an answer for the comparison of versions.
func (r *run) reportToRollOut(choice *backend.Choice, ended result, took time.Duration) {
	if r.options.RollOuts == nil || ended.signal == signalNone || choice.Moved() {
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
