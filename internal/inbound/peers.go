package inbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

const (
	// handshakeTimeout bounds the time until a peer has sent the preface of HTTP/2.
	handshakeTimeout = 5 * time.Second
	// maxCallHeaderBytes bounds the decoded header of a call. Peers send about 200 bytes.
	maxCallHeaderBytes = 8 << 10
	// maxCallsPerConnection bounds the calls in progress on one connection.
	maxCallsPerConnection = 1024
	// callBytes is the memory for a call in progress without its messages.
	callBytes = 16 << 10
	// frameOverheadBytes is about what a message takes on the wire besides itself, with the updates of windows
	// that it causes.
	frameOverheadBytes = 64
)

// errNoMemory closes a connection whose messages find no room.
var errNoMemory = errors.New("inbound: no memory for the messages of this connection")

// PeerServerOptions returns the options of a gRPC server whose listener is one of ListenPeers.
func PeerServerOptions(c credentials.TransportCredentials) []grpc.ServerOption {
	replies := newReplyCodec()
	return []grpc.ServerOption{
		grpc.Creds(guardedCredentials{c}),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxHeaderListSize(maxCallHeaderBytes),
		grpc.MaxConcurrentStreams(maxCallsPerConnection),
		grpc.InTapHandle(admitCall),
		grpc.StatsHandler(callStats{}),
		grpc.ForceServerCodecV2(replies),
		grpc.ChainUnaryInterceptor(replies.interceptUnary),
		grpc.ChainStreamInterceptor(replies.interceptStream),
	}
}

// ListenPeers returns a listener for a gRPC server with PeerServerOptions.
func (g *Guard) ListenPeers(l net.Listener) net.Listener {
	return &peerListener{Listener: l, guard: g}
}

type peerListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &peerConn{Conn: raw, guard: l.guard}
		c.account.close = func() { _ = raw.Close() }
		c.account.interrupt = c.account.close
		if l.guard.admitAccount(&c.account) {
			return c, nil
		}
		l.guard.report(refusedConnection)
		_ = raw.Close()
	}
}

// peerConn is a connection of a peer. All that has arrived counts as held until its message has been delivered,
// and each large reply until it has been written to the connection.
type peerConn struct {
	net.Conn
	guard     *Guard
	account   account
	closeOnce sync.Once

	mu sync.Mutex
	// calls is the number of calls in progress, served the number of those that have got a message.
	calls, served int
	// undelivered is the number of bytes that have arrived and are accounted.
	undelivered int64
}

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	c.guard.ledger.progress(&c.account, n, now)
	if !c.guard.reserve(&c.account, int64(n), now) {
		return 0, errNoMemory
	}
	c.mu.Lock()
	c.undelivered += int64(n)
	c.mu.Unlock()
	return n, err
}

// delivered releases n bytes of messages that have arrived, or as many as are held.
func (c *peerConn) delivered(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, c.undelivered)
	c.undelivered -= n
	c.guard.ledger.release(&c.account, n)
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.guard.ledger.close(&c.account)
	})
	return err
}

// update changes the number of calls and the phase that follows from it.
func (c *peerConn) update(calls, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls += calls
	c.served += served
	p := reading
	switch {
	case c.served > 0:
		p = running
	case c.calls == 0:
		p = idle
	}
	c.guard.ledger.setPhase(&c.account, p)
	if c.calls == 0 {
		c.guard.ledger.release(&c.account, c.undelivered)
		c.undelivered = 0
	}
}

// guardedCredentials pass the connection of a call on to its context.
type guardedCredentials struct {
	credentials.TransportCredentials
}

// guardedInfo is the result of a handshake and its connection.
type guardedInfo struct {
	credentials.AuthInfo
	conn *peerConn
}

// ServerHandshake implements credentials.TransportCredentials.
func (c guardedCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := c.TransportCredentials.ServerHandshake(raw)
	if guarded, ok := raw.(*peerConn); ok && err == nil {
		info = guardedInfo{info, guarded}
	}
	return conn, info, err
}

// Clone implements credentials.TransportCredentials.
func (c guardedCredentials) Clone() credentials.TransportCredentials {
	return guardedCredentials{c.TransportCredentials.Clone()}
}

type peerKey struct{}

// callKey is the context key of a *call.
type callKey struct{}

// call is a call in progress.
type call struct {
	mu     sync.Mutex
	served bool
}

// serve marks the call as one that has got a message. It reports whether it had none before.
func (c *call) serve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.served
	c.served = true
	return first
}

func (c *call) wasServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// admitCall refuses a call for which there is no memory.
func admitCall(ctx context.Context, _ *tap.Info) (context.Context, error) {
	c, ok := ctx.Value(peerKey{}).(*peerConn)
	if !ok {
		return ctx, nil
	}
	if !c.guard.reserve(&c.account, callBytes, time.Now()) {
		return nil, status.Error(codes.ResourceExhausted, reasonNoMemory)
	}
	// The context ends with the call, also if nothing serves its method.
	context.AfterFunc(ctx, func() { c.guard.ledger.release(&c.account, callBytes) })
	return ctx, nil
}

// callStats updates the accounts of the connections as their calls proceed. It implements stats.Handler.
type callStats struct{}

// TagConn implements stats.Handler.
func (callStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	if p, ok := peer.FromContext(ctx); ok {
		if info, ok := p.AuthInfo.(guardedInfo); ok {
			return context.WithValue(ctx, peerKey{}, info.conn)
		}
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (callStats) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (callStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, &call{})
}

// HandleRPC implements stats.Handler.
func (callStats) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(peerKey{}).(*peerConn)
	if !ok {
		return
	}
	inProgress, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	switch event := event.(type) {
	case *stats.Begin:
		c.update(1, 0)
	case *stats.InPayload:
		c.delivered(int64(event.WireLength) + frameOverheadBytes)
		if inProgress.serve() {
			c.update(0, 1)
		}
	case *stats.OutPayload:
		c.delivered(frameOverheadBytes)
	case *stats.End:
		if inProgress.wasServed() {
			c.update(-1, -1)
		} else {
			c.update(-1, 0)
		}
	}
}
