package peer

import (
	"context"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// Locate finds a request that another daemon holds: its owner or, if the owner is gone, a
// daemon that has taken the request over or holds its answer. It returns
// dispatch.ErrNotFound if no daemon knows the request, and another error if a daemon that
// may know it cannot be asked now.
func (m *Mesh) Locate(ctx context.Context, id request.ID) (*Remote, error) {
	holders := m.holders(id)
	lastErr := error(dispatch.ErrNotFound)
	for batchSize := locateBatchSize; len(holders) > 0; batchSize *= locateBatchSize {
		batch := holders[:min(batchSize, len(holders))]
		holders = holders[len(batch):]
		remote, err := m.askAll(ctx, batch, id)
		if err == nil {
			return remote, nil
		}
		if !errors.Is(err, dispatch.ErrNotFound) {
			lastErr = err
		}
	}
	if errors.Is(lastErr, dispatch.ErrNotFound) && m.copies.Has(id) {
		return nil, errOwnerUnreachable
	}
	return nil, lastErr
}

// askAll asks daemons concurrently. It returns the request from the first of them, in the
// given order, that holds it.
func (m *Mesh) askAll(ctx context.Context, daemons []vmlist.VM, id request.ID) (*Remote, error) {
	remotes := make([]*Remote, len(daemons))
	errs := make([]error, len(daemons))
	var calls sync.WaitGroup
	for i, vm := range daemons {
		calls.Go(func() { remotes[i], errs[i] = m.askDaemon(ctx, vm, id) })
	}
	calls.Wait()
	lastErr := error(dispatch.ErrNotFound)
	for i := range daemons {
		if errs[i] == nil {
			return remotes[i], nil
		}
		if !errors.Is(errs[i], dispatch.ErrNotFound) {
			lastErr = errs[i]
		}
	}
	return nil, lastErr
}

// holders returns the daemons that may hold a request, the most likely one first: the
// daemon that accepted it, then the others in the order of AnswerHolders.
func (m *Mesh) holders(id request.ID) []vmlist.VM {
	var holders []vmlist.VM
	for _, daemon := range AnswerHolders(string(id), m.Daemons()) {
		switch {
		case daemon.ID == m.self.ID:
		case request.DaemonTag(daemon.ID) == id.Tag():
			holders = append([]vmlist.VM{daemon}, holders...)
		default:
			holders = append(holders, daemon)
		}
	}
	return holders
}

func (m *Mesh) askDaemon(ctx context.Context, vm vmlist.VM, id request.ID) (*Remote, error) {
	client, err := m.client(vm)
	if err != nil {
		return nil, err
	}
	remote := &Remote{id: id, client: client}
	if _, err := remote.Status(ctx); err != nil {
		return nil, err
	}
	return remote, nil
}

// Remote is a request that another daemon holds. It implements dispatch.Source.
type Remote struct {
	id     request.ID
	client peerpb.PeerClient
}

// Status implements dispatch.Source.
func (r *Remote) Status(ctx context.Context) (dispatch.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.client.GetRequest(ctx, &peerpb.GetRequestRequest{RequestId: string(r.id)})
	if err != nil {
		return dispatch.Status{}, locateError(err)
	}
	spec, err := decodeSpec(reply.GetSpec())
	return dispatch.Status{
		Spec:     spec,
		State:    request.State(reply.GetState()),
		Attempts: int(reply.GetAttempts()),
		Tokens:   int(reply.GetTokens()),
		Outcome:  request.Outcome(reply.GetOutcome()),
	}, err
}

// Follow implements dispatch.Source.
func (r *Remote) Follow(ctx context.Context, after int, sink func(dispatch.Event) error) error {
	stream, err := r.client.FollowRequest(ctx, &peerpb.FollowRequestRequest{RequestId: string(r.id), After: int32(after)})
	if err != nil {
		return locateError(err)
	}
	for {
		wire, err := stream.Recv()
		if err != nil {
			return locateError(err)
		}
		if wire.GetRequestId() != string(r.id) {
			return eris.New("peer sent an event for another request")
		}
		event := fromWire(wire)
		if err := sink(event); err != nil {
			return err
		}
		if event.IsLast() {
			return nil
		}
	}
}

func locateError(err error) error {
	if status.Code(err) == codes.NotFound {
		return dispatch.ErrNotFound
	}
	return eris.Wrap(err, "ask peer")
}
