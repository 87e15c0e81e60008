package gossip

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// maxNoticeRecipients is the number of daemons that receive a notice, and
	// maxNoticesPerSecond bounds the rate of notices. A notice has about 70 bytes
	// including headers, so the two limit the cost to 1.1 KB/s, within the budget for
	// control traffic at the target deployment size. The busiest production daemon sends
	// one notice per second to six others.
	maxNoticeRecipients = 8
	maxNoticesPerSecond = 2
	// noticeBurst is the number of notices that may be sent back to back.
	noticeBurst = 4
)

func newNoticeLimiter() *rate.Limiter { return rate.NewLimiter(maxNoticesPerSecond, noticeBurst) }

// SendNotice informs other daemons of what this one has just sent to a backend server,
// before the next totals include it. Recipients are sampled at random if there are more
// than maxNoticeRecipients daemons.
func (n *Node) SendNotice(load *gossippb.Load) {
	now := time.Now()
	if !n.noticeLimiter.AllowN(now, 1) {
		return
	}
	for _, p := range samplePeers(n.options.Members.Known(now), maxNoticeRecipients) {
		n.sendTo(&gossippb.Status{Vm: n.options.VM, Notice: load}, p.Address)
	}
}

// samplePeers returns a random sample of at most limit peers. It may reorder peers.
func samplePeers(peers []Peer, limit int) []Peer {
	if len(peers) <= limit {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:limit]
}
