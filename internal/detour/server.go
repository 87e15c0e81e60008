package detour

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/plankridge/plankridge/internal/detour/detourpb"
	"github.com/plankridge/plankridge/internal/network"
)

const (
	// maxTunnels bounds the connections that a daemon keeps open for others.
	maxTunnels = 512
	// tunnelDialTimeout bounds the opening of one of them.
	tunnelDialTimeout = 350 * time.Millisecond
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Network network.Network
	// Known reports whether an address is that of a backend server. Others are refused.
	Known func(address string) bool
	// Links is the state of this daemon's own links. It may be nil.
	Links *Links
}

// Server opens connections to backend servers for other daemons. It uses only direct connections,
// so that a connection takes at most one detour.
type Server struct {
	detourpb.UnimplementedDetourServer
	options ServerOptions

	mu       sync.Mutex
	tunnels  int
	draining bool
	// idle is closed when the last connection has ended while the server drains.
	idle chan struct{}
}

// NewServer returns a Server.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, idle: make(chan struct{})}
}

// Register registers the server with a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) { detourpb.RegisterDetourServer(r, s) }

// Connect implements detourpb.DetourServer. Its error has the code NotFound if the server cannot be
// reached from here either.
func (s *Server) Connect(call grpc.BidiStreamingServer[detourpb.Frame, detourpb.Frame]) error {
	first, err := call.Recv()
	if err != nil {
		return err
	}
	if err := s.begin(first.GetAddress()); err != nil {
		return err
	}
	defer s.end()
	conn, err := s.dial(call.Context(), first.GetAddress())
	if err != nil {
		return status.Error(codes.NotFound, err.Error())
	}
	defer func() { _ = conn.Close() }()
	// Whether the caller has sent all of its request is not known here.
	defer network.BeginSending(conn)()
	stop := context.AfterFunc(call.Context(), func() { abort(conn) })
	defer stop()
	if err := call.Send(&detourpb.Frame{}); err != nil {
		return err
	}
	go func() {
		// The end of the call cancels its context, which aborts the connection. A failure of the connection ends its
		// reads with an error, too.
		_ = copyTo(conn, call)
	}()
	if err := copyFrom(call, conn); err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	return nil
}

// begin counts a connection, unless it is refused.
func (s *Server) begin(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return status.Error(codes.FailedPrecondition, "daemon is shutting down")
	case s.tunnels >= maxTunnels:
		return status.Error(codes.ResourceExhausted, "too many tunnels")
	case s.options.Links != nil && s.options.Links.AllCutOff(time.Now()):
		return status.Error(codes.FailedPrecondition, "links to backend servers have failed")
	case !s.options.Known(address):
		return status.Errorf(codes.PermissionDenied, "%q is not a known backend server", address)
	}
	s.tunnels++
	return nil
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tunnels--
	s.closeIdleIfDone()
}

// closeIdleIfDone reports the end of the last connection. The caller holds the lock.
func (s *Server) closeIdleIfDone() {
	if !s.draining || s.tunnels > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

func (s *Server) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	began := time.Now()
	conn, err := s.options.Network.Dial(ctx, address)
	if err == nil && s.options.Links != nil {
		now := time.Now()
		s.options.Links.RecordReached(address, now.Sub(began), now)
	}
	return conn, err
}

// Drain refuses new connections and waits until all have ended.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.closeIdleIfDone()
	s.mu.Unlock()
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
}

// abort closes a connection and discards unsent data, so that a server does not run a request whose
// caller has gone.
func abort(conn net.Conn) {
	if lingers, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// On a connection that is already closed there is nothing to discard.
		_ = lingers.SetLinger(0)
	}
	_ = conn.Close()
}
