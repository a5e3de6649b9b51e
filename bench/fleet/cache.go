package fleet

import (
	"container/list"

	"github.com/boragewick/boragewick"
)

// Cache is an engine's block cache. It evicts what was used least recently,
// the end of a prompt before its start.
type Cache struct {
	capacity int
	entries  map[boragewick.BlockHash]*list.Element
	order    list.List
}

// NewCache returns an empty cache of so many blocks.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, entries: map[boragewick.BlockHash]*list.Element{}}
}

// Matched returns the number of leading blocks in the cache.
func (c *Cache) Matched(blocks []boragewick.BlockHash) int {
	for i, b := range blocks {
		if c.entries[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// Use puts the blocks in and returns which are new and which were evicted.
func (c *Cache) Use(blocks []boragewick.BlockHash) (stored, removed []boragewick.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.entries[blocks[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[blocks[i]] = c.order.PushFront(blocks[i])
		stored = append(stored, blocks[i])
	}
	for c.order.Len() > c.capacity {
		b := c.order.Remove(c.order.Back()).(boragewick.BlockHash)
		delete(c.entries, b)
		removed = append(removed, b)
	}
	return stored, removed
}

// list returns all blocks.
func (c *Cache) list() []boragewick.BlockHash {
	out := make([]boragewick.BlockHash, 0, len(c.entries))
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(boragewick.BlockHash))
	}
	return out
}
