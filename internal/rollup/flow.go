package rollup

import "time"

const (
	// flowWeight is the weight of a new observation in a rate: some seconds of
	// reports, so that a burst counts soon.
	flowWeight = 0.3
	// longestGap bounds the time that is filled in: by then silence means that
	// nothing is spent.
	longestGap = 2 * time.Second
)

// Flow is how fast something is spent, by workspace. It fills in what was spent
// while nobody told of it: between the last report of one relay and the first of
// the next.
type Flow struct {
	rate map[string]float64
	at   time.Time
}

// Saw takes over what two reports in a row of the same process told.
func (f *Flow) Saw(before, after map[string]float64, now time.Time) {
	elapsed := now.Sub(f.at).Seconds()
	known := !f.at.IsZero()
	f.at = now
	if !known || elapsed <= 0 {
		return
	}
	if f.rate == nil {
		f.rate = map[string]float64{}
	}
	for workspace, tokens := range after {
		seen := max(0, tokens-before[workspace]) / elapsed
		f.rate[workspace] += flowWeight * (seen - f.rate[workspace])
	}
}

// Missed returns what is taken to have been spent since the last report, and
// counts from now on.
func (f *Flow) Missed(now time.Time) map[string]float64 {
	missed := map[string]float64{}
	if f.at.IsZero() {
		f.at = now
		return missed
	}
	gap := min(longestGap, now.Sub(f.at)).Seconds()
	for workspace, rate := range f.rate {
		missed[workspace] = rate * gap
	}
	f.at = now
	return missed
}
