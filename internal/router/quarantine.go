package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
)

// newQuarantine returns what holds back requests that end servers.
func (r *Router) newQuarantine() *watch.Watcher {
	return watch.New(watch.Options{
		ReportInterval: func(now time.Time) time.Duration { return r.node.ReportInterval(now) },
		NotifyPeers:    r.triggerReport,
		Logger:         r.logger,
	})
}

// mergeHeld takes over what the record of the lease says of requests that end servers. A
// daemon that is cut off from the holder reads the record in its turn.
func (s *state) mergeHeld(memory lease.Snapshot) {
	now := time.Now()
	s.quarantine.Merge(memory.HeldRequests, max(0, now.Sub(time.UnixMilli(memory.HeldAtMs))), now)
}
