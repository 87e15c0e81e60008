// Package usage counts started requests by time window and workspace, for this daemon and for the
// peers whose reports it receives. It does no I/O.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts holds the number of requests of each workspace.
type Counts map[string]int64

// retainedWindows is the number of windows before the latest that are kept: two for the reports
// that are due, and the rest for lease holders that are late.
const retainedWindows = 8

// Ledger holds the counts of the recent windows. It is safe for concurrent use.
type Ledger struct {
	window time.Duration

	mu     sync.Mutex
	own    map[int64]Counts
	remote map[reporter]map[int64]Counts
	// zones holds the counts of other zones by name, and under allZones those of all zones
	// together.
	zones        map[string]map[int64]Counts
	latestWindow int64
}

// reporter identifies one process of a peer.
type reporter struct {
	vm          string
	incarnation uint64
}

// NewLedger returns an empty ledger. Windows start at whole multiples of their length since the
// Unix epoch.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, own: map[int64]Counts{}, remote: map[reporter]map[int64]Counts{}, zones: map[string]map[int64]Counts{}}
}

// WindowAt returns the number of the window that contains a time.
func (l *Ledger) WindowAt(at time.Time) int64 { return at.UnixNano() / int64(l.window) }

// End returns the end of a window.
func (l *Ledger) End(id int64) time.Time { return time.Unix(0, (id+1)*int64(l.window)) }

// maxWindowsAhead is how many windows the clock of another daemon may be ahead.
const maxWindowsAhead = 2

// maxCount bounds the requests of a workspace in a window, so that sums do not overflow.
const maxCount = 1 << 40

// Plausible returns the received windows without those that have not begun yet, and without counts out
// of range. A window far ahead would displace all true ones.
func (l *Ledger) Plausible(received map[int64]Counts, now time.Time) map[int64]Counts {
	latest := l.WindowAt(now) + maxWindowsAhead
	plausible := map[int64]Counts{}
	for id, counts := range received {
		if id < 0 || id > latest {
			continue
		}
		plausible[id] = maps.Clone(counts)
		maps.DeleteFunc(plausible[id], func(_ string, n int64) bool { return n < 0 || n > maxCount })
	}
	return plausible
}

// RequestStarted counts a request that started at the given time.
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

// MergePeer merges the counts reported by a peer's process. Counts never decrease, so a late report
// has no effect.
func (l *Ledger) MergePeer(vm string, incarnation uint64, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := reporter{vm, incarnation}
	if l.remote[key] == nil {
		l.remote[key] = map[int64]Counts{}
	}
	l.mergeWindows(l.remote[key], windows)
}

// mergeWindows raises the known counts to the received ones where those are higher.
func (l *Ledger) mergeWindows(known, received map[int64]Counts) {
	for id, counts := range received {
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

// allZones is the key for the counts of all zones together.
const allZones = ""

// MergeZone merges the counts of another zone. They may come from any daemon.
func (l *Ledger) MergeZone(zone string, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zones[zone] == nil {
		l.zones[zone] = map[int64]Counts{}
	}
	l.mergeWindows(l.zones[zone], windows)
}

// MergeAll merges the counts of all zones together, as sent by a relay.
func (l *Ledger) MergeAll(windows map[int64]Counts) { l.MergeZone(allZones, windows) }

// Zone returns the counts of the latest windows for this daemon and the peers that report to it.
func (l *Ledger) Zone(latest int) map[int64]Counts { return l.recentWindows(latest, l.zoneSum) }

// All returns the counts of the latest windows for all zones.
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

// prune drops old windows. The caller holds the lock.
func (l *Ledger) prune(id int64) {
	if id <= l.latestWindow {
		return
	}
	l.latestWindow = id
	oldest := l.latestWindow - retainedWindows
	isOld := func(id int64, _ Counts) bool { return id < oldest }
	maps.DeleteFunc(l.own, isOld)
	for _, windows := range l.zones {
		maps.DeleteFunc(windows, isOld)
	}
	for key, windows := range l.remote {
		maps.DeleteFunc(windows, isOld)
		if len(windows) == 0 {
			delete(l.remote, key)
		}
	}
}

// Sum returns the counts of a window for all daemons that have reported.
func (l *Ledger) Sum(id int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum(id)
}

// sum adds up the counts of a window over all zones. The caller holds the lock.
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

// zoneSum adds up the counts of a window over this daemon and the peers that report to it. The
// caller holds the lock.
func (l *Ledger) zoneSum(id int64) Counts {
	total := Counts{}
	total.add(l.own[id])
	for _, windows := range l.remote {
		total.add(windows[id])
	}
	return total
}
