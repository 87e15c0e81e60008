package gossip

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// unreachableAfter is how long after its last datagram a peer counts as unreachable:
	// three reports plus the delay of a slow link.
	unreachableAfter = 1500 * time.Millisecond
	// sendUsesFor is how long after a daemon began to count it is sent the usage from
	// before that time: seven reports of a large deployment.
	sendUsesFor = 3 * time.Second
	// forgetAfter is how long a silent peer still counts as a daemon of the deployment.
	// Until then its share of shared limits stays unused.
	forgetAfter = 30 * time.Second
)

// Peer describes another daemon, as of its last report.
type Peer struct {
	VM      string
	Zone    string
	Address string
	// Capacity is how many Mbit/s the daemon can relay, or zero if it is not known.
	Capacity uint32
	// Incarnation identifies the peer's process.
	Incarnation uint64
	// CountingFor is for how long the workspaces' usage had been counted without a gap at
	// the peer's last report.
	CountingFor time.Duration
	// ConfigVersion and ServersRevision are the versions that the peer has.
	ConfigVersion   int64
	ServersRevision int64
	// Fence is the fencing number of the lease that the peer holds, or zero.
	Fence    int64
	Draining bool
	// StoreFailing is set while the store does not answer the peer.
	StoreFailing bool
	// FollowsStore is set while the peer follows the store on behalf of its zone.
	FollowsStore bool
	// ServersUnreachable is set while the peer's links to the backend servers have failed.
	ServersUnreachable bool
	// StreamAssignment is one more than the serial of the assignment of streams to versions that the
	// peer has adopted, or zero.
	StreamAssignment int64
	// LastHeardAt is when the peer's last datagram arrived. LastLearnedAt is when another
	// daemon last listed the peer.
	LastHeardAt   time.Time
	LastLearnedAt time.Time
}

// Identity identifies the local daemon. Capacity is that of Peer.
type Identity struct {
	VM, Zone, Address string
	Capacity          uint32
}

// Members holds the daemons that the local daemon knows. It is safe for concurrent use.
type Members struct {
	self Identity

	mu    sync.Mutex
	peers map[string]*member
	// hints are addresses at which daemons may be found.
	hints map[string]bool
	// helpers are daemons of other zones that reach the backend servers, by VM.
	helpers map[string]helper
}

type member struct {
	Peer
	sequence uint64
	// unansweredSince is the time of the first report sent to the peer since its last
	// datagram, or zero.
	unansweredSince time.Time
}

// NewMembers returns a member list that starts with only the hint addresses.
func NewMembers(self Identity, hints []string) *Members {
	m := &Members{self: self, peers: map[string]*member{}, hints: map[string]bool{}, helpers: map[string]helper{}}
	for _, address := range hints {
		if address != self.Address {
			m.hints[address] = true
		}
	}
	return m
}

// Listed is an entry in a list of daemons. Its fields are those of Peer.
type Listed struct {
	VM, Zone, Address string
	Capacity          uint32
}

// Learn adds a daemon that another daemon listed as a member.
func (m *Members) Learn(listed Listed, now time.Time) {
	if listed.VM == m.self.VM {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[listed.VM]
	if p == nil {
		p = &member{Peer: Peer{VM: listed.VM, Zone: listed.Zone, Address: listed.Address}}
		m.peers[listed.VM] = p
	}
	if p.Capacity == 0 {
		// Daemons of an earlier version list their peers without capacities.
		p.Capacity = listed.Capacity
	}
	p.LastLearnedAt = now
}

// recordReport stores a report received from the peer itself. fresh is false if the
// report is not newer than the last one; newProcess is set if the process was not known.
func (m *Members) recordReport(report Peer, sequence uint64, now time.Time) (fresh, newProcess bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[report.VM]
	if p == nil {
		p = &member{}
		m.peers[report.VM] = p
	}
	newProcess = p.Incarnation != report.Incarnation
	if !newProcess && sequence <= p.sequence {
		return false, false
	}
	learnedAt := p.LastLearnedAt
	p.Peer, p.sequence, p.unansweredSince = report, sequence, time.Time{}
	p.LastLearnedAt, p.LastHeardAt = learnedAt, now
	delete(m.hints, report.Address)
	return true, newProcess
}

// recordSent records that a report is being sent to a peer.
func (m *Members) recordSent(vm string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[vm]; p != nil && p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
}

// Known returns the peers that count as daemons of the deployment.
func (m *Members) Known(now time.Time) []Peer {
	return m.filter(func(p *member) bool { return now.Sub(p.lastSeen()) < forgetAfter })
}

// Reachable returns the peers that are reachable now. Only the relays of the zone send to
// this daemon or, if it is a relay, all daemons of the zone and the leaders of other zones.
func (m *Members) Reachable(now time.Time) []Peer {
	return m.filter(func(p *member) bool { return p.Reachable(now) })
}

// HeardWithin returns the peers whose last datagram arrived within the given duration.
func (m *Members) HeardWithin(window time.Duration, now time.Time) []Peer {
	return m.filter(func(p *member) bool { return !p.LastHeardAt.IsZero() && now.Sub(p.LastHeardAt) < window })
}

// Reachable reports whether the peer's last datagram is recent enough.
func (p *Peer) Reachable(now time.Time) bool {
	return !p.LastHeardAt.IsZero() && now.Sub(p.LastHeardAt) < unreachableAfter
}

// suspected reports whether the peer has left reports unanswered for unreachableAfter.
func (p *member) suspected(now time.Time) bool {
	return !p.Reachable(now) && !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= unreachableAfter
}

// mayLackUses reports whether the peer may lack the recent usage because its process has
// just started or was suspended.
func (p *Peer) mayLackUses(now time.Time) bool {
	return !p.LastHeardAt.IsZero() && p.CountingFor+now.Sub(p.LastHeardAt) < sendUsesFor
}

// lacksUses reports whether the peer may lack recent usage and uses covers a longer time
// than the peer has counted.
func (p *Peer) lacksUses(uses *gossippb.Uses, now time.Time) bool {
	covered := time.Duration(uses.GetKnownMs()) * time.Millisecond
	return uses != nil && p.mayLackUses(now) && covered > p.CountingFor+now.Sub(p.LastHeardAt)
}

func (p *Peer) lastSeen() time.Time {
	if p.LastHeardAt.After(p.LastLearnedAt) {
		return p.LastHeardAt
	}
	return p.LastLearnedAt
}

func (m *Members) filter(keep func(*member) bool) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []Peer
	for _, p := range m.peers {
		if keep(p) {
			peers = append(peers, p.Peer)
		}
	}
	slices.SortFunc(peers, compareByVM)
	return peers
}

func compareByVM(a, b Peer) int { return cmp.Compare(a.VM, b.VM) }

// maxHints bounds the number of hint addresses. It is the number of daemons per zone at
// the target deployment size.
const maxHints = 64

// Sweep removes peers that have been silent for forgetAfter and returns them. Their
// addresses are kept as hints, so that the zones find each other again after a long
// partition.
func (m *Members) Sweep(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var forgotten []Peer
	for vm, p := range m.peers {
		if now.Sub(p.lastSeen()) >= forgetAfter {
			forgotten = append(forgotten, p.Peer)
			delete(m.peers, vm)
			if len(m.hints) < maxHints {
				m.hints[p.Address] = true
			}
		}
	}
	return forgotten
}
