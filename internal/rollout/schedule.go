package rollout

import "time"

// The schedule of a roll-out, in parts of its duration. Old servers stop when it is
// completed, without draining, and a version may turn bad at any time: so the candidate is
// watched on a small share for most of the time, all requests go to it late and for a short
// while, in which the old servers finish what they have.
const (
	// shiftFraction is when the candidate gets more than its small share.
	shiftFraction = 0.7
	// stepFraction is how long each step of shiftSteps lasts at the most, and maxStep and
	// minStep bound it: a step has to reach all daemons, and the evidence of it to come
	// back, through two rounds of reports of 0.4 s.
	stepFraction = 0.06
	minStep      = 600 * time.Millisecond
	maxStep      = 10 * time.Second
	// finishFraction of the duration is left for the outcome to be written, minFinish at
	// least: a store that is slow answers within half a second.
	finishFraction = 0.08
	minFinish      = time.Second
	// maxFinish bounds it for roll-outs of minutes.
	maxFinish = 5 * time.Second
	// minCandidateAnswers is the number of answers of the candidate without which nothing is known
	// of it.
	minCandidateAnswers = 20
	// minCandidateAnswersLowTraffic is the same where a bad version may get all requests that are left.
	minCandidateAnswersLowTraffic = 5
)

// shiftSteps are the shares of all requests on the way to all.
var shiftSteps = []float64{0.25, 0.5, 1}

// schedule is when what is due in a roll-out of some duration.
type schedule struct {
	shiftAt, stepDuration, finishAt time.Duration
}

func newSchedule(duration time.Duration) schedule {
	part := func(share float64) time.Duration { return time.Duration(share * float64(duration)) }
	return schedule{
		shiftAt:      part(shiftFraction),
		stepDuration: min(maxStep, max(minStep, part(stepFraction))),
		finishAt:     duration - min(maxFinish, max(min(minFinish, part(shiftFraction/2)), part(finishFraction))),
	}
}

// nextShare returns the step after a share of all requests.
func nextShare(share float64) float64 {
	for _, next := range shiftSteps {
		if next > share {
			return next
		}
	}
	return 1
}
