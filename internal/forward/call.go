// Package forward forwards a caller's request to a backend server and streams the answer
// back unmodified. It picks servers, retries where that is safe and resumes broken streams.
// Its refusals state correctly whether a request may have run.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/admission"
	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/rollout"
	"github.com/plankridge/plankridge/internal/upstream"
)

// Call is a decoded request.
type Call struct {
	// ID is the caller's own ID for this attempt.
	ID      string
	Catalog *catalog.Catalog
	Route   *catalog.Route
	Service string
	// Workspace is empty on routes that need no API key.
	Workspace string
	// Rank is the urgency; 0 is the most urgent.
	Rank   int
	Method string
	// Target is the path and query as received from the caller.
	Target string
	Host   string
	// Header holds the headers to forward to a backend server.
	Header http.Header
	Body   []byte
	// Prompt is nil for requests that do not go to a model engine.
	Prompt  *Prompt
	Arrived time.Time
	// CallerTimeout is how long the caller waits; zero means that it stated no limit.
	CallerTimeout time.Duration
	// LastEventID is the ID of the last stream event that the caller has received, or empty.
	LastEventID string
	// Resumes is the ID of the request that brought the caller the first event of the stream, or
	// empty. It has a meaning only together with LastEventID.
	Resumes string
}

// Prompt holds the parts of a model request that affect routing.
type Prompt struct {
	// Tokens is the size of the prompt and MaxOutput the maximum number of output tokens.
	// LikelyOutput is the caller's estimate of the output tokens, or zero.
	Tokens       int
	MaxOutput    int
	LikelyOutput int
	Parts        []backend.PromptPart
}

// Deadline returns the time by which the caller must have its final answer.
func (c *Call) Deadline() time.Time {
	wait := c.Route.Timeout
	if c.CallerTimeout > 0 && c.CallerTimeout < wait {
		wait = c.CallerTimeout
	}
	return c.Arrived.Add(wait)
}

// CallerDeadline returns the time at which the caller stops waiting. It bounds the time
// limit that is sent to backend servers.
func (c *Call) CallerDeadline() time.Time {
	if c.CallerTimeout > 0 {
		return c.Arrived.Add(c.CallerTimeout)
	}
	return c.Arrived.Add(c.Route.Timeout)
}

// tokenCost returns the number of tokens that the call consumes of its workspace's
// allowance.
func (c *Call) tokenCost(w *catalog.Workspace) float64 {
	switch {
	case !w.ByTokens:
		return 1
	case c.Prompt == nil:
		return float64(w.PlainRequestTokens)
	}
	return float64(c.Prompt.Tokens + c.Prompt.MaxOutput)
}

// fingerprint returns what the quarantine recognizes the request by.
func (c *Call) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint{
		Content: quarantine.DigestOf(c.Workspace, c.Method, c.Host, c.Target, c.Body),
		Parts:   c.partDigests(),
	}
}

// partDigests returns the digests by which the quarantine recognizes the parts of the prompt.
func (c *Call) partDigests() []quarantine.Digest {
	if c.Prompt == nil {
		return nil
	}
	var ids []string
	for _, part := range c.Prompt.Parts {
		ids = append(ids, part.ID)
	}
	return quarantine.PartDigests(c.Service, c.Workspace, ids)
}

// Attempt is one attempt to run a call on one server.
type Attempt struct {
	Call   *Call
	Server backend.Entry
	// TimeLeft is the time that the server may take.
	TimeLeft time.Duration
	// LastEventID is the ID of the last event that the caller has received, or empty.
	LastEventID string
	// Priority is the priority for admission at the engine, from 0 (first) to 9 (last).
	Priority int
	// FetchFrom is the address of the server from which the receiver copies cached prompt
	// parts, or empty.
	FetchFrom string
	// ContinueFrom is the stopped run that the server continues from its copy, or nil.
	ContinueFrom *ContinueFrom
	// MaxIdle is the longest time that a reused connection may have been idle.
	MaxIdle time.Duration
	// MaySend is called right before the request is sent, once a connection is available.
	MaySend func() bool
}

// Errors of an attempt, in addition to those of package upstream.
var (
	// ErrOtherRequest means that an answer belongs to another request.
	ErrOtherRequest = errors.New("answer belongs to another request")
)

// Answer holds the header of a server's answer and a reader of its body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	// WrongServer means that the address now belongs to another server.
	WrongServer bool
	// Signed is set when the answer carries the server's signature.
	Signed bool
	// Advice is the load advice that the server sent with the answer.
	Advice advice.Advice
	// Via is the daemon through which the server was reached, or empty for a direct connection.
	Via string
	// IsEventStream is set when the body is a stream of server-sent events.
	IsEventStream bool
	// EndsWithConnection is set when the answer has neither a length nor chunks, so that it ends in
	// the same way if the server's process does.
	EndsWithConnection bool
	// Exchange must be closed or dropped when the answer has been handled.
	Exchange Exchange
}

// Exchange is the HTTP exchange that an answer belongs to.
type Exchange interface {
	// Close ends the exchange. The connection is reused if the answer was read to its end.
	Close()
	// Drop closes the connection, which cancels the request at the server.
	Drop()
}

// Backend sends attempts. Send fails with upstream.ErrNotSent or upstream.ErrNoAnswer.
type Backend interface {
	Send(ctx context.Context, attempt Attempt) (*Answer, error)
	// Probe checks whether a server's process accepts connections.
	Probe(ctx context.Context, server backend.Entry) upstream.Liveness
}

// Reply writes the answer to the caller.
type Reply interface {
	// Begin sends the status and header of the answer.
	Begin(status int, header http.Header)
	// Write sends a part of the body without buffering.
	Write(part []byte) error
}

// Refusal is an answer that the daemon itself gives.
type Refusal struct {
	// Status is an HTTP status. 429 and 503 guarantee that the request has not run and
	// will not run.
	Status int
	Reason string
	// RetryAfter is how long the caller should wait before a retry; zero states no time.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// ErrTruncated means that the answer was begun and cannot be completed. The connection to
// the caller must be closed so that the caller sees a truncated answer.
var ErrTruncated = errors.New("answer was cut off")

// Limiter enforces the allowances of workspaces.
type Limiter interface {
	// Admit takes tokens from the allowance for a request of a class, or returns when to try again.
	Admit(workspace string, tokens float64, class allowance.Class) allowance.Verdict
	// AdmitRetry takes tokens for another run of a request that may already have run.
	AdmitRetry(workspace string, tokens float64) allowance.Verdict
	// Refund returns the tokens of a request that has not run. admitted is the time of its
	// admission by the limiter's clock.
	Refund(workspace string, tokens float64, admitted time.Time)
}

// Budget bounds the retries, which are all attempts of a request beyond its first.
type Budget interface {
	// CountRequest counts the first attempt of a request.
	CountRequest(service string)
	// TryRetry decides whether another attempt is within the budget, and counts it if so.
	TryRetry(service string) allowance.Verdict
	// Refund returns a retry that was not sent. admitted is the time of its admission by the
	// budget's clock.
	Refund(service string, admitted time.Time)
}

// Usage counts the requests that servers began to run.
type Usage interface {
	RequestStarted(workspace string, at time.Time)
}

// Quarantine blocks requests that crash the servers that run them.
type Quarantine interface {
	// Blocked reports whether a request is blocked, and why.
	Blocked(request quarantine.Fingerprint, now time.Time) (quarantine.Block, bool)
	// Suspected reports whether a request whose attempt broke should not be retried on another server.
	Suspected(request quarantine.Fingerprint) bool
	// RecordAnswer records that a server has run a request to completion. generated is set if it
	// also generated the answer to a prompt.
	RecordAnswer(request quarantine.Fingerprint, generated bool, now time.Time)
	// RecordProgress records that a server has been generating the answer to a prompt for some time.
	RecordProgress(request quarantine.Fingerprint, now time.Time)
	// RecordBrokenAttempt records that an attempt broke at a server. certain is set if the server is known to have ended.
	RecordBrokenAttempt(server watch.Server, lost quarantine.LostRequest, certain bool, at time.Time)
}

// Admission decides which calls are refused at once while callers compete for too little capacity.
type Admission interface {
	// Decide returns false if the service has no admission level.
	Decide(service string, r admission.Request) (admission.Verdict, bool)
}

// Demand measures the requested load of each service.
type Demand interface {
	RecordRequest(service string, from demand.Origin, work demand.Load, now time.Time)
}

// StreamVersions decides at which software version of a service a resumable stream runs.
type StreamVersions interface {
	// Begin returns the version at which a new stream begins. A roll-out may assign the stream to its
	// candidate.
	Begin(service, streamID string, candidate bool) (StreamVersion, error)
	// Resume returns the version at which a stream began that did so at the given time or later.
	Resume(service, streamID string, begunAfter time.Time) (StreamVersion, error)
	// MayBegin reports whether a stream may still begin at a version that Begin has returned.
	MayBegin(service, streamID, version string, now time.Time) bool
	// Began records that the caller is about to get an event of a stream that runs at a version.
	Began(service, streamID, version string)
	// Draw returns the number in [0, 1) by which a roll-out assigns the stream.
	Draw(streamID string) float64
}

// StreamVersion is the version at which a stream runs.
type StreamVersion struct {
	Version string
	// Candidate is set if it is the candidate of a roll-out.
	Candidate bool
	// Source says how the version was established, for logs.
	Source string
}

// RollOuts decides which requests go to the candidate version of a service, and collects
// the results of both versions.
type RollOuts interface {
	// AssignRequest counts a request and reports whether it goes to the candidate. once is set for
	// a request that must not run twice; draw is uniform in [0, 1).
	AssignRequest(service, route string, once bool, draw float64, now time.Time) bool
	// FullyShifted reports whether all requests of a service, retries included, go to the candidate.
	FullyShifted(service string, now time.Time) bool
	// RecordExposure counts a request that was sent to the candidate.
	RecordExposure(service string)
	// RecordAnswer records the result of an answer.
	RecordAnswer(rollout.Answer)
}
