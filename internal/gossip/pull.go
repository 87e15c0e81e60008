package gossip

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// pullState is a peer that is being asked.
type pullState struct {
	// startedAt is when the present call to it began.
	startedAt time.Time
	// repeat is set where another call is due after it.
	repeat bool
}

// beginPull reports whether a call to the peer may begin. Where one is under way, another
// follows it: the peer has told of something newer since, and its next report may be half
// a second away.
func (n *Node) beginPull(address string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if under := n.pulls[address]; under != nil {
		under.repeat = true
		return false
	}
	lately := 0
	for _, p := range n.pulls {
		if now.Sub(p.startedAt) < slowPullAfter {
			lately++
		}
	}
	if lately >= maxConcurrentPulls {
		return false
	}
	n.pulls[address] = &pullState{startedAt: now}
	return true
}

// endPull reports whether another call to the peer is due.
func (n *Node) endPull(address string, now time.Time) (again bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pulls[address]
	if p.repeat {
		p.startedAt, p.repeat = now, false
		return true
	}
	delete(n.pulls, address)
	return false
}

// pull asks the peer for what is newer, until it has told of nothing more meanwhile.
func (n *Node) pull(ctx context.Context, address string) {
	for again := true; again && ctx.Err() == nil; {
		again = n.pullOnce(ctx, address) || n.endPull(address, time.Now())
	}
}

// pullOnce makes one call and reports whether another one is due at once.
func (n *Node) pullOnce(ctx context.Context, address string) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := n.callPull(ctx, address)
	if err != nil {
		n.options.Logger.Warn("peer could not be asked", "peer_address", address, "error", err)
		return false
	}
	return n.options.Sink.HandlePullReply(reply)
}

func (n *Node) callPull(ctx context.Context, address string) (*gossippb.PullReply, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(n.options.Network.Dial))
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return gossippb.NewPeersClient(conn).Pull(ctx, n.options.Source.PullRequest())
}

// Pull implements gossippb.PeersServer.
func (n *Node) Pull(_ context.Context, request *gossippb.PullRequest) (*gossippb.PullReply, error) {
	return n.options.Source.AnswerPull(request), nil
}
