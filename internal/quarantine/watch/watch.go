// Package watch runs the quarantine of a daemon. It checks whether servers have exited under
// requests, evaluates the quarantine on each change, and notifies the peers.
package watch

import (
	"log/slog"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
)

const (
	// minNotifyInterval is the least time between two early reports about poison requests. Ten
	// a second from each leader while many servers exit would be four times a leader's usual
	// traffic.
	minNotifyInterval = 200 * time.Millisecond
	// settleMargin is added to two report intervals, after which the reports of all daemons
	// have arrived. Early reports take about that long in transit.
	settleMargin = 100 * time.Millisecond
)

// Options configure a Watcher.
type Options struct {
	// ReportInterval returns the time between two reports to peers, and NotifyPeers makes the
	// next one go out at once. Both are nil where there are no peers.
	ReportInterval func(now time.Time) time.Duration
	NotifyPeers    func()
	Logger         *slog.Logger
}

// Watcher runs the quarantine for the requests of one daemon. It is safe for concurrent use.
type Watcher struct {
	options    Options
	quarantine *quarantine.Quarantine
	probes     pendingProbes

	mu sync.Mutex
	// notifiedAt is when a report last went out early. evaluationScheduled is set while a timer
	// for another evaluation is running.
	notifiedAt          time.Time
	evaluationScheduled bool
}

// New returns a Watcher that blocks no request.
func New(options Options) *Watcher {
	if options.ReportInterval == nil {
		options.ReportInterval = func(time.Time) time.Duration { return 0 }
	}
	if options.NotifyPeers == nil {
		options.NotifyPeers = func() {}
	}
	return &Watcher{options: options, quarantine: quarantine.New(), probes: pendingProbes{byServer: map[quarantine.ServerInstance]*suspectedExit{}}}
}

// Blocked reports whether a request is blocked, and why.
func (w *Watcher) Blocked(f quarantine.Fingerprint, now time.Time) (quarantine.Block, bool) {
	return w.quarantine.Blocked(f, now)
}

// Suspected reports whether a request whose attempt failed must not be retried at another
// server.
func (w *Watcher) Suspected(f quarantine.Fingerprint) bool { return w.quarantine.Suspected(f) }

// RecordAnswer records that a server completed a request. generated is set if it also generated
// the answer to a prompt.
func (w *Watcher) RecordAnswer(f quarantine.Fingerprint, generated bool, now time.Time) {
	if w.quarantine.RecordAnswer(f, generated, now) {
		w.notifyPeers(now)
	}
}

// RecordProgress records that a server has been generating the answer to a prompt for some time.
func (w *Watcher) RecordProgress(f quarantine.Fingerprint, now time.Time) {
	if w.quarantine.RecordProgress(f, now) {
		w.notifyPeers(now)
	}
}

// ChangeCount returns a counter that increases with each change that peers should receive.
func (w *Watcher) ChangeCount() int { return w.quarantine.ChangeCount() }

// BlockedCount returns the number of digests that are blocked.
func (w *Watcher) BlockedCount(now time.Time) int { return w.quarantine.BlockedCount(now) }

// Reports returns the reports for peers.
func (w *Watcher) Reports(now time.Time) []quarantine.Report { return w.quarantine.Reports(now) }

// Snapshot returns the reports for the lease record, from which a daemon starts when no other
// daemon is left.
func (w *Watcher) Snapshot(now time.Time) []quarantine.Report { return w.quarantine.Snapshot(now) }

// Merge adds reports received from peers. transit is the time since they were sent.
func (w *Watcher) Merge(reports []quarantine.Report, transit time.Duration, now time.Time) {
	if len(reports) == 0 {
		return
	}
	propagate, blocked := w.quarantine.Merge(reports, transit, now)
	for _, digest := range blocked {
		w.options.Logger.Warn("request is held back", "content", digest.String(), "source", "peer")
	}
	if propagate {
		w.notifyPeers(now)
	}
	w.evaluate(now)
}

// recordExit records that a server exited while it ran requests of this daemon.
func (w *Watcher) recordExit(e suspectedExit) {
	e.log(w.options.Logger)
	now := time.Now()
	if w.quarantine.RecordExit(e.server.Key, e.lost, e.brokeAt, now) {
		w.notifyPeers(now)
	}
	w.evaluate(now)
}

// evaluate blocks the requests that meet the criteria and schedules the next evaluation where a
// request is still settling.
func (w *Watcher) evaluate(now time.Time) {
	verdicts, retryIn := w.quarantine.Evaluate(now, 2*w.options.ReportInterval(now)+settleMargin)
	for _, verdict := range verdicts {
		w.options.Logger.Warn("request is held back", "content", verdict.Digest.String(), "source", "own",
			"part", verdict.IsPart, "servers", verdict.Servers, "in_a_row", verdict.Consecutive, "besides", verdict.UnrelatedExits, "only_with", verdict.Companions)
	}
	if len(verdicts) > 0 {
		w.notifyPeers(now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if retryIn <= 0 || w.evaluationScheduled {
		return
	}
	w.evaluationScheduled = true
	time.AfterFunc(retryIn, func() {
		w.mu.Lock()
		w.evaluationScheduled = false
		w.mu.Unlock()
		w.evaluate(time.Now())
	})
}

// notifyPeers sends a report at once, at most every minNotifyInterval.
func (w *Watcher) notifyPeers(now time.Time) {
	w.mu.Lock()
	due := now.Sub(w.notifiedAt) >= minNotifyInterval
	if due {
		w.notifiedAt = now
	}
	w.mu.Unlock()
	if due {
		w.options.NotifyPeers()
	}
}
