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
	return (&catalog.Catalog{Workspaces: []catalog.Workspace{{Name: "w", RatePerSecond: rate, Burst: burst, ByTokens: true}}}).Build()
}

const (
	simulationTick = 10 * time.Millisecond
	// reportBeforeDigest is how long before its leader's digest a daemon sends its report.
	reportBeforeDigest = 50 * time.Millisecond
	// freshFor is how long a silent daemon or zone counts as reachable.
	freshFor = 1500 * time.Millisecond
	// maxApplyDelay is the longest time until a daemon applies a changed allowance.
	maxApplyDelay = 3 * time.Second
	// leaseTakeover is how long after the death of all daemons a new lease holder writes a
	// snapshot.
	leaseTakeover = 500 * time.Millisecond
	// keptReports is the number of its own reports that a daemon keeps.
	keptReports = 16
)

// simulation simulates daemons in several zones that serve the requests of one workspace. In each
// report interval, daemons report to the leader of their zone, and leaders send the totals they know to
// their zone. What is known about another zone is therefore up to two intervals old.
type simulation struct {
	seed       uint64
	daemons    int
	zones      int
	rate       float64
	duration   time.Duration
	tolerance  Tolerance
	meanTokens float64
	demand     func(at time.Duration) float64
	// loweredAt is when the allowance changes to loweredRate. Each daemon applies it within
	// maxApplyDelay. Zero means that the allowance does not change.
	loweredAt   time.Duration
	loweredRate float64
	// requestSize, if set, draws the tokens of a request in place of meanTokens.
	requestSize func(r *rand.Rand) float64
	// requestClass, if set, returns the class of a request.
	requestClass func(tokens float64) Class
	// sendTick, if set, sends the requests of a tick in place of those that demand and requestSize describe.
	sendTick   func(s *simulator)
	digestLoss float64
	// digestDelay is how long digests of leaders take to arrive.
	digestDelay time.Duration
	faults      []fault
	// These are deliberate mistakes that must be detected. ignorePeers makes daemons count nothing
	// that peers report, forgetUsage makes them start as if nothing had been used, and
	// ignorePartition makes them count all daemons as reachable.
	ignorePeers, forgetUsage, ignorePartition bool
}

// fault is a fault injected into the simulation from at to until.
type fault struct {
	at, until time.Duration
	// deadShare is the share of the daemons that die at the start and restart at the end.
	deadShare float64
	// partition is set if zone is cut off from the other zones.
	partition bool
	zone      int
	// suspendedShare is the share of the daemons that are suspended. If clockStops is set, their
	// clocks stop meanwhile.
	suspendedShare float64
	clockStops     bool
	// storeDown is set if the store is unavailable, so that no snapshot is written.
	storeDown bool
	// snapshotUnreadable is set if restarting daemons cannot read the snapshot. snapshotDelay is
	// how long after the restart they read it.
	snapshotUnreadable bool
	snapshotDelay      time.Duration
}

// outcome is the result of a simulation.
type outcome struct {
	// worstWindow is the largest usage of any window, as a share of the bound.
	worstWindow float64
	// offered is the number of tokens of first attempts. refusedWithin is the part of them that was
	// refused although the window had room for them.
	offered, refusedWithin float64
	// meanAdmitted is the mean usage per second, as a share of the allowance's rate.
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
	// sums holds the reports that this process has received as a relay. memberReportedAt is when
	// each daemon of its zone last reported.
	sums             *rollup.Aggregator
	memberReportedAt map[int]time.Duration
	// sequence numbers its reports, and sent holds the last of them.
	sequence uint64
	sent     map[uint64]Counters
	leader   leaderState
	// appliesAt is when it applies the lowered allowance.
	appliesAt time.Duration
	// suspended is set while the daemon is suspended. clockLag is how far its clock is behind.
	suspended bool
	clockLag  time.Duration
	// stoppedAt is when it last died or was suspended.
	stoppedAt time.Duration
}

// leaderState is the last digest that a daemon received from its leader, or names the daemon itself if
// it uses its own sums.
type leaderState struct {
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
	// digestPhases are the offsets within a report interval at which the leaders of the zones send
	// digests.
	digestPhases   []time.Duration
	now            time.Duration
	admittedByTick []float64
	totalAdmitted  float64
	limit          float64
	snapshotUsage  map[string]Usage
	// snapshotDemand is the demand that was recorded with the snapshot.
	snapshotDemand map[string]float64
	snapshotAt     time.Duration
	retries        map[time.Duration][]float64
	// delayed are the digests that arrive at a time.
	delayed map[time.Duration][]func()
	outcome outcome
}

func (sim simulation) run() outcome {
	s := &simulator{simulation: sim, random: rand.New(rand.NewPCG(sim.seed, uint64(sim.daemons))), retries: map[time.Duration][]float64{}, delayed: map[time.Duration][]func(){}}
	s.reportInterval = min(400*time.Millisecond, max(150*time.Millisecond, time.Duration(sim.daemons)*5*time.Millisecond))
	s.reportInterval = s.reportInterval.Truncate(simulationTick)
	s.limit = sim.rate * (sim.tolerance.Window.Seconds() + 1)
	for range sim.zones {
		s.digestPhases = append(s.digestPhases, time.Duration(s.random.Int64N(int64(s.reportInterval/simulationTick)))*simulationTick)
	}
	for i := range sim.daemons {
		d := &daemon{index: i, zone: i % sim.zones, vm: fmt.Sprintf("vm-%03d", i), appliesAt: sim.loweredAt}
		if sim.loweredAt > 0 {
			d.appliesAt += time.Duration(s.random.Int64N(int64(maxApplyDelay/simulationTick))) * simulationTick
		}
		s.fleet = append(s.fleet, d)
		s.startDaemon(d, true)
		// The initial daemons have been running for an hour.
		d.started = -time.Hour
		d.limiter.started = d.limiter.started.Add(-time.Hour)
	}
	for s.now = 0; s.now < sim.duration; s.now += simulationTick {
		s.step()
	}
	s.outcome.meanAdmitted = s.totalAdmitted / sim.duration.Seconds() / sim.rate
	return s.outcome
}

func (s *simulator) time() time.Time { return start.Add(time.Hour + s.now) }

// clock returns a daemon's local time.
func (s *simulator) clock(d *daemon) time.Time { return s.time().Add(-d.clockLag) }

// startDaemon starts a new process of a daemon.
func (s *simulator) startDaemon(d *daemon, readable bool) {
	d.incarnation++
	d.alive, d.started, d.leader = true, s.now, leaderState{}
	d.sums, d.memberReportedAt = rollup.New(), map[int]time.Duration{}
	d.sequence, d.sent = 0, map[uint64]Counters{}
	d.limiter = NewLimiter(s.tolerance, s.time(), s.random.Float64)
	switch {
	case s.forgetUsage:
		d.limiter.Restore(Snapshot{}, s.time())
	case readable:
		d.limiter.Restore(Snapshot{Usage: s.snapshotUsage, Demand: s.snapshotDemand, Age: s.now - s.snapshotAt}, s.time())
	}
	d.limiter.ApplyCatalog(s.catalogOf(d), s.time())
	if readable {
		d.limiter.SetReachable(1, s.daemons, s.time())
	}
}

// catalogOf returns the configuration that a daemon currently uses.
func (s *simulator) catalogOf(d *daemon) *catalog.Catalog {
	if s.loweredAt > 0 && s.now >= d.appliesAt {
		return testCatalog(s.loweredRate, s.loweredRate)
	}
	return testCatalog(s.rate, s.rate)
}

// applyLowered makes daemons apply the lowered allowance when it is due.
func (s *simulator) applyLowered() {
	for _, d := range s.fleet {
		if s.loweredAt > 0 && s.now == d.appliesAt && d.alive {
			d.limiter.ApplyCatalog(s.catalogOf(d), s.clock(d))
		}
	}
	if s.loweredAt > 0 && s.now == s.loweredAt+maxApplyDelay {
		s.limit = s.loweredRate * (s.tolerance.Window.Seconds() + 1)
	}
}

func (s *simulator) step() {
	for _, f := range s.faults {
		s.applyFault(f)
	}
	s.applyLowered()
	for _, digest := range s.delayed[s.now] {
		digest()
	}
	delete(s.delayed, s.now)
	for zone, phase := range s.digestPhases {
		if (s.now+reportBeforeDigest+s.reportInterval-phase)%s.reportInterval == 0 {
			s.sendReports(zone)
		}
		if (s.now+s.reportInterval-phase)%s.reportInterval == 0 {
			s.sendDigest(zone)
		}
	}
	if s.now%time.Second == 0 {
		s.checkLeaders()
	}
	if s.now%(500*time.Millisecond) == 0 {
		s.writeSnapshot()
	}
	s.sendRequests()
}

func (s *simulator) applyFault(f fault) {
	s.suspend(f)
	if f.deadShare == 0 {
		return
	}
	count := int(math.Ceil(f.deadShare * float64(s.daemons)))
	for i, d := range s.fleet {
		if (i*7)%s.daemons >= count {
			continue
		}
		switch {
		case s.now == f.at && d.alive:
			d.alive, d.stoppedAt = false, s.now
		case s.now == f.until && !d.alive:
			s.startDaemon(d, !f.snapshotUnreadable && f.snapshotDelay == 0)
		case f.snapshotDelay > 0 && s.now == f.until+f.snapshotDelay && d.alive:
			d.limiter.Restore(Snapshot{Usage: s.snapshotUsage, Demand: s.snapshotDemand, Age: d.started - s.snapshotAt}, s.time())
		}
	}
}

// suspend suspends and resumes daemons as the fault requires.
func (s *simulator) suspend(f fault) {
	if f.suspendedShare == 0 {
		return
	}
	count := int(math.Ceil(f.suspendedShare * float64(s.daemons)))
	for i, d := range s.fleet {
		if (i*7)%s.daemons >= count {
			continue
		}
		wasSuspended := d.suspended
		d.suspended = s.now >= f.at && s.now < f.until
		if d.suspended && !wasSuspended {
			d.stoppedAt = s.now
		}
		if d.suspended && f.clockStops {
			d.clockLag += simulationTick
		}
		if wasSuspended && s.now == f.until && f.until-f.at >= StallThreshold {
			d.limiter.ResumeAfterStall(s.clock(d))
		}
	}
}

// running reports whether a daemon is alive and not suspended.
func (d *daemon) running() bool { return d.alive && !d.suspended }

// relays returns the daemons that a zone's daemons use as relays, the leader first. A stopped relay
// is included until it has been silent for freshFor.
func (s *simulator) relays(zone int) []*daemon {
	var relays []*daemon
	for _, d := range s.fleet {
		if d.zone == zone && (d.running() || s.now-d.stoppedAt < freshFor) && len(relays) < 2 {
			relays = append(relays, d)
		}
	}
	return relays
}

// sendReports sends the reports of a zone's daemons to its relays.
func (s *simulator) sendReports(zone int) {
	for _, d := range s.fleet {
		if d.zone != zone || !d.running() || s.now == d.started {
			continue
		}
		own := s.nextReport(d)
		for _, relay := range s.relays(zone) {
			if relay == d || !relay.running() {
				continue
			}
			relay.memberReportedAt[d.index] = s.now
			relay.sums.AddReport(rollup.Report{
				VM: d.vm, Incarnation: d.incarnation, Sequence: d.sequence, JustStarted: s.now-d.started < settleTimeout, Counts: own,
			}, s.time())
		}
	}
}

// nextReport returns a daemon's counts for its next report.
func (s *simulator) nextReport(d *daemon) rollup.Counts {
	d.sequence++
	own := d.limiter.OwnCounters()
	d.sent[d.sequence] = own
	delete(d.sent, d.sequence-keptReports)
	counts := rollup.Counts{Spent: own.Spent, Refused: own.Refused, Asked: own.Asked}
	d.sums.SetOwn(counts)
	return counts
}

// sendDigest makes the leader of a zone send its zone's counts to the other zones, and the totals of
// all zones to its zone.
func (s *simulator) sendDigest(zone int) {
	relays := s.relays(zone)
	if len(relays) == 0 || !relays[0].running() {
		return
	}
	lead := relays[0]
	s.nextReport(lead)
	for other := range s.digestPhases {
		if other != zone && !s.partitioned(zone, other) {
			s.sendSummary(lead, s.relays(other))
		}
	}
	reachable, age := s.useOwnSums(lead)
	sums := lead.sums.All(s.time())
	usage, known := lead.limiter.Usage(s.clock(lead))
	demand := lead.limiter.Demand(s.clock(lead))
	for _, d := range s.fleet {
		if d.zone != zone || !d.running() || d == lead || s.random.Float64() < s.digestLoss {
			continue
		}
		included := lead.sums.LastSequence(d.vm)
		s.deliver(func() {
			if !d.running() {
				return
			}
			s.applyDigest(d, lead, included, reachable, age, Counters{Spent: sums.Spent, Refused: sums.Refused, Asked: sums.Asked})
			if known {
				d.limiter.AdoptFromPeer(usage, demand, lead.limiter.CountedFor(s.clock(lead)), s.clock(d))
			}
		})
	}
}

// deliver applies a digest when it arrives.
func (s *simulator) deliver(digest func()) {
	if s.digestDelay == 0 {
		digest()
		return
	}
	at := s.now + s.digestDelay
	s.delayed[at] = append(s.delayed[at], digest)
}

func (s *simulator) sendSummary(lead *daemon, relays []*daemon) {
	for _, relay := range relays {
		if !relay.running() {
			continue
		}
		relay.sums.AddSummary(rollup.Summary{
			Zone: fmt.Sprint(lead.zone), VM: lead.vm, Incarnation: lead.incarnation, JustStarted: s.now-lead.started < settleTimeout,
			Counts: lead.sums.Zone(s.time()), Reach: rollup.Reach{Reachable: s.reachableInZone(lead), Known: s.daemons / s.zones},
		}, s.time())
	}
}

// reachableInZone returns how many daemons of its zone a daemon can reach, itself included.
func (s *simulator) reachableInZone(d *daemon) int {
	count := 1
	for _, at := range d.memberReportedAt {
		if s.now-at < freshFor {
			count++
		}
	}
	return count
}

// useOwnSums makes a daemon use the sums of the reports it has received itself. It returns how many
// daemons it can reach and the age of the sums.
func (s *simulator) useOwnSums(d *daemon) (reachable int, age time.Duration) {
	remote, _ := d.sums.Reach(s.time())
	reachable, age = s.reachableInZone(d)+remote.Reachable, max(s.reportInterval, remote.MaxAge)
	if s.ignorePartition {
		reachable, age = s.daemons, s.reportInterval
	}
	changed := d.leader.vm != d.vm && d.leader.vm != ""
	d.leader = leaderState{vm: d.vm}
	spent, refused := d.sums.SpentByOthers()
	s.applyReport(d, Counters{Spent: spent, Refused: refused, Asked: d.sums.AskedByOthers()}, Report{VM: d.vm, Incarnation: d.incarnation, Baseline: changed, JustStarted: s.now-d.started < freshFor}, reachable, age)
	return reachable, age
}

// applyDigest applies a leader's digest at a daemon.
func (s *simulator) applyDigest(d, lead *daemon, includedSequence uint64, reachable int, age time.Duration, all Counters) {
	startedTogether := s.now-d.started < settleTimeout && s.now-lead.started < settleTimeout
	warmup := s.now-lead.started < freshFor && !startedTogether
	if warmup && includedSequence == 0 {
		return
	}
	previous := d.leader
	if warmup && s.now-previous.at < freshFor {
		reachable = max(reachable, previous.reachable)
	}
	d.leader = leaderState{vm: lead.vm, incarnation: lead.incarnation, at: s.now, includedSequence: includedSequence, reachable: reachable}
	own, known := d.sent[includedSequence]
	if !known && includedSequence != 0 {
		return
	}
	newLead := previous.vm != lead.vm || previous.incarnation != lead.incarnation || previous.includedSequence == 0 || includedSequence == 0
	s.applyReport(d, subtract(all, own), Report{VM: lead.vm, Incarnation: lead.incarnation, Baseline: newLead && !startedTogether, JustStarted: s.now-lead.started < freshFor}, reachable, age)
}

func (s *simulator) applyReport(d *daemon, counters Counters, report Report, reachable int, age time.Duration) {
	d.limiter.SetReachable(reachable, s.daemons, s.clock(d))
	if s.ignorePeers {
		return
	}
	report.Counters, report.Age, report.Interval = counters, age+reportBeforeDigest, s.reportInterval
	d.limiter.ApplyReport(report, s.clock(d))
}

// checkLeaders makes daemons that receive no digest use their own sums.
func (s *simulator) checkLeaders() {
	for _, d := range s.fleet {
		if d.running() && s.now-d.started >= simulationTick && d.leader.vm != d.vm && s.now-d.leader.at >= freshFor {
			s.useOwnSums(d)
		}
	}
}

// partitioned reports whether a partition separates two zones.
func (s *simulator) partitioned(a, b int) bool {
	for _, f := range s.faults {
		if f.partition && a != b && (f.zone == a || f.zone == b) && s.now >= f.at && s.now < f.until {
			return true
		}
	}
	return false
}

// writeSnapshot makes a leader record the usage.
func (s *simulator) writeSnapshot() {
	for _, f := range s.faults {
		if f.storeDown && s.now >= f.at && s.now < f.until {
			return
		}
	}
	for zone := range s.digestPhases {
		relays := s.relays(zone)
		if len(relays) == 0 || !relays[0].running() || s.now-relays[0].started < leaseTakeover {
			continue
		}
		if usage, known := relays[0].limiter.Usage(s.clock(relays[0])); known {
			s.snapshotUsage, s.snapshotDemand, s.snapshotAt = usage, relays[0].limiter.Demand(s.clock(relays[0])), s.now
		}
		return
	}
}

// limitSettled reports whether the allowance has been unchanged for a whole window.
func (s *simulator) limitSettled() bool {
	since := s.now - s.loweredAt
	return s.loweredAt == 0 || since < 0 || since >= maxApplyDelay+s.tolerance.Window
}

func (s *simulator) sendRequests() {
	if s.sendTick != nil {
		s.sendTick(s)
	} else {
		s.sendPlainRequests()
	}
	s.recordTick()
}

// sendPlainRequests sends the requests of a tick that demand and requestSize describe.
func (s *simulator) sendPlainRequests() {
	for left := s.demand(s.now) * simulationTick.Seconds(); left > 0; {
		tokens := s.drawTokens()
		// The last request of a tick is sent with a probability that keeps the mean right.
		if tokens > left && s.random.Float64() > left/tokens {
			break
		}
		left -= tokens
		s.sendRequest(tokens, true)
	}
	for _, tokens := range s.retries[s.now] {
		s.sendRequest(tokens, false)
	}
	delete(s.retries, s.now)
}

// recordTick records what was admitted in a tick.
func (s *simulator) recordTick() {
	s.admittedByTick = append(s.admittedByTick, s.totalAdmitted)
	span := int(s.tolerance.Window / simulationTick)
	if i := len(s.admittedByTick) - 1; i >= span && s.limitSettled() {
		allowed := s.limit + s.tolerance.tokensFor(s.limit)
		if now := (s.admittedByTick[i] - s.admittedByTick[i-span]) / allowed; now > s.outcome.worstWindow {
			s.outcome.worstWindow = now
		}
	}
}

// drawTokens draws the tokens of a request.
func (s *simulator) drawTokens() float64 {
	if s.requestSize != nil {
		return s.requestSize(s.random)
	}
	return s.meanTokens * min(4, math.Exp(0.8*s.random.NormFloat64()-0.32))
}

func (s *simulator) sendRequest(tokens float64, first bool) {
	d := s.fleet[s.random.IntN(s.daemons)]
	if !d.alive || d.suspended {
		return
	}
	if first {
		s.outcome.offered += tokens
	}
	class := noClass
	if s.requestClass != nil {
		class = s.requestClass(tokens)
	}
	verdict := d.limiter.AdmitClass("w", tokens, class, s.clock(d))
	if verdict.Admitted {
		s.totalAdmitted += tokens
		return
	}
	if windowStart := len(s.admittedByTick) - int(s.tolerance.Window/simulationTick); windowStart >= 0 && first && s.totalAdmitted-s.admittedByTick[windowStart]+tokens <= s.limit {
		s.outcome.refusedWithin += tokens
	}
	if first {
		at := (s.now + max(simulationTick, min(2*time.Second, verdict.RetryAfter))).Truncate(simulationTick)
		s.retries[at] = append(s.retries[at], tokens)
	}
}

func subtract(a, b Counters) Counters {
	return Counters{
		Spent:   map[string]float64{"w": a.Spent["w"] - b.Spent["w"]},
		Refused: map[string]float64{"w": a.Refused["w"] - b.Refused["w"]},
		Asked:   rollup.SubtractAsked(a.Asked, b.Asked),
	}
}
