package pace

// Ratio is the learned ratio of two quantities, computed from their sums. Predictions with it add
// up to the right total even if individual ratios differ widely.
type Ratio struct {
	// Samples is the number of observations.
	Samples           float64
	valueSum, baseSum float64
	initial           float64
}

// NewRatio returns a ratio with an initial value.
func NewRatio(initial float64) Ratio { return Ratio{initial: initial} }

// Value returns the current ratio, or the initial value without observations.
func (r *Ratio) Value() float64 {
	if r.baseSum <= 0 {
		return r.initial
	}
	return r.valueSum / r.baseSum
}

// Observe records a value and its base. A value above maxRatio times its base counts as that
// product, which limits the effect of an outlier. Values that are not positive are ignored.
func (r *Ratio) Observe(value, base float64) {
	if value <= 0 || base <= 0 {
		return
	}
	decay := 1 - 1/memorySamples
	r.valueSum = decay*r.valueSum + min(value, maxRatio*base)
	r.baseSum = decay*r.baseSum + base
	r.Samples = min(memorySamples, r.Samples+1)
}

// maxRatio limits the ratio of one observation. Callers' estimates are right on average but may be
// off by several times.
const maxRatio = 10

// Estimate returns the learned state of the ratio.
func (r *Ratio) Estimate() Estimate {
	return Estimate{Coefficients: []float64{r.Value()}, Samples: r.Samples}
}

// MergeEstimate merges a ratio learned by other daemons, weighted by the numbers of samples.
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
