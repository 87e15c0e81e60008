package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/streamversion"
)

// runningAttempt is the attempt that a call is making. Other goroutines may end it in favor of the next
// one, once that is reserved.
type runningAttempt struct {
	choice *backend.Choice
	next   nextAttempt
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// wrote is set once the server has written an event of the answer.
	wrote bool
	// reserved is the next attempt, or nil. ended is set once the attempt has ended.
	reserved *grant
	ended    bool
	// refused is why the next attempt was last refused, or nil, and refusedRetry the decision of the retry
	// budget if that refused it.
	refused      *Refusal
	refusedRetry *allowance.Verdict
	// silence is the timer for a server that stays silent, or nil. silent is set once its silence is recorded.
	silence *time.Timer
	silent  bool
}

// replace ends the attempt with a cause if the next attempt can be reserved. Otherwise the attempt goes on
// and the reason is returned. It has no effect on an attempt that has ended.
func (a *runningAttempt) replace(cause error, now time.Time) *Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.reserved != nil {
		return nil
	}
	if refusal := a.reserveNext(cause, now); refusal != nil {
		return refusal
	}
	a.cancel(cause)
	return nil
}

// reserveAfterAnswer reserves the next attempt of one that has been answered, or returns why that is refused.
func (a *runningAttempt) reserveAfterAnswer(now time.Time) *Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reserved != nil {
		return nil
	}
	return a.reserveNext(errServerFailed, now)
}

// reserveNext reserves the next attempt, or records why that is refused. The caller holds the lock.
func (a *runningAttempt) reserveNext(cause error, now time.Time) *Refusal {
	g, refusal := a.grantNext(errors.Is(cause, errLeaving), now)
	if refusal == nil {
		a.reserved = &g
		return nil
	}
	if a.refused == nil {
		a.next.run.options.Metrics.countKept(a.next.run.call.Service, cause)
	}
	a.refused, a.refusedRetry = refusal, nil
	if g.retry != nil && !g.retry.Admitted {
		a.refusedRetry = g.retry
	}
	return refusal
}

// grantNext takes all that the next attempt needs, or nothing. If it is made because the server leaves, no
// leaving server may get it. The caller holds the lock.
func (a *runningAttempt) grantNext(leaving bool, now time.Time) (grant, *Refusal) {
	n, r := a.next, a.next.run
	n.begun = n.begun || a.wrote
	version, refusal := r.retryVersion(n.begun)
	if refusal == nil && a.wrote && r.hasStreamVersion() && a.choice.ListedVersion() != a.choice.Version {
		refusal = streamVersionRefusal(streamversion.ErrAmbiguous)
	}
	if refusal != nil {
		return grant{}, refusal
	}
	n.need.Candidate, n.need.Version = version.candidate, version.stream.Version
	n.need.Remaining = r.call.Deadline().Sub(now)
	n.need.Resumed = n.need.Resumed || a.wrote
	if leaving {
		n.need.Excluded = withElement(n.need.Excluded, a.choice.ID)
	}
	g, refusal := n.reserve(now)
	if refusal != nil {
		return g, refusal
	}
	g.version, g.begun = version, n.begun
	if leaving && g.choice.Leaving() {
		g.choice.RefundAdmission()
		g.choice.End(backend.OutcomeNeutral, now)
		r.refund(g)
		return g, &Refusal{Reason: "all other servers leave as well"}
	}
	return g, nil
}

// mayWrite records that the server has written an event. It returns false if the caller must not get it,
// because the next attempt was reserved for a stream without events.
func (a *runningAttempt) mayWrite() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reserved != nil && !a.reserved.begun {
		return false
	}
	a.wrote = true
	return true
}

// end ends the attempt. The call takes over the next one, if it was reserved, or why it was refused.
func (a *runningAttempt) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.silence != nil {
		a.silence.Stop()
	}
	r := a.next.run
	r.reserved = a.reserved
	if a.refused == nil {
		return
	}
	r.notRetried = a.refused.Reason
	if a.refusedRetry != nil && !r.retryUnused {
		r.retryVerdict = a.refusedRetry
	}
}

// watchSilence replaces the attempt after a timeout if the next one can be reserved. Otherwise the server
// works on, and the next attempt is asked for again after another timeout.
func (a *runningAttempt) watchSilence(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.silence = time.AfterFunc(timeout, func() {
		now := time.Now()
		if a.replace(errSilent, now) == nil {
			return
		}
		a.recordSilence(now)
		a.watchSilence(timeout)
	})
}

// recordSilence records once that the server is silent, so that other requests avoid it.
func (a *runningAttempt) recordSilence(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.silent && !a.ended {
		a.silent = true
		a.choice.RecordSilence(now)
	}
}
