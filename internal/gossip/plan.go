package gossip

import (
	"maps"
	"slices"
	"time"
)

const (
	// relaysPerZone is the number of daemons of a zone to which all others of it
	// report: one that relays and one that can take over at once.
	relaysPerZone = 2
	// maxRelaysPerZone bounds them when the store does not answer some.
	maxRelaysPerZone = 4
)

// Plan is a daemon's part in the gossip at a moment. All daemons make theirs from
// what each knows, without asking; while they disagree, some tell too much.
type Plan struct {
	// Relay is set for a relay of the zone, Lead for the first of them, which tells
	// the sums. LeaderVM names it.
	Relay, Leader bool
	LeaderVM      string
	// FollowsStore is set for the relay that follows the store: the first that the store
	// answers. While it answers none, all relays try.
	FollowsStore bool
	// ReportTo are the other relays of the zone.
	ReportTo []Peer
	// ZonePeers are the other daemons of the zone, for a relay to tell, and for who follows the store
	// in place of relays that have fallen silent.
	ZonePeers []Peer
	// RemoteRelays are the relays of other zones, for the lead to tell.
	RemoteRelays []Peer
	// DutyRank is this daemon's place among those that may act for all, from zero:
	// the relays of all zones first, then the others.
	DutyRank int
	// ZoneRank is its place among the daemons of its zone, from zero.
	ZoneRank int
}

// LocalState is what a daemon knows of itself.
type LocalState struct{ StoreFailing, Draining, FollowsStore bool }

// Plan returns the part of this daemon.
func (m *Members) Plan(self LocalState, now time.Time) Plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := m.candidates(self, now)
	relays := map[string][]Peer{}
	for name, daemons := range zones {
		slices.SortFunc(daemons, compareByVM)
		relays[name] = pickRelays(daemons)
	}
	var plan Plan
	own := relays[m.self.Zone]
	if len(own) > 0 {
		plan.LeaderVM = own[0].VM
	}
	plan.Leader = plan.LeaderVM == m.self.VM
	answered := slices.IndexFunc(own, func(p Peer) bool { return !p.StoreFailing })
	for i, p := range own {
		if p.VM == m.self.VM {
			plan.Relay = true
			plan.FollowsStore = answered < 0 || answered == i
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

// candidates returns the daemons of each zone that may relay: those that do not
// drain, or where all do, all. The caller holds the lock.
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
	add(Peer{VM: m.self.VM, Zone: m.self.Zone, StoreFailing: self.StoreFailing, Draining: self.Draining})
	for name, daemons := range draining {
		if len(staying[name]) == 0 {
			staying[name] = daemons
		}
	}
	return staying
}

// probeRotation is how long a lead tells the same daemons of a zone of which it hears none.
const probeRotation = time.Second

// probeTargets returns daemons to tell in other zones of which none is heard: such a zone
// may be cut off, and while nobody tells it anything neither side learns that the cut is
// over. They take turns, since some may have gone for good. The caller holds the lock.
func (m *Members) probeTargets(heard map[string][]Peer, now time.Time) []Peer {
	silent := map[string][]Peer{}
	for _, p := range m.peers {
		if len(heard[p.Zone]) == 0 && now.Sub(p.lastSeen()) < forgetAfter {
			silent[p.Zone] = append(silent[p.Zone], p.Peer)
		}
	}
	var told []Peer
	for _, zone := range slices.Sorted(maps.Keys(silent)) {
		peers := silent[zone]
		slices.SortFunc(peers, compareByVM)
		first := int(now.UnixNano() / int64(probeRotation) % int64(len(peers)))
		for i := range min(relaysPerZone, len(peers)) {
			told = append(told, peers[(first+i)%len(peers)])
		}
	}
	return told
}

// pickRelays returns the first daemons, one more for each that the store does not
// answer.
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

// zonePeers returns all other daemons of the zone, also those that are silent; the
// caller holds the lock.
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
	var far []Peer
	for _, name := range slices.Sorted(maps.Keys(relays)) {
		if name != own {
			far = append(far, relays[name]...)
		}
	}
	return far
}

// dutyRank counts the daemons that may act before this one.
func (m *Members) dutyRank(zone []Peer, relays map[string][]Peer, relay bool) int {
	place := 0
	for _, peers := range relays {
		for _, p := range peers {
			if !p.StoreFailing && p.VM != m.self.VM && (!relay || p.VM < m.self.VM) {
				place++
			}
		}
	}
	if relay {
		return place
	}
	for _, p := range zone {
		if p.VM < m.self.VM {
			place++
		}
	}
	return place
}

// relayCandidates returns the daemons of a zone that come first and may relay.
func (m *Members) relayCandidates(zone string, now time.Time) []Peer {
	peers := m.filter(func(p *member) bool {
		return p.Zone == zone && !p.Draining && !p.suspected(now) && now.Sub(p.lastSeen()) < forgetAfter
	})
	return peers[:min(len(peers), maxRelaysPerZone)]
}

// hintAddresses are asked while no daemon is heard.
func (m *Members) hintAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.hints))
}
