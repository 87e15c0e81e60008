package pace

// Estimate are what a fit has learned, as daemons tell it to each other.
type Estimate struct {
	Coefficients []float64 `json:"coefficients"`
	// Samples is the number of observations, at most as many as a fit remembers.
	Samples float64 `json:"seen"`
}

// Estimate returns what the fit has learned.
func (f *Fit) Estimate() Estimate {
	figures := Estimate{Samples: min(memorySamples, f.Samples)}
	for i, start := range f.initial {
		if start > 0 {
			figures.Coefficients = append(figures.Coefficients, f.Coefficients[i])
		}
	}
	return figures
}

// Merge adds what another daemon has learned, weighed by what each has seen.
func (f *Estimate) Merge(other Estimate) {
	if !usable(other.Samples) {
		return
	}
	if f.Samples <= 0 {
		f.Coefficients, f.Samples = append([]float64(nil), other.Coefficients...), other.Samples
		return
	}
	weight := other.Samples / (f.Samples + other.Samples)
	for i := range min(len(f.Coefficients), len(other.Coefficients)) {
		f.Coefficients[i] += weight * (other.Coefficients[i] - f.Coefficients[i])
	}
	f.Samples += other.Samples
}

// EngineEstimates are what was learned of the engines of a service.
type EngineEstimates struct {
	First       Estimate `json:"first"`
	Step        Estimate `json:"step"`
	OutputRatio Estimate `json:"made"`
	// HintRatio is like Made, for callers that say what they expect.
	HintRatio Estimate `json:"hinted"`
}

// Estimates returns what was learned.
func (e *Engine) Estimates() EngineEstimates {
	return EngineEstimates{First: e.First.Estimate(), Step: e.Step.Estimate(), OutputRatio: e.OutputRatio.Estimate(), HintRatio: e.HintRatio.Estimate()}
}

// Merge adds what another daemon has learned.
func (f *EngineEstimates) Merge(other EngineEstimates) {
	f.First.Merge(other.First)
	f.Step.Merge(other.Step)
	f.OutputRatio.Merge(other.OutputRatio)
	f.HintRatio.Merge(other.HintRatio)
}
