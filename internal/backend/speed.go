package backend

import (
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/pace"
)

const (
	// speedDeadBand is the deviation from the service's mean, as a binary logarithm, from which a
	// server's speed counts as different: a factor of 1.23. It counts until the deviation is below
	// speedDeadBandExit. Estimates of servers that are alike differ by less.
	speedDeadBand     = 0.3
	speedDeadBandExit = 0.15
	// homeWeightStep is the resolution of the weights in the choice of homes, as a binary logarithm,
	// and homeWeightHysteresis the deviation from which a weight follows the speed. Prompts would
	// change their homes all the time if weights followed each observation.
	homeWeightStep       = 0.25
	homeWeightHysteresis = 0.25
	// homeWeightPeriod is the time constant of the average that the weights follow. A server that is
	// slow for seconds is left because of its predicted waits, and keeps its homes.
	homeWeightPeriod = 30 * time.Second
	// maxHomeWeight bounds a weight, so that a server that answers falsely gets no more than twice the
	// prompts of others.
	maxHomeWeight = 2.0
	// speedRefreshInterval is the minimum time between two computations of the assumed speeds, and
	// refreshIntervalPerServer what it is for each server if there are many: 1 s at 2,600 servers, for
	// which a computation takes 0.9 ms.
	speedRefreshInterval     = 200 * time.Millisecond
	refreshIntervalPerServer = 400 * time.Microsecond
	// stepObservationInterval is the time between two observations of a stream's step time.
	stepObservationInterval = 500 * time.Millisecond
)

// speedMeasure is what is known of one server's speed in one respect: reading prompts or generating
// tokens.
type speedMeasure struct {
	// known is the estimate from all observations that this daemon has received.
	known pace.RelativeSpeed
	// pending are own observations that are to be reported to the relays of the zone. forwarded are
	// observations of the zone that its leader is to report to the other zones.
	pending, forwarded pace.SpeedObservations
	// slow is the moving average of the estimate, once averaged is set.
	slow     float64
	averaged bool
	// log2 is the binary logarithm of the assumed speed, zero within the dead band, and factor the
	// assumed speed. A factor of zero means one.
	log2, factor float64
}

// speeds is what is known of the speed of one incarnation of a server.
type speeds struct {
	prefill, step speedMeasure
	// smoothLog2 is the moving average of the binary logarithm of the capacity, and homeLog2 that of the
	// weight in the choice of homes, which follows it. smoothed is set once they have a value.
	smoothLog2, homeLog2 float64
	smoothed             bool
	// observedAt is when the latest observation was made.
	observedAt time.Time
	// sent is the last estimate that was sent to the daemons of the zone, at sentAt.
	sent   sentSpeed
	sentAt time.Time
	// reportedAt and forwardedAt are when pending and forwarded observations were last reported.
	reportedAt, forwardedAt time.Time
}

type sentSpeed struct{ prefill, step float64 }

// observe records an own observation.
func (m *speedMeasure) observe(predicted, took time.Duration, center speedCenter, now time.Time) {
	var o pace.SpeedObservations
	o.Add(predicted, took)
	m.known.Observe(o, center.residual, now)
	if m.pending.Valid() && o.Valid() && math.Abs(o.Log2-m.pending.Log2) >= urgentDeviation {
		// A mean with earlier observations, which wait for up to some seconds to be reported, would hide
		// that the server has become slow or fast.
		m.pending = pace.SpeedObservations{}
	}
	m.pending.Add(predicted, took)
}

// assume sets the assumed speed from the estimate and the mean of the service. known is set if enough
// speeds of the service are known.
func (m *speedMeasure) assume(center float64, known bool) {
	if !known {
		m.log2, m.factor = 0, 1
		return
	}
	log2, band := m.known.Assumed(center), speedDeadBand
	if m.log2 != 0 {
		band = speedDeadBandExit
	}
	if math.Abs(log2) < band {
		log2 = 0
	}
	m.log2, m.factor = log2, math.Exp2(log2)
}

// speed returns the assumed speed relative to the service's mean.
func (m *speedMeasure) speed() float64 {
	if m.factor == 0 {
		return 1
	}
	return m.factor
}

// at returns how long something takes at this server that takes the given time at the mean server.
func (m *speedMeasure) at(mean time.Duration) time.Duration {
	if m.log2 == 0 {
		return mean
	}
	return time.Duration(float64(mean) / m.factor)
}

// toMean is the inverse of at.
func (m *speedMeasure) toMean(took time.Duration) time.Duration {
	if m.log2 == 0 {
		return took
	}
	return time.Duration(float64(took) * m.factor)
}

// weight returns the server's weight in the choice of homes.
func (s *server) weight() float64 { return 1 / s.slowness }

// capacityLog2 returns how many mean servers the server replaces, as a binary logarithm: the mean of its
// speeds. Servers of plain services read no prompts.
func (s *speeds) capacityLog2() float64 {
	if s.prefill.known.Samples == 0 {
		return s.step.log2
	}
	return (s.prefill.log2 + s.step.log2) / 2
}

// followHomeWeight updates the average of the capacity after some time, and changes the weight if the
// average has moved away from it.
func (s *server) followHomeWeight(elapsed time.Duration) (changed bool) {
	wanted := s.speeds.capacityLog2()
	if !s.speeds.smoothed {
		s.speeds.smoothLog2, s.speeds.smoothed = wanted, true
	}
	s.speeds.smoothLog2 += (wanted - s.speeds.smoothLog2) * followed(elapsed, homeWeightPeriod)
	if math.Abs(s.speeds.smoothLog2-s.speeds.homeLog2) < homeWeightHysteresis {
		return false
	}
	s.speeds.homeLog2 = min(math.Log2(maxHomeWeight), homeWeightStep*math.Round(s.speeds.smoothLog2/homeWeightStep))
	s.slowness = math.Exp2(-s.speeds.homeLog2)
	return true
}

// followed returns the share of a difference that an average has made up for after some time.
func followed(elapsed, period time.Duration) float64 {
	return -math.Expm1(-elapsed.Seconds() / period.Seconds())
}

// serviceSpeeds is what the servers of one service have in common.
type serviceSpeeds struct {
	prefill, step speedCenter
	// known is set once the speeds of minLearnedShare of the ready servers are known, since knownSince,
	// until those of most are unknown. Otherwise all servers are assumed to be alike: while only
	// some are in use, their speeds cannot be distinguished from those of the mean server.
	known      bool
	knownSince time.Time
	// differ is set if a server is assumed to differ from the mean.
	differ bool
	// topWeight is the largest weight in the choice of homes.
	topWeight float64
	// capacity is the mean capacity of the ready servers.
	capacity float64
	// meanServiceTime is the mean time of a call at the mean server of a plain service, and calls the
	// number of calls that it is based on.
	meanServiceTime time.Duration
	calls           int
}

const (
	// meanCallWeight is the weight of a call in the mean service time of a plain service.
	meanCallWeight = 0.02
	// minMeanCalls is the number of calls from which on the mean is used.
	minMeanCalls = 24
)

// recordCall updates the mean with a call that took the given time, converted to the mean server.
func (s *serviceSpeeds) recordCall(took time.Duration) {
	s.calls++
	weight := max(meanCallWeight, 1/float64(s.calls))
	s.meanServiceTime += time.Duration(weight * float64(took-s.meanServiceTime))
}

// refreshSpeeds computes the assumed speeds of all servers if those that are known are old. The caller
// holds the lock.
func (v *View) refreshSpeeds(now time.Time) {
	elapsed := now.Sub(v.speedsRefreshedAt)
	if elapsed < max(speedRefreshInterval, time.Duration(len(v.servers))*refreshIntervalPerServer) {
		return
	}
	if v.speedsRefreshedAt.IsZero() {
		elapsed = 0
	}
	v.speedsRefreshedAt = now
	v.moveCenters(elapsed, now)
	for _, service := range v.serviceSpeeds {
		service.differ, service.topWeight, service.capacity = false, 1, 0
	}
	ready := map[*serviceSpeeds]float64{}
	for _, s := range v.servers {
		service := v.serviceSpeedsOf(s.Service)
		before := s.speeds.prefill.log2
		s.speeds.prefill.assume(service.prefill.log2(), service.known)
		s.coverSlowdown(before-s.speeds.prefill.log2, now)
		s.speeds.step.assume(service.step.log2(), service.known)
		if s.followHomeWeight(elapsed) {
			v.weightsVersion++
		}
		if !s.ready() {
			continue
		}
		service.differ = service.differ || s.speeds.prefill.log2 != 0 || s.speeds.step.log2 != 0
		service.topWeight = max(service.topWeight, s.weight())
		service.capacity += math.Exp2(s.speeds.capacityLog2())
		ready[service]++
	}
	for service, count := range ready {
		service.capacity /= count
	}
}

// serviceSpeedsOf returns the state of a service. The caller holds the lock.
func (v *View) serviceSpeedsOf(service string) *serviceSpeeds {
	known := v.serviceSpeeds[service]
	if known == nil {
		known = &serviceSpeeds{topWeight: 1}
		v.serviceSpeeds[service] = known
	}
	return known
}

// MeanCapacity returns how many mean servers a ready server of the service replaces on average. It is
// one for servers that are alike. The mean server is the one of the geometric mean speed, in which the
// demand is measured, so that servers of different speeds replace more than one on average.
func (v *View) MeanCapacity(service string, now time.Time) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshSpeeds(now)
	if known := v.serviceSpeeds[service]; known != nil && known.capacity > 0 {
		return known.capacity
	}
	return 1
}
