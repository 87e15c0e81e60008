package pace

// Estimate is the learned state of a Fit or Ratio, as exchanged between daemons.
type Estimate struct {
	Coefficients []float64 `json:"coefficients"`
	// Samples is the number of observations, at most memorySamples for one daemon.
	Samples float64 `json:"seen"`
}

// Estimate returns the learned state of the fit. It has coefficients for the used terms only.
func (f *Fit) Estimate() Estimate {
	estimate := Estimate{Samples: min(memorySamples, f.Samples)}
	for i, start := range f.initial {
		if start > 0 {
			estimate.Coefficients = append(estimate.Coefficients, f.Coefficients[i])
		}
	}
	return estimate
}

// Merge merges another daemon's estimate, weighted by the numbers of samples.
func (e *Estimate) Merge(other Estimate) {
	if !usable(other.Samples) {
		return
	}
	if e.Samples <= 0 {
		e.Coefficients, e.Samples = append([]float64(nil), other.Coefficients...), other.Samples
		return
	}
	weight := other.Samples / (e.Samples + other.Samples)
	for i := range min(len(e.Coefficients), len(other.Coefficients)) {
		e.Coefficients[i] += weight * (other.Coefficients[i] - e.Coefficients[i])
	}
	e.Samples += other.Samples
}

// EngineEstimates holds what was learned about the engines of a service.
type EngineEstimates struct {
	First       Estimate `json:"first"`
	Step        Estimate `json:"step"`
	OutputRatio Estimate `json:"made"`
	// HintRatio is like OutputRatio, for requests with the caller's own estimate.
	HintRatio Estimate `json:"hinted"`
}

// Estimates returns what was learned about the engines.
func (e *Engine) Estimates() EngineEstimates {
	return EngineEstimates{First: e.First.Estimate(), Step: e.Step.Estimate(), OutputRatio: e.OutputRatio.Estimate(), HintRatio: e.HintRatio.Estimate()}
}

// Merge merges another daemon's estimates.
func (e *EngineEstimates) Merge(other EngineEstimates) {
	e.First.Merge(other.First)
	e.Step.Merge(other.Step)
	e.OutputRatio.Merge(other.OutputRatio)
	e.HintRatio.Merge(other.HintRatio)
}
