// Package gossip lets the daemons of one deployment tell each other what they
// believe and have used. In each availability zone the first daemons are relays:
// all others of the zone report to them, and the lead among them tells the sums
// to its zone and to the leads of other zones. What a daemon sends and gets so
// does not grow with the deployment, but for what is listed by backend server.
// What is too large for a datagram is fetched by a call. The loss of a datagram
// is mended by the next one.
package gossip

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/network"
)

const (
	// shortest and longest bound the time between two reports, and eachDaemon adds
	// to it for every daemon of the deployment. What a daemon knows of its zone is
	// behind by that time and of other zones by twice that, at most. A few daemons
	// spend allowances in large steps and have to hear of each other sooner; many
	// would spend too much on it.
	shortest   = 150 * time.Millisecond
	longest    = 400 * time.Millisecond
	eachDaemon = 5 * time.Millisecond
	// Ahead is how much earlier than the lead's next digest a daemon reports, so
	// that the digest holds what is new: links within a zone take some ms, and a
	// daemon's timer may fire late.
	Ahead = 40 * time.Millisecond
	// soonest is the least time between two sends.
	soonest = 50 * time.Millisecond
	// namesEvery is how often, in reports, the known daemons are named.
	namesEvery = 8
	// namedFar is the number of daemons of a zone that a lead names to other zones.
	namedFar = 4
	// maxDatagram bounds a report, in bytes.
	maxDatagram = 60 << 10
	// pullTimeout bounds a call to a peer: a configuration of 1,900 routes takes
	// some 100 ms on a link of 10 Mbit/s that carries other answers too.
	pullTimeout = 2 * time.Second
	// mostPulls bounds the calls at once. A relay hears from all daemons of its zone
	// that they have something newer; were it to ask all, their answers would choke
	// its link. A second call goes on when the first peer does not answer.
	mostPulls = 2
	// slowPull is how long a call counts among those. Peers that have lost power answer nothing
	// until pullTimeout, and others may tell what they would have.
	slowPull = 300 * time.Millisecond
)

// Source fills in what the daemon tells.
type Source interface {
	// Report fills in what the daemon believes.
	Report(status *gossippb.Status)
	// Own returns what the daemon itself has used, as of a sequence.
	Own(sequence uint64) *gossippb.Counts
	// All returns what a lead tells the daemons of its zone.
	All(now time.Time) (*gossippb.Reach, *gossippb.Counts)
	// Uses returns what the workspaces have used lately, for daemons that start.
	Uses() *gossippb.Uses
	// Windows returns the counts by window over everything, for the holder of the
	// lease.
	Windows() []*gossippb.Window
	// Taken returns the highest sequence of a peer that All includes.
	Taken(vm string) uint64
	// Zone returns what a lead tells the relays of other zones.
	Zone(now time.Time) (*gossippb.Reach, *gossippb.Counts)
	// Condition returns what the daemon knows of itself.
	Condition() Condition
	// Request returns what this daemon has, to ask a peer for what is newer.
	Request() *gossippb.PullRequest
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
	// Pulled takes over what a pull has brought. It reports whether the peer has to be asked
	// again at once, for all that it has.
	Pulled(reply *gossippb.PullReply) (again bool)
	// Noticed takes over what a peer has just sent to a server.
	Noticed(load *gossippb.Load)
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
	// soon asks for the next report at once, align for one ahead of the lead's.
	soon  chan struct{}
	align chan struct{}

	// notices bounds how often others are told at once.
	notices *rate.Limiter

	mu       sync.Mutex
	sequence uint64
	// pulling are the peers that are being asked, by address.
	pulling map[string]*pulling
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
	n := &Node{options: options, packets: packets, server: grpc.NewServer(), soon: make(chan struct{}, 1), align: make(chan struct{}, 1), notices: newNoticeRate(), pulling: map[string]*pulling{}}
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
func (n *Node) Soon() { signal(n.soon) }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (n *Node) send(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sent time.Time
	hurry := false
	for {
		select {
		case <-timer.C:
			n.sendOnce()
			sent, hurry = time.Now(), false
			timer.Reset(n.Round(sent))
		case <-n.soon:
			hurry = true
			timer.Reset(max(0, soonest-time.Since(sent)))
		case <-n.align:
			if !hurry {
				timer.Reset(n.Round(time.Now()) - Ahead)
			}
		case <-ctx.Done():
			// What was counted last.
			n.sendOnce()
			return
		}
	}
}

// Round returns the time between two reports.
func (n *Node) Round(now time.Time) time.Duration {
	daemons := 1 + len(n.options.Members.Known(now))
	return min(longest, max(shortest, time.Duration(daemons)*eachDaemon))
}

func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := n.packets.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.options.Logger.Warn("datagrams cannot be read", "error", err)
				time.Sleep(longest)
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

// countingOf returns for how long the sender has counted what the workspaces use.
func countingOf(status *gossippb.Status) time.Duration {
	ms := status.GetCountingMs()
	if ms == 0 {
		ms = status.GetUptimeMs()
	}
	return time.Duration(ms) * time.Millisecond
}

// take handles a peer's report.
func (n *Node) take(ctx context.Context, status *gossippb.Status) {
	if status.GetVm() == n.options.VM || status.GetVm() == "" {
		return
	}
	if load := status.GetNotice(); load != nil {
		n.options.Sink.Noticed(load)
		return
	}
	now := time.Now()
	fresh, unknown := n.options.Members.hear(Peer{
		VM: status.GetVm(), Zone: status.GetZone(), Address: status.GetAddress(), Incarnation: status.GetIncarnation(),
		ConfigVersion: status.GetConfigVersion(), ServersRevision: status.GetServersRevision(),
		Counting: countingOf(status), Fence: status.GetFence(), Draining: status.GetDraining(), StoreFailing: status.GetStoreFailing(), Follows: status.GetFollows(),
	}, status.GetSequence(), now)
	if !fresh {
		return
	}
	for _, p := range status.GetKnown() {
		n.options.Members.Learn(p.GetVm(), p.GetZone(), p.GetAddress(), now)
	}
	if unknown {
		n.options.Logger.Info("peer heard", "peer", status.GetVm(), "incarnation", status.GetIncarnation(), "config_version", status.GetConfigVersion())
	}
	n.options.Sink.Heard(status, unknown)
	if status.GetOwn() != nil {
		n.pointOn(status, now)
	}
	if status.GetAll() != nil {
		signal(n.align)
	}
	if unknown {
		n.Soon()
	}
	if n.options.Sink.Lacks(status) && n.beginPull(status.GetAddress(), now) {
		go n.pull(ctx, status.GetAddress())
	}
}

// pointOn answers a report that should have gone to another daemon with the names
// of those it should go to.
func (n *Node) pointOn(status *gossippb.Status, now time.Time) {
	plan := n.options.Members.Plan(n.options.Source.Condition(), now)
	if plan.Relay && status.GetZone() == n.options.Zone {
		return
	}
	n.mu.Lock()
	n.sequence++
	sequence := n.sequence
	n.mu.Unlock()
	answer := n.status(sequence)
	for _, p := range n.options.Members.first(status.GetZone(), now) {
		answer.Known = append(answer.Known, &gossippb.Peer{Vm: p.VM, Zone: p.Zone, Address: p.Address})
	}
	n.write(answer, status.GetAddress())
}
