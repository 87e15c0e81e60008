package quarantine

import (
	"maps"
	"time"
)

// maxCompanions bounds the companions of a digest, which each report of it lists.
const maxCompanions = 8

// setCompanions sets the digests that a request must have as well to be refused.
func (r *record) setCompanions(digests []Digest) {
	r.companions = map[Digest]bool{}
	for _, digest := range digests[:min(len(digests), maxCompanions)] {
		r.companions[digest] = true
	}
}

const (
	// minSeparateExits is how many consecutive sends under a blocked digest, but not under a
	// companion, must end with the exit of the server before requests without the companion are
	// refused, too. minSeparateExitsAmbiguous replaces it where other servers have exited since
	// the block.
	minSeparateExits          = 1
	minSeparateExitsAmbiguous = minConsecutiveExits
)

// dropCompanions removes the companions that blocked digests have been distinguished from. Exits
// after settled do not count yet, which some daemons may have reported and others not. It reports
// whether there are such exits.
func (q *Quarantine) dropCompanions(settled, now time.Time) (unsettled bool) {
	for digest, r := range q.records {
		if len(r.companions) == 0 || !r.blocked(now) {
			continue
		}
		known := len(r.companions)
		maps.DeleteFunc(r.companions, func(companion Digest, _ bool) bool {
			separate := q.separateExits(digest, companion)
			counted := q.exitedBy(separate.servers, settled)
			unsettled = unsettled || len(counted) < len(separate.servers)
			separate.servers = counted
			return q.exitsWithout(separate, now)
		})
		if len(r.companions) < known {
			q.recordChange(r, now)
		}
	}
	return unsettled
}

// separateExits returns the servers that exited under a digest, but not under a companion. There are
// none if nothing is known of the companion.
func (q *Quarantine) separateExits(digest, companion Digest) suspect {
	separate := suspect{digest: digest}
	other := q.records[companion]
	if other == nil {
		return separate
	}
	for server := range q.records[digest].exits {
		if _, shared := other.exits[server]; !shared {
			separate.servers = append(separate.servers, server)
		}
	}
	q.sortByExit(separate.servers)
	return separate
}

// exitsWithout reports whether a blocked digest terminates servers without a companion.
func (q *Quarantine) exitsWithout(separate suspect, now time.Time) bool {
	if len(separate.servers) == 0 {
		return false
	}
	required := minSeparateExits
	if q.unexplainedExitsSince(q.records[separate.digest].blockedAt, now) > 0 {
		required = minSeparateExitsAmbiguous
	}
	return q.consecutiveExits(separate) >= required
}

// unexplainedExitsSince returns the number of servers that have exited since a time, but under no
// blocked digest.
func (q *Quarantine) unexplainedExitsSince(since, now time.Time) int {
	explained := q.explainedExits(now)
	count := 0
	for server, at := range q.exitedAt {
		if at.After(since) && !explained[server] {
			count++
		}
	}
	return count
}
