// Package burn counts good and bad requests by service and workspace, and reports the rate at which
// each burns its error budget.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Windows are the windows over which the burn rate is reported.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	bucketSpan  = time.Minute
	bucketCount = int(6 * time.Hour / bucketSpan)
)

// Key identifies an error budget.
type Key struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
}

// counts are the requests of one bucket.
type counts struct {
	good int64
	bad  int64
}

type series struct {
	objective    float64
	buckets      [bucketCount]counts
	newestMinute int64
}

// Recorder counts requests in memory. It is safe for concurrent use. Its counts are lost when the
// daemon exits; longer windows are computed from the metrics.
type Recorder struct {
	mu     sync.Mutex
	series map[Key]*series
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return &Recorder{series: map[Key]*series{}} }

// Record counts one request. The objective is the share of requests that must be good.
func (r *Recorder) Record(key Key, objective float64, good bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.series[key]
	minute := now.Unix() / int64(bucketSpan/time.Second)
	if s == nil {
		s = &series{newestMinute: minute}
		r.series[key] = s
	}
	s.objective = objective
	s.advance(minute)
	bucket := &s.buckets[minute%int64(bucketCount)]
	if good {
		bucket.good++
		return
	}
	bucket.bad++
}

// advance clears the buckets after the newest one, up to the given minute.
func (s *series) advance(minute int64) {
	if minute-s.newestMinute >= int64(bucketCount) {
		s.buckets = [bucketCount]counts{}
		s.newestMinute = minute
	}
	for s.newestMinute < minute {
		s.newestMinute++
		s.buckets[s.newestMinute%int64(bucketCount)] = counts{}
	}
}

// Count is the number of good and bad requests in one window.
type Count struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

// Row holds the counts of one service and workspace, one for each of Windows.
type Row struct {
	Key
	Objective float64 `json:"objective"`
	Counts    []Count `json:"counts"`
}

// Rows returns the counts up to now, ordered by service and workspace.
func (r *Recorder) Rows(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := now.Unix() / int64(bucketSpan/time.Second)
	rows := []Row{}
	for key, s := range r.series {
		s.advance(minute)
		row := Row{Key: key, Objective: s.objective}
		for _, window := range Windows {
			row.Counts = append(row.Counts, s.sum(minute, window))
		}
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

func (s *series) sum(minute int64, window time.Duration) Count {
	var total Count
	for i := range int64(window / bucketSpan) {
		index := (minute - i) % int64(bucketCount)
		total.Good += s.buckets[index].good
		total.Bad += s.buckets[index].bad
	}
	return total
}

// Merge adds up the rows of several daemons.
func Merge(sets ...[]Row) []Row {
	byKey := map[Key]*Row{}
	for _, rows := range sets {
		for _, row := range rows {
			total := byKey[row.Key]
			if total == nil {
				total = &Row{Key: row.Key, Objective: row.Objective, Counts: make([]Count, len(Windows))}
				byKey[row.Key] = total
			}
			for i := range min(len(row.Counts), len(Windows)) {
				total.Counts[i].Good += row.Counts[i].Good
				total.Counts[i].Bad += row.Counts[i].Bad
			}
		}
	}
	merged := []Row{}
	for _, row := range byKey {
		merged = append(merged, *row)
	}
	sortRows(merged)
	return merged
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
}

// Rate returns the burn rate. A rate of 1 uses up the error budget exactly at the end of the
// objective's period. The rate is zero without requests.
func (c Count) Rate(objective float64) float64 {
	total := c.Good + c.Bad
	if total == 0 || objective >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - objective)
}
