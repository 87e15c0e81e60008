package allowance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/rollup"
)

var start = time.Unix(1000, 0)

func testCatalog(rate, burst float64) *catalog.Catalog {
	return (&catalog.Catalog{Workspaces: []catalog.Workspace{{Name: "w", TokensPerSecond: rate, Burst: burst, ByTokens: true}}}).Build()
}

const (
	simulationTick = 10 * time.Millisecond
	// reportBeforeDigest is how much earlier than its lead's digest a daemon reports.
	reportBeforeDigest = 50 * time.Millisecond
	// freshFor is how long a silent daemon, or zone, counts as heard.
	freshFor = 1500 * time.Millisecond
	// maxApplyDelay is the time within which daemons learn of a changed allowance.
	maxApplyDelay = 3 * time.Second
	// leaseTakeover is how long after a death of all a new holder of the lease writes the uses.
	leaseTakeover = 500 * time.Millisecond
	// keptReports is the number of own reports that a daemon remembers.
	keptReports = 16
)

// simulation is a deployment of daemons in zones that are asked for the tokens of one
// workspace. Daemons report to the lead of their zone, and leads tell their zone what
// they know of all, each round; so what is known of another zone is up to two rounds old.
type simulation struct {
	seed       uint64
	daemons    int
	zones      int
	rate       float64
	duration   time.Duration
	tolerance  Tolerance
	meanTokens float64
	demand     func(at time.Duration) float64
	// loweredAt is when the allowance changes to loweredRate, as each daemon learns within
	// maxApplyDelay. It is zero for an allowance that stays.
	loweredAt   time.Duration
	loweredRate float64
	// requestSize draws the tokens of a request in place of tokens.
	requestSize func(r *rand.Rand) float64
	digestLoss  float64
	faults      []fault
	// ignorePeers makes daemons count nothing of others, forget makes them start as if nothing
	// had been used, and whole makes them take themselves for all in a cut: mistakes that
	// have to show.
	ignorePeers, forgetUsage, ignorePartition bool
}

// fault is a trouble of the deployment.
type fault struct {
	at, until time.Duration
	// deadShare is the share of the daemons that is dead meanwhile and starts anew at the end.
	deadShare float64
	// partition is set for a zone that neither hears others nor is heard.
	partition bool
	zone      int
	// suspendedShare is the share of the daemons that stand still meanwhile and go on then, with their
	// clocks where still is set.
	suspendedShare float64
	clockStops     bool
	// storeDown is set for a store that is away: the uses are not written down meanwhile.
	storeDown bool
	// snapshotUnreadable is set when daemons that start cannot read what was recorded, and late when
	// they read it so much later.
	snapshotUnreadable bool
	snapshotDelay      time.Duration
}

// outcome is what callers got.
type outcome struct {
	// worstWindow is the most that a window got, as a share of what the rule allows.
	worstWindow float64
	// offered and within are the tokens of first tries, and of those that were refused
	// though all that had been admitted in the window left room for them.
	offered, refusedWithin float64
	// meanAdmitted is the mean of a second, as a share of the allowance's rate.
	meanAdmitted float64
}

type daemon struct {
	index       int
	limiter     *Limiter
	zone        int
	alive       bool
	started     time.Duration
	vm          string
	incarnation uint64
	// sums are what this process has heard as a relay, and memberReportedAt when it heard each daemon of its zone.
	sums             *rollup.Aggregator
	memberReportedAt map[int]time.Duration
	// sequence numbers its reports, and sent are the last of them.
	sequence uint64
	sent     map[uint64]Counters
	lead     leadState
	// appliesAt is when it learns of a changed allowance.
	appliesAt time.Duration
	// suspended is set while the daemon is suspended; lag is how far its clock is behind.
	suspended bool
	clockLag  time.Duration
	// stoppedAt is when it last died or was suspended.
	stoppedAt time.Duration
}

// leadState is what a daemon has heard last of its lead, or of itself where it makes its own sums.
type leadState struct {
	vm               string
	incarnation      uint64
	at               time.Duration
	includedSequence uint64
	reachable        int
}

type simulator struct {
	simulation
	random         *rand.Rand
	reportInterval time.Duration
	fleet          []*daemon
	// digestPhases are when the leads of the zones tell, within a round.
	digestPhases   []time.Duration
	now            time.Duration
	admittedByTick []float64
	totalAdmitted  float64
	limit          float64
	snapshotUsage  map[string]Usage
	// snapshotDemand is how fast all were asked then.
	snapshotDemand map[string]float64
	snapshotAt     time.Duration
	retries        map[time.Duration][]float64
	outcome        outcome
}

func (h simulation) run() outcome {
	p := &simulator{simulation: h, random: rand.New(rand.NewPCG(h.seed, uint64(h.daemons))), retries: map[time.Duration][]float64{}}
	p.reportInterval = min(400*time.Millisecond, max(150*time.Millisecond, time.Duration(h.daemons)*5*time.Millisecond))
	p.reportInterval = p.reportInterval.Truncate(simulationTick)
	p.limit = h.rate * (h.tolerance.Window.Seconds() + 1)
	for range h.zones {
		p.digestPhases = append(p.digestPhases, time.Duration(p.random.Int64N(int64(p.reportInterval/simulationTick)))*simulationTick)
	}
	for i := range h.daemons {
		d := &daemon{index: i, zone: i % h.zones, vm: fmt.Sprintf("vm-%03d", i), appliesAt: h.loweredAt}
		if h.loweredAt > 0 {
			d.appliesAt += time.Duration(p.random.Int64N(int64(maxApplyDelay/simulationTick))) * simulationTick
		}
		p.fleet = append(p.fleet, d)
		p.startDaemon(d, true)
		// They have been running for long.
		d.started = -time.Hour
		d.limiter.started = d.limiter.started.Add(-time.Hour)
	}
	for p.now = 0; p.now < h.duration; p.now += simulationTick {
		p.step()
	}
	p.outcome.meanAdmitted = p.totalAdmitted / h.duration.Seconds() / h.rate
	return p.outcome
}

func (p *simulator) time() time.Time { return start.Add(time.Hour + p.now) }

// clock returns what a daemon takes for the time.
func (p *simulator) clock(d *daemon) time.Time { return p.time().Add(-d.clockLag) }

// startDaemon starts a process of a daemon.
func (p *simulator) startDaemon(d *daemon, readable bool) {
	d.incarnation++
	d.alive, d.started, d.lead = true, p.now, leadState{}
	d.sums, d.memberReportedAt = rollup.New(), map[int]time.Duration{}
	d.sequence, d.sent = 0, map[uint64]Counters{}
	d.limiter = NewLimiter(p.tolerance, p.time(), p.random.Float64)
	switch {
	case p.forgetUsage:
		d.limiter.Restore(Snapshot{}, p.time())
	case readable:
		d.limiter.Restore(Snapshot{Usage: p.snapshotUsage, Demand: p.snapshotDemand, Age: p.now - p.snapshotAt}, p.time())
	}
	d.limiter.ApplyCatalog(p.catalogOf(d), p.time())
	if readable {
		d.limiter.SetReachable(1, p.daemons, p.time())
	}
}

// catalogOf returns the configuration that a daemon goes by.
func (p *simulator) catalogOf(d *daemon) *catalog.Catalog {
	if p.loweredAt > 0 && p.now >= d.appliesAt {
		return testCatalog(p.loweredRate, p.loweredRate)
	}
	return testCatalog(p.rate, p.rate)
}

// applyLowered lets daemons learn of a changed allowance.
func (p *simulator) applyLowered() {
	for _, d := range p.fleet {
		if p.loweredAt > 0 && p.now == d.appliesAt && d.alive {
			d.limiter.ApplyCatalog(p.catalogOf(d), p.clock(d))
		}
	}
	if p.loweredAt > 0 && p.now == p.loweredAt+maxApplyDelay {
		p.limit = p.loweredRate * (p.tolerance.Window.Seconds() + 1)
	}
}

func (p *simulator) step() {
	for _, e := range p.faults {
		p.applyFault(e)
	}
	p.applyLowered()
	for zone, phase := range p.digestPhases {
		if (p.now+reportBeforeDigest+p.reportInterval-phase)%p.reportInterval == 0 {
			p.sendReports(zone)
		}
		if (p.now+p.reportInterval-phase)%p.reportInterval == 0 {
			p.sendDigest(zone)
		}
	}
	if p.now%time.Second == 0 {
		p.checkLeads()
	}
	if p.now%(500*time.Millisecond) == 0 {
		p.writeSnapshot()
	}
	p.sendRequests()
}

func (p *simulator) applyFault(e fault) {
	p.suspend(e)
	if e.deadShare == 0 {
		return
	}
	dying := int(math.Ceil(e.deadShare * float64(p.daemons)))
	for i, d := range p.fleet {
		if (i*7)%p.daemons >= dying {
			continue
		}
		switch {
		case p.now == e.at && d.alive:
			d.alive, d.stoppedAt = false, p.now
		case p.now == e.until && !d.alive:
			p.startDaemon(d, !e.snapshotUnreadable && e.snapshotDelay == 0)
		case e.snapshotDelay > 0 && p.now == e.until+e.snapshotDelay && d.alive:
			d.limiter.Restore(Snapshot{Usage: p.snapshotUsage, Demand: p.snapshotDemand, Age: d.started - p.snapshotAt}, p.time())
		}
	}
}

// suspend lets some daemons stand still for the time of an event.
func (p *simulator) suspend(e fault) {
	if e.suspendedShare == 0 {
		return
	}
	standing := int(math.Ceil(e.suspendedShare * float64(p.daemons)))
	for i, d := range p.fleet {
		if (i*7)%p.daemons >= standing {
			continue
		}
		wasAway := d.suspended
		d.suspended = p.now >= e.at && p.now < e.until
		if d.suspended && !wasAway {
			d.stoppedAt = p.now
		}
		if d.suspended && e.clockStops {
			d.clockLag += simulationTick
		}
		if wasAway && p.now == e.until && e.until-e.at >= StallThreshold {
			d.limiter.ResumeAfterStall(p.clock(d))
		}
	}
}

// running reports whether a daemon does anything now.
func (d *daemon) running() bool { return d.alive && !d.suspended }

// relays returns the daemons of a zone that its daemons take for relays, the lead first: one that is gone
// counts until it has been silent for a while.
func (p *simulator) relays(zone int) []*daemon {
	var relays []*daemon
	for _, d := range p.fleet {
		if d.zone == zone && (d.running() || p.now-d.stoppedAt < freshFor) && len(relays) < 2 {
			relays = append(relays, d)
		}
	}
	return relays
}

// sendReports lets the daemons of a zone tell its relays what they have used.
func (p *simulator) sendReports(zone int) {
	for _, d := range p.fleet {
		if d.zone != zone || !d.running() || p.now == d.started {
			continue
		}
		own := p.nextReport(d)
		for _, relay := range p.relays(zone) {
			if relay == d || !relay.running() {
				continue
			}
			relay.memberReportedAt[d.index] = p.now
			relay.sums.AddReport(rollup.Report{
				VM: d.vm, Incarnation: d.incarnation, Sequence: d.sequence, JustStarted: p.now-d.started < settleTimeout, Counts: own,
			}, p.time())
		}
	}
}

// nextReport returns what a daemon has used, as its next report tells it.
func (p *simulator) nextReport(d *daemon) rollup.Counts {
	d.sequence++
	own := d.limiter.OwnCounters()
	d.sent[d.sequence] = own
	delete(d.sent, d.sequence-keptReports)
	counts := rollup.Counts{Spent: own.Spent, Refused: own.Refused}
	d.sums.SetOwn(counts)
	return counts
}

// sendDigest lets the lead of a zone tell other zones what its zone has used, and its zone what all have.
func (p *simulator) sendDigest(zone int) {
	relays := p.relays(zone)
	if len(relays) == 0 || !relays[0].running() {
		return
	}
	lead := relays[0]
	p.nextReport(lead)
	for other := range p.digestPhases {
		if other != zone && !p.partitioned(zone, other) {
			p.sendSummary(lead, p.relays(other))
		}
	}
	reach, behind := p.useOwnSums(lead)
	sums := lead.sums.All(p.time())
	uses, known := lead.limiter.Usage(p.clock(lead))
	asked := lead.limiter.Demand(p.clock(lead))
	for _, d := range p.fleet {
		if d.zone != zone || !d.running() || d == lead || p.random.Float64() < p.digestLoss {
			continue
		}
		p.applyDigest(d, lead, reach, behind, Counters{Spent: sums.Spent, Refused: sums.Refused})
		if known {
			d.limiter.AdoptFromPeer(uses, asked, lead.limiter.CountedFor(p.clock(lead)), p.clock(d))
		}
	}
}

func (p *simulator) sendSummary(lead *daemon, relays []*daemon) {
	for _, relay := range relays {
		if !relay.running() {
			continue
		}
		relay.sums.AddSummary(rollup.Summary{
			Zone: fmt.Sprint(lead.zone), VM: lead.vm, Incarnation: lead.incarnation, JustStarted: p.now-lead.started < settleTimeout,
			Counts: lead.sums.Zone(p.time()), Reach: rollup.Reach{Reachable: p.reachableInZone(lead), Known: p.daemons / p.zones},
		}, p.time())
	}
}

// reachableInZone returns how many daemons of its zone a daemon hears, itself included.
func (p *simulator) reachableInZone(d *daemon) int {
	heard := 1
	for _, at := range d.memberReportedAt {
		if p.now-at < freshFor {
			heard++
		}
	}
	return heard
}

// useOwnSums lets a daemon go by what it has heard itself. It returns how many it hears, and how old that is.
func (p *simulator) useOwnSums(d *daemon) (reach int, behind time.Duration) {
	far, _ := d.sums.Reach(p.time())
	reach, behind = p.reachableInZone(d)+far.Reachable, max(p.reportInterval, far.MaxAge)
	if p.ignorePartition {
		reach, behind = p.daemons, p.reportInterval
	}
	changed := d.lead.vm != d.vm && d.lead.vm != ""
	d.lead = leadState{vm: d.vm}
	spent, refused := d.sums.SpentByOthers()
	p.applyReport(d, Counters{Spent: spent, Refused: refused}, Report{VM: d.vm, Incarnation: d.incarnation, Baseline: changed}, reach, behind)
	return reach, behind
}

// applyDigest lets a daemon go by what its lead tells.
func (p *simulator) applyDigest(d, lead *daemon, reach int, behind time.Duration, all Counters) {
	taken := lead.sums.LastSequence(d.vm)
	started := p.now-d.started < settleTimeout && p.now-lead.started < settleTimeout
	warmup := p.now-lead.started < freshFor && !started
	if warmup && taken == 0 {
		return
	}
	before := d.lead
	if warmup && p.now-before.at < freshFor {
		reach = max(reach, before.reachable)
	}
	d.lead = leadState{vm: lead.vm, incarnation: lead.incarnation, at: p.now, includedSequence: taken, reachable: reach}
	own, known := d.sent[taken]
	if !known && taken != 0 {
		return
	}
	first := before.vm != lead.vm || before.incarnation != lead.incarnation || before.includedSequence == 0 || taken == 0
	p.applyReport(d, subtract(all, own), Report{VM: lead.vm, Incarnation: lead.incarnation, Baseline: first && !started}, reach, behind)
}

func (p *simulator) applyReport(d *daemon, used Counters, report Report, reach int, behind time.Duration) {
	d.limiter.SetReachable(reach, p.daemons, p.clock(d))
	if p.ignorePeers {
		return
	}
	report.Counters, report.Age, report.Interval = used, behind+reportBeforeDigest, p.reportInterval
	d.limiter.ApplyReport(report, p.clock(d))
}

// checkLeads lets daemons that hear no lead make their own sums.
func (p *simulator) checkLeads() {
	for _, d := range p.fleet {
		if d.running() && p.now-d.started >= simulationTick && d.lead.vm != d.vm && p.now-d.lead.at >= freshFor {
			p.useOwnSums(d)
		}
	}
}

// partitioned reports whether a cut lies between two zones.
func (p *simulator) partitioned(a, b int) bool {
	for _, e := range p.faults {
		if e.partition && a != b && (e.zone == a || e.zone == b) && p.now >= e.at && p.now < e.until {
			return true
		}
	}
	return false
}

// writeSnapshot lets a lead write down the uses.
func (p *simulator) writeSnapshot() {
	for _, e := range p.faults {
		if e.storeDown && p.now >= e.at && p.now < e.until {
			return
		}
	}
	for zone := range p.digestPhases {
		relays := p.relays(zone)
		if len(relays) == 0 || !relays[0].running() || p.now-relays[0].started < leaseTakeover {
			continue
		}
		if uses, known := relays[0].limiter.Usage(p.clock(relays[0])); known {
			p.snapshotUsage, p.snapshotDemand, p.snapshotAt = uses, relays[0].limiter.Demand(p.clock(relays[0])), p.now
		}
		return
	}
}

// limitSettled reports whether the allowance has been the same for a window.
func (p *simulator) limitSettled() bool {
	since := p.now - p.loweredAt
	return p.loweredAt == 0 || since < 0 || since >= maxApplyDelay+p.tolerance.Window
}

func (p *simulator) sendRequests() {
	for left := p.demand(p.now) * simulationTick.Seconds(); left > 0; {
		tokens := p.drawTokens()
		// Small steps are drawn by chance, so that the mean is right.
		if tokens > left && p.random.Float64() > left/tokens {
			break
		}
		left -= tokens
		p.sendRequest(tokens, true)
	}
	for _, tokens := range p.retries[p.now] {
		p.sendRequest(tokens, false)
	}
	delete(p.retries, p.now)
	p.admittedByTick = append(p.admittedByTick, p.totalAdmitted)
	span := int(p.tolerance.Window / simulationTick)
	if i := len(p.admittedByTick) - 1; i >= span && p.limitSettled() {
		allowed := p.limit + p.tolerance.tokensFor(p.limit)
		if now := (p.admittedByTick[i] - p.admittedByTick[i-span]) / allowed; now > p.outcome.worstWindow {
			p.outcome.worstWindow = now
		}
	}
}

// drawTokens returns the tokens of a request.
func (p *simulator) drawTokens() float64 {
	if p.requestSize != nil {
		return p.requestSize(p.random)
	}
	return p.meanTokens * min(4, math.Exp(0.8*p.random.NormFloat64()-0.32))
}

func (p *simulator) sendRequest(tokens float64, first bool) {
	d := p.fleet[p.random.IntN(p.daemons)]
	if !d.alive || d.suspended {
		return
	}
	if first {
		p.outcome.offered += tokens
	}
	verdict := d.limiter.Admit("w", tokens, p.clock(d))
	if verdict.Admitted {
		p.totalAdmitted += tokens
		return
	}
	if before := len(p.admittedByTick) - int(p.tolerance.Window/simulationTick); before >= 0 && first && p.totalAdmitted-p.admittedByTick[before]+tokens <= p.limit {
		p.outcome.refusedWithin += tokens
	}
	if first {
		at := (p.now + max(simulationTick, min(2*time.Second, verdict.RetryAfter))).Truncate(simulationTick)
		p.retries[at] = append(p.retries[at], tokens)
	}
}

func subtract(a, b Counters) Counters {
	return Counters{
		Spent:   map[string]float64{"w": a.Spent["w"] - b.Spent["w"]},
		Refused: map[string]float64{"w": a.Refused["w"] - b.Refused["w"]},
	}
}
