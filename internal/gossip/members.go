package gossip

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// silentAfter is how long a peer may be unheard before it counts as not
	// reached: three reports and the delay of a slow link.
	silentAfter = 1500 * time.Millisecond
	// tellUsesFor is how long a daemon is told what was used before it began to count: seven
	// reports of a large deployment.
	tellUsesFor = 3 * time.Second
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
	// Counting is for how long what the workspaces use had been counted at the peer's last
	// report, without a gap.
	Counting time.Duration
	// ConfigVersion and ServersRevision are what the peer believes.
	ConfigVersion   int64
	ServersRevision int64
	// Fence is the fencing number of the lease that the peer holds, or zero.
	Fence    int64
	Draining bool
	// StoreFailing is set while the store does not answer the peer.
	StoreFailing bool
	// Follows is set while the peer follows the store for its zone.
	Follows bool
	// HeardAt is when the peer's last datagram came; NamedAt is when this daemon
	// last learned from others that the peer is there.
	HeardAt time.Time
	NamedAt time.Time
}

// Self is the daemon whose members these are.
type Self struct{ VM, Zone, Address string }

// Members are the daemons that this one knows of.
type Members struct {
	self Self

	mu    sync.Mutex
	peers map[string]*member
	// hints are addresses that may belong to daemons.
	hints map[string]bool
}

type member struct {
	Peer
	sequence uint64
	// askedAt is since when reports have gone to the peer without a sign of it.
	askedAt time.Time
}

// NewMembers returns the members with addresses to begin with.
func NewMembers(self Self, hints []string) *Members {
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
	p.NamedAt = now
}

// hear takes over a peer's own report. It returns false for one that is not
// newer than the last, and whether the process was unknown.
func (m *Members) hear(report Peer, sequence uint64, now time.Time) (fresh, unknown bool) {
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
	named := p.NamedAt
	p.Peer, p.sequence, p.askedAt = report, sequence, time.Time{}
	p.NamedAt, p.HeardAt = named, now
	delete(m.hints, report.Address)
	return true, unknown
}

// asked notes that a report goes to a peer.
func (m *Members) asked(vm string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[vm]; p != nil && p.askedAt.IsZero() {
		p.askedAt = now
	}
}

// Known returns the peers that count as daemons of the deployment.
func (m *Members) Known(now time.Time) []Peer {
	return m.list(func(p *member) bool { return now.Sub(p.lastSign()) < forgetAfter })
}

// Heard returns the peers that are reached now: the relays of this daemon's zone,
// and for a relay all daemons of the zone and the leads of others.
func (m *Members) Heard(now time.Time) []Peer {
	return m.list(func(p *member) bool { return p.Heard(now) })
}

// HeardWithin returns the peers that were heard in the last while.
func (m *Members) HeardWithin(while time.Duration, now time.Time) []Peer {
	return m.list(func(p *member) bool { return !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < while })
}

// Heard reports whether the peer is reached now.
func (p *Peer) Heard(now time.Time) bool {
	return !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < silentAfter
}

// suspected reports whether the peer has been asked for a while in vain.
func (p *member) suspected(now time.Time) bool {
	return !p.Heard(now) && !p.askedAt.IsZero() && now.Sub(p.askedAt) >= silentAfter
}

// mayLackUses reports whether the peer may not know what was used a while ago: it has just
// started, or stood still.
func (p *Peer) mayLackUses(now time.Time) bool {
	return !p.HeardAt.IsZero() && p.Counting+now.Sub(p.HeardAt) < tellUsesFor
}

// lacks reports whether the peer may lack uses that were counted for longer than it counts.
func (p *Peer) lacks(uses *gossippb.Uses, now time.Time) bool {
	known := time.Duration(uses.GetKnownMs()) * time.Millisecond
	return uses != nil && p.mayLackUses(now) && known > p.Counting+now.Sub(p.HeardAt)
}

func (p *Peer) lastSign() time.Time {
	if p.HeardAt.After(p.NamedAt) {
		return p.HeardAt
	}
	return p.NamedAt
}

func (m *Members) list(keep func(*member) bool) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []Peer
	for _, p := range m.peers {
		if keep(p) {
			peers = append(peers, p.Peer)
		}
	}
	slices.SortFunc(peers, byVM)
	return peers
}

func byVM(a, b Peer) int { return cmp.Compare(a.VM, b.VM) }

// mostHints bounds the addresses that are remembered: those of a zone at the size to
// design for.
const mostHints = 64

// Sweep forgets peers that have been silent for long, and returns them. Their addresses
// stay as hints: a long cut may end.
func (m *Members) Sweep(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []Peer
	for vm, p := range m.peers {
		if now.Sub(p.lastSign()) >= forgetAfter {
			gone = append(gone, p.Peer)
			delete(m.peers, vm)
			if len(m.hints) < mostHints {
				m.hints[p.Address] = true
			}
		}
	}
	return gone
}
