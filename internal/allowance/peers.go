package allowance

import "time"

const (
	// maxExtrapolation is how long peers are assumed to go on at their last rate after a report. A
	// daemon that is silent for longer counts as unreachable.
	maxExtrapolation = 1500 * time.Millisecond
	// riseTime and fallTime are the time constants for averaging the spending and demand of peers.
	// The average rises fast, because a workspace whose demand jumps to five times its allowance
	// uses half of a window's tolerance in each report interval by which the rise is delayed. It
	// must not rise on one large request in a small deployment, whose daemons report seven times a
	// second. It falls slowly because requests come in clusters.
	riseTime = 500 * time.Millisecond
	fallTime = 4 * time.Second
)

// reportOverdueAfter is how long after the last report the next one is overdue: two report
// intervals of a large deployment, so that one report may be lost. With two intervals of a small
// deployment, 0.3 s, daemons that got no CPU time for that long refused requests within the
// allowance.
const reportOverdueAfter = 800 * time.Millisecond

// demandSlice is the length of each of the two slices over which a daemon's own demand is measured.
// A workspace with a very high demand sends each of 300 daemons two requests per second.
const demandSlice = 500 * time.Millisecond

// minDemandSpan is the shortest time over which a rate is computed, because two simultaneous
// requests do not make a rate.
const minDemandSpan = 200 * time.Millisecond

// demandMeter measures the demand at this daemon over the current slice and the previous one.
type demandMeter struct {
	sliceStart        time.Time
	previous, current float64
	// firstAt is the time of the first request, and firstTokens its tokens.
	firstAt     time.Time
	firstTokens float64
}

// add counts the tokens of a request.
func (m *demandMeter) add(tokens float64, now time.Time) {
	if m.firstAt.IsZero() {
		m.firstAt, m.firstTokens = now, tokens
	}
	m.advance(now)
	m.current += tokens
}

func (m *demandMeter) advance(now time.Time) {
	switch elapsed := now.Sub(m.sliceStart); {
	case elapsed >= 2*demandSlice:
		m.sliceStart, m.previous, m.current = now, 0, 0
	case elapsed >= demandSlice:
		m.sliceStart, m.previous, m.current = m.sliceStart.Add(demandSlice), m.current, 0
	}
}

// rate returns the demand in tokens per second.
func (m *demandMeter) rate(now time.Time) float64 { return m.rateWithout(0, now) }

// rateAfterFirst returns the rate without the first request, which starts the measured time.
func (m *demandMeter) rateAfterFirst(now time.Time) float64 { return m.rateWithout(m.firstTokens, now) }

func (m *demandMeter) rateWithout(excluded float64, now time.Time) float64 {
	if m.firstAt.IsZero() {
		return 0
	}
	m.advance(now)
	known := now.Sub(m.firstAt)
	if known >= 2*demandSlice {
		excluded = 0
	}
	span := min(demandSlice+now.Sub(m.sliceStart), max(minDemandSpan, known))
	return max(0, m.previous+m.current-excluded) / span.Seconds()
}

// smoothedRate is a moving average of a rate.
type smoothedRate struct{ perSecond float64 }

// observe adds a sample: tokens over the elapsed time.
func (r *smoothedRate) observe(tokens float64, elapsed time.Duration) {
	sample := max(0, tokens) / elapsed.Seconds()
	timeConstant := riseTime
	if sample < r.perSecond {
		timeConstant = fallTime
	}
	r.perSecond += min(1, elapsed.Seconds()/timeConstant.Seconds()) * (sample - r.perSecond)
}

// peerActivity is the reported activity of all other daemons for one workspace.
type peerActivity struct {
	// spending and demand cover all other daemons. If only some are reachable, the rest are assumed
	// to have the same rates.
	spending, demand smoothedRate
	// reportedAt is the time of the last report. measured is set once two reports have been
	// received, so that rates are known.
	reportedAt time.Time
	measured   bool
	// demandRestored is set once the earlier demand has been received from a snapshot or a peer.
	demandRestored bool
	// backlog is set when some peers become reachable again: their next report includes tokens
	// spent long before.
	backlog bool
	// changedAt is when the set of reporting daemons, or the source of the sums, last changed.
	changedAt time.Time
}

// remeasureTime is how long it takes to measure the peers' demand again after such a change: three
// report intervals of a large deployment, and one lost report.
const remeasureTime = 1600 * time.Millisecond

// remeasuring reports whether the peers' demand has yet to be measured again.
func (p *peerActivity) remeasuring(now time.Time) bool { return now.Sub(p.changedAt) < remeasureTime }

// observe adds what a share of the peers has spent and refused since their last report.
func (p *peerActivity) observe(spent, refused, share float64, now time.Time) {
	elapsed := now.Sub(p.reportedAt)
	unknown := p.reportedAt.IsZero() || p.backlog
	p.reportedAt, p.backlog = now, false
	if unknown || elapsed <= 0 || share <= 0 {
		return
	}
	p.measured = true
	p.spending.observe(spent/share, elapsed)
	p.demand.observe((spent+refused)/share, elapsed)
}

// restoreDemand sets the demand that was measured earlier, unless a new measurement exists.
func (p *peerActivity) restoreDemand(demand float64) {
	if !p.measured {
		p.demandRestored, p.demand.perSecond = true, demand
	}
}

// reportAge returns the time since the last report, or zero if there is none.
func (p *peerActivity) reportAge(now time.Time) time.Duration {
	if p.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(p.reportedAt)
}

// unreportedSpend returns what peers are assumed to have spent since their last report.
func (p *peerActivity) unreportedSpend(now time.Time) float64 {
	if p.reportedAt.IsZero() {
		return 0
	}
	return p.spending.perSecond * min(maxExtrapolation, now.Sub(p.reportedAt)).Seconds()
}
