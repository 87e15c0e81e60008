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

// TriggerHeartbeats makes runTriggeredHeartbeats send a heartbeat to each contact at once. It does
// not block; calls made before the heartbeats are sent have the effect of one.
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

// encodeQuarantine encodes the quarantine's reports about requests during which servers exited. The
// messages call this field held.
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
		m.logger.Error("cannot encode quarantine reports", "error", err)
	}
	return raw
}

// mergeQuarantine merges the quarantine reports from a peer's heartbeat. The time that the heartbeat
// was in transit is neglected.
func (m *Mesh) mergeQuarantine(peer string, raw []byte) {
	if m.quarantine == nil || len(raw) == 0 {
		return
	}
	var records []quarantine.Report
	if err := json.Unmarshal(raw, &records); err != nil {
		m.logger.Warn("cannot decode quarantine reports from peer", "peer", peer, "error", err)
		return
	}
	m.quarantine.Merge(records, 0, time.Now())
}
