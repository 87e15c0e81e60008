package gossip

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// silentAfter is how long a peer may be unheard before it counts as not
	// reached: three reports and the delay of a slow link.
	silentAfter = 1500 * time.Millisecond
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
	// ConfigVersion and ServersRevision are what the peer believes.
	ConfigVersion   int64
	ServersRevision int64
	// Fence is the fencing number of the lease that the peer holds, or zero.
	Fence    int64
	Draining bool
	// StoreFailing is set while the store does not answer the peer.
	StoreFailing bool
	// HeardAt is when the peer's last datagram came; FirstAt is when this daemon
	// learned of the peer.
	HeardAt time.Time
	FirstAt time.Time
}

// Members are the daemons that this one knows of.
type Members struct {
	mu    sync.Mutex
	peers map[string]*member
	// hints are addresses that may belong to daemons.
	hints map[string]bool
}

type member struct {
	Peer
	sequence uint64
}

// NewMembers returns the members with addresses to begin with.
func NewMembers(hints []string) *Members {
	m := &Members{peers: map[string]*member{}, hints: map[string]bool{}}
	for _, address := range hints {
		m.hints[address] = true
	}
	return m
}

// Learn adds a daemon that somebody else named.
func (m *Members) Learn(vm, zone, address string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[vm] == nil {
		m.peers[vm] = &member{Peer: Peer{VM: vm, Zone: zone, Address: address, FirstAt: now}}
	}
}

// hear takes over a peer's own report. It returns false for one that is not
// newer than the last, and whether the process was unknown.
func (m *Members) hear(report Peer, sequence uint64, now time.Time) (fresh, unknown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[report.VM]
	if p == nil {
		p = &member{Peer: Peer{VM: report.VM, FirstAt: now}}
		m.peers[report.VM] = p
	}
	unknown = p.Incarnation != report.Incarnation
	if !unknown && sequence <= p.sequence {
		return false, false
	}
	first := p.FirstAt
	p.Peer, p.sequence = report, sequence
	p.FirstAt, p.HeardAt = first, now
	delete(m.hints, report.Address)
	return true, unknown
}

// Known returns the peers that count as daemons of the deployment.
func (m *Members) Known(now time.Time) []Peer {
	return m.list(func(p *Peer) bool { return now.Sub(p.lastSign()) < forgetAfter })
}

// Heard returns the peers that are reached now.
func (m *Members) Heard(now time.Time) []Peer {
	return m.list(func(p *Peer) bool { return !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < silentAfter })
}

func (p *Peer) lastSign() time.Time {
	if p.HeardAt.After(p.FirstAt) {
		return p.HeardAt
	}
	return p.FirstAt
}

func (m *Members) list(keep func(*Peer) bool) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []Peer
	for _, p := range m.peers {
		if keep(&p.Peer) {
			peers = append(peers, p.Peer)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return peers
}

// addresses returns where to send reports.
func (m *Members) addresses(now time.Time) []string {
	var all []string
	for _, p := range m.Known(now) {
		all = append(all, p.Address)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for address := range m.hints {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// Sweep forgets peers that have been silent for long, and returns them.
func (m *Members) Sweep(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []Peer
	for vm, p := range m.peers {
		if now.Sub(p.lastSign()) >= forgetAfter {
			gone = append(gone, p.Peer)
			delete(m.peers, vm)
		}
	}
	return gone
}
