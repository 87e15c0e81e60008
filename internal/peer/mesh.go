// Package peer is the traffic between the daemons of one deployment:
// heartbeats that carry the configuration generation, and the state and answer
// of requests that another daemon holds.
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
	// heartbeatInterval is the time between two heartbeats to a contact. A new
	// generation is told at once.
	heartbeatInterval = 2 * time.Second
	// attemptTimeout bounds one try of a copy or a hand-over, before the next
	// daemon is asked.
	attemptTimeout = 500 * time.Millisecond
	// callTimeout bounds a short call to a peer.
	callTimeout = 2 * time.Second
	// MaxMessageBytes bounds a message between daemons, in bytes.
	MaxMessageBytes = 32 << 20
	// locateBatchSize is the number of daemons that are first asked for a request;
	// each further wave is that many times larger.
	locateBatchSize = 4
)

// errOwnerUnreachable means that this daemon keeps a copy of a request whose owner
// does not answer and is not proved dead.
var errOwnerUnreachable = errors.New("owner of the request does not answer")

// Options are what a Mesh works with.
type Options struct {
	Self        vmlist.VM
	Network     network.Network
	Credentials credentials.TransportCredentials
	Follower    *generation.Follower
	// Copies are the copies that this daemon keeps for others.
	Copies *backup.Store
	// Quarantine is what this daemon knows of requests that end servers; nil knows nothing.
	Quarantine *watch.Watch
	// Advice is the load advice of backend servers; nil has none.
	Advice Advice
	Logger *slog.Logger
}

// Mesh knows the peers of a daemon and speaks to them.
type Mesh struct {
	self        vmlist.VM
	network     network.Network
	credentials credentials.TransportCredentials
	follower    *generation.Follower
	logger      *slog.Logger
	incarnation uint64
	pullTargets chan string
	quarantine  *watch.Watch
	advice      Advice
	// trigger asks for heartbeats at once.
	trigger chan struct{}

	copies  *backup.Store
	adopter Adopter
	// ownerIndex counts the checked owners of copies; only Run uses it.
	ownerIndex int

	mu      sync.Mutex
	daemons []vmlist.VM
	// daemonsListed is true once the daemons are known, as of revision of the VM
	// list; selfListedAt is the first revision that showed this daemon.
	daemonsListed bool
	revision      int64
	selfListedAt  int64
	conns         map[string]*connection
	closed        bool
	// learned is the moment at which this daemon first heard of a process, before
	// holds the processes that are proved to be replaced.
	logicalTime int64
	firstSeen   map[process]int64
	replaced    map[process]bool
}

// errMeshClosed means that the daemon speaks to its peers no more.
var errMeshClosed = errors.New("peers are closed")

// neverListed stands for a daemon that the VM list has not shown yet.
const neverListed = math.MaxInt64

// process is one process of a daemon.
type process struct {
	daemon      string
	incarnation uint64
}

// connection is the connection to one daemon at one address.
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

// SetAdopter sets what takes over the requests of dead daemons. It is called
// before Run.
func (m *Mesh) SetAdopter(heir Adopter) { m.adopter = heir }

// SetDaemons takes over the daemons of the VM list as of a revision.
func (m *Mesh) SetDaemons(daemons []vmlist.VM, revision int64) {
	m.replaceDaemons(daemons)
	m.noteRevision(daemons, revision)
	m.adoptOrphanedCopies()
}

func (m *Mesh) noteRevision(daemons []vmlist.VM, revision int64) {
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

// selfListedRevision returns a revision of the VM list that shows this daemon, or
// neverListed.
func (m *Mesh) selfListedRevision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfListedAt
}

// SelfListed reports whether the VM list shows this daemon's VM.
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

// Incarnation tells this process from others of the same daemon.
func (m *Mesh) Incarnation() uint64 { return m.incarnation }

// Daemons returns the known daemons, this one included.
func (m *Mesh) Daemons() []vmlist.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.daemons
}

// client returns a client of a peer. The connection is opened when it is first
// used.
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
