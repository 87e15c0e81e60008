package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/gossip"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/pace"
)

func TestServerSpeedEncoding(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	observed := backend.SpeedRecord{Server: 7, ObservedAt: now.Add(-time.Second), Prefill: pace.SpeedObservations{Log2: -0.5, Count: 3, Reporters: 2}, Step: pace.SpeedObservations{Log2: 0.75, Count: 9, Reporters: 2}}
	merged := backend.SpeedRecord{Server: 8, ObservedAt: now, Merged: true, Step: pace.SpeedObservations{Log2: -1, Count: 200}}
	gotObserved, gotMerged := decodeSpeeds(encodeSpeeds([]backend.SpeedRecord{observed, merged}, now), now)
	c.Check(gotObserved, qt.DeepEquals, []backend.SpeedRecord{observed})
	c.Check(gotMerged, qt.DeepEquals, []backend.SpeedRecord{merged})
}

func TestPackedSpeeds(t *testing.T) {
	c := qt.New(t)
	speeds := []backend.RecordedSpeed{{Server: 0xfffffffe, Prefill: -127, Step: 127}, {Server: 1, Prefill: 3, Step: -4}}
	packed := packSpeeds(speeds)
	c.Check(packed, qt.HasLen, 12)
	c.Check(unpackSpeeds(packed), qt.DeepEquals, speeds)
	c.Check(unpackSpeeds(packed[:11]), qt.DeepEquals, speeds[:1])
	c.Check(unpackSpeeds(nil), qt.HasLen, 0)
}

// stepSpeed returns the assumed step speed of the only server.
func stepSpeed(s *state, now time.Time) float64 { return s.view.Servers(now)[0].StepSpeed }

// fastServer is a relay's report that the only server is fast.
func fastServer(s *state, zone string) *gossippb.Status {
	return &gossippb.Status{Vm: "vm-relay", Zone: zone, UptimeMs: 60_000, Speeds: []*gossippb.ServerSpeed{
		{Server: s.view.Keys()[0], Merged: true, Prefill: 64, Step: 64, PrefillSamples: 200, StepSamples: 200},
	}}
}

// TestEstimatesComeFromTheOwnZone guards against estimates that are counted twice: the relays of other zones
// report observations, and an estimate of theirs must not replace that of this zone.
func TestEstimatesComeFromTheOwnZone(t *testing.T) {
	c := qt.New(t)
	s := newTestRouter(t).state
	now := time.Now()
	s.view.Put(backend.Entry{ID: "a", Service: "s", Slots: 1}, now)
	s.mergeSpeeds(&gossippb.Status{Zone: s.router.settings.VM.Zone}, now)
	c.Check(stepSpeed(s, now), qt.Equals, 1.0)
	s.mergeSpeeds(fastServer(s, "elsewhere"), now)
	c.Check(stepSpeed(s, now.Add(time.Second)), qt.Equals, 1.0)
	s.mergeSpeeds(fastServer(s, s.router.settings.VM.Zone), now)
	c.Check(stepSpeed(s, now.Add(2*time.Second)) > 1, qt.IsTrue, qt.Commentf("%.2f", stepSpeed(s, now.Add(2*time.Second))))
}

// TestOnlyRelaysAddObservations guards against observations that are counted by daemons to which they were
// not reported as relays.
func TestOnlyRelaysAddObservations(t *testing.T) {
	c := qt.New(t)
	s := newTestRouter(t).state
	now := time.Now()
	s.view.Put(backend.Entry{ID: "a", Service: "s", Slots: 1}, now)
	report := &gossippb.Status{Zone: s.router.settings.VM.Zone, Speeds: []*gossippb.ServerSpeed{{Server: s.view.Keys()[0], Step: 64, StepSamples: 4}}}
	known := func() int {
		return len(s.Speeds(gossip.ZoneDaemons, gossip.Plan{Relay: true, Leader: true}, now))
	}
	s.mergeSpeeds(report, now)
	c.Check(known(), qt.Equals, 0)
	s.mergeSpeeds(report, now)
	c.Check(known(), qt.Equals, 1)
	c.Check(s.Speeds(gossip.OtherZones, gossip.Plan{Relay: true, Leader: true}, now), qt.HasLen, 1)
	c.Check(s.Speeds(gossip.OtherZones, gossip.Plan{Relay: true, Leader: true}, now), qt.HasLen, 0, qt.Commentf("observations are forwarded once"))
}

// TestSpeedsSurviveTheLossOfAllDaemons checks that the lease's record restores the speeds of servers, whether
// they are listed before or after it is read.
func TestSpeedsSurviveTheLossOfAllDaemons(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	server := backend.Entry{ID: "a", Service: "s", Slots: 1}
	before := newTestRouter(t).state
	before.view.Put(server, now)
	before.mergeSpeeds(fastServer(before, before.router.settings.VM.Zone), now)
	c.Assert(stepSpeed(before, now) > 1.3, qt.IsTrue)
	snapshot := before.buildSnapshot(lease.Snapshot{})
	for _, listedFirst := range []bool{true, false} {
		after := newTestRouter(t).state
		if listedFirst {
			after.view.Put(server, now)
		}
		after.restoreSnapshot(snapshot, 1, now)
		if !listedFirst {
			after.view.Put(server, now)
		}
		c.Check(stepSpeed(after, now) > 1.3, qt.IsTrue, qt.Commentf("%.2f", stepSpeed(after, now)))
	}
}
