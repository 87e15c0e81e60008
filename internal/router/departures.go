package router

import (
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// mergeLeaving takes over which servers a peer reports to have said that they leave: the store may be
// away, or not have been told.
func (s *state) mergeLeaving(status *gossippb.Status, now time.Time) {
	changed := s.view.MergeLeaving(decodeLeaving(status.GetLeaving(), now), now)
	for _, e := range changed {
		s.router.logger.Info("server's answer says that it leaves", "server", e.ID, "service", e.Service, "zone", e.Zone, "from", status.GetVm())
	}
	if len(changed) > 0 {
		s.router.node.Soon()
	}
}

func encodeLeaving(said []advice.Departure, now time.Time) []*gossippb.ServerLeaving {
	var leaving []*gossippb.ServerLeaving
	for _, d := range said {
		leaving = append(leaving, &gossippb.ServerLeaving{Server: d.Server, AgeMs: now.Sub(d.At).Milliseconds()})
	}
	return leaving
}

func decodeLeaving(leaving []*gossippb.ServerLeaving, now time.Time) []advice.Departure {
	var said []advice.Departure
	for _, l := range leaving {
		said = append(said, advice.Departure{Server: l.GetServer(), At: now.Add(-millis(l.GetAgeMs()))})
	}
	return said
}
