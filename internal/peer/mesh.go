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
	"github.com/plankridge/plankridge/internal/platform"
)

const (
	// heartbeatInterval is the time between two heartbeats to a contact. A new
	// generation is told at once.
	heartbeatInterval = 2 * time.Second
	// tryTimeout bounds one try of a copy or a hand-over, before the next
	// daemon is asked.
	tryTimeout = 500 * time.Millisecond
	// callTimeout bounds a short call to a peer.
	callTimeout = 2 * time.Second
	// MaxMessage bounds a message between daemons, in bytes.
	MaxMessage = 32 << 20
	// locateWave is the number of daemons that are first asked for a request;
	// each further wave is that many times larger.
	locateWave = 4
)

// errOwnerSilent means that this daemon keeps a copy of a request whose owner
// does not answer and is not proved dead.
var errOwnerSilent = errors.New("owner of the request does not answer")

// Options are what a Mesh works with.
type Options struct {
	Self        platform.VM
	Network     network.Network
	Credentials credentials.TransportCredentials
	Follower    *generation.Follower
	// Copies are the copies that this daemon keeps for others.
	Copies *backup.Store
	Logger *slog.Logger
}

// Mesh knows the peers of a daemon and speaks to them.
type Mesh struct {
	self        platform.VM
	network     network.Network
	credentials credentials.TransportCredentials
	follower    *generation.Follower
	logger      *slog.Logger
	incarnation uint64
	pulls       chan string

	copies *backup.Store
	heir   Heir
	// ownerTurn counts the checked owners of copies; only Run uses it.
	ownerTurn int

	mu      sync.Mutex
	daemons []platform.VM
	// listed is true once the daemons are known.
	listed bool
	conns  map[string]*connection
	// seen is the latest incarnation of each daemon, before holds those that a
	// later one has replaced.
	seen   map[string]uint64
	before map[backup.Owner]bool
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
		self:        options.Self,
		network:     options.Network,
		credentials: options.Credentials,
		follower:    options.Follower,
		logger:      options.Logger,
		incarnation: binary.LittleEndian.Uint64(random[:]),
		pulls:       make(chan string, 1),
		conns:       map[string]*connection{},
		seen:        map[string]uint64{},
		before:      map[backup.Owner]bool{},
		copies:      options.Copies,
	}
}

// SetHeir sets what takes over the requests of dead daemons. It is called
// before Run.
func (m *Mesh) SetHeir(heir Heir) { m.heir = heir }

// SetDaemons takes over the daemons of the VM list.
func (m *Mesh) SetDaemons(daemons []platform.VM) {
	m.replaceDaemons(daemons)
	m.inherit()
}

func (m *Mesh) replaceDaemons(daemons []platform.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemons = daemons
	m.listed = true
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

// Daemons returns the known daemons, this one included.
func (m *Mesh) Daemons() []platform.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.daemons
}

// client returns a client of a peer. The connection is opened when it is first
// used.
func (m *Mesh) client(vm platform.VM) (peerpb.PeerClient, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.conns[vm.ID]; ok {
		return peerpb.NewPeerClient(c.conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+vm.Address,
		grpc.WithTransportCredentials(m.credentials),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return m.network.Dial(ctx, address)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
		grpc.WithIdleTimeout(0),
	)
	if err != nil {
		return nil, eris.Wrap(err, "connect to peer")
	}
	m.conns[vm.ID] = &connection{address: vm.Address, conn: conn}
	return peerpb.NewPeerClient(conn), nil
}

// Close closes the connections to all peers.
func (m *Mesh) Close() {
	m.replaceDaemons(nil)
}
