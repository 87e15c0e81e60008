package detour

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/plankridge/plankridge/internal/detour/detourpb"
	"github.com/plankridge/plankridge/internal/network"
)

// unusedPeerTTL is how long an unused connection to a helper is kept.
const unusedPeerTTL = 30 * time.Second

// Peers holds the gRPC connections to helpers. It is safe for concurrent use.
type Peers struct {
	network     network.Network
	credentials credentials.TransportCredentials

	mu     sync.Mutex
	conns  map[string]*peerConn
	closed bool
}

// peerConn is the connection to one helper.
type peerConn struct {
	*grpc.ClientConn
	usedAt time.Time
	// calls is the number of tunnels that use the connection.
	calls int
}

// NewPeers returns Peers without connections.
func NewPeers(n network.Network, c credentials.TransportCredentials) *Peers {
	return &Peers{network: n, credentials: c, conns: map[string]*peerConn{}}
}

// connect opens a connection to a server through a helper. ctx bounds only the opening.
func (p *Peers) connect(ctx context.Context, helper Helper, address string) (*Conn, error) {
	peer, err := p.acquire(helper.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errHelperUnavailable, err)
	}
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	release := func() {
		cancel()
		p.release(peer)
	}
	stop := context.AfterFunc(ctx, cancel)
	stream, err := openTunnel(callCtx, peer, address)
	stillOpen := stop()
	switch {
	case err == nil && stillOpen:
		return &Conn{stream: stream, cancel: sync.OnceFunc(release), helper: helper, address: address}, nil
	case err == nil:
		err = ctx.Err()
	case status.Code(err) == codes.NotFound:
		err = fmt.Errorf("%w: %w", errServerUnreachable, err)
	default:
		if status.Code(err) == codes.Unavailable {
			p.drop(helper.Address, peer)
		}
		err = fmt.Errorf("%w: %w", errHelperUnavailable, err)
	}
	release()
	return nil, err
}

// openTunnel makes the call and waits until the helper has reached the server.
func openTunnel(ctx context.Context, peer *peerConn, address string) (grpc.BidiStreamingClient[detourpb.Frame, detourpb.Frame], error) {
	stream, err := detourpb.NewDetourClient(peer).Connect(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&detourpb.Frame{Address: address}); err != nil {
		return nil, err
	}
	if _, err := stream.Recv(); err != nil {
		return nil, err
	}
	return stream, nil
}

// acquire returns the connection to a helper and counts a call on it.
func (p *Peers) acquire(address string) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errNoHelper
	}
	p.sweep(time.Now())
	peer := p.conns[address]
	if peer == nil {
		conn, err := grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(p.credentials),
			grpc.WithContextDialer(p.network.Dial))
		if err != nil {
			return nil, err
		}
		peer = &peerConn{ClientConn: conn}
		p.conns[address] = peer
	}
	peer.usedAt = time.Now()
	peer.calls++
	return peer, nil
}

func (p *Peers) release(peer *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer.calls--
	peer.usedAt = time.Now()
}

// drop closes a connection that has failed. A new one is dialed without the delay that gRPC applies
// after failures.
func (p *Peers) drop(address string, peer *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == peer {
		delete(p.conns, address)
		_ = peer.Close()
	}
}

// sweep closes connections that have been unused for unusedPeerTTL. The caller holds the lock.
func (p *Peers) sweep(now time.Time) {
	for address, peer := range p.conns {
		if peer.calls == 0 && now.Sub(peer.usedAt) >= unusedPeerTTL {
			delete(p.conns, address)
			_ = peer.Close()
		}
	}
}

// Close closes all connections, including those in use.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, peer := range p.conns {
		_ = peer.Close()
	}
	p.conns = map[string]*peerConn{}
}
