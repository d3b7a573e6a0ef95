package byplace

import "container/list"

const (
	// minCachedPart is the size, in tokens, below which a part is not tracked:
	// recomputing it takes about as long as selecting an engine for it.
	minCachedPart = 256
	// maxCachedParts is the maximum number of parts tracked for one engine.
	maxCachedParts = 512
)

// cache estimates which prompt parts an engine has in its KV cache, from the
// prompts that were sent to it. A wrong estimate only costs a recomputation.
type cache struct {
	parts  map[uint64]*list.Element
	recent *list.List // values are of type cachedPart, most recently used first
	tokens int        // sum over all parts
}

type cachedPart struct {
	id     uint64
	tokens int
}

func newCache() *cache {
	return &cache{parts: map[uint64]*list.Element{}, recent: list.New()}
}

// touch adds a part, or marks it as the most recently used one.
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

// shrink evicts the least recently used parts until at most the given number of
// tokens is left.
func (c *cache) shrink(tokens int) {
	for c.tokens > tokens && c.recent.Len() > 0 {
		c.dropOldest()
	}
}

func (c *cache) has(id uint64) bool {
	_, ok := c.parts[id]
	return ok
}
