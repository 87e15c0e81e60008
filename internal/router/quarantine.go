package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
)

// newQuarantine returns the watcher that detects and blocks poison requests.
func (r *Router) newQuarantine() *watch.Watcher {
	return watch.New(watch.Options{
		ReportInterval: func(now time.Time) time.Duration { return r.node.ReportInterval(now) },
		NotifyPeers:    r.triggerReport,
		Logger:         r.logger,
	})
}

// mergeHeld merges the reports of poison requests in the snapshot of the lease. A daemon that is
// partitioned from the holder still reads the record in the store.
func (s *state) mergeHeld(snapshot lease.Snapshot) {
	now := time.Now()
	s.quarantine.Merge(snapshot.HeldRequests, max(0, now.Sub(time.UnixMilli(snapshot.HeldAtMs))), now)
}
