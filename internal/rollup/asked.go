package rollup

import "slices"

// addAsked adds tokens by class, multiplied by a sign. It changes sum and returns it, extended where necessary.
func addAsked(sum, tokens []float64, sign float64) []float64 {
	for len(sum) < len(tokens) {
		sum = append(sum, 0)
	}
	for class, value := range tokens {
		sum[class] += sign * value
	}
	return sum
}

func cloneAsked(asked map[string][]float64) map[string][]float64 {
	clone := make(map[string][]float64, len(asked))
	for workspace, tokens := range asked {
		clone[workspace] = slices.Clone(tokens)
	}
	return clone
}

// SubtractAsked returns tokens by workspace and class without those of part.
func SubtractAsked(all, part map[string][]float64) map[string][]float64 {
	rest := cloneAsked(all)
	for workspace, tokens := range part {
		if len(rest[workspace]) > 0 {
			rest[workspace] = addAsked(rest[workspace], tokens, -1)
		}
	}
	return rest
}

// AskedByOthers returns the tokens that all daemons but this one were asked for, over all zones, since this process
// started, by workspace and class.
func (a *Aggregator) AskedByOthers() map[string][]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return SubtractAsked(a.allTotal.asked, a.own.Asked)
}
