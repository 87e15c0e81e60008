package router

import (
	"context"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/gossip"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/platform"
)

const (
	// sentinelWait is how long the watches of the sentinel wait at the most. A watch can go
	// deaf without a sign; a change has to be in force everywhere within 2 s.
	sentinelWait = time.Second
	// sentinelShare is the part of the operators' bound for leaving servers that the sentinel's
	// watch of the servers waits. A deaf one leaves the rest of the first half of that bound for
	// the others to list the servers and to tell their zones.
	sentinelShare = 0.4
	// followerWait is how long the watches of the other daemons wait. Each call is
	// paid for, and what their watches miss the sentinel tells them.
	followerWait = 15 * time.Second
	// orderWait is the least time that a watch for roll-outs waits. They are rare and last for
	// many seconds: one that a deaf watch misses may begin some seconds late. While the store
	// does not answer for the servers it is not asked for roll-outs at all.
	orderWait = 5 * time.Second
	// serverBatchWindow is how long changes of the servers come together in one call. A
	// server that leaves may be sent requests for 2 s more; the way to all daemons takes
	// up to 0.8 s.
	serverBatchWindow = 200 * time.Millisecond
	// roleInterval is how often a daemon looks at its roles.
	roleInterval = 100 * time.Millisecond
	// discoveryTimeout is how long after its start a daemon waits to find the others of its
	// zone before it follows the store beside them.
	discoveryTimeout = time.Second
)

// createFollowers makes the followers of the configuration and of the backend servers.
func (r *Router) createFollowers() {
	options := store.FollowOptions{WatchTimeout: r.watchWait, OnCompacted: r.handleCompaction, Active: r.following.Load}
	r.configFollower = store.NewFollower(r.objectStore, platform.KindConfig, configConsumer{r.state}, r.logger, options)
	options.WatchTimeout, options.BatchDelay = r.serversWait, serverBatchWindow
	r.serverFollower = store.NewFollower(r.objectStore, platform.KindServers, serverConsumer{r.state}, r.logger, options)
	options.BatchDelay = 0
	options.WatchTimeout = func() time.Duration { return max(orderWait, r.watchWait()) }
	options.Active = func() bool { return r.following.Load() && !r.state.storeUnavailable() }
	r.orderFollower = store.NewFollower(r.objectStore, platform.KindRollOuts, orderConsumer{r}, r.logger, options)
}

func (r *Router) watchWait() time.Duration {
	if r.sentinel.Load() {
		return sentinelWait
	}
	return followerWait
}

// serversWait is watchWait for the servers.
func (r *Router) serversWait() time.Duration {
	if !r.sentinel.Load() {
		return followerWait
	}
	return min(sentinelWait, time.Duration(sentinelShare*float64(r.settings.Bounds.EffectiveLeavingLimit())))
}

// relist makes every follower list anew.
func (r *Router) relist() {
	r.configFollower.Refresh(true)
	r.serverFollower.Refresh(true)
	r.orderFollower.Refresh(true)
}

// plan returns this daemon's part in the gossip.
func (r *Router) plan(now time.Time) gossip.Plan {
	return r.members.Plan(r.state.LocalState(), now)
}

// watchRole keeps two roles. A daemon follows the store while it is the first
// relay of its zone that the store answers, or hears none; the others are told. One of those
// that follow, on each side of a partition, is the sentinel.
func (r *Router) watchRole(ctx context.Context) {
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		following := r.shouldFollow(now)
		if r.following.Swap(following) != following {
			r.logger.Info("role of following the store changed", "following", following)
			r.state.resetStoreAnswered()
			r.relist()
			// The daemons of the zone learn whom they can rely on.
			r.node.TriggerReport()
		}
		first := following && r.shouldBeSentinel(now)
		if r.sentinel.Swap(first) != first {
			r.logger.Info("role of sentinel changed", "sentinel", first)
			if first {
				r.configFollower.Refresh(false)
				r.serverFollower.Refresh(false)
				r.orderFollower.Refresh(false)
			}
		}
		select {
		case <-ticker.C:
		case <-r.peersLearned:
		case <-ctx.Done():
			return
		}
	}
}

// shouldFollow reports whether this daemon should follow the store.
func (r *Router) shouldFollow(now time.Time) bool {
	if !r.registered.Load() && now.Sub(r.state.started) < discoveryTimeout {
		// The daemons of the zone are not known yet.
		return false
	}
	if r.settings.Peers.Bootstrap && now.Sub(r.state.started) < discoveryTimeout {
		// None has left an entry: those of the zone have to hear each other first. Were
		// each to follow the store until then, a first start of 295 daemons would cost 4
		// calls more each.
		return false
	}
	plan := r.plan(now)
	switch {
	case plan.FollowsStore:
		r.unfollowedSince = time.Time{}
		return true
	case r.otherFollows(plan, now):
		r.unfollowedSince = time.Time{}
		return false
	}
	return r.shouldTakeOver(plan, now)
}

// otherFollows reports whether another daemon of the zone follows the store, as far as was heard of late,
// or may be about to. Of two that follow, the later one in the order of names stops.
func (r *Router) otherFollows(plan gossip.Plan, now time.Time) bool {
	stays := r.following.Load() && !r.state.storeUnavailable()
	for _, peer := range r.members.HeardWithin(followerTimeout(r.node.ReportInterval(now)), now) {
		follows := peer.Zone == r.settings.VM.Zone && peer.FollowsStore && !peer.StoreFailing
		if follows && (!stays || peer.VM < r.settings.VM.ID) {
			return true
		}
	}
	if now.Sub(r.state.started) >= discoveryTimeout {
		return false
	}
	return slices.ContainsFunc(plan.ReportTo, func(relay gossip.Peer) bool { return !relay.StoreFailing })
}

// shouldTakeOver reports whether nobody has followed the store for the zone for long enough that this
// daemon should.
func (r *Router) shouldTakeOver(plan gossip.Plan, now time.Time) bool {
	if r.unfollowedSince.IsZero() {
		r.unfollowedSince = now
	}
	heard := slices.ContainsFunc(plan.ReportTo, func(relay gossip.Peer) bool { return relay.Reachable(now) && relay.StoreFailing })
	return now.Sub(r.unfollowedSince) >= takeoverDelay(plan.ZoneRank, heard)
}

const (
	// reportSlack is how late a report may be: links within a zone take some ms, and a daemon's
	// timer may fire late.
	reportSlack = 100 * time.Millisecond
	// takeoverBatch is the number of daemons of a zone that try the store first when nobody follows it,
	// one after the other, each takeoverStep later. The others try in turns, as many each second, and all
	// do while the store answers none of the relays: when it was down for 6 s, 295 daemons that all
	// tried made some 4,000 calls.
	takeoverBatch = 8
	takeoverStep  = 50 * time.Millisecond
	takeoverRound = time.Second
)

// followerTimeout is how long nothing may be heard of who follows the store for a zone until
// another one does: a report and a half. While nobody does, the zone hears of no server that
// leaves, and it has half of the operators' bound to. Should one report be lost, two daemons
// follow for a while, at the price of a few calls.
func followerTimeout(round time.Duration) time.Duration { return round + round/2 + reportSlack }

// takeoverDelay returns how long a daemon waits, once nobody of its zone follows the store, before
// it does: those who come before it in their order may be there. failing is set where relays are
// heard that the store does not answer; they go on trying.
func takeoverDelay(zonePlace int, failing bool) time.Duration {
	turns := time.Duration(zonePlace/takeoverBatch) * takeoverRound
	switch {
	case failing:
		return turns + takeoverRound
	case zonePlace < takeoverBatch:
		return time.Duration(max(0, zonePlace-1)) * takeoverStep
	}
	return turns
}

// shouldBeSentinel reports whether this daemon comes first among those that it hears and
// that the store answers.
func (r *Router) shouldBeSentinel(now time.Time) bool {
	if r.state.storeUnavailable() || r.draining.Load() {
		return false
	}
	for _, peer := range r.members.Reachable(now) {
		if !peer.Draining && !peer.StoreFailing && peer.VM < r.settings.VM.ID {
			return false
		}
	}
	return true
}
