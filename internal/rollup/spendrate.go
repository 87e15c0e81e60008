package rollup

import "time"

const (
	// rateWeight is the weight of a new observation in a rate: some seconds of
	// reports, so that a burst counts soon.
	rateWeight = 0.3
	// maxGap bounds the time that is filled in: by then silence means that
	// nothing is spent.
	maxGap = 2 * time.Second
)

// SpendRate is how fast something is spent, by workspace. It fills in what was spent
// while nobody told of it: between the last report of one relay and the first of
// the next.
type SpendRate struct {
	tokensPerSecond map[string]float64
	lastReport      time.Time
}

// Observe takes over what two reports in a row of the same process told.
func (f *SpendRate) Observe(before, after map[string]float64, now time.Time) {
	elapsed := now.Sub(f.lastReport).Seconds()
	known := !f.lastReport.IsZero()
	f.lastReport = now
	if !known || elapsed <= 0 {
		return
	}
	if f.tokensPerSecond == nil {
		f.tokensPerSecond = map[string]float64{}
	}
	for workspace, tokens := range after {
		seen := max(0, tokens-before[workspace]) / elapsed
		f.tokensPerSecond[workspace] += rateWeight * (seen - f.tokensPerSecond[workspace])
	}
}

// FillGap returns what is taken to have been spent since the last report, and
// counts from now on.
func (f *SpendRate) FillGap(now time.Time) map[string]float64 {
	missed := map[string]float64{}
	if f.lastReport.IsZero() {
		f.lastReport = now
		return missed
	}
	gap := min(maxGap, now.Sub(f.lastReport)).Seconds()
	for workspace, rate := range f.tokensPerSecond {
		missed[workspace] = rate * gap
	}
	f.lastReport = now
	return missed
}
