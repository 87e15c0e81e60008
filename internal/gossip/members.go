package gossip

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// unreachableAfter is how long a peer may be unheard before it counts as not
	// reached: three reports and the delay of a slow link.
	unreachableAfter = 1500 * time.Millisecond
	// sendUsesFor is how long a daemon is told what was used before it began to count: seven
	// reports of a large deployment.
	sendUsesFor = 3 * time.Second
	// forgetAfter is how long a silent peer still counts as a daemon of the
	// deployment. Until then its part of shared limits stays unused.
	forgetAfter = 30 * time.Second
)

// Peer is another daemon.
type Peer struct {
	VM      string
	Zone    string
	Address string
	// Incarnation identifies the peer's process.
	Incarnation uint64
	// CountingFor is for how long what the workspaces use had been counted at the peer's last
	// report, without a gap.
	CountingFor time.Duration
	// ConfigVersion and ServersRevision are what the peer believes.
	ConfigVersion   int64
	ServersRevision int64
	// Fence is the fencing number of the lease that the peer holds, or zero.
	Fence    int64
	Draining bool
	// StoreFailing is set while the store does not answer the peer.
	StoreFailing bool
	// FollowsStore is set while the peer follows the store for its zone.
	FollowsStore bool
	// LastHeardAt is when the peer's last datagram came; LastLearnedAt is when this daemon
	// last learned from others that the peer is there.
	LastHeardAt   time.Time
	LastLearnedAt time.Time
}

// Identity is the daemon whose members these are.
type Identity struct{ VM, Zone, Address string }

// Members are the daemons that this one knows of.
type Members struct {
	self Identity

	mu    sync.Mutex
	peers map[string]*member
	// hints are addresses that may belong to daemons.
	hints map[string]bool
}

type member struct {
	Peer
	sequence uint64
	// unansweredSince is since when reports have gone to the peer without a sign of it.
	unansweredSince time.Time
}

// NewMembers returns the members with addresses to begin with.
func NewMembers(self Identity, hints []string) *Members {
	m := &Members{self: self, peers: map[string]*member{}, hints: map[string]bool{}}
	for _, address := range hints {
		if address != self.Address {
			m.hints[address] = true
		}
	}
	return m
}

// Learn adds a daemon that somebody else named as there.
func (m *Members) Learn(vm, zone, address string, now time.Time) {
	if vm == m.self.VM {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[vm]
	if p == nil {
		p = &member{Peer: Peer{VM: vm, Zone: zone, Address: address}}
		m.peers[vm] = p
	}
	p.LastLearnedAt = now
}

// recordReport takes over a peer's own report. It returns false for one that is not
// newer than the last, and whether the process was unknown.
func (m *Members) recordReport(report Peer, sequence uint64, now time.Time) (fresh, unknown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[report.VM]
	if p == nil {
		p = &member{}
		m.peers[report.VM] = p
	}
	unknown = p.Incarnation != report.Incarnation
	if !unknown && sequence <= p.sequence {
		return false, false
	}
	named := p.LastLearnedAt
	p.Peer, p.sequence, p.unansweredSince = report, sequence, time.Time{}
	p.LastLearnedAt, p.LastHeardAt = named, now
	delete(m.hints, report.Address)
	return true, unknown
}

// recordSent notes that a report goes to a peer.
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

// Reachable returns the peers that are reached now: the relays of this daemon's zone,
// and for a relay all daemons of the zone and the leads of others.
func (m *Members) Reachable(now time.Time) []Peer {
	return m.filter(func(p *member) bool { return p.Reachable(now) })
}

// HeardWithin returns the peers that were heard in the last while.
func (m *Members) HeardWithin(while time.Duration, now time.Time) []Peer {
	return m.filter(func(p *member) bool { return !p.LastHeardAt.IsZero() && now.Sub(p.LastHeardAt) < while })
}

// Reachable reports whether the peer is reached now.
func (p *Peer) Reachable(now time.Time) bool {
	return !p.LastHeardAt.IsZero() && now.Sub(p.LastHeardAt) < unreachableAfter
}

// suspected reports whether the peer has been asked for a while in vain.
func (p *member) suspected(now time.Time) bool {
	return !p.Reachable(now) && !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= unreachableAfter
}

// mayLackUses reports whether the peer may not know what was used a while ago: it has just
// started, or stood still.
func (p *Peer) mayLackUses(now time.Time) bool {
	return !p.LastHeardAt.IsZero() && p.CountingFor+now.Sub(p.LastHeardAt) < sendUsesFor
}

// lacksUses reports whether the peer may lack uses that were counted for longer than it counts.
func (p *Peer) lacksUses(uses *gossippb.Uses, now time.Time) bool {
	known := time.Duration(uses.GetKnownMs()) * time.Millisecond
	return uses != nil && p.mayLackUses(now) && known > p.CountingFor+now.Sub(p.LastHeardAt)
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

// maxHints bounds the addresses that are remembered: those of a zone at the size to
// design for.
const maxHints = 64

// Sweep forgets peers that have been silent for long, and returns them. Their addresses
// stay as hints: a long cut may end.
func (m *Members) Sweep(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []Peer
	for vm, p := range m.peers {
		if now.Sub(p.lastSeen()) >= forgetAfter {
			gone = append(gone, p.Peer)
			delete(m.peers, vm)
			if len(m.hints) < maxHints {
				m.hints[p.Address] = true
			}
		}
	}
	return gone
}
