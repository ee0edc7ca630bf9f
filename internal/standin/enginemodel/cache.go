package enginemodel

import "container/list"

// prefixCache holds prefix blocks by hash and evicts the least recently used one.
type prefixCache struct {
	capacity int
	elements map[uint64]*list.Element
	// order holds the hashes, the most recently used first.
	order *list.List
	log   *cacheLog
}

func newPrefixCache(log *cacheLog) prefixCache {
	return prefixCache{elements: make(map[uint64]*list.Element), order: list.New(), log: log}
}

// lookup returns the number of leading blocks that are held.
func (c *prefixCache) lookup(blocks []uint64) int {
	held := 0
	for held < len(blocks) && c.elements[blocks[held]] != nil {
		held++
	}
	c.touch(blocks[:held])
	return held
}

// touch marks blocks as used, so that the end of a prefix is evicted before its beginning.
func (c *prefixCache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.elements[blocks[i]])
	}
}

// store puts the blocks of a prompt into the cache and returns how many were new. Of a prompt that is too long only
// the beginning is held.
func (c *prefixCache) store(blocks []uint64) int {
	blocks = blocks[:min(len(blocks), c.capacity)]
	stored := 0
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := c.elements[blocks[i]]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.elements[blocks[i]] = c.order.PushFront(blocks[i])
		c.log.stored = append(c.log.stored, blocks[i])
		stored++
	}
	c.evict()
	return stored
}

// resize sets the number of blocks that can be held.
func (c *prefixCache) resize(capacity int) {
	c.capacity = max(capacity, 0)
	c.evict()
}

func (c *prefixCache) evict() {
	for c.order.Len() > c.capacity {
		block := c.order.Remove(c.order.Back()).(uint64)
		delete(c.elements, block)
		c.log.evicted = append(c.log.evicted, block)
	}
}

// empty evicts all blocks.
func (c *prefixCache) empty() {
	capacity := c.capacity
	c.resize(0)
	c.capacity = capacity
}
