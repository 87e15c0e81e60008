package rollup

import "time"

const (
	// rateWeight is the weight of a new sample in the moving average. The average covers a few
	// seconds of reports, so that a burst shows up soon.
	rateWeight = 0.3
	// maxGap bounds the time that is filled in. A zone that is silent for longer is assumed to
	// spend nothing.
	maxGap = 2 * time.Second
)

// SpendRate estimates how many tokens per second each workspace spends. It fills in the spending
// that no report covers: that between the last report of one relay and the first of the next.
type SpendRate struct {
	tokensPerSecond map[string]float64
	lastReport      time.Time
}

// Observe updates the rates from two consecutive reports of the same process.
func (r *SpendRate) Observe(before, after map[string]float64, now time.Time) {
	elapsed := now.Sub(r.lastReport).Seconds()
	known := !r.lastReport.IsZero()
	r.lastReport = now
	if !known || elapsed <= 0 {
		return
	}
	if r.tokensPerSecond == nil {
		r.tokensPerSecond = map[string]float64{}
	}
	for workspace, tokens := range after {
		observed := max(0, tokens-before[workspace]) / elapsed
		r.tokensPerSecond[workspace] += rateWeight * (observed - r.tokensPerSecond[workspace])
	}
}

// FillGap returns the estimated spending since the last report and starts the next gap at now.
func (r *SpendRate) FillGap(now time.Time) map[string]float64 {
	missed := map[string]float64{}
	if r.lastReport.IsZero() {
		r.lastReport = now
		return missed
	}
	gap := min(maxGap, now.Sub(r.lastReport)).Seconds()
	for workspace, rate := range r.tokensPerSecond {
		missed[workspace] = rate * gap
	}
	r.lastReport = now
	return missed
}
