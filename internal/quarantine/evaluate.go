package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict describes a request that has just been blocked, with the evidence against it.
type Verdict struct {
	Digest Digest
	// IsPart is set for a part of a prompt. Companions is the number of digests that a request
	// must have as well to be refused.
	IsPart     bool
	Companions int
	// Servers is the number of servers that exited while they ran the request. Consecutive is
	// how often it was sent and the server exited before it was sent again. UnrelatedExits is
	// the number of servers that exited in the same period under no known request.
	Servers, Consecutive, UnrelatedExits int
}

// Evaluate blocks the requests that have met the criteria for the settle time, in which the
// reports of other daemons arrive. It returns the new blocks, and the time until the next
// evaluation is due where a request is still settling, or zero.
//
// When a server exits, each request that it was running may be the cause. A request is blocked
// when enough consecutive sends ended with the exit of the server, no complete answer to it is
// known, and other requests do not explain these exits. Requests that lost at least as many
// servers, and requests already blocked, explain the exits of their servers. Requests that were
// there by chance, or that were retried because the servers of earlier attempts had exited,
// lost fewer servers than the cause. Copies in flight at once when a rack is lost or a zone is
// reclaimed count once.
//
// The same holds for the parts of prompts. Those that lost exactly the same servers cannot be
// distinguished. They are blocked together, and a request is refused only if it has all of them.
func (q *Quarantine) Evaluate(now time.Time, settle time.Duration) (blocked []Verdict, retryIn time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.changeCount == q.evaluatedCount && (q.evaluateAt.IsZero() || now.Before(q.evaluateAt)) {
		return nil, max(0, q.evaluateAt.Sub(now))
	}
	q.evaluatedCount, q.evaluateAt = q.changeCount, time.Time{}
	resettle := time.Duration(resettleFraction * float64(settle))
	if q.dropCompanions(now.Add(-resettle), now) {
		q.scheduleEvaluation(now.Add(resettle))
	}
	suspects := q.findSuspects(now.Add(-settle), now)
	if len(suspects.all) > 0 {
		q.scheduleEvaluation(now.Add(settle))
	}
	explained := q.explainedExits(now)
	for _, s := range suspects.all {
		r := q.records[s.digest]
		r.suspectedSince = conditionSince(r.suspectedSince, q.possibleCause(s, suspects), now)
		companions := suspects.indistinguishable(s)
		verdict := q.evaluateSuspect(s, suspects, companions, explained)
		r.blockPendingSince = conditionSince(r.blockPendingSince, verdict != nil, now)
		if verdict == nil {
			continue
		}
		if settledAt := r.blockPendingSince.Add(r.settleTime(settle)); now.Before(settledAt) {
			q.scheduleEvaluation(settledAt)
			continue
		}
		r.blockedAt = now
		r.setCompanions(companions)
		verdict.IsPart, verdict.Companions = r.isPart, len(r.companions)
		q.recordChange(r, now)
		blocked = append(blocked, *verdict)
	}
	return blocked, max(0, q.evaluateAt.Sub(now))
}

// scheduleEvaluation sets when the next evaluation is due if nothing changes until then.
func (q *Quarantine) scheduleEvaluation(at time.Time) {
	if q.evaluateAt.IsZero() || at.Before(q.evaluateAt) {
		q.evaluateAt = at
	}
}

// conditionSince returns the time since which a condition has been met without interruption, or
// zero while it is not met.
func conditionSince(before time.Time, met bool, now time.Time) time.Time {
	switch {
	case !met:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// resettleFraction is the fraction of the settle time that applies where a request was
// suspected for the full settle time before, and one more exit has distinguished it from the
// other suspects. With the full time, two poison requests at once reached servers four times
// too late in 4 of 540 simulations of whole daemons.
const resettleFraction = 1.0 / 3

// settleTime returns how long a request must meet the criteria before it is blocked.
func (r *record) settleTime(settle time.Duration) time.Duration {
	if r.blockPendingSince.Sub(r.suspectedSince) >= settle {
		return time.Duration(resettleFraction * float64(settle))
	}
	return settle
}

// sortByExit sorts servers by the times of their exits.
func (q *Quarantine) sortByExit(servers []ServerInstance) {
	slices.SortFunc(servers, func(a, b ServerInstance) int {
		return cmp.Or(q.exitedAt[a].Compare(q.exitedAt[b]), cmp.Compare(a, b))
	})
}

// explainedExits returns the servers that exited under blocked requests.
func (q *Quarantine) explainedExits(now time.Time) map[ServerInstance]bool {
	servers := map[ServerInstance]bool{}
	for _, r := range q.records {
		if r.blocked(now) {
			for server := range r.exits {
				servers[server] = true
			}
		}
	}
	return servers
}

// evaluateSuspect returns the verdict on a request or a part, or nil while it does not meet the
// criteria.
func (q *Quarantine) evaluateSuspect(s suspect, suspects suspectSet, companions []Digest, explained map[ServerInstance]bool) *Verdict {
	exclusive := 0
	for _, server := range s.servers {
		if !explained[server] && !suspects.hasStronger(server, s, companions) {
			exclusive++
		}
	}
	verdict := Verdict{Digest: s.digest, Servers: len(s.servers), Consecutive: q.consecutiveExits(s), UnrelatedExits: q.unrelatedExits(s, suspects, explained)}
	if exclusive < minExclusiveExits {
		return nil
	}
	required := minConsecutiveExits
	if verdict.UnrelatedExits >= verdict.Servers || exclusive < verdict.Servers {
		required = minConsecutiveExitsAmbiguous
	}
	if verdict.Consecutive < required && !q.isSoleCause(s, verdict, exclusive) {
		return nil
	}
	return &verdict
}

const (
	// minExitMoments is how many servers must exit one after the other under requests with a part
	// that were sent before the first of them exited. Servers that queue requests have several
	// at once, so that few sends are consecutive.
	minExitMoments = 3
	// exitMoment is how long the servers of a rack take to exit.
	exitMoment = 200 * time.Millisecond
)

// isSoleCause reports whether servers exited one after the other under requests with a part of a
// prompt, and hardly any other server meanwhile.
func (q *Quarantine) isSoleCause(s suspect, verdict Verdict, exclusive int) bool {
	if !s.isPart || exclusive < verdict.Servers || 2*verdict.UnrelatedExits > verdict.Servers {
		return false
	}
	moments := 0
	var last time.Time
	for _, server := range s.servers {
		if at := q.exitedAt[server]; moments == 0 || at.Sub(last) >= exitMoment {
			moments++
			last = at
		}
	}
	return moments >= minExitMoments
}

// possibleCause reports whether a request may be the cause: it has enough consecutive exits,
// and no suspect with more exits shares a server with it.
func (q *Quarantine) possibleCause(s suspect, suspects suspectSet) bool {
	for _, server := range s.servers {
		if strongest := suspects.byServer[server][0]; len(strongest.servers) > len(s.servers) {
			return false
		}
	}
	return q.consecutiveExits(s) >= minConsecutiveExits
}

// consecutiveExits returns how often the request was sent and the server exited before the
// request was sent again.
func (q *Quarantine) consecutiveExits(s suspect) int {
	count := 0
	var last time.Time
	for _, server := range s.servers {
		if count == 0 || !q.records[s.digest].exits[server].Before(last) {
			count++
			last = q.exitedAt[server]
		}
	}
	return count
}

// unrelatedExits returns the number of servers that exited between the first and the last exit
// of the request, but under no blocked request and no suspect.
func (q *Quarantine) unrelatedExits(s suspect, suspects suspectSet, explained map[ServerInstance]bool) int {
	first, last := q.exitedAt[s.servers[0]], q.exitedAt[s.servers[len(s.servers)-1]]
	count := 0
	for server, at := range q.exitedAt {
		during := !at.Before(first) && !at.After(last)
		if during && !explained[server] && len(suspects.byServer[server]) == 0 {
			count++
		}
	}
	return count
}
