package backend

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/pace"
)

// SpeedRecord is what one daemon reports to others of the speed of a server.
type SpeedRecord struct {
	// Server is the server's key.
	Server uint32
	// Prefill and Step are observations or, in a merged record, the estimate.
	Prefill, Step pace.SpeedObservations
	// ObservedAt is the time of the latest observation.
	ObservedAt time.Time
	// Merged is set for the estimate of a relay from the observations of many daemons. Observations
	// are reported once and are added up; an estimate replaces an earlier one.
	Merged bool
}

const (
	// maxReportedObservations bounds the servers in one report of own observations, which takes 25
	// bytes per server and goes to two relays: 0.6 KB/s at a report every 400 ms. Observations of
	// other servers are gathered for a later report.
	maxReportedObservations = 5
	// maxReportedSpeeds bounds the servers in one report of a leader to its zone: 0.8 KB/s to each
	// daemon. maxStandbySpeeds is the bound for other relays, whose reports matter only to a
	// leader that starts.
	maxReportedSpeeds = 12
	maxStandbySpeeds  = 2
	// maxForwardedSpeeds bounds the servers in a leader's report to the relays of other zones.
	maxForwardedSpeeds = 32
	// speedChange is the change of an estimate, as a binary logarithm, that is reported before others.
	speedChange = 0.1
	// speedResendInterval is the time after which an unchanged estimate is sent again, for daemons that
	// have started or have missed it.
	speedResendInterval = 4 * time.Second
	// urgentDeviation is the deviation of observations from the estimate, as a binary logarithm, that
	// is reported before others. Noise reaches it in one of 200 observations.
	urgentDeviation = 1.0
)

// ObservedSpeeds returns own observations to report to the relays of the zone. Each is returned once.
func (v *View) ObservedSpeeds(now time.Time) []SpeedRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	due := v.selectUrgent(maxReportedObservations, func(s *server) (float64, bool) {
		p, t := &s.speeds.prefill, &s.speeds.step
		urgency := max(p.pending.Deviation(p.known), t.pending.Deviation(t.known))
		return urgencyOf(urgency >= urgentDeviation, now.Sub(s.speeds.reportedAt)), p.pending.Valid() || t.pending.Valid()
	})
	records := make([]SpeedRecord, 0, len(due))
	for _, s := range due {
		records = append(records, SpeedRecord{Server: s.key, Prefill: s.speeds.prefill.pending, Step: s.speeds.step.pending, ObservedAt: s.speeds.observedAt})
		s.speeds.prefill.pending, s.speeds.step.pending, s.speeds.reportedAt = pace.SpeedObservations{}, pace.SpeedObservations{}, now
	}
	return records
}

// ForwardedSpeeds returns the observations of the zone to report to the relays of other zones. Each is
// returned once.
func (v *View) ForwardedSpeeds(now time.Time) []SpeedRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	due := v.selectUrgent(maxForwardedSpeeds, func(s *server) (float64, bool) {
		p, t := &s.speeds.prefill, &s.speeds.step
		urgency := max(p.forwarded.Deviation(p.known), t.forwarded.Deviation(t.known))
		return urgencyOf(urgency >= urgentDeviation, now.Sub(s.speeds.forwardedAt)), p.forwarded.Valid() || t.forwarded.Valid()
	})
	records := make([]SpeedRecord, 0, len(due))
	for _, s := range due {
		records = append(records, SpeedRecord{Server: s.key, Prefill: s.speeds.prefill.forwarded, Step: s.speeds.step.forwarded, ObservedAt: s.speeds.observedAt})
		s.speeds.prefill.forwarded, s.speeds.step.forwarded, s.speeds.forwardedAt = pace.SpeedObservations{}, pace.SpeedObservations{}, now
	}
	return records
}

// ForwardSpeeds adds own observations to those that are to be reported to the relays of other zones.
func (v *View) ForwardSpeeds(records []SpeedRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.byKey()
	for _, r := range records {
		if s := known[r.Server]; s != nil {
			s.speeds.forward(r)
		}
	}
}

// KnownSpeeds returns estimates to report to the daemons of the zone: first those that have changed,
// and in rotation those of the other servers. leader is set for the relay whose reports all daemons
// of the zone use.
func (v *View) KnownSpeeds(leader bool, now time.Time) []SpeedRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	limit := maxStandbySpeeds
	if leader {
		limit = maxReportedSpeeds
	}
	due := v.selectUrgent(limit, func(s *server) (float64, bool) {
		p, t := &s.speeds.prefill.known, &s.speeds.step.known
		change := max(math.Abs(p.Log2-s.speeds.sent.prefill), math.Abs(t.Log2-s.speeds.sent.step))
		sinceSent := now.Sub(s.speeds.sentAt)
		return urgencyOf(change >= speedChange, sinceSent), p.Samples+t.Samples > 0 && (change >= speedChange || sinceSent >= speedResendInterval)
	})
	records := make([]SpeedRecord, 0, len(due))
	for _, s := range due {
		p, t := &s.speeds.prefill.known, &s.speeds.step.known
		service := v.serviceSpeedsOf(s.Service)
		records = append(records, SpeedRecord{
			Server: s.key, ObservedAt: s.speeds.observedAt, Merged: true,
			Prefill: pace.SpeedObservations{Log2: p.Log2 - service.prefill.mean, Count: p.Samples}, Step: pace.SpeedObservations{Log2: t.Log2 - service.step.mean, Count: t.Samples},
		})
		s.speeds.sent, s.speeds.sentAt = sentSpeed{prefill: p.Log2, step: t.Log2}, now
	}
	return records
}

// changeUrgency is how much longer than others a server is assumed to wait for a report if its speed
// seems to change.
const changeUrgency = time.Hour

// urgencyOf returns the order of a server in the reports, in seconds.
func urgencyOf(changes bool, waited time.Duration) float64 {
	urgency := min(waited, changeUrgency).Seconds()
	if changes {
		urgency += changeUrgency.Seconds()
	}
	return urgency
}

// selectUrgent returns up to limit servers that are due, those of highest urgency in that order. The caller
// holds the lock.
func (v *View) selectUrgent(limit int, due func(s *server) (urgency float64, due bool)) []*server {
	type candidate struct {
		*server
		urgency float64
	}
	before := func(a, b candidate) int { return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.key, b.key)) }
	first := make([]candidate, 0, limit+1)
	for _, s := range v.servers {
		urgency, isDue := due(s)
		next := candidate{s, urgency}
		if !isDue || !s.listed || len(first) == limit && before(next, first[limit-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, next, before)
		first = slices.Insert(first, at, next)
		first = first[:min(limit, len(first))]
	}
	servers := make([]*server, 0, len(first))
	for _, c := range first {
		servers = append(servers, c.server)
	}
	return servers
}

// AddObservedSpeeds adds observations that other daemons report to this relay. forward is set if this
// daemon is to report them to other zones.
func (v *View) AddObservedSpeeds(records []SpeedRecord, forward bool) (changed []SpeedChange) {
	if len(records) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.byKey()
	for _, r := range records {
		s := known[r.Server]
		if s == nil {
			continue
		}
		prefill, step := s.speeds.prefill.known.Log2, s.speeds.step.known.Log2
		service := v.serviceSpeedsOf(s.Service)
		prefillChanged := s.speeds.prefill.known.Observe(r.Prefill, service.prefill.residual, r.ObservedAt)
		stepChanged := s.speeds.step.known.Observe(r.Step, service.step.residual, r.ObservedAt)
		s.speeds.observedAt = later(s.speeds.observedAt, r.ObservedAt)
		if forward {
			s.speeds.forward(r)
		}
		if prefillChanged || stepChanged {
			changed = append(changed, SpeedChange{Entry: s.Entry, PrefillBefore: math.Exp2(prefill), StepBefore: math.Exp2(step), Prefill: math.Exp2(r.Prefill.Log2), Step: math.Exp2(r.Step.Log2)})
		}
	}
	return changed
}

// forward adds observations of the zone to those that are to be reported to other zones.
func (s *speeds) forward(r SpeedRecord) {
	s.prefill.forwarded = s.prefill.forwarded.Merge(r.Prefill)
	s.step.forwarded = s.step.forwarded.Merge(r.Step)
}

// SpeedChange is a change of a server's speed that lasts.
type SpeedChange struct {
	Entry
	// The speeds before are the estimates, and the others the latest observations.
	PrefillBefore, StepBefore, Prefill, Step float64
}

// settledRelay is how long a relay must have been running until its estimates replace ones that are
// based on more observations. By then it has received those of its predecessor.
const settledRelay = 30 * time.Second

// AdoptSpeeds applies the estimates that a relay of the zone reports. senderUptime is how long the
// relay has been running. A relay itself adopts only what it knows much less of.
func (v *View) AdoptSpeeds(records []SpeedRecord, senderUptime time.Duration, isRelay bool) {
	if len(records) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.byKey()
	for _, r := range records {
		s := known[r.Server]
		if s == nil {
			continue
		}
		s.speeds.prefill.adopt(r.Prefill, senderUptime, isRelay)
		s.speeds.step.adopt(r.Step, senderUptime, isRelay)
		s.speeds.observedAt = later(s.speeds.observedAt, r.ObservedAt)
	}
}

// relayCatchUpFactor is how many times the observations of a relay's own estimate an estimate of another
// relay must be based on to replace it.
const relayCatchUpFactor = 4

func (m *speedMeasure) adopt(estimate pace.SpeedObservations, senderUptime time.Duration, isRelay bool) {
	switch {
	case !estimate.Valid():
	case isRelay && estimate.Count < relayCatchUpFactor*m.known.Samples:
	case !isRelay && senderUptime < settledRelay && estimate.Count < m.known.Samples:
	default:
		m.known.Adopt(estimate)
	}
}

// RecordedSpeed is the speed of a server in the lease's record, in units of 1/speedUnit of a binary
// logarithm relative to the service.
type RecordedSpeed struct {
	Server        uint32
	Prefill, Step int8
}

const (
	// speedUnit is the resolution of a recorded speed. With it, MaxLogSpeed is the largest int8.
	speedUnit = 127 / pace.MaxLogSpeed
	// recordedSamples is the number of observations that a recorded speed is assumed to be based on.
	recordedSamples = 100
)

// RecordSpeeds returns the learned speeds of the servers for the lease's record, in order of server key.
// Services whose servers count as alike are left out.
func (v *View) RecordSpeeds() []RecordedSpeed {
	v.mu.Lock()
	defer v.mu.Unlock()
	var recorded []RecordedSpeed
	for _, s := range v.servers {
		p, t := &s.speeds.prefill.known, &s.speeds.step.known
		service := v.serviceSpeedsOf(s.Service)
		if !service.differ || !s.listed || !p.Learned() && !t.Learned() {
			continue
		}
		recorded = append(recorded, RecordedSpeed{
			Server:  s.key,
			Prefill: int8(math.Round(speedUnit * p.Assumed(service.prefill.log2()))), Step: int8(math.Round(speedUnit * t.Assumed(service.step.log2()))),
		})
	}
	slices.SortFunc(recorded, func(a, b RecordedSpeed) int { return cmp.Compare(a.Server, b.Server) })
	return recorded
}

// RestoreSpeeds applies recorded speeds to servers of which this daemon knows less. Those of servers
// that are not listed yet are kept until they are.
func (v *View) RestoreSpeeds(recorded []RecordedSpeed) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.byKey()
	for _, r := range recorded {
		if s := known[r.Server]; s != nil {
			s.speeds.restore(r)
			continue
		}
		v.unlistedSpeeds[r.Server] = r
	}
}

func (s *speeds) restore(r RecordedSpeed) {
	restore := func(m *speedMeasure, recorded int8) {
		if m.known.Samples < recordedSamples {
			m.known.Adopt(pace.SpeedObservations{Log2: float64(recorded) / speedUnit, Count: recordedSamples})
		}
	}
	restore(&s.prefill, r.Prefill)
	restore(&s.step, r.Step)
}
