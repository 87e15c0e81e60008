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

// retainedWindows is the number of windows that are remembered: two for what is due, and
// some for holders that come late.
const retainedWindows = 8

// Ledger holds the counts.
type Ledger struct {
	window time.Duration

	mu     sync.Mutex
	own    map[int64]Counts
	remote map[reporter]map[int64]Counts
	// zones holds what was told of other zones, and under everywhere of all.
	zones        map[string]map[int64]Counts
	latestWindow int64
}

// reporter is one process of a peer.
type reporter struct {
	vm          string
	incarnation uint64
}

// NewLedger returns an empty ledger for windows of that length, which begin at
// whole multiples of it since 1970.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, own: map[int64]Counts{}, remote: map[reporter]map[int64]Counts{}, zones: map[string]map[int64]Counts{}}
}

// WindowAt returns the number of the window that holds a time.
func (l *Ledger) WindowAt(at time.Time) int64 { return at.UnixNano() / int64(l.window) }

// End returns when a window ends.
func (l *Ledger) End(id int64) time.Time { return time.Unix(0, (id+1)*int64(l.window)) }

// RequestStarted counts a request that began to run.
func (l *Ledger) RequestStarted(workspace string, at time.Time) {
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
		if id > l.latestWindow-int64(latest) {
			out[id] = maps.Clone(counts)
		}
	}
	return out
}

// MergePeer takes over the counts of a peer's process. Counts only grow.
func (l *Ledger) MergePeer(vm string, incarnation uint64, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := reporter{vm, incarnation}
	if l.remote[key] == nil {
		l.remote[key] = map[int64]Counts{}
	}
	l.mergeWindows(l.remote[key], windows)
}

// mergeWindows takes over counts that are higher than those known.
func (l *Ledger) mergeWindows(known, told map[int64]Counts) {
	for id, counts := range told {
		if known[id] == nil {
			known[id] = Counts{}
		}
		known[id].mergeMax(counts)
		l.prune(id)
	}
}

func (c Counts) mergeMax(other Counts) {
	for workspace, n := range other {
		c[workspace] = max(c[workspace], n)
	}
}

func (c Counts) add(other Counts) {
	for workspace, n := range other {
		c[workspace] += n
	}
}

// allZones stands for all zones together.
const allZones = ""

// MergeZone takes over the counts of another zone, whoever tells them.
func (l *Ledger) MergeZone(zone string, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zones[zone] == nil {
		l.zones[zone] = map[int64]Counts{}
	}
	l.mergeWindows(l.zones[zone], windows)
}

// MergeAll takes over the counts of all zones together, as a relay tells them.
func (l *Ledger) MergeAll(windows map[int64]Counts) { l.MergeZone(allZones, windows) }

// Zone returns the counts of the latest windows over this daemon and those whose
// reports it has.
func (l *Ledger) Zone(latest int) map[int64]Counts { return l.recentWindows(latest, l.zoneSum) }

// All returns the counts of the latest windows over everything.
func (l *Ledger) All(latest int) map[int64]Counts { return l.recentWindows(latest, l.sum) }

func (l *Ledger) recentWindows(count int, sum func(id int64) Counts) map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[int64]Counts{}
	for id := l.latestWindow; id > l.latestWindow-int64(count) && id > 0; id-- {
		if counts := sum(id); len(counts) > 0 {
			out[id] = counts
		}
	}
	return out
}

// prune forgets old windows.
func (l *Ledger) prune(id int64) {
	if id <= l.latestWindow {
		return
	}
	l.latestWindow = id
	oldest := l.latestWindow - retainedWindows
	drop := func(id int64, _ Counts) bool { return id < oldest }
	maps.DeleteFunc(l.own, drop)
	for _, windows := range l.zones {
		maps.DeleteFunc(windows, drop)
	}
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
	return l.sum(id)
}

// sum adds up a window over all zones; the caller holds the lock.
func (l *Ledger) sum(id int64) Counts {
	total := l.zoneSum(id)
	for name, windows := range l.zones {
		if name != allZones {
			total.add(windows[id])
		}
	}
	total.mergeMax(l.zones[allZones][id])
	return total
}

// zoneSum adds up a window over this daemon and those that report to it; the caller
// holds the lock.
func (l *Ledger) zoneSum(id int64) Counts {
	total := Counts{}
	total.add(l.own[id])
	for _, windows := range l.remote {
		total.add(windows[id])
	}
	return total
}
