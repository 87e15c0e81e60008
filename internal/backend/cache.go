package backend

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// promptCache models which parts of prompts a model engine keeps: what this
// daemon has sent there, the least recently used given up first.
type promptCache struct {
	parts  *simplelru.LRU[string, int]
	tokens int
	limit  int
}

const (
	// maxCachedParts bounds the number of parts that are remembered for one engine;
	// at 500 tokens a part that is more than an engine holds.
	maxCachedParts = 1024
	// cacheShare is the share of an engine's memory taken to hold cached parts;
	// running requests hold the rest.
	cacheShare = 0.7
)

func newPromptCache(capacityTokens int) *promptCache {
	c := &promptCache{limit: int(cacheShare * float64(capacityTokens))}
	// simplelru fails only for a size that is not positive.
	c.parts, _ = simplelru.NewLRU(maxCachedParts, func(_ string, tokens int) { c.tokens -= tokens })
	return c
}

// add notes that the engine has read the parts of a prompt.
func (c *promptCache) add(parts []PromptPart) {
	for _, p := range parts {
		if _, known := c.parts.Get(p.ID); known {
			continue
		}
		c.parts.Add(p.ID, p.Tokens)
		c.tokens += p.Tokens
	}
	for c.tokens > c.limit && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}

// cachedPrefix returns the tokens of the leading parts that are cached.
func (c *promptCache) cachedPrefix(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if !c.parts.Contains(p.ID) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// homePartID is the part that decides where a prompt is best sent: the last one
// that other requests share.
func homePartID(parts []PromptPart) string {
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	}
	return parts[len(parts)-2].ID
}

// sharedTokens counts the tokens of the parts that other requests share.
func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for i := 0; i < len(parts)-1; i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// homeServer returns the server that all daemons take for the home of a key, by
// rendezvous hashing over the servers in service: no talk is needed, and a
// server that comes or goes moves only its own keys.
func homeServer(key string, servers []*server) *server {
	if key == "" || len(servers) == 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	return slices.MaxFunc(servers, func(a, b *server) int {
		return cmp.Compare(a.rendezvousWeight(keyHash), b.rendezvousWeight(keyHash))
	})
}

// rendezvousWeight ranks the server as a home of a key, by the hash of the key.
func (s *server) rendezvousWeight(keyHash uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], keyHash)
	binary.LittleEndian.PutUint64(both[8:], s.idHash)
	return xxhash.Sum64(both[:])
}
