package byplace

import "container/list"

const (
	// minCachedPartTokens is the size, in tokens, below which a part is not tracked:
	// recomputing it takes about as long as selecting an engine for it.
	minCachedPartTokens = 256
	// cachedShare is the share of an engine's memory that is left for tracked parts. The
	// rest holds running requests, their output and parts that are not tracked.
	cachedShare = 0.8
	// maxCachedParts is the maximum number of parts tracked for one engine.
	maxCachedParts = 512
)

// cacheEstimate estimates which prompt parts an engine has in its KV cache, from the
// prompts that were sent to it. A wrong estimate only costs a recomputation.
type cacheEstimate struct {
	parts  map[uint64]*list.Element
	lru    *list.List // values are of type cachedPart, most recently used first
	tokens int        // sum over all parts
}

type cachedPart struct {
	id     uint64
	tokens int
}

func newCacheEstimate() *cacheEstimate {
	return &cacheEstimate{parts: map[uint64]*list.Element{}, lru: list.New()}
}

// touch adds a part, or marks it as the most recently used one.
func (c *cacheEstimate) touch(id uint64, tokens int) {
	if el, ok := c.parts[id]; ok {
		c.lru.MoveToFront(el)
		return
	}
	c.parts[id] = c.lru.PushFront(cachedPart{id, tokens})
	c.tokens += tokens
	for c.lru.Len() > maxCachedParts {
		c.evictOldest()
	}
}

func (c *cacheEstimate) evictOldest() {
	el := c.lru.Back()
	part := el.Value.(cachedPart)
	c.lru.Remove(el)
	delete(c.parts, part.id)
	c.tokens -= part.tokens
}

// evictBeyond evicts the least recently used parts until at most the given number of
// tokens is left.
func (c *cacheEstimate) evictBeyond(tokens int) {
	for c.tokens > tokens && c.lru.Len() > 0 {
		c.evictOldest()
	}
}

func (c *cacheEstimate) contains(id uint64) bool {
	_, ok := c.parts[id]
	return ok
}
