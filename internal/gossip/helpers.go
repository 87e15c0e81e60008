package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// maxListedHelpers is the number of daemons in one list of helpers.
	maxListedHelpers = 4
	// maxRemoteHelpers bounds the helpers of other zones that a daemon remembers.
	maxRemoteHelpers = 32
	// remoteHelperTTL is how long such a helper is remembered after it was last listed.
	remoteHelperTTL = time.Minute
)

// helper is a daemon of another zone that was listed as reaching the backend servers.
type helper struct {
	Peer
	listedAt time.Time
}

// learnHelpers remembers the listed daemons of other zones.
func (m *Members) learnHelpers(listed []*gossippb.Peer, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range listed {
		if p.GetZone() == m.self.Zone || p.GetVm() == m.self.VM {
			continue
		}
		m.helpers[p.GetVm()] = helper{Peer{VM: p.GetVm(), Zone: p.GetZone(), Address: p.GetAddress()}, now}
	}
	m.forgetHelpers(now)
}

// forgetHelpers removes outdated helpers, and the oldest ones if there are too many. The caller
// holds the lock.
func (m *Members) forgetHelpers(now time.Time) {
	for vm, h := range m.helpers {
		if now.Sub(h.listedAt) >= remoteHelperTTL {
			delete(m.helpers, vm)
		}
	}
	if len(m.helpers) <= maxRemoteHelpers {
		return
	}
	all := m.sortedHelpers()
	slices.SortStableFunc(all, func(a, b helper) int { return a.listedAt.Compare(b.listedAt) })
	for _, h := range all[:len(all)-maxRemoteHelpers] {
		delete(m.helpers, h.VM)
	}
}

func (m *Members) sortedHelpers() []helper {
	all := make([]helper, 0, len(m.helpers))
	for _, h := range m.helpers {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b helper) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

// Helpers returns the daemons that may reach the backend servers: the known ones of this zone and
// some of other zones.
func (m *Members) Helpers(now time.Time) []Peer {
	helpers := m.filter(func(p *member) bool { return p.mayHelp(now) })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetHelpers(now)
	for _, h := range m.sortedHelpers() {
		if m.peers[h.VM] == nil {
			helpers = append(helpers, h.Peer)
		}
	}
	return helpers
}

// mayHelp reports whether the peer may reach the backend servers.
func (p *member) mayHelp(now time.Time) bool {
	return now.Sub(p.lastSeen()) < forgetAfter && !p.Draining && !p.ServersUnreachable && !p.suspected(now)
}

// zoneHelpers returns the helpers that a leader lists in its summaries to other zones: daemons of
// its zone, selected by turn.
func (m *Members) zoneHelpers(self LocalState, turn uint64, now time.Time) []*gossippb.Peer {
	peers := m.filter(func(p *member) bool {
		return p.Zone == m.self.Zone && p.mayHelp(now) && p.Reachable(now)
	})
	if !self.Draining && !self.ServersUnreachable {
		peers = append(peers, Peer{VM: m.self.VM, Zone: m.self.Zone, Address: m.self.Address})
	}
	return selectPeers(peers, turn)
}

// remoteHelpers returns the helpers that a leader lists for its own zone: daemons of other zones,
// selected by turn.
func (m *Members) remoteHelpers(turn uint64, now time.Time) []*gossippb.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetHelpers(now)
	var peers []Peer
	for _, h := range m.sortedHelpers() {
		peers = append(peers, h.Peer)
	}
	return selectPeers(peers, turn)
}

// selectPeers returns maxListedHelpers of the peers, so that successive turns cover all.
func selectPeers(peers []Peer, turn uint64) []*gossippb.Peer {
	if len(peers) == 0 {
		return nil
	}
	count := min(maxListedHelpers, len(peers))
	first := int(turn * maxListedHelpers % uint64(len(peers)))
	var selected []*gossippb.Peer
	for i := range count {
		p := peers[(first+i)%len(peers)]
		selected = append(selected, &gossippb.Peer{Vm: p.VM, Zone: p.Zone, Address: p.Address})
	}
	return selected
}
