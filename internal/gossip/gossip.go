// Package gossip exchanges state and usage counters between the daemons of one
// deployment. In each availability zone the first few daemons are relays. All other
// daemons of the zone report to the relays, and the leader among the relays sends the
// totals to its zone and to the relays of other zones. The traffic per daemon therefore
// does not grow with the deployment, except for entries that are listed per backend
// server. Data too large for a datagram is fetched with an RPC. A lost datagram is made
// up for by the next one.
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
	// The time between two reports is reportIntervalPerDaemon for each daemon of the
	// deployment, bounded by minReportInterval and maxReportInterval. A daemon's view of
	// its own zone is at most one interval old, and its view of other zones at most two.
	// In a small deployment each daemon spends allowances in large steps, so reports must
	// be frequent; in a large one frequent reports would cost too much.
	minReportInterval       = 150 * time.Millisecond
	maxReportInterval       = 400 * time.Millisecond
	reportIntervalPerDaemon = 5 * time.Millisecond
	// ReportLeadTime is how long before the leader's next digest a daemon sends its
	// report, so that the digest includes it. It covers the few milliseconds of latency
	// within a zone and timers that fire late.
	ReportLeadTime = 40 * time.Millisecond
	// minSendInterval is the minimum time between two sends.
	minSendInterval = 50 * time.Millisecond
	// reportsPerMemberList sets how often the known daemons are listed: in one of this
	// many reports.
	reportsPerMemberList = 8
	// maxListedPerRemoteZone is the number of daemons per zone that a leader lists in its
	// reports to other zones.
	maxListedPerRemoteZone = 4
	// maxDatagramBytes is the maximum size of a report.
	maxDatagramBytes = 60 << 10
	// pullTimeout bounds a Pull call to a peer. A configuration of 1,900 routes takes
	// about 100 ms on a 10 Mbit/s link that also carries other responses.
	pullTimeout = 2 * time.Second
	// maxConcurrentPulls bounds the number of concurrent Pull calls. All daemons of a
	// zone may report newer data to a relay at once, and the replies to a call to each of
	// them would saturate its link. A second call makes progress while the first peer
	// does not answer.
	maxConcurrentPulls = 2
	// slowPullAfter is how long a call counts toward maxConcurrentPulls. A peer that has
	// lost power does not answer before pullTimeout, and other peers may have the same
	// data.
	slowPullAfter = 300 * time.Millisecond
)

// Source provides the data that the daemon sends.
type Source interface {
	// FillStatus sets the fields that describe the daemon's current state. The sequence number is
	// zero for a status that is not sent in a round of reports.
	FillStatus(status *gossippb.Status)
	// OwnCounts returns the daemon's own usage as of a sequence number.
	OwnCounts(sequence uint64) *gossippb.Counts
	// DeploymentTotals returns the totals that a leader sends to the daemons of its zone.
	DeploymentTotals(now time.Time) (*gossippb.Reach, *gossippb.Counts)
	// RecentUses returns the recent usage of the workspaces, for daemons that have just
	// started.
	RecentUses() *gossippb.Uses
	// Windows returns the request counts per window over all daemons, for the lease
	// holder.
	Windows() []*gossippb.Window
	// IncludedSequence returns the highest sequence number of a peer's reports that
	// DeploymentTotals includes.
	IncludedSequence(vm string) uint64
	// ZoneTotals returns the totals of this zone that a leader sends to the relays of
	// other zones.
	ZoneTotals(now time.Time) (*gossippb.Reach, *gossippb.Counts)
	// Speeds returns the speeds of servers for a report. Observations are returned once.
	Speeds(audience Audience, plan Plan, now time.Time) []*gossippb.ServerSpeed
	// LocalState returns the daemon's own state.
	LocalState() LocalState
	// PullRequest returns the versions that this daemon has, for a Pull call to a peer.
	PullRequest() *gossippb.PullRequest
	// AnswerPull returns everything that is newer than the versions in a peer's request.
	AnswerPull(request *gossippb.PullRequest) *gossippb.PullReply
}

// Audience is the receivers of a report.
type Audience int

// The receivers of the speeds of servers: own observations go to the relays of the zone, the estimates
// of a relay to the daemons of its zone, and the observations of a zone to the relays of other zones.
const (
	ZoneRelays Audience = iota
	ZoneDaemons
	OtherZones
)

// Sink processes the data received from peers.
type Sink interface {
	// HandleReport merges a peer's report. notBefore is a time of the steady clock before
	// which the peer cannot have written it, or zero if that is not known.
	HandleReport(status *gossippb.Status, notBefore time.Time)
	// NeedsPull reports whether a Pull call to the peer would return newer data.
	NeedsPull(status *gossippb.Status) bool
	// HandlePullReply merges the reply to a Pull call. It reports whether the peer must
	// be asked again at once, for its complete data.
	HandlePullReply(reply *gossippb.PullReply) (again bool)
	// HandleNotice processes a peer's notice of what it has just sent to a backend
	// server.
	HandleNotice(load *gossippb.Load)
}

// Options configures a Node.
type Options struct {
	VM, Zone string
	// Address is the IP:port of the peer listener.
	Address     string
	Incarnation uint64
	Network     network.Network
	Members     *Members
	Source      Source
	Sink        Sink
	// Register adds further services to the gRPC server of the peer listener. It may be nil.
	Register func(grpc.ServiceRegistrar)
	// ServerOptions configure the gRPC server.
	ServerOptions []grpc.ServerOption
	Logger        *slog.Logger
}

// Node sends and receives gossip for one daemon.
type Node struct {
	gossippb.UnimplementedPeersServer
	options Options
	packets net.PacketConn
	server  *grpc.Server
	// trigger requests a report at once. alignToLeader reschedules the next report to
	// ReportLeadTime before the leader's next digest.
	trigger       chan struct{}
	alignToLeader chan struct{}

	// noticeLimiter limits the rate of notices.
	noticeLimiter *rate.Limiter

	// sentTimes holds when the last own reports were sent.
	sentTimes sentTimes

	mu       sync.Mutex
	sequence uint64
	// pulls holds the state of the Pull calls in progress, by peer address.
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
		return nil, nil, eris.Wrap(err, "listen for peer calls")
	}
	n := &Node{options: options, packets: packets, server: grpc.NewServer(options.ServerOptions...), trigger: make(chan struct{}, 1), alignToLeader: make(chan struct{}, 1), noticeLimiter: newNoticeLimiter(), pulls: map[string]*pullState{}}
	gossippb.RegisterPeersServer(n.server, n)
	if options.Register != nil {
		options.Register(n.server)
	}
	return n, listener, nil
}

// Run sends and receives gossip until the context ends.
func (n *Node) Run(ctx context.Context, listener net.Listener) {
	var running sync.WaitGroup
	running.Go(func() { n.receiveLoop(ctx) })
	running.Go(func() { _ = n.server.Serve(listener) })
	n.sendLoop(ctx)
	_ = n.packets.Close()
	n.server.Stop()
	running.Wait()
}

// TriggerReport sends the next report as soon as minSendInterval allows.
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
	triggered := false
	for {
		select {
		case <-timer.C:
			n.sendRound()
			sent, triggered = time.Now(), false
			timer.Reset(n.ReportInterval(sent))
		case <-n.trigger:
			triggered = true
			timer.Reset(max(0, minSendInterval-time.Since(sent)))
		case <-n.alignToLeader:
			if !triggered {
				timer.Reset(alignedDelay(n.ReportInterval(time.Now()), time.Since(sent)))
			}
		case <-ctx.Done():
			// Sends the last counts before shutdown.
			n.sendRound()
			return
		}
	}
}

// maxAlignedIntervals is the number of report intervals after the last report by which the next one is
// sent, however often the leader's digests move it.
const maxAlignedIntervals = 2

// alignedDelay returns the time until the next report when a digest of the leader arrives: ReportLeadTime
// before the leader's next digest. A leader that sends digests more often than this daemon sends reports
// must not delay them forever.
func alignedDelay(interval, sinceSent time.Duration) time.Duration {
	return max(0, min(interval-ReportLeadTime, maxAlignedIntervals*interval-sinceSent))
}

// ReportInterval returns the current time between two reports.
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
				n.options.Logger.Warn("cannot read datagrams", "error", err)
				time.Sleep(maxReportInterval)
			}
			continue
		}
		var status gossippb.Status
		if err := proto.Unmarshal(buffer[:size], &status); err != nil {
			n.options.Logger.Warn("cannot decode datagram", "error", err, "bytes", size)
			continue
		}
		n.handleStatus(ctx, &status)
	}
}

// countingDuration returns for how long the sender has counted the workspaces' usage.
func countingDuration(status *gossippb.Status) time.Duration {
	ms := status.GetCountingMs()
	if ms == 0 {
		ms = status.GetUptimeMs()
	}
	return time.Duration(ms) * time.Millisecond
}

// handleStatus processes a datagram of a peer.
func (n *Node) handleStatus(ctx context.Context, status *gossippb.Status) {
	if status.GetVm() == n.options.VM || status.GetVm() == "" {
		return
	}
	if load := status.GetNotice(); load != nil {
		n.options.Sink.HandleNotice(load)
		return
	}
	now := time.Now()
	fresh, newProcess := n.options.Members.recordReport(Peer{
		VM: status.GetVm(), Zone: status.GetZone(), Address: status.GetAddress(), Capacity: status.GetCapacity(), Incarnation: status.GetIncarnation(),
		ConfigVersion: status.GetConfigVersion(), ServersRevision: status.GetServersRevision(),
		CountingFor: countingDuration(status), Fence: status.GetFence(), Draining: status.GetDraining(), StoreFailing: status.GetStoreFailing(), FollowsStore: status.GetFollows(),
		ServersUnreachable: status.GetServersUnreachable(), StreamAssignment: status.GetStreamAssignment(),
	}, status.GetSequence(), now)
	if !fresh {
		return
	}
	for _, p := range status.GetKnown() {
		n.options.Members.Learn(Listed{VM: p.GetVm(), Zone: p.GetZone(), Address: p.GetAddress(), Capacity: p.GetCapacity()}, now)
	}
	n.options.Members.learnHelpers(status.GetHelpers(), now)
	if newProcess {
		n.options.Logger.Info("first report received from peer", "peer", status.GetVm(), "incarnation", status.GetIncarnation(), "config_version", status.GetConfigVersion())
	}
	n.options.Sink.HandleReport(status, n.notBefore(status))
	if status.GetOwn() != nil {
		n.redirectReporter(status, now)
	}
	if status.GetAll() != nil {
		notify(n.alignToLeader)
	}
	if newProcess {
		n.TriggerReport()
	}
	if n.options.Sink.NeedsPull(status) && n.beginPull(status.GetAddress(), now) {
		go n.pull(ctx, status.GetAddress())
	}
}

// redirectReporter answers a report that was sent to the wrong daemon with a list of the
// daemons that it should go to.
func (n *Node) redirectReporter(status *gossippb.Status, now time.Time) {
	plan := n.options.Members.Plan(n.options.Source.LocalState(), now)
	if plan.Relay && status.GetZone() == n.options.Zone {
		return
	}
	// It is not a report to a relay, so what reports contain a few times only does not count as reported.
	reply := n.newStatus(0)
	reply.Sequence = n.nextSequence()
	answered{incarnation: status.GetIncarnation(), sequence: status.GetSequence()}.encode(reply)
	for _, p := range n.options.Members.relayCandidates(status.GetZone(), now) {
		reply.Known = append(reply.Known, p.encode())
	}
	n.sendTo(reply, status.GetAddress())
}
