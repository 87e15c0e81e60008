package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/vmlist"
)

const (
	// sameZoneContacts is the number of daemons of its own availability zone that a
	// daemon sends heartbeats to.
	sameZoneContacts = 3
	// otherZoneContacts is the number of daemons of each other availability zone that a
	// daemon sends heartbeats to.
	otherZoneContacts = 1
)

// Contacts returns the daemons that self sends heartbeats to. In its own zone these are
// the next daemon on a hash ring, which keeps the graph connected, and others chosen by
// hash, which keep the paths short. In addition there are a few from each other zone. The
// number does not grow with the number of daemons.
func Contacts(self vmlist.VM, daemons []vmlist.VM) []vmlist.VM {
	zones := map[string][]vmlist.VM{}
	for _, daemon := range daemons {
		if daemon.ID != self.ID {
			zones[daemon.Zone] = append(zones[daemon.Zone], daemon)
		}
	}
	var contacts []vmlist.VM
	for zone, members := range zones {
		if zone == self.Zone {
			contacts = append(contacts, selectZoneContacts(self, members)...)
			continue
		}
		contacts = append(contacts, vmlist.RendezvousOrder(self.ID, members)[:min(otherZoneContacts, len(members))]...)
	}
	slices.SortFunc(contacts, func(a, b vmlist.VM) int { return cmp.Compare(a.ID, b.ID) })
	return contacts
}

func selectZoneContacts(self vmlist.VM, members []vmlist.VM) []vmlist.VM {
	next := ringSuccessor(self, members)
	contacts := []vmlist.VM{next}
	for _, member := range vmlist.RendezvousOrder(self.ID, members) {
		if len(contacts) < sameZoneContacts && member.ID != next.ID {
			contacts = append(contacts, member)
		}
	}
	return contacts
}

// ringSuccessor returns the member that follows self on the hash ring.
func ringSuccessor(self vmlist.VM, members []vmlist.VM) vmlist.VM {
	origin := xxhash.Sum64String(self.ID)
	return slices.MinFunc(members, func(a, b vmlist.VM) int {
		return cmp.Compare(xxhash.Sum64String(a.ID)-origin, xxhash.Sum64String(b.ID)-origin)
	})
}

// AnswerHolders returns the daemons that may hold the answer of a request whose owner is
// gone, the most likely one first. All daemons compute the same order.
func AnswerHolders(requestID string, daemons []vmlist.VM) []vmlist.VM {
	return vmlist.RendezvousOrder(requestID, daemons)
}
