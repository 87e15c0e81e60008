package pace

// Figures are what a fit has learned, as daemons tell it to each other.
type Figures struct {
	Coefficients []float64 `json:"coefficients"`
	// Seen is the number of observations, at most as many as a fit remembers.
	Seen float64 `json:"seen"`
}

// Figures returns what the fit has learned.
func (f *Fit) Figures() Figures {
	figures := Figures{Seen: min(memory, f.Seen)}
	for i, start := range f.start {
		if start > 0 {
			figures.Coefficients = append(figures.Coefficients, f.Coefficients[i])
		}
	}
	return figures
}

// Merge adds what another daemon has learned, weighed by what each has seen.
func (f *Figures) Merge(other Figures) {
	if !usable(other.Seen) {
		return
	}
	if f.Seen <= 0 {
		f.Coefficients, f.Seen = append([]float64(nil), other.Coefficients...), other.Seen
		return
	}
	weight := other.Seen / (f.Seen + other.Seen)
	for i := range min(len(f.Coefficients), len(other.Coefficients)) {
		f.Coefficients[i] += weight * (other.Coefficients[i] - f.Coefficients[i])
	}
	f.Seen += other.Seen
}

// EngineFigures are what was learned of the engines of a service.
type EngineFigures struct {
	First Figures `json:"first"`
	Step  Figures `json:"step"`
	Made  Figures `json:"made"`
	// Hinted is like Made, for callers that say what they expect.
	Hinted Figures `json:"hinted"`
}

// Figures returns what was learned.
func (e *Engine) Figures() EngineFigures {
	return EngineFigures{First: e.First.Figures(), Step: e.Step.Figures(), Made: e.Made.Figures(), Hinted: e.Hinted.Figures()}
}

// Merge adds what another daemon has learned.
func (f *EngineFigures) Merge(other EngineFigures) {
	f.First.Merge(other.First)
	f.Step.Merge(other.Step)
	f.Made.Merge(other.Made)
	f.Hinted.Merge(other.Hinted)
}
