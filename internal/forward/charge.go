package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/catalog"
)

// runWithinAllowance runs the call if its workspace's allowance admits it.
func (r *run) runWithinAllowance(ctx context.Context) error {
	block, refusal := r.checkQuarantine(0, time.Now())
	if refusal != nil {
		r.blockedBy = block
		return r.giveUp(ctx, refusal)
	}
	w := r.workspace()
	if w == nil || w.RatePerSecond == 0 {
		return r.runAttempts(ctx)
	}
	cost := r.call.tokenCost(w)
	r.cost = cost
	verdict := r.options.Limiter.Admit(w.Name, cost, allowance.ClassOf(r.call.Rank, cost))
	r.verdict = &verdict
	r.options.Metrics.observeAllowance(verdict)
	if !verdict.Admitted {
		return &Refusal{
			Status: http.StatusTooManyRequests, Reason: reasonAboveAllowance,
			RetryAfter: retryAfterInTime(verdict.RetryAfter, time.Until(r.call.CallerDeadline())),
		}
	}
	r.charged = true
	err := r.runAttempts(ctx)
	if r.charged {
		r.options.Limiter.Refund(w.Name, cost, r.verdict.At)
	}
	return err
}

const reasonAboveAllowance = "workspace is above its allowance"

// retryTimeShare is the share of its remaining time for which a caller waits before a retry.
const retryTimeShare = 1.0 / 3

// retryAfterInTime returns the time after which a caller should retry, or zero, which states none, if it would not wait
// for so long.
func retryAfterInTime(wait, remaining time.Duration) time.Duration {
	if wait.Seconds() > retryTimeShare*remaining.Seconds() {
		return 0
	}
	return wait
}

// refundRetry returns a retry that was not sent to the budget.
func (r *run) refundRetry() {
	if r.retryUnused {
		r.refundBudget(r.retryVerdict)
	}
}

func (r *run) workspace() *catalog.Workspace {
	for i := range r.call.Catalog.Workspaces {
		if w := &r.call.Catalog.Workspaces[i]; w.Name == r.call.Workspace {
			return w
		}
	}
	return nil
}
