package backend

import "time"

// minFetchTokens is the least number of tokens that are worth copying from another
// engine: a copy has a setup, and the link is shared.
const minFetchTokens = 512

// placement is where the parts of one prompt are predicted to be kept.
type placement struct {
	parts []PromptPart
	home  *server
	// sentTokens holds, by server, the leading tokens that this daemon has sent there.
	sentTokens map[*server]int
	// bestSource is the server with most of them, among those that answer.
	bestSource *server
	// canFetch is set when engines copy parts from each other.
	canFetch bool
	// homeEmpty is set for a home that has lately started again.
	homeEmpty bool
}

// newPlacement predicts where the parts of a prompt are kept among the servers
// of its service.
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
		// This daemon has sent the prompt nowhere; others will have used the home.
		p.bestSource = p.home
	}
	return p
}

// cachedAndFetched returns the leading tokens that a server is predicted to keep, and
// those that it can copy from another server beyond them.
func (p *placement) cachedAndFetched(s *server) (kept, fetched int) {
	kept = p.cachedTokens(s)
	if p.fetchSource(s) == "" {
		return kept, 0
	}
	return kept, max(0, p.cachedTokens(p.bestSource)-kept)
}

func (p *placement) cachedTokens(s *server) int {
	if s == p.home && !p.homeEmpty {
		return max(p.sentTokens[s], sharedTokens(p.parts))
	}
	return p.sentTokens[s]
}

// fetchSource returns the address of the server that another one should copy from,
// or nothing. A home that this daemon has not used may be a new server, which
// copies what its predecessor keeps.
func (p *placement) fetchSource(s *server) string {
	if !p.canFetch || p.bestSource == nil || p.bestSource == s || p.cachedTokens(p.bestSource)-p.sentTokens[s] < minFetchTokens {
		return ""
	}
	return p.bestSource.Address
}
