// Package prefix keeps a picture of which prompt parts an engine still holds.
// Engines tell late and with gaps, so the picture is built from the requests
// that were placed there.
package prefix

import "container/list"

// Part is one part of a prompt. Requests that share a part, and all parts
// before it, can share an engine's work of reading it.
type Part struct {
	ID     uint64
	Tokens int
}

// Cache is the believed content of one engine's prompt cache. It is not safe
// for concurrent use.
type Cache struct {
	capacity int64
	held     int64
	parts    map[uint64]*list.Element
	order    *list.List
}

// New returns an empty cache of a number of tokens.
func New(capacity int64) *Cache {
	return &Cache{capacity: capacity, parts: make(map[uint64]*list.Element), order: list.New()}
}

// Unread returns how many tokens of a prompt an engine has to read: all from
// the first part on that it does not hold.
func (c *Cache) Unread(parts []Part) int {
	unread, missing := 0, false
	for _, part := range parts {
		missing = missing || c.parts[part.ID] == nil
		if missing {
			unread += part.Tokens
		}
	}
	return unread
}

// Holds says whether a part is held.
func (c *Cache) Holds(id uint64) bool { return c.parts[id] != nil }

// Touch notes that a prompt's parts were read, the least recently used ones
// giving way.
func (c *Cache) Touch(parts []Part) {
	for _, part := range parts {
		if el := c.parts[part.ID]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.parts[part.ID] = c.order.PushFront(part)
		c.held += int64(part.Tokens)
	}
	for c.held > c.capacity && c.order.Len() > 0 {
		c.drop(c.order.Back())
	}
}

func (c *Cache) drop(el *list.Element) {
	part := c.order.Remove(el).(Part)
	delete(c.parts, part.ID)
	c.held -= int64(part.Tokens)
}

// Clear forgets everything, as after an engine's restart.
func (c *Cache) Clear() {
	c.order.Init()
	clear(c.parts)
	c.held = 0
}
