package gossip

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

func (n *Node) beginPull(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pulling[address] || len(n.pulling) >= mostPulls {
		return false
	}
	n.pulling[address] = true
	return true
}

func (n *Node) pull(ctx context.Context, address string) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.pulling, address)
	}()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := n.call(ctx, address)
	if err != nil {
		n.options.Logger.Warn("peer could not be asked", "peer_address", address, "error", err)
		return
	}
	n.options.Sink.Pulled(reply)
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
