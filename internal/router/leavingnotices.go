package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// mergeLeavingNotices merges the leaving notices that a peer reports. The store may not have them
// yet.
func (s *state) mergeLeavingNotices(status *gossippb.Status, now time.Time) {
	changed := s.view.MergeLeavingNotices(decodeLeavingNotices(status.GetLeaving(), now), now)
	for _, e := range changed {
		s.router.logger.Info("server leaves by its own announcement", "server", e.ID, "service", e.Service, "zone", e.Zone, "from", status.GetVm())
	}
	if len(changed) > 0 {
		s.router.node.TriggerReport()
	}
}

func encodeLeavingNotices(notices []advice.LeavingNotice, now time.Time) []*gossippb.ServerLeaving {
	var leaving []*gossippb.ServerLeaving
	for _, d := range notices {
		leaving = append(leaving, &gossippb.ServerLeaving{Server: d.Server, AgeMs: now.Sub(d.ReceivedAt).Milliseconds()})
	}
	return leaving
}

func decodeLeavingNotices(leaving []*gossippb.ServerLeaving, now time.Time) []advice.LeavingNotice {
	var notices []advice.LeavingNotice
	for _, l := range leaving {
		notices = append(notices, advice.LeavingNotice{Server: l.GetServer(), ReceivedAt: now.Add(-millis(l.GetAgeMs()))})
	}
	return notices
}
