// Package allowance limits how many tokens each workspace may use, over all daemons together. Each
// daemon counts what was used within a sliding window: what it admits itself and what its peers
// report. The package does no I/O; callers pass in the current time and the source of randomness.
package allowance

import (
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
)

// Tolerance is how far a workspace may exceed its allowance in a window. Together with the
// allowance it bounds what any window may get.
type Tolerance struct {
	// Window is the length of the window. An allowance is its rate over that time plus one burst.
	// Zero means defaultWindow.
	Window time.Duration
	// Fraction is the part of the tolerance that is relative to the window's allowance, and Tokens
	// the absolute part that is added to it.
	Fraction float64
	Tokens   float64
}

// defaultWindow is used if the operator does not set a window.
const defaultWindow = 8 * time.Second

// tokensFor returns the tolerance for an allowance, in tokens per window.
func (t Tolerance) tokensFor(limit float64) float64 { return t.Fraction*limit + t.Tokens }

// Limiter tracks what the workspaces have used and decides which requests are admitted. It is safe
// for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	tolerance Tolerance
	// random returns a random number between zero and one.
	random  func() float64
	started time.Time
	// countingSince is the start of the period that this process has counted without a gap.
	// resumedAt is when it resumed after a stall, or zero once it has adopted what it missed from a
	// peer.
	countingSince, resumedAt time.Time
	// snapshot is the usage from before the start, or nil until it is known. settled is set once
	// all daemons have been reachable or settleTimeout has passed.
	snapshot *Snapshot
	settled  bool
	// reachableShare is the share of the known daemons that are reachable, this one included.
	// partitionedAt is when it fell below one, or zero while all are reachable.
	reachableShare float64
	partitionedAt  time.Time
	// reachKnown is set once it is known which daemons are reachable, reachedAll once all were.
	reachKnown, reachedAll bool
	// alone is set while no other daemon is reachable, once the limiter is settled.
	alone bool
	// reachablePeers and knownPeers are the numbers of reachable and of known other daemons.
	reachablePeers, knownPeers int
	// reportAge is the age of a report's data when it arrives, and reportInterval the time between
	// two reports.
	reportAge, reportInterval time.Duration
	accounts                  map[string]*account
	lastCounters              map[reporter]Counters
}

// Counters are the tokens that one or more daemons have admitted, and those they have refused for
// lack of allowance, since they started, by workspace.
type Counters struct {
	Spent, Refused map[string]float64
	// Asked are the tokens that callers have requested, by workspace and class, since more was requested than was free.
	// It is nil if there is no such workspace.
	Asked map[string][]float64
}

// reporter identifies one process of a peer.
type reporter struct {
	vm          string
	incarnation uint64
}

// account is the state of one workspace.
type account struct {
	rate  float64
	limit float64
	// used is the known usage of all daemons.
	used window
	// spent and refused are the totals that this daemon itself has admitted and refused.
	spent, refused float64
	// spentAtResume is the value of spent at the last stall.
	spentAtResume float64
	peers         peerActivity
	// ownDemand is the demand at this daemon. spentAtReport is the value of spent at the last
	// report of peers.
	ownDemand     demandMeter
	spentAtReport float64
	// sinceReport sums up the decisions since the last report of peers.
	sinceReport admissions
	// restored is set once the usage before the start of this process is known. adopted is set once
	// it has been received from a daemon that has been running for longer.
	restored, adopted bool
	// adoptedAt is when it was received, for an account of single requests: until then it covers all
	// daemons. adoptedInSlot is the part of it that is counted in the slot of that time.
	adoptedAt     time.Time
	adoptedInSlot float64
	// assumeOwnDemand is set if other daemons are assumed to have the same demand as this one until
	// theirs has been measured.
	assumeOwnDemand bool
	// assumedSpent is what peers that became reachable again are assumed to have spent before.
	assumedSpent float64
	// ownAtReport is the demand at this daemon as of the last report of peers. asked is the total of
	// all requests at this daemon, and askedAtReport its value then.
	ownAtReport          smoothedRate
	asked, askedAtReport float64
	// counter is set if the account only counts and has no limit. discrete is set if it counts single
	// requests, of which a daemon's share may be less than one.
	counter, discrete bool
	// classes is nil unless more was requested than was free within scarceFor.
	classes *classes
	// fractionNeeded is the fraction of a request that must be free for the next one to be admitted
	// by chance, or zero if it has yet to be drawn.
	fractionNeeded float64
}

const (
	// plannedToleranceShare is the share of the tolerance that is used on purpose, so that small
	// workspaces, for which the tolerance is large, are not refused the last request of a window.
	plannedToleranceShare = 0.3
	// retryToleranceShare is the share of the tolerance that retries of requests that may have run
	// can use.
	retryToleranceShare = 0.65
	// jumpToleranceShare is the share of the tolerance that is reserved for a sudden jump in a
	// workspace's demand. The rest covers lost reports, partitions and restarts. Without the
	// reserve, a jump followed by the death of all daemons or beside a partition exceeds the bound
	// (TestDeathOfAllWhileAWorkspaceIsHot, TestZoneCutWhileAWorkspaceIsHot).
	jumpToleranceShare = 0.5
	// distributionWindowShare is the share of a window over which free tokens are distributed when
	// demand exceeds them. With 0.35 s of a window of 8 s, the time in which 8 daemons learn of
	// each other's usage, the same tests fail: the tokens that a jump frees 8 s later are used up
	// at once, and more so in each following window.
	distributionWindowShare = 3.0 / 16
)

// NewLimiter returns a limiter without workspaces. Until it learns about other daemons, it assumes
// that there are many and that the allowances are used up. The function random returns a random
// number between zero and one. If it is nil, no request is admitted by chance.
func NewLimiter(tolerance Tolerance, now time.Time, random func() float64) *Limiter {
	if tolerance.Window <= 0 {
		tolerance.Window = defaultWindow
	}
	return &Limiter{
		started: now, countingSince: now, tolerance: tolerance, random: random, reachableShare: 1,
		reportAge: initialReportAge, reportInterval: initialReportAge, knownPeers: initialKnownPeers,
		accounts: map[string]*account{}, lastCounters: map[reporter]Counters{},
	}
}

// Change describes an allowance that a new configuration has changed.
type Change struct {
	Workspace string
	// PreviousLimit and Limit are the old and new limit of a window, and Used what the workspace
	// has used of it, in tokens.
	PreviousLimit, Limit, Used float64
}

// ApplyCatalog applies the allowances of a new configuration. It returns the changes to allowances
// that existed before.
func (l *Limiter) ApplyCatalog(c *catalog.Catalog, now time.Time) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []Change
	next := map[string]*account{}
	for _, w := range c.Workspaces {
		a := l.accounts[w.Name]
		if a == nil {
			a = &account{used: newWindow(l.tolerance.Window, l.started)}
			a.used.advance(now)
		}
		before := a.limit
		a.rate = w.RatePerSecond
		a.limit = w.RatePerSecond*l.tolerance.Window.Seconds() + w.Burst
		if l.accounts[w.Name] != nil && a.limit != before {
			changes = append(changes, Change{Workspace: w.Name, PreviousLimit: before, Limit: a.limit, Used: a.used.sum()})
		}
		l.restore(w.Name, a, now)
		next[w.Name] = a
	}
	l.keepRecentlyUsed(next, now)
	l.accounts = next
	return changes
}

// keepRecentlyUsed keeps the accounts that the new configuration omits while their window is not
// empty. A workspace that is listed again then continues with its usage, and its counters never
// decrease.
func (l *Limiter) keepRecentlyUsed(next map[string]*account, now time.Time) {
	for name, a := range l.accounts {
		if next[name] != nil {
			continue
		}
		a.used.advance(now)
		if a.used.sum() > 0 {
			a.rate, a.limit = 0, 0
			next[name] = a
		}
	}
}

// Admit takes tokens from a workspace's allowance, or returns when enough of them may be available.
//
// If the free tokens cover the request and everything that peers may have admitted since their last
// report, the request is admitted: what is within the allowance is not refused. Otherwise a random
// part of the requests is admitted. This lets daemons that decide at the same time, without
// knowledge of each other, admit what is free between them. They need not ask each other, however
// small each daemon's share is compared with a request.
func (l *Limiter) Admit(workspace string, tokens float64, now time.Time) Verdict {
	return l.admit(workspace, tokens, noClass, now)
}

// AdmitClass is Admit for a request whose class is known. If more is requested than is free, what is free goes to the
// classes by their priority, with a floor for each. Without knowledge of the classes of all requests, or if all are of
// one class, it decides as Admit does.
func (l *Limiter) AdmitClass(workspace string, tokens float64, class Class, now time.Time) Verdict {
	return l.admit(workspace, tokens, class, now)
}

func (l *Limiter) admit(workspace string, tokens float64, class Class, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.rate <= 0 {
		return Verdict{Admitted: true, Class: class}
	}
	a.used.advance(now)
	a.ownDemand.add(tokens, now)
	a.asked += tokens
	// A request larger than the whole allowance is admitted to an empty window.
	need := min(tokens, a.limit)
	free := l.free(a, now) + l.toleranceMargin(a, now)
	free -= l.spentInSilence(a, now)
	verdict := l.newVerdict(a, free, now)
	probability := l.admissionProbability(a, need, free, verdict.Unreported, now)
	verdict.Class, verdict.EvenProbability = class, probability
	a.countClass(class, tokens, probability < 1, now)
	if class != noClass && probability > 0 && probability < 1 && l.mixKnown(a, now) {
		verdict.ByClass = true
		probability = l.classProbability(a, class, tokens, probability, now)
	}
	verdict.Probability = probability
	verdict.Admitted = probability >= 1 || probability > 0 && l.random() < probability
	verdict.ByChance = verdict.Admitted && need+verdict.Unreported > free
	// Peers admit the even share of all their requests, whatever the class of this one.
	a.sinceReport.add(tokens, verdict.EvenProbability)
	if !verdict.Admitted {
		a.refused += tokens
		verdict.RetryAfter = l.retryAfter(a, need+verdict.Unreported-free, now)
		if class != noClass && l.random != nil && l.mixKnown(a, now) && !l.reportOverdue(a, now) {
			verdict.RetryAfter = l.classRetryAfter(a, class, free, now)
		}
		return verdict
	}
	a.spend(tokens, now)
	verdict.At = now
	return verdict
}

// AdmitRetry takes tokens for another run of an admitted request that may have run already. Retries
// have priority over new requests, which are refused in their favor.
func (l *Limiter) AdmitRetry(workspace string, tokens float64, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.rate <= 0 {
		return Verdict{Admitted: true, Class: noClass}
	}
	a.used.advance(now)
	free := l.free(a, now) + l.reachableShare*retryToleranceShare*l.tolerance.tokensFor(a.limit)
	verdict := l.newVerdict(a, free, now)
	if min(tokens, a.limit) > free {
		return verdict
	}
	a.spend(tokens, now)
	verdict.Admitted, verdict.At = true, now
	return verdict
}

// spend counts tokens that this daemon admits.
func (a *account) spend(tokens float64, now time.Time) {
	a.used.add(tokens, now)
	a.spent += tokens
}

// free returns the tokens that this daemon may use: what is left in the window or, during a
// partition, this side's share of what was left when it began.
func (l *Limiter) free(a *account, now time.Time) float64 {
	if !a.restored && now.Sub(l.started) < l.tolerance.Window {
		// The whole allowance may have been used just before the start.
		return unknownUsageShare*l.tolerance.tokensFor(a.limit) - a.used.sum()
	}
	if l.catchingUp(now) {
		return unknownUsageShare*l.tolerance.tokensFor(a.limit)/float64(l.reachablePeers+1) - (a.spent - a.spentAtResume)
	}
	used := a.used.sum()
	begin := l.partitionBegin(a)
	if begin.IsZero() {
		return a.limit - used
	}
	usedBefore := a.usedBefore(begin)
	return l.shareOf(a)*(a.limit-usedBefore) - (used - usedBefore)
}

// toleranceMargin returns the part of the tolerance that is used on purpose. A negative value is
// the part of the allowance that is held back. A workspace whose demand jumps gets tokens from all
// daemons before they receive each other's reports, and the tolerance has to cover this.
func (l *Limiter) toleranceMargin(a *account, now time.Time) float64 {
	tolerance := l.tolerance.tokensFor(a.limit)
	jump := max(0, assumedDemandFactor*a.rate-l.othersDemand(a, now)) * (l.reportAge + l.reportInterval).Seconds()
	if l.alone && a.discrete {
		return 0
	}
	if l.alone {
		jump = 0
	}
	return l.shareOf(a) * min(plannedToleranceShare*tolerance, jumpToleranceShare*tolerance-jump)
}

// admissionProbability returns the probability with which a request is admitted. A probability below one
// lets it get a part of the free tokens.
func (l *Limiter) admissionProbability(a *account, need, free, unreported float64, now time.Time) float64 {
	switch {
	case l.exceedsReportShare(a, free):
		return 0
	case need+unreported <= free:
		return 1
	case free <= 0 || l.random == nil:
		return 0
	}
	demand := l.othersDemand(a, now)
	if a.assumeOwnDemand {
		// If there are no other daemons, its own requests compete for the free tokens.
		demand += a.ownDemand.rate(now)
		free *= l.usableShare(a, now)
	}
	competing := demand * max(l.distributionTime(), l.reportAge+l.reportInterval, l.unreportedTime(a, now)).Seconds()
	if competing == 0 && l.reachableShare >= 1 {
		return 0
	}
	if a.discrete && competing < need {
		return l.admitFraction(a, free/need)
	}
	return min(1, free/max(competing, need))
}

// distributionTime is the time over which free tokens are distributed when demand exceeds them.
func (l *Limiter) distributionTime() time.Duration {
	return time.Duration(distributionWindowShare * float64(l.tolerance.Window))
}

// uncertainShare is the share of the free tokens that may be used while the activity of peers is
// unknown.
const uncertainShare = 0.5

// usableShare returns the share of the free tokens that may be used.
func (l *Limiter) usableShare(a *account, now time.Time) float64 {
	if l.reportOverdue(a, now) || a.peers.remeasuring(now) {
		return uncertainShare
	}
	return 1
}

// retryAfter returns how long a caller should wait until the missing tokens are available.
func (l *Limiter) retryAfter(a *account, missing float64, now time.Time) time.Duration {
	if !a.restored && now.Sub(l.started) < l.tolerance.Window {
		return unsettledRetryAfter
	}
	wait := a.used.timeToFree(missing/l.reachableShare, now)
	if l.othersDemand(a, now) > 0 && l.random != nil {
		// Spread the retries: if all refused callers came back when the tokens become free, only a
		// few would get them.
		wait += time.Duration(l.random() * float64(wait))
	}
	return wait
}

// Refund returns the tokens of a request that was admitted at the given time and has not run.
// Tokens that have left the window since are not returned to it.
func (l *Limiter) Refund(workspace string, tokens float64, admitted time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[workspace]; a != nil {
		a.used.remove(tokens, admitted)
		a.spent -= tokens
	}
}

// OwnCounters returns what this daemon has admitted and refused.
func (l *Limiter) OwnCounters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	counters := Counters{Spent: map[string]float64{}, Refused: map[string]float64{}}
	for name, a := range l.accounts {
		if a.spent != 0 {
			counters.Spent[name] = a.spent
		}
		if a.refused != 0 {
			counters.Refused[name] = a.refused
		}
		a.addAsked(name, &counters)
	}
	return counters
}

// Report contains the counters of one peer process, or those of all other daemons as added up by
// that process.
type Report struct {
	VM          string
	Incarnation uint64
	Counters    Counters
	// Baseline is set for the first report from a process that has been running for a while.
	// Earlier spending was reported by another source, so the counters only serve as the base for
	// the next report.
	Baseline bool
	// JustStarted is set if that process has just started.
	JustStarted bool
	// Age is how old the counters may be, and Interval the time until the next report.
	Age, Interval time.Duration
}

// ApplyReport adds the increase of the counters since the last report of the same process to the
// usage.
func (l *Limiter) ApplyReport(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportAge, l.reportInterval = r.Age, r.Interval
	key := reporter{r.VM, r.Incarnation}
	before, known := l.lastCounters[key]
	for name, a := range l.accounts {
		a.used.advance(now)
		if a.counter {
			l.applyCounterReport(a, name, r, before, now)
			continue
		}
		if r.Baseline {
			// No report covers the time between two sources. Without an estimate, while all leaders
			// were dead, a workspace whose demand had jumped used a quarter of its allowance
			// unreported.
			if l.alone {
				continue
			}
			a.used.add(l.spentBetweenSources(a, r.JustStarted, now), now)
			a.rebaseClasses(now)
			a.peers.reportedAt, a.peers.changedAt, a.spentAtReport, a.sinceReport = now, now, a.spent, admissions{}
			continue
		}
		spent := a.unassumed(r.Counters.Spent[name] - before.Spent[name])
		refused := r.Counters.Refused[name] - before.Refused[name]
		if spent < 0 {
			a.used.removeNewest(-spent)
		} else {
			a.used.add(spent, now)
		}
		a.observeOwn(now)
		a.observeClasses(r.Counters.Asked[name], before.Asked[name], spent, refused, now)
		if !l.alone {
			a.peers.observe(spent, refused, l.reachablePeerShare(), now)
			a.spentAtReport, a.sinceReport = a.spent, admissions{}
		}
	}
	if !known {
		for old := range l.lastCounters {
			if old.vm == r.VM {
				delete(l.lastCounters, old)
			}
		}
	}
	l.lastCounters[key] = r.Counters
}
