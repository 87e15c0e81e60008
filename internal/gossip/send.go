package gossip

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// sendRound sends the messages that the daemon's current plan requires.
func (n *Node) sendRound() {
	now := time.Now()
	for _, forgotten := range n.options.Members.Sweep(now) {
		n.options.Logger.Info("peer forgotten", "peer", forgotten.VM, "silent_s", now.Sub(forgotten.lastSeen()).Seconds())
	}
	plan := n.options.Members.Plan(n.options.Source.LocalState(), now)
	sequence := n.nextSequence()
	answers := n.options.Members.answeredReports()
	own := n.options.Source.OwnCounts(sequence)
	var speeds []*gossippb.ServerSpeed
	if len(plan.ReportTo) > 0 || plan.Leader {
		speeds = n.options.Source.Speeds(ZoneRelays, plan, now)
	}
	// The few datagrams to other zones go first: a link that is full drops the last ones of a round.
	n.sendToRemoteZones(plan, answers, sequence, now)
	n.sendToZone(plan, answers, own, speeds, sequence, now)
	if len(plan.ReportTo) > 0 && !plan.Relay {
		report := n.newStatus(sequence)
		report.Own, report.Speeds = own, speeds
		report.Uses = n.usesFor(plan.ReportTo, now)
		n.sendToAll(report, answers, plan.ReportTo, now)
	}
	if len(n.options.Members.Reachable(now)) == 0 {
		report := n.newStatus(sequence)
		report.Own = own
		for _, address := range n.options.Members.hintAddresses() {
			n.sendTo(report, address)
		}
	}
}

// sendToZone sends to the daemons of the zone, from a relay or from a daemon that follows
// the store in place of one. The common part is encoded once and the fields for each
// receiver are appended, since protobuf merges concatenated messages.
func (n *Node) sendToZone(plan Plan, answers map[string]answered, own *gossippb.Counts, speeds []*gossippb.ServerSpeed, sequence uint64, now time.Time) {
	if len(plan.ZonePeers) == 0 {
		return
	}
	common := n.newStatus(sequence)
	if plan.Relay {
		common.Speeds = n.options.Source.Speeds(ZoneDaemons, plan, now)
	}
	if plan.Leader {
		common.Reach, common.All = n.options.Source.DeploymentTotals(now)
	}
	if sequence%reportsPerMemberList == 1 {
		common.Known = memberList(plan.ZonePeers, len(plan.ZonePeers), now)
		if plan.Leader {
			common.Helpers = n.options.Members.remoteHelpers(sequence/reportsPerMemberList, now)
		}
	}
	raw, err := proto.Marshal(common)
	if err != nil {
		n.options.Logger.Error("report could not be encoded", "error", err)
		return
	}
	uses := n.usesFor(plan.ZonePeers, now)
	for _, peer := range plan.ZonePeers {
		extra := &gossippb.Status{}
		answers[peer.VM].encode(extra)
		if peer.lacksUses(uses, now) {
			extra.Uses = uses
		}
		if plan.Leader {
			extra.Taken = n.options.Source.IncludedSequence(peer.VM)
			if peer.Fence != 0 {
				extra.All = &gossippb.Counts{Windows: n.options.Source.Windows()}
			}
		}
		if plan.Relay && slices.ContainsFunc(plan.ReportTo, func(p Peer) bool { return p.VM == peer.VM }) {
			extra.Own, extra.Speeds = own, speeds
			n.options.Members.recordSent(peer.VM, now)
		}
		n.sendMerged(raw, extra, peer.Address)
	}
}

// usesFor returns the recent usage of the workspaces if one of the peers may lack it, or
// nil.
func (n *Node) usesFor(peers []Peer, now time.Time) *gossippb.Uses {
	if !slices.ContainsFunc(peers, func(p Peer) bool { return p.mayLackUses(now) }) {
		return nil
	}
	uses := n.options.Source.RecentUses()
	if !slices.ContainsFunc(peers, func(p Peer) bool { return p.lacksUses(uses, now) }) {
		return nil
	}
	return uses
}

// reportsPerHint sets how often a leader also sends its report to a hint address: one of
// this many reports.
const reportsPerHint = 4

// sendToRemoteZones sends the leader's zone totals to the relays of other zones and, in
// some reports, to the hint address of a forgotten daemon.
func (n *Node) sendToRemoteZones(plan Plan, answers map[string]answered, sequence uint64, now time.Time) {
	hint := n.nextHint(plan, sequence)
	if len(plan.RemoteRelays) == 0 && hint == "" {
		return
	}
	summary := n.newStatus(sequence)
	summary.ZoneReach, summary.ZoneSum = n.options.Source.ZoneTotals(now)
	summary.Uses = n.usesFor(plan.RemoteRelays, now)
	summary.Speeds = n.options.Source.Speeds(OtherZones, plan, now)
	if sequence%reportsPerMemberList == 1 {
		summary.Known = memberList(n.options.Members.inRelayOrder(now), maxListedPerRemoteZone, now)
		summary.Helpers = n.options.Members.zoneHelpers(n.options.Source.LocalState(), sequence/reportsPerMemberList, now)
	}
	n.sendToAll(summary, answers, plan.RemoteRelays, now)
	if hint != "" {
		n.sendTo(summary, hint)
	}
}

// nextHint returns the hint address that the leader also sends this report to, or "".
func (n *Node) nextHint(plan Plan, sequence uint64) string {
	hints := n.options.Members.hintAddresses()
	if !plan.Leader || len(hints) == 0 || sequence%reportsPerHint != 0 {
		return ""
	}
	return hints[sequence/reportsPerHint%uint64(len(hints))]
}

// memberList returns up to limit peers of each zone that have been heard from within
// forgetAfter.
func memberList(peers []Peer, limit int, now time.Time) []*gossippb.Peer {
	var list []*gossippb.Peer
	count := map[string]int{}
	for _, p := range peers {
		if count[p.Zone] < limit && !p.LastHeardAt.IsZero() && now.Sub(p.LastHeardAt) < forgetAfter {
			count[p.Zone]++
			list = append(list, p.encode())
		}
	}
	return list
}

// encode returns the peer's entry in a list.
func (p *Peer) encode() *gossippb.Peer {
	return &gossippb.Peer{Vm: p.VM, Zone: p.Zone, Address: p.Address, Capacity: p.Capacity}
}

func (n *Node) newStatus(sequence uint64) *gossippb.Status {
	status := &gossippb.Status{
		Vm: n.options.VM, Zone: n.options.Zone, Address: n.options.Address,
		Incarnation: n.options.Incarnation, Sequence: sequence, Capacity: n.options.Members.self.Capacity,
	}
	n.options.Source.FillStatus(status)
	return status
}

// sendToAll sends a status to several peers, each with the answer to its last report.
func (n *Node) sendToAll(status *gossippb.Status, answers map[string]answered, peers []Peer, now time.Time) {
	raw, err := proto.Marshal(status)
	if err != nil {
		n.options.Logger.Error("report could not be encoded", "error", err)
		return
	}
	for _, peer := range peers {
		n.options.Members.recordSent(peer.VM, now)
		extra := &gossippb.Status{}
		answers[peer.VM].encode(extra)
		n.sendMerged(raw, extra, peer.Address)
	}
}

func (n *Node) sendTo(status *gossippb.Status, address string) { n.sendMerged(nil, status, address) }

// sendMerged sends an encoded status with the additional fields for one receiver.
func (n *Node) sendMerged(raw []byte, extra *gossippb.Status, address string) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend(slices.Clip(raw), extra)
	if err != nil {
		n.options.Logger.Error("report could not be encoded", "error", err)
		return
	}
	to, err := n.options.Network.ResolvePacket(address)
	if err != nil {
		n.options.Logger.Warn("cannot resolve peer address", "peer_address", address, "error", err)
		return
	}
	if _, err := n.packets.WriteTo(datagram, to); err != nil {
		n.options.Logger.Debug("report not sent", "peer_address", address, "error", err)
	}
}
