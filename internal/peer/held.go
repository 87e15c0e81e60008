package peer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/quarantine"
)

// TriggeredHeartbeatDelay is how long it takes until contacts have exchanged a change
// that triggers heartbeats. Each daemon waits up to 0.2 s to batch changes, and a call
// takes a few milliseconds.
const TriggeredHeartbeatDelay = 250 * time.Millisecond

// TriggerHeartbeats sends heartbeats at once.
func (m *Mesh) TriggerHeartbeats() {
	select {
	case m.trigger <- struct{}{}:
	default:
	}
}

// runTriggeredHeartbeats sends the triggered heartbeats. It does not wait for earlier
// calls to contacts that do not answer, which end after callTimeout.
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

// encodeQuarantine encodes the known requests during which servers have ended.
func (m *Mesh) encodeQuarantine() []byte {
	if m.quarantine == nil {
		return nil
	}
	records := m.quarantine.Reports(time.Now())
	if len(records) == 0 {
		return nil
	}
	raw, err := json.Marshal(records)
	if err != nil {
		m.logger.Error("cannot encode held requests", "error", err)
	}
	return raw
}

// mergeQuarantine merges a peer's requests during which servers have ended.
func (m *Mesh) mergeQuarantine(peer string, raw []byte) {
	if m.quarantine == nil || len(raw) == 0 {
		return
	}
	var records []quarantine.Report
	if err := json.Unmarshal(raw, &records); err != nil {
		m.logger.Warn("cannot decode held requests from peer", "peer", peer, "error", err)
		return
	}
	m.quarantine.Merge(records, 0, time.Now())
}
