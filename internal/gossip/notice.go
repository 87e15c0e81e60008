package gossip

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	// maxNoticeRecipients is the number of daemons that are told at once of what this one has
	// sent, maxNoticesPerSecond how often a second. A notice has some 70 bytes with its headers,
	// so that both together bound the cost to 1.1 KB a second, inside what control may
	// cost at the size to design for; the users' busiest daemon of today sends one a
	// second to six others.
	maxNoticeRecipients = 8
	maxNoticesPerSecond = 2
	// noticeBurst may be sent in a row.
	noticeBurst = 4
)

func newNoticeLimiter() *rate.Limiter { return rate.NewLimiter(maxNoticesPerSecond, noticeBurst) }

// SendNotice tells some daemons what this one has just sent to a server, before the sums
// that hold it come round. Which ones are told is drawn by chance where there are many.
func (n *Node) SendNotice(load *gossippb.Load) {
	now := time.Now()
	if !n.noticeLimiter.AllowN(now, 1) {
		return
	}
	for _, p := range samplePeers(n.options.Members.Known(now), maxNoticeRecipients) {
		n.sendTo(&gossippb.Status{Vm: n.options.VM, Notice: load}, p.Address)
	}
}

// samplePeers returns at most so many of the peers, by chance.
func samplePeers(peers []Peer, most int) []Peer {
	if len(peers) <= most {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:most]
}
