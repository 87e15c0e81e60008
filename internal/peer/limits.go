package peer

import (
	"encoding/json"
	"time"

	"github.com/plankridge/plankridge/internal/discovery"
)

// Limits are those that backend servers name.
type Limits interface {
	// Limits returns what to report to other daemons.
	Limits(now time.Time) []discovery.LimitRecord
	// MergeLimits merges what another daemon reports, and reports whether others should know at
	// once.
	MergeLimits(records []discovery.LimitRecord, now time.Time) (changed bool)
}

// encodeLimits encodes what this daemon knows of the servers' limits.
func (m *Mesh) encodeLimits() []byte {
	if m.limits == nil {
		return nil
	}
	records := m.limits.Limits(time.Now())
	if len(records) == 0 {
		return nil
	}
	raw, err := json.Marshal(records)
	if err != nil {
		m.logger.Error("limits of servers cannot be encoded", "error", err)
	}
	return raw
}

// mergeLimits merges what a peer reports of the servers' limits.
func (m *Mesh) mergeLimits(peer string, raw []byte) {
	if m.limits == nil || len(raw) == 0 {
		return
	}
	var records []discovery.LimitRecord
	if err := json.Unmarshal(raw, &records); err != nil {
		m.logger.Warn("limits of servers that a peer reports cannot be read", "peer", peer, "error", err)
		return
	}
	if m.limits.MergeLimits(records, time.Now()) {
		m.Soon()
	}
}
