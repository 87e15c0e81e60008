package backend

import "time"

// minFetchTokens is the smallest number of tokens that is copied from another engine: a copy has a
// setup cost, and the link is shared.
const minFetchTokens = 512

// placement predicts on which servers the parts of one prompt are cached.
type placement struct {
	parts []PromptPart
	home  *server
	// sentTokens is the number of leading prompt tokens that this daemon has sent to each server
	// and that should still be cached there.
	sentTokens map[*server]int
	// bestSource is the server with most cached tokens among those that are not suspect.
	bestSource *server
	// canFetch is set if engines can copy parts from each other.
	canFetch bool
	// homeEmpty is set if the home server has restarted recently, so that its cache is assumed to
	// be empty.
	homeEmpty bool
}

// newPlacement predicts where the parts of a prompt are cached among the given servers of its
// service.
func newPlacement(parts []PromptPart, servers []*server, traits Traits, now time.Time) placement {
	p := placement{parts: parts, canFetch: traits.FetchRate > 0}
	if traits.CacheTokens == 0 || len(parts) == 0 {
		return p
	}
	p.home = homeServer(homePartID(parts), servers)
	p.homeEmpty = p.home != nil && !p.home.restartedAt.IsZero() && now.Sub(p.home.restartedAt) < emptyCachePeriod
	p.sentTokens = make(map[*server]int, len(servers))
	for _, s := range servers {
		if s.cache == nil {
			s.cache = newPromptCache(traits.CacheTokens)
		}
		p.sentTokens[s] = s.cache.cachedPrefix(parts)
		if !s.suspect(now) && (p.bestSource == nil || p.sentTokens[s] > p.sentTokens[p.bestSource]) {
			p.bestSource = s
		}
	}
	if p.bestSource != nil && p.sentTokens[p.bestSource] < minFetchTokens && p.home != nil && !p.homeEmpty && !p.home.suspect(now) {
		// This daemon has sent the prompt to no server; other daemons will have sent it to its
		// home.
		p.bestSource = p.home
	}
	return p
}

// cachedAndFetched returns the number of leading tokens that a server is predicted to have cached,
// and the number of further tokens that it can copy from another server.
func (p *placement) cachedAndFetched(s *server) (cached, fetched int) {
	cached = p.cachedTokens(s)
	if p.fetchSource(s) == "" {
		return cached, 0
	}
	return cached, max(0, p.cachedTokens(p.bestSource)-cached)
}

// cachedTokens returns the number of leading tokens that a server is predicted to have cached.
func (p *placement) cachedTokens(s *server) int {
	if s == p.home && !p.homeEmpty {
		return max(p.sentTokens[s], sharedTokens(p.parts))
	}
	return p.sentTokens[s]
}

// fetchSource returns the address of the server that s should copy parts from, or an empty string.
// A home server that this daemon has not used may be new, and then copies the parts from its
// predecessor. What servers of another version have cached does not fit.
func (p *placement) fetchSource(s *server) string {
	if !p.canFetch || p.bestSource == nil || p.bestSource == s || p.bestSource.Version != s.Version || p.cachedTokens(p.bestSource)-p.sentTokens[s] < minFetchTokens {
		return ""
	}
	return p.bestSource.Address
}
