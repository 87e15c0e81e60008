package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/streamversion"
)

// streamAgeMargin is added to the age that a stream may have. It covers the differences between the
// clocks of VMs.
const streamAgeMargin = time.Second

// errVersionMoved means that new streams do not begin at the version of an attempt any more.
var errVersionMoved = errors.New("streams begin at another version now")

// hasStreamVersion reports whether the call is a stream that may only go on at the version that began
// it.
func (r *run) hasStreamVersion() bool {
	return r.options.StreamVersions != nil && r.call.Route.ResumableStream()
}

// resumed reports whether the caller takes up a stream.
func (r *run) resumed() bool { return r.call.LastEventID != "" }

// begunStream reports whether the caller has events of the stream.
func (r *run) begunStream() bool { return r.resumed() || r.headerSent }

// recordBegun records the version of a stream before its first event of this call.
func (r *run) recordBegun(choice *backend.Choice) {
	if r.hasStreamVersion() && !r.headerSent && r.streamID() != "" {
		r.options.StreamVersions.Began(r.call.Service, r.streamID(), choice.Version)
	}
}

// streamVersion sets the version of a resumable stream that has not begun in this call.
func (r *run) streamVersion(version attemptVersion) (attemptVersion, *Refusal) {
	if !r.hasStreamVersion() {
		return version, nil
	}
	var err error
	if r.resumed() {
		version.stream, err = r.options.StreamVersions.Resume(r.call.Service, r.call.Resumes, r.begunAfter())
	} else {
		version.stream, err = r.options.StreamVersions.Begin(r.call.Service, r.call.ID, version.candidate)
	}
	if err != nil {
		return version, streamVersionRefusal(err)
	}
	version.candidate = version.stream.Candidate
	return version, nil
}

// streamVersionRefusal refuses a call whose version is not known. A stream whose version is not known
// although the assignment is will not be known later either.
func streamVersionRefusal(err error) *Refusal {
	refusal := &Refusal{Status: http.StatusServiceUnavailable, Reason: err.Error()}
	if !errors.Is(err, streamversion.ErrAmbiguous) {
		refusal.RetryAfter = retryAfterTransient
	}
	return refusal
}

// begunAfter returns a time before the first event of the stream that the caller takes up. The time
// that the caller still waits does not tell how long it has waited: callers of one route differ.
func (r *run) begunAfter() time.Time {
	age := max(streamversion.MaxStreamAge, r.call.Route.Timeout, r.call.CallerTimeout)
	return r.call.Arrived.Add(-age - streamAgeMargin)
}

// mayForward reports whether an event of an attempt may be sent to the caller. The server may have got
// another version since it was picked.
func (r *run) mayForward(choice *backend.Choice, now time.Time) bool {
	if !r.hasStreamVersion() || r.writer == choice {
		return true
	}
	return choice.ListedVersion() == choice.Version && (r.begunStream() || r.mayBeginStream(choice, now))
}

// checkWriter checks, at the end of an attempt whose events the caller has, whether the server has got
// another version meanwhile. The server may have written the events at either version.
func (r *run) checkWriter(choice *backend.Choice) {
	if !r.hasStreamVersion() || r.writer != choice {
		return
	}
	listed := choice.ListedVersion()
	if listed == choice.Version {
		return
	}
	r.versionUncertain = true
	if r.streamID() != "" {
		r.options.StreamVersions.Began(r.call.Service, r.streamID(), listed)
	}
}

// mayBeginStream reports whether the stream may begin at the server of an attempt. The assignment may
// have changed since the attempt was sent.
func (r *run) mayBeginStream(choice *backend.Choice, now time.Time) bool {
	return r.options.StreamVersions.MayBegin(r.call.Service, r.call.ID, choice.Version, now)
}

// streamID returns the ID of the request that brought the first event of the stream.
func (r *run) streamID() string {
	if r.resumed() {
		return r.call.Resumes
	}
	return r.call.ID
}
