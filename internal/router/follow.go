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
	// sentinelWait is the maximum time that a watch of the sentinel waits. A watch can stop
	// delivering changes without an error, and a change has to be in force everywhere within 2 s.
	sentinelWait = time.Second
	// sentinelShare is the fraction of the drain bound that the sentinel's watch of the servers
	// waits. After a watch that delivers nothing, the rest of the first half of the bound is left
	// for the other daemons to list the servers and to send the changes to their zones.
	sentinelShare = 0.4
	// followerWait is how long the watches of the other followers wait. Each call is paid for, and
	// the sentinel reports the changes that their watches miss.
	followerWait = 15 * time.Second
	// orderWait is the minimum time that a watch for roll-outs waits. Roll-outs are rare and take
	// many seconds, so one that a silent watch misses may begin some seconds late. While the store
	// does not answer calls for the servers, it is not asked for roll-outs at all.
	orderWait = 5 * time.Second
	// serverBatchWindow is how long changes of the servers are gathered into one call. A server
	// that leaves may be sent requests for 2 s more, and a change takes up to 0.8 s to reach all
	// daemons.
	serverBatchWindow = 200 * time.Millisecond
	// roleInterval is the time between two evaluations of a daemon's roles.
	roleInterval = 100 * time.Millisecond
	// discoveryTimeout is how long a daemon that has just started waits to find the others of its
	// zone before it follows the store itself.
	discoveryTimeout = time.Second
)

// createFollowers creates the followers of the configuration, the backend servers and the
// roll-outs.
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

// serversWait is like watchWait, for the watch of the servers.
func (r *Router) serversWait() time.Duration {
	if !r.sentinel.Load() {
		return followerWait
	}
	return min(sentinelWait, time.Duration(sentinelShare*float64(r.settings.Bounds.EffectiveDrainBound())))
}

// relist makes every follower list its objects again.
func (r *Router) relist() {
	r.configFollower.Refresh(true)
	r.serverFollower.Refresh(true)
	r.orderFollower.Refresh(true)
}

// plan returns this daemon's current role in the gossip.
func (r *Router) plan(now time.Time) gossip.Plan {
	return r.members.Plan(r.state.LocalState(), now)
}

// watchRole evaluates the daemon's two roles. A daemon follows the store while it is the first
// relay of its zone that the store answers, or while it receives reports of no such relay; the
// other daemons get the changes from it. One of the followers, on each side of a partition, is the
// sentinel.
func (r *Router) watchRole(ctx context.Context) {
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		following := r.shouldFollow(now)
		if r.following.Swap(following) != following {
			r.logger.Info("store follower role changed", "following", following)
			r.state.resetStoreAnswered()
			r.relist()
			select {
			case r.followBegun <- struct{}{}:
			default:
			}
			// The daemons of the zone need to know which of them follows the store.
			r.node.TriggerReport()
		}
		sentinel := following && r.shouldBeSentinel(now)
		if r.sentinel.Swap(sentinel) != sentinel {
			r.logger.Info("sentinel role changed", "sentinel", sentinel)
			if sentinel {
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
		// The other daemons of the zone are not known yet.
		return false
	}
	if r.settings.Peers.Bootstrap && now.Sub(r.state.started) < discoveryTimeout {
		// No daemon has written an entry yet, so those of the zone have to exchange reports first.
		// If each of them followed the store until then, the first start of 295 daemons would cost
		// 4 more calls for each.
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

// otherFollows reports whether, according to recent reports, another daemon of the zone follows the
// store, or may be about to. Of two that follow, the one with the later name stops.
func (r *Router) otherFollows(plan gossip.Plan, now time.Time) bool {
	keepsFollowing := r.following.Load() && !r.state.storeUnavailable()
	for _, peer := range r.members.HeardWithin(followerTimeout(r.node.ReportInterval(now)), now) {
		follows := peer.Zone == r.settings.VM.Zone && peer.FollowsStore && !peer.StoreFailing
		if follows && (!keepsFollowing || peer.VM < r.settings.VM.ID) {
			return true
		}
	}
	if now.Sub(r.state.started) >= discoveryTimeout {
		return false
	}
	return slices.ContainsFunc(plan.ReportTo, func(relay gossip.Peer) bool { return !relay.StoreFailing })
}

// shouldTakeOver reports whether no daemon has followed the store for the zone for long enough that
// this daemon should.
func (r *Router) shouldTakeOver(plan gossip.Plan, now time.Time) bool {
	if r.unfollowedSince.IsZero() {
		r.unfollowedSince = now
	}
	failing := slices.ContainsFunc(plan.ReportTo, func(relay gossip.Peer) bool { return relay.Reachable(now) && relay.StoreFailing })
	return now.Sub(r.unfollowedSince) >= takeoverDelay(plan.ZoneRank, failing)
}

const (
	// reportSlack is how late a report may arrive: links within a zone take some milliseconds, and
	// a daemon's timer may fire late.
	reportSlack = 100 * time.Millisecond
	// takeoverBatch is the number of daemons of a zone that try the store first when no daemon
	// follows it, each one takeoverStep after the previous one. The others follow in batches of the
	// same size, one per takeoverRound. All daemons try in batches while the store answers none of
	// the relays: during an outage of 6 s, 295 daemons that all tried made some 4,000 calls.
	takeoverBatch = 8
	takeoverStep  = 50 * time.Millisecond
	takeoverRound = time.Second
)

// followerTimeout is how long the daemon that follows the store for a zone may be silent until
// another one takes over: one and a half report intervals. While no daemon follows, the zone does
// not learn which servers leave, which it must within half of the drain bound. If one report is
// lost, two daemons follow for a while, at the cost of a few calls.
func followerTimeout(round time.Duration) time.Duration { return round + round/2 + reportSlack }

// takeoverDelay returns how long a daemon waits before it follows the store once no daemon of its
// zone does: those of a lower rank may do so first. failing is set if relays are reachable that the
// store does not answer; they keep trying.
func takeoverDelay(zoneRank int, failing bool) time.Duration {
	delay := time.Duration(zoneRank/takeoverBatch) * takeoverRound
	switch {
	case failing:
		return delay + takeoverRound
	case zoneRank < takeoverBatch:
		return time.Duration(max(0, zoneRank-1)) * takeoverStep
	}
	return delay
}

// shouldBeSentinel reports whether this daemon is the first one by name among the reachable daemons
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
