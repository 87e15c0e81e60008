package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict describes a request that has just been blocked, with the evidence against it.
type Verdict struct {
	Digest Digest
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
func (q *Quarantine) Evaluate(now time.Time, settle time.Duration) (blocked []Verdict, retryIn time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	suspects := q.findSuspects(now)
	if len(suspects) == 0 {
		return nil, 0
	}
	explained := q.explainedExits(now)
	for i, s := range suspects {
		r := q.records[s.digest]
		r.suspectedSince = conditionSince(r.suspectedSince, q.possibleCause(i, suspects), now)
		verdict := q.evaluateSuspect(i, suspects, explained)
		r.blockPendingSince = conditionSince(r.blockPendingSince, verdict != nil, now)
		if verdict == nil {
			continue
		}
		if left := r.settleTime(settle) - now.Sub(r.blockPendingSince); left > 0 {
			retryIn = left
			continue
		}
		r.blockedAt = now
		q.recordChange(r, now)
		blocked = append(blocked, *verdict)
	}
	return blocked, retryIn
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

// suspect is a request with the servers that exited while they ran it, in the order of their
// exits.
type suspect struct {
	digest  Digest
	servers []ServerInstance
}

// findSuspects returns the requests with enough exits to be considered for a block, those with
// the most servers first.
func (q *Quarantine) findSuspects(now time.Time) []suspect {
	var suspects []suspect
	for digest, r := range q.records {
		if len(r.exits) < minConsecutiveExits || r.blocked(now) || r.recentlyAnswered(now) {
			continue
		}
		s := suspect{digest: digest}
		for server := range r.exits {
			if q.exitedAt[server].After(r.answeredAt) {
				s.servers = append(s.servers, server)
			}
		}
		if len(s.servers) >= minConsecutiveExits {
			slices.SortFunc(s.servers, func(a, b ServerInstance) int { return q.exitedAt[a].Compare(q.exitedAt[b]) })
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(len(b.servers), len(a.servers)), cmp.Compare(a.digest, b.digest))
	})
	return suspects[:min(len(suspects), maxSuspects)]
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

// evaluateSuspect returns the verdict on a request, or nil while it does not meet the criteria.
func (q *Quarantine) evaluateSuspect(index int, suspects []suspect, explained map[ServerInstance]bool) *Verdict {
	s := suspects[index]
	exclusive := 0
	for _, server := range s.servers {
		if !explained[server] && !s.sharedWithStrongerSuspect(server, index, suspects) {
			exclusive++
		}
	}
	verdict := Verdict{Digest: s.digest, Servers: len(s.servers), Consecutive: q.consecutiveExits(s), UnrelatedExits: q.unrelatedExits(s, suspects, explained)}
	required := minConsecutiveExits
	if verdict.UnrelatedExits >= verdict.Servers || exclusive < verdict.Servers {
		required = minConsecutiveExitsAmbiguous
	}
	if verdict.Consecutive < required || exclusive < minExclusiveExits {
		return nil
	}
	return &verdict
}

// possibleCause reports whether a request may be the cause: it has enough consecutive exits,
// and no suspect with more exits shares a server with it.
func (q *Quarantine) possibleCause(index int, suspects []suspect) bool {
	s := suspects[index]
	for _, other := range suspects {
		if len(other.servers) > len(s.servers) && slices.ContainsFunc(s.servers, func(server ServerInstance) bool { return slices.Contains(other.servers, server) }) {
			return false
		}
	}
	return q.consecutiveExits(s) >= minConsecutiveExits
}

// sharedWithStrongerSuspect reports whether another suspect with at least as many exits also
// ran on the server when it exited.
func (s suspect) sharedWithStrongerSuspect(server ServerInstance, index int, suspects []suspect) bool {
	for i, other := range suspects {
		if i != index && len(other.servers) >= len(s.servers) && slices.Contains(other.servers, server) {
			return true
		}
	}
	return false
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
func (q *Quarantine) unrelatedExits(s suspect, suspects []suspect, explained map[ServerInstance]bool) int {
	first, last := q.exitedAt[s.servers[0]], q.exitedAt[s.servers[len(s.servers)-1]]
	count := 0
	for server, at := range q.exitedAt {
		during := !at.Before(first) && !at.After(last)
		if during && !explained[server] && !slices.ContainsFunc(suspects, func(other suspect) bool { return slices.Contains(other.servers, server) }) {
			count++
		}
	}
	return count
}
