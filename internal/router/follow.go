package router

import (
	"context"
	"time"

	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/platform"
)

const (
	// sentinelWait is how long the watches of the sentinel wait. A watch can go
	// deaf without a sign; a change has to be in force everywhere within 2 s.
	sentinelWait = time.Second
	// otherWait is how long the watches of the other daemons wait. Each call is
	// paid for, and what their watches miss the sentinel tells them.
	otherWait = 15 * time.Second
	// roleTick is how often a daemon looks whether it is the sentinel.
	roleTick = 200 * time.Millisecond
)

// follow makes the followers of the configuration and of the backend servers.
func (r *Router) follow() {
	options := store.FollowOptions{Wait: r.watchWait, OnCompacted: r.relist}
	r.configs = store.NewFollower(r.objects, platform.KindConfig, configConsumer{r.state}, r.logger, options)
	r.servers = store.NewFollower(r.objects, platform.KindServers, serverConsumer{r.state}, r.logger, options)
}

func (r *Router) watchWait() time.Duration {
	if r.sentinel.Load() {
		return sentinelWait
	}
	return otherWait
}

// relist makes every follower list anew.
func (r *Router) relist() {
	r.configs.Refresh(true)
	r.servers.Refresh(true)
}

// watchRole keeps the role of sentinel: the first of the daemons that hear each
// other and that the store answers. On each side of a partition there is one.
func (r *Router) watchRole(ctx context.Context) {
	ticker := time.NewTicker(roleTick)
	defer ticker.Stop()
	for {
		first := r.isFirst()
		if r.sentinel.Swap(first) != first {
			r.logger.Info("role of sentinel changed", "sentinel", first)
			if first {
				r.configs.Refresh(false)
				r.servers.Refresh(false)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Router) isFirst() bool {
	if r.state.failing() || r.draining.Load() {
		return false
	}
	for _, peer := range r.members.Heard(time.Now()) {
		if !peer.Draining && !peer.StoreFailing && peer.VM < r.settings.VM.ID {
			return false
		}
	}
	return true
}
