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

// versionsInterval is the time between two comparisons of versions, and between two evaluations by
// the lease holder of the next step. While a bad version runs, each interval costs some requests.
const versionsInterval = 100 * time.Millisecond

// stateRetryInterval is the time between two attempts to write the state of roll-outs while the
// store refuses. Each call is paid for, and the state has to be written within a second of the
// store's return.
const stateRetryInterval = 500 * time.Millisecond

// orderConsumer applies the roll-out orders that are read from the store.
type orderConsumer struct{ *Router }

// Replace implements store.Consumer.
func (c orderConsumer) Replace(page store.Page, _ bool) {
	now := time.Now()
	var orders []rollout.Order
	var invalid []string
	for _, object := range page.Objects {
		order, err := platform.DecodeRollOut(object)
		if err != nil {
			c.badObjects.record(err, now)
			invalid = append(invalid, object.Name)
			continue
		}
		orders = append(orders, order)
	}
	c.rollOuts.ReplaceOrders(orders, invalid, page.Revision, now)
	c.versionsUnused.Store(true)
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
			// The previous order stays in force.
			c.badObjects.record(err, now)
			continue
		}
		c.applyOrder(order, "store", now)
	}
	c.versionsUnused.Store(true)
	c.applyVersions(now)
	c.node.TriggerReport()
}

// Advance implements store.Consumer.
func (c orderConsumer) Advance(revision int64, _ time.Time, failing bool) {
	if !failing {
		c.rollOuts.AdvanceRevision(revision)
	}
}

// applyOrder applies an order and logs it if it is new or has changed.
func (r *Router) applyOrder(order rollout.Order, source string, now time.Time) {
	if r.rollOuts.ApplyOrder(order, now) {
		r.logger.Info("roll-out", "service", order.Service, "version", order.Version, "state", order.State.String(),
			"duration_ms", order.Duration.Milliseconds(), "revision", order.Revision, "source", source)
	}
}

// mergeRollOuts merges the orders that another daemon reports.
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

// logHalts logs the versions that were halted.
func (r *Router) logHalts(halts []rollout.Halt) {
	for _, halt := range halts {
		r.logger.Warn("version halted, no more requests are sent to it", "service", halt.Order.Service, "version", halt.Order.Version, "why", halt.Reason,
			"answers", halt.Answers, "revision", halt.Order.Revision)
	}
	if len(halts) > 0 {
		r.node.TriggerReport()
	}
}

// applyVersions updates which versions of each service may be used.
func (r *Router) applyVersions(now time.Time) {
	if !r.rollOuts.Enabled() {
		return
	}
	r.initStableVersions(now)
	r.setVersions(now)
	if r.state.Catalog() != nil && r.versionsUnused.Swap(false) {
		r.admitVersions(now)
	}
}

func (r *Router) setVersions(now time.Time) {
	for service, v := range r.rollOuts.Versions(now) {
		r.state.view.SetVersions(service, backend.Versions{Enforced: true, Stable: v.Stable, Unordered: v.Unordered, Candidate: v.Candidate, AllCandidates: v.AllServers})
	}
}

// admitVersions allows requests to versions whose servers serve without an order.
func (r *Router) admitVersions(now time.Time) {
	newest := int64(0)
	for _, unused := range r.state.view.UnusedVersions() {
		if r.rollOuts.Admit(unused.Service, unused.Version, unused.Newest) {
			r.logger.Info("version serves without an order", "service", unused.Service, "version", unused.Version, "revision", unused.Newest)
		}
		newest = max(newest, unused.Newest)
	}
	r.setVersions(now)
	if newest > r.rollOuts.Revision() {
		r.versionsUnused.Store(true)
		r.refreshOrders(newest)
	}
}

// initStableVersions sets the stable version of services that have none yet, based on the listed
// servers.
func (r *Router) initStableVersions(now time.Time) {
	c := r.state.Catalog()
	if c == nil {
		return
	}
	withoutStable := map[string]map[string]int{}
	for service := range c.Services {
		if !r.rollOuts.StableKnown(service) {
			withoutStable[service] = map[string]int{}
		}
	}
	if len(withoutStable) == 0 {
		return
	}
	for _, count := range r.state.view.CountVersions(r.rollOuts.Revision(), now) {
		if servers, lacksStable := withoutStable[count.Service]; lacksStable {
			servers[count.Version] += count.Servers
		}
	}
	for service, servers := range withoutStable {
		r.rollOuts.SetInitialStable(service, servers)
	}
}

// refreshOrders lists the roll-outs at once if servers that may not be used are newer than the known
// orders, up to the given revision. The watch reports only at its end that there are no other orders.
func (r *Router) refreshOrders(newest int64) {
	refreshedFor := r.ordersRefreshedFor.Load()
	known := r.rollOuts.Revision()
	if newest <= max(refreshedFor, known) || !r.following.Load() {
		return
	}
	if known == 0 {
		// The first list is under way.
		return
	}
	if r.ordersRefreshedFor.CompareAndSwap(refreshedFor, newest) {
		r.orderFollower.Refresh(true)
	}
}

// watchVersions compares the versions while a roll-out is active.
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

// versionSums returns the results of the versions over all reachable daemons.
func (s *state) versionSums(now time.Time) rollout.Tallies {
	if s.currentLeader(now) == "" {
		return s.aggregator.All(now).Versions
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader.versions
}

// versionUnsettled reports whether a service is being moved to another version.
func (r *Router) versionUnsettled(service string) bool {
	return r.rollOuts.Enabled() && r.rollOuts.VersionUnsettled(service)
}

// driveRollOuts advances the roll-outs while this daemon holds the lease.
func (r *Router) driveRollOuts(ctx context.Context) {
	ticker := time.NewTicker(versionsInterval)
	defer ticker.Stop()
	var failedAt time.Time
	for {
		select {
		case now := <-ticker.C:
			token, holds := r.elector.Token()
			if !holds {
				continue
			}
			changes := r.rollOuts.Advance(token.Fence, r.fleetAt(now), now)
			if now.Sub(failedAt) < stateRetryInterval {
				continue
			}
			for _, change := range changes {
				if !r.writeState(ctx, change) {
					failedAt = time.Now()
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// fleetAt returns a function that counts the servers of the candidate and the requests in flight at
// all others.
func (r *Router) fleetAt(now time.Time) rollout.FleetFunc {
	return func(service, _, candidate string) rollout.Fleet {
		var fleet rollout.Fleet
		for _, count := range r.state.view.CountVersions(math.MaxInt64, now) {
			switch {
			case count.Service != service:
			case count.Version == candidate:
				fleet.CandidateServers = count.Servers
			default:
				fleet.StableInFlight += count.Running
			}
		}
		return fleet
	}
}

// writeState writes the state of a roll-out, if the order has not changed in the store, and applies
// the order that the store has afterwards. It returns false if that is unknown.
func (r *Router) writeState(ctx context.Context, change rollout.StateChange) bool {
	order := change.Order
	object, err := r.objectStore.ReplaceStatus(ctx, platform.KindRollOuts, order.Service, order.Revision, platform.EncodeRollOutStatus(order, change.State))
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotFound) {
		// Another daemon has written, or the write succeeded and its response was lost.
		r.logger.Warn("failed to write roll-out state", "service", order.Service, "state", change.State.String(), "error", err)
		object, err = r.objectStore.Get(ctx, platform.KindRollOuts, order.Service)
	}
	now := time.Now()
	if errors.Is(err, store.ErrNotFound) {
		r.rollOuts.Withdraw(order.Service, order.Revision+1, now)
		return true
	}
	if err != nil {
		r.logger.Warn("failed to read roll-out", "service", order.Service, "error", err)
		return false
	}
	current, err := platform.DecodeRollOut(object)
	if err != nil {
		r.badObjects.record(err, now)
		return false
	}
	r.logger.Info("roll-out state written", "service", order.Service, "version", order.Version, "state", change.State.String(), "why", change.Reason, "revision", object.Revision)
	r.applyOrder(current, "own write", now)
	r.applyVersions(now)
	r.node.TriggerReport()
	return true
}
