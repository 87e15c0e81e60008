package rollout

import "time"

const (
	// slowFactor times what is usual on a route makes an answer slow. Answers of one version
	// spread: some in a hundred of a sound one are slow too, which the comparison of both
	// versions takes off.
	slowFactor = 2.0
	// minBaselineAnswers is the number of answers from which on it is known what is usual.
	minBaselineAnswers = 5
)

// Answer is how a server answered one request.
type Answer struct {
	Service string
	Route   string
	// Server is the key of the candidate's server, zero for one of the stable version.
	Server uint32
	// Failed is set for a failure of the server's own.
	Failed bool
	// Latency is the time to the first event, or to the whole answer, and Expected what was
	// predicted, zero where nothing is.
	Latency, ExpectedLatency time.Duration
	// EventInterval is the mean time between the events of a stream, zero without any.
	EventInterval time.Duration
}

// latencyBaseline is how long the stable version takes on a route, over all daemons: against what was
// predicted where something is, so that the size of a prompt and a queue do not count. One
// daemon of many hears too few answers to know it by itself.
type latencyBaseline struct {
	latency, eventInterval float64
	answers                int64
}

// baselineOf returns what is usual from the sums of a route.
func baselineOf(stable Tally) latencyBaseline {
	well := max(1, stable.Answers)
	return latencyBaseline{latency: stable.LatencySum / float64(well), eventInterval: stable.EventIntervalSum / float64(well), answers: stable.Answers}
}

// slow reports whether an answer took several times as long as is usual.
func (u latencyBaseline) slow(a Answer) bool {
	if u.answers < minBaselineAnswers {
		return false
	}
	return relativeLatency(a) > slowFactor*u.latency || (u.eventInterval > 0 && a.EventInterval.Seconds() > slowFactor*u.eventInterval)
}

func relativeLatency(a Answer) float64 {
	if a.ExpectedLatency > 0 {
		return a.Latency.Seconds() / a.ExpectedLatency.Seconds()
	}
	return a.Latency.Seconds()
}
