package backend

import (
	"math"
	"time"
)

const (
	// slowdownWeight is the weight of a new sample in logSlowdown. If one in three first events
	// takes eight times as long as predicted, the server is avoided; a single one has little
	// effect.
	slowdownWeight = 0.2
	// slowdownHalfLife is the half-life of logSlowdown, so that a server that was slow is tried
	// again.
	slowdownHalfLife = 5 * time.Second
	// maxLogSlowdown bounds a sample: a factor of seven.
	maxLogSlowdown = 2.0
)

// slowdownFactor returns by which factor this server is slower than predicted for its service, at
// least one.
func (s *server) slowdownFactor(now time.Time) float64 {
	return math.Exp(max(0, s.decayedLogSlowdown(now)))
}

// decayedLogSlowdown returns logSlowdown as decayed until now.
func (s *server) decayedLogSlowdown(now time.Time) float64 {
	if s.logSlowdown == 0 {
		return 0
	}
	return s.logSlowdown * math.Exp2(-now.Sub(s.logSlowdownAt).Seconds()/slowdownHalfLife.Seconds())
}

// recordFirstEvent updates the slowdown with the predicted and the actual time to a first event.
func (s *server) recordFirstEvent(predicted, took time.Duration, now time.Time) {
	if predicted <= 0 || took <= 0 {
		return
	}
	logRatio := max(-maxLogSlowdown, min(maxLogSlowdown, math.Log(took.Seconds()/predicted.Seconds())))
	mean := s.decayedLogSlowdown(now)
	s.logSlowdown, s.logSlowdownAt = mean+slowdownWeight*(logRatio-mean), now
}

// coverSlowdown removes from the slowdown what the assumed speed covers, after it has fallen by the given binary
// logarithm. Otherwise both would count until the slowdown has decayed.
func (s *server) coverSlowdown(fallen float64, now time.Time) {
	if fallen <= 0 || s.logSlowdown <= 0 {
		return
	}
	s.logSlowdown, s.logSlowdownAt = max(0, s.decayedLogSlowdown(now)-fallen*math.Ln2), now
}
