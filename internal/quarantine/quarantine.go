package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minConsecutiveExits is the number of times in a row that a request was sent and its server ended
	// until it is held back. An innocent request meets two by the two attempts of a call, and
	// the bound on what a request may reach counts from the third server.
	minConsecutiveExits = 3
	// minConsecutiveExitsAmbiguous takes its place where as many servers ended without the request meanwhile,
	// or other requests account for some: a service that loses servers all the time loses
	// three under some request by chance.
	minConsecutiveExitsAmbiguous = 4
	// minExclusiveExits is the number of servers that no other request accounts for. With three, the
	// second of two requests that end servers was held back after up to five more in plays of
	// both at once (20 seeds, 8 daemons); with two, one of five at once reached servers three
	// times or more too late in 18 of 1,000, with one in 10 of 1,465 (8 daemons, 9 servers).
	minExclusiveExits = 1
	// answerTrustDuration is how long a request counts as harmless after an answer to it was whole.
	// What many callers ask for at once is answered more often than that.
	answerTrustDuration = time.Minute
	// exitRetention is how long it is remembered that a server ended under a request.
	exitRetention = 10 * time.Minute
	// blockDuration is how long a request is held back: by then the fault of the server may be
	// mended. If it is not, three more servers end.
	blockDuration = 30 * time.Minute
	// maxRecords and maxExitedServers bound the requests and servers that are remembered; maxExitsPerRequest
	// the servers of one request. A rack of 40 servers leaves some 1,000 requests.
	maxRecords         = 4096
	maxExitedServers   = 1024
	maxExitsPerRequest = 64
	// maxAnsweredRequests is the number of answered requests that are remembered: those of five
	// minutes at 27 requests a second, in about 600 KB.
	maxAnsweredRequests = 8192
	// maxSuspects bounds the requests that are weighed against each other at once.
	maxSuspects = 64
)

// ServerInstance names one start of a backend server.
type ServerInstance uint32

// record is what is known of a request.
type record struct {
	// exits are the servers that ended while they had it, with when it was last sent there.
	exits map[ServerInstance]time.Time
	// changedAt is when something was last learned of it, answeredAt when an answer to it was
	// last whole, at any daemon, as far as that is known.
	changedAt, answeredAt time.Time
	// blockPendingSince is since when all that is known speaks against it, blockedAt since when it
	// is held back.
	blockPendingSince, blockedAt time.Time
	// suspectedSince is since when it was sent and its server ended often enough in a row, and
	// no request met more servers: the cause, or one that cannot be told from it yet.
	suspectedSince time.Time
}

// Quarantine is what a daemon knows of requests under which servers have ended. It may be
// used by several goroutines.
type Quarantine struct {
	mu      sync.Mutex
	records map[Digest]*record
	// exitedAt are the servers that have ended, with when.
	exitedAt map[ServerInstance]time.Time
	// answered are requests that this daemon has seen answered, with when.
	answered *simplelru.LRU[Digest, time.Time]
	// prunedAt is when records to forget were last looked for.
	prunedAt time.Time
	// changeCount counts what was learned.
	changeCount int
}

// New returns a quarantine that holds nothing back.
func New() *Quarantine {
	answered, err := simplelru.NewLRU[Digest, time.Time](maxAnsweredRequests, nil)
	if err != nil {
		// The size is not positive.
		panic(err)
	}
	return &Quarantine{records: map[Digest]*record{}, exitedAt: map[ServerInstance]time.Time{}, answered: answered}
}

// Blocked reports whether a request is held back.
func (q *Quarantine) Blocked(content Digest, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[content]
	return r != nil && r.blocked(now)
}

// Suspected reports whether a request whose attempt has broken should not go on to another
// server: it may be the cause, whatever others may still tell.
func (q *Quarantine) Suspected(content Digest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[content]
	return r != nil && !r.suspectedSince.IsZero()
}

// ChangeCount returns a number that grows with all that others should know.
func (q *Quarantine) ChangeCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.changeCount
}

// recordChange notes that something was learned of a request.
func (q *Quarantine) recordChange(r *record, now time.Time) {
	r.changedAt = now
	q.changeCount++
}

// BlockedCount returns the number of contents that are held back.
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

// RecordAnswer notes that a server has run a request to the end: its content ends no servers. It
// reports whether others should hear of it.
func (q *Quarantine) RecordAnswer(content Digest, now time.Time) (matters bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered.Add(content, now)
	r := q.records[content]
	if r == nil {
		return false
	}
	// Once a second is enough for others.
	matters = len(r.exits) > 0 && now.Sub(r.answeredAt) >= time.Second
	if matters {
		q.recordChange(r, now)
	}
	r.applyAnswer(now)
	return matters
}

// applyAnswer takes over that an answer was whole: whatever spoke against the request does so no
// more.
func (r *record) applyAnswer(at time.Time) {
	r.answeredAt, r.blockPendingSince, r.blockedAt, r.suspectedSince = at, time.Time{}, time.Time{}, time.Time{}
}

// LostRequest is a request that a server had when it ended, with when it was sent there.
type LostRequest struct {
	Digest Digest
	SentAt time.Time
}

// RecordExit notes that a server has ended while it had some requests. It reports whether others
// should hear of it at once: one of them has met that before.
func (q *Quarantine) RecordExit(server ServerInstance, lost []LostRequest, at, now time.Time) (matters bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordExitTime(server, at)
	for _, l := range lost {
		matters = q.recordRequestExit(l.Digest, server, l.SentAt, now) || matters
	}
	q.prune(now)
	return matters
}

func (q *Quarantine) recordExitTime(server ServerInstance, at time.Time) {
	if known, ok := q.exitedAt[server]; !ok || at.Before(known) {
		q.exitedAt[server] = at
	}
}

// recordRequestExit notes that a server ended under a request that was sent there at a time. It
// reports whether that is new and not the first one.
func (q *Quarantine) recordRequestExit(content Digest, server ServerInstance, sent, now time.Time) (again bool) {
	r := q.getOrCreateRecord(content)
	known, met := r.exits[server]
	switch {
	case met:
		// Others' clocks and ways differ by milliseconds, which is nothing new.
		if sent.After(known) {
			r.exits[server] = sent
		}
		return false
	case len(r.exits) >= maxExitsPerRequest:
		return false
	}
	r.exits[server] = sent
	q.recordChange(r, now)
	return len(r.exits) > 1
}

// getOrCreateRecord returns what is known of a request. Whether it was answered before is looked up when
// it first matters.
func (q *Quarantine) getOrCreateRecord(content Digest) *record {
	r := q.records[content]
	if r == nil {
		r = &record{exits: map[ServerInstance]time.Time{}}
		r.answeredAt, _ = q.answered.Peek(content)
		q.records[content] = r
	}
	return r
}

// recentlyAnswered reports whether an answer was whole lately.
func (r *record) recentlyAnswered(now time.Time) bool {
	return !r.answeredAt.IsZero() && now.Sub(r.answeredAt) < answerTrustDuration
}

func (r *record) blocked(now time.Time) bool {
	return !r.blockedAt.IsZero() && now.Sub(r.blockedAt) < blockDuration && !r.recentlyAnswered(now)
}

// pruneInterval is the time between two walks over all records: a lead hears 275 reports a second.
const pruneInterval = time.Second

// prune forgets what is old, and of what is too much the oldest of what is known least of.
func (q *Quarantine) prune(now time.Time) {
	if now.Sub(q.prunedAt) < pruneInterval && len(q.records) <= maxRecords && len(q.exitedAt) <= maxExitedServers {
		return
	}
	q.prunedAt = now
	maps.DeleteFunc(q.exitedAt, func(_ ServerInstance, at time.Time) bool { return now.Sub(at) >= exitRetention })
	for content, r := range q.records {
		maps.DeleteFunc(r.exits, func(s ServerInstance, _ time.Time) bool { _, kept := q.exitedAt[s]; return !kept })
		if len(r.exits) == 0 && !r.blocked(now) && !r.recentlyAnswered(now) {
			delete(q.records, content)
		}
	}
	q.shrink(now)
}

// shrink keeps the numbers of records and servers within their bounds. An eighth goes at a
// time, so that it is seldom due.
func (q *Quarantine) shrink(now time.Time) {
	if len(q.records) > maxRecords {
		least := slices.SortedFunc(maps.Keys(q.records), func(a, b Digest) int { return q.records[a].comparePriority(q.records[b], now) })
		for _, content := range least[:len(least)-maxRecords*7/8] {
			delete(q.records, content)
		}
	}
	if len(q.exitedAt) > maxExitedServers {
		oldest := slices.SortedFunc(maps.Keys(q.exitedAt), func(a, b ServerInstance) int { return q.exitedAt[a].Compare(q.exitedAt[b]) })
		for _, server := range oldest[:len(oldest)-maxExitedServers*7/8] {
			delete(q.exitedAt, server)
		}
	}
}

// comparePriority orders records by how much they matter, the least first.
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
