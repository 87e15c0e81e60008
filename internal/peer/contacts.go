package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/platform"
)

const (
	// zoneContacts is the number of daemons of the own availability zone that
	// a daemon sends heartbeats to.
	zoneContacts = 3
	// outsideContacts is that number for each other availability zone.
	outsideContacts = 1
)

// Contacts returns the daemons that self sends heartbeats to: the next ones
// after it in its own zone's ring, and a few of each other zone. The number
// does not grow with the number of daemons.
func Contacts(self platform.VM, daemons []platform.VM) []platform.VM {
	zones := map[string][]platform.VM{}
	for _, daemon := range daemons {
		if daemon.ID != self.ID {
			zones[daemon.Zone] = append(zones[daemon.Zone], daemon)
		}
	}
	var contacts []platform.VM
	for zone, members := range zones {
		if zone == self.Zone {
			contacts = append(contacts, ringAfter(self, members, zoneContacts)...)
			continue
		}
		contacts = append(contacts, ringAfter(self, members, outsideContacts)...)
	}
	slices.SortFunc(contacts, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return contacts
}

// ringAfter returns the first count members that follow self on a hash ring.
func ringAfter(self platform.VM, members []platform.VM, count int) []platform.VM {
	origin := xxhash.Sum64String(self.ID)
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b platform.VM) int {
		return cmp.Compare(xxhash.Sum64String(a.ID)-origin, xxhash.Sum64String(b.ID)-origin)
	})
	return sorted[:min(count, len(sorted))]
}

// Keepers returns the daemons that keep the answer of a request whose owner
// has gone, the likeliest first. Every daemon computes the same order.
func Keepers(requestID string, daemons []platform.VM) []platform.VM {
	sorted := slices.Clone(daemons)
	weight := func(vm platform.VM) uint64 { return xxhash.Sum64String(requestID + "/" + vm.ID) }
	slices.SortFunc(sorted, func(a, b platform.VM) int { return cmp.Compare(weight(b), weight(a)) })
	return sorted
}
