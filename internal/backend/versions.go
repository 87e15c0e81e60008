package backend

import (
	"cmp"
	"slices"
	"time"
)

// Versions says which versions of a service's servers may be used. The zero value allows
// all of them.
type Versions struct {
	// Enforced is set where versions matter: then a server of any other version than these two
	// gets nothing.
	Enforced bool
	// Stable is the version that requests go to, empty while it is not known.
	Stable string
	// Candidate is the version that a roll-out tries, or empty. Attempts go there only if
	// they ask for it.
	Candidate string
	// AllCandidates is set once every server of the candidate is used.
	AllCandidates bool
}

// maxCandidateSubset is the number of the candidate's servers that are used before all are: a
// small share of all requests on few servers loads each of them as much as the others, so
// that a version that is bad under load only shows it, and three tell a bad version from one
// bad server.
const maxCandidateSubset = 3

// track is a list of servers of a service that attempts choose from.
type track struct {
	service   string
	candidate bool
}

// SetVersions takes over which versions of a service may be used.
func (v *View) SetVersions(service string, versions Versions) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.versions[service] == versions {
		return
	}
	v.versions[service] = versions
	clear(v.inService)
}

// EnforceVersions makes versions matter for every service: until SetVersions names those of a
// service, none of its servers may be used.
func (v *View) EnforceVersions() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.enforceVersions = true
}

// versionsOf returns which versions of a service may be used; the caller holds the lock.
func (v *View) versionsOf(service string) Versions {
	if versions, named := v.versions[service]; named {
		return versions
	}
	return Versions{Enforced: v.enforceVersions}
}

// allows reports whether servers of a version may be chosen on one side.
func (v Versions) allows(version string, candidate bool) bool {
	switch {
	case !v.Enforced:
		return !candidate
	case candidate:
		return v.Candidate != "" && version == v.Candidate
	}
	return v.Stable != "" && version == v.Stable
}

// versionAllowed reports whether a server may be used at all.
func (v *View) versionAllowed(s *server) bool {
	versions := v.versionsOf(s.Service)
	return versions.allows(s.Version, false) || versions.allows(s.Version, true)
}

// candidateSubset returns the servers of a candidate that are used before all are, the same at every
// daemon.
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

// trackServers returns the servers that an attempt chooses from, and whether they are the
// candidate's. Nothing waits for a candidate: where none of its servers is there, or all are
// suspect, the attempt goes to the stable version. Where that has none left, it goes to a
// candidate that all requests may go to.
func (v *View) trackServers(need Need, now time.Time) (servers []*server, candidate bool) {
	versions := v.versionsOf(need.Service)
	if need.Candidate {
		tried := v.eligibleServers(track{need.Service, true}, now)
		sound := slices.ContainsFunc(tried, func(s *server) bool { return s.ready() && !s.suspect(now) && !s.backingOff(now) })
		if sound {
			return tried, true
		}
	}
	servers = v.eligibleServers(track{need.Service, false}, now)
	if len(servers) == 0 && versions.AllCandidates {
		return v.eligibleServers(track{need.Service, true}, now), true
	}
	return servers, false
}

// NewestRevision returns the highest revision of the listed servers of some services.
func (v *View) NewestRevision(of func(service string) bool) (revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.listed && of(s.Service) {
			revision = max(revision, s.Revision)
		}
	}
	return revision
}

// VersionCount is the number of servers that take work, and what is in flight there, by
// version of a service.
type VersionCount struct {
	Service, Version string
	Servers, Running int
}

// CountVersions counts the listed servers by version, those whose entry is at most as new as
// a revision of the store.
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
