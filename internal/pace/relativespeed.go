package pace

import (
	"math"
	"time"
)

const (
	// MaxLogSpeed bounds a relative speed, as a binary logarithm: a factor of four. It limits the
	// effect of a server that answers falsely.
	MaxLogSpeed = 2.0
	// speedMemorySamples and speedMemoryTime are the number of observations and the time, whichever is
	// longer, after which an observation has lost most of its weight (1 - 1/e). They cover several of
	// the slow phases of some hundred ms that servers have.
	speedMemorySamples = 200.0
	speedMemoryTime    = 20 * time.Second
	// maxReportWeight bounds the weight of the observations of one daemon in a report, so that a daemon
	// that reports false speeds has no more weight than the others.
	maxReportWeight = 8.0
	// maxReporters bounds the number of daemons that one report is assumed to represent.
	maxReporters = 8
	// speedClip bounds the deviation of an observation from the estimate, as a binary logarithm.
	speedClip = 0.75
	// deviationThreshold is the difference from the estimate, as a binary logarithm, from which an
	// observation indicates that the speed has changed. Noise of a quarter stays below it.
	deviationThreshold = 0.6
	// changeDuration is how long observations must deviate to the same side until the speed counts
	// as changed. Slow phases of some hundred ms are shorter. A server that turns slow must be left
	// within 2 s, of which the reports take up to 0.8 s.
	changeDuration = 900 * time.Millisecond
	// minChangeSamples is the number of deviating observations that a change requires.
	minChangeSamples = 4.0
	// changedSamples is the weight of an estimate after a change, so that a few observations
	// replace it.
	changedSamples = 4.0
)

// RelativeSpeed is the estimated speed of one server compared with the mean server of its service. It
// averages the observations and follows at once if they deviate to the same side for long.
type RelativeSpeed struct {
	// Log2 is the binary logarithm of the speed, and Samples the number of observations that it is
	// based on.
	Log2, Samples float64
	// observedAt is the time of the latest observation.
	observedAt time.Time
	// deviating is the number of successive observations that deviate to the same side, since
	// deviatingSince. It is negative if they are slower.
	deviating      float64
	deviatingSince time.Time
}

// SpeedObservations is the mean of observed relative speeds, as a binary logarithm, and their number.
type SpeedObservations struct {
	Log2, Count float64
	// Reporters is the number of daemons that made them. Zero means one.
	Reporters int
}

// Add adds one observation: a quantity that was predicted for the mean server, and the actual one.
func (o *SpeedObservations) Add(predicted, took time.Duration) {
	if predicted <= 0 || took <= 0 {
		return
	}
	o.Count = min(o.Count+1, speedMemorySamples)
	o.Log2 += (clampLogSpeed(math.Log2(predicted.Seconds()/took.Seconds())) - o.Log2) / o.Count
}

// Merge returns the mean of two sets of observations. Their number is bounded, so that observations that
// could not be reported for long do not outweigh later ones.
func (o SpeedObservations) Merge(more SpeedObservations) SpeedObservations {
	if !more.Valid() {
		return o
	}
	count := o.Count + more.Count
	o.Log2 += (clampLogSpeed(more.Log2) - o.Log2) * more.Count / count
	o.Count = min(count, speedMemorySamples)
	o.Reporters += max(1, more.Reporters)
	return o
}

// Deviation returns the deviation of the observations from an estimate, as a binary logarithm.
func (o SpeedObservations) Deviation(from RelativeSpeed) float64 {
	if !o.Valid() {
		return 0
	}
	return math.Abs(o.Log2 - from.Log2)
}

// Valid reports whether observations that were received can be used.
func (o SpeedObservations) Valid() bool {
	return o.Count > 0 && !math.IsInf(o.Count, 0) && !math.IsNaN(o.Log2)
}

// Observe updates the estimate with observations of which the latest was made at the given time. It
// reports whether the speed counts as changed by them.
func (s *RelativeSpeed) Observe(o SpeedObservations, at time.Time) (changed bool) {
	if !o.Valid() {
		return false
	}
	count := min(o.Count, maxReportWeight*float64(max(1, min(maxReporters, o.Reporters))))
	deviation := clampLogSpeed(o.Log2) - s.Log2
	s.trackDeviation(deviation, count, at)
	if s.hasChanged(at) {
		changed = s.Samples > changedSamples
		s.Samples = min(s.Samples, changedSamples)
	}
	s.forget(at)
	s.Samples += count
	s.Log2 = clampLogSpeed(s.Log2 + count/s.Samples*max(-speedClip, min(speedClip, deviation)))
	return changed
}

// Adopt replaces the estimate by one that is based on more daemons' observations.
func (s *RelativeSpeed) Adopt(estimate SpeedObservations) {
	if estimate.Valid() {
		s.Log2, s.Samples = clampLogSpeed(estimate.Log2), estimate.Count
	}
}

// forget reduces the weight of earlier observations beyond speedMemorySamples.
func (s *RelativeSpeed) forget(at time.Time) {
	elapsed := at.Sub(s.observedAt)
	if s.observedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	if at.After(s.observedAt) {
		s.observedAt = at
	}
	switch excess := s.Samples - speedMemorySamples; {
	case excess <= 0:
	case elapsed > speedMemoryTime:
		s.Samples = speedMemorySamples
	default:
		s.Samples -= excess * -math.Expm1(-elapsed.Seconds()/speedMemoryTime.Seconds())
	}
}

// trackDeviation counts successive observations that deviate to the same side. An observation that
// does not takes off twice its weight.
func (s *RelativeSpeed) trackDeviation(deviation, count float64, at time.Time) {
	if math.Abs(deviation) < deviationThreshold {
		if s.deviating > 0 {
			s.deviating = max(0, s.deviating-2*count)
		} else {
			s.deviating = min(0, s.deviating+2*count)
		}
		return
	}
	if s.deviating*deviation <= 0 {
		s.deviating, s.deviatingSince = 0, at
	}
	s.deviating += math.Copysign(count, deviation)
}

func (s *RelativeSpeed) hasChanged(at time.Time) bool {
	return math.Abs(s.deviating) >= minChangeSamples && at.Sub(s.deviatingSince) >= changeDuration
}

// confidentSamples is the number of observations at which an estimate counts half, so that a speed is
// assumed gradually as it is learned.
const confidentSamples = 8.0

// Assumed returns the binary logarithm of the speed relative to the given mean of the service,
// reduced while there are few observations.
func (s *RelativeSpeed) Assumed(center float64) float64 {
	return clampLogSpeed((s.Log2 - center) * s.Samples / (s.Samples + confidentSamples))
}

// Learned reports whether there are enough observations to count the estimate in the mean.
func (s *RelativeSpeed) Learned() bool { return s.Samples >= confidentSamples }

func clampLogSpeed(log2 float64) float64 { return max(-MaxLogSpeed, min(MaxLogSpeed, log2)) }
