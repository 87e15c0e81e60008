package allowance

const (
	// classFloor is the least frequency with which a class is served, relative to all requests of the workspace.
	// Callers need a quarter. The margin covers the number of requests, which is estimated from the tokens of a class.
	classFloor = 0.3
	// sizeFloor is the same relative to the requests of the same rank and of similar sizes, which may be those of one
	// route. Callers need half.
	sizeFloor = 0.55
	// minorShare is the share of a class's tokens for which less urgent classes are served as often as it. Plain calls
	// that ask for 0.02 of the tokens would otherwise be refused for the sake of streams that gain nothing.
	minorShare = 0.125
)

// division is the rule by which classes get their probabilities, for what was requested in each class.
//
// The probabilities are interpolated between steps. In each step, one more class is served whole, in the order of
// priority, and the others get their floors. All floors are linear in the probabilities, so they hold in between. In
// the alternative, probabilities in proportion to a weight by rank and size, the floors hold as well, but plain calls
// were served 0.38 as often as with this rule, and short streams 0.94 as often.
type division struct{ steps []divisionStep }

// divisionStep holds the probabilities of a step and the share of the requested tokens that is admitted with them.
type divisionStep struct {
	probabilities byClass
	share         float64
}

func newDivision(asked byClass) *division {
	d, total := &division{}, asked.sum()
	for last := range Class(ClassCount) {
		if asked[last] <= 0 {
			continue
		}
		step := divisionStep{probabilities: stepOf(last, &asked)}
		for c, tokens := range asked {
			step.share += tokens * step.probabilities[c] / total
		}
		// A step can admit less than the one before, if a class that was cheap beside the others no longer is.
		if n := len(d.steps); n == 0 || step.share > d.steps[n-1].share {
			d.steps = append(d.steps, step)
		}
	}
	return d
}

// probability returns the probability with which a request of a class is admitted if all classes together get the
// given share of the requested tokens. The mean of all classes, weighted by their tokens, is that share.
func (d *division) probability(class Class, share float64) float64 {
	before, shareBefore := 0.0, 0.0
	for i := range d.steps {
		step := &d.steps[i]
		if step.share >= share && step.share > shareBefore {
			return between(before, step.probabilities[class], (share-shareBefore)/(step.share-shareBefore))
		}
		before, shareBefore = step.probabilities[class], step.share
	}
	return share
}

// shareFor returns the share of the requested tokens that all classes together must get for a class to be admitted
// with the given probability.
func (d *division) shareFor(class Class, probability float64) float64 {
	before, shareBefore := 0.0, 0.0
	for i := range d.steps {
		step := &d.steps[i]
		if next := step.probabilities[class]; next >= probability && next > before {
			return between(shareBefore, step.share, (probability-before)/(next-before))
		}
		before, shareBefore = step.probabilities[class], step.share
	}
	return 1
}

func between(from, to, part float64) float64 { return from + part*(to-from) }

// stepOf returns the probabilities if all classes up to the last one are served whole.
func stepOf(last Class, asked *byClass) byClass {
	var step byClass
	served := wholeClasses(last, asked)
	requests := requestsOf(asked)
	for begin := 0; begin < ClassCount; {
		end := endOfRun(begin, asked)
		runFloor := floorBeside(served, requests, begin, end)
		for c := begin; c < end; c++ {
			step[c] = runFloor
			if served[c] {
				step[c] = 1
			}
		}
		begin = end
	}
	raiseToFloor(&step, &requests)
	return step
}

// floorRounds is the number of times that the floor of all classes is computed. Raising classes to the floor raises it
// by up to classFloor of that, so the last round changes it by less than 1%.
const floorRounds = 4

// raiseToFloor raises the probabilities to the part classFloor of the frequency with which all requests are served.
func raiseToFloor(step, requests *byClass) {
	total := requests.sum()
	for range floorRounds {
		served := 0.0
		for c, probability := range step {
			served += requests[c] * probability
		}
		for c := range step {
			step[c] = max(step[c], classFloor*served/total)
		}
	}
}

// wholeClasses returns the classes that are served whole in a step: those up to the last one, and less urgent ones
// that ask for little beside them.
func wholeClasses(last Class, asked *byClass) (served [ClassCount]bool) {
	spare := 0.0
	for c := range last + 1 {
		served[c] = true
		spare += minorShare * asked[c]
	}
	skipped := -1
	for c := last + 1; c < ClassCount; c++ {
		switch {
		case c.rank() == skipped:
		case asked[c] > spare || c.rank() == last.rank():
			// Larger requests of the same rank do not come before these.
			skipped = c.rank()
		default:
			served[c] = true
			spare -= asked[c]
		}
	}
	return served
}

// requestsOf estimates the number of requests by class.
func requestsOf(asked *byClass) (requests byClass) {
	for c, tokens := range asked {
		requests[c] = tokens / classRequestTokens(Class(c))
	}
	return requests
}

// endOfRun returns the end of a run of classes that begins at a class: those of the same rank up to a size of which
// there are no requests.
func endOfRun(begin int, asked *byClass) int {
	end := begin + 1
	for end < ClassCount && end%sizeClasses != 0 && asked[end] > 0 && asked[end-1] > 0 {
		end++
	}
	return end
}

// floorBeside returns the probability of the classes of a run that are not served whole, such that it is the part
// sizeFloor of the frequency with which the requests of the run are served.
func floorBeside(served [ClassCount]bool, requests byClass, begin, end int) float64 {
	whole, rest := 0.0, 0.0
	for c := begin; c < end; c++ {
		if served[c] {
			whole += requests[c]
		} else {
			rest += requests[c]
		}
	}
	if whole == 0 {
		return 0
	}
	return sizeFloor * whole / (whole + (1-sizeFloor)*rest)
}
