// Package prefix models which prompt parts an engine has cached. Engines report
// their cache late and incompletely, so the model is built from the requests
// that were placed there.
package prefix

import "container/list"

// Part is one part of a prompt. Requests that share a part and all parts before
// it can share the prefill of that part.
type Part struct {
	ID     uint64
	Tokens int
}

// Cache is the assumed content of one engine's prompt cache. It is not safe for
// concurrent use.
type Cache struct {
	capacityTokens int64
	cachedTokens   int64
	parts          map[uint64]*list.Element
	byRecency      *list.List
}

// New returns an empty cache with a capacity in tokens.
func New(capacity int64) *Cache {
	return &Cache{capacityTokens: capacity, parts: make(map[uint64]*list.Element), byRecency: list.New()}
}

// UncachedTokens returns how many tokens of a prompt an engine has to prefill:
// all tokens from the first part on that is not cached.
func (c *Cache) UncachedTokens(parts []Part) int {
	uncached, missing := 0, false
	for _, part := range parts {
		missing = missing || c.parts[part.ID] == nil
		if missing {
			uncached += part.Tokens
		}
	}
	return uncached
}

// Contains reports whether a part is cached.
func (c *Cache) Contains(id uint64) bool { return c.parts[id] != nil }

// Touch records that the parts of a prompt were prefilled. The least recently
// used parts are evicted to make space.
func (c *Cache) Touch(parts []Part) {
	for _, part := range parts {
		if el := c.parts[part.ID]; el != nil {
			c.byRecency.MoveToFront(el)
			continue
		}
		c.parts[part.ID] = c.byRecency.PushFront(part)
		c.cachedTokens += int64(part.Tokens)
	}
	for c.cachedTokens > c.capacityTokens && c.byRecency.Len() > 0 {
		c.evict(c.byRecency.Back())
	}
}

func (c *Cache) evict(el *list.Element) {
	part := c.byRecency.Remove(el).(Part)
	delete(c.parts, part.ID)
	c.cachedTokens -= int64(part.Tokens)
}

// Clear removes all parts, as after an engine's restart.
func (c *Cache) Clear() {
	c.byRecency.Init()
	clear(c.parts)
	c.cachedTokens = 0
}
