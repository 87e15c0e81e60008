package gossip

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// pullState is the state of the Pull calls to one peer.
type pullState struct {
	// startedAt is when the current call started.
	startedAt time.Time
	// repeat is set if another call must follow the current one.
	repeat bool
}

// beginPull reports whether a Pull call to the peer may start. If one is in progress, it
// schedules another one after it: the peer has reported newer data since that call
// started, and its next report may be half a second away.
func (n *Node) beginPull(address string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if inProgress := n.pulls[address]; inProgress != nil {
		inProgress.repeat = true
		return false
	}
	recent := 0
	for _, p := range n.pulls {
		if now.Sub(p.startedAt) < slowPullAfter {
			recent++
		}
	}
	if recent >= maxConcurrentPulls {
		return false
	}
	n.pulls[address] = &pullState{startedAt: now}
	return true
}

// endPull reports whether another call to the peer must follow.
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

// pull calls the peer until it has reported no newer data during the last call.
func (n *Node) pull(ctx context.Context, address string) {
	for again := true; again && ctx.Err() == nil; {
		again = n.pullOnce(ctx, address) || n.endPull(address, time.Now())
	}
}

// pullOnce makes one call and reports whether another one must follow at once.
func (n *Node) pullOnce(ctx context.Context, address string) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := n.callPull(ctx, address)
	if err != nil {
		n.options.Logger.Warn("cannot pull from peer", "peer_address", address, "error", err)
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
