package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is a request that is held back from now on, with what spoke against it.
type Verdict struct {
	Digest Digest
	// Servers is the number of servers that ended under it, Consecutive how often it was sent and
	// its server ended before it was sent again, and Besides the number of servers that ended
	// meanwhile for no request that is known.
	Servers, Consecutive, UnrelatedExits int
}

// Evaluate holds back the requests that all that is known speaks against, for as long as others
// need to tell what they know. It returns them, and after how long to judge again where
// something is still undecided, or zero.
//
// When a server ends, every request that it had may be the cause. One is held back when it was
// sent and its server ended often enough in a row, no answer to it was ever whole, and other
// requests do not account for that. Those that met as many servers or more, and those that are
// held back already, account for the servers that they met: what was there by chance, or was
// sent again because the servers of its earlier attempts had ended, met fewer than the cause.
// Copies that were under way at once when a rack was lost or a zone reclaimed count once.
func (q *Quarantine) Evaluate(now time.Time, settle time.Duration) (held []Verdict, again time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	charges := q.findSuspects(now)
	if len(charges) == 0 {
		return nil, 0
	}
	accounted := q.explainedExits(now)
	for i, c := range charges {
		r := q.records[c.digest]
		r.suspectedSince = conditionSince(r.suspectedSince, q.possibleCause(i, charges), now)
		verdict := q.evaluateSuspect(i, charges, accounted)
		r.blockPendingSince = conditionSince(r.blockPendingSince, verdict != nil, now)
		if verdict == nil {
			continue
		}
		if left := r.settleTime(settle) - now.Sub(r.blockPendingSince); left > 0 {
			again = left
			continue
		}
		r.blockedAt = now
		q.recordChange(r, now)
		held = append(held, *verdict)
	}
	return held, again
}

// conditionSince returns since when something holds, which may have begun now, or zero.
func conditionSince(before time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// resettleFraction is the part of the time for others to tell that is left to them where they have
// had all of it before, and one server more has told the cause from what could not be told
// from it. With all of it, two such requests at once reached servers four times too late in 4
// of 540 plays of whole daemons.
const resettleFraction = 1.0 / 3

// settleTime returns how long others have to tell what they know once all speaks against the
// request.
func (r *record) settleTime(settle time.Duration) time.Duration {
	if r.blockPendingSince.Sub(r.suspectedSince) >= settle {
		return time.Duration(resettleFraction * float64(settle))
	}
	return settle
}

// suspect is a request with the servers that ended under it, in the order in which they ended.
type suspect struct {
	digest  Digest
	servers []ServerInstance
}

// findSuspects returns what speaks against the requests that may have to be held back, those of
// the most servers first.
func (q *Quarantine) findSuspects(now time.Time) []suspect {
	var charges []suspect
	for content, r := range q.records {
		if len(r.exits) < minConsecutiveExits || r.blocked(now) || r.recentlyAnswered(now) {
			continue
		}
		c := suspect{digest: content}
		for server := range r.exits {
			if q.exitedAt[server].After(r.answeredAt) {
				c.servers = append(c.servers, server)
			}
		}
		if len(c.servers) >= minConsecutiveExits {
			slices.SortFunc(c.servers, func(a, b ServerInstance) int { return q.exitedAt[a].Compare(q.exitedAt[b]) })
			charges = append(charges, c)
		}
	}
	slices.SortFunc(charges, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(len(b.servers), len(a.servers)), cmp.Compare(a.digest, b.digest))
	})
	return charges[:min(len(charges), maxSuspects)]
}

// explainedExits returns the servers that ended under requests which are held back.
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

// evaluateSuspect returns the verdict on a request, or nil while it is not held back.
func (q *Quarantine) evaluateSuspect(self int, charges []suspect, accounted map[ServerInstance]bool) *Verdict {
	c := charges[self]
	alone := 0
	for _, server := range c.servers {
		if !accounted[server] && !c.sharedWithStrongerSuspect(server, self, charges) {
			alone++
		}
	}
	verdict := Verdict{Digest: c.digest, Servers: len(c.servers), Consecutive: q.consecutiveExits(c), UnrelatedExits: q.unrelatedExits(c, charges, accounted)}
	needed := minConsecutiveExits
	if verdict.UnrelatedExits >= verdict.Servers || alone < verdict.Servers {
		needed = minConsecutiveExitsAmbiguous
	}
	if verdict.Consecutive < needed || alone < minExclusiveExits {
		return nil
	}
	return &verdict
}

// possibleCause reports whether a request may be the cause, as far as others do not account for it
// for sure.
func (q *Quarantine) possibleCause(self int, charges []suspect) bool {
	c := charges[self]
	for _, other := range charges {
		if len(other.servers) > len(c.servers) && slices.ContainsFunc(c.servers, func(s ServerInstance) bool { return slices.Contains(other.servers, s) }) {
			return false
		}
	}
	return q.consecutiveExits(c) >= minConsecutiveExits
}

// sharedWithStrongerSuspect reports whether another request that met as many servers met this one.
func (c suspect) sharedWithStrongerSuspect(server ServerInstance, self int, charges []suspect) bool {
	for i, other := range charges {
		if i != self && len(other.servers) >= len(c.servers) && slices.Contains(other.servers, server) {
			return true
		}
	}
	return false
}

// consecutiveExits returns how often the request was sent and its server ended before it was sent again.
func (q *Quarantine) consecutiveExits(c suspect) int {
	count := 0
	var last time.Time
	for _, server := range c.servers {
		if count == 0 || !q.records[c.digest].exits[server].Before(last) {
			count++
			last = q.exitedAt[server]
		}
	}
	return count
}

// unrelatedExits returns the number of servers that ended without the request, and for no other
// request that is known, between the first and the last that ended with it.
func (q *Quarantine) unrelatedExits(c suspect, charges []suspect, accounted map[ServerInstance]bool) int {
	first, last := q.exitedAt[c.servers[0]], q.exitedAt[c.servers[len(c.servers)-1]]
	count := 0
	for server, at := range q.exitedAt {
		during := !at.Before(first) && !at.After(last)
		if during && !accounted[server] && !slices.ContainsFunc(charges, func(o suspect) bool { return slices.Contains(o.servers, server) }) {
			count++
		}
	}
	return count
}
