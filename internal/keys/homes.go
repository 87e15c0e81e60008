package keys

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/backup"
)

// Holder is the process that holds a slot. The zero value means that the slot is free.
type Holder struct {
	Daemon      string `json:"daemon,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	// ListedRevision is a revision of the VM list that contains the daemon's VM. The absence of
	// the VM proves its death only to readers whose list is at least that recent.
	ListedRevision int64 `json:"listed,omitempty"`
}

// sameProcess reports whether h and other are the same process.
func (h Holder) sameProcess(other Holder) bool {
	return h.Daemon == other.Daemon && h.Incarnation == other.Incarnation
}

// Homes assigns the key slots to the processes that hold them. It is stored as one object in
// the Object API and is only changed by conditional updates.
type Homes struct {
	// Zones holds SlotsPerZone holders for each availability zone.
	Zones map[string][]Holder `json:"zones"`
	// Enrolled holds, by daemon, the processes that may have records that are not in the log
	// yet. A process enrols before it accepts a record, and unenrols once all of its records are
	// in the log.
	Enrolled map[string]Member `json:"enrolled"`
}

// Member is an enrolled process.
type Member struct {
	Holder
	Zone string `json:"zone"`
}

// Enrol returns the homes with the process enrolled, and whether that is a change.
func (h *Homes) Enrol(zone string, self Holder) (*Homes, bool) {
	if h.Enrolled[self.Daemon].sameProcess(self) {
		return h, false
	}
	next := h.cloneWithZone(zone)
	next.Enrolled[self.Daemon] = Member{Holder: self, Zone: zone}
	return next, true
}

// Holder returns the holder of a slot.
func (h *Homes) Holder(zone string, slot int) Holder {
	slots := h.Zones[zone]
	if slot < 0 || slot >= len(slots) {
		return Holder{}
	}
	return slots[slot]
}

// cloneWithZone returns a copy in which all slots of the zone exist.
func (h *Homes) cloneWithZone(zone string) *Homes {
	next := &Homes{Zones: map[string][]Holder{}, Enrolled: map[string]Member{}}
	maps.Copy(next.Enrolled, h.Enrolled)
	for name, slots := range h.Zones {
		next.Zones[name] = slices.Clone(slots)
	}
	for len(next.Zones[zone]) < SlotsPerZone {
		next.Zones[zone] = append(next.Zones[zone], Holder{})
	}
	return next
}

// FreeSlots returns the number of slots of a zone that are free or whose holder is proved
// dead. A holder that merely does not respond keeps its slots.
func (h *Homes) FreeSlots(zone string, dead func(Holder) bool) int {
	free := 0
	for _, holder := range h.cloneWithZone(zone).Zones[zone] {
		if holder == (Holder{}) || dead(holder) {
			free++
		}
	}
	return free
}

// Claim returns the homes after self has claimed free slots of a zone, and whether it claimed
// any. By default self claims the slots for which it ranks first by rendezvous hashing; if
// eager, it claims all free slots. The ranking only distributes the slots: the conditional
// update of the homes decides which process gets a slot.
func (h *Homes) Claim(zone string, self Holder, members []string, dead func(Holder) bool, eager bool) (*Homes, bool) {
	next := h.cloneWithZone(zone)
	claimed := false
	for slot, holder := range next.Zones[zone] {
		free := holder == Holder{} || (!holder.sameProcess(self) && dead(holder))
		if free && (eager || highestRanked(zone, slot, members) == self.Daemon) {
			next.Zones[zone][slot] = self
			claimed = true
		}
	}
	return next, claimed
}

// Release returns the homes without any slots of self and without its enrolment.
func (h *Homes) Release(zone string, self Holder) *Homes {
	next := h.cloneWithZone(zone)
	delete(next.Enrolled, self.Daemon)
	for zone, slots := range h.Zones {
		for slot, holder := range slots {
			if holder.sameProcess(self) {
				next.Zones[zone][slot] = Holder{}
			}
		}
	}
	return next
}

// Home is the slot that a key belongs to: a slot of an availability zone.
type Home struct {
	Zone string
	Slot int
}

// HeldBy returns the slots that self holds.
func (h *Homes) HeldBy(self Holder) []Home {
	var held []Home
	for zone, slots := range h.Zones {
		for slot, holder := range slots {
			if holder.sameProcess(self) {
				held = append(held, Home{Zone: zone, Slot: slot})
			}
		}
	}
	return held
}

// writersPerZone is the number of daemons of a zone that hold slots or keep intents for those
// daemons. It is fixed because every daemon receives every change of the homes, so the number
// of changes must not grow with the number of daemons.
const writersPerZone = 6

// Writers returns the members of a zone that may hold its slots.
func Writers(zone string, members []string) []string {
	ranked := rankByHash(zone, members)
	return ranked[:min(writersPerZone, len(ranked))]
}

// highestRanked returns the member that ranks first for a slot.
func highestRanked(zone string, slot int, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return rankByHash(fmt.Sprint(zone, "/", slot), members)[0]
}

// rankByHash orders members by the hash of each member and the key (rendezvous hashing).
func rankByHash(key string, members []string) []string {
	ranked := slices.Clone(members)
	weight := func(member string) uint64 { return xxhash.Sum64String(key + "/" + member) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked
}

// Owner returns the holder as the owner of requests.
func (h Holder) Owner() backup.Owner {
	return backup.Owner{Daemon: h.Daemon, Incarnation: h.Incarnation, ListedRevision: h.ListedRevision}
}
