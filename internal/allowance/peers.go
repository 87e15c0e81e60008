package allowance

import "time"

const (
	// maxExtrapolation is how long others are taken to go on after they were last heard: the
	// time after which a silent daemon counts as not reached.
	maxExtrapolation = 1500 * time.Millisecond
	// riseTime and fallTime are the times over which a change of how fast others spend and
	// are asked is taken over. It rises soon, since a workspace that suddenly asks for five
	// times its allowance uses half a window's tolerance in each report that it is
	// believed later, but not by one large request of a few daemons that tell each other
	// seven times a second, and falls slowly: callers come in clusters.
	riseTime = 500 * time.Millisecond
	fallTime = 4 * time.Second
)

// reportOverdueAfter is the time after which news of others are overdue: two rounds of reports of a
// large deployment, of which one may be lost. With two rounds of a small one, 0.3 s, daemons
// that had no processor time for as long refused what was within the allowance.
const reportOverdueAfter = 800 * time.Millisecond

// demandSlice is the time over which what this daemon is asked is counted, twice: a hot workspace
// asks each of 300 daemons for two requests a second.
const demandSlice = 500 * time.Millisecond

// minDemandSpan is the shortest time that a rate is taken over: two requests at once are no rate.
const minDemandSpan = 200 * time.Millisecond

// demandMeter is how fast this daemon itself is asked, over the present slice and the one before.
type demandMeter struct {
	sliceStart        time.Time
	previous, current float64
	// firstAt is when the first request came, and first its tokens.
	firstAt     time.Time
	firstTokens float64
}

// add counts tokens that were asked for.
func (o *demandMeter) add(tokens float64, now time.Time) {
	if o.firstAt.IsZero() {
		o.firstAt, o.firstTokens = now, tokens
	}
	o.advance(now)
	o.current += tokens
}

func (o *demandMeter) advance(now time.Time) {
	switch elapsed := now.Sub(o.sliceStart); {
	case elapsed >= 2*demandSlice:
		o.sliceStart, o.previous, o.current = now, 0, 0
	case elapsed >= demandSlice:
		o.sliceStart, o.previous, o.current = o.sliceStart.Add(demandSlice), o.current, 0
	}
}

// rate returns it in tokens a second.
func (o *demandMeter) rate(now time.Time) float64 { return o.rateWithout(0, now) }

// rateAfterFirst returns it without the first request, which begins the time that it is taken over.
func (o *demandMeter) rateAfterFirst(now time.Time) float64 { return o.rateWithout(o.firstTokens, now) }

func (o *demandMeter) rateWithout(without float64, now time.Time) float64 {
	if o.firstAt.IsZero() {
		return 0
	}
	o.advance(now)
	known := now.Sub(o.firstAt)
	if known >= 2*demandSlice {
		without = 0
	}
	span := min(demandSlice+now.Sub(o.sliceStart), max(minDemandSpan, known))
	return max(0, o.previous+o.current-without) / span.Seconds()
}

// smoothedRate is how fast something is asked for or spent, in tokens a second.
type smoothedRate struct{ perSecond float64 }

// observe takes over what was seen in some time.
func (p *smoothedRate) observe(tokens float64, elapsed time.Duration) {
	seen := max(0, tokens) / elapsed.Seconds()
	over := riseTime
	if seen < p.perSecond {
		over = fallTime
	}
	p.perSecond += min(1, elapsed.Seconds()/over.Seconds()) * (seen - p.perSecond)
}

// peerActivity is what the other daemons do for one workspace, as far as they have told.
type peerActivity struct {
	// spending and asked are those of all other daemons: where a part of them is heard, the rest is taken
	// to be asked like it.
	spending, demand smoothedRate
	// reportedAt is when they were last heard, and measured is set once they were heard twice,
	// so that it is known how fast they are.
	reportedAt time.Time
	measured   bool
	// demandRestored is set once it is known from others how fast all were asked before.
	demandRestored bool
	// backlog is set when some of them are heard again: what they tell next they have spent
	// since long.
	backlog bool
	// changedAt is when the set of daemons that report, or the source of the sums, last changed.
	changedAt time.Time
}

// remeasureTime is how long it takes to measure the others' demand again after that: three rounds of
// reports of a large deployment, and one that is lost.
const remeasureTime = 1600 * time.Millisecond

// remeasuring reports whether the others' demand has not been measured again yet.
func (o *peerActivity) remeasuring(now time.Time) bool { return now.Sub(o.changedAt) < remeasureTime }

// observe takes over what the part of them that is heard has spent and refused since it was last heard.
func (o *peerActivity) observe(spent, refused, part float64, now time.Time) {
	elapsed := now.Sub(o.reportedAt)
	unknown := o.reportedAt.IsZero() || o.backlog
	o.reportedAt, o.backlog = now, false
	if unknown || elapsed <= 0 || part <= 0 {
		return
	}
	o.measured = true
	o.spending.observe(spent/part, elapsed)
	o.demand.observe((spent+refused)/part, elapsed)
}

// restoreDemand takes over how fast all were asked, as others knew it.
func (o *peerActivity) restoreDemand(asked float64) {
	if !o.measured {
		o.demandRestored, o.demand.perSecond = true, asked
	}
}

// reportAge returns how long ago they were last heard, or zero if they never were.
func (o *peerActivity) reportAge(now time.Time) time.Duration {
	if o.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(o.reportedAt)
}

// unreportedSpend returns what they are taken to have spent since they were last heard.
func (o *peerActivity) unreportedSpend(now time.Time) float64 {
	if o.reportedAt.IsZero() {
		return 0
	}
	return o.spending.perSecond * min(maxExtrapolation, now.Sub(o.reportedAt)).Seconds()
}
