package backend

import (
	"cmp"
	"slices"
	"time"
)

// Versions says which versions of a service's servers may be used. The zero value allows all of
// them.
type Versions struct {
	// Enforced is set if only servers of the versions named here may be used.
	Enforced bool
	// Stable is the version that requests use, or empty while it is unknown.
	Stable string
	// Unordered are versions that requests use as well as the stable one.
	Unordered []string
	// Candidate is the version under roll-out, or empty. Attempts use it only if they request it,
	// or if the stable version has no server and AllCandidates is set.
	Candidate string
	// AllCandidates is set once all servers of the candidate version are used.
	AllCandidates bool
}

// maxCandidateSubset is the number of candidate servers that are used before AllCandidates is set.
// The candidate gets a small share of the requests; on few servers each of them is loaded as much
// as a stable server, so that a version that fails only under load shows it. Three servers
// distinguish a bad version from one bad server.
const maxCandidateSubset = 3

// track selects the stable or the candidate servers of a service, or only those of one version if
// version is not empty.
type track struct {
	service   string
	candidate bool
	version   string
}

// track returns the stable or the candidate track of an attempt.
func (n *Need) track(candidate bool) track { return track{n.Service, candidate, n.Version} }

// matches reports whether the track includes servers of a version.
func (t track) matches(version string, versions Versions) bool {
	return (t.version == "" || t.version == version) && versions.allows(version, t.candidate)
}

// SetVersions sets which versions of a service may be used.
func (v *View) SetVersions(service string, versions Versions) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.versions[service].equal(versions) {
		return
	}
	v.versions[service] = versions
	clear(v.readyServers)
}

// EnforceVersions restricts the versions of every service: until SetVersions is called for a
// service, none of its servers may be used.
func (v *View) EnforceVersions() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.enforceVersions = true
}

// versionsOf returns which versions of a service may be used. The caller holds the lock.
func (v *View) versionsOf(service string) Versions {
	if versions, found := v.versions[service]; found {
		return versions
	}
	return Versions{Enforced: v.enforceVersions}
}

func (v Versions) equal(other Versions) bool {
	return v.Enforced == other.Enforced && v.Stable == other.Stable && slices.Equal(v.Unordered, other.Unordered) &&
		v.Candidate == other.Candidate && v.AllCandidates == other.AllCandidates
}

// allows reports whether servers of a version may be used on one track.
func (v Versions) allows(version string, candidate bool) bool {
	switch {
	case !v.Enforced:
		return !candidate
	case candidate:
		return v.Candidate != "" && version == v.Candidate
	}
	return v.Stable != "" && (version == v.Stable || slices.Contains(v.Unordered, version))
}

// versionAllowed reports whether the server's version may be used on any track. The caller holds
// the lock.
func (v *View) versionAllowed(s *server) bool {
	versions := v.versionsOf(s.Service)
	return versions.allows(s.Version, false) || versions.allows(s.Version, true)
}

// candidateSubset returns the candidate servers that are used before AllCandidates is set. All
// daemons choose the same ones.
func candidateSubset(servers []*server) []*server {
	if len(servers) <= maxCandidateSubset {
		return servers
	}
	chosen := slices.Clone(servers)
	slices.SortFunc(chosen, func(a, b *server) int { return cmp.Or(cmp.Compare(a.idHash, b.idHash), cmp.Compare(a.ID, b.ID)) })
	chosen = chosen[:maxCandidateSubset]
	slices.SortFunc(chosen, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// trackServers returns the servers that an attempt may use, and whether they are of the candidate
// version. An attempt for the candidate falls back to the stable version if no candidate server is
// healthy. If the stable version has no server left, attempts use the candidate once AllCandidates
// is set. The caller holds the lock.
func (v *View) trackServers(need Need, now time.Time) (servers []*server, candidate bool) {
	versions := v.versionsOf(need.Service)
	if need.Candidate {
		candidates := v.eligibleServers(need.track(true), now)
		healthy := slices.ContainsFunc(candidates, func(s *server) bool { return s.ready() && !s.suspect(now) && !s.backingOff(now) })
		if healthy {
			return candidates, true
		}
	}
	servers = v.eligibleServers(need.track(false), now)
	if len(servers) == 0 && versions.AllCandidates {
		return v.eligibleServers(need.track(true), now), true
	}
	return servers, false
}

// UnusedVersion is a version of a service whose servers may not be used.
type UnusedVersion struct {
	Service, Version string
	// Newest is the highest store revision of its ready servers.
	Newest int64
}

// UnusedVersions returns the versions with ready servers that may not be used.
func (v *View) UnusedVersions() []UnusedVersion {
	type group struct{ service, version string }
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := map[group]int64{}
	for _, s := range v.servers {
		if s.ready() && !v.versionAllowed(s) {
			g := group{s.Service, s.Version}
			newest[g] = max(newest[g], s.Revision)
		}
	}
	var all []UnusedVersion
	for g, revision := range newest {
		all = append(all, UnusedVersion{g.service, g.version, revision})
	}
	return all
}

// VersionCount is the number of ready servers of one version of a service, and the number of
// requests running on all its servers.
type VersionCount struct {
	Service, Version string
	Servers, Running int
}

// MayChangeVersion reports whether a server of a service may start again under its ID at another version:
// its servers report incarnations, or are of several versions.
func (v *View) MayChangeVersion(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	var first *server
	for _, s := range v.servers {
		if s.Service != service {
			continue
		}
		if s.StartTimeMs != 0 || first != nil && s.Version != first.Version {
			return true
		}
		first = s
	}
	return false
}

// CountVersions counts the listed servers by service and version. It ignores entries that are newer
// than the given revision of the store.
func (v *View) CountVersions(revision int64, now time.Time) []VersionCount {
	type group struct{ service, version string }
	v.mu.Lock()
	defer v.mu.Unlock()
	counts := map[group]VersionCount{}
	for _, s := range v.servers {
		if !s.listed || s.Revision > revision {
			continue
		}
		g := group{s.Service, s.Version}
		c := counts[g]
		c.Service, c.Version = s.Service, s.Version
		c.Running += s.load(now).Running
		if s.ready() {
			c.Servers++
		}
		counts[g] = c
	}
	var all []VersionCount
	for _, c := range counts {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b VersionCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return all
}

// VersionCapacity is what the servers of one version of a service can take.
type VersionCapacity struct {
	Service, Version string
	// Slots is the number of requests that the ready servers run at once.
	Slots int
	// Leaving is set if there are servers that leave and may still be used as a last resort.
	Leaving bool
}

// VersionCapacities returns the capacity of each version that requests may use without being assigned
// to the candidate of a roll-out.
func (v *View) VersionCapacities(now time.Time) []VersionCapacity {
	type group struct{ service, version string }
	v.mu.Lock()
	defer v.mu.Unlock()
	capacities := map[group]VersionCapacity{}
	for _, s := range v.servers {
		ready := s.ready()
		if !ready && !s.usableAsLastResort(now) || !v.versionsOf(s.Service).allows(s.Version, false) {
			continue
		}
		g := group{s.Service, s.Version}
		c := capacities[g]
		c.Service, c.Version = s.Service, s.Version
		if ready {
			c.Slots += max(1, s.Slots)
		} else {
			c.Leaving = true
		}
		capacities[g] = c
	}
	var all []VersionCapacity
	for _, c := range capacities {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b VersionCapacity) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return all
}
