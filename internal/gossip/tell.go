package gossip

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// sendOnce tells each peer what this daemon's part asks for.
func (n *Node) sendOnce() {
	now := time.Now()
	for _, gone := range n.options.Members.Sweep(now) {
		n.options.Logger.Info("peer forgotten", "peer", gone.VM, "silent_s", now.Sub(gone.lastSign()).Seconds())
	}
	plan := n.options.Members.Plan(n.options.Source.Condition(), now)
	n.mu.Lock()
	n.sequence++
	sequence := n.sequence
	n.mu.Unlock()
	own := n.options.Source.Own(sequence)
	n.tellZone(plan, own, sequence, now)
	n.tellFar(plan, sequence, now)
	if len(plan.ReportTo) > 0 && !plan.Relay {
		report := n.status(sequence)
		report.Own = own
		report.Uses = n.usesFor(plan.ReportTo, now)
		n.tell(report, plan.ReportTo, now)
	}
	if len(n.options.Members.Heard(now)) == 0 {
		report := n.status(sequence)
		report.Own = own
		for _, address := range n.options.Members.hintAddresses() {
			n.write(report, address)
		}
	}
}

// tellZone tells the daemons of the zone, from a relay or from who follows the store in place
// of one. What differs between the receivers is added to the common part: parts of a message add
// up.
func (n *Node) tellZone(plan Plan, own *gossippb.Counts, sequence uint64, now time.Time) {
	if len(plan.Zone) == 0 {
		return
	}
	common := n.status(sequence)
	if plan.Lead {
		common.Reach, common.All = n.options.Source.All(now)
	}
	if sequence%namesEvery == 1 {
		common.Known = named(plan.Zone, len(plan.Zone), now)
	}
	raw, err := proto.Marshal(common)
	if err != nil {
		n.options.Logger.Error("report could not be encoded", "error", err)
		return
	}
	uses := n.usesFor(plan.Zone, now)
	for _, peer := range plan.Zone {
		extra := &gossippb.Status{}
		if peer.lacks(uses, now) {
			extra.Uses = uses
		}
		if plan.Lead {
			extra.Taken = n.options.Source.Taken(peer.VM)
			if peer.Fence != 0 {
				extra.All = &gossippb.Counts{Windows: n.options.Source.Windows()}
			}
		}
		if plan.Relay && slices.ContainsFunc(plan.ReportTo, func(p Peer) bool { return p.VM == peer.VM }) {
			extra.Own = own
			n.options.Members.asked(peer.VM, now)
		}
		n.writeWith(raw, extra, peer.Address)
	}
}

// usesFor returns what the workspaces have used lately if one of the peers may not know it,
// or nothing.
func (n *Node) usesFor(peers []Peer, now time.Time) *gossippb.Uses {
	if !slices.ContainsFunc(peers, func(p Peer) bool { return p.mayLackUses(now) }) {
		return nil
	}
	uses := n.options.Source.Uses()
	if !slices.ContainsFunc(peers, func(p Peer) bool { return p.lacks(uses, now) }) {
		return nil
	}
	return uses
}

// hintEvery is how often, in reports, a lead tells one address at which a daemon may be
// that it does not know any more.
const hintEvery = 4

// tellFar tells the relays of other zones, from the lead, and now and then an address of a
// daemon that was forgotten.
func (n *Node) tellFar(plan Plan, sequence uint64, now time.Time) {
	hint := n.hint(plan, sequence)
	if len(plan.Far) == 0 && hint == "" {
		return
	}
	summary := n.status(sequence)
	summary.ZoneReach, summary.ZoneSum = n.options.Source.Zone(now)
	summary.Uses = n.usesFor(plan.Far, now)
	if sequence%namesEvery == 1 {
		summary.Known = named(n.options.Members.Known(now), namedFar, now)
	}
	n.tell(summary, plan.Far, now)
	if hint != "" {
		n.write(summary, hint)
	}
}

// hint returns the address that a lead tells beside the daemons that it knows, or nothing.
func (n *Node) hint(plan Plan, sequence uint64) string {
	hints := n.options.Members.hintAddresses()
	if !plan.Lead || len(hints) == 0 || sequence%hintEvery != 0 {
		return ""
	}
	return hints[sequence/hintEvery%uint64(len(hints))]
}

// named lists the first peers of each zone that have been heard lately.
func named(peers []Peer, most int, now time.Time) []*gossippb.Peer {
	var names []*gossippb.Peer
	count := map[string]int{}
	for _, p := range peers {
		if count[p.Zone] < most && !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < forgetAfter {
			count[p.Zone]++
			names = append(names, &gossippb.Peer{Vm: p.VM, Zone: p.Zone, Address: p.Address})
		}
	}
	return names
}

func (n *Node) status(sequence uint64) *gossippb.Status {
	status := &gossippb.Status{
		Vm: n.options.VM, Zone: n.options.Zone, Address: n.options.Address,
		Incarnation: n.options.Incarnation, Sequence: sequence,
	}
	n.options.Source.Report(status)
	return status
}

// tell sends the same status to several peers.
func (n *Node) tell(status *gossippb.Status, peers []Peer, now time.Time) {
	for _, peer := range peers {
		n.options.Members.asked(peer.VM, now)
		n.write(status, peer.Address)
	}
}

func (n *Node) write(status *gossippb.Status, address string) { n.writeWith(nil, status, address) }

// writeWith sends an encoded status with what is added for one receiver.
func (n *Node) writeWith(raw []byte, extra *gossippb.Status, address string) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend(slices.Clip(raw), extra)
	if err != nil {
		n.options.Logger.Error("report could not be encoded", "error", err)
		return
	}
	to, err := n.options.Network.ResolvePacket(address)
	if err != nil {
		n.options.Logger.Warn("address of a peer cannot be used", "peer_address", address, "error", err)
		return
	}
	if _, err := n.packets.WriteTo(datagram, to); err != nil {
		n.options.Logger.Debug("report not sent", "peer_address", address, "error", err)
	}
}
