package router

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/rollout"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/platform"
)

// versionsInterval is how often versions are compared, and how often the holder of the lease
// looks at what is next: a bad version costs some requests for each.
const versionsInterval = 100 * time.Millisecond

// stateRetryInterval is the time between two tries to write how far roll-outs are, while the store
// refuses: each call is paid for, and it has to be written within a second of the store's
// return.
const stateRetryInterval = 500 * time.Millisecond

// orderConsumer takes the orders to move services to other versions from the store.
type orderConsumer struct{ *Router }

// Replace implements store.Consumer.
func (c orderConsumer) Replace(page store.Page, _ bool) {
	now := time.Now()
	var orders []rollout.Order
	var unread []string
	for _, object := range page.Objects {
		order, err := platform.DecodeRollOut(object)
		if err != nil {
			c.badObjects.record(err, now)
			unread = append(unread, object.Name)
			continue
		}
		orders = append(orders, order)
	}
	c.rollOuts.ReplaceOrders(orders, unread, page.Revision, now)
	c.applyVersions(now)
}

// Apply implements store.Consumer.
func (c orderConsumer) Apply(events []store.Event, _ int64) {
	now := time.Now()
	for _, event := range events {
		if event.Deleted {
			c.rollOuts.Withdraw(event.Object.Name, event.Object.Revision, now)
			continue
		}
		order, err := platform.DecodeRollOut(event.Object)
		if err != nil {
			// What stood there before stays in force.
			c.badObjects.record(err, now)
			continue
		}
		c.applyOrder(order, "store", now)
	}
	c.applyVersions(now)
	c.node.TriggerReport()
}

// Advance implements store.Consumer.
func (c orderConsumer) Advance(revision int64, _ time.Time, failing bool) {
	if !failing {
		c.rollOuts.AdvanceRevision(revision)
	}
}

// applyOrder takes over an order and writes down what is new of it.
func (r *Router) applyOrder(order rollout.Order, source string, now time.Time) {
	if r.rollOuts.ApplyOrder(order, now) {
		r.logger.Info("roll-out", "service", order.Service, "version", order.Version, "state", order.State.String(),
			"duration_ms", order.Duration.Milliseconds(), "revision", order.Revision, "source", source)
	}
}

// mergeRollOuts takes over what another daemon tells of the orders.
func (r *Router) mergeRollOuts(status *gossippb.Status, now time.Time) {
	if !r.rollOuts.Enabled() {
		return
	}
	halts := r.rollOuts.Merge(decodeRollOuts(status.GetRollOuts()), status.GetRollOutsRead(), now)
	if len(halts) > 0 {
		r.logHalts(halts)
		r.applyVersions(now)
	}
}

// logHalts writes down versions that get nothing more.
func (r *Router) logHalts(halts []rollout.Halt) {
	for _, halt := range halts {
		r.logger.Warn("version gets nothing more", "service", halt.Order.Service, "version", halt.Order.Version, "why", halt.Reason,
			"answers", halt.Answers, "revision", halt.Order.Revision)
	}
	if len(halts) > 0 {
		r.node.TriggerReport()
	}
}

// applyVersions takes over which versions of each service may be used.
func (r *Router) applyVersions(now time.Time) {
	if !r.rollOuts.Enabled() {
		return
	}
	r.initStableVersions(now)
	for service, v := range r.rollOuts.Versions(now) {
		r.state.view.SetVersions(service, backend.Versions{Enforced: true, Stable: v.Stable, Candidate: v.Candidate, AllCandidates: v.AllServers})
	}
}

// initStableVersions names the stable version of services that have none yet, by the servers that
// are listed.
func (r *Router) initStableVersions(now time.Time) {
	c := r.state.Catalog()
	if c == nil {
		return
	}
	unnamed := map[string]map[string]int{}
	for service := range c.Services {
		if !r.rollOuts.StableKnown(service) {
			unnamed[service] = map[string]int{}
		}
	}
	if len(unnamed) == 0 {
		return
	}
	for _, count := range r.state.view.CountVersions(r.rollOuts.Revision(), now) {
		if found, wanted := unnamed[count.Service]; wanted {
			found[count.Version] += count.Servers
		}
	}
	for service, found := range unnamed {
		r.rollOuts.SetInitialStable(service, found)
	}
	r.refreshOrders(unnamed)
}

// refreshOrders lists the roll-outs at once where servers of services that have no version yet are
// newer than the orders that are known: the watch reports at its end only that there are no others.
func (r *Router) refreshOrders(unnamed map[string]map[string]int) {
	newest := r.state.view.NewestRevision(func(service string) bool { return unnamed[service] != nil })
	asked := r.ordersRefreshedFor.Load()
	if newest <= max(asked, r.rollOuts.Revision()) || !r.following.Load() {
		return
	}
	if r.ordersRefreshedFor.CompareAndSwap(asked, newest) {
		r.orderFollower.Refresh(true)
	}
}

// watchVersions compares the versions while a roll-out runs.
func (r *Router) watchVersions(ctx context.Context) {
	ticker := time.NewTicker(versionsInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if r.rollOuts.Active() {
				r.logHalts(r.rollOuts.Observe(r.state.versionSums(now), now))
			}
			r.applyVersions(now)
		case <-ctx.Done():
			return
		}
	}
}

// versionSums returns how the versions answered at all daemons that are heard.
func (s *state) versionSums(now time.Time) rollout.Tallies {
	if s.currentLeader(now) == "" {
		return s.aggregator.All(now).Versions
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader.versions
}

// versionUnsettled reports whether a service is on its way to another version.
func (r *Router) versionUnsettled(service string) bool {
	return r.rollOuts.Enabled() && r.rollOuts.VersionUnsettled(service)
}

// driveRollOuts moves the roll-outs on while this daemon holds the lease.
func (r *Router) driveRollOuts(ctx context.Context) {
	ticker := time.NewTicker(versionsInterval)
	defer ticker.Stop()
	var refused time.Time
	for {
		select {
		case now := <-ticker.C:
			right, holds := r.elector.Token()
			if !holds {
				continue
			}
			outcomes := r.rollOuts.Advance(right.Fence, r.fleetAt(now), now)
			if now.Sub(refused) < stateRetryInterval {
				continue
			}
			for _, outcome := range outcomes {
				if !r.writeState(ctx, outcome) {
					refused = time.Now()
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// fleetAt returns what the holder sees of a service's servers.
func (r *Router) fleetAt(now time.Time) rollout.FleetFunc {
	return func(service, stable, candidate string) rollout.Fleet {
		var fleet rollout.Fleet
		for _, count := range r.state.view.CountVersions(math.MaxInt64, now) {
			switch {
			case count.Service != service:
			case count.Version == candidate:
				fleet.CandidateServers = count.Servers
			case count.Version == stable:
				fleet.StableInFlight = count.Running
			}
		}
		return fleet
	}
}

// writeState writes how far a roll-out is, if the order is still as it was. What the store
// then has is taken over. It returns false where nothing is known of that.
func (r *Router) writeState(ctx context.Context, outcome rollout.StateChange) bool {
	order := outcome.Order
	object, err := r.objectStore.ReplaceStatus(ctx, platform.KindRollOuts, order.Service, order.Revision, platform.EncodeRollOutStatus(order, outcome.State))
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotFound) {
		// Another has written, or the write was carried out and its answer lost.
		r.logger.Warn("state of a roll-out not written", "service", order.Service, "state", outcome.State.String(), "error", err)
		object, err = r.objectStore.Get(ctx, platform.KindRollOuts, order.Service)
	}
	now := time.Now()
	if errors.Is(err, store.ErrNotFound) {
		r.rollOuts.Withdraw(order.Service, order.Revision+1, now)
		return true
	}
	if err != nil {
		r.logger.Warn("roll-out cannot be read", "service", order.Service, "error", err)
		return false
	}
	standing, err := platform.DecodeRollOut(object)
	if err != nil {
		r.badObjects.record(err, now)
		return false
	}
	r.logger.Info("state of a roll-out written", "service", order.Service, "version", order.Version, "state", outcome.State.String(), "why", outcome.Reason, "revision", object.Revision)
	r.applyOrder(standing, "own write", now)
	r.applyVersions(now)
	r.node.TriggerReport()
	return true
}
