package byroute

import (
	"container/list"
	"slices"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
	"burdockyard/core/bymanifest"
)

const (
	// BytesPerToken is the usual length of a token of prompt text.
	BytesPerToken = 4
	// maxEnginesPerPrefix is the largest number of engines recorded for one prefix.
	maxEnginesPerPrefix = 3
	// maxPrefixes is the largest number of prefixes in the index.
	maxPrefixes = 20_000
)

// EstimateTokens returns the estimated number of tokens in a text of n bytes.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// PrefixHashes returns the hashes of the text up to the end of each whole block of
// PrefixBlockTokens tokens. A last, incomplete block has none.
func PrefixHashes(text string) []uint64 {
	const blockBytes = PrefixBlockTokens * BytesPerToken
	var hashes []uint64
	d := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = d.WriteString(text[:blockBytes]) // never fails, as its documentation says
		hashes = append(hashes, d.Sum64())
		text = text[blockBytes:]
	}
	return hashes
}

// prefixEntry records which engines recently processed a prefix.
type prefixEntry struct {
	hash    uint64
	engines []burdockyard.EndpointID // most recent first
}

// prefixIndex predicts which prefixes engines have cached, from the engines that
// calls were sent to. A wrong prediction costs a cache miss. It drops the least
// recently used prefixes. A nil index predicts that nothing is cached.
type prefixIndex struct {
	entries map[uint64]*list.Element
	lru     *list.List // values are of type *prefixEntry, most recently used first
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{entries: map[uint64]*list.Element{}, lru: list.New()}
}

// add records that a prompt with these prefix hashes was sent to an engine.
func (p *prefixIndex) add(hashes []uint64, id burdockyard.EndpointID) {
	if p == nil {
		return
	}
	for _, h := range hashes {
		p.addHash(h, id)
	}
	for p.lru.Len() > maxPrefixes {
		oldest := p.lru.Back()
		delete(p.entries, oldest.Value.(*prefixEntry).hash)
		p.lru.Remove(oldest)
	}
}

func (p *prefixIndex) addHash(h uint64, id burdockyard.EndpointID) {
	el, ok := p.entries[h]
	if !ok {
		el = p.lru.PushFront(&prefixEntry{hash: h})
		p.entries[h] = el
	}
	p.lru.MoveToFront(el)
	e := el.Value.(*prefixEntry)
	e.engines = slices.DeleteFunc(e.engines, func(x burdockyard.EndpointID) bool { return x == id })
	e.engines = slices.Insert(e.engines, 0, id)
	if len(e.engines) > maxEnginesPerPrefix {
		e.engines = e.engines[:maxEnginesPerPrefix]
	}
}

// cachedTokens returns how many leading prompt tokens the engine has probably
// cached.
func (p *prefixIndex) cachedTokens(hashes []uint64, id burdockyard.EndpointID) int {
	if p == nil {
		return 0
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		el, ok := p.entries[hashes[i]]
		if ok && slices.Contains(el.Value.(*prefixEntry).engines, id) {
			return (i + 1) * PrefixBlockTokens
		}
	}
	return 0
}

// appendCached appends those of the engines that have probably cached the longest
// prefix in the index.
func (p *prefixIndex) appendCached(picked []*bymanifest.Engine, hashes []uint64, engines []*bymanifest.Engine) []*bymanifest.Engine {
	if p == nil {
		return picked
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		el, ok := p.entries[hashes[i]]
		if !ok {
			continue
		}
		for _, e := range engines {
			if slices.Contains(el.Value.(*prefixEntry).engines, e.ID()) {
				picked = append(picked, e)
			}
		}
		break
	}
	return picked
}
