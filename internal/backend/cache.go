package backend

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// PromptPart is a contiguous part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// promptCache predicts which prompt parts a model engine has cached, from what this daemon has sent
// to it. It evicts the least recently used part first.
type promptCache struct {
	parts      *simplelru.LRU[string, int]
	usedTokens int
	maxTokens  int
}

const (
	// maxCachedParts bounds the parts that are remembered per engine. At 500 tokens a part that is
	// more than an engine holds.
	maxCachedParts = 1024
	// cacheShare is the assumed share of an engine's memory that holds cached parts. Running
	// requests use the rest.
	cacheShare = 0.7
)

func newPromptCache(capacityTokens int) *promptCache {
	c := &promptCache{maxTokens: int(cacheShare * float64(capacityTokens))}
	// NewLRU fails only if the size is not positive.
	c.parts, _ = simplelru.NewLRU(maxCachedParts, func(_ string, tokens int) { c.usedTokens -= tokens })
	return c
}

// add records that the engine has processed the parts of a prompt.
func (c *promptCache) add(parts []PromptPart) {
	for _, p := range parts {
		if _, known := c.parts.Get(p.ID); known {
			continue
		}
		c.parts.Add(p.ID, p.Tokens)
		c.usedTokens += p.Tokens
	}
	for c.usedTokens > c.maxTokens && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}

// cachedPrefix returns the number of tokens in the leading parts that are all cached.
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

// homePartID returns the ID of the part that selects the home server of a prompt: the last part
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

// sharedTokens returns the number of tokens in the parts that other requests share: all but the
// last.
func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for i := 0; i < len(parts)-1; i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}
