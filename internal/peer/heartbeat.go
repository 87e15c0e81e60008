package peer

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// Run sends heartbeats and fetches newer deployments until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.runDeploymentPulls(ctx) })
	defer loops.Wait()
	loops.Go(func() { m.runTriggeredHeartbeats(ctx) })
	for ctx.Err() == nil {
		changed := m.follower.Changed()
		m.sendHeartbeats(ctx)
		jitter := time.Duration(mathrand.Int64N(int64(heartbeatInterval / 4)))
		select {
		case <-time.After(heartbeatInterval - heartbeatInterval/8 + jitter):
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// sendHeartbeats sends one heartbeat to each contact.
func (m *Mesh) sendHeartbeats(ctx context.Context) {
	var calls sync.WaitGroup
	for _, contact := range Contacts(m.self, m.Daemons()) {
		calls.Go(func() { m.sendHeartbeat(ctx, contact) })
	}
	if owner, ok := m.nextCopyOwner(); ok {
		calls.Go(func() { m.sendHeartbeat(ctx, owner) })
	}
	calls.Wait()
}

// nextCopyOwner returns the owners of the copies that this daemon keeps, one per call in
// rotation. An owner need not be a contact, and only a reply from its address can prove
// that a newer process has replaced it.
func (m *Mesh) nextCopyOwner() (vmlist.VM, bool) {
	owners := m.copies.Owners()
	if len(owners) == 0 {
		return vmlist.VM{}, false
	}
	m.ownerIndex++
	return m.findDaemon(owners[m.ownerIndex%len(owners)])
}

func (m *Mesh) sendHeartbeat(ctx context.Context, contact vmlist.VM) {
	client, err := m.client(contact)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	callStart := m.nextLogicalTime()
	reply, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{
		DaemonId:    m.self.ID,
		Zone:        m.self.Zone,
		Incarnation: m.incarnation,
		Generation:  m.follower.Generation(),
		Held:        m.encodeQuarantine(),
		Advice:      m.encodeAdvice(),
	})
	if err != nil {
		m.logger.Debug("heartbeat failed", "peer", contact.ID, "error", err)
		return
	}
	m.recordReply(process{reply.GetDaemonId(), reply.GetIncarnation()}, callStart)
	m.handlePeerState(reply.GetDaemonId(), reply.GetIncarnation(), reply.GetGeneration())
	m.mergeQuarantine(reply.GetDaemonId(), reply.GetHeld())
	m.mergeAdvice(reply.GetDaemonId(), reply.GetAdvice())
}

// handlePeerState processes the identity and the generation that a peer has sent.
func (m *Mesh) handlePeerState(id string, incarnation uint64, generation int64) {
	m.recordProcess(process{id, incarnation})
	if generation <= m.follower.Generation() {
		return
	}
	select {
	case m.pullTargets <- id:
	default:
	}
}

// recordProcess records that a process has existed.
func (m *Mesh) recordProcess(p process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordProcessLocked(p)
}

func (m *Mesh) recordProcessLocked(p process) {
	if _, known := m.firstSeen[p]; !known {
		m.logicalTime++
		m.firstSeen[p] = m.logicalTime
	}
}

// nextLogicalTime advances the logical clock and returns its new value, which is later
// than every recorded time.
func (m *Mesh) nextLogicalTime() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logicalTime++
	return m.logicalTime
}

// recordReply processes the reply of process p to a call that started at logical time
// callStart. Another process of the same daemon that was known before the call has ended,
// since only one process can listen at the address. An incoming message proves no such
// thing, because it may be processed long after its sender has been replaced.
func (m *Mesh) recordReply(p process, callStart int64) {
	m.mu.Lock()
	replaced := false
	for other, seenAt := range m.firstSeen {
		if other.daemon == p.daemon && other != p && seenAt < callStart && !m.replaced[other] {
			m.replaced[other] = true
			replaced = true
		}
	}
	m.recordProcessLocked(p)
	m.mu.Unlock()
	if replaced {
		m.logger.Info("peer has restarted", "peer", p.daemon)
		go m.adoptOrphanedCopies()
	}
}

// runDeploymentPulls fetches the deployment from peers that report a higher generation.
func (m *Mesh) runDeploymentPulls(ctx context.Context) {
	for {
		select {
		case id := <-m.pullTargets:
			m.pullDeployment(ctx, id)
		case <-ctx.Done():
			return
		}
	}
}

// pullDeployment fetches the deployment from one peer. The generation in the heartbeat
// only triggers the call; the generation in the reply decides whether it is applied.
func (m *Mesh) pullDeployment(ctx context.Context, id string) {
	vm, ok := m.findDaemon(id)
	if !ok {
		return
	}
	err := m.follower.ApplyFromPeer(ctx, m.follower.Generation()+1, func(ctx context.Context, known []string) (generation.Bundle, error) {
		return m.fetchDeployment(ctx, vm, known)
	})
	if err != nil {
		m.logger.Warn("cannot apply deployment of peer", "peer", id, "error", err)
	}
}

func (m *Mesh) findDaemon(id string) (vmlist.VM, bool) {
	for _, daemon := range m.Daemons() {
		if daemon.ID == id {
			return daemon, true
		}
	}
	return vmlist.VM{}, false
}

func (m *Mesh) fetchDeployment(ctx context.Context, vm vmlist.VM, known []string) (generation.Bundle, error) {
	client, err := m.client(vm)
	if err != nil {
		return generation.Bundle{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.FetchDeployment(ctx, &peerpb.FetchDeploymentRequest{KnownDigests: known})
	if err != nil {
		return generation.Bundle{}, eris.Wrap(err, "fetch deployment")
	}
	bundle := generation.Bundle{Manifest: reply.GetManifest(), Contents: map[string][]byte{}}
	for _, part := range reply.GetParts() {
		bundle.Contents[part.GetDigest()] = part.GetContent()
	}
	return bundle, nil
}
