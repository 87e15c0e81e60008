package pace

import (
	"math"
	"time"
)

const (
	// MaxLogSpeed bounds a relative speed, as a binary logarithm: a factor of four. It limits the
	// effect of a server that answers falsely.
	MaxLogSpeed = 2.0
	// speedMemorySamples is the number of observations after which one has lost most of its weight
	// (1 - 1/e), and maxSampleRate the number of observations per second that count as such: more of
	// them in a second count as their mean. Together they average over at least 20 s, which covers
	// several of the slow phases of some hundred ms that servers have.
	speedMemorySamples = 200.0
	maxSampleRate      = 10.0
	// maxReportWeight bounds the weight of the observations of one daemon in a report, so that a daemon
	// that reports false speeds has no more weight than the others.
	maxReportWeight = 4.0
	// maxReporters bounds the number of daemons that one report is assumed to represent.
	maxReporters = 8
	// speedClip bounds the deviation of an observation from the estimate, as a binary logarithm.
	speedClip = 0.75
	// deviationThreshold is the difference from the estimate, as a binary logarithm, from which an
	// observation indicates that the speed has changed. Noise of a quarter stays below it.
	deviationThreshold = 0.6
	// changeDuration is how long observations must deviate to the same side until the speed counts
	// as changed. Slow phases of some hundred ms are shorter. A server that turns slow must be left
	// within 2 s, of which the reports take up to 1 s.
	changeDuration = 800 * time.Millisecond
	// minChangeSamples is the number of deviating observations that a change requires. Noise alone
	// makes 4 successive ones once per minute at some of 88 daemons.
	minChangeSamples = 6.0
	// changeThreshold is the average deviation, as a binary logarithm, that a change requires: a factor
	// of 1.74. Smaller changes are learned gradually. With 0.6, an overload that builds up within 5 s
	// was taken for changes of 0.13 of the servers.
	changeThreshold = 0.8
	// residualSamples is the number of observations over which the residual is averaged.
	residualSamples = 8.0
)

// RelativeSpeed is the estimated speed of one server compared with the mean server of its service. It
// averages the observations and follows at once if they deviate to the same side for long.
type RelativeSpeed struct {
	// Log2 is the binary logarithm of the speed, and Samples the number of observations that it is
	// based on.
	Log2, Samples float64
	// recent are the observations since appliedAt that are not in the estimate yet.
	recent    SpeedObservations
	appliedAt time.Time
	// before is the estimate before the latest change, which is restored if the change is undone. It
	// is valid if changes is set.
	before  float64
	changes bool
	// residual is the moving average of the deviation of observations from the estimate.
	residual float64
	// deviating are the successive observations that deviate to the same side, since deviatingSince.
	deviating      SpeedObservations
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

// Observe updates the estimate with observations of which the latest was made at the given time. common is
// the deviation that the observations of all servers of the service presently have, which indicates no
// change of this server. Observe reports whether the speed counts as changed.
func (s *RelativeSpeed) Observe(o SpeedObservations, common float64, at time.Time) (changed bool) {
	if !o.Valid() {
		return false
	}
	o.Count = min(o.Count, maxReportWeight*float64(max(1, min(maxReporters, o.Reporters))))
	o.Log2 = clampLogSpeed(o.Log2)
	s.residual += min(1, o.Count/residualSamples) * (o.Log2 - s.Log2 - s.residual)
	s.trackDeviation(o, common, at)
	if s.hasChanged(common, at) {
		s.change(common)
		return true
	}
	o.Log2 = s.Log2 + max(-speedClip, min(speedClip, o.Log2-s.Log2))
	s.recent = s.recent.Merge(o)
	s.applyRecent(at)
	return false
}

// change replaces the estimate by the deviating observations without the common deviation. If they are back at the estimate before the
// latest change, that one is more accurate. The number of samples stays: it is known that the server
// differs, and if the new speed does not last either, the observations will deviate again.
func (s *RelativeSpeed) change(common float64) {
	changed := clampLogSpeed(s.deviating.Log2 - common)
	if s.changes && math.Abs(changed-s.before) < deviationThreshold {
		changed = s.before
	}
	s.before, s.changes, s.Log2 = s.Log2, true, changed
	s.deviating, s.recent, s.residual = SpeedObservations{}, SpeedObservations{}, 0
}

// applyRecent updates the estimate with the recent observations, at most maxSampleRate times a second.
func (s *RelativeSpeed) applyRecent(at time.Time) {
	weight := 1.0
	if !s.appliedAt.IsZero() {
		weight = min(s.recent.Count, maxSampleRate*at.Sub(s.appliedAt).Seconds())
	}
	if weight < 1 {
		return
	}
	s.Samples = min(speedMemorySamples, s.Samples+weight)
	s.Log2 = clampLogSpeed(s.Log2 + min(1, weight/s.Samples)*(s.recent.Log2-s.Log2))
	s.recent, s.appliedAt = SpeedObservations{}, at
}

// Adopt replaces the estimate by one that is based on more daemons' observations.
func (s *RelativeSpeed) Adopt(estimate SpeedObservations) {
	if estimate.Valid() {
		s.Log2, s.Samples = clampLogSpeed(estimate.Log2), min(speedMemorySamples, estimate.Count)
	}
}

// trackDeviation gathers successive observations that deviate to the same side. An observation that does
// not takes off several times its number, so that successive slow phases do not count as one.
func (s *RelativeSpeed) trackDeviation(o SpeedObservations, common float64, at time.Time) {
	expected := s.Log2 + common
	deviation := o.Log2 - expected
	if math.Abs(deviation) < deviationThreshold {
		if at.Before(s.deviatingSince) {
			// The report was late. The server may have changed since.
			return
		}
		s.deviating.Count = max(0, s.deviating.Count-4*o.Count)
		return
	}
	if s.deviating.Count == 0 || deviation*(s.deviating.Log2-expected) < 0 {
		s.deviating, s.deviatingSince = SpeedObservations{}, at
	}
	s.deviating = s.deviating.Merge(o)
}

// hasChanged reports whether the observations have deviated for so long that the speed counts as
// changed. Its average deviation is compared with that of all servers too, which lags by as much.
func (s *RelativeSpeed) hasChanged(common float64, at time.Time) bool {
	return s.Learned() && math.Abs(s.residual-common) >= changeThreshold && s.deviating.Count >= minChangeSamples && at.Sub(s.deviatingSince) >= changeDuration
}

// confidentSamples is the number of observations at which an estimate counts half, so that a speed is
// assumed gradually as it is learned. With fewer, a single slow phase would count as a lasting speed.
const confidentSamples = 30.0

// Assumed returns the binary logarithm of the speed relative to the given mean of the service,
// reduced while there are few observations.
func (s *RelativeSpeed) Assumed(center float64) float64 {
	confidence := s.Samples * s.Samples / (s.Samples*s.Samples + confidentSamples*confidentSamples)
	return clampLogSpeed(confidence * (s.Log2 - center))
}

// Residual returns the recent deviation of observations from the estimate.
func (s *RelativeSpeed) Residual() float64 { return s.residual }

// Learned reports whether there are enough observations to count the estimate in the mean.
func (s *RelativeSpeed) Learned() bool { return s.Samples >= confidentSamples }

func clampLogSpeed(log2 float64) float64 { return max(-MaxLogSpeed, min(MaxLogSpeed, log2)) }
