package pace

// Ratio is the learned mean of one quantity by another one, taken over their sums: what
// is planned with it adds up to the right total, however uneven single ones are.
type Ratio struct {
	// Seen is the number of observations.
	Seen    float64
	sum, of float64
	start   float64
}

// NewRatio returns a ratio with a value to begin with.
func NewRatio(start float64) Ratio { return Ratio{start: start} }

// Value returns the ratio as far as it is known.
func (r *Ratio) Value() float64 {
	if r.of <= 0 {
		return r.start
	}
	return r.sum / r.of
}

// Observe takes over a value and what it is measured by. Values beyond it count as much
// as it, so that one odd value moves the mean by a bound.
func (r *Ratio) Observe(value, of float64) {
	if value <= 0 || of <= 0 {
		return
	}
	keep := 1 - 1/memory
	r.sum = keep*r.sum + min(value, mostOver*of)
	r.of = keep*r.of + of
	r.Seen = min(memory, r.Seen+1)
}

// mostOver bounds a value by what it is measured by: callers' estimates are right in the
// middle and off by some times.
const mostOver = 10

// Figures returns what was learned.
func (r *Ratio) Figures() Figures {
	return Figures{Coefficients: []float64{r.Value()}, Seen: r.Seen}
}

// Learn takes over what others have learned.
func (r *Ratio) Learn(others Figures) {
	if !usable(others.Seen) || len(others.Coefficients) == 0 || !usable(others.Coefficients[0]) {
		return
	}
	weight := others.Seen / (others.Seen + r.Seen)
	value := r.Value() + weight*(min(mostOver, others.Coefficients[0])-r.Value())
	r.Seen = min(memory, r.Seen+others.Seen)
	if r.of <= 0 {
		r.of = r.Seen
	}
	r.sum = value * r.of
}
