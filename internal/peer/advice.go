package peer

import (
	"encoding/json"
	"time"

	"github.com/plankridge/plankridge/internal/discovery"
)

// Advice stores the load advice of backend servers.
type Advice interface {
	// Advice returns the advice to send to other daemons.
	Advice(now time.Time) []discovery.AdviceRecord
	// MergeAdvice merges advice received from another daemon. It reports whether the
	// change must be sent on at once.
	MergeAdvice(records []discovery.AdviceRecord, now time.Time) (changed bool)
}

// encodeAdvice encodes the servers' advice for a heartbeat.
func (m *Mesh) encodeAdvice() []byte {
	if m.advice == nil {
		return nil
	}
	records := m.advice.Advice(time.Now())
	if len(records) == 0 {
		return nil
	}
	raw, err := json.Marshal(records)
	if err != nil {
		m.logger.Error("cannot encode servers' advice", "error", err)
	}
	return raw
}

// mergeAdvice merges the servers' advice from a peer's heartbeat.
func (m *Mesh) mergeAdvice(peer string, raw []byte) {
	if m.advice == nil || len(raw) == 0 {
		return
	}
	var records []discovery.AdviceRecord
	if err := json.Unmarshal(raw, &records); err != nil {
		m.logger.Warn("cannot decode servers' advice from peer", "peer", peer, "error", err)
		return
	}
	if m.advice.MergeAdvice(records, time.Now()) {
		m.TriggerHeartbeats()
	}
}
