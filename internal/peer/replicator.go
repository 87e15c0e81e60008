package peer

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/plankridge/plankridge/internal/backup"
	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// maxBackupAttempts is the maximum number of daemons that are asked to keep a copy.
const maxBackupAttempts = 4

// backups returns the daemons that may keep a copy, in order of preference: those in
// other availability zones, in the order of AnswerHolders, then those of this daemon's
// zone. Leaving daemons are excluded.
func (m *Mesh) backups(id request.ID) []vmlist.VM {
	var outside, inside []vmlist.VM
	for _, daemon := range AnswerHolders(string(id), m.Daemons()) {
		switch {
		case daemon.ID == m.self.ID || daemon.State == vmlist.VMLeaving:
		case daemon.Zone == m.self.Zone:
			inside = append(inside, daemon)
		default:
			outside = append(outside, daemon)
		}
	}
	return append(outside, inside...)
}

func (m *Mesh) copyMessage(c dispatch.Copy) (*peerpb.CopyRequestRequest, error) {
	raw, err := json.Marshal(c.Spec)
	if err != nil {
		return nil, eris.Wrap(err, "encode request specification")
	}
	return &peerpb.CopyRequestRequest{
		OwnerId:          m.self.ID,
		OwnerIncarnation: m.incarnation,
		OwnerListed:      m.selfListedRevision(),
		RequestId:        string(c.Spec.ID),
		Spec:             raw,
		Offset:           int32(c.Offset),
		Tokens:           c.Tokens,
		Permitted:        c.Permitted,
	}, nil
}

// Copy implements dispatch.Replicator.
func (m *Mesh) Copy(ctx context.Context, c dispatch.Copy) (string, error) {
	message, err := m.copyMessage(c)
	if err != nil {
		return "", err
	}
	err = eris.New("no other daemon is available")
	for i, vm := range m.backups(c.Spec.ID) {
		if i == maxBackupAttempts {
			break
		}
		if err = m.sendCopy(ctx, vm, message); err == nil {
			return vm.ID, nil
		}
	}
	return "", err
}

// Extend implements dispatch.Replicator.
func (m *Mesh) Extend(ctx context.Context, backupID string, c dispatch.Copy) error {
	return m.sendToBackup(ctx, backupID, &peerpb.CopyRequestRequest{
		OwnerId: m.self.ID, OwnerIncarnation: m.incarnation,
		RequestId: string(c.Spec.ID), Offset: int32(c.Offset), Tokens: c.Tokens,
	})
}

// Release implements dispatch.Replicator.
func (m *Mesh) Release(ctx context.Context, backupID string, id request.ID) error {
	return m.sendToBackup(ctx, backupID, &peerpb.CopyRequestRequest{RequestId: string(id), Release: true})
}

func (m *Mesh) sendToBackup(ctx context.Context, backupID string, message *peerpb.CopyRequestRequest) error {
	vm, ok := m.findDaemon(backupID)
	if !ok {
		return eris.Errorf("backup %s is no longer listed", backupID)
	}
	return m.sendCopy(ctx, vm, message)
}

func (m *Mesh) sendCopy(ctx context.Context, vm vmlist.VM, message *peerpb.CopyRequestRequest) error {
	client, err := m.client(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err = client.CopyRequest(ctx, message)
	return eris.Wrap(err, "copy request to peer")
}

// TakeOver implements dispatch.Replicator. If a response is lost, an idempotent request
// may end up at two daemons. A request that is not idempotent is offered only once. If
// the offer were repeated, a daemon that had accepted it, run it and restarted would run
// it again.
func (m *Mesh) TakeOver(ctx context.Context, backupID string, c dispatch.Copy) error {
	raw, err := json.Marshal(c.Spec)
	if err != nil {
		return eris.Wrap(err, "encode request specification")
	}
	message := &peerpb.TakeOverRequest{Spec: raw, Tokens: c.Tokens}
	targets := m.backups(c.Spec.ID)
	if vm, ok := m.findDaemon(backupID); ok && vm.State != vmlist.VMLeaving {
		targets = append([]vmlist.VM{vm}, targets...)
	}
	err = eris.New("no other daemon is available")
	for _, vm := range targets {
		if !c.Spec.Idempotent() && !m.isReachable(ctx, vm) {
			continue
		}
		err = m.takeOverAt(ctx, vm, message)
		settled := !c.Spec.Idempotent() && status.Code(eris.Cause(err)) != codes.FailedPrecondition
		if err == nil || settled || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// isReachable reports whether a daemon answers a call now.
func (m *Mesh) isReachable(ctx context.Context, vm vmlist.VM) bool {
	client, err := m.client(vm)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err = client.GetStatus(ctx, &peerpb.GetStatusRequest{})
	return err == nil
}

func (m *Mesh) takeOverAt(ctx context.Context, vm vmlist.VM, message *peerpb.TakeOverRequest) error {
	client, err := m.client(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err = client.TakeOver(ctx, message)
	return eris.Wrap(err, "hand request over")
}

// Hold stores a finished answer at another daemon.
func (m *Mesh) Hold(ctx context.Context, spec request.Spec, tokens []string, last dispatch.Event) error {
	raw, err := encodeSpec(spec)
	if err != nil {
		return err
	}
	message := &peerpb.HoldAnswerRequest{Spec: raw, Tokens: tokens, Last: toWire(spec.ID, last)}
	err = eris.New("no other daemon is available")
	for _, vm := range m.backups(spec.ID) {
		if err = m.holdAnswerAt(ctx, vm, message); err == nil {
			return nil
		}
	}
	return err
}

func (m *Mesh) holdAnswerAt(ctx context.Context, vm vmlist.VM, message *peerpb.HoldAnswerRequest) error {
	client, err := m.client(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = client.HoldAnswer(ctx, message)
	return eris.Wrap(err, "hold answer at peer")
}

// Adopter takes over the requests of dead owners.
type Adopter interface {
	// Adopt makes this daemon the owner of a request.
	Adopt(spec request.Spec, tokens []string) error
	// RecordLost records that a request may have run and that its answer is lost.
	RecordLost(spec request.Spec)
}

// adoptOrphanedCopies takes over the copies whose owners are proved dead: their VM is no
// longer in the VM list, or a newer process has answered at their address.
func (m *Mesh) adoptOrphanedCopies() {
	if m.adopter == nil {
		return
	}
	for _, c := range m.copies.TakeFromDead(m.ownerIsDead) {
		if c.Permitted {
			m.adopter.RecordLost(c.Spec)
			continue
		}
		c.Spec = c.Spec.NextRun(len(c.Tokens))
		if err := m.adopter.Adopt(c.Spec, c.Tokens); err != nil {
			m.handOverCopy(c)
		}
	}
}

// handOverCopy hands a copy to another daemon because this one is leaving too.
func (m *Mesh) handOverCopy(c backup.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := m.TakeOver(ctx, "", dispatch.Copy{Spec: c.Spec, Tokens: c.Tokens}); err != nil {
		m.logger.Error("cannot hand over copy of a dead daemon's request, copy lost", "request_id", c.Spec.ID, "error", err)
	}
}

func (m *Mesh) ownerIsDead(owner backup.Owner) bool {
	if owner.Daemon == m.self.ID && owner.Incarnation != m.incarnation {
		// This process listens at the owner's address, so the owner has ended.
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordProcessLocked(process{owner.Daemon, owner.Incarnation})
	if m.replaced[process{owner.Daemon, owner.Incarnation}] {
		return true
	}
	if !m.daemonsListed || m.revision < owner.ListedRevision {
		return false
	}
	for _, daemon := range m.daemons {
		if daemon.ID == owner.Daemon {
			return false
		}
	}
	return true
}

// Copies returns the number of copies kept for other daemons and their size in bytes.
func (m *Mesh) Copies() (count, bytes int) { return m.copies.Size() }
