package rollout

import (
	"maps"
	"slices"
)

// knownVersions are the versions of a service, apart from the stable one, by what is known of them.
type knownVersions struct {
	// unordered are versions whose servers serve beside those of the stable version, without an order.
	unordered map[string]bool
	// barred are versions that an order has named and that it has not moved the service to.
	barred map[string]bool
	// retired holds the versions that a completed roll-out has replaced, by the revision of the store
	// at its completion. Their servers from before are stopped.
	retired map[string]int64
}

func newKnownVersions() *knownVersions {
	return &knownVersions{unordered: map[string]bool{}, barred: map[string]bool{}, retired: map[string]int64{}}
}

// versionsOf returns what is known of the versions of a service. The caller holds the lock.
func (t *Tracker) versionsOf(service string) *knownVersions {
	if t.versions[service] == nil {
		t.versions[service] = newKnownVersions()
	}
	return t.versions[service]
}

// recordOrder updates the versions of a service after an order. The caller holds the lock.
func (t *Tracker) recordOrder(order Order, stableBefore string) {
	known := t.versionsOf(order.Service)
	delete(known.unordered, order.Version)
	if order.State != StateCompleted {
		known.barred[order.Version] = true
		return
	}
	for version := range known.unordered {
		known.retired[version] = order.Revision
	}
	if stableBefore != "" && stableBefore != order.Version {
		known.retired[stableBefore] = order.Revision
	}
	clear(known.unordered)
	delete(known.barred, order.Version)
}

// Admit allows requests to a version that no order has named, if all orders are known up to the
// revision of its newest server: the servers of an ordered version start after their order was
// written. It reports whether the version is new.
func (t *Tracker) Admit(service, version string, newestServer int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.versionsOf(service)
	switch {
	case newestServer > t.revision || t.stable[service] == "" || t.stable[service] == version:
		return false
	case known.barred[version] || known.unordered[version] || newestServer <= known.retired[version]:
		return false
	}
	known.unordered[version] = true
	return true
}

// unordered returns the versions that serve without an order. The caller holds the lock.
func (t *Tracker) unordered(service string) []string {
	if t.versions[service] == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.versions[service].unordered))
}
