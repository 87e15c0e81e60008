package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// changeReportDuration is how long a change is included in reports. It covers 75 reports of
	// a large deployment and a network partition of most of that time. A blocked request is
	// reported for as long as it is blocked.
	changeReportDuration = 30 * time.Second
	// maxReports bounds the requests that a daemon reports, and maxReportedExits the servers in
	// these reports. Together they take about 2 KB.
	maxReports       = 64
	maxReportedExits = 256
	// minSnapshotExits is the number of exits from which a request that is not blocked is
	// stored in the lease record.
	minSnapshotExits = 2
)

// Report is what daemons send each other about one request or one part of prompts. Merging reports is commutative and
// idempotent: neither their order nor duplicates change the result. Ages are relative to the
// time of sending.
type Report struct {
	Digest Digest `json:"content"`
	// IsPart is set for a part of a prompt.
	IsPart bool `json:"part,omitempty"`
	// Exits are the servers that exited while they ran the request.
	Exits []ServerExit `json:"endings,omitempty"`
	// Blocked is set while the request is blocked, Answered where a complete answer is known.
	Blocked    bool          `json:"barred,omitempty"`
	BlockedAge time.Duration `json:"barred_age,omitempty"`
	// Companions are the digests that a request must have as well to be refused.
	Companions  []Digest      `json:"with,omitempty"`
	Answered    bool          `json:"answered,omitempty"`
	AnsweredAge time.Duration `json:"answered_age,omitempty"`
}

// ServerExit is a server that exited: Age is the time since the exit, SentBefore the time from
// the last send of the request there to the exit.
type ServerExit struct {
	Server     ServerInstance `json:"server"`
	Age        time.Duration  `json:"age"`
	SentBefore time.Duration  `json:"after"`
}

// Reports returns the reports for peers, in descending priority.
func (q *Quarantine) Reports(now time.Time) []Report {
	return q.buildReports(now, func(r *record) bool { return r.blocked(now) || now.Sub(r.changedAt) < changeReportDuration })
}

// Snapshot returns the reports for the lease record, from which a daemon starts when no other
// daemon is left.
func (q *Quarantine) Snapshot(now time.Time) []Report {
	return q.buildReports(now, func(r *record) bool {
		return r.blocked(now) || (len(r.exits) >= minSnapshotExits && !r.recentlyAnswered(now))
	})
}

// buildReports returns the reports of the records accepted by keep, in descending priority and
// within maxReports and maxReportedExits.
func (q *Quarantine) buildReports(now time.Time, keep func(*record) bool) []Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	var digests []Digest
	for digest, r := range q.records {
		if keep(r) {
			digests = append(digests, digest)
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int { return q.records[b].comparePriority(q.records[a], now) })
	var reports []Report
	exitsLeft := maxReportedExits
	for _, digest := range digests[:min(len(digests), maxReports)] {
		report := q.buildReport(digest, exitsLeft, now)
		exitsLeft -= len(report.Exits)
		reports = append(reports, report)
	}
	return reports
}

// buildReport returns the report of one request with its latest exits, at most maxExits of
// them.
func (q *Quarantine) buildReport(digest Digest, maxExits int, now time.Time) Report {
	r := q.records[digest]
	report := Report{Digest: digest, IsPart: r.isPart}
	for server, sentAt := range r.exits {
		exitedAt := q.exitedAt[server]
		report.Exits = append(report.Exits, ServerExit{Server: server, Age: now.Sub(exitedAt), SentBefore: exitedAt.Sub(sentAt)})
	}
	slices.SortFunc(report.Exits, func(a, b ServerExit) int { return int(a.Age - b.Age) })
	report.Exits = report.Exits[:min(len(report.Exits), maxExits)]
	if r.blocked(now) {
		report.Blocked, report.BlockedAge = true, now.Sub(r.blockedAt)
		report.Companions = slices.Sorted(maps.Keys(r.companions))
	}
	if !r.answeredAt.IsZero() {
		report.Answered, report.AnsweredAge = true, now.Sub(r.answeredAt)
	}
	return report
}

// Merge adds reports received from peers. transit is the time since they were sent. It reports
// whether the changes should be forwarded at once, and returns the digests that became blocked.
func (q *Quarantine) Merge(reports []Report, transit time.Duration, now time.Time) (propagate bool, newlyBlocked []Digest) {
	if len(reports) == 0 {
		return false, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, report := range reports[:min(len(reports), maxReports)] {
		changed, blocked := q.mergeReport(report.clampAges(), transit, now)
		propagate = propagate || changed
		if blocked {
			newlyBlocked = append(newlyBlocked, report.Digest)
		}
	}
	q.prune(now)
	return propagate, newlyBlocked
}

// clampAges returns a copy of the report with negative ages set to zero, so that no event lies
// in the future.
func (r Report) clampAges() Report {
	r.BlockedAge, r.AnsweredAge = max(0, r.BlockedAge), max(0, r.AnsweredAge)
	r.Exits = slices.Clone(r.Exits)
	for i := range r.Exits {
		r.Exits[i].Age, r.Exits[i].SentBefore = max(0, r.Exits[i].Age), max(0, r.Exits[i].SentBefore)
	}
	return r
}

func (q *Quarantine) mergeReport(report Report, transit time.Duration, now time.Time) (propagate, newlyBlocked bool) {
	for _, e := range report.Exits {
		if age := e.Age + transit; age < exitRetention {
			exitedAt := now.Add(-age)
			q.recordExitTime(e.Server, exitedAt)
			propagate = q.recordDigestExit(report.Digest, report.IsPart, e.Server, exitedAt.Add(-e.SentBefore), now) || propagate
		}
	}
	if report.Answered && report.AnsweredAge+transit < answerTrustDuration {
		propagate = q.mergeAnswer(report.Digest, now.Add(-report.AnsweredAge-transit), now) || propagate
	}
	if report.Blocked && report.BlockedAge+transit < blockDuration {
		newlyBlocked = q.mergeBlock(report, now.Add(-report.BlockedAge-transit), now)
	}
	return propagate || newlyBlocked, newlyBlocked
}

// mergeAnswer records a complete answer at another daemon.
func (q *Quarantine) mergeAnswer(digest Digest, at, now time.Time) (propagate bool) {
	r := q.getOrCreateRecord(digest)
	if at.Sub(r.answeredAt) < time.Second {
		return false
	}
	propagate = !r.recentlyAnswered(now)
	r.applyAnswer(at)
	q.recordChange(r, now)
	return propagate
}

// mergeBlock records that another daemon blocked a request. A request recently answered here
// stays unblocked, and the peers receive that answer in a report. A digest that either daemon has
// distinguished from this one is no companion any more.
func (q *Quarantine) mergeBlock(report Report, since, now time.Time) (newlyBlocked bool) {
	r := q.getOrCreateRecord(report.Digest)
	if r.recentlyAnswered(now) {
		return false
	}
	r.isPart = r.isPart || report.IsPart
	wasBlocked := r.blocked(now)
	if r.blockedAt.IsZero() || now.Sub(r.blockedAt) >= blockDuration {
		r.blockedAt = since
		r.setCompanions(report.Companions)
		q.recordChange(r, now)
		return !wasBlocked && r.blocked(now)
	}
	known := len(r.companions)
	maps.DeleteFunc(r.companions, func(digest Digest, _ bool) bool { return !slices.Contains(report.Companions, digest) })
	if len(r.companions) < known {
		q.recordChange(r, now)
	}
	return false
}
