package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/plankridge/plankridge/internal/backup"
	"github.com/plankridge/plankridge/internal/burn"
	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/keys"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/request"
)

// Server serves the calls of a daemon's peers.
type Server struct {
	peerpb.UnimplementedPeerServer
	mesh       *Mesh
	dispatcher *dispatch.Dispatcher
	follower   *generation.Follower
	burn       *burn.Recorder
	keys       *keys.Manager
}

// NewServer returns the peer server of a daemon.
func NewServer(mesh *Mesh, dispatcher *dispatch.Dispatcher, follower *generation.Follower, recorder *burn.Recorder, manager *keys.Manager) *Server {
	return &Server{mesh: mesh, dispatcher: dispatcher, follower: follower, burn: recorder, keys: manager}
}

// Heartbeat implements peerpb.PeerServer.
func (s *Server) Heartbeat(_ context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	s.mesh.handlePeerState(in.GetDaemonId(), in.GetIncarnation(), in.GetGeneration())
	s.mesh.mergeQuarantine(in.GetDaemonId(), in.GetHeld())
	s.mesh.mergeAdvice(in.GetDaemonId(), in.GetAdvice())
	return &peerpb.HeartbeatResponse{
		DaemonId:    s.mesh.self.ID,
		Incarnation: s.mesh.incarnation,
		Generation:  s.follower.Generation(),
		Held:        s.mesh.encodeQuarantine(),
		Advice:      s.mesh.encodeAdvice(),
	}, nil
}

// FetchDeployment implements peerpb.PeerServer.
func (s *Server) FetchDeployment(_ context.Context, in *peerpb.FetchDeploymentRequest) (*peerpb.FetchDeploymentResponse, error) {
	bundle, err := s.follower.Bundle(in.GetKnownDigests())
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	out := &peerpb.FetchDeploymentResponse{Manifest: bundle.Manifest}
	for digest, content := range bundle.Contents {
		out.Parts = append(out.Parts, &peerpb.Part{Digest: digest, Content: content})
	}
	return out, nil
}

func (s *Server) find(id string) (*dispatch.Flight, error) {
	flight, err := s.dispatcher.Find(request.ID(id))
	if errors.Is(err, dispatch.ErrNotFound) && s.mesh.copies.Has(request.ID(id)) {
		return nil, status.Error(codes.Unavailable, errOwnerUnreachable.Error())
	}
	if errors.Is(err, dispatch.ErrNotFound) {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return flight, err
}

// GetRequest implements peerpb.PeerServer.
func (s *Server) GetRequest(ctx context.Context, in *peerpb.GetRequestRequest) (*peerpb.GetRequestResponse, error) {
	flight, err := s.find(in.GetRequestId())
	if err != nil {
		return nil, err
	}
	state, err := flight.Status(ctx)
	if err != nil {
		return nil, err
	}
	spec, err := encodeSpec(state.Spec)
	if err != nil {
		return nil, err
	}
	return &peerpb.GetRequestResponse{
		Spec:     spec,
		State:    string(state.State),
		Attempts: int32(state.Attempts),
		Tokens:   int32(state.Tokens),
		Outcome:  string(state.Outcome),
	}, nil
}

// FollowRequest implements peerpb.PeerServer.
func (s *Server) FollowRequest(in *peerpb.FollowRequestRequest, stream peerpb.Peer_FollowRequestServer) error {
	flight, err := s.find(in.GetRequestId())
	if err != nil {
		return err
	}
	return flight.FollowToEnd(stream.Context(), int(in.GetAfter()), func(event dispatch.Event) error {
		return stream.Send(toWire(flight.ID(), event))
	})
}

// HoldAnswer implements peerpb.PeerServer.
func (s *Server) HoldAnswer(_ context.Context, in *peerpb.HoldAnswerRequest) (*peerpb.HoldAnswerResponse, error) {
	spec, err := decodeSpec(in.GetSpec())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	last := fromWire(in.GetLast())
	if !last.IsLast() {
		return nil, status.Error(codes.InvalidArgument, "answer is not finished")
	}
	s.dispatcher.Hold(spec, in.GetTokens(), last)
	return &peerpb.HoldAnswerResponse{}, nil
}

// CopyRequest implements peerpb.PeerServer.
func (s *Server) CopyRequest(_ context.Context, in *peerpb.CopyRequestRequest) (*peerpb.CopyRequestResponse, error) {
	if in.GetRelease() {
		s.mesh.copies.Release(request.ID(in.GetRequestId()))
		return &peerpb.CopyRequestResponse{}, nil
	}
	if len(in.GetSpec()) == 0 {
		err := s.mesh.copies.Extend(request.ID(in.GetRequestId()), int(in.GetOffset()), in.GetTokens())
		return &peerpb.CopyRequestResponse{}, copyError(err)
	}
	if _, draining := s.dispatcher.Load(); draining {
		return nil, status.Error(codes.Unavailable, dispatch.ErrDraining.Error())
	}
	spec, err := decodeSpec(in.GetSpec())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.mesh.recordProcess(process{in.GetOwnerId(), in.GetOwnerIncarnation()})
	err = s.mesh.copies.Put(backup.Copy{
		Owner:     backup.Owner{Daemon: in.GetOwnerId(), Incarnation: in.GetOwnerIncarnation(), ListedRevision: in.GetOwnerListed()},
		Spec:      spec,
		Tokens:    in.GetTokens(),
		Permitted: in.GetPermitted(),
	})
	return &peerpb.CopyRequestResponse{}, copyError(err)
}

func copyError(err error) error {
	switch {
	case errors.Is(err, backup.ErrFull):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.Is(err, backup.ErrNoCopy):
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return err
}

// TakeOver implements peerpb.PeerServer.
func (s *Server) TakeOver(_ context.Context, in *peerpb.TakeOverRequest) (*peerpb.TakeOverResponse, error) {
	spec, err := decodeSpec(in.GetSpec())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := s.dispatcher.TakeOver(spec, in.GetTokens()); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	s.mesh.copies.Release(spec.ID)
	return &peerpb.TakeOverResponse{}, nil
}

// GetStatus implements peerpb.PeerServer.
func (s *Server) GetStatus(context.Context, *peerpb.GetStatusRequest) (*peerpb.GetStatusResponse, error) {
	rows, err := json.Marshal(s.burn.Rows(time.Now()))
	if err != nil {
		return nil, err
	}
	inFlight, draining := s.dispatcher.Load()
	return &peerpb.GetStatusResponse{
		DaemonId:   s.mesh.self.ID,
		Zone:       s.mesh.self.Zone,
		Generation: s.follower.Generation(),
		Draining:   draining,
		InFlight:   int32(inFlight),
		Burn:       rows,
	}, nil
}
