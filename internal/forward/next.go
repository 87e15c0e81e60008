package forward

import (
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/request"
)

// nextAttempt describes the next attempt of a call. It does not change with the call, so that the attempt
// may be reserved by any goroutine while another attempt runs.
type nextAttempt struct {
	run  *run
	need backend.Need
	// sent and unsent are the numbers of earlier attempts, the running one among them.
	sent, unsent int
	// mayRepeat is set if the call may be sent although an earlier attempt may have run.
	mayRepeat bool
	// begun is set if the caller has events of the stream.
	begun bool
	// needsCharge is set if the attempt is charged to the allowance of the workspace, needsRetry if it
	// takes a retry from the budget.
	needsCharge, needsRetry bool
}

// grant is what an attempt has been given before it is made.
type grant struct {
	// charge and retry are the decisions of the limiter and of the retry budget, or nil if none was needed.
	// They are set in a refused grant, too.
	charge, retry *allowance.Verdict
	// choice is the place at the server.
	choice *backend.Choice
	// version is the version at which the attempt runs, and begun is set if the caller has events of the
	// stream.
	version attemptVersion
	begun   bool
	// blockedBy is what of the call the quarantine blocks, or nil.
	blockedBy *quarantine.Block
	// noServer is set if the attempt was refused because no server could be picked.
	noServer bool
}

// next returns the attempt that follows those that have ended.
func (r *run) next() nextAttempt {
	return nextAttempt{
		run: r, need: r.need(), sent: r.sentAttempts, unsent: r.unsentAttempts,
		mayRepeat:   !errors.Is(r.lifecycle.MayDispatch(), request.ErrMayHaveRun),
		needsCharge: r.verdict != nil && !r.charged, needsRetry: r.sentAttempts > 0 && !r.retryUnused,
	}
}

// nextAfter returns the attempt that follows one at a server that is about to begin.
func (r *run) nextAfter(choice *backend.Choice) nextAttempt {
	next := nextAttempt{
		run: r, sent: r.sentAttempts, unsent: r.unsentAttempts,
		mayRepeat: r.call.Route.Retryable(), begun: r.begunStream(), needsCharge: r.verdict != nil, needsRetry: true,
	}
	if r.continuation == nil {
		next.sent++
	}
	if !next.mayRepeat {
		return next
	}
	next.need = r.need()
	next.need.Final = next.sent+1 >= r.call.Route.MaxAttempts
	next.need.Tried = withElement(next.need.Tried, choice.ID)
	return next
}

// withElement returns a copy of a set with another element.
func withElement(set map[string]bool, element string) map[string]bool {
	larger := map[string]bool{element: true}
	maps.Copy(larger, set)
	return larger
}

// reserve takes all that the attempt needs, or nothing if something refuses it.
func (n nextAttempt) reserve(now time.Time) (grant, *Refusal) {
	var g grant
	if refusal := n.check(now); refusal != nil {
		return g, refusal
	}
	var refusal *Refusal
	if g.blockedBy, refusal = n.run.checkQuarantine(n.sent, now); refusal != nil {
		return g, refusal
	}
	if refusal := n.charge(&g); refusal != nil {
		return g, refusal
	}
	if refusal := n.takeRetry(&g); refusal != nil {
		n.run.refund(g)
		return g, refusal
	}
	choice, ok := n.run.options.View.Begin(n.need, now)
	if !ok {
		n.run.refund(g)
		g.noServer = true
		return g, n.run.refuseNoServer(n.need, now)
	}
	g.choice = choice
	return g, nil
}

// check returns nil if the state of the call allows the attempt.
func (n nextAttempt) check(now time.Time) *Refusal {
	refusal := &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterTransient}
	switch {
	case n.sent == 0 && n.unsent < maxUnreachable:
		return nil
	case n.unsent >= maxUnreachable:
		refusal.Reason = "no backend server could be reached"
	case !n.mayRepeat:
		refusal.Reason = "an earlier attempt may have run"
	case n.sent >= max(1, n.run.call.Route.MaxAttempts):
		refusal.Reason = "route allows no further attempt"
	case n.run.call.Deadline().Sub(now) < minAttemptTime:
		refusal.Reason = "no time is left for another attempt"
	default:
		return nil
	}
	return refusal
}

// charge charges another run of the call to its workspace's allowance.
func (n nextAttempt) charge(g *grant) *Refusal {
	if !n.needsCharge {
		return nil
	}
	verdict := n.run.options.Limiter.AdmitRetry(n.run.call.Workspace, n.run.cost)
	g.charge = &verdict
	if !verdict.Admitted {
		return &Refusal{Reason: reasonAboveAllowance}
	}
	return nil
}

// takeRetry takes a retry from the budget.
func (n nextAttempt) takeRetry(g *grant) *Refusal {
	if !n.needsRetry {
		return nil
	}
	verdict := n.run.options.Budget.TryRetry(n.run.call.Service)
	g.retry = &verdict
	if verdict.Admitted {
		return nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reasonRetryBudget, RetryAfter: retryAfterTransient}
}

// refund returns the charge and the retry of an attempt that is not made.
func (r *run) refund(g grant) {
	r.refundCharge(g.charge)
	r.refundBudget(g.retry)
}

func (r *run) refundCharge(charge *allowance.Verdict) {
	if charge != nil && charge.Admitted {
		r.options.Limiter.Refund(r.call.Workspace, r.cost, charge.At)
	}
}

func (r *run) refundBudget(retry *allowance.Verdict) {
	if retry != nil && retry.Admitted {
		r.options.Budget.Refund(r.call.Service, retry.At)
	}
}

// begin returns the place at the server of the next attempt: the reserved one, or one that is reserved now.
func (r *run) begin(now time.Time) (*backend.Choice, *Refusal) {
	if g := r.reserved; g != nil {
		r.reserved = nil
		r.adopt(*g)
		return g.choice, nil
	}
	g, refusal := r.next().reserve(now)
	r.blockedBy = g.blockedBy
	if refusal != nil {
		r.recordRefused(g)
		if g.noServer {
			r.countUnplacedDemand(now)
		}
		return nil, refusal
	}
	r.adopt(g)
	return g.choice, nil
}

// recordRefused records the decisions on an attempt that was refused.
func (r *run) recordRefused(g grant) {
	if g.charge != nil {
		r.verdict = g.charge
	}
	if g.retry != nil {
		r.retryVerdict = g.retry
	}
}

// adopt makes the charge and the retry of an attempt those of the call. It returns those that the call
// still has from an attempt that was not sent.
func (r *run) adopt(g grant) {
	switch {
	case g.charge == nil:
	case r.charged:
		r.refundCharge(g.charge)
	default:
		r.verdict, r.charged = g.charge, true
	}
	switch {
	case g.retry == nil:
	case r.retryUnused || r.sentAttempts == 0:
		r.refundBudget(g.retry)
	default:
		r.retryVerdict, r.retryUnused = g.retry, true
	}
}

// adoptVersion sets the version of the reserved attempt. It returns false if none is reserved, or if the
// stream has come to be at another version since.
func (r *run) adoptVersion() bool {
	if r.reserved == nil {
		return false
	}
	if r.versionUncertain || r.reserved.begun != r.begunStream() {
		r.dropReserved()
		return false
	}
	r.candidate, r.stream = r.reserved.version.candidate, r.reserved.version.stream
	return true
}

// dropReserved returns what is reserved for an attempt that is not made.
func (r *run) dropReserved() {
	if r.reserved == nil {
		return
	}
	r.reserved.choice.RefundAdmission()
	r.reserved.choice.End(backend.OutcomeNeutral, time.Now())
	r.refund(*r.reserved)
	r.reserved = nil
}
