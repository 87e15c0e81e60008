package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/admission"
	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/firsttry"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
	"github.com/plankridge/plankridge/internal/upstream"
)

const (
	// retryAfterTransient is the Retry-After value for short-lived conditions, such as a full
	// or unreachable server.
	retryAfterTransient = 150 * time.Millisecond
	// retryAfterQuarantine is the Retry-After value for a request that crashes servers. Only
	// a change of the servers or of the request resolves that.
	retryAfterQuarantine = 30 * time.Second
	// retryAfterNoServer is the Retry-After value for a service without a server: new servers
	// take some seconds to boot.
	retryAfterNoServer = 500 * time.Millisecond
	// maxUnreachable is the number of unreachable servers after which a request is refused.
	// None of them has received the request.
	maxUnreachable = 3
	// silenceTargetFactor times a route's latency target is how long an idempotent attempt
	// may stay silent before another server is tried. minSilenceTimeout is the lower bound.
	silenceTargetFactor = 2
	minSilenceTimeout   = 200 * time.Millisecond
	// minAttemptTime is the remaining time below which no further server is tried: hardly any
	// service that is called over a network answers in less.
	minAttemptTime = 30 * time.Millisecond
	// maxIdleNonIdempotent bounds how long a reused connection for a request that must not
	// run twice may have been idle. If a server closes the connection as the request arrives,
	// it is unknown whether the request ran. maxIdleIdempotent is the bound for requests that
	// may be retried. Servers keep idle connections for some seconds and state how many.
	maxIdleNonIdempotent = 500 * time.Millisecond
	maxIdleIdempotent    = 5 * time.Second
)

var (
	errTimeout    = errors.New("route's timeout or caller's limit reached")
	errSilent     = errors.New("server stayed silent")
	errCallerLeft = errors.New("caller has left")
	errRestarted  = errors.New("server has started again")
	// errServerFailed means that a server has answered with an error.
	errServerFailed = errors.New("server has answered with an error")
)

// Options holds the dependencies and settings of a Forwarder.
type Options struct {
	Zone    string
	View    *backend.View
	Backend Backend
	// Mover moves running streams away from leaving servers. If it is nil, they stay.
	Mover   Mover
	Limiter Limiter
	Budget  Budget
	Usage   Usage
	Demand  Demand
	// RollOuts selects the requests that go to the candidate version of a service. It may be nil.
	RollOuts RollOuts
	// StreamVersions selects the version at which a resumable stream runs. If it is nil, streams go on
	// at any version.
	StreamVersions StreamVersions
	// Quarantine blocks requests that crash servers. Nil blocks nothing.
	Quarantine Quarantine
	// Admission decides which calls are refused while a service has too little capacity. Nil refuses
	// none.
	Admission Admission
	// CallerTimeouts infers from the stated time limits how long ago a caller first tried.
	CallerTimeouts *firsttry.CallerTimeouts
	// OnLargePrompt informs other daemons of a prompt that occupies a server for long.
	OnLargePrompt func(server backend.Entry, prompt backend.Load)
	// OnAdviceChanged is called when advice in an answer has changed the state shared with
	// other daemons. It may be nil.
	OnAdviceChanged func()
	// Freshness returns the age of the server list and whether the store currently fails
	// to answer. It is used for logging only.
	Freshness func() (serversAge time.Duration, storeFailing bool)
	Logger    *slog.Logger
	Metrics   *Metrics
	// OnViolation is called when an invariant is violated; tests make that fatal.
	OnViolation func(error)
}

// Forwarder forwards the requests of one daemon.
type Forwarder struct {
	options Options
	// evacuator is nil without a Mover.
	evacuator *evacuator
}

// New returns a Forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{options: options, evacuator: newEvacuator(options)}
}

// run is the state of one call while it is forwarded.
type run struct {
	*Forwarder
	call  *Call
	reply Reply
	// sentAttempts counts the attempts that were sent, unsentAttempts those that could not be sent.
	sentAttempts   int
	unsentAttempts int
	tried          map[string]bool
	// broken holds the servers that have broken the connection of an attempt.
	broken map[string]bool
	// candidate is set while the call goes to the candidate version of a roll-out.
	candidate bool
	// stream is the version at which a resumable stream runs. It is final once the stream has begun.
	stream StreamVersion
	// writer is the attempt whose events the caller has got last, or nil. versionUncertain is set if
	// these may be of another version than that of stream.
	writer           *backend.Choice
	versionUncertain bool
	// lifecycle decides whether a retry is safe and which outcome may be reported.
	lifecycle *request.Lifecycle
	// stepMu guards the steps of lifecycle that may come from a move of the running stream.
	stepMu sync.Mutex
	// level is the decision of the service's admission level, or nil if it has none.
	level *admission.Verdict
	// usageCounted is set once the call is counted as usage, demandCounted once as demand.
	usageCounted  bool
	demandCounted bool
	// headerSent is set once the header of the answer was sent to the caller.
	headerSent bool
	// lastEventID is the ID of the last event sent to the caller.
	lastEventID string
	// cost is the number of tokens that the call consumes of its workspace's allowance.
	cost float64
	// callerAge is the time from the caller's first try to this request, as far as its stated time limit
	// suggests one. isRetry is set if it does.
	callerAge time.Duration
	isRetry   bool
	// fingerprint is what the quarantine recognizes the request by.
	fingerprint quarantine.Fingerprint
	// blockedBy is what of the call the quarantine blocks, or nil.
	blockedBy        *quarantine.Block
	firstAnswerAfter time.Duration
	status           int
	history          []attemptRecord
	// via is the daemon through which the current attempt's server was reached, or empty.
	via string
	// unanswered is set once an attempt got no answer.
	unanswered bool
	// verdict is the latest decision of the limiter, or nil without an allowance. charged is
	// set while the admitted tokens are for a run that has not begun.
	verdict *allowance.Verdict
	charged bool
	// retryVerdict is the latest decision of the retry budget, or nil if none was needed. retryUnused
	// is set while the admitted retry has not been sent.
	retryVerdict *allowance.Verdict
	retryUnused  bool
	// continuation is the stopped run that is to be continued, or nil.
	continuation *continuation
	// running is the current attempt, and reserved what the next one has been given before the last one
	// ended, or nil.
	running  *runningAttempt
	reserved *grant
	// notRetried is why an attempt that was to be replaced was not, or empty.
	notRetried string
	// kept is the latest error answer in favor of which another attempt was made, or nil.
	kept  *keptAnswer
	moves moveLog
	// lastEventAt is when the last event was sent to the caller. pausedSince is the same for the last
	// event before a move, until the first one after it.
	lastEventAt, pausedSince time.Time
}

// Forward serves a call. It returns nil when a server's answer was forwarded completely, a
// *Refusal when nothing has been sent to the caller, and ErrTruncated when the answer could
// not be completed.
func (f *Forwarder) Forward(ctx context.Context, call *Call, reply Reply) error {
	r := &run{
		Forwarder: f, call: call, reply: reply, tried: map[string]bool{}, broken: map[string]bool{}, lastEventID: call.LastEventID,
		lifecycle: request.NewLifecycle(call.Route.Retryable()), fingerprint: call.fingerprint(),
	}
	if f.options.CallerTimeouts != nil {
		r.callerAge = f.options.CallerTimeouts.Age(call.Route.Name, call.CallerTimeout)
		r.isRetry = r.callerAge > 0
	}
	err := r.runWithinAllowance(ctx)
	r.dropContinuation()
	r.dropReserved()
	r.refundRetry()
	r.recordCall(ctx, err)
	return err
}

// step applies a step to the call's state machine. An invalid step is a bug in this program.
func (r *run) step(step request.Step) error {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	err := r.lifecycle.Apply(step)
	if errors.Is(err, request.ErrInvariant) {
		r.options.Metrics.violations.Inc()
		r.options.Logger.Error("invariant violated", "request_id", r.call.ID, "error", err)
		if r.options.OnViolation != nil {
			r.options.OnViolation(err)
		}
	}
	return err
}

// mayHaveRun reports whether any attempt may have run.
func (r *run) mayHaveRun() bool { return r.lifecycle.Outcome() != request.OutcomeNotRun }

// checkQuarantine refuses a call that crashes the servers that run it. sent is the number of earlier
// attempts. It returns what of the call the quarantine blocks, or nil.
func (r *run) checkQuarantine(sent int, now time.Time) (*quarantine.Block, *Refusal) {
	if r.options.Quarantine == nil {
		return nil, nil
	}
	refusal := &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterQuarantine}
	block, blocked := r.options.Quarantine.Blocked(r.fingerprint, now)
	switch {
	case blocked:
		refusal.Reason = blockReason(block)
		return &block, refusal
	case sent > 0 && r.options.Quarantine.Suspected(r.fingerprint):
		refusal.Reason = "servers ended under requests like this one"
		return nil, refusal
	}
	return nil, nil
}

func blockReason(block quarantine.Block) string {
	if block.IsPart {
		return "a part of the prompt ends the servers that run it"
	}
	return "request ends the servers that run it"
}

// reportCompleted reports to the quarantine that a server has run the call to completion, and whether
// it generated the answer. An internal error of the server proves nothing, since the next attempt may
// get further, nor does an answer whose server may have exited.
func (r *run) reportCompleted(end answerEnd, status int, generated bool, now time.Time) {
	if r.options.Quarantine != nil && end == endComplete && status < http.StatusInternalServerError {
		r.options.Quarantine.RecordAnswer(r.fingerprint, generated, now)
	}
}

// reportProgress reports to the quarantine that a server generates the answer.
func (r *run) reportProgress(now time.Time) {
	if r.options.Quarantine != nil {
		r.options.Quarantine.RecordProgress(r.fingerprint, now)
	}
}

// reportBroken reports to the quarantine that the connection of an attempt broke.
func (r *run) reportBroken(server backend.Entry, result result, sent, at time.Time) {
	if !result.connBroken || r.options.Quarantine == nil {
		return
	}
	r.options.Quarantine.RecordBrokenAttempt(watch.Server{
		Key: quarantine.ServerInstance(backend.KeyOf(server)), ID: server.ID, Service: server.Service, StartedMs: server.StartTimeMs,
		Exited: func(ctx context.Context) bool { return r.options.Backend.Probe(ctx, server) == upstream.NotListening },
	}, quarantine.LostRequest{Fingerprint: r.fingerprint, SentAt: sent}, result.serverRestarted, at)
}

// runAttempts makes attempts until the call has an answer or must be given up.
func (r *run) runAttempts(ctx context.Context) error {
	ctx, cancel := context.WithDeadlineCause(ctx, r.call.Deadline(), errTimeout)
	defer cancel()
	if refusal := r.chooseVersion(); refusal != nil {
		r.countUnplacedDemand(time.Now())
		return r.giveUp(ctx, refusal)
	}
	if refusal := r.checkLevel(time.Now()); refusal != nil {
		return r.giveUp(ctx, refusal)
	}
	for {
		if r.continuation != nil {
			r.dropReserved()
			if done, err := r.continueRun(ctx); done {
				return err
			}
			continue
		}
		now := time.Now()
		choice, refusal := r.begin(now)
		if refusal != nil {
			return r.giveUp(ctx, refusal)
		}
		r.countDemand(choice.Load, now)
		if refusal := r.refuseTooLate(choice, now); refusal != nil {
			choice.RefundAdmission()
			choice.End(backend.OutcomeNeutral, now)
			r.recordAttempt(choice, "not-tried", now, now)
			return r.giveUp(ctx, refusal)
		}
		if choice.LongPrefill && r.options.OnLargePrompt != nil {
			r.options.OnLargePrompt(choice.Entry, choice.Prompt())
		}
		if done, err := r.runAttempt(ctx, choice, now); done {
			return err
		}
	}
}

// runAttempt makes an attempt at a server and records how it ended. done means that the call has ended.
func (r *run) runAttempt(ctx context.Context, choice *backend.Choice, now time.Time) (done bool, err error) {
	result := r.try(ctx, choice)
	ended := time.Now()
	choice.End(result.outcome, ended)
	r.checkWriter(choice)
	r.recordAttempt(choice, result.logLabel, now, ended)
	r.reportToRollOut(choice, result, ended.Sub(now))
	r.reportBroken(choice.Entry, result, now, ended)
	if result.done {
		return true, result.err
	}
	r.tried[choice.ID] = true
	if result.connBroken {
		r.broken[choice.ID] = true
	}
	if ctx.Err() != nil {
		return true, r.giveUp(ctx, &Refusal{Status: http.StatusGatewayTimeout, Reason: "timeout"})
	}
	if r.continuation != nil {
		return false, nil
	}
	if r.adoptVersion() {
		return false, nil
	}
	if refusal := r.chooseRetryVersion(); refusal != nil {
		return true, r.giveUp(ctx, refusal)
	}
	return false, nil
}

// overdue reports whether the caller first tried so long ago that its answer will be late
// in any case.
func (r *run) overdue() bool { return route.Overdue(r.callerAge, r.call.Route.LatencyTarget) }

// rankClass returns the class of rank in which the call counts.
func (r *run) rankClass() int {
	if r.overdue() {
		return route.LeastUrgent
	}
	return route.RankClass(r.call.Rank)
}

func (r *run) need() backend.Need {
	need := backend.Need{Service: r.call.Service, Zone: r.options.Zone, Target: r.call.Route.LatencyTarget, Tried: r.tried, Candidate: r.candidate, Version: r.stream.Version, SampleSeed: xxhash.Sum64String(r.call.ID)}
	need.Remaining = time.Until(r.call.Deadline())
	need.Final = r.sentAttempts+1 >= r.call.Route.MaxAttempts
	if len(r.broken) > 0 && r.hasStreamVersion() && r.begunStream() && r.options.View.MayChangeVersion(r.call.Service) {
		// A server that has broken the connection may have started again.
		need.Excluded = r.broken
	}
	if p := r.call.Prompt; p != nil {
		need.Deferred, need.Class = r.overdue(), route.RankClass(r.call.Rank)
		need.PromptTokens, need.Parts, need.Answer, need.Resumed = p.Tokens, p.Parts, pace.AnswerSize{MaxTokens: p.MaxOutput, HintedTokens: p.LikelyOutput}, r.lastEventID != ""
	}
	return need
}
