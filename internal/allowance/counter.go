package allowance

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// account returns an account that is not part of the configuration, and creates it if needed. The
// caller holds the lock.
func (l *Limiter) account(name string, now time.Time) *account {
	a := l.accounts[name]
	if a == nil {
		a = l.newAccount(name)
		a.used.advance(now)
		l.restore(name, a, now)
		l.accounts[name] = a
	}
	return a
}

func (l *Limiter) newAccount(name string) *account {
	if strings.HasPrefix(name, CounterPrefix) {
		return &account{used: newWindow(CounterWindows*l.tolerance.Window, l.started), counter: true}
	}
	return &account{used: newWindow(l.tolerance.Window, l.started), discrete: true}
}

// CounterWindows is the number of windows over which accounts that only count do so.
const CounterWindows = 2

// CounterPrefix begins the names of accounts that only count and have no limit.
const CounterPrefix = "count/"

// Names returns the names of the accounts.
func (l *Limiter) Names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.accounts))
}

// Open creates an account that is not part of the configuration, so that the limiter follows its usage.
func (l *Limiter) Open(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(name, now)
}

// Used returns the tokens that an account has used in the last window, as far as known.
func (l *Limiter) Used(name string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name, now)
	a.used.advance(now)
	return a.used.sum()
}

// SetLimit sets the tokens of a window of an account that is not part of the configuration. Unlike
// SetRate, it keeps what is known of its usage.
func (l *Limiter) SetLimit(name string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name, now)
	a.rate, a.limit = tokens/l.tolerance.Window.Seconds(), tokens
}

// Count adds tokens to an account that only counts.
func (l *Limiter) Count(name string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name, now)
	a.used.advance(now)
	a.spend(tokens, now)
}

// Counted returns what all daemons have counted between two times, the later of which is not after now.
// During a partition the unreachable daemons are assumed to count as much as the reachable ones, so that
// each side's share of the result is what it has counted itself.
func (l *Limiter) Counted(name string, from, to, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name, now)
	a.used.advance(now)
	counted := a.used.sumBefore(to) - a.used.sumBefore(from)
	if to.Equal(now) {
		counted = a.used.sum() - a.used.sumBefore(from)
	}
	begin := l.partitionBegin(a)
	if begin.IsZero() {
		return counted
	}
	begin = latest(begin, from)
	sinceBegin := a.used.sum() - a.used.sumBefore(begin)
	if to.Before(now) {
		sinceBegin = max(0, a.used.sumBefore(to)-a.used.sumBefore(begin))
	}
	return max(counted, sinceBegin/l.shareOf(a))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// partitionBegin returns when the current partition began, or zero without one. An account of single
// requests counts a process as partitioned until it reaches all daemons: another one that it does not
// reach yet may use the same requests. What it has adopted covers those daemons as well.
func (l *Limiter) partitionBegin(a *account) time.Time {
	if (a.discrete || a.counter) && !l.reachedAll {
		return latest(l.started, a.adoptedAt)
	}
	return l.partitionedAt
}

// usedBefore returns what was used before a time. If that is the time at which usage was adopted, all that
// was adopted counts.
func (a *account) usedBefore(at time.Time) float64 {
	used := a.used.sumBefore(at)
	if at.Equal(a.adoptedAt) && a.used.slotAt(at) != nil {
		used += a.adoptedInSlot
	}
	return used
}

// spentByUnreachable returns what daemons may have used since a partition began that are not reachable:
// as much as the reachable ones.
func (l *Limiter) spentByUnreachable(a *account) float64 {
	begin := l.partitionBegin(a)
	if begin.IsZero() {
		return 0
	}
	share, usedBefore := l.shareOf(a), a.usedBefore(begin)
	atMost := (1 - share) * max(0, a.limit-usedBefore)
	return min(atMost, (1/share-1)*(a.used.sum()-usedBefore))
}

// assumeSpentByRegained counts what daemons may have used that this process reaches for the first time.
// Their reports do not include it, because they only say what is used from then on.
func (l *Limiter) assumeSpentByRegained(a *account, reachableShare float64, now time.Time) {
	if !a.discrete || !l.reachKnown || l.reachedAll {
		return
	}
	a.used.advance(now)
	regained := (reachableShare - l.reachableShare) / (1 - l.reachableShare)
	a.assumedSpent = regained * l.spentByUnreachable(a)
	a.used.add(a.assumedSpent, now)
}

// unassumed returns the part of reported spending that was not assumed before.
func (a *account) unassumed(spent float64) float64 {
	if a.assumedSpent == 0 || spent < 0 {
		return spent
	}
	rest := max(0, spent-a.assumedSpent)
	a.assumedSpent = 0
	return rest
}

// shareOf returns this side's share of an account during a partition. Until it is known which daemons
// are reachable, the largest deployment is assumed.
func (l *Limiter) shareOf(a *account) float64 {
	if (a.discrete || a.counter) && !l.reachKnown {
		return 1.0 / (1 + initialKnownPeers)
	}
	return l.reachableShare
}

// applyCounterReport adds what peers report to an account that only counts. It counts too little rather
// than too much, because limits follow from it: reports of peers that become reachable again, and those
// that cover more than a window, include what was counted long before.
func (l *Limiter) applyCounterReport(a *account, name string, r Report, before Counters, now time.Time) {
	counted := r.Counters.Spent[name] - before.Spent[name]
	elapsed := now.Sub(a.peers.reportedAt)
	backlog := a.peers.backlog || r.Baseline
	a.peers.reportedAt, a.peers.backlog = now, false
	if !backlog && counted > 0 {
		a.used.add(counted*min(1, a.used.length().Seconds()/elapsed.Seconds()), now)
	}
}

// fractionShare is the share of the fractions of a request that is used by chance. The rest covers
// deviations from the mean over daemons that know nothing of each other.
const fractionShare = 0.7

// admitFraction returns one if the free fraction of a request admits one, and zero otherwise. The fraction
// that is needed is drawn once for each admitted request. If it were drawn for each attempt, callers who
// ask often would get more than the fraction on average.
func (l *Limiter) admitFraction(a *account, fraction float64) float64 {
	if a.fractionNeeded == 0 {
		a.fractionNeeded = 1 - l.random()
	}
	if fractionShare*fraction < a.fractionNeeded {
		return 0
	}
	a.fractionNeeded = 0
	return 1
}
