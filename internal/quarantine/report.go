package quarantine

import (
	"slices"
	"time"
)

const (
	// changeReportDuration is how long what is new of a request is told: 75 reports of a large deployment,
	// and a cut of most of that. That a request is held back is told as long as it is.
	changeReportDuration = 30 * time.Second
	// maxReports bounds the requests that a daemon tells of, and maxReportedExits the servers
	// that it names with them, in about 2 KB.
	maxReports       = 64
	maxReportedExits = 256
	// minSnapshotExits is the number of servers from which on the record of the lease keeps a
	// request that is not held back.
	minSnapshotExits = 2
)

// Report is what daemons tell each other of a request. Words add up: in whichever order and
// however often they come, what is known in the end is the same. Ages are as of when the word
// is told.
type Report struct {
	Digest Digest `json:"content"`
	// Exits are servers that ended while they had it.
	Exits []ServerExit `json:"endings,omitempty"`
	// Blocked is set while it is held back, Answered where an answer to it was whole.
	Blocked     bool          `json:"barred,omitempty"`
	BlockedAge  time.Duration `json:"barred_age,omitempty"`
	Answered    bool          `json:"answered,omitempty"`
	AnsweredAge time.Duration `json:"answered_age,omitempty"`
}

// ServerExit is a server that ended, how long ago, and how long before that the request was last
// sent there.
type ServerExit struct {
	Server     ServerInstance `json:"server"`
	Age        time.Duration  `json:"age"`
	SentBefore time.Duration  `json:"after"`
}

// Reports returns what others should know, what matters most first.
func (q *Quarantine) Reports(now time.Time) []Report {
	return q.buildReports(now, func(r *record) bool { return r.blocked(now) || now.Sub(r.changedAt) < changeReportDuration })
}

// Snapshot returns what daemons should know that start when no other is left to ask.
func (q *Quarantine) Snapshot(now time.Time) []Report {
	return q.buildReports(now, func(r *record) bool {
		return r.blocked(now) || (len(r.exits) >= minSnapshotExits && !r.recentlyAnswered(now))
	})
}

// buildReports returns words on the records that matter most of those to keep.
func (q *Quarantine) buildReports(now time.Time, keep func(*record) bool) []Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	var contents []Digest
	for content, r := range q.records {
		if keep(r) {
			contents = append(contents, content)
		}
	}
	slices.SortFunc(contents, func(a, b Digest) int { return q.records[b].comparePriority(q.records[a], now) })
	var words []Report
	left := maxReportedExits
	for _, content := range contents[:min(len(contents), maxReports)] {
		word := q.buildReport(content, left, now)
		left -= len(word.Exits)
		words = append(words, word)
	}
	return words
}

// buildReport returns a word on a request with some of its servers at most, the latest.
func (q *Quarantine) buildReport(content Digest, most int, now time.Time) Report {
	r := q.records[content]
	word := Report{Digest: content}
	for server, sent := range r.exits {
		ended := q.exitedAt[server]
		word.Exits = append(word.Exits, ServerExit{Server: server, Age: now.Sub(ended), SentBefore: ended.Sub(sent)})
	}
	slices.SortFunc(word.Exits, func(a, b ServerExit) int { return int(a.Age - b.Age) })
	word.Exits = word.Exits[:min(len(word.Exits), most)]
	if r.blocked(now) {
		word.Blocked, word.BlockedAge = true, now.Sub(r.blockedAt)
	}
	if !r.answeredAt.IsZero() {
		word.Answered, word.AnsweredAge = true, now.Sub(r.answeredAt)
	}
	return word
}

// Merge takes over what others tell, aged by how long it was on its way. It reports whether
// something of it should go on to others at once, and the requests that are held back from
// now on.
func (q *Quarantine) Merge(words []Report, aged time.Duration, now time.Time) (matters bool, held []Digest) {
	if len(words) == 0 {
		return false, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, word := range words[:min(len(words), maxReports)] {
		news, barred := q.mergeReport(word.clampAges(), aged, now)
		matters = matters || news
		if barred {
			held = append(held, word.Digest)
		}
	}
	q.prune(now)
	return matters, held
}

// clampAges returns the word without ages below zero: nothing that was told is yet to come.
func (w Report) clampAges() Report {
	w.BlockedAge, w.AnsweredAge = max(0, w.BlockedAge), max(0, w.AnsweredAge)
	w.Exits = slices.Clone(w.Exits)
	for i := range w.Exits {
		w.Exits[i].Age, w.Exits[i].SentBefore = max(0, w.Exits[i].Age), max(0, w.Exits[i].SentBefore)
	}
	return w
}

func (q *Quarantine) mergeReport(word Report, aged time.Duration, now time.Time) (matters, held bool) {
	for _, e := range word.Exits {
		if age := e.Age + aged; age < exitRetention {
			ended := now.Add(-age)
			q.recordExitTime(e.Server, ended)
			matters = q.recordRequestExit(word.Digest, e.Server, ended.Add(-e.SentBefore), now) || matters
		}
	}
	if word.Answered && word.AnsweredAge+aged < answerTrustDuration {
		matters = q.mergeAnswer(word.Digest, now.Add(-word.AnsweredAge-aged), now) || matters
	}
	if word.Blocked && word.BlockedAge+aged < blockDuration {
		held = q.mergeBlock(word.Digest, now.Add(-word.BlockedAge-aged), now)
	}
	return matters || held, held
}

// mergeAnswer takes over that an answer was whole at another daemon.
func (q *Quarantine) mergeAnswer(content Digest, at, now time.Time) (matters bool) {
	r := q.getOrCreateRecord(content)
	if at.Sub(r.answeredAt) < time.Second {
		return false
	}
	matters = !r.recentlyAnswered(now)
	r.applyAnswer(at)
	q.recordChange(r, now)
	return matters
}

// mergeBlock takes over that another daemon holds a request back. One that was answered here
// lately stays free, and the others hear that.
func (q *Quarantine) mergeBlock(content Digest, since, now time.Time) (held bool) {
	r := q.getOrCreateRecord(content)
	if r.recentlyAnswered(now) {
		return false
	}
	before := r.blocked(now)
	if r.blockedAt.IsZero() || now.Sub(r.blockedAt) >= blockDuration {
		r.blockedAt = since
		q.recordChange(r, now)
	}
	return !before && r.blocked(now)
}
