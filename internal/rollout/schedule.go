package rollout

import "time"

// The schedule of a roll-out, as fractions of its duration. When a roll-out completes, the old
// servers stop without draining, and a version may turn bad at any time. The candidate
// therefore runs on a small share for most of the time. It gets all requests late and for a
// short while, in which the old servers finish their requests.
const (
	// shiftFraction is when the shift from the small share to all requests begins.
	shiftFraction = 0.7
	// stepFraction is the length of each step of shiftSteps, bounded by minStep and maxStep. A
	// step has to reach all daemons, and its evidence has to return, in two rounds of reports
	// of 0.4 s each.
	stepFraction = 0.06
	minStep      = 600 * time.Millisecond
	maxStep      = 10 * time.Second
	// finishFraction of the duration, and at least minFinish, is reserved for writing the
	// outcome: a slow store answers within half a second.
	finishFraction = 0.08
	minFinish      = time.Second
	// maxFinish bounds the reserve for roll-outs that take minutes.
	maxFinish = 5 * time.Second
	// minCandidateAnswers is the number of answers of the candidate that the shift requires.
	minCandidateAnswers = 20
	// minCandidateAnswersLowTraffic replaces minCandidateAnswers where the bounds would allow a
	// bad version to get all remaining requests.
	minCandidateAnswersLowTraffic = 5
)

// shiftSteps are the candidate's shares of all requests during the shift.
var shiftSteps = []float64{0.25, 0.5, 1}

// schedule holds the times of a roll-out, relative to its start.
type schedule struct {
	shiftAt, stepDuration, finishAt time.Duration
}

func newSchedule(duration time.Duration) schedule {
	fractionOf := func(share float64) time.Duration { return time.Duration(share * float64(duration)) }
	return schedule{
		shiftAt:      fractionOf(shiftFraction),
		stepDuration: min(maxStep, max(minStep, fractionOf(stepFraction))),
		finishAt:     duration - min(maxFinish, max(min(minFinish, fractionOf(shiftFraction/2)), fractionOf(finishFraction))),
	}
}

// nextShare returns the step that follows a share of all requests.
func nextShare(share float64) float64 {
	for _, next := range shiftSteps {
		if next > share {
			return next
		}
	}
	return 1
}
