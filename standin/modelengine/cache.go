package modelengine

import (
	"container/list"

	"github.com/boragewick/boragewick"
)

// cache is an LRU cache of block hashes.
type cache struct {
	limit  int
	blocks map[boragewick.BlockHash]*list.Element
	recent list.List
}

// match returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *cache) match(blocks []boragewick.BlockHash) int {
	for i, b := range blocks {
		el, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.recent.MoveToFront(el)
	}
	return len(blocks)
}

// store adds the blocks and returns the added and the evicted ones. It adds
// them in reverse order, so that the first blocks of a prefix are evicted last.
func (c *cache) store(blocks []boragewick.BlockHash) (stored, removed []boragewick.BlockHash) {
	if c.blocks == nil {
		c.blocks = map[boragewick.BlockHash]*list.Element{}
	}
	blocks = blocks[:min(len(blocks), c.limit)]
	for i := len(blocks) - 1; i >= 0; i-- {
		if el, ok := c.blocks[blocks[i]]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		c.blocks[blocks[i]] = c.recent.PushFront(blocks[i])
		stored = append(stored, blocks[i])
	}
	for len(c.blocks) > c.limit {
		b := c.recent.Remove(c.recent.Back()).(boragewick.BlockHash)
		delete(c.blocks, b)
		removed = append(removed, b)
	}
	return stored, removed
}

func (c *cache) clear() {
	c.blocks = nil
	c.recent.Init()
}

// all returns the cached blocks in no particular order.
func (c *cache) all() []boragewick.BlockHash {
	all := make([]boragewick.BlockHash, 0, len(c.blocks))
	for b := range c.blocks {
		all = append(all, b)
	}
	return all
}
