package gossip

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// beginPull reports whether a call to the peer may begin. Where one is under way, another
// follows it: the peer has told of something newer since, and its next report may be half
// a second away.
func (n *Node) beginPull(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, under := n.pulling[address]; under {
		n.pulling[address] = true
		return false
	}
	if len(n.pulling) >= mostPulls {
		return false
	}
	n.pulling[address] = false
	return true
}

// endPull reports whether another call to the peer is due.
func (n *Node) endPull(address string) (again bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pulling[address] {
		n.pulling[address] = false
		return true
	}
	delete(n.pulling, address)
	return false
}

// pull asks the peer for what is newer, until it has told of nothing more meanwhile.
func (n *Node) pull(ctx context.Context, address string) {
	for again := true; again && ctx.Err() == nil; {
		again = n.pullOnce(ctx, address) || n.endPull(address)
	}
}

// pullOnce makes one call and reports whether another one is due at once.
func (n *Node) pullOnce(ctx context.Context, address string) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := n.call(ctx, address)
	if err != nil {
		n.options.Logger.Warn("peer could not be asked", "peer_address", address, "error", err)
		return false
	}
	return n.options.Sink.Pulled(reply)
}

func (n *Node) call(ctx context.Context, address string) (*gossippb.PullReply, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(n.options.Network.Dial))
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return gossippb.NewPeersClient(conn).Pull(ctx, n.options.Source.Request())
}

// Pull implements gossippb.PeersServer.
func (n *Node) Pull(_ context.Context, request *gossippb.PullRequest) (*gossippb.PullReply, error) {
	return n.options.Source.Pull(request), nil
}
