package router

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/gossip"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/pace"
)

// Speeds implements gossip.Source.
func (s *state) Speeds(audience gossip.Audience, plan gossip.Plan, now time.Time) []*gossippb.ServerSpeed {
	s.isRelay.Store(plan.Relay)
	s.isLeader.Store(plan.Leader)
	switch audience {
	case gossip.ZoneRelays:
		records := s.view.ObservedSpeeds(now)
		if plan.Leader {
			// A leader's own observations go to the other zones with those of its zone.
			s.view.ForwardSpeeds(records)
		}
		return encodeSpeeds(records, now)
	case gossip.OtherZones:
		return encodeSpeeds(s.view.ForwardedSpeeds(now), now)
	}
	return encodeSpeeds(s.view.KnownSpeeds(plan.Leader, now), now)
}

// mergeSpeeds merges the speeds of servers that a peer reports: observations at a relay, and the
// estimates of a relay of the zone at all daemons.
func (s *state) mergeSpeeds(status *gossippb.Status, now time.Time) {
	observed, merged := decodeSpeeds(status.GetSpeeds(), now)
	sameZone, isRelay := status.GetZone() == s.router.settings.VM.Zone, s.isRelay.Load()
	if isRelay {
		for _, c := range s.view.AddObservedSpeeds(observed, sameZone && s.isLeader.Load()) {
			s.router.logger.Debug("server's speed changed", "server", c.ID, "service", c.Service, "zone", c.Zone,
				"prefill_before", c.PrefillBefore, "step_before", c.StepBefore, "prefill_observed", c.Prefill, "step_observed", c.Step, "from", status.GetVm())
		}
	}
	if sameZone {
		s.view.AdoptSpeeds(merged, millis(status.GetUptimeMs()), isRelay)
	}
}

// speedUnit is the resolution of speeds in reports: 64 units are a factor of two.
const speedUnit = 64

func encodeSpeeds(records []backend.SpeedRecord, now time.Time) []*gossippb.ServerSpeed {
	var encoded []*gossippb.ServerSpeed
	for _, r := range records {
		encoded = append(encoded, &gossippb.ServerSpeed{
			Server: r.Server, Merged: r.Merged, AgeMs: uint32(max(0, min(math.MaxUint32, now.Sub(r.ObservedAt).Milliseconds()))),
			Prefill: int32(math.Round(speedUnit * r.Prefill.Log2)), PrefillSamples: uint32(math.Ceil(r.Prefill.Count)),
			Step: int32(math.Round(speedUnit * r.Step.Log2)), StepSamples: uint32(math.Ceil(r.Step.Count)),
			Reporters: uint32(max(r.Prefill.Reporters, r.Step.Reporters)),
		})
	}
	return encoded
}

// decodeSpeeds reverses encodeSpeeds. It returns observations and merged estimates separately.
func decodeSpeeds(encoded []*gossippb.ServerSpeed, now time.Time) (observed, merged []backend.SpeedRecord) {
	for _, e := range encoded {
		reporters := int(min(math.MaxInt16, e.GetReporters()))
		record := backend.SpeedRecord{
			Server: e.GetServer(), Merged: e.GetMerged(), ObservedAt: now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
			Prefill: pace.SpeedObservations{Log2: float64(e.GetPrefill()) / speedUnit, Count: float64(e.GetPrefillSamples()), Reporters: reporters},
			Step:    pace.SpeedObservations{Log2: float64(e.GetStep()) / speedUnit, Count: float64(e.GetStepSamples()), Reporters: reporters},
		}
		if record.Merged {
			merged = append(merged, record)
		} else {
			observed = append(observed, record)
		}
	}
	return observed, merged
}

// recordedSpeedBytes is the size of a server's speed in the lease's record: its key and two speeds.
const recordedSpeedBytes = 6

// packSpeeds encodes the speeds of servers for the lease's record.
func packSpeeds(speeds []backend.RecordedSpeed) []byte {
	packed := make([]byte, 0, recordedSpeedBytes*len(speeds))
	for _, r := range speeds {
		packed = append(binary.BigEndian.AppendUint32(packed, r.Server), byte(r.Prefill), byte(r.Step))
	}
	return packed
}

// unpackSpeeds reverses packSpeeds. It ignores an incomplete record at the end.
func unpackSpeeds(packed []byte) []backend.RecordedSpeed {
	var speeds []backend.RecordedSpeed
	for ; len(packed) >= recordedSpeedBytes; packed = packed[recordedSpeedBytes:] {
		speeds = append(speeds, backend.RecordedSpeed{Server: binary.BigEndian.Uint32(packed), Prefill: int8(packed[4]), Step: int8(packed[5])})
	}
	return speeds
}
