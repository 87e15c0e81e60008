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
	// minReportInterval and longest bound the time between two reports, and reportIntervalPerDaemon adds
	// to it for every daemon of the deployment. What a daemon knows of its zone is
	// behind by that time and of other zones by twice that, at most. A few daemons
	// spend allowances in large steps and have to hear of each other sooner; many
	// would spend too much on it.
	minReportInterval       = 150 * time.Millisecond
	maxReportInterval       = 400 * time.Millisecond
	reportIntervalPerDaemon = 5 * time.Millisecond
	// ReportLeadTime is how much earlier than the lead's next digest a daemon reports, so
	// that the digest holds what is new: links within a zone take some ms, and a
	// daemon's timer may fire late.
	ReportLeadTime = 40 * time.Millisecond
	// minSendInterval is the least time between two sends.
	minSendInterval = 50 * time.Millisecond
	// reportsPerMemberList is how often, in reports, the known daemons are named.
	reportsPerMemberList = 8
	// maxListedPerRemoteZone is the number of daemons of a zone that a lead names to other zones.
	maxListedPerRemoteZone = 4
	// maxDatagramBytes bounds a report, in bytes.
	maxDatagramBytes = 60 << 10
	// pullTimeout bounds a call to a peer: a configuration of 1,900 routes takes
	// some 100 ms on a link of 10 Mbit/s that carries other answers too.
	pullTimeout = 2 * time.Second
	// maxConcurrentPulls bounds the calls at once. A relay hears from all daemons of its zone
	// that they have something newer; were it to ask all, their answers would choke
	// its link. A second call goes on when the first peer does not answer.
	maxConcurrentPulls = 2
	// slowPullAfter is how long a call counts among those. Peers that have lost power answer nothing
	// until pullTimeout, and others may tell what they would have.
	slowPullAfter = 300 * time.Millisecond
)

// Source fills in what the daemon tells.
type Source interface {
	// FillStatus fills in what the daemon believes.
	FillStatus(status *gossippb.Status)
	// OwnCounts returns what the daemon itself has used, as of a sequence.
	OwnCounts(sequence uint64) *gossippb.Counts
	// DeploymentTotals returns what a lead tells the daemons of its zone.
	DeploymentTotals(now time.Time) (*gossippb.Reach, *gossippb.Counts)
	// RecentUses returns what the workspaces have used lately, for daemons that start.
	RecentUses() *gossippb.Uses
	// Windows returns the counts by window over everything, for the holder of the
	// lease.
	Windows() []*gossippb.Window
	// IncludedSequence returns the highest sequence of a peer that All includes.
	IncludedSequence(vm string) uint64
	// ZoneTotals returns what a lead tells the relays of other zones.
	ZoneTotals(now time.Time) (*gossippb.Reach, *gossippb.Counts)
	// LocalState returns what the daemon knows of itself.
	LocalState() LocalState
	// PullRequest returns what this daemon has, to ask a peer for what is newer.
	PullRequest() *gossippb.PullRequest
	// AnswerPull returns what is newer than a peer's versions.
	AnswerPull(request *gossippb.PullRequest) *gossippb.PullReply
}

// Sink takes over what peers tell.
type Sink interface {
	// HandleReport takes over a peer's report. unknown is set for the first report of a
	// process.
	HandleReport(status *gossippb.Status, unknown bool)
	// NeedsPull reports whether a pull from the peer would bring something newer.
	NeedsPull(status *gossippb.Status) bool
	// HandlePullReply takes over what a pull has brought. It reports whether the peer has to be asked
	// again at once, for all that it has.
	HandlePullReply(reply *gossippb.PullReply) (again bool)
	// HandleNotice takes over what a peer has just sent to a server.
	HandleNotice(load *gossippb.Load)
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
	// trigger asks for the next report at once, align for one ahead of the lead's.
	trigger       chan struct{}
	alignToLeader chan struct{}

	// noticeLimiter bounds how often others are told at once.
	noticeLimiter *rate.Limiter

	mu       sync.Mutex
	sequence uint64
	// pulls are the peers that are being asked, by address.
	pulls map[string]*pullState
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
	n := &Node{options: options, packets: packets, server: grpc.NewServer(), trigger: make(chan struct{}, 1), alignToLeader: make(chan struct{}, 1), noticeLimiter: newNoticeLimiter(), pulls: map[string]*pullState{}}
	gossippb.RegisterPeersServer(n.server, n)
	return n, listener, nil
}

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context, listener net.Listener) {
	var running sync.WaitGroup
	running.Go(func() { n.receiveLoop(ctx) })
	running.Go(func() { _ = n.server.Serve(listener) })
	n.sendLoop(ctx)
	_ = n.packets.Close()
	n.server.Stop()
	running.Wait()
}

// TriggerReport sends the next report at once.
func (n *Node) TriggerReport() { notify(n.trigger) }

func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (n *Node) sendLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sent time.Time
	hurry := false
	for {
		select {
		case <-timer.C:
			n.sendRound()
			sent, hurry = time.Now(), false
			timer.Reset(n.ReportInterval(sent))
		case <-n.trigger:
			hurry = true
			timer.Reset(max(0, minSendInterval-time.Since(sent)))
		case <-n.alignToLeader:
			if !hurry {
				timer.Reset(n.ReportInterval(time.Now()) - ReportLeadTime)
			}
		case <-ctx.Done():
			// What was counted last.
			n.sendRound()
			return
		}
	}
}

// ReportInterval returns the time between two reports.
func (n *Node) ReportInterval(now time.Time) time.Duration {
	daemons := 1 + len(n.options.Members.Known(now))
	return min(maxReportInterval, max(minReportInterval, time.Duration(daemons)*reportIntervalPerDaemon))
}

func (n *Node) receiveLoop(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.packets.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.options.Logger.Warn("datagrams cannot be read", "error", err)
				time.Sleep(maxReportInterval)
			}
			continue
		}
		var status gossippb.Status
		if err := proto.Unmarshal(buffer[:size], &status); err != nil {
			n.options.Logger.Warn("datagram cannot be decoded", "error", err, "bytes", size)
			continue
		}
		n.handleStatus(ctx, &status)
	}
}

// countingDuration returns for how long the sender has counted what the workspaces use.
func countingDuration(status *gossippb.Status) time.Duration {
	ms := status.GetCountingMs()
	if ms == 0 {
		ms = status.GetUptimeMs()
	}
	return time.Duration(ms) * time.Millisecond
}

// handleStatus handles a peer's report.
func (n *Node) handleStatus(ctx context.Context, status *gossippb.Status) {
	if status.GetVm() == n.options.VM || status.GetVm() == "" {
		return
	}
	if load := status.GetNotice(); load != nil {
		n.options.Sink.HandleNotice(load)
		return
	}
	now := time.Now()
	fresh, unknown := n.options.Members.recordReport(Peer{
		VM: status.GetVm(), Zone: status.GetZone(), Address: status.GetAddress(), Incarnation: status.GetIncarnation(),
		ConfigVersion: status.GetConfigVersion(), ServersRevision: status.GetServersRevision(),
		CountingFor: countingDuration(status), Fence: status.GetFence(), Draining: status.GetDraining(), StoreFailing: status.GetStoreFailing(), FollowsStore: status.GetFollows(),
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
	n.options.Sink.HandleReport(status, unknown)
	if status.GetOwn() != nil {
		n.redirectReporter(status, now)
	}
	if status.GetAll() != nil {
		notify(n.alignToLeader)
	}
	if unknown {
		n.TriggerReport()
	}
	if n.options.Sink.NeedsPull(status) && n.beginPull(status.GetAddress(), now) {
		go n.pull(ctx, status.GetAddress())
	}
}

// redirectReporter answers a report that should have gone to another daemon with the names
// of those it should go to.
func (n *Node) redirectReporter(status *gossippb.Status, now time.Time) {
	plan := n.options.Members.Plan(n.options.Source.LocalState(), now)
	if plan.Relay && status.GetZone() == n.options.Zone {
		return
	}
	n.mu.Lock()
	n.sequence++
	sequence := n.sequence
	n.mu.Unlock()
	answer := n.newStatus(sequence)
	for _, p := range n.options.Members.relayCandidates(status.GetZone(), now) {
		answer.Known = append(answer.Known, &gossippb.Peer{Vm: p.VM, Zone: p.Zone, Address: p.Address})
	}
	n.sendTo(answer, status.GetAddress())
}
