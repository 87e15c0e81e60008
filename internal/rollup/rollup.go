// Package rollup adds up what the daemons of a zone report and what the other
// zones tell, for the daemon that relays between them. It does no I/O; the time
// is passed in.
package rollup

import (
	"maps"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/rollout"
)

// FreshFor is how long what a daemon or a zone has told counts as the present
// state: three reports and the delay of a slow link.
const FreshFor = 1500 * time.Millisecond

// leadTimeout is how long a lead of another zone is listened to after its last summary
// before another one is: two reports of a large deployment and a margin.
const leadTimeout = time.Second

// Counts are what a daemon, a zone or the deployment has used.
type Counts struct {
	// Spent is by workspace and only grows within a process, and so is Refused, what was
	// asked for beyond the allowance.
	Spent   map[string]float64
	Refused map[string]float64
	// Loads are the attempts in flight, by the server's key.
	Loads map[uint32]backend.Load
	// Demand is what is asked of each service's engines.
	Demand map[string]demand.Load
	// Paces are what was learned of each service's engines.
	Paces map[string]pace.EngineFigures
	// Versions are how the versions of services answered while one is tried.
	Versions rollout.Tallies
}

// Reach is which daemons are heard.
type Reach struct {
	Reachable, Known int
	// Fence is the fencing number of one that holds the lease, or zero.
	Fence int64
	// MaxAge is how long ago the zone was heard that has been silent for longest among
	// those that count as heard.
	MaxAge time.Duration
}

// process is one start of one daemon, or one relay's account of a zone.
type process struct {
	vm          string
	incarnation uint64
}

// latestReport is what a process has told last.
type latestReport struct {
	process
	counts     Counts
	sequence   uint64
	receivedAt time.Time
}

// zoneState is what another zone's lead has told last.
type zoneState struct {
	latestReport
	reach     Reach
	spendRate SpendRate
}

// Aggregator keeps the sums. It may be used by several goroutines.
type Aggregator struct {
	mu      sync.Mutex
	own     Counts
	members map[string]*latestReport
	zones   map[string]*zoneState
	// zoneTotal and allTotal add up what was spent and refused since this process
	// started, so that they only grow whatever process or relay comes or goes.
	zoneTotal totals
	allTotal  totals
}

// totals only grow.
type totals struct{ spent, refused map[string]float64 }

func newTotals() totals {
	return totals{spent: map[string]float64{}, refused: map[string]float64{}}
}

// addIncrease adds what was spent and refused between two accounts of a process.
func (t totals) addIncrease(before, after Counts) {
	addDifference(t.spent, before.Spent, after.Spent)
	addDifference(t.refused, before.Refused, after.Refused)
}

// New returns empty sums.
func New() *Aggregator {
	return &Aggregator{members: map[string]*latestReport{}, zones: map[string]*zoneState{}, zoneTotal: newTotals(), allTotal: newTotals()}
}

// SetOwn takes over what this daemon itself has used.
func (s *Aggregator) SetOwn(counts Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addIncrease(s.own, counts, true)
	s.own = counts
}

// Report is what a daemon of the zone tells.
type Report struct {
	VM          string
	Incarnation uint64
	Sequence    uint64
	// JustStarted is set for a process that has just started: all that it has spent
	// is new.
	JustStarted bool
	Counts      Counts
}

// AddReport takes over a report.
func (s *Aggregator) AddReport(r Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := process{r.VM, r.Incarnation}
	last := s.members[r.VM]
	switch {
	case last != nil && last.process == key:
		s.addIncrease(last.counts, r.Counts, true)
	case r.JustStarted:
		s.addIncrease(Counts{}, r.Counts, true)
	}
	s.members[r.VM] = &latestReport{process: key, counts: r.Counts, sequence: r.Sequence, receivedAt: now}
}

// Summary is what the lead of another zone tells.
type Summary struct {
	Zone        string
	VM          string
	Incarnation uint64
	// JustStarted is set for a process that has just started.
	JustStarted bool
	Counts      Counts
	Reach       Reach
}

// AddSummary takes over a summary. One lead of a zone is listened to until it falls
// silent or its process is followed by another one. What a new lead has counted
// before cannot be told from what was known; the rate fills in what was spent
// between.
func (s *Aggregator) AddSummary(y Summary, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := process{y.VM, y.Incarnation}
	last := s.zones[y.Zone]
	if last != nil && last.vm != key.vm && now.Sub(last.receivedAt) < leadTimeout {
		return
	}
	next := &zoneState{latestReport: latestReport{process: key, counts: y.Counts, receivedAt: now}, reach: y.Reach}
	switch {
	case last == nil:
		next.spendRate.FillGap(now)
	case last.process == key:
		s.addIncrease(last.counts, y.Counts, false)
		next.spendRate = last.spendRate
		next.spendRate.Observe(last.counts.Spent, y.Counts.Spent, now)
	case y.JustStarted:
		s.addIncrease(Counts{}, y.Counts, false)
		next.spendRate = last.spendRate
		next.spendRate.FillGap(now)
	default:
		next.spendRate = last.spendRate
		s.addIncrease(Counts{}, Counts{Spent: next.spendRate.FillGap(now)}, false)
	}
	s.zones[y.Zone] = next
}

func (s *Aggregator) addIncrease(before, after Counts, ownZone bool) {
	s.allTotal.addIncrease(before, after)
	if ownZone {
		s.zoneTotal.addIncrease(before, after)
	}
}

func addDifference(into, before, after map[string]float64) {
	for workspace, tokens := range after {
		into[workspace] += tokens - before[workspace]
	}
}

// LastSequence returns the sequence of the last report of a daemon that the sums hold.
func (s *Aggregator) LastSequence(vm string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[vm]; m != nil {
		return m.sequence
	}
	return 0
}

// Zone returns the sums over this daemon's zone.
func (s *Aggregator) Zone(now time.Time) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.zoneCurrent(now)
	sum.Spent, sum.Refused = maps.Clone(s.zoneTotal.spent), maps.Clone(s.zoneTotal.refused)
	return sum
}

// All returns the sums over all zones.
func (s *Aggregator) All(now time.Time) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.zoneCurrent(now)
	sum.Spent, sum.Refused = maps.Clone(s.allTotal.spent), maps.Clone(s.allTotal.refused)
	for _, z := range s.zones {
		if z.fresh(now) {
			sum.addCurrent(z.counts)
		}
	}
	return sum
}

// Others returns the loads and the demand of all daemons but this one.
func (s *Aggregator) Others(now time.Time) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := NewCounts()
	for _, m := range s.members {
		if m.fresh(now) {
			sum.addCurrent(m.counts)
		}
	}
	for _, z := range s.zones {
		if z.fresh(now) {
			sum.addCurrent(z.counts)
		}
	}
	return sum
}

// SpentByOthers returns what was spent and refused over all zones since this process started,
// by others than this daemon.
func (s *Aggregator) SpentByOthers() (spent, refused map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spent, refused = maps.Clone(s.allTotal.spent), maps.Clone(s.allTotal.refused)
	Subtract(spent, s.own.Spent)
	Subtract(refused, s.own.Refused)
	return spent, refused
}

// Subtract takes a part off what is counted by workspace.
func Subtract(all, part map[string]float64) {
	for workspace, tokens := range part {
		all[workspace] -= tokens
	}
}

// Reach returns which daemons of other zones are heard through their leads, and
// whether every zone is heard that was.
func (s *Aggregator) Reach(now time.Time) (sum Reach, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete = true
	for _, z := range s.zones {
		sum.Known += z.reach.Known
		if !z.fresh(now) {
			complete = false
			continue
		}
		sum.Reachable += z.reach.Reachable
		sum.MaxAge = max(sum.MaxAge, now.Sub(z.receivedAt))
		sum.Fence = max(sum.Fence, z.reach.Fence)
	}
	return sum, complete
}

// forgetAfter is how long a silent zone or daemon is remembered.
const forgetAfter = 30 * time.Second

// Sweep forgets what has been silent for long.
func (s *Aggregator) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.members, func(_ string, m *latestReport) bool { return now.Sub(m.receivedAt) >= forgetAfter })
	maps.DeleteFunc(s.zones, func(_ string, z *zoneState) bool { return now.Sub(z.receivedAt) >= forgetAfter })
}

func (a *latestReport) fresh(now time.Time) bool { return now.Sub(a.receivedAt) < FreshFor }

// NewCounts returns counts of nothing.
func NewCounts() Counts {
	return Counts{
		Spent: map[string]float64{}, Refused: map[string]float64{}, Loads: map[uint32]backend.Load{}, Demand: map[string]demand.Load{}, Paces: map[string]pace.EngineFigures{},
		Versions: rollout.NewTallies(),
	}
}

// zoneCurrent adds up the loads and the demand of the zone; the caller holds the
// lock.
func (s *Aggregator) zoneCurrent(now time.Time) Counts {
	sum := NewCounts()
	sum.addCurrent(s.own)
	for _, m := range s.members {
		if m.fresh(now) {
			sum.addCurrent(m.counts)
		}
	}
	return sum
}

func (c *Counts) addCurrent(more Counts) {
	for key, load := range more.Loads {
		sum := c.Loads[key]
		sum.Running += load.Running
		sum.PendingTokens += load.PendingTokens
		c.Loads[key] = sum
	}
	for service, load := range more.Demand {
		c.Demand[service] = c.Demand[service].Add(load)
	}
	for service, figures := range more.Paces {
		sum := c.Paces[service]
		sum.Merge(figures)
		c.Paces[service] = sum
	}
	c.Versions.Add(more.Versions)
}
