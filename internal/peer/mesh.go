// Package peer is the traffic between the daemons of one deployment:
// heartbeats that carry the configuration generation, and the state and answer
// of requests that another daemon holds.
package peer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/plankridge/plankridge/internal/backup"
	"github.com/plankridge/plankridge/internal/burn"
	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/platform"
	"github.com/plankridge/plankridge/internal/request"
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

// Run sends heartbeats until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	var pulling sync.WaitGroup
	pulling.Go(func() { m.pullLoop(ctx) })
	defer pulling.Wait()
	for ctx.Err() == nil {
		changed := m.follower.Changed()
		m.beat(ctx)
		jitter := time.Duration(mathrand.Int64N(int64(heartbeatInterval / 4)))
		select {
		case <-time.After(heartbeatInterval - heartbeatInterval/8 + jitter):
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// beat sends one heartbeat to each contact.
func (m *Mesh) beat(ctx context.Context) {
	var calls sync.WaitGroup
	for _, contact := range Contacts(m.self, m.Daemons()) {
		calls.Go(func() { m.beatOne(ctx, contact) })
	}
	calls.Wait()
}

func (m *Mesh) beatOne(ctx context.Context, contact platform.VM) {
	client, err := m.client(contact)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{
		DaemonId:    m.self.ID,
		Zone:        m.self.Zone,
		Incarnation: m.incarnation,
		Generation:  m.follower.Generation(),
	})
	if err != nil {
		m.logger.Debug("heartbeat failed", "peer", contact.ID, "error", err)
		return
	}
	m.heard(reply.GetDaemonId(), reply.GetIncarnation(), reply.GetGeneration())
}

// heard takes over what a peer has said of itself.
func (m *Mesh) heard(id string, incarnation uint64, generation int64) {
	m.mu.Lock()
	previous, known := m.seen[id]
	restarted := known && previous != incarnation && !m.before[backup.Owner{Daemon: id, Incarnation: incarnation}]
	if restarted {
		m.before[backup.Owner{Daemon: id, Incarnation: previous}] = true
	}
	if restarted || !known {
		m.seen[id] = incarnation
	}
	m.mu.Unlock()
	if restarted {
		m.logger.Info("peer has restarted", "peer", id)
		go m.inherit()
	}
	if generation <= m.follower.Generation() {
		return
	}
	select {
	case m.pulls <- id:
	default:
	}
}

// pullLoop fetches the deployment from peers that have a higher generation.
func (m *Mesh) pullLoop(ctx context.Context) {
	for {
		select {
		case id := <-m.pulls:
			m.pull(ctx, id)
		case <-ctx.Done():
			return
		}
	}
}

// pull fetches from one peer. The heartbeat that asked for it is a reason to
// look; what the peer sends decides.
func (m *Mesh) pull(ctx context.Context, id string) {
	vm, ok := m.daemon(id)
	if !ok {
		return
	}
	err := m.follower.FromPeer(ctx, m.follower.Generation()+1, func(ctx context.Context, known []string) (generation.Bundle, error) {
		return m.fetch(ctx, vm, known)
	})
	if err != nil {
		m.logger.Warn("cannot take over the deployment of a peer", "peer", id, "error", err)
	}
}

func (m *Mesh) daemon(id string) (platform.VM, bool) {
	for _, daemon := range m.Daemons() {
		if daemon.ID == id {
			return daemon, true
		}
	}
	return platform.VM{}, false
}

func (m *Mesh) fetch(ctx context.Context, vm platform.VM, known []string) (generation.Bundle, error) {
	client, err := m.client(vm)
	if err != nil {
		return generation.Bundle{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.FetchDeployment(ctx, &peerpb.FetchDeploymentRequest{KnownDigests: known})
	if err != nil {
		return generation.Bundle{}, eris.Wrap(err, "fetch deployment")
	}
	bundle := generation.Bundle{Manifest: reply.GetManifest(), Contents: map[string][]byte{}}
	for _, part := range reply.GetParts() {
		bundle.Contents[part.GetDigest()] = part.GetContent()
	}
	return bundle, nil
}

// Locate finds a request that another daemon holds: its owner or, when that
// has gone, a daemon that has taken it over or keeps its answer. It returns
// dispatch.ErrNotFound when no daemon knows the request, and another error when
// one that might know it cannot be asked now.
func (m *Mesh) Locate(ctx context.Context, id request.ID) (*Remote, error) {
	holders := m.holders(id)
	failed := error(dispatch.ErrNotFound)
	for wave := locateWave; len(holders) > 0; wave *= locateWave {
		asked := holders[:min(wave, len(holders))]
		holders = holders[len(asked):]
		remote, err := m.askAll(ctx, asked, id)
		if err == nil {
			return remote, nil
		}
		if !errors.Is(err, dispatch.ErrNotFound) {
			failed = err
		}
	}
	if errors.Is(failed, dispatch.ErrNotFound) && m.copies.Has(id) {
		return nil, errOwnerSilent
	}
	return nil, failed
}

// askAll asks daemons at the same time and returns the first one's answer, in
// their order, that holds the request.
func (m *Mesh) askAll(ctx context.Context, daemons []platform.VM, id request.ID) (*Remote, error) {
	remotes := make([]*Remote, len(daemons))
	errs := make([]error, len(daemons))
	var calls sync.WaitGroup
	for i, vm := range daemons {
		calls.Go(func() { remotes[i], errs[i] = m.ask(ctx, vm, id) })
	}
	calls.Wait()
	failed := error(dispatch.ErrNotFound)
	for i := range daemons {
		if errs[i] == nil {
			return remotes[i], nil
		}
		if !errors.Is(errs[i], dispatch.ErrNotFound) {
			failed = errs[i]
		}
	}
	return nil, failed
}

// holders returns the daemons that may hold a request, the likeliest first:
// the one that accepted it, then its keepers.
func (m *Mesh) holders(id request.ID) []platform.VM {
	var holders []platform.VM
	for _, daemon := range Keepers(string(id), m.Daemons()) {
		switch {
		case daemon.ID == m.self.ID:
		case request.DaemonTag(daemon.ID) == id.Tag():
			holders = append([]platform.VM{daemon}, holders...)
		default:
			holders = append(holders, daemon)
		}
	}
	return holders
}

func (m *Mesh) ask(ctx context.Context, vm platform.VM, id request.ID) (*Remote, error) {
	client, err := m.client(vm)
	if err != nil {
		return nil, err
	}
	remote := &Remote{id: id, client: client}
	if _, err := remote.Status(ctx); err != nil {
		return nil, err
	}
	return remote, nil
}

// Hold gives a finished answer to a daemon that keeps it.
func (m *Mesh) Hold(ctx context.Context, spec request.Spec, tokens []string, last dispatch.Event) error {
	raw, err := encodeSpec(spec)
	if err != nil {
		return err
	}
	message := &peerpb.HoldAnswerRequest{Spec: raw, Tokens: tokens, Last: toWire(spec.ID, last)}
	err = eris.New("no other daemon is known")
	for _, vm := range m.backups(spec.ID) {
		if err = m.holdAt(ctx, vm, message); err == nil {
			return nil
		}
	}
	return err
}

func (m *Mesh) holdAt(ctx context.Context, vm platform.VM, message *peerpb.HoldAnswerRequest) error {
	client, err := m.client(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = client.HoldAnswer(ctx, message)
	return eris.Wrap(err, "hold answer at peer")
}

// DaemonStatus is what one daemon says of itself.
type DaemonStatus struct {
	ID         string     `json:"id"`
	Zone       string     `json:"zone"`
	Reachable  bool       `json:"reachable"`
	Generation int64      `json:"generation"`
	Draining   bool       `json:"draining"`
	InFlight   int        `json:"in_flight"`
	Burn       []burn.Row `json:"-"`
}

// Statuses asks every daemon but this one.
func (m *Mesh) Statuses(ctx context.Context) []DaemonStatus {
	daemons := m.Daemons()
	statuses := make([]DaemonStatus, len(daemons))
	var calls sync.WaitGroup
	for i, vm := range daemons {
		calls.Go(func() { statuses[i] = m.statusOf(ctx, vm) })
	}
	calls.Wait()
	return statuses
}

func (m *Mesh) statusOf(ctx context.Context, vm platform.VM) DaemonStatus {
	result := DaemonStatus{ID: vm.ID, Zone: vm.Zone}
	client, err := m.client(vm)
	if err != nil {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.GetStatus(ctx, &peerpb.GetStatusRequest{})
	if err != nil {
		return result
	}
	result.Reachable = true
	result.Generation = reply.GetGeneration()
	result.Draining = reply.GetDraining()
	result.InFlight = int(reply.GetInFlight())
	if err := json.Unmarshal(reply.GetBurn(), &result.Burn); err != nil {
		m.logger.Warn("cannot read a peer's burn rows", "peer", vm.ID, "error", err)
	}
	return result
}

// Remote is a request that another daemon holds. It implements
// dispatch.Source.
type Remote struct {
	id     request.ID
	client peerpb.PeerClient
}

// Status implements dispatch.Source.
func (r *Remote) Status(ctx context.Context) (dispatch.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.client.GetRequest(ctx, &peerpb.GetRequestRequest{RequestId: string(r.id)})
	if err != nil {
		return dispatch.Status{}, notFound(err)
	}
	spec, err := decodeSpec(reply.GetSpec())
	return dispatch.Status{
		Spec:     spec,
		State:    request.State(reply.GetState()),
		Attempts: int(reply.GetAttempts()),
		Tokens:   int(reply.GetTokens()),
		Outcome:  request.Outcome(reply.GetOutcome()),
	}, err
}

// Follow implements dispatch.Source.
func (r *Remote) Follow(ctx context.Context, after int, sink func(dispatch.Event) error) error {
	stream, err := r.client.FollowRequest(ctx, &peerpb.FollowRequestRequest{RequestId: string(r.id), After: int32(after)})
	if err != nil {
		return notFound(err)
	}
	for {
		wire, err := stream.Recv()
		if err != nil {
			return notFound(err)
		}
		if wire.GetRequestId() != string(r.id) {
			return eris.New("peer sent an event of another request")
		}
		event := fromWire(wire)
		if err := sink(event); err != nil {
			return err
		}
		if event.Last() {
			return nil
		}
	}
}

func notFound(err error) error {
	if status.Code(err) == codes.NotFound {
		return dispatch.ErrNotFound
	}
	return eris.Wrap(err, "ask peer")
}
