package peer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
)

// TriggeredHeartbeatDelay is how long it takes until contacts have told each other what is worth an early
// heartbeat: each waits up to 0.2 s for what else comes, and a call takes some milliseconds.
const TriggeredHeartbeatDelay = 250 * time.Millisecond

// TriggerHeartbeats lets heartbeats go out at once.
func (m *Mesh) TriggerHeartbeats() {
	select {
	case m.trigger <- struct{}{}:
	default:
	}
}

// runTriggeredHeartbeats sends the heartbeats that are asked for. Each is sent beside those that wait for a
// contact that does not answer, for callTimeout at most.
func (m *Mesh) runTriggeredHeartbeats(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-m.trigger:
		case <-ctx.Done():
			return
		}
		for _, contact := range Contacts(m.self, m.Daemons()) {
			calls.Go(func() { m.sendHeartbeat(ctx, contact) })
		}
	}
}

// encodeHeld encodes what this daemon knows of requests that end servers.
func (m *Mesh) encodeHeld() []byte {
	if m.quarantine == nil {
		return nil
	}
	words := m.quarantine.Tell(time.Now())
	if len(words) == 0 {
		return nil
	}
	told, err := json.Marshal(words)
	if err != nil {
		m.logger.Error("requests that are held back cannot be encoded", "error", err)
	}
	return told
}

// mergeHeld takes over what a peer knows of requests that end servers.
func (m *Mesh) mergeHeld(peer string, told []byte) {
	if m.quarantine == nil || len(told) == 0 {
		return
	}
	var words []quarantine.Word
	if err := json.Unmarshal(told, &words); err != nil {
		m.logger.Warn("requests that a peer holds back cannot be read", "peer", peer, "error", err)
		return
	}
	m.quarantine.Hear(words, 0, time.Now())
}
