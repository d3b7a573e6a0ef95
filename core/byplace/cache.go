package byplace

import "container/list"

const (
	// minCachedPart is the size, in tokens, below which a part is not followed:
	// reading it again takes about as long as choosing for it.
	minCachedPart = 256
	// maxCachedParts bounds one engine's list.
	maxCachedParts = 512
)

// cache guesses which parts of prompts an engine keeps, from what it was sent.
// A wrong guess costs a second reading and nothing else.
type cache struct {
	parts  map[uint64]*list.Element
	recent *list.List // of cachedPart, newest first
	tokens int
}

type cachedPart struct {
	id     uint64
	tokens int
}

func newCache() *cache {
	return &cache{parts: map[uint64]*list.Element{}, recent: list.New()}
}

func (c *cache) touch(id uint64, tokens int) {
	if el, ok := c.parts[id]; ok {
		c.recent.MoveToFront(el)
		return
	}
	c.parts[id] = c.recent.PushFront(cachedPart{id, tokens})
	c.tokens += tokens
	for c.recent.Len() > maxCachedParts {
		c.dropOldest()
	}
}

func (c *cache) dropOldest() {
	el := c.recent.Back()
	part := el.Value.(cachedPart)
	c.recent.Remove(el)
	delete(c.parts, part.id)
	c.tokens -= part.tokens
}

// shrink drops the least recently used parts beyond a number of tokens.
func (c *cache) shrink(tokens int) {
	for c.tokens > tokens && c.recent.Len() > 0 {
		c.dropOldest()
	}
}

func (c *cache) has(id uint64) bool {
	_, ok := c.parts[id]
	return ok
}
