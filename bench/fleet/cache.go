package fleet

import (
	"container/list"

	"github.com/boragewick/boragewick"
)

// Cache is an engine's block cache with LRU eviction. The last blocks of a prompt
// are evicted before the first ones.
type Cache struct {
	capacity int
	entries  map[boragewick.BlockHash]*list.Element
	order    list.List
}

// NewCache returns an empty cache with a capacity in blocks.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, entries: map[boragewick.BlockHash]*list.Element{}}
}

// Matched returns the number of leading blocks that are in the cache.
func (c *Cache) Matched(blocks []boragewick.BlockHash) int {
	for i, b := range blocks {
		if c.entries[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// Insert adds the blocks or marks them as recently used. It returns the new
// blocks and the evicted ones.
func (c *Cache) Insert(blocks []boragewick.BlockHash) (stored, removed []boragewick.BlockHash) {
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

// allBlocks returns all cached blocks, most recently used first.
func (c *Cache) allBlocks() []boragewick.BlockHash {
	out := make([]boragewick.BlockHash, 0, len(c.entries))
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(boragewick.BlockHash))
	}
	return out
}
