package modelengine

import (
	"container/list"
	"time"

	"github.com/plankridge/plankridge/internal/engine"
	"github.com/plankridge/plankridge/internal/prefix"
)

// BlockTokens is the number of tokens in one block of the cache.
const BlockTokens = prefix.BlockTokens

// CountTokens returns the number of prompt tokens of a text.
func CountTokens(text string) int { return prefix.CountTokens(text) }

// Blocks returns the hash chain over the full blocks of a prompt.
func Blocks(salt, prompt string) []uint64 { return prefix.Blocks(salt, prompt) }

// prefixCache is a bounded cache of prompt blocks, the least recently used one
// leaving first.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []timedEvent
	sequence int64
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

func (c *prefixCache) len() int { return c.order.Len() }

// match returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// insert adds the blocks of a prompt, the last block first, so that the head
// of a prompt stays longest.
func (c *prefixCache) insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.blocks[blocks[i]]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[blocks[i]] = c.order.PushFront(blocks[i])
		c.record(blocks[i], false)
	}
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		block := c.order.Remove(last).(uint64)
		delete(c.blocks, block)
		c.record(block, true)
	}
}

// maxEvents bounds the history of cache events.
const maxEvents = 1 << 16

func (c *prefixCache) record(block uint64, evicted bool) {
	c.sequence++
	if len(c.events) == maxEvents {
		c.events = c.events[maxEvents/2:]
	}
	event := engine.CacheEvent{Sequence: c.sequence, Block: block, Evicted: evicted}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
}

// eventsAfter returns the events after a sequence number that are older than
// the given time, dropping each dropEvery-th one.
func (c *prefixCache) eventsAfter(after int64, olderThan time.Time, dropEvery int) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, timed := range c.events {
		if timed.event.Sequence <= after || timed.at.After(olderThan) {
			continue
		}
		if dropEvery > 0 && timed.event.Sequence%int64(dropEvery) == 0 {
			continue
		}
		events = append(events, timed.event)
	}
	return events
}
