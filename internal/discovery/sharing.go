package discovery

import (
	"math"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/vmlist"
)

const (
	// minSenders is the least number of daemons that share a server's limit, and sendersPerRequestRate how many
	// more for each request a second. Each may send one request at once beside its part.
	minSenders            = 2
	sendersPerRequestRate = 2
)

// sender is a daemon that may have a part of a server's limit, with what its callers ask for, in
// requests a second.
type sender struct {
	vm     vmlist.VM
	demand float64
}

// totalDemand returns what the callers of some daemons ask for together, in requests a second.
func totalDemand(senders []sender) float64 {
	sum := 0.0
	for _, s := range senders {
		sum += s.demand
	}
	return sum
}

// updateQuotas recomputes this daemon's parts when the daemons, or what their callers ask for, change;
// the caller holds the lock.
func (r *Registry) updateQuotas(now time.Time) {
	for _, s := range r.servers {
		if s.limit.Limited {
			r.updateQuota(s, now)
		}
	}
}

// updateQuota sets this daemon's part of a server's limit; the caller holds the lock. Few daemons share
// it, the same at every daemon: of equal parts for all, many daemons would wait for minutes to send
// their first request. Their parts are as large as what their callers ask for, so that none lies idle.
func (r *Registry) updateQuota(s *server, now time.Time) {
	s.quota.refill(now)
	s.quota.rate = 0
	senders := r.sendersOf(s)
	if len(senders) == 0 {
		s.quota.rate = max(minServerRate, s.limit.Rate)
		return
	}
	for _, one := range senders {
		if one.vm.ID == r.self {
			s.quota.rate = max(minServerRate, s.limit.Rate) * one.demand / totalDemand(senders)
		}
	}
}

// sendersOf returns the daemons that share a server's limit: those of its availability zone, where
// their callers ask for as much as it takes, or of all.
func (r *Registry) sendersOf(s *server) []sender {
	var all []sender
	for _, daemon := range r.topDaemons(s.vm.Service) {
		all = append(all, sender{vm: r.daemons[daemon], demand: r.demands[s.vm.Service][daemon].requestsPerSecond})
	}
	near := slices.DeleteFunc(slices.Clone(all), func(d sender) bool { return d.vm.Zone != s.vm.Zone })
	switch {
	case len(all) == 0:
		return selectSenders(s, equalSenders(r.daemonsNear(s.vm.Zone)))
	case totalDemand(near) < s.limit.Rate:
		return selectSenders(s, all)
	}
	return selectSenders(s, near)
}

// selectSenders returns the first of some daemons by rendezvous hashing, as many as share the server's
// limit, and more where their callers ask for less than it.
func selectSenders(s *server, pool []sender) []sender {
	byID := map[string]sender{}
	var vms []vmlist.VM
	for _, one := range pool {
		byID[one.vm.ID] = one
		vms = append(vms, one.vm)
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

// equalSenders returns daemons of whose callers nothing is known, with equal parts.
func equalSenders(daemons []vmlist.VM) []sender {
	var equal []sender
	for _, vm := range daemons {
		equal = append(equal, sender{vm: vm, demand: 1})
	}
	return equal
}

// daemonsNear returns the live daemons of an availability zone, whose requests go to its servers first, or
// all if it has none. The caller holds the lock.
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
