// Package forward carries a caller's request to a backend server and the
// answer back, byte for byte. It picks servers, sends again where that is safe,
// resumes streams and refuses with the truth about whether a request has run.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/rollout"
)

// Call is a decoded request.
type Call struct {
	// ID is the caller's own ID of this attempt.
	ID      string
	Catalog *catalog.Catalog
	Route   *catalog.Route
	Service string
	// Workspace is empty on routes without a key.
	Workspace string
	// Rank is the urgency; zero is the most urgent.
	Rank   int
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds what goes on to a backend server.
	Header http.Header
	Body   []byte
	// Prompt is nil for requests that no engine reads.
	Prompt  *Prompt
	Arrived time.Time
	// CallerTimeout is how long the caller waits; zero means that it did not say.
	CallerTimeout time.Duration
	// LastEventID is the last event of a stream that the caller has, or empty.
	LastEventID string
}

// Prompt is what a request asks of a model engine.
type Prompt struct {
	// Tokens is the size of the prompt, MaxOutput the most that is generated.
	// LikelyOutput is the caller's own estimate, or zero.
	Tokens       int
	MaxOutput    int
	LikelyOutput int
	Parts        []backend.PromptPart
}

// Deadline returns when the caller must have its final answer.
func (c *Call) Deadline() time.Time {
	wait := c.Route.Timeout
	if c.CallerTimeout > 0 && c.CallerTimeout < wait {
		wait = c.CallerTimeout
	}
	return c.Arrived.Add(wait)
}

// CallerDeadline returns when the caller stops waiting. Backend servers are
// told no more than that.
func (c *Call) CallerDeadline() time.Time {
	if c.CallerTimeout > 0 {
		return c.Arrived.Add(c.CallerTimeout)
	}
	return c.Arrived.Add(c.Route.Timeout)
}

// tokenCost is the number of tokens that the call takes from its workspace's
// allowance.
func (c *Call) tokenCost(w *catalog.Workspace) float64 {
	switch {
	case !w.ByTokens:
		return 1
	case c.Prompt == nil:
		return float64(w.PlainTokens)
	}
	return float64(c.Prompt.Tokens + c.Prompt.MaxOutput)
}

// content returns what tells requests that ask the same.
func (c *Call) content() quarantine.Content {
	return quarantine.ContentOf(c.Workspace, c.Method, c.Host, c.Target, c.Body)
}

// Attempt is one sending of a call to one server.
type Attempt struct {
	Call   *Call
	Server backend.Entry
	// TimeLeft is the time that the server may take.
	TimeLeft time.Duration
	// LastEventID is the last event that the caller has, or empty.
	LastEventID string
	// Priority is the engine's order of admission, 0 first, 9 last.
	Priority int
	// FetchFrom is the address of a server that the receiver copies prompt parts
	// from, or empty.
	FetchFrom string
	// MaxIdle is how long a connection that is used may have been idle.
	MaxIdle time.Duration
	// MaySend is asked right before the request is sent, once there is a connection.
	MaySend func() bool
}

// Errors of an attempt, beside those of package upstream.
var (
	// ErrOtherRequest means that an answer belongs to another request.
	ErrOtherRequest = errors.New("answer belongs to another request")
)

// Answer is the head of a server's answer and its body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// NotRun is the server's word that it did not run the request.
	NotRun bool
	// WrongServer means that another server has the address now.
	WrongServer bool
	// Signed is set when the answer carries the server's signature.
	Signed bool
	// Advice is the server's load advice.
	Advice advice.Advice
	// IsEventStream is set for an answer of events.
	IsEventStream bool
	// Exchange ends the exchange.
	Exchange Exchange
}

// Exchange is the connection that an answer comes on.
type Exchange interface {
	// Close keeps the connection when the answer was read to its end.
	Close()
	// Drop closes it, which tells the server that nobody waits any more.
	Drop()
}

// Backend sends attempts. Its errors are upstream.ErrNotSent and
// upstream.ErrNoAnswer.
type Backend interface {
	Send(ctx context.Context, attempt Attempt) (*Answer, error)
	// Ended asks whether a server's process has ended. Where that cannot be found out
	// it has not.
	Ended(ctx context.Context, server backend.Entry) bool
}

// Reply takes the answer for the caller.
type Reply interface {
	// Begin sends the head of the answer.
	Begin(status int, header http.Header)
	// Write sends a part of the body at once.
	Write(part []byte) error
}

// Refusal is an answer of our own.
type Refusal struct {
	// Status is an HTTP status. 429 and 503 promise that the request has not
	// run and will not.
	Status int
	Reason string
	// RetryAfter advises the caller when to come back; zero gives no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// ErrTruncated means that the answer has begun and cannot be finished: the
// connection to the caller has to be closed so that it looks cut.
var ErrTruncated = errors.New("answer was cut off")

// Limiter decides on a workspace's allowance.
type Limiter interface {
	// Admit takes tokens from the allowance, or says when to come back.
	Admit(workspace string, tokens float64) allowance.Verdict
	// Repeat takes tokens for one more run of a request that may have run.
	Repeat(workspace string, tokens float64) allowance.Verdict
	// Refund gives tokens back for a request that was admitted at a time, which is of the
	// limiter's clock, and has not run.
	Refund(workspace string, tokens float64, admitted time.Time)
}

// Budget bounds the sendings beyond the first of each request.
type Budget interface {
	// Count notes the first sending of a request.
	Count(service string, now time.Time)
	// Take asks for one more sending.
	Take(service string, now time.Time) bool
}

// Usage counts the requests that servers began to run.
type Usage interface {
	Began(workspace string, at time.Time)
}

// Quarantine holds back requests that end the servers that run them.
type Quarantine interface {
	// Barred reports whether a request is held back.
	Barred(content quarantine.Content, now time.Time) bool
	// Doubted reports whether one whose attempt has broken should not go on to another server.
	Doubted(content quarantine.Content) bool
	// Answered notes that a server has run one to the end.
	Answered(content quarantine.Content, now time.Time)
	// Broke notes that an attempt broke at a server; certain is set where it has ended.
	Broke(server watch.Server, lost quarantine.Lost, certain bool, at time.Time)
}

// Demand measures what is asked of a service.
type Demand interface {
	Asked(service string, work demand.Load, now time.Time)
}

// RollOuts decide which requests try another version of a service, and learn how both
// versions answer.
type RollOuts interface {
	// Asked counts a request and returns whether it tries the version. once is set for one
	// that runs once at most; draw is uniform in [0, 1).
	Asked(service, route string, once bool, draw float64, now time.Time) bool
	// Moved reports whether all requests of a service go to the version, later attempts too.
	Moved(service string, now time.Time) bool
	// Exposed counts a request that was sent to the version.
	Exposed(service string)
	// Answered takes over how a server answered.
	Answered(rollout.Answer)
}
