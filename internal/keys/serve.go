package keys

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// loadSlots loads the keys of newly held slots from the log and from the daemons of the zone
// that have records not in the log yet. The former holder is dead or has released the slots, so
// there is no other source.
func (m *Manager) loadSlots(ctx context.Context, zone string, slots []int) {
	records, err := m.collectPending(ctx, zone)
	if err != nil {
		m.options.Logger.Warn("cannot collect pending key records", "error", err)
		return
	}
	logged, err := m.readLog(ctx, zone)
	if err != nil {
		m.options.Logger.Warn("cannot read the key log", "error", err)
		return
	}
	for _, record := range append(records, logged...) {
		if time.Since(record.At) < Retention && record.Ref.Zone == zone && slices.Contains(slots, record.Ref.Slot) {
			m.ledger.Apply(record)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, slot := range slots {
		if m.homes.Holder(zone, slot).sameProcess(m.options.Self) && !m.leaving {
			m.serving[Home{Zone: zone, Slot: slot}] = true
		}
	}
	m.slotsHeld.Set(float64(len(m.serving)))
	m.options.Logger.Info("serving key slots", "home", zone, "slots", slots, "keys", m.ledger.Len())
}

// collectPending returns the records of the zone's living processes that are not in the log yet.
func (m *Manager) collectPending(ctx context.Context, zone string) ([]Record, error) {
	m.mu.Lock()
	homes := m.homes
	m.mu.Unlock()
	records := m.committer.Pending()
	for _, member := range homes.Enrolled {
		if member.Zone != zone || member.sameProcess(m.options.Self) || m.options.Peers.Dead(member.Holder) {
			continue
		}
		pending, err := m.options.Peers.Collect(ctx, member.Holder)
		if err != nil {
			return nil, err
		}
		records = append(records, pending...)
	}
	return records, nil
}

// readLog returns the records of a zone within the retention.
func (m *Manager) readLog(ctx context.Context, zone string) ([]Record, error) {
	var records []Record
	now := time.Now()
	for at := now.Add(-Retention); !at.After(now.Add(time.Hour)); at = at.Add(time.Hour) {
		objects, err := m.options.Store.List(ctx, hourPrefix(zone, at))
		if err != nil {
			return nil, eris.Wrap(err, "list key log")
		}
		for _, object := range objects {
			if object.Err != nil {
				// Without its records a key could run twice.
				return nil, eris.Wrap(object.Err, "read key log")
			}
			var batch []Record
			if err := json.Unmarshal(object.Data, &batch); err != nil {
				return nil, eris.Wrapf(err, "decode batch %s", object.Key)
			}
			records = append(records, batch...)
		}
	}
	return records, nil
}

// removeOldBatches removes the batches that are older than the retention. Only the holder of the
// zone's first slot does so.
func (m *Manager) removeOldBatches(ctx context.Context) {
	for pause(ctx, cleanupInterval) {
		if !m.isServing(m.options.Zone, 0) {
			continue
		}
		objects, err := m.options.Store.List(ctx, hourPrefix(m.options.Zone, time.Now().Add(-Retention-2*time.Hour)))
		if err != nil {
			continue
		}
		for _, object := range objects {
			_ = m.options.Store.Delete(ctx, object.Key)
		}
	}
}

func (m *Manager) isServing(zone string, slot int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serving[Home{Zone: zone, Slot: slot}]
}
