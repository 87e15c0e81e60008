package pace

// Ratio is the learned mean of one quantity by another one, taken over their sums: what
// is planned with it adds up to the right total, however uneven single ones are.
type Ratio struct {
	// Samples is the number of observations.
	Samples           float64
	valueSum, baseSum float64
	initial           float64
}

// NewRatio returns a ratio with a value to begin with.
func NewRatio(start float64) Ratio { return Ratio{initial: start} }

// Value returns the ratio as far as it is known.
func (r *Ratio) Value() float64 {
	if r.baseSum <= 0 {
		return r.initial
	}
	return r.valueSum / r.baseSum
}

// Observe takes over a value and what it is measured by. Values beyond it count as much
// as it, so that one odd value moves the mean by a bound.
func (r *Ratio) Observe(value, of float64) {
	if value <= 0 || of <= 0 {
		return
	}
	keep := 1 - 1/memorySamples
	r.valueSum = keep*r.valueSum + min(value, maxRatio*of)
	r.baseSum = keep*r.baseSum + of
	r.Samples = min(memorySamples, r.Samples+1)
}

// maxRatio bounds a value by what it is measured by: callers' estimates are right in the
// middle and off by some times.
const maxRatio = 10

// Estimate returns what was learned.
func (r *Ratio) Estimate() Estimate {
	return Estimate{Coefficients: []float64{r.Value()}, Samples: r.Samples}
}

// MergeEstimate takes over what others have learned.
func (r *Ratio) MergeEstimate(others Estimate) {
	if !usable(others.Samples) || len(others.Coefficients) == 0 || !usable(others.Coefficients[0]) {
		return
	}
	weight := others.Samples / (others.Samples + r.Samples)
	value := r.Value() + weight*(min(maxRatio, others.Coefficients[0])-r.Value())
	r.Samples = min(memorySamples, r.Samples+others.Samples)
	if r.baseSum <= 0 {
		r.baseSum = r.Samples
	}
	r.valueSum = value * r.baseSum
}
