// Package usage counts the requests that began to run, by window of time and
// workspace, for this daemon and, as far as they have reported, for its peers.
// It does no I/O.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts are numbers of requests by workspace.
type Counts map[string]int64

// kept is the number of windows that are remembered: two for what is due, and
// some for holders that come late.
const kept = 8

// Ledger holds the counts.
type Ledger struct {
	window time.Duration

	mu      sync.Mutex
	own     map[int64]Counts
	remote  map[reporter]map[int64]Counts
	highest int64
}

// reporter is one process of a peer.
type reporter struct {
	vm          string
	incarnation uint64
}

// NewLedger returns an empty ledger for windows of that length, which begin at
// whole multiples of it since 1970.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, own: map[int64]Counts{}, remote: map[reporter]map[int64]Counts{}}
}

// WindowAt returns the number of the window that holds a time.
func (l *Ledger) WindowAt(at time.Time) int64 { return at.UnixNano() / int64(l.window) }

// End returns when a window ends.
func (l *Ledger) End(id int64) time.Time { return time.Unix(0, (id+1)*int64(l.window)) }

// Began counts a request that began to run.
func (l *Ledger) Began(workspace string, at time.Time) {
	id := l.WindowAt(at)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own[id] == nil {
		l.own[id] = Counts{}
	}
	l.own[id][workspace]++
	l.prune(id)
}

// Own returns a copy of this daemon's counts of the latest windows.
func (l *Ledger) Own(latest int) map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[int64]Counts{}
	for id, counts := range l.own {
		if id > l.highest-int64(latest) {
			out[id] = maps.Clone(counts)
		}
	}
	return out
}

// Heard takes over the counts of a peer's process. Counts only grow.
func (l *Ledger) Heard(vm string, incarnation uint64, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := reporter{vm, incarnation}
	if l.remote[key] == nil {
		l.remote[key] = map[int64]Counts{}
	}
	for id, counts := range windows {
		known := l.remote[key][id]
		if known == nil {
			known = Counts{}
			l.remote[key][id] = known
		}
		for workspace, n := range counts {
			known[workspace] = max(known[workspace], n)
		}
		l.prune(id)
	}
}

// prune forgets old windows.
func (l *Ledger) prune(id int64) {
	if id <= l.highest {
		return
	}
	l.highest = id
	oldest := l.highest - kept
	drop := func(id int64, _ Counts) bool { return id < oldest }
	maps.DeleteFunc(l.own, drop)
	for key, windows := range l.remote {
		maps.DeleteFunc(windows, drop)
		if len(windows) == 0 {
			delete(l.remote, key)
		}
	}
}

// Sum returns the counts of a window over all daemons that have reported.
func (l *Ledger) Sum(id int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := Counts{}
	add := func(counts Counts) {
		for workspace, n := range counts {
			total[workspace] += n
		}
	}
	add(l.own[id])
	for _, windows := range l.remote {
		add(windows[id])
	}
	return total
}
