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
	pulling.Go(func() { m.pullLoop(ctx) })
	defer pulling.Wait()
	pulling.Go(func() { m.beatEarly(ctx) })
	for ctx.Err() == nil {
		changed := m.follower.Changed()
		m.beat(ctx)
		jitter := time.Duration(mathrand.Int64N(int64(heartbeatInterval / 4)))
		select {
		case <-time.After(heartbeatInterval - heartbeatInterval/8 + jitter):
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// beat sends one heartbeat to each contact.
func (m *Mesh) beat(ctx context.Context) {
	var calls sync.WaitGroup
	for _, contact := range Contacts(m.self, m.Daemons()) {
		calls.Go(func() { m.beatOne(ctx, contact) })
	}
	if owner, ok := m.nextOwner(); ok {
		calls.Go(func() { m.beatOne(ctx, owner) })
	}
	calls.Wait()
}

// nextOwner returns, in turn, one of the daemons whose requests this one keeps
// copies of. It need not be a contact, and only it can tell that it has been
// replaced by a newer process.
func (m *Mesh) nextOwner() (vmlist.VM, bool) {
	owners := m.copies.Owners()
	if len(owners) == 0 {
		return vmlist.VM{}, false
	}
	m.ownerTurn++
	return m.daemon(owners[m.ownerTurn%len(owners)])
}

func (m *Mesh) beatOne(ctx context.Context, contact vmlist.VM) {
	client, err := m.client(contact)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := m.now()
	reply, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{
		DaemonId:    m.self.ID,
		Zone:        m.self.Zone,
		Incarnation: m.incarnation,
		Generation:  m.follower.Generation(),
		Held:        m.tellHeld(),
		Advice:      m.encodeAdvice(),
	})
	if err != nil {
		m.logger.Debug("heartbeat failed", "peer", contact.ID, "error", err)
		return
	}
	m.answered(process{reply.GetDaemonId(), reply.GetIncarnation()}, asked)
	m.heard(reply.GetDaemonId(), reply.GetIncarnation(), reply.GetGeneration())
	m.hearHeld(reply.GetDaemonId(), reply.GetHeld())
	m.mergeAdvice(reply.GetDaemonId(), reply.GetAdvice())
}

// heard takes over what a peer has said of itself.
func (m *Mesh) heard(id string, incarnation uint64, generation int64) {
	m.learn(process{id, incarnation})
	if generation <= m.follower.Generation() {
		return
	}
	select {
	case m.pulls <- id:
	default:
	}
}

// learn remembers that a process has existed.
func (m *Mesh) learn(p process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learnLocked(p)
}

func (m *Mesh) learnLocked(p process) {
	if _, known := m.learned[p]; !known {
		m.moment++
		m.learned[p] = m.moment
	}
}

// now returns the present moment, later than all that has been learnt.
func (m *Mesh) now() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moment++
	return m.moment
}

// answered takes over which process has answered a call that began at asked. A
// process of the same daemon that was known before the call is dead, since only
// one listens at the address. What a message tells that comes in by itself
// proves nothing: it may be handled long after its sender has been replaced.
func (m *Mesh) answered(p process, asked int64) {
	m.mu.Lock()
	replaced := false
	for other, learned := range m.learned {
		if other.daemon == p.daemon && other != p && learned < asked && !m.before[other] {
			m.before[other] = true
			replaced = true
		}
	}
	m.learnLocked(p)
	m.mu.Unlock()
	if replaced {
		m.logger.Info("peer has restarted", "peer", p.daemon)
		go m.inherit()
	}
}

// pullLoop fetches the deployment from peers that have a higher generation.
func (m *Mesh) pullLoop(ctx context.Context) {
	for {
		select {
		case id := <-m.pulls:
			m.pull(ctx, id)
		case <-ctx.Done():
			return
		}
	}
}

// pull fetches from one peer. The heartbeat that asked for it is a reason to
// look; what the peer sends decides.
func (m *Mesh) pull(ctx context.Context, id string) {
	vm, ok := m.daemon(id)
	if !ok {
		return
	}
	err := m.follower.FromPeer(ctx, m.follower.Generation()+1, func(ctx context.Context, known []string) (generation.Bundle, error) {
		return m.fetch(ctx, vm, known)
	})
	if err != nil {
		m.logger.Warn("cannot take over the deployment of a peer", "peer", id, "error", err)
	}
}

func (m *Mesh) daemon(id string) (vmlist.VM, bool) {
	for _, daemon := range m.Daemons() {
		if daemon.ID == id {
			return daemon, true
		}
	}
	return vmlist.VM{}, false
}

func (m *Mesh) fetch(ctx context.Context, vm vmlist.VM, known []string) (generation.Bundle, error) {
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
