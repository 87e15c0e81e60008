// Package rollup adds up the reports of a zone's daemons and the summaries of other zones, for the
// daemon that relays between them. It does no I/O, and callers pass in the current time.
package rollup

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/rollout"
)

// FreshFor is how long a report of a daemon or a summary of a zone counts as current: three reports
// and the delay of a slow link.
const FreshFor = 1500 * time.Millisecond

// leaderTimeout is how long after its last summary a zone's leader is kept before another leader of that
// zone is accepted: two reports of a large deployment and a margin.
const leaderTimeout = time.Second

// Counts is the usage of a daemon, a zone or the whole deployment.
type Counts struct {
	// Spent and Refused are the admitted tokens and those refused for lack of allowance, by
	// workspace. They never decrease within a process.
	Spent   map[string]float64
	Refused map[string]float64
	// Asked are the tokens that callers have requested, by workspace and class. They never decrease within a process.
	Asked map[string][]float64
	// Loads holds the attempts in flight by server key.
	Loads map[uint32]backend.Load
	// Demand is the demand for each service's engines.
	Demand map[string]demand.Load
	// DemandParts holds the parts of Demand whose origin is known.
	DemandParts map[string]demand.Parts
	// EngineEstimates holds the measured estimates of each service's engines.
	EngineEstimates map[string]pace.EngineEstimates
	// Versions holds the results of service versions that are being rolled out.
	Versions rollout.Tallies
	// Warm is the number of daemons that have measured the demand for long enough.
	Warm int
}

// Reach describes which daemons can be reached.
type Reach struct {
	Reachable, Known int
	// Fence is the fencing number of a reachable lease holder, or zero.
	Fence int64
	// MaxAge is the age of the oldest summary among the zones that count as reachable.
	MaxAge time.Duration
	// StreamAssignment is one more than the lowest serial of the assignment of streams to versions that
	// the reachable daemons have adopted, or zero if one has adopted none.
	StreamAssignment int64
}

// Add adds the reachable daemons of another part of the deployment.
func (r *Reach) Add(more Reach) {
	r.Reachable += more.Reachable
	r.Known += more.Known
	r.Fence = max(r.Fence, more.Fence)
	r.MaxAge = max(r.MaxAge, more.MaxAge)
	r.StreamAssignment = min(r.StreamAssignment, more.StreamAssignment)
}

// process identifies one process of a daemon.
type process struct {
	vm          string
	incarnation uint64
}

// latestReport is the last report of a process.
type latestReport struct {
	process
	counts     Counts
	sequence   uint64
	receivedAt time.Time
}

// zoneState is the last summary of another zone's leader.
type zoneState struct {
	latestReport
	reach     Reach
	spendRate SpendRate
}

// Aggregator adds up reports and summaries. It is safe for concurrent use.
type Aggregator struct {
	mu      sync.Mutex
	own     Counts
	members map[string]*latestReport
	zones   map[string]*zoneState
	// zoneTotal and allTotal add up what was spent and refused since this process started. They
	// never decrease when a process or relay comes or goes.
	zoneTotal totals
	allTotal  totals
}

// totals holds running totals by workspace.
type totals struct {
	spent, refused map[string]float64
	asked          map[string][]float64
}

func newTotals() totals {
	return totals{spent: map[string]float64{}, refused: map[string]float64{}, asked: map[string][]float64{}}
}

// addIncrease adds the increase between two reports of a process.
func (t totals) addIncrease(before, after Counts) {
	addDifference(t.spent, before.Spent, after.Spent)
	addDifference(t.refused, before.Refused, after.Refused)
	for workspace, tokens := range after.Asked {
		t.asked[workspace] = addAsked(addAsked(t.asked[workspace], tokens, 1), before.Asked[workspace], -1)
	}
}

// New returns an empty Aggregator.
func New() *Aggregator {
	return &Aggregator{members: map[string]*latestReport{}, zones: map[string]*zoneState{}, zoneTotal: newTotals(), allTotal: newTotals()}
}

// SetOwn sets the counts of this daemon.
func (a *Aggregator) SetOwn(counts Counts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addIncrease(a.own, counts, true)
	a.own = counts
}

// Report is the report of a daemon of the same zone.
type Report struct {
	VM          string
	Incarnation uint64
	Sequence    uint64
	// JustStarted is set while the process has just started: everything it has spent is new.
	JustStarted bool
	Counts      Counts
}

// AddReport adds the report of a daemon of the same zone.
func (a *Aggregator) AddReport(r Report, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := process{r.VM, r.Incarnation}
	last := a.members[r.VM]
	switch {
	case last != nil && last.process == key:
		a.addIncrease(last.counts, r.Counts, true)
	case r.JustStarted:
		a.addIncrease(Counts{}, r.Counts, true)
	}
	a.members[r.VM] = &latestReport{process: key, counts: r.Counts, sequence: r.Sequence, receivedAt: now}
}

// Summary is the summary of another zone, sent by the zone's leader (its first relay).
type Summary struct {
	Zone        string
	VM          string
	Incarnation uint64
	// JustStarted is set while the process has just started.
	JustStarted bool
	Counts      Counts
	Reach       Reach
}

// AddSummary adds the summary of another zone. It accepts one leader per zone until that leader is
// silent for leaderTimeout or its daemon restarts. How much of a new leader's total was already counted
// is unknown, so the spending between the two leaders is estimated from the rate.
func (a *Aggregator) AddSummary(summary Summary, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := process{summary.VM, summary.Incarnation}
	last := a.zones[summary.Zone]
	if last != nil && last.vm != key.vm && now.Sub(last.receivedAt) < leaderTimeout {
		return
	}
	next := &zoneState{latestReport: latestReport{process: key, counts: summary.Counts, receivedAt: now}, reach: summary.Reach}
	switch {
	case last == nil:
		next.spendRate.FillGap(now)
	case last.process == key:
		a.addIncrease(last.counts, summary.Counts, false)
		next.spendRate = last.spendRate
		next.spendRate.Observe(last.counts.Spent, summary.Counts.Spent, now)
	case summary.JustStarted:
		a.addIncrease(Counts{}, summary.Counts, false)
		next.spendRate = last.spendRate
		next.spendRate.FillGap(now)
	default:
		next.spendRate = last.spendRate
		a.addIncrease(Counts{}, Counts{Spent: next.spendRate.FillGap(now)}, false)
	}
	a.zones[summary.Zone] = next
}

func (a *Aggregator) addIncrease(before, after Counts, ownZone bool) {
	a.allTotal.addIncrease(before, after)
	if ownZone {
		a.zoneTotal.addIncrease(before, after)
	}
}

func addDifference(into, before, after map[string]float64) {
	for workspace, tokens := range after {
		into[workspace] += tokens - before[workspace]
	}
}

// LastSequence returns the sequence number of the last report received from a daemon, or zero.
func (a *Aggregator) LastSequence(vm string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m := a.members[vm]; m != nil {
		return m.sequence
	}
	return 0
}

// Zone returns the sums for this daemon's zone.
func (a *Aggregator) Zone(now time.Time) Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := a.zoneCurrent(now)
	sum.Spent, sum.Refused = maps.Clone(a.zoneTotal.spent), maps.Clone(a.zoneTotal.refused)
	sum.Asked = cloneAsked(a.zoneTotal.asked)
	return sum
}

// All returns the sums for all zones.
func (a *Aggregator) All(now time.Time) Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := a.zoneCurrent(now)
	sum.Spent, sum.Refused = maps.Clone(a.allTotal.spent), maps.Clone(a.allTotal.refused)
	sum.Asked = cloneAsked(a.allTotal.asked)
	for _, z := range a.zones {
		if z.fresh(now) {
			sum.addCurrent(z.counts)
		}
	}
	return sum
}

// Others returns the current loads, demand and engine estimates of all daemons but this one.
func (a *Aggregator) Others(now time.Time) Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := NewCounts()
	for _, m := range a.members {
		if m.fresh(now) {
			sum.addCurrent(m.counts)
		}
	}
	for _, z := range a.zones {
		if z.fresh(now) {
			sum.addCurrent(z.counts)
		}
	}
	return sum
}

// SpentByOthers returns what all daemons but this one have spent and been refused, over all zones,
// since this process started.
func (a *Aggregator) SpentByOthers() (spent, refused map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	spent, refused = maps.Clone(a.allTotal.spent), maps.Clone(a.allTotal.refused)
	Subtract(spent, a.own.Spent)
	Subtract(refused, a.own.Refused)
	return spent, refused
}

// Subtract subtracts the values of part from all, by workspace.
func Subtract(all, part map[string]float64) {
	for workspace, tokens := range part {
		all[workspace] -= tokens
	}
}

// Reach returns which daemons of other zones can be reached through their leaders, and whether the
// summaries of all known zones are fresh.
func (a *Aggregator) Reach(now time.Time) (sum Reach, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	complete = true
	sum.StreamAssignment = math.MaxInt64
	for _, z := range a.zones {
		if !z.fresh(now) {
			sum.Known += z.reach.Known
			complete = false
			continue
		}
		reach := z.reach
		reach.MaxAge = now.Sub(z.receivedAt)
		sum.Add(reach)
	}
	return sum, complete
}

// forgetAfter is how long a silent zone or daemon is kept.
const forgetAfter = 30 * time.Second

// Sweep removes the zones and daemons that have been silent for forgetAfter.
func (a *Aggregator) Sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.members, func(_ string, m *latestReport) bool { return now.Sub(m.receivedAt) >= forgetAfter })
	maps.DeleteFunc(a.zones, func(_ string, z *zoneState) bool { return now.Sub(z.receivedAt) >= forgetAfter })
}

// Included returns the number of daemons whose loads and demand are in the sums, this one included.
func (a *Aggregator) Included(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	included := 1
	for _, m := range a.members {
		if m.fresh(now) {
			included++
		}
	}
	for _, z := range a.zones {
		if z.fresh(now) {
			included += z.reach.Reachable
		}
	}
	return included
}

func (r *latestReport) fresh(now time.Time) bool { return now.Sub(r.receivedAt) < FreshFor }

// NewCounts returns empty Counts.
func NewCounts() Counts {
	return Counts{
		Spent: map[string]float64{}, Refused: map[string]float64{}, Asked: map[string][]float64{}, Loads: map[uint32]backend.Load{}, Demand: map[string]demand.Load{}, DemandParts: map[string]demand.Parts{}, EngineEstimates: map[string]pace.EngineEstimates{},
		Versions: rollout.NewTallies(),
	}
}

// zoneCurrent adds up everything but the token totals over the zone. The caller holds the lock.
func (a *Aggregator) zoneCurrent(now time.Time) Counts {
	sum := NewCounts()
	sum.addCurrent(a.own)
	for _, m := range a.members {
		if m.fresh(now) {
			sum.addCurrent(m.counts)
		}
	}
	return sum
}

func (c *Counts) addCurrent(more Counts) {
	for key, load := range more.Loads {
		c.Loads[key] = c.Loads[key].Plus(load)
	}
	for service, load := range more.Demand {
		c.Demand[service] = c.Demand[service].Add(load)
	}
	for service, parts := range more.DemandParts {
		sum := c.DemandParts[service]
		sum.Add(parts)
		c.DemandParts[service] = sum
	}
	for service, figures := range more.EngineEstimates {
		sum := c.EngineEstimates[service]
		sum.Merge(figures)
		c.EngineEstimates[service] = sum
	}
	c.Versions.Add(more.Versions)
	c.Warm += more.Warm
}
