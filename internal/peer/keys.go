package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/keys"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// KeyPeers gives the key manager access to the other daemons. It implements keys.Peers.
type KeyPeers struct {
	Mesh       *Mesh
	Dispatcher *dispatch.Dispatcher
	// KnownZones returns the availability zones of the deployment.
	KnownZones func() []string
}

// Dead implements keys.Peers.
func (p *KeyPeers) Dead(holder keys.Holder) bool { return p.Mesh.ownerIsDead(holder.Owner()) }

// SelfListed implements keys.Peers.
func (p *KeyPeers) SelfListed() (int64, bool) {
	revision := p.Mesh.selfListedRevision()
	return revision, revision != neverListed
}

// Zones implements keys.Peers.
func (p *KeyPeers) Zones() map[string][]string {
	staying := map[string][]string{}
	listed := map[string]bool{}
	var allStaying []string
	for _, daemon := range p.Mesh.Daemons() {
		listed[daemon.Zone] = true
		if daemon.State != vmlist.VMLeaving {
			staying[daemon.Zone] = append(staying[daemon.Zone], daemon.ID)
			allStaying = append(allStaying, daemon.ID)
		}
	}
	own := p.Mesh.self.Zone
	zones := map[string][]string{own: staying[own]}
	for _, zone := range p.KnownZones() {
		if !listed[zone] && p.Mesh.isListed() {
			zones[zone] = allStaying
		}
	}
	return zones
}

// Keep implements keys.Peers.
func (p *KeyPeers) Keep(ctx context.Context, daemons []string, records []keys.Record) error {
	raw, err := json.Marshal(records)
	if err != nil {
		return eris.Wrap(err, "encode records")
	}
	err = eris.New("no daemon to keep the records")
	for _, name := range daemons {
		vm, known := p.Mesh.findDaemon(name)
		if !known || vm.State == vmlist.VMLeaving {
			continue
		}
		if err = p.keepKeysAt(ctx, vm, raw); err == nil {
			return nil
		}
	}
	return err
}

func (p *KeyPeers) keepKeysAt(ctx context.Context, vm vmlist.VM, raw []byte) error {
	client, err := p.Mesh.client(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err = client.KeepKeys(ctx, &peerpb.KeepKeysRequest{Records: raw})
	return eris.Wrap(err, "keep key records at peer")
}

// Collect implements keys.Peers.
func (p *KeyPeers) Collect(ctx context.Context, holder keys.Holder) ([]keys.Record, error) {
	vm, known := p.Mesh.findDaemon(holder.Daemon)
	if !known {
		return nil, eris.Errorf("daemon %s is not listed", holder.Daemon)
	}
	client, err := p.Mesh.client(vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.PendingKeys(ctx, &peerpb.PendingKeysRequest{})
	if err != nil {
		return nil, eris.Wrapf(err, "get key records of daemon %s", vm.ID)
	}
	if reply.GetIncarnation() != holder.Incarnation {
		return nil, eris.Errorf("daemon %s has been replaced by another process", vm.ID)
	}
	var records []keys.Record
	err = json.Unmarshal(reply.GetRecords(), &records)
	return records, eris.Wrap(err, "decode records")
}

// Forward implements keys.Peers. After an error the holder may have accepted the request.
// A holder that does not answer a probe has not been sent the request.
func (p *KeyPeers) Forward(ctx context.Context, holder keys.Holder, spec request.Spec) (keys.Result, error) {
	vm, known := p.Mesh.findDaemon(holder.Daemon)
	if !known || !p.Mesh.isReachable(ctx, vm) {
		return keys.HomeUnreachable("the home of this key cannot be reached"), nil
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return keys.Result{}, eris.Wrap(err, "encode request specification")
	}
	client, err := p.Mesh.client(vm)
	if err != nil {
		return keys.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.SubmitKeyed(ctx, &peerpb.SubmitKeyedRequest{Spec: raw})
	if err != nil {
		return keys.Result{}, eris.Wrap(err, "submit to the holder of the key")
	}
	var result keys.Result
	err = json.Unmarshal(reply.GetResult(), &result)
	return result, eris.Wrap(err, "decode result")
}

// Locate implements keys.Peers.
func (p *KeyPeers) Locate(ctx context.Context, id request.ID) (dispatch.Source, error) {
	flight, err := p.Dispatcher.Find(id)
	if err == nil {
		return flight, nil
	}
	if !errors.Is(err, dispatch.ErrNotFound) {
		return nil, err
	}
	return p.Mesh.Locate(ctx, id)
}

func (m *Mesh) isListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.daemonsListed
}

// SubmitKeyed implements peerpb.PeerServer.
func (s *Server) SubmitKeyed(ctx context.Context, in *peerpb.SubmitKeyedRequest) (*peerpb.SubmitKeyedResponse, error) {
	spec, err := decodeSpec(in.GetSpec())
	if err != nil || spec.Key == nil {
		return nil, status.Error(codes.InvalidArgument, "specification with a key is wanted")
	}
	raw, err := json.Marshal(s.keys.SubmitHere(ctx, spec))
	return &peerpb.SubmitKeyedResponse{Result: raw}, err
}

// KeepKeys implements peerpb.PeerServer.
func (s *Server) KeepKeys(_ context.Context, in *peerpb.KeepKeysRequest) (*peerpb.KeepKeysResponse, error) {
	var records []keys.Record
	if err := json.Unmarshal(in.GetRecords(), &records); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := s.keys.KeepForPeer(records); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerpb.KeepKeysResponse{}, nil
}

// PendingKeys implements peerpb.PeerServer.
func (s *Server) PendingKeys(context.Context, *peerpb.PendingKeysRequest) (*peerpb.PendingKeysResponse, error) {
	raw, err := json.Marshal(s.keys.Pending())
	return &peerpb.PendingKeysResponse{Records: raw, Incarnation: s.mesh.incarnation}, err
}
