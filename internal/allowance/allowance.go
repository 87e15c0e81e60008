// Package allowance enforces how many tokens a workspace may use, over all
// daemons together. Each daemon counts what was used within the window for which
// the allowance is meant: what it admits itself and what its peers report. It
// does no I/O; the time and chance are passed in.
package allowance

import (
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
)

// Tolerance is how far above its allowance a workspace may get in a window.
type Tolerance struct {
	// Window is the length for which an allowance is meant: its rate over that time and
	// one burst. Zero stands for defaultWindow.
	Window time.Duration
	// Fraction is a share of the window's allowance, Tokens a number besides.
	Fraction float64
	Tokens   float64
}

// defaultWindow is used where the operator states none.
const defaultWindow = 8 * time.Second

// tokensFor returns the tolerance of an allowance, in tokens of a window.
func (t Tolerance) tokensFor(limit float64) float64 { return t.Fraction*limit + t.Tokens }

// Limiter holds what the workspaces have used.
type Limiter struct {
	mu        sync.Mutex
	tolerance Tolerance
	// random returns a number from zero to one by chance.
	random  func() float64
	started time.Time
	// countingSince is since when what the workspaces use has been counted without a gap, and
	// resumedAt is when this process went on after it had stood still, until it is told what
	// it missed.
	countingSince, resumedAt time.Time
	// snapshot is what was known at the start, once it is known. settled is set once
	// all daemons were heard, or have had the time to be.
	snapshot *Snapshot
	settled  bool
	// reachableShare is the part of the daemons that is heard, this one included, and partitionedAt
	// since when it is not all of them. It is zero while all are heard.
	reachableShare float64
	partitionedAt  time.Time
	// alone is set while no other is heard, after the time to be.
	alone bool
	// reachablePeers is the number of other daemons that are heard, and knownPeers of those that are known.
	reachablePeers, knownPeers int
	// reportAge is how old what is told may be when it comes, and round the time until the
	// next news.
	reportAge, reportInterval time.Duration
	accounts                  map[string]*account
	lastCounters              map[reporter]Counters
}

// Counters are what a daemon, or several, have admitted and refused for lack of
// allowance since their start, in tokens by workspace.
type Counters struct {
	Spent, Refused map[string]float64
}

// reporter is one process of a peer.
type reporter struct {
	vm          string
	incarnation uint64
}

// account is what one workspace uses.
type account struct {
	rate  float64
	limit float64
	// used is what is known to have been used by all.
	used window
	// spent and refused are all that this daemon itself has admitted and refused.
	spent, refused float64
	// spentAtResume is what it had admitted when it last stood still.
	spentAtResume float64
	peers         peerActivity
	// ownDemand is how fast this daemon itself is asked, and spentAtReport what it had admitted when
	// others were last heard.
	ownDemand     demandMeter
	spentAtReport float64
	// restored is set once what was used before this process started is known, and
	// adopted once a daemon that has been running for longer has told it.
	restored, adopted bool
	// assumeOwnDemand is set where other daemons are assumed to have this daemon's demand until theirs has been
	// measured.
	assumeOwnDemand bool
}

const (
	// plannedToleranceShare is the part of the tolerance that is used on purpose: small workspaces, for
	// which it is large, are not refused the last request of a window.
	plannedToleranceShare = 0.3
	// retryToleranceShare is the part of the tolerance up to which requests that may have run are run again.
	retryToleranceShare = 0.65
	// jumpToleranceShare is the part of the tolerance that is left to a sudden jump of a workspace.
	// The rest covers lost reports, cuts and starts. Were nothing held back for jumps, deaths
	// of all and cuts beside a jump would break the rule (TestDeathOfAllWhileAWorkspaceIsHot,
	// TestZoneCutWhileAWorkspaceIsHot).
	jumpToleranceShare = 0.5
	// distributionWindowShare is the part of a window over which what is free goes to those that want more
	// than that. Over 0.35 s of 8 s, the time until 8 daemons hear of each other, the same tests
	// break: the room that a jump leaves is used up at once 8 s later, and more in each turn.
	distributionWindowShare = 3.0 / 16
)

// NewLimiter returns a limiter without workspaces. Until it is told of others, it takes
// itself for one of many, and the allowances for used up.
func NewLimiter(tolerance Tolerance, now time.Time, draw func() float64) *Limiter {
	if tolerance.Window <= 0 {
		tolerance.Window = defaultWindow
	}
	return &Limiter{
		started: now, countingSince: now, tolerance: tolerance, random: draw, reachableShare: 1,
		reportAge: initialReportAge, reportInterval: initialReportAge, knownPeers: initialKnownPeers,
		accounts: map[string]*account{}, lastCounters: map[reporter]Counters{},
	}
}

// Change is an allowance that a configuration has changed.
type Change struct {
	Workspace string
	// PreviousLimit and Limit are what it may use in a window, and Used what it has, in tokens.
	PreviousLimit, Limit, Used float64
}

// ApplyCatalog takes over the allowances of a configuration. It returns those that were there before
// and have changed.
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
		a.rate = w.TokensPerSecond
		a.limit = w.TokensPerSecond*l.tolerance.Window.Seconds() + w.Burst
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

// keepRecentlyUsed adds the accounts that a configuration does not name any more, while something was used in their window:
// one that is named again goes on with it, and its counters only grow.
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

// SetReachable takes over how many of the known daemons are heard, this one
// included. Each side of a partition uses its part of what was left, so that the
// parts never add up to more than the whole.
func (l *Limiter) SetReachable(heard, known int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := 1.0
	if known > 0 {
		share = min(1, float64(heard)/float64(known))
	}
	l.settled = l.settled || share >= 1 || now.Sub(l.started) >= settleTimeout
	l.alone = l.settled && heard <= 1
	before := l.reachablePeerShare()
	l.reachablePeers, l.knownPeers = max(0, heard-1), max(0, known-1)
	switch {
	case share >= 1:
		l.partitionedAt = time.Time{}
	case l.settled && l.partitionedAt.IsZero():
		l.partitionedAt = now
	}
	for _, a := range l.accounts {
		l.updateReachable(a, share, before-l.reachablePeerShare(), now)
	}
	l.reachableShare = share
}

// updateReachable takes over that the part of the daemons that is heard has changed, and that a part of the others is not
// heard any more. Those go on, but with their own part; what they have spent since they fell
// silent is taken to be as much as before. Those that are heard again tell at once what
// they have spent meanwhile, which says nothing of how fast they are asked: taken for 0.15 s
// worth of it, 5 s of a cut kept a workspace from what was free for 8 s more.
func (l *Limiter) updateReachable(a *account, share, lost float64, now time.Time) {
	if share != l.reachableShare {
		a.peers.changedAt = now
	}
	if share > l.reachableShare {
		a.peers.backlog = true
	}
	if lost > 0 {
		a.used.advance(now)
		a.used.add(a.peers.spending.perSecond*lost*l.reportAge.Seconds(), now)
	}
}

// Admit takes tokens from a workspace's allowance, or says when enough may be
// there.
//
// Where all that others can be asked for until they are heard fits beside the request,
// it is admitted: what is within the allowance is not refused. Where it does not fit,
// what is free goes to a part of all requests, drawn by chance: daemons that decide
// at once and do not know of each other so admit what is free together, without asking
// each other and however small the part of each is beside a request.
func (l *Limiter) Admit(workspace string, tokens float64, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.rate <= 0 {
		return Verdict{Admitted: true}
	}
	a.used.advance(now)
	a.ownDemand.add(tokens, now)
	// A request above the whole allowance of a window is admitted to an empty one.
	need := min(tokens, a.limit)
	free := l.free(a, now) + l.toleranceMargin(a, now)
	if a.assumeOwnDemand && l.reportOverdue(a, now) {
		free -= a.peers.unreportedSpend(now)
	}
	verdict := l.newVerdict(a, free, now)
	verdict.Admitted = need+verdict.Unreported <= free
	if !verdict.Admitted {
		verdict.ByChance = l.admitByChance(a, need, free, now)
		verdict.Admitted = verdict.ByChance
	}
	if !verdict.Admitted {
		a.refused += tokens
		verdict.RetryAfter = l.retryAfter(a, need+verdict.Unreported-free, now)
		return verdict
	}
	a.spend(tokens, now)
	verdict.At = now
	return verdict
}

// AdmitRetry takes tokens for one more run of a request that was admitted and may have run. It goes before new requests,
// which are refused for it.
func (l *Limiter) AdmitRetry(workspace string, tokens float64, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.rate <= 0 {
		return Verdict{Admitted: true}
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

// free returns what this daemon may count on: what is left of the window, or in a
// partition its part of what was left when it began.
func (l *Limiter) free(a *account, now time.Time) float64 {
	if !a.restored && now.Sub(l.started) < l.tolerance.Window {
		// All may have been used a moment before the start.
		return unknownUsageShare*l.tolerance.tokensFor(a.limit) - a.used.sum()
	}
	if l.catchingUp(now) {
		return unknownUsageShare*l.tolerance.tokensFor(a.limit)/float64(l.reachablePeers+1) - (a.spent - a.spentAtResume)
	}
	used := a.used.sum()
	if l.partitionedAt.IsZero() {
		return a.limit - used
	}
	before := a.used.sumBefore(l.partitionedAt)
	return l.reachableShare*(a.limit-before) - (used - before)
}

// toleranceMargin returns how much of the tolerance is used on purpose, or below zero what is held
// back: a workspace that suddenly asks for much more gets, before daemons have heard of it,
// what the tolerance has to cover.
func (l *Limiter) toleranceMargin(a *account, now time.Time) float64 {
	tolerance := l.tolerance.tokensFor(a.limit)
	jump := max(0, assumedDemandFactor*a.rate-l.othersDemand(a, now)) * (l.reportAge + l.reportInterval).Seconds()
	if l.alone {
		jump = 0
	}
	return l.reachableShare * min(plannedToleranceShare*tolerance, jumpToleranceShare*tolerance-jump)
}

// admitByChance draws whether a request is among those to which the rest goes.
func (l *Limiter) admitByChance(a *account, need, free float64, now time.Time) bool {
	if free <= 0 || l.random == nil {
		return false
	}
	asked := l.othersDemand(a, now)
	if a.assumeOwnDemand {
		// Without other daemons its own requests compete for what is free.
		asked += a.ownDemand.rate(now)
		free *= l.usableShare(a, now)
	}
	rivals := asked * max(l.distributionTime(), l.reportAge+l.reportInterval, l.unreportedTime(a, now)).Seconds()
	if rivals == 0 && l.reachableShare >= 1 {
		return false
	}
	return l.random() < free/max(rivals, need)
}

// distributionTime is the time over which what is free goes to those that want more than that.
func (l *Limiter) distributionTime() time.Duration {
	return time.Duration(distributionWindowShare * float64(l.tolerance.Window))
}

// uncertainShare is the part of what is free that is used while what others do is not known.
const uncertainShare = 0.5

// usableShare returns the part of what is free that may be used.
func (l *Limiter) usableShare(a *account, now time.Time) float64 {
	if l.reportOverdue(a, now) || a.peers.remeasuring(now) {
		return uncertainShare
	}
	return 1
}

// retryAfter returns how long a caller had better wait until what is missing is there.
func (l *Limiter) retryAfter(a *account, missing float64, now time.Time) time.Duration {
	if !a.restored && now.Sub(l.started) < l.tolerance.Window {
		return unsettledRetryAfter
	}
	wait := a.used.timeToFree(missing/l.reachableShare, now)
	if l.othersDemand(a, now) > 0 && l.random != nil {
		// Were all that were refused to come back as it leaves, it would go to few of them.
		wait += time.Duration(l.random() * float64(wait))
	}
	return wait
}

// Refund gives back the tokens of a request that was admitted at a time and has not run.
// What has left the window meanwhile is not there to be taken back.
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
	own := Counters{Spent: map[string]float64{}, Refused: map[string]float64{}}
	for name, a := range l.accounts {
		if a.spent != 0 {
			own.Spent[name] = a.spent
		}
		if a.refused != 0 {
			own.Refused[name] = a.refused
		}
	}
	return own
}

// Report is what a peer's process, or all others as that process tells, have counted.
type Report struct {
	VM          string
	Incarnation uint64
	Counters    Counters
	// Baseline is set when this daemon had not listened to a process that has been running
	// for a while: what was spent before came from another source.
	Baseline bool
	// Age is how old the counts may be, and Round the time until the next ones.
	Age, Interval time.Duration
}

// ApplyReport takes over a report.
func (l *Limiter) ApplyReport(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportAge, l.reportInterval = r.Age, r.Interval
	key := reporter{r.VM, r.Incarnation}
	before, known := l.lastCounters[key]
	for name, a := range l.accounts {
		a.used.advance(now)
		if r.Baseline {
			// Between two sources what others spent is told by none. Each is taken to have
			// spent what it spent before, or as much as this daemon: while all leads were dead
			// a workspace that had become hot used a quarter of its allowance untold.
			if l.alone {
				continue
			}
			like := (a.spent - a.spentAtReport) * float64(l.reachablePeers)
			a.used.add(max(a.peers.unreportedSpend(now), like), now)
			a.peers.reportedAt, a.peers.changedAt, a.spentAtReport = now, now, a.spent
			continue
		}
		spent := r.Counters.Spent[name] - before.Spent[name]
		refused := r.Counters.Refused[name] - before.Refused[name]
		if spent < 0 {
			a.used.removeNewest(-spent)
		} else {
			a.used.add(spent, now)
		}
		if !l.alone {
			a.peers.observe(spent, refused, l.reachablePeerShare(), now)
			a.spentAtReport = a.spent
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
