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

// Run sends heartbeats until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	var pulling sync.WaitGroup
	pulling.Go(func() { m.runDeploymentPulls(ctx) })
	defer pulling.Wait()
	pulling.Go(func() { m.runTriggeredHeartbeats(ctx) })
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

// nextCopyOwner returns, in turn, one of the daemons whose requests this one keeps
// copies of. It need not be a contact, and only it can tell that it has been
// replaced by a newer process.
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
	asked := m.nextLogicalTime()
	reply, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{
		DaemonId:    m.self.ID,
		Zone:        m.self.Zone,
		Incarnation: m.incarnation,
		Generation:  m.follower.Generation(),
		Held:        m.encodeHeld(),
		Advice:      m.encodeAdvice(),
	})
	if err != nil {
		m.logger.Debug("heartbeat failed", "peer", contact.ID, "error", err)
		return
	}
	m.recordReply(process{reply.GetDaemonId(), reply.GetIncarnation()}, asked)
	m.handlePeerState(reply.GetDaemonId(), reply.GetIncarnation(), reply.GetGeneration())
	m.mergeHeld(reply.GetDaemonId(), reply.GetHeld())
	m.mergeAdvice(reply.GetDaemonId(), reply.GetAdvice())
}

// handlePeerState takes over what a peer has said of itself.
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

// recordProcess remembers that a process has existed.
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

// nextLogicalTime returns the present moment, later than all that has been learnt.
func (m *Mesh) nextLogicalTime() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logicalTime++
	return m.logicalTime
}

// recordReply takes over which process has answered a call that began at asked. A
// process of the same daemon that was known before the call is dead, since only
// one listens at the address. What a message tells that comes in by itself
// proves nothing: it may be handled long after its sender has been replaced.
func (m *Mesh) recordReply(p process, asked int64) {
	m.mu.Lock()
	replaced := false
	for other, learned := range m.firstSeen {
		if other.daemon == p.daemon && other != p && learned < asked && !m.replaced[other] {
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

// runDeploymentPulls fetches the deployment from peers that have a higher generation.
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

// pullDeployment fetches from one peer. The heartbeat that asked for it is a reason to
// look; what the peer sends decides.
func (m *Mesh) pullDeployment(ctx context.Context, id string) {
	vm, ok := m.findDaemon(id)
	if !ok {
		return
	}
	err := m.follower.ApplyFromPeer(ctx, m.follower.Generation()+1, func(ctx context.Context, known []string) (generation.Bundle, error) {
		return m.fetchDeployment(ctx, vm, known)
	})
	if err != nil {
		m.logger.Warn("cannot take over the deployment of a peer", "peer", id, "error", err)
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
