package streamversion

import (
	"maps"
	"slices"
	"time"
)

const (
	// beginDelay is how long after all daemons know that a bucket has moved a request that was
	// admitted before may still begin its stream at the earlier version.
	beginDelay = 500 * time.Millisecond
	// MaxStreamAge is the age up to which a stream is resumed by the assignment alone, unless its route
	// or its caller states a longer time. Callers try several times in a row, each time for as long as the
	// route allows.
	MaxStreamAge = 30 * time.Second
	// earlierRetention is how long an earlier version is kept at least. No caller waits longer for a
	// stream.
	earlierRetention = 2 * time.Minute
	// settleTime is how long after a move most of the streams from before have ended.
	settleTime = 5 * time.Second
	// maxMoving is the number of a service's buckets that move at a time while their version has
	// servers. Streams of moving buckets cannot be resumed if their daemon dies.
	maxMoving = BucketCount / 3
	// maxClockSkew is how far the wall clocks of daemons may differ. No daemon writes a later end.
	maxClockSkew = time.Minute
	// maxSlots bounds the slots of one version, so that sums and products do not overflow.
	maxSlots = 1 << 32
	// maxImbalance is the factor by which the buckets of a version may exceed or fall short of its
	// share of the servers' capacity before buckets move.
	maxImbalance = 1.25
)

// Capacity is what the servers of one version of a service can take.
type Capacity struct {
	// Slots is the number of requests that its ready servers run at once.
	Slots int
	// Leaving is set if it has servers that leave and may still be sent requests.
	Leaving bool
}

// Trial is a version that a share of the streams may begin at while a roll-out is in force.
type Trial struct {
	Version string
	// Moved is the share of the buckets that have moved to the version, and Shared the share of those
	// whose streams may begin at either version.
	Moved, Shared float64
}

// Demand is what the assignment of a service has to follow.
type Demand struct {
	// Capacity holds the capacity by version. Versions on trial are not in it.
	Capacity map[string]Capacity
	// Trial is the version on trial, if its Version is not empty.
	Trial Trial
}

// bounded returns the demand with the slots of each version within 0 and maxSlots.
func (d Demand) bounded() Demand {
	bounded := make(map[string]Capacity, len(d.Capacity))
	for version, c := range d.Capacity {
		c.Slots = min(maxSlots, max(0, c.Slots))
		bounded[version] = c
	}
	d.Capacity = bounded
	return d
}

// Plan returns the assignment that follows, and false if nothing changes. progress is how far this
// one has spread.
func (a *Assignment) Plan(demands map[string]Demand, progress Progress, now time.Time) (*Assignment, bool) {
	next := &Assignment{Serial: a.nextSerial(now), Services: maps.Clone(a.Services), FollowsLost: a.Lost || a.FollowsLost}
	if next.Services == nil {
		next.Services = map[string]Service{}
	}
	changed := false
	for service, demand := range demands {
		p := planner{demand: demand.bounded(), progress: progress, now: now, buckets: a.Services[service].clone().Buckets, lost: next.FollowsLost}
		if p.plan() {
			next.Services[service] = Service{Buckets: p.buckets}
			changed = true
		}
	}
	return next, changed
}

// planner makes one step for one service.
type planner struct {
	demand   Demand
	progress Progress
	now      time.Time
	buckets  []Bucket
	changed  bool
	// lost is set if streams may have begun as an assignment said that is lost.
	lost bool
}

func (p *planner) plan() bool {
	total := 0
	for _, c := range p.demand.Capacity {
		total += c.Slots
	}
	if len(p.buckets) != BucketCount {
		return p.create(total)
	}
	if p.progress == AdoptedByAll {
		p.closeEarlier()
		p.commit()
	}
	p.expireEarlier()
	p.dropUnserved()
	if total > 0 {
		p.replaceUnserved()
		p.rebalance(total)
	}
	p.applyTrial()
	return p.changed
}

// create assigns the streams of a service for the first time. None have begun before, unless an earlier
// assignment is lost.
func (p *planner) create(total int) bool {
	if total == 0 {
		return false
	}
	counts, targets := map[string]int{}, p.targets(total)
	p.buckets = make([]Bucket, BucketCount)
	for i := range p.buckets {
		b := &p.buckets[i]
		b.Version = mostWanted(counts, targets)
		counts[b.Version]++
		if p.lost {
			b.Earlier = []Earlier{{AnyVersion: true}}
		}
	}
	return true
}

// closeEarlier sets the end of earlier versions, now that no daemon begins streams there.
func (p *planner) closeEarlier() {
	for i := range p.buckets {
		for j := range p.buckets[i].Earlier {
			if e := &p.buckets[i].Earlier[j]; e.UntilMs == 0 || e.UntilMs > p.now.Add(maxClockSkew).UnixMilli() {
				e.UntilMs, p.changed = p.now.Add(beginDelay).UnixMilli(), true
			}
		}
	}
}

// commit moves the buckets whose move all daemons know of, except for those on trial.
func (p *planner) commit() {
	for i := range p.buckets {
		b := &p.buckets[i]
		switch {
		case b.Next == "" || b.Next == p.demand.Trial.Version && i >= p.trialBuckets(p.demand.Trial.Moved):
		case p.served(b.Next) || b.Next == p.demand.Trial.Version:
			p.moveTo(b, b.Next)
		}
	}
}

// expireEarlier removes earlier versions whose streams have all ended.
func (p *planner) expireEarlier() {
	for i := range p.buckets {
		b := &p.buckets[i]
		before := len(b.Earlier)
		b.Earlier = slices.DeleteFunc(b.Earlier, func(e Earlier) bool {
			return e.UntilMs != 0 && p.now.Sub(time.UnixMilli(e.UntilMs)) >= earlierRetention
		})
		p.changed = p.changed || len(b.Earlier) != before
	}
}

// dropUnserved cancels moves to versions without servers.
func (p *planner) dropUnserved() {
	for i := range p.buckets {
		b := &p.buckets[i]
		if b.Next != "" && b.Next != p.demand.Trial.Version && !p.served(b.Next) {
			p.cancelMove(b)
		}
	}
}

// served reports whether a version has ready servers.
func (p *planner) served(version string) bool { return p.demand.Capacity[version].Slots > 0 }

// replaceUnserved moves the buckets of versions without ready servers, in two steps: a daemon that
// cannot be reached may still reach servers of the version, and resumes streams there until its
// assignment has expired. If servers that leave can still begin streams, all daemons adopt the move
// first.
func (p *planner) replaceUnserved() {
	for i := range p.buckets {
		b := &p.buckets[i]
		if p.served(b.Version) || b.Version == p.demand.Trial.Version {
			continue
		}
		target := b.Next
		if target == "" || !p.served(target) {
			target = p.neediest()
		}
		switch {
		case b.Next != target:
			p.prepareMove(b, target)
		case p.progress == Expired && !p.demand.Capacity[b.Version].Leaving:
			p.moveTo(b, target)
		}
	}
}

// neediest returns the version that has the fewest buckets for its capacity.
func (p *planner) neediest() string {
	counts := p.counts()
	best, least := "", 0.0
	for _, version := range slices.Sorted(maps.Keys(p.demand.Capacity)) {
		slots := p.demand.Capacity[version].Slots
		if slots == 0 {
			continue
		}
		if load := float64(counts[version]) / float64(slots); best == "" || load < least {
			best, least = version, load
		}
	}
	return best
}

// counts returns the number of buckets by version, as of the end of the moves in progress.
func (p *planner) counts() map[string]int {
	counts := map[string]int{}
	for i := range p.buckets {
		counts[p.buckets[i].destination(p.demand.Trial.Version)]++
	}
	return counts
}

// destination returns the version that the bucket has when its move is done.
func (b *Bucket) destination(trial string) string {
	if b.Next != "" && b.Next != trial {
		return b.Next
	}
	return b.Version
}

// rebalance prepares moves that bring the buckets of each version to its share of the capacity, as
// many as may move at a time.
func (p *planner) rebalance(total int) {
	counts, targets := p.counts(), p.targets(total)
	if !isImbalanced(counts, targets) {
		return
	}
	allowed := maxMoving - p.moving()
	for i := range p.buckets {
		b := &p.buckets[i]
		if allowed <= 0 {
			return
		}
		if b.Next != "" || counts[b.Version] <= targets[b.Version] || !p.served(b.Version) {
			continue
		}
		target := mostWanted(counts, targets)
		if target == "" {
			return
		}
		counts[b.Version]--
		counts[target]++
		b.Next, b.Shared, p.changed = target, false, true
		allowed--
	}
}

// targets returns the number of buckets by version that the capacity of the versions suggests.
func (p *planner) targets(total int) map[string]int {
	targets, assigned := map[string]int{}, 0
	for version, c := range p.demand.Capacity {
		targets[version] = BucketCount * c.Slots / total
		assigned += targets[version]
	}
	versions := slices.Sorted(maps.Keys(p.demand.Capacity))
	for i := 0; assigned < BucketCount; i++ {
		if version := versions[i%len(versions)]; p.served(version) {
			targets[version]++
			assigned++
		}
	}
	return targets
}

// isImbalanced reports whether a version has far more or fewer buckets than its target.
func isImbalanced(counts, targets map[string]int) bool {
	for version, target := range targets {
		count := float64(counts[version])
		if target > 0 && (count > maxImbalance*float64(target)+1 || count*maxImbalance+1 < float64(target)) {
			return true
		}
	}
	return false
}

// mostWanted returns the version that lacks most buckets, or empty.
func mostWanted(counts, targets map[string]int) string {
	wanted, most := "", 0
	for _, version := range slices.Sorted(maps.Keys(targets)) {
		if lacks := targets[version] - counts[version]; lacks > most {
			wanted, most = version, lacks
		}
	}
	return wanted
}

// moving returns the number of buckets that move or have moved so lately that streams from before may
// still be resumed.
func (p *planner) moving() int {
	count := 0
	for i := range p.buckets {
		if len(p.buckets[i].candidates(p.now.Add(-settleTime))) > 1 {
			count++
		}
	}
	return count
}

// moveTo moves a bucket to a version.
func (p *planner) moveTo(b *Bucket, version string) {
	b.addEarlier(b.Version)
	if b.Next != "" && b.Next != version {
		p.cancelMove(b)
	}
	b.Version, b.Next, b.Shared, p.changed = version, "", false, true
	b.removeEarlier(version)
}

// prepareMove makes a version the next one of a bucket.
func (p *planner) prepareMove(b *Bucket, version string) {
	if b.Next != "" {
		p.cancelMove(b)
	}
	b.Next, b.Shared, p.changed = version, false, true
}

// cancelMove ends the move of a bucket that has not been made.
func (p *planner) cancelMove(b *Bucket) {
	if b.Shared {
		b.addEarlier(b.Next)
	}
	b.Next, b.Shared, p.changed = "", false, true
}

// addEarlier records that streams of the bucket may have begun at a version until now.
func (b *Bucket) addEarlier(version string) {
	b.removeEarlier(version)
	b.Earlier = append(b.Earlier, Earlier{Version: version})
}

// removeEarlier removes a version from the earlier ones.
func (b *Bucket) removeEarlier(version string) {
	b.Earlier = slices.DeleteFunc(b.Earlier, func(e Earlier) bool { return !e.AnyVersion && e.Version == version })
}

// trialBuckets returns the number of buckets that a share stands for.
func (p *planner) trialBuckets(share float64) int {
	return min(BucketCount, int(share*BucketCount+0.5))
}

// applyTrial prepares and shares the buckets of the version on trial, and ends those of an earlier
// trial.
func (p *planner) applyTrial() {
	trial := p.demand.Trial
	shared := p.trialBuckets(max(trial.Shared, trial.Moved))
	for i := range p.buckets {
		b := &p.buckets[i]
		switch {
		case b.Shared && b.Next != trial.Version:
			p.cancelMove(b)
		case trial.Version == "" || b.Version == trial.Version || i >= shared:
		case b.Next != trial.Version && p.served(b.Next) && !p.served(b.Version):
			// The bucket leaves a version without servers first.
		case b.Next != trial.Version:
			p.cancelMove(b)
			b.Next = trial.Version
		case p.progress == AdoptedByAll && !b.Shared:
			b.Shared, p.changed = true, true
		}
	}
}
