package rollout

import "time"

const (
	// slowFactor is the multiple of the baseline latency above which an answer counts as slow.
	// Some in a hundred answers of a sound version are slow too; the comparison of both
	// versions cancels them out.
	slowFactor = 2.0
	// minBaselineAnswers is the number of answers from which a baseline is valid.
	minBaselineAnswers = 5
)

// Answer describes how a server answered one request.
type Answer struct {
	Service string
	Route   string
	// Server is the key of the candidate's server, or zero for any server of the stable
	// version.
	Server uint32
	// Failed is set for a failure caused by the server.
	Failed bool
	// Latency is the time to the first event, or to the whole answer of a request without
	// events. ExpectedLatency is the predicted time, or zero where there is no prediction.
	Latency, ExpectedLatency time.Duration
	// EventInterval is the mean time between the events of a stream, or zero where there are
	// none.
	EventInterval time.Duration
}

// latencyBaseline holds the mean latencies of the stable version on one route, over all
// daemons. A single daemon of many receives too few answers for it. latency is relative to the
// prediction where there is one, so that prompt size and queueing do not affect it, and
// otherwise in seconds. eventInterval is in seconds.
type latencyBaseline struct {
	latency, eventInterval float64
	answers                int64
}

// baselineOf returns the baseline from the sums of a route.
func baselineOf(stable Tally) latencyBaseline {
	answers := max(1, stable.Answers)
	return latencyBaseline{latency: stable.LatencySum / float64(answers), eventInterval: stable.EventIntervalSum / float64(answers), answers: stable.Answers}
}

// slow reports whether an answer took more than slowFactor times the baseline.
func (b latencyBaseline) slow(a Answer) bool {
	if b.answers < minBaselineAnswers {
		return false
	}
	return relativeLatency(a) > slowFactor*b.latency || (b.eventInterval > 0 && a.EventInterval.Seconds() > slowFactor*b.eventInterval)
}

// relativeLatency returns the latency as a multiple of the prediction, or in seconds where
// there is no prediction.
func relativeLatency(a Answer) float64 {
	if a.ExpectedLatency > 0 {
		return a.Latency.Seconds() / a.ExpectedLatency.Seconds()
	}
	return a.Latency.Seconds()
}
