// Package watch runs a quarantine for a daemon: it finds out whether servers have ended under
// requests, judges when something was learned, and lets others hear of it.
package watch

import (
	"log/slog"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
)

const (
	// minNotifyInterval is the least time between two reports that go out early for what was learned of
	// requests that end servers: ten a second from each lead while many servers end would be
	// four times its usual traffic.
	minNotifyInterval = 200 * time.Millisecond
	// settleMargin is added to the two rounds of reports after which all daemons have told
	// what they know: early reports take about that on their way.
	settleMargin = 100 * time.Millisecond
)

// Options are what a Watch works with.
type Options struct {
	// ReportInterval returns the time between two reports to others, and Soon lets the next one go out at
	// once. Both are nil where there are no others.
	ReportInterval func(now time.Time) time.Duration
	NotifyPeers    func()
	Logger         *slog.Logger
}

// Watcher watches the requests of a daemon. It may be used by several goroutines.
type Watcher struct {
	options    Options
	quarantine *quarantine.Quarantine
	probes     pendingProbes

	mu sync.Mutex
	// notifiedAt is when a report last went out early, judging whether one more judgement is due.
	notifiedAt          time.Time
	evaluationScheduled bool
}

// New returns a watch that holds nothing back.
func New(options Options) *Watcher {
	if options.ReportInterval == nil {
		options.ReportInterval = func(time.Time) time.Duration { return 0 }
	}
	if options.NotifyPeers == nil {
		options.NotifyPeers = func() {}
	}
	return &Watcher{options: options, quarantine: quarantine.New(), probes: pendingProbes{byServer: map[quarantine.ServerInstance]*suspectedExit{}}}
}

// Blocked reports whether a request is held back.
func (w *Watcher) Blocked(content quarantine.Digest, now time.Time) bool {
	return w.quarantine.Blocked(content, now)
}

// Suspected reports whether a request whose attempt has broken should not go on to another
// server.
func (w *Watcher) Suspected(content quarantine.Digest) bool { return w.quarantine.Suspected(content) }

// RecordAnswer notes that a server has run a request to the end.
func (w *Watcher) RecordAnswer(content quarantine.Digest, now time.Time) {
	if w.quarantine.RecordAnswer(content, now) {
		w.notifyPeers(now)
	}
}

// ChangeCount returns a number that grows with all that others should know.
func (w *Watcher) ChangeCount() int { return w.quarantine.ChangeCount() }

// BlockedCount returns the number of requests that are held back.
func (w *Watcher) BlockedCount(now time.Time) int { return w.quarantine.BlockedCount(now) }

// Reports returns what others should know.
func (w *Watcher) Reports(now time.Time) []quarantine.Report { return w.quarantine.Reports(now) }

// Snapshot returns what daemons should know that start when no other is left to ask.
func (w *Watcher) Snapshot(now time.Time) []quarantine.Report { return w.quarantine.Snapshot(now) }

// Merge takes over what others tell, aged by how long it was on its way.
func (w *Watcher) Merge(words []quarantine.Report, aged time.Duration, now time.Time) {
	if len(words) == 0 {
		return
	}
	matters, held := w.quarantine.Merge(words, aged, now)
	for _, content := range held {
		w.options.Logger.Warn("request is held back", "content", content.String(), "source", "peer")
	}
	if matters {
		w.notifyPeers(now)
	}
	w.evaluate(now)
}

// recordExit takes over that a server has ended under requests of this daemon.
func (w *Watcher) recordExit(e suspectedExit) {
	e.log(w.options.Logger)
	now := time.Now()
	if w.quarantine.RecordExit(e.server.Key, e.lost, e.brokeAt, now) {
		w.notifyPeers(now)
	}
	w.evaluate(now)
}

// evaluate decides which requests are held back, and again when more can be decided.
func (w *Watcher) evaluate(now time.Time) {
	verdicts, again := w.quarantine.Evaluate(now, 2*w.options.ReportInterval(now)+settleMargin)
	for _, v := range verdicts {
		w.options.Logger.Warn("request is held back", "content", v.Digest.String(), "source", "own",
			"servers", v.Servers, "in_a_row", v.Consecutive, "besides", v.UnrelatedExits)
	}
	if len(verdicts) > 0 {
		w.notifyPeers(now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if again <= 0 || w.evaluationScheduled {
		return
	}
	w.evaluationScheduled = true
	time.AfterFunc(again, func() {
		w.mu.Lock()
		w.evaluationScheduled = false
		w.mu.Unlock()
		w.evaluate(time.Now())
	})
}

// notifyPeers tells others at once, unless it was done a moment ago.
func (w *Watcher) notifyPeers(now time.Time) {
	w.mu.Lock()
	early := now.Sub(w.notifiedAt) >= minNotifyInterval
	if early {
		w.notifiedAt = now
	}
	w.mu.Unlock()
	if early {
		w.options.NotifyPeers()
	}
}
