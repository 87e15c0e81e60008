// Package gossip lets the daemons of one deployment tell each other what they
// believe and have used. Each sends its state to every other in a datagram, a
// few times a second; what is too large for a datagram is fetched by a call.
// The loss of a datagram is mended by the next one.
package gossip

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/network"
)

const (
	// interval is the time between two reports. A daemon's view of what others
	// admit is behind by that.
	interval = 400 * time.Millisecond
	// namesEvery is how often, in reports, the known daemons are named.
	namesEvery = 8
	// maxDatagram bounds a report, in bytes.
	maxDatagram = 60 << 10
	// pullTimeout bounds a call to a peer.
	pullTimeout = time.Second
)

// Source fills in what the daemon tells.
type Source interface {
	// Report fills in a report.
	Report(status *gossippb.Status)
	// Pull returns what is newer than a peer's versions.
	Pull(request *gossippb.PullRequest) *gossippb.PullReply
}

// Sink takes over what peers tell.
type Sink interface {
	// Heard takes over a peer's report. unknown is set for the first report of a
	// process.
	Heard(status *gossippb.Status, unknown bool)
	// Lacks reports whether a pull from the peer would bring something newer.
	Lacks(status *gossippb.Status) bool
	// Pulled takes over what a pull has brought.
	Pulled(reply *gossippb.PullReply)
}

// Options are what a Node works with.
type Options struct {
	VM, Zone string
	// Address is the IP:port of the peer listener.
	Address     string
	Incarnation uint64
	Network     network.Network
	Members     *Members
	Source      Source
	Sink        Sink
	Logger      *slog.Logger
}

// Node takes part in the gossip.
type Node struct {
	gossippb.UnimplementedPeersServer
	options Options
	packets net.PacketConn
	server  *grpc.Server
	soon    chan struct{}

	mu       sync.Mutex
	sequence uint64
	pulling  map[string]bool
}

// Listen opens the node's UDP and TCP ports.
func Listen(options Options) (*Node, net.Listener, error) {
	packets, err := options.Network.ListenPacket(options.Address)
	if err != nil {
		return nil, nil, eris.Wrap(err, "listen for datagrams")
	}
	listener, err := options.Network.Listen(options.Address)
	if err != nil {
		_ = packets.Close()
		return nil, nil, eris.Wrap(err, "listen for calls of peers")
	}
	n := &Node{options: options, packets: packets, server: grpc.NewServer(), soon: make(chan struct{}, 1), pulling: map[string]bool{}}
	gossippb.RegisterPeersServer(n.server, n)
	return n, listener, nil
}

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context, listener net.Listener) {
	var running sync.WaitGroup
	running.Go(func() { n.receive(ctx) })
	running.Go(func() { _ = n.server.Serve(listener) })
	n.send(ctx)
	_ = n.packets.Close()
	n.server.Stop()
	running.Wait()
}

// Soon sends the next report at once.
func (n *Node) Soon() {
	select {
	case n.soon <- struct{}{}:
	default:
	}
}

func (n *Node) send(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		n.sendOnce()
		select {
		case <-ticker.C:
		case <-n.soon:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) sendOnce() {
	now := time.Now()
	for _, gone := range n.options.Members.Sweep(now) {
		n.options.Logger.Info("peer forgotten", "peer", gone.VM, "silent_s", now.Sub(gone.lastSign()).Seconds())
	}
	raw, err := proto.Marshal(n.report(now))
	if err != nil {
		n.options.Logger.Error("report could not be encoded", "error", err)
		return
	}
	for _, address := range n.options.Members.addresses(now) {
		to, err := n.options.Network.ResolvePacket(address)
		if err != nil || address == n.options.Address {
			continue
		}
		if _, err := n.packets.WriteTo(raw, to); err != nil {
			n.options.Logger.Debug("report not sent", "peer_address", address, "error", err)
		}
	}
}

func (n *Node) report(now time.Time) *gossippb.Status {
	n.mu.Lock()
	n.sequence++
	sequence := n.sequence
	n.mu.Unlock()
	status := &gossippb.Status{
		Vm: n.options.VM, Zone: n.options.Zone, Address: n.options.Address,
		Incarnation: n.options.Incarnation, Sequence: sequence,
	}
	n.options.Source.Report(status)
	if sequence%namesEvery == 1 {
		for _, p := range n.options.Members.Heard(now) {
			status.Known = append(status.Known, &gossippb.Peer{Vm: p.VM, Zone: p.Zone, Address: p.Address})
		}
	}
	return status
}

func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := n.packets.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.options.Logger.Warn("datagrams cannot be read", "error", err)
				time.Sleep(interval)
			}
			continue
		}
		var status gossippb.Status
		if err := proto.Unmarshal(buffer[:size], &status); err != nil {
			n.options.Logger.Warn("datagram cannot be decoded", "error", err, "bytes", size)
			continue
		}
		n.take(ctx, &status)
	}
}

// take handles a peer's report.
func (n *Node) take(ctx context.Context, status *gossippb.Status) {
	if status.GetVm() == n.options.VM || status.GetVm() == "" {
		return
	}
	now := time.Now()
	fresh, unknown := n.options.Members.hear(Peer{
		VM: status.GetVm(), Zone: status.GetZone(), Address: status.GetAddress(), Incarnation: status.GetIncarnation(),
		ConfigVersion: status.GetConfigVersion(), ServersRevision: status.GetServersRevision(),
		Fence: status.GetFence(), Draining: status.GetDraining(), StoreFailing: status.GetStoreFailing(),
	}, status.GetSequence(), now)
	if !fresh {
		return
	}
	for _, p := range status.GetKnown() {
		if p.GetVm() != n.options.VM {
			n.options.Members.Learn(p.GetVm(), p.GetZone(), p.GetAddress(), now)
		}
	}
	if unknown {
		n.options.Logger.Info("peer heard", "peer", status.GetVm(), "incarnation", status.GetIncarnation(), "config_version", status.GetConfigVersion())
	}
	n.options.Sink.Heard(status, unknown)
	if n.options.Sink.Lacks(status) && n.beginPull(status.GetAddress()) {
		go n.pull(ctx, status.GetAddress())
	}
}

func (n *Node) beginPull(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pulling[address] {
		return false
	}
	n.pulling[address] = true
	return true
}

func (n *Node) pull(ctx context.Context, address string) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.pulling, address)
	}()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := n.call(ctx, address)
	if err != nil {
		n.options.Logger.Warn("peer could not be asked", "peer_address", address, "error", err)
		return
	}
	n.options.Sink.Pulled(reply)
}

func (n *Node) call(ctx context.Context, address string) (*gossippb.PullReply, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(n.options.Network.Dial))
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	status := &gossippb.Status{}
	n.options.Source.Report(status)
	return gossippb.NewPeersClient(conn).Pull(ctx, &gossippb.PullRequest{
		ConfigVersion: status.GetConfigVersion(), ServersRevision: status.GetServersRevision(),
	})
}

// Pull implements gossippb.PeersServer.
func (n *Node) Pull(_ context.Context, request *gossippb.PullRequest) (*gossippb.PullReply, error) {
	return n.options.Source.Pull(request), nil
}
