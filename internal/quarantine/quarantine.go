package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// HarmlessAfter is how long a server must have generated an answer to show that the parts of the
// prompt do not terminate it. Those that do terminate it when it begins to.
const HarmlessAfter = time.Second

const (
	// minConsecutiveExits is how many consecutive sends of a request must end with the exit of
	// the server before the request is blocked. The two attempts of one call can make a
	// harmless request lose two servers. The limit on the servers that a poison request may
	// reach counts from the third.
	minConsecutiveExits = 3
	// minConsecutiveExitsAmbiguous replaces minConsecutiveExits where at least as many servers
	// exited without the request in the same period, or where other requests explain some of
	// its exits. A service that keeps losing servers loses three under the same request by
	// chance.
	minConsecutiveExitsAmbiguous = 4
	// minExclusiveExits is the number of exits that no other request explains. Poison
	// requests that are sent at the same time share servers and explain each other's exits, so
	// that a higher minimum blocks them too late. With 3, the second of two such requests can
	// reach up to five more servers, and with 2, one of five can still reach servers three or
	// more times too late.
	minExclusiveExits = 1
	// answerTrustDuration is how long a complete answer marks a request as harmless. A request
	// that many callers send is answered more often than that.
	answerTrustDuration = time.Minute
	// exitRetention is how long the exit of a server under a request is stored.
	exitRetention = 10 * time.Minute
	// blockDuration is how long a request stays blocked. By then the fault in the server may be
	// fixed. probationDuration is how long after that one exit renews the block.
	blockDuration     = 30 * time.Minute
	probationDuration = 30 * time.Minute
	// maxRecords and maxExitedServers bound the stored digests and servers, and
	// maxExitsPerRequest the servers of one digest. The loss of a rack of 40 servers leaves
	// about 1,000 requests, each with its content and some parts of its prompt.
	maxRecords         = 8192
	maxExitedServers   = 1024
	maxExitsPerRequest = 64
	// maxAnsweredDigests bounds the stored digests of answered requests. It covers a minute at
	// 27 requests a second with ten digests each, and takes about 1.2 MB.
	maxAnsweredDigests = 16384
	// maxSuspects bounds the requests that are compared with each other in one evaluation.
	maxSuspects = 64
)

// ServerInstance identifies one start (incarnation) of a backend server.
type ServerInstance uint32

// record holds the exits and answers known for one request, or for the requests with one part of
// a prompt.
type record struct {
	// isPart is set for a part of a prompt.
	isPart bool
	// exits maps each server that exited while it ran the request to the time at which the
	// request was last sent there.
	exits map[ServerInstance]time.Time
	// changedAt is the time of the last change to the record. answeredAt is the time of the
	// last complete answer known from any daemon.
	changedAt, answeredAt time.Time
	// blockPendingSince is when the request first met the criteria for a block without
	// interruption, blockedAt when it was blocked. Both are zero where that does not apply.
	blockPendingSince, blockedAt time.Time
	// companions are the digests that could not be distinguished from this one when it was
	// blocked. Only requests that have all of them are refused, except those proved harmless since.
	companions map[Digest]bool
	// suspectedSince is when the request reached minConsecutiveExits while no request that
	// shares a server with it had lost more servers. It is the cause, or not yet
	// distinguishable from it.
	suspectedSince time.Time
}

// Quarantine holds what a daemon knows about requests under which servers have exited. It is
// safe for concurrent use.
type Quarantine struct {
	mu      sync.Mutex
	records map[Digest]*record
	// exitedAt holds the exit time of each server.
	exitedAt map[ServerInstance]time.Time
	// answered holds when this daemon last saw each request answered.
	answered *simplelru.LRU[Digest, time.Time]
	// prunedAt is when prune last scanned the records.
	prunedAt time.Time
	// changeCount is the number of changes that peers should receive, evaluatedCount its value at
	// the last evaluation. evaluateAt is when the next one is due if nothing changes until then, or
	// zero.
	changeCount, evaluatedCount int
	evaluateAt                  time.Time
}

// New returns a Quarantine that blocks no request.
func New() *Quarantine {
	answered, err := simplelru.NewLRU[Digest, time.Time](maxAnsweredDigests, nil)
	if err != nil {
		// NewLRU fails only for a size that is not positive.
		panic(err)
	}
	return &Quarantine{records: map[Digest]*record{}, exitedAt: map[ServerInstance]time.Time{}, answered: answered}
}

// Block describes why a request is refused.
type Block struct {
	Digest Digest
	// IsPart is set if a part of the prompt is blocked, and not the content of the request.
	IsPart bool
	// Servers is the number of servers known to have exited under it, Since when it was blocked.
	Servers int
	Since   time.Time
}

// Blocked reports whether a request is blocked, and why.
func (q *Quarantine) Blocked(f Fingerprint, now time.Time) (Block, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		return Block{}, false
	}
	for _, digest := range f.digests() {
		r := q.records[digest]
		if r != nil && r.blocked(now) && q.hasCompanions(r, f, now) {
			return Block{Digest: digest, IsPart: r.isPart, Servers: len(r.exits), Since: r.blockedAt}, true
		}
	}
	return Block{}, false
}

// hasCompanions reports whether a request has all companions of a blocked digest that are not
// proved harmless.
func (q *Quarantine) hasCompanions(r *record, f Fingerprint, now time.Time) bool {
	for companion := range r.companions {
		known := q.records[companion]
		if !f.contains(companion) && (known == nil || !known.recentlyAnswered(now)) {
			return false
		}
	}
	return true
}

// Suspected reports whether a request whose attempt failed must not be retried at another
// server, because it may be the cause, or has some of the digests that are only blocked together.
// Reports still under way from peers are not waited for.
func (q *Quarantine) Suspected(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(f.digests(), func(digest Digest) bool {
		r := q.records[digest]
		return r != nil && !(r.suspectedSince.IsZero() && r.blockedAt.IsZero())
	})
}

// ChangeCount returns a counter that increases with each change that peers should receive.
func (q *Quarantine) ChangeCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.changeCount
}

// recordChange marks a record as changed at now.
func (q *Quarantine) recordChange(r *record, now time.Time) {
	r.changedAt = now
	q.changeCount++
}

// BlockedCount returns the number of digests that are blocked.
func (q *Quarantine) BlockedCount(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := 0
	for _, r := range q.records {
		if r.blocked(now) {
			count++
		}
	}
	return count
}

// RecordAnswer records that a server completed a request, which proves its content harmless, and
// the parts of its prompt if the server also generated the answer. It reports whether the answer
// should be sent to peers at once.
func (q *Quarantine) RecordAnswer(f Fingerprint, generated bool, now time.Time) (propagate bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	propagate = q.recordDigestAnswer(f.Content, now)
	return generated && q.recordPartAnswers(f, now) || propagate
}

// RecordProgress records that a server has been generating the answer to a request for some time,
// which proves the parts of its prompt harmless. A content may still terminate the server later. It
// reports whether that should be sent to peers at once.
func (q *Quarantine) RecordProgress(f Fingerprint, now time.Time) (propagate bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.recordPartAnswers(f, now)
}

func (q *Quarantine) recordPartAnswers(f Fingerprint, now time.Time) (propagate bool) {
	for _, part := range f.Parts {
		propagate = q.recordDigestAnswer(part, now) || propagate
	}
	return propagate
}

func (q *Quarantine) recordDigestAnswer(digest Digest, now time.Time) (propagate bool) {
	q.answered.Add(digest, now)
	r := q.records[digest]
	if r == nil {
		return false
	}
	// Peers need at most one update a second.
	propagate = len(r.exits) > 0 && now.Sub(r.answeredAt) >= time.Second
	if propagate {
		q.recordChange(r, now)
	}
	r.applyAnswer(now)
	return propagate
}

// applyAnswer records a complete answer and clears all suspicion against the request.
func (r *record) applyAnswer(at time.Time) {
	r.answeredAt, r.blockPendingSince, r.blockedAt, r.suspectedSince = at, time.Time{}, time.Time{}, time.Time{}
	r.companions = nil
}

// LostRequest is a request that a server was running when it exited, with the time at which it
// was sent there.
type LostRequest struct {
	Fingerprint
	SentAt time.Time
}

// RecordExit records that a server exited while it ran the lost requests. It reports whether
// peers should be notified at once: one of the requests had lost a server before.
func (q *Quarantine) RecordExit(server ServerInstance, lost []LostRequest, at, now time.Time) (propagate bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordExitTime(server, at)
	for _, l := range lost {
		propagate = q.recordDigestExit(l.Content, false, server, l.SentAt, now) || propagate
		for _, part := range l.Parts {
			if !q.recentlyAnswered(part, now) {
				propagate = q.recordDigestExit(part, true, server, l.SentAt, now) || propagate
			}
		}
	}
	q.prune(now)
	return propagate
}

// recordExitTime keeps the earliest known exit time of a server.
func (q *Quarantine) recordExitTime(server ServerInstance, at time.Time) {
	if known, ok := q.exitedAt[server]; !ok || at.Before(known) {
		q.exitedAt[server] = at
	}
}

// recentlyAnswered reports whether a complete answer to a request with the digest came recently.
func (q *Quarantine) recentlyAnswered(digest Digest, now time.Time) bool {
	if r := q.records[digest]; r != nil {
		return r.recentlyAnswered(now)
	}
	at, ok := q.answered.Peek(digest)
	return ok && now.Sub(at) < answerTrustDuration
}

// recordDigestExit records that a server exited while it ran a request with a digest, sent there at
// sentAt. It reports whether the exit is new and not the first one under the digest.
func (q *Quarantine) recordDigestExit(digest Digest, isPart bool, server ServerInstance, sentAt, now time.Time) (repeated bool) {
	r := q.getOrCreateRecord(digest)
	r.isPart = r.isPart || isPart
	known, met := r.exits[server]
	switch {
	case met:
		// Clocks and network delays differ by milliseconds between daemons, so a later send
		// time alone is not a change.
		if sentAt.After(known) {
			r.exits[server] = sentAt
		}
		return false
	case len(r.exits) >= maxExitsPerRequest:
		return false
	}
	r.exits[server] = sentAt
	q.recordChange(r, now)
	if r.onProbation(now) {
		r.blockedAt = now
	}
	return len(r.exits) > 1
}

// getOrCreateRecord returns the record of a request. A new record takes the time of an earlier
// answer from the LRU.
func (q *Quarantine) getOrCreateRecord(digest Digest) *record {
	r := q.records[digest]
	if r == nil {
		r = &record{exits: map[ServerInstance]time.Time{}}
		r.answeredAt, _ = q.answered.Peek(digest)
		q.records[digest] = r
	}
	return r
}

// recentlyAnswered reports whether a complete answer came within answerTrustDuration.
func (r *record) recentlyAnswered(now time.Time) bool {
	return !r.answeredAt.IsZero() && now.Sub(r.answeredAt) < answerTrustDuration
}

func (r *record) blocked(now time.Time) bool {
	return !r.blockedAt.IsZero() && now.Sub(r.blockedAt) < blockDuration && !r.recentlyAnswered(now)
}

// onProbation reports whether a block has ended and no answer has proved the request harmless
// since. One more exit renews the block.
func (r *record) onProbation(now time.Time) bool {
	return !r.blockedAt.IsZero() && now.Sub(r.blockedAt) >= blockDuration && now.Sub(r.blockedAt) < blockDuration+probationDuration
}

// pruneInterval is the least time between two scans of all records, because a leader receives 275
// reports a second.
const pruneInterval = time.Second

// prune deletes expired entries, then the lowest-priority entries above the size limits.
func (q *Quarantine) prune(now time.Time) {
	if now.Sub(q.prunedAt) < pruneInterval && len(q.records) <= maxRecords && len(q.exitedAt) <= maxExitedServers {
		return
	}
	q.prunedAt = now
	maps.DeleteFunc(q.exitedAt, func(_ ServerInstance, at time.Time) bool { return now.Sub(at) >= exitRetention })
	for digest, r := range q.records {
		maps.DeleteFunc(r.exits, func(s ServerInstance, _ time.Time) bool { _, kept := q.exitedAt[s]; return !kept })
		if len(r.exits) == 0 && !r.blocked(now) && !r.onProbation(now) && !r.recentlyAnswered(now) {
			delete(q.records, digest)
		}
	}
	q.shrink(now)
}

// shrink enforces the limits on records and servers. It removes an eighth at a time so that it
// seldom has to run.
func (q *Quarantine) shrink(now time.Time) {
	if len(q.records) > maxRecords {
		least := slices.SortedFunc(maps.Keys(q.records), func(a, b Digest) int { return q.records[a].comparePriority(q.records[b], now) })
		for _, digest := range least[:len(least)-maxRecords*7/8] {
			delete(q.records, digest)
		}
	}
	if len(q.exitedAt) > maxExitedServers {
		oldest := slices.SortedFunc(maps.Keys(q.exitedAt), func(a, b ServerInstance) int { return q.exitedAt[a].Compare(q.exitedAt[b]) })
		for _, server := range oldest[:len(oldest)-maxExitedServers*7/8] {
			delete(q.exitedAt, server)
		}
	}
}

// comparePriority orders records by ascending priority: blocked ones last, then by the number
// of exits, then by the last change.
func (r *record) comparePriority(other *record, now time.Time) int {
	return cmp.Or(
		cmp.Compare(boolRank(r.blocked(now)), boolRank(other.blocked(now))),
		cmp.Compare(len(r.exits), len(other.exits)),
		r.changedAt.Compare(other.changedAt),
	)
}

func boolRank(set bool) int {
	if set {
		return 1
	}
	return 0
}
