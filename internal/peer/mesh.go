// Package peer implements the RPCs between the daemons of one deployment: heartbeats,
// which carry the configuration generation, and access to the state and answers of
// requests that another daemon holds.
package peer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/plankridge/plankridge/internal/backup"
	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/vmlist"
)

const (
	// heartbeatInterval is the time between two heartbeats to a contact. A new generation
	// is sent at once.
	heartbeatInterval = 2 * time.Second
	// attemptTimeout bounds one attempt to copy or hand over a request, before the next
	// daemon is tried.
	attemptTimeout = 500 * time.Millisecond
	// callTimeout bounds a short call to a peer.
	callTimeout = 2 * time.Second
	// MaxMessageBytes is the maximum size of a message between daemons.
	MaxMessageBytes = 32 << 20
	// locateBatchSize is the number of daemons that are asked first for a request. Each
	// further batch is larger by the same factor.
	locateBatchSize = 4
)

// errOwnerUnreachable means that this daemon keeps a copy of a request whose owner does
// not answer but has not been proved dead.
var errOwnerUnreachable = errors.New("owner of the request does not answer")

// Options configures a Mesh.
type Options struct {
	Self        vmlist.VM
	Network     network.Network
	Credentials credentials.TransportCredentials
	Follower    *generation.Follower
	// Copies holds the copies of requests that this daemon keeps for others.
	Copies *backup.Store
	// Quarantine holds the known requests during which servers have ended. It may be nil.
	Quarantine *watch.Watcher
	// Advice holds the load advice of backend servers. It may be nil.
	Advice Advice
	Logger *slog.Logger
}

// Mesh manages a daemon's peers and the connections to them. It is safe for concurrent
// use.
type Mesh struct {
	self        vmlist.VM
	network     network.Network
	credentials credentials.TransportCredentials
	follower    *generation.Follower
	logger      *slog.Logger
	incarnation uint64
	pullTargets chan string
	quarantine  *watch.Watcher
	advice      Advice
	// trigger requests heartbeats at once.
	trigger chan struct{}

	copies  *backup.Store
	adopter Adopter
	// ownerIndex selects the owner returned by nextCopyOwner. Only Run uses it.
	ownerIndex int

	mu      sync.Mutex
	daemons []vmlist.VM
	// daemonsListed is set once the VM list has been read; revision is its last revision.
	// selfListedAt is the first revision that contained this daemon.
	daemonsListed bool
	revision      int64
	selfListedAt  int64
	conns         map[string]*connection
	closed        bool
	// firstSeen is the logical time at which this daemon first learned of a process.
	// replaced holds the processes that are proved to have been replaced.
	logicalTime int64
	firstSeen   map[process]int64
	replaced    map[process]bool
}

// errMeshClosed is returned for calls after Close.
var errMeshClosed = errors.New("mesh is closed")

// neverListed is the value of selfListedAt before the VM list has contained this daemon.
const neverListed = math.MaxInt64

// process identifies one process of a daemon.
type process struct {
	daemon      string
	incarnation uint64
}

// connection is a connection to one daemon at one address.
type connection struct {
	address string
	conn    *grpc.ClientConn
}

// NewMesh returns a mesh without peers.
func NewMesh(options Options) *Mesh {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return &Mesh{
		self:         options.Self,
		network:      options.Network,
		credentials:  options.Credentials,
		follower:     options.Follower,
		logger:       options.Logger,
		incarnation:  binary.LittleEndian.Uint64(random[:]),
		pullTargets:  make(chan string, 1),
		quarantine:   options.Quarantine,
		advice:       options.Advice,
		trigger:      make(chan struct{}, 1),
		conns:        map[string]*connection{},
		firstSeen:    map[process]int64{},
		replaced:     map[process]bool{},
		copies:       options.Copies,
		selfListedAt: neverListed,
	}
}

// SetAdopter sets the component that takes over the requests of dead daemons. It must be
// called before Run.
func (m *Mesh) SetAdopter(adopter Adopter) { m.adopter = adopter }

// SetDaemons replaces the known daemons by those in the VM list as of a revision.
func (m *Mesh) SetDaemons(daemons []vmlist.VM, revision int64) {
	m.replaceDaemons(daemons)
	m.recordRevision(daemons, revision)
	m.adoptOrphanedCopies()
}

func (m *Mesh) recordRevision(daemons []vmlist.VM, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemonsListed = true
	m.revision = revision
	for _, daemon := range daemons {
		if daemon.ID == m.self.ID && m.selfListedAt == neverListed {
			m.selfListedAt = revision
		}
	}
}

// selfListedRevision returns the first revision of the VM list that contained this
// daemon, or neverListed.
func (m *Mesh) selfListedRevision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfListedAt
}

// SelfListed reports whether the VM list has contained this daemon's VM.
func (m *Mesh) SelfListed() bool { return m.selfListedRevision() != neverListed }

func (m *Mesh) replaceDaemons(daemons []vmlist.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemons = daemons
	present := map[string]string{}
	for _, daemon := range daemons {
		present[daemon.ID] = daemon.Address
	}
	for id, c := range m.conns {
		if present[id] != c.address {
			_ = c.conn.Close()
			delete(m.conns, id)
		}
	}
}

// Incarnation distinguishes this process from other processes of the same daemon.
func (m *Mesh) Incarnation() uint64 { return m.incarnation }

// Daemons returns the known daemons, including this one. The caller must not modify the
// slice.
func (m *Mesh) Daemons() []vmlist.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.daemons
}

// client returns a client for a peer. The connection is opened on first use.
func (m *Mesh) client(vm vmlist.VM) (peerpb.PeerClient, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, errMeshClosed
	}
	if c, ok := m.conns[vm.ID]; ok {
		return peerpb.NewPeerClient(c.conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+vm.Address,
		grpc.WithTransportCredentials(m.credentials),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return m.network.Dial(ctx, address)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithIdleTimeout(0),
	)
	if err != nil {
		return nil, eris.Wrap(err, "connect to peer")
	}
	m.conns[vm.ID] = &connection{address: vm.Address, conn: conn}
	return peerpb.NewPeerClient(conn), nil
}

// Close closes the connections to all peers. No connection is opened after it.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.replaceDaemons(nil)
}
