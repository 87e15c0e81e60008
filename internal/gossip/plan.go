package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// relaysPerZone is the number of relays of a zone, to which all its other daemons
	// report: one that sends the totals and one that can take over at once.
	relaysPerZone = 2
	// maxRelaysPerZone is the maximum number of relays while the store does not answer
	// some of them.
	maxRelaysPerZone = 4
)

// Plan is a daemon's current role in the gossip. Each daemon computes its plan from its
// own member list without coordination. While the lists differ, some daemons send more
// than necessary.
type Plan struct {
	// Relay is set for a relay of the zone. Leader is set for the first relay, which
	// sends the totals. LeaderVM is its VM.
	Relay, Leader bool
	LeaderVM      string
	// FollowsStore is set for the relay that follows the store: the first one that the
	// store answers. If the store answers none, all relays try.
	FollowsStore bool
	// ReportTo holds the relays of the zone other than this daemon.
	ReportTo []Peer
	// ZonePeers holds the other daemons of the zone. It is set for relays, and for a
	// daemon that follows the store in place of relays that have become silent.
	ZonePeers []Peer
	// RemoteRelays holds the relays of other zones, and daemons to probe in unreachable
	// zones. It is set for the leader.
	RemoteRelays []Peer
	// DutyRank is this daemon's zero-based rank among the daemons that may act for the
	// whole deployment: first the relays of all zones, then the others.
	DutyRank int
	// ZoneRank is this daemon's zero-based rank in its zone.
	ZoneRank int
}

// LocalState is the state of the local daemon that its plan depends on.
type LocalState struct{ StoreFailing, Draining, FollowsStore, ServersUnreachable bool }

// Plan returns the current role of the local daemon.
func (m *Members) Plan(self LocalState, now time.Time) Plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := m.candidates(self, now)
	relays := map[string][]Peer{}
	for name, daemons := range zones {
		sortForRelaying(daemons)
		relays[name] = pickRelays(daemons)
	}
	var plan Plan
	own := relays[m.self.Zone]
	if len(own) > 0 {
		plan.LeaderVM = own[0].VM
	}
	plan.Leader = plan.LeaderVM == m.self.VM
	firstAnswered := slices.IndexFunc(own, func(p Peer) bool { return !p.StoreFailing })
	for i, p := range own {
		if p.VM == m.self.VM {
			plan.Relay = true
			plan.FollowsStore = firstAnswered < 0 || firstAnswered == i
			continue
		}
		plan.ReportTo = append(plan.ReportTo, p)
	}
	if plan.Relay || self.FollowsStore {
		plan.ZonePeers = m.zonePeers(now)
	}
	if plan.Leader {
		plan.RemoteRelays = append(remoteRelays(relays, m.self.Zone), m.probeTargets(zones, now)...)
	}
	plan.ZoneRank = max(0, slices.IndexFunc(zones[m.self.Zone], func(p Peer) bool { return p.VM == m.self.VM }))
	plan.DutyRank = m.dutyRank(zones[m.self.Zone], relays, plan.Relay)
	return plan
}

// candidates returns the daemons of each zone that may be relays: those that are not
// draining or, if all are draining, all of them. The caller holds the lock.
func (m *Members) candidates(self LocalState, now time.Time) map[string][]Peer {
	staying, draining := map[string][]Peer{}, map[string][]Peer{}
	add := func(p Peer) {
		if p.Draining {
			draining[p.Zone] = append(draining[p.Zone], p)
			return
		}
		staying[p.Zone] = append(staying[p.Zone], p)
	}
	for _, p := range m.peers {
		if now.Sub(p.lastSeen()) < forgetAfter && !p.suspected(now) {
			add(p.Peer)
		}
	}
	add(Peer{VM: m.self.VM, Zone: m.self.Zone, Capacity: m.self.Capacity, StoreFailing: self.StoreFailing, Draining: self.Draining})
	for name, daemons := range draining {
		if len(staying[name]) == 0 {
			staying[name] = daemons
		}
	}
	return staying
}

// probeRotation is how long a leader sends to the same daemons of an unreachable zone.
const probeRotation = time.Second

// probeTargets returns daemons to send to in zones that have no candidate. Such a
// zone may be partitioned, and if neither side sends, neither detects that the partition
// has ended. The targets rotate because some of the daemons may be gone for good. The
// caller holds the lock.
func (m *Members) probeTargets(candidates map[string][]Peer, now time.Time) []Peer {
	silent := map[string][]Peer{}
	for _, p := range m.peers {
		if len(candidates[p.Zone]) == 0 && now.Sub(p.lastSeen()) < forgetAfter {
			silent[p.Zone] = append(silent[p.Zone], p.Peer)
		}
	}
	var targets []Peer
	for _, zone := range slices.Sorted(maps.Keys(silent)) {
		peers := silent[zone]
		slices.SortFunc(peers, compareByVM)
		first := int(now.UnixNano() / int64(probeRotation) % int64(len(peers)))
		for i := range min(relaysPerZone, len(peers)) {
			targets = append(targets, peers[(first+i)%len(peers)])
		}
	}
	return targets
}

// sortForRelaying sorts the daemons of a zone into the order in which they become relays: by capacity,
// the largest first, and then by VM. A small VM's link drops much of what the daemons of a large zone
// send to it at once. While the capacity of one of them is not known, all are ordered by VM, as
// daemons of earlier versions do.
func sortForRelaying(daemons []Peer) {
	byVM := slices.ContainsFunc(daemons, func(p Peer) bool { return p.Capacity == 0 })
	slices.SortFunc(daemons, func(a, b Peer) int {
		if byVM || a.Capacity == b.Capacity {
			return compareByVM(a, b)
		}
		return cmp.Compare(b.Capacity, a.Capacity)
	})
}

// pickRelays returns the first daemons of a zone, plus one more for each that the store
// does not answer.
func pickRelays(daemons []Peer) []Peer {
	wanted := relaysPerZone
	var relays []Peer
	for _, p := range daemons {
		if len(relays) == min(wanted, maxRelaysPerZone) {
			break
		}
		if p.StoreFailing {
			wanted++
		}
		relays = append(relays, p)
	}
	return relays
}

// zonePeers returns all other daemons of the zone, including silent ones. The caller
// holds the lock.
func (m *Members) zonePeers(now time.Time) []Peer {
	var peers []Peer
	for _, p := range m.peers {
		if p.Zone == m.self.Zone && now.Sub(p.lastSeen()) < forgetAfter {
			peers = append(peers, p.Peer)
		}
	}
	slices.SortFunc(peers, compareByVM)
	return peers
}

func remoteRelays(relays map[string][]Peer, own string) []Peer {
	var remote []Peer
	for _, name := range slices.Sorted(maps.Keys(relays)) {
		if name != own {
			remote = append(remote, relays[name]...)
		}
	}
	return remote
}

// dutyRank counts the daemons that rank before the local one.
func (m *Members) dutyRank(zone []Peer, relays map[string][]Peer, relay bool) int {
	rank := 0
	for _, peers := range relays {
		for _, p := range peers {
			if !p.StoreFailing && p.VM != m.self.VM && (!relay || p.VM < m.self.VM) {
				rank++
			}
		}
	}
	if relay {
		return rank
	}
	for _, p := range zone {
		if p.VM < m.self.VM {
			rank++
		}
	}
	return rank
}

// relayCandidates returns the first daemons of a zone that may be relays.
func (m *Members) relayCandidates(zone string, now time.Time) []Peer {
	peers := m.filter(func(p *member) bool {
		return p.Zone == zone && !p.Draining && !p.suspected(now) && now.Sub(p.lastSeen()) < forgetAfter
	})
	sortForRelaying(peers)
	return peers[:min(len(peers), maxRelaysPerZone)]
}

// inRelayOrder returns the known peers, those of each zone in the order in which they become relays.
func (m *Members) inRelayOrder(now time.Time) []Peer {
	zones := map[string][]Peer{}
	for _, p := range m.Known(now) {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	var all []Peer
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		sortForRelaying(zones[name])
		all = append(all, zones[name]...)
	}
	return all
}

// hintAddresses returns the addresses to report to while no daemon is reachable.
func (m *Members) hintAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.hints))
}
