// Package retrybudget limits how many requests are retried, over all daemons together. Daemons report
// to each other how many requests and retries they send and follow the sums over a sliding window, so
// that a daemon may use what others leave, and one that starts learns what was spent before. It does no
// I/O, and callers pass in the current time and the source of randomness.
package retrybudget

import (
	"strings"
	"time"

	"github.com/plankridge/plankridge/internal/allowance"
)

// Bounds is the retry budget of the whole deployment.
type Bounds struct {
	// RetryRatio is the number of retries allowed per request.
	RetryRatio float64
	// ExtraRetries is the number of additional retries allowed in each window.
	ExtraRetries float64
	Window       time.Duration
}

const (
	// usableShare is the share of the budget that daemons use on purpose. The rest covers what they
	// send before they learn of each other's retries, and retries that arrive later than they are
	// counted.
	usableShare = 0.92
	// toleranceFraction is the rest of the budget, as a share of what is used on purpose.
	toleranceFraction = 1/usableShare - 1
)

// Names of accounts in reports and records. The name of the service follows.
const (
	retriesPrefix  = "retries/"
	requestsPrefix = allowance.CounterPrefix + "requests/"
)

// Budget is the retry budget as seen by one daemon. It is safe for concurrent use. Peers' reports,
// partitions and stalls are passed to the embedded limiter.
type Budget struct {
	*allowance.Limiter
	bounds Bounds
}

// defaultWindow is used if Bounds.Window is not set.
const defaultWindow = 10 * time.Second

// New returns a Budget. Until it learns what was spent before now, it admits hardly any retries. The
// function random returns a random number between zero and one.
func New(bounds Bounds, now time.Time, random func() float64) *Budget {
	if bounds.Window <= 0 {
		bounds.Window = defaultWindow
	}
	tolerance := allowance.Tolerance{Window: bounds.Window, Fraction: toleranceFraction}
	return &Budget{bounds: bounds, Limiter: allowance.NewLimiter(tolerance, now, random)}
}

// AddService makes the budget follow what is reported about a service.
func (b *Budget) AddService(service string, now time.Time) { b.updateLimit(service, now) }

// updateLimit sets the limit of a service by the requests of the last window, and returns it.
func (b *Budget) updateLimit(service string, now time.Time) float64 {
	return b.setLimit(service, b.requests(service, now), now)
}

// requests returns the number of requests that justify the retries of the last window. The bound holds
// for windows that begin at any time and compares their retries with the requests of the same window, of
// the one before or of the one half a window earlier. Where the rate of requests has changed, all of
// these may contain fewer requests than the last window.
func (b *Budget) requests(service string, now time.Time) float64 {
	counted := func(from, to time.Duration) float64 {
		return b.Counted(requestsPrefix+service, now.Add(-from), now.Add(-to), now)
	}
	window := b.bounds.Window
	requests := counted(window, 0)
	for begin := window / requestSteps; begin < window; begin += window / requestSteps {
		requests = min(requests, max(counted(begin, 0), counted(begin+window/2, max(0, begin-window/2)), counted(begin+window, begin)))
	}
	return requests
}

// requestSteps is the number of times within a window at which others may begin that are compared.
const requestSteps = 4

func (b *Budget) setLimit(service string, requests float64, now time.Time) float64 {
	limit := usableShare * (b.bounds.RetryRatio*requests + b.bounds.ExtraRetries)
	b.SetLimit(retriesPrefix+service, limit, now)
	return limit
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(service string, now time.Time) { b.Count(requestsPrefix+service, 1, now) }

// TryRetry decides whether the budget allows another retry, and counts it if so.
func (b *Budget) TryRetry(service string, now time.Time) allowance.Verdict {
	if limit := b.updateLimit(service, now); limit < 1 {
		return allowance.Verdict{Limit: limit}
	}
	return b.Admit(retriesPrefix+service, 1, now)
}

// Refund returns a retry that was admitted at the given time and has not been sent.
func (b *Budget) Refund(service string, admitted time.Time) {
	b.Limiter.Refund(retriesPrefix+service, 1, admitted)
}

// Restore sets what was spent before the start. Only the first call has an effect.
func (b *Budget) Restore(snapshot allowance.Snapshot, now time.Time) {
	b.addReported(snapshot.Usage, now)
	snapshot.Demand = b.demandBefore(snapshot)
	b.Limiter.Restore(snapshot, now)
}

// maxRetryDemand is the number of retries per request that are assumed to be asked for when servers have
// just begun to fail: those of routes with three attempts.
const maxRetryDemand = 2

// demandBefore returns how many retries per second may have been asked for after a snapshot was written.
// What was recorded is only valid if retries were sent for some time before. Otherwise servers may have
// begun to fail since.
func (b *Budget) demandBefore(snapshot allowance.Snapshot) map[string]float64 {
	demand := map[string]float64{}
	for account, usage := range snapshot.Usage {
		service, found := strings.CutPrefix(account, requestsPrefix)
		if !found {
			continue
		}
		retries := retriesPrefix + service
		demand[retries] = snapshot.Demand[retries]
		if earlier := len(usage) - 2; snapshot.Usage[retries][earlier] == 0 {
			span := allowance.CounterWindows * b.bounds.Window.Seconds() / float64(len(usage))
			demand[retries] = max(demand[retries], maxRetryDemand*max(usage[earlier], usage[earlier+1])/span)
		}
	}
	return demand
}

// AdoptFromPeer adopts what a peer has counted that has done so for longer.
func (b *Budget) AdoptFromPeer(usage map[string]allowance.Usage, demand map[string]float64, counted time.Duration, now time.Time) bool {
	if counted <= b.CountedFor(now) {
		return false
	}
	b.addReported(usage, now)
	return b.Limiter.AdoptFromPeer(usage, demand, counted, now)
}

// addReported adds the services of which usage is reported, with the limits that follow from it.
func (b *Budget) addReported(usage map[string]allowance.Usage, now time.Time) {
	for account := range usage {
		service, found := strings.CutPrefix(account, retriesPrefix)
		if !found {
			service, found = strings.CutPrefix(account, requestsPrefix)
		}
		if found {
			b.Open(requestsPrefix+service, now)
			b.setLimit(service, usage[requestsPrefix+service].Sum(), now)
		}
	}
}

// State is the budget of one service.
type State struct {
	// Allowed is the number of retries that all daemons may send in a window, and Spent the number
	// that they have sent in the last one, as far as known.
	Allowed, Spent float64
}

// States returns the budgets by service.
func (b *Budget) States(now time.Time) map[string]State {
	states := map[string]State{}
	for _, account := range b.Names() {
		if service, found := strings.CutPrefix(account, retriesPrefix); found {
			states[service] = State{Allowed: b.updateLimit(service, now), Spent: b.Used(account, now)}
		}
	}
	return states
}
