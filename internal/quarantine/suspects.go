package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a request, or a part of prompts, with the servers that exited while they ran it, in the
// order of their exits.
type suspect struct {
	digest  Digest
	isPart  bool
	servers []ServerInstance
	// settled are those of the servers whose exits all daemons should have reported.
	settled []ServerInstance
}

// suspectSet holds the suspects of one evaluation, those with the most servers first.
type suspectSet struct {
	all      []suspect
	byServer map[ServerInstance][]suspect
}

// findSuspects returns the digests with enough exits to be considered for a block. Exits up to
// settled count as reported by all daemons.
func (q *Quarantine) findSuspects(settled, now time.Time) suspectSet {
	var found []suspect
	for digest, r := range q.records {
		if len(r.exits) < minConsecutiveExits || r.blocked(now) || r.recentlyAnswered(now) {
			continue
		}
		s := suspect{digest: digest, isPart: r.isPart}
		for server := range r.exits {
			if q.exitedAt[server].After(r.answeredAt) {
				s.servers = append(s.servers, server)
			}
		}
		if len(s.servers) >= minConsecutiveExits {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(len(b.servers), len(a.servers)), cmp.Compare(a.digest, b.digest))
	})
	set := suspectSet{all: found[:min(len(found), maxSuspects)], byServer: map[ServerInstance][]suspect{}}
	for i := range set.all {
		s := &set.all[i]
		q.sortByExit(s.servers)
		s.settled = q.exitedBy(s.servers, settled)
		for _, server := range s.servers {
			set.byServer[server] = append(set.byServer[server], *s)
		}
	}
	return set
}

// exitedBy returns those of some servers, in the order of their exits, that exited up to a time.
func (q *Quarantine) exitedBy(servers []ServerInstance, until time.Time) []ServerInstance {
	later := slices.IndexFunc(servers, func(server ServerInstance) bool { return q.exitedAt[server].After(until) })
	if later < 0 {
		return servers
	}
	return servers[:later]
}

// hasStronger reports whether another suspect than s and its companions, with at least as many
// exits, also ran on a server when it exited.
func (set suspectSet) hasStronger(server ServerInstance, s suspect, companions []Digest) bool {
	return slices.ContainsFunc(set.byServer[server], func(other suspect) bool {
		return len(other.servers) >= len(s.servers) && other.digest != s.digest && !slices.Contains(companions, other.digest)
	})
}

// indistinguishable returns the other suspects that lost the same servers as a suspect, and that one
// request can have together with it. It returns the parts of a content, and the other parts and the
// content of a part. Which of several contents with one part is the cause is not known. Exits that
// some daemons may have reported and others not yet are left out.
func (set suspectSet) indistinguishable(s suspect) []Digest {
	var parts, contents []Digest
	for _, other := range set.all {
		switch {
		case other.digest == s.digest, !slices.Equal(other.settled, s.settled):
		case other.isPart:
			parts = append(parts, other.digest)
		default:
			contents = append(contents, other.digest)
		}
	}
	if s.isPart && len(contents) == 1 {
		return append(contents, parts...)
	}
	return parts
}
