package discovery

import (
	"math"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/vmlist"
)

const (
	// minSenders is the least number of daemons that share a server's limit. sendersPerRequestRate
	// is how many more share it for each request per second of the limit. Each daemon may send one
	// request at once beyond its quota.
	minSenders            = 2
	sendersPerRequestRate = 2
)

// sender is a daemon that may get a share of a server's limit, with the demand of its callers in
// requests per second.
type sender struct {
	vm     vmlist.VM
	demand float64
}

// totalDemand returns the sum of the senders' demands, in requests per second.
func totalDemand(senders []sender) float64 {
	sum := 0.0
	for _, s := range senders {
		sum += s.demand
	}
	return sum
}

// updateQuotas recomputes this daemon's quotas after a change of the daemons or of their demands.
// The caller must hold the lock.
func (r *Registry) updateQuotas(now time.Time) {
	for _, s := range r.servers {
		if s.limit.Limited {
			r.updateQuota(s, now)
		}
	}
}

// updateQuota sets this daemon's quota of a server's limit. Only a few daemons share a limit, and
// every daemon selects the same ones: with equal shares for all, many daemons would wait for
// minutes to send their first request. Quotas are proportional to demand, so that none stays
// unused. The caller must hold the lock.
func (r *Registry) updateQuota(s *server, now time.Time) {
	s.quota.refill(now)
	s.quota.rate = 0
	senders := r.sendersOf(s)
	if len(senders) == 0 {
		s.quota.rate = max(minServerRate, s.limit.Rate)
		return
	}
	for _, candidate := range senders {
		if candidate.vm.ID == r.self {
			s.quota.rate = max(minServerRate, s.limit.Rate) * candidate.demand / totalDemand(senders)
		}
	}
}

// sendersOf returns the daemons that share a server's limit: those of the server's availability
// zone if their demand reaches the limit, otherwise those of all zones. The caller must hold the
// lock.
func (r *Registry) sendersOf(s *server) []sender {
	var all []sender
	for _, daemon := range r.topDaemons(s.vm.Service) {
		all = append(all, sender{vm: r.daemons[daemon], demand: r.demands[s.vm.Service][daemon].requestsPerSecond})
	}
	local := slices.DeleteFunc(slices.Clone(all), func(d sender) bool { return d.vm.Zone != s.vm.Zone })
	switch {
	case len(all) == 0:
		return selectSenders(s, equalSenders(r.daemonsNear(s.vm.Zone)))
	case totalDemand(local) < s.limit.Rate:
		return selectSenders(s, all)
	}
	return selectSenders(s, local)
}

// selectSenders returns the daemons of a pool that rank first by rendezvous hashing. It returns as
// many as share the server's limit, and more if their demand is below the limit.
func selectSenders(s *server, pool []sender) []sender {
	byID := map[string]sender{}
	var vms []vmlist.VM
	for _, candidate := range pool {
		byID[candidate.vm.ID] = candidate
		vms = append(vms, candidate.vm)
	}
	wanted := minSenders + int(math.Min(float64(len(pool)), sendersPerRequestRate*s.limit.Rate))
	var senders []sender
	for _, vm := range vmlist.RendezvousOrder(s.vm.ID, vms) {
		if len(senders) >= wanted && totalDemand(senders) >= s.limit.Rate {
			break
		}
		senders = append(senders, byID[vm.ID])
	}
	return senders
}

// equalSenders returns senders with equal shares, for daemons whose demand is unknown.
func equalSenders(daemons []vmlist.VM) []sender {
	var equal []sender
	for _, vm := range daemons {
		equal = append(equal, sender{vm: vm, demand: 1})
	}
	return equal
}

// daemonsNear returns the live daemons of an availability zone, which send to its servers first, or
// all live daemons if the zone has none. The caller must hold the lock.
func (r *Registry) daemonsNear(zone string) []vmlist.VM {
	var near, live []vmlist.VM
	for _, daemon := range r.daemons {
		if daemon.State != vmlist.VMLive {
			continue
		}
		live = append(live, daemon)
		if daemon.Zone == zone {
			near = append(near, daemon)
		}
	}
	if len(near) > 0 {
		return near
	}
	return live
}
